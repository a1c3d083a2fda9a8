"""Requests to upstreams, and why a transfer may fail."""

from collections import abc
import dataclasses
import enum
import math

from sycamoreloft_router import _body_streams


class FailureKind(enum.Enum):
    """Why a transfer has no whole answer."""

    #: No connection could be made.
    CONNECT = "connect-failed"
    #: The permit expired before a connection was ready.
    EXPIRED = "permit-expired"
    #: All connections to the upstream stayed in use.
    LIMIT = "connection-limit"
    #: The deadline passed.
    DEADLINE = "deadline"
    #: The answer is missing, truncated or malformed.
    BROKEN = "broken-answer"
    #: The caller stopped in the middle of the request body.
    UPLOAD = "broken-request-body"
    #: The holder of the group says that the upstream is lost.
    LOST = "upstream-lost"
    #: The router cancelled the transfer.
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Why a transfer has no whole answer, with the details."""

    #: Kind of the failure.
    kind: FailureKind
    #: Message of libcurl or of the check that failed.
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to one upstream."""

    #: Address of the upstream, as "ip:port".
    address: str
    #: HTTP method.
    method: str
    #: Path and query, as received.
    target: str
    #: Header lines without line ends, in libcurl's form.
    header_lines: abc.Sequence[bytes]
    #: The whole body, a stream, or None for a request without one.
    body: bytes | _body_streams.UploadBuffer | None
    #: Length of a streamed body, in bytes; -1 if unknown.
    length: int
    #: Seconds until the hard deadline.
    timeout_s: float
    #: Identifier of the attempt, which the answer may repeat.
    attempt: str
    #: Time on the clock of the event loop after which nothing may be sent.
    send_by: float = math.inf
    #: Whether libcurl may send the request again by itself, on another
    #: connection, when a kept one breaks before the answer.
    may_resend: bool = False
    #: Whether no kept connection may be used.
    needs_new_connection: bool = False
