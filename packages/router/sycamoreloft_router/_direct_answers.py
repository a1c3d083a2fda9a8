"""Answers to callers that a direct host creates itself."""

from sycamoreloft_router import _answers

_UNKNOWN_REMEDY = (
    "the request may have run; look at its effect before it is sent again"
)


def build_refusal(reason: str, retry_after_ms: int) -> _answers.Refusal:
    """Creates the answer to a request that no upstream ran."""
    return _answers.Refusal(
        503,
        reason,
        "no upstream could take the request",
        "it did not run; send it again after the given time",
        retry_after_ms=retry_after_ms,
        allows_fractions=True,
    )


def build_unknown_outcome(reason: str) -> _answers.Refusal:
    """Creates the answer to a request whose upstream sent no full answer."""
    return _answers.Refusal(
        502,
        reason,
        "the upstream gave no whole answer",
        _UNKNOWN_REMEDY,
        _answers.UNKNOWN,
    )


def build_deadline_passed() -> _answers.Refusal:
    """Creates the answer to a request whose deadline passed at an upstream."""
    return _answers.Refusal(
        504,
        "deadline",
        "the upstream did not answer in time",
        _UNKNOWN_REMEDY,
        _answers.UNKNOWN,
    )


def build_caller_gone(may_have_run: bool) -> _answers.Refusal:
    """Creates the result of a request whose caller closed its connection.

    It is used for logs and metrics only.
    """
    return _answers.Refusal(
        499,
        "caller-gone",
        "the caller closed its connection",
        "send the request again",
        _answers.UNKNOWN if may_have_run else _answers.DID_NOT_RUN,
    )
