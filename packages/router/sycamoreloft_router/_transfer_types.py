"""Requests to upstreams, and the kinds of failed transfers."""

from collections import abc
import dataclasses
import enum
import math

from sycamoreloft_router import _answer_heads, _body_streams


class FailureKind(enum.Enum):
    """Why a transfer has no complete answer."""

    #: No connection to the upstream could be opened.
    CONNECT = "connect-failed"
    #: The permit expired before a connection was ready.
    EXPIRED = "permit-expired"
    #: All connections allowed to the upstream were in use until the timeout.
    LIMIT = "connection-limit"
    #: The deadline of the request passed.
    DEADLINE = "deadline"
    #: The answer is missing, truncated or malformed.
    BROKEN = "broken-answer"
    #: The caller stopped sending in the middle of the request body.
    UPLOAD = "broken-request-body"
    #: The upstream stopped accepting requests before a connection was ready.
    WITHDRAWN = "withdrawn"
    #: The holder of the group reported the upstream as lost.
    LOST = "upstream-lost"
    #: The router cancelled the transfer.
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Failure of a transfer, with its details."""

    #: Decides on the outcome of the attempt, and on a retry.
    kind: FailureKind
    #: Description for logs: message of libcurl, or of the check that failed.
    text: str
    #: Whether the upstream reset the connection before any byte of an answer.
    is_reset: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to one upstream."""

    #: Address of the upstream, as "ip:port".
    address: str
    #: HTTP method, in upper case.
    method: str
    #: Path and query, as received from the caller.
    target: str
    #: Header lines without line ends. In libcurl's notation "Name:" leaves a
    #: header out and "Name;" sends an empty one.
    header_lines: abc.Sequence[bytes]
    #: The complete body, a stream, or None for a request without a body.
    body: bytes | _body_streams.UploadBuffer | None
    #: Length of a streamed body, in bytes; -1 if unknown.
    length: int
    #: Time from the start until the transfer is ended, in seconds.
    timeout_s: float
    #: Identifier of the attempt. An answer that repeats another identifier
    #: is rejected.
    attempt: str
    #: End of the permit, on the clock of the event loop, in seconds; nothing
    #: may be sent after it. Infinite for a request without a permit.
    send_by: float = math.inf
    #: Whether libcurl may send the request again on another connection when
    #: a reused one breaks before the answer.
    may_resend: bool = False
    #: Whether the request must not use an idle connection of the pool.
    needs_new_connection: bool = False
    #: Returns whether the upstream still accepts the request. Called before
    #: each send, since a transfer may wait for a connection for seconds.
    may_send: abc.Callable[[], bool] | None = None
    #: Called right before each send; returns whether the request may be sent,
    #: and counts it if so.
    claim_send: abc.Callable[[], bool] | None = None
    #: Called with the head of the answer as soon as it is complete; the body
    #: may take seconds longer. It must not start or end transfers.
    on_head: abc.Callable[[_answer_heads.AnswerHead], None] | None = None
