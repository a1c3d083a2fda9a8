"""Checks what the head of an answer says about the upstream that sent it."""

from sycamoreloft_router import _answer_heads, _direct_ports, _transfers

#: Statuses with which an upstream may refuse a request that did not run.
REFUSAL_STATUSES = frozenset((400, 421, 429, 503))

#: Status of an upstream that received a request meant for another one. The
#: request did not run, even if the header that says so is missing.
MISDIRECTED = 421

#: Statuses with which callers are promised that their request did not run.
PROMISING_STATUSES = frozenset((408, 421, 429, 503))


def is_refusal(
    transfer: _transfers.Transfer, names: _direct_ports.HeaderNames
) -> bool:
    """Returns whether an answer says that the request did not run.

    An answer that was rejected proves nothing.
    """
    head = transfer.head
    if not head.complete or transfer.problem:
        return False
    if head.status not in REFUSAL_STATUSES:
        return False
    name = names.not_executed.lower().encode("latin1")
    return head.status == MISDIRECTED or head.get_header(name) != b""


def is_unproven_refusal(head: _answer_heads.AnswerHead) -> bool:
    """Returns whether passing a status on would promise too much.

    Callers send a request again that did not run. If it may not run twice, the
    upstream's word that it did not run is needed; see `is_refusal`.
    """
    return head.status in PROMISING_STATUSES


def is_from_other_upstream(
    head: _answer_heads.AnswerHead,
    upstream_id: str,
    names: _direct_ports.HeaderNames,
) -> bool:
    """Returns whether an upstream refused a request meant for another one.

    Args:
        head: Head of the answer.
        upstream_id: Identifier of the upstream that the request is meant for.
        names: Names of the headers.
    """
    if head.status != MISDIRECTED:
        return False
    name = names.answering_upstream.lower().encode("latin1")
    return head.get_header(name) not in (b"", upstream_id.encode("latin1"))


def is_foreign(head: _answer_heads.AnswerHead) -> bool:
    """Returns whether an error seems to come from a server of another kind.

    Upstreams repeat the identifier of the request. A listed address may be
    that of another server, whose quick errors would attract requests.
    """
    return not head.echoed and head.status >= 300
