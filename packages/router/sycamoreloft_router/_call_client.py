"""HTTP client for short calls, with bounded answers and cancellation.

A long answer on a slow link takes a while, so a call goes on as long as parts
of its answer arrive. The client gives up a call if no part arrives within a
timeout, or if the answer or its total time exceeds a limit.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import enum
import secrets

from sycamoreloft_router import (
    _answer_heads,
    _call_progress,
    _connection_rules,
    _transfer_types,
    _transfers,
    _upstream_client,
)

#: Default time without a TCP acknowledgement after which a connection is
#: closed, in seconds. It detects a lost peer during calls that may wait long
#: for their answers.
ACK_TIMEOUT_S = 2.0

#: Status of a call without a complete answer.
NO_ANSWER = 599

#: Length of the random identifier of a call, in bytes.
_IDENTIFIER_BYTES = 8

#: Connections to one address; for libcurl, 0 means no limit.
_UNLIMITED = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits at which a call is given up without its answer."""

    #: Maximum time until the first byte of the answer's body, in seconds.
    first_byte_timeout_s: float
    #: Maximum time between two parts of the body, in seconds.
    idle_timeout_s: float
    #: Maximum time of the whole call, in seconds; bounds also an answer that
    #: arrives byte by byte.
    total_timeout_s: float
    #: Maximum length of the answer's body, in bytes.
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request to one server, and the limits of its answer."""

    #: IP address and port of the server, as "ip:port".
    address: str
    #: HTTP method, in upper case.
    method: str
    #: Path and query, starting with "/".
    target: str
    #: Limits at which the call is given up.
    limits: CallLimits
    #: Request body; None for a call without a body.
    body: bytes | None = None
    #: Whether the call may reach the server twice. It is then sent again if a
    #: reused connection breaks before the answer.
    is_idempotent: bool = True
    #: Further header lines, without line ends.
    header_lines: abc.Sequence[bytes] = ()


class Connection(enum.Enum):
    """Which connection carried a call."""

    #: No connection was opened.
    NONE = "none"
    #: A connection that was opened for the call.
    NEW = "new"
    #: A connection that an earlier call had used.
    REUSED = "reused"
    #: A new connection, after a reused one broke before the answer.
    RESENT = "resent"


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswer:
    """Result of a call."""

    #: HTTP status of the answer; `NO_ANSWER` if no complete answer arrived.
    status: int
    #: Body of the answer; empty without a complete answer.
    body: bytes = b""
    #: Values of headers by name in lower case; the first one of equal names.
    headers: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    #: Names in lower case of the headers that the answer has more than once.
    repeated_headers: abc.Set[str] = frozenset()
    #: Why there is no complete answer; empty if there is one.
    error: str = ""
    #: Whether any byte of the call may have reached the server.
    was_sent: bool = True
    #: Which connection carried the call.
    connection: Connection = Connection.NONE


class CallClient:
    """Sends calls; must be created inside the running event loop.

    Args:
        connect_timeout_s: Maximum time to open a connection, in seconds.
        id_header: Name of the header that carries the identifier of a call.
            A connection is reused only if the server repeats the header in
            its answers: a late second answer to one call would otherwise look
            like the answer to the next call. If the name is empty,
            connections are always reused, and the caller has to check which
            call an answer belongs to.
        ack_timeout_s: Time without a TCP acknowledgement after which the
            operating system closes a connection, in seconds. 0 disables it,
            for calls of which nothing may arrive once they have ended: unsent
            data can still arrive after the system gave up the connection, but
            not after this process reset it.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        id_header: str = "",
        ack_timeout_s: float = ACK_TIMEOUT_S,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._id_header = id_header
        self._client = _upstream_client.UpstreamClient(
            force_instance=True,
            connections_per_upstream=_UNLIMITED,
            rules=_connection_rules.ConnectionRules(
                _answer_heads.AnswerRules(
                    id_header.lower().encode("latin1"),
                    accepts_close_delimited=True,
                ),
                connect_timeout_s,
                assumes_echo=True,
                ack_timeout_s=ack_timeout_s,
                resets_on_close=True,
            ),
        )

    async def send(
        self, call: Call, progress: _call_progress.CallProgress
    ) -> CallAnswer:
        """Sends a call and returns its answer.

        If the task is cancelled, the connection of the call is closed.

        Args:
            call: The call.
            progress: Records each part of the answer as it arrives.
        """
        identifier = secrets.token_hex(_IDENTIFIER_BYTES)
        lines = [b"Expect:", *call.header_lines]
        if self._id_header:
            lines.append(f"{self._id_header}: {identifier}".encode("latin1"))
        transfer = self._client.start(
            _transfer_types.UpstreamRequest(
                call.address,
                call.method,
                call.target,
                lines,
                call.body,
                len(call.body or b""),
                call.limits.total_timeout_s,
                identifier,
                may_resend=call.is_idempotent,
            )
        )
        try:
            answer = await self._read_answer(transfer, call.limits, progress)
            return dataclasses.replace(
                answer, connection=_classify_connection(transfer)
            )
        finally:
            if not transfer.ended:
                transfer.cancel()

    def close(self) -> None:
        """Ends all calls and closes all connections."""
        self._client.close()

    async def _read_answer(
        self,
        transfer: _transfers.Transfer,
        limits: CallLimits,
        progress: _call_progress.CallProgress,
    ) -> CallAnswer:
        """Reads the answer within the limits of the call."""
        chunks: list[bytes] = []
        size = 0
        limit_s = limits.first_byte_timeout_s
        while True:
            try:
                async with asyncio.timeout(limit_s):
                    await transfer.wait(1)
            except TimeoutError:
                return CallAnswer(
                    NO_ANSWER,
                    error=f"nothing arrived for {limit_s} s",
                    was_sent=transfer.maybe_sent,
                )
            chunk = transfer.read_available()
            if chunk:
                chunks.append(chunk)
                size += len(chunk)
                progress.record_bytes(len(chunk), self._loop.time())
                limit_s = limits.idle_timeout_s
            if size > limits.max_body_bytes:
                return CallAnswer(
                    NO_ANSWER,
                    error=f"the answer has over {limits.max_body_bytes} bytes",
                )
            if transfer.ended:
                return _build_answer(transfer, b"".join(chunks))


def _build_answer(transfer: _transfers.Transfer, body: bytes) -> CallAnswer:
    if transfer.failure is not None:
        return CallAnswer(
            NO_ANSWER,
            error=transfer.failure.text,
            was_sent=transfer.maybe_sent,
        )
    headers = {
        name.decode("latin1"): line.partition(b":")[2].strip().decode("latin1")
        for name, line in reversed(transfer.head.lines)
    }
    counts = collections.Counter(name for name, _ in transfer.head.lines)
    repeated = frozenset(
        name.decode("latin1") for name, count in counts.items() if count > 1
    )
    return CallAnswer(transfer.head.status, body, headers, repeated)


def _classify_connection(transfer: _transfers.Transfer) -> Connection:
    if not transfer.maybe_sent:
        return Connection.NONE
    if not transfer.opened_socket:
        return Connection.REUSED
    return Connection.RESENT if transfer.send_count > 1 else Connection.NEW
