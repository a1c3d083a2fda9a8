"""A direct host's own answers to callers."""

from sycamoreloft_router import _answers

_UNKNOWN_REMEDY = (
    "the request may have run; look at its effect before it is sent again"
)


def refuse(reason: str, retry_after_ms: int) -> _answers.Refusal:
    """Answers a request that did not run and will not."""
    return _answers.Refusal(
        503,
        reason,
        "no upstream could take the request",
        "it did not run; send it again after the given time",
        retry_after_ms=retry_after_ms,
        allows_fractions=True,
    )


def answer_unknown(reason: str) -> _answers.Refusal:
    """Answers a request whose upstream gave no whole answer."""
    return _answers.Refusal(
        502,
        reason,
        "the upstream gave no whole answer",
        _UNKNOWN_REMEDY,
        _answers.UNKNOWN,
    )


def answer_late() -> _answers.Refusal:
    """Answers a request whose time ended while an upstream had it."""
    return _answers.Refusal(
        504,
        "deadline",
        "the upstream did not answer in time",
        _UNKNOWN_REMEDY,
        _answers.UNKNOWN,
    )


def answer_gone(may_have_run: bool) -> _answers.Refusal:
    """Notes the end of a request whose caller left; nobody reads it."""
    return _answers.Refusal(
        499,
        "caller-gone",
        "the caller closed its connection",
        "send the request again",
        _answers.UNKNOWN if may_have_run else _answers.DID_NOT_RUN,
    )
