"""One request to an upstream, and its answer as it arrives."""

import asyncio
import typing

import pycurl

from sycamoreloft_router import (
    _answer_heads,
    _body_streams,
    _connection_rules,
    _transfer_types,
)

_KIND = _transfer_types.FailureKind


class Runner(typing.Protocol):
    """What a transfer needs of the client that runs it."""

    #: How connections are made and kept.
    rules: _connection_rules.ConnectionRules

    def create_future(self) -> asyncio.Future[None]:
        """Creates a future on the client's event loop."""

    def read_clock(self) -> float:
        """Returns the time of the client's event loop."""

    def resume(self, handle: typing.Any) -> None:
        """Lets a paused transfer continue."""

    def remove(self, handle: typing.Any) -> None:
        """Takes a running handle out of the multi handle."""


class Transfer:
    """One request to an upstream, and its answer as it arrives."""

    __slots__ = (
        "_client",
        "_deadline",
        "_handle",
        "_paused",
        "_threshold",
        "_waiter",
        "body",
        "ended",
        "failure",
        "head",
        "is_connecting",
        "is_expired",
        "maybe_sent",
        "request",
        "sends",
    )

    def __init__(
        self, client: Runner, request: _transfer_types.UpstreamRequest
    ) -> None:
        self._client = client
        self._deadline = client.read_clock() + request.timeout_s
        self._handle: typing.Any = None
        self._paused = False
        self._threshold = 0
        self._waiter: asyncio.Future[None] | None = None
        #: The request.
        self.request = request
        #: Status and headers of the answer.
        self.head = _answer_heads.AnswerHead(
            request.method, request.attempt, client.rules.answers
        )
        #: Part of the answer body that nobody has taken yet.
        self.body = _body_streams.DownloadBuffer()
        #: Whether a byte of the request may have reached the upstream. It is
        #: set as soon as libcurl has a connection for the request.
        self.maybe_sent = False
        #: How many connections libcurl sent the request on.
        self.sends = 0
        #: Whether libcurl opened a socket for the transfer.
        self.is_connecting = False
        #: Whether the permit expired before a connection was ready.
        self.is_expired = False
        #: Whether no more of the answer will come.
        self.ended = False
        #: Why the answer is not whole; None as long as it may become whole.
        self.failure: _transfer_types.Failure | None = None

    @property
    def connect_timeout_s(self) -> float:
        """Seconds within which the connection must be made."""
        return self._client.rules.connect_timeout_s

    def find_left_s(self) -> float:
        """Returns the seconds until the hard deadline."""
        return self._deadline - self._client.read_clock()

    async def wait(self, size: int) -> None:
        """Waits until the answer ended or `size` bytes of it are held."""
        if self.ended or self.body.size >= size:
            return
        self._threshold = size
        self._waiter = self._client.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def read_available(self) -> bytes:
        """Takes the bytes that are held and lets libcurl continue."""
        chunk = self.body.read_all()
        if self._paused:
            self._paused = False
            self._client.resume(self._handle)
        return chunk

    def cancel(
        self,
        kind: _transfer_types.FailureKind = _KIND.CANCELLED,
    ) -> None:
        """Ends the transfer; libcurl closes its connection."""
        if not self.ended:
            self._client.remove(self._handle)
            self.end(
                _transfer_types.Failure(kind, "the router ended the transfer")
            )

    def check_expired(self) -> bool:
        """Tells whether it is too late to send the request."""
        self.is_expired = self._client.read_clock() > self.request.send_by
        return self.is_expired

    def attach(self, handle: typing.Any) -> None:
        """Notes the handle that runs the transfer."""
        self._handle = handle

    def receive_body(self, chunk: bytes) -> int | None:
        """Takes a part of the answer body from libcurl."""
        if self.body.is_full():
            self._paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        self.body.add(chunk)
        if self._waiter is not None and self.body.size >= self._threshold:
            self._wake()
        return None

    def end(self, failure: _transfer_types.Failure | None) -> None:
        """Notes the end of the transfer."""
        self.ended = True
        self.failure = failure
        self._handle = None
        self._paused = False
        if isinstance(self.request.body, _body_streams.UploadBuffer):
            self.request.body.set_on_change(None)
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def find_failure(
    transfer: Transfer, error: int | None, message: str
) -> _transfer_types.Failure | None:
    """Tells why the answer of a transfer that ended is not whole."""
    if not error:
        problem = transfer.head.find_problem()
        return (
            _transfer_types.Failure(_KIND.BROKEN, problem) if problem else None
        )
    message = message or f"libcurl ended the transfer with error {error}"
    if transfer.maybe_sent:
        kind = _KIND.BROKEN
        if error == pycurl.E_OPERATION_TIMEDOUT:
            kind = _KIND.DEADLINE
        return _transfer_types.Failure(kind, transfer.head.problem or message)
    if transfer.is_expired:
        return _transfer_types.Failure(
            _KIND.EXPIRED,
            "the permit expired before the send",
        )
    if (
        error == pycurl.E_OPERATION_TIMEDOUT
        and transfer.request.timeout_s < transfer.connect_timeout_s
    ):
        # Too little time was left to blame the upstream.
        return _transfer_types.Failure(_KIND.DEADLINE, message)
    if transfer.is_connecting:
        return _transfer_types.Failure(_KIND.CONNECT, message)
    # libcurl held the transfer back until a timeout.
    return _transfer_types.Failure(_KIND.LIMIT, message)
