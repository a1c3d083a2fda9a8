"""Short HTTP calls with a bounded answer, and real cancellation.

A long answer on a slow link takes a while; that is no reason to end a call as
long as more of it arrives. What ends a call is silence, or more bytes than
any answer has.
"""

import asyncio
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

#: Seconds without an acknowledgement after which a connection is given up
#: whose calls may wait long for their answers.
ACK_TIMEOUT_S = 2.0

#: Status of a call that got no whole answer.
NO_ANSWER = 599

#: Bytes of the identifier of a call.
_IDENTIFIER_BYTES = 8

#: Connections to one address; libcurl takes 0 for any number.
_ANY_NUMBER = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallLimits:
    """When a call is ended without its answer."""

    #: Seconds until the answer's body begins.
    first_byte_timeout_s: float
    #: Seconds between two parts of the body.
    idle_timeout_s: float
    #: Seconds in all: an answer that comes a byte at a time ends as well.
    total_timeout_s: float
    #: Longest body, in bytes.
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call."""

    #: Address of the server, as "ip:port".
    address: str
    #: HTTP method.
    method: str
    #: Path and query.
    target: str
    #: When the call is ended without its answer.
    limits: CallLimits
    #: Body, None for a call without one.
    body: bytes | None = None
    #: Whether it may reach the server twice: a kept connection may break
    #: before the answer.
    is_idempotent: bool = True
    #: Header lines without line ends.
    header_lines: abc.Sequence[bytes] = ()


class Connection(enum.Enum):
    """Which connection carried a call."""

    #: None was made.
    NONE = "none"
    #: One that was made for the call.
    NEW = "new"
    #: One that an earlier call had used.
    REUSED = "reused"
    #: A new one, after a reused one broke before the answer.
    RESENT = "resent"


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswer:
    """How a call ended."""

    #: Status of the answer, `NO_ANSWER` if none came whole.
    status: int
    #: Body of the answer.
    body: bytes = b""
    #: Lower-case names of headers and their values.
    headers: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    #: What went wrong; empty if nothing.
    error: str = ""
    #: Whether any byte of the call may have reached the server.
    was_sent: bool = True
    #: Which connection carried the call.
    connection: Connection = Connection.NONE


class CallClient:
    """Makes calls; create it inside the running loop.

    Args:
        connect_timeout_s: Seconds within which a connection must be made.
        id_header: Name of the header that carries a call's identifier and
            that servers may repeat. Those that do not get a connection for
            each call: a late second answer to the call before would look
            like the answer to the next one. If it is empty, connections are
            kept, and the caller has to tell whose answer it got.
        ack_timeout_s: Seconds without an acknowledgement after which the system
            closes a connection; 0 if nothing of a call may arrive once it has
            ended. What the system gives up by itself may still arrive; what
            this process gives up may not.
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
            connections_per_upstream=_ANY_NUMBER,
            rules=_connection_rules.ConnectionRules(
                _answer_heads.AnswerRules(
                    id_header.lower().encode("latin1"), accepts_unframed=True
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
        """Makes a call; if it is cancelled, its connection is closed.

        Args:
            call: The call.
            progress: Is told of each part of the answer.
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
            answer = await self._load(transfer, call.limits, progress)
            return dataclasses.replace(
                answer, connection=_find_connection(transfer)
            )
        finally:
            if not transfer.ended:
                transfer.cancel()

    def close(self) -> None:
        """Ends all calls and closes all connections."""
        self._client.close()

    async def _load(
        self,
        transfer: _transfers.Transfer,
        limits: CallLimits,
        progress: _call_progress.CallProgress,
    ) -> CallAnswer:
        """Collects the answer."""
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
    return CallAnswer(transfer.head.status, body, headers)


def _find_connection(transfer: _transfers.Transfer) -> Connection:
    if not transfer.maybe_sent:
        return Connection.NONE
    if not transfer.is_connecting:
        return Connection.REUSED
    return Connection.RESENT if transfer.sends > 1 else Connection.NEW
