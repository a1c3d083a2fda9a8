"""Transfers, each of one request to an upstream and its streamed answer."""

import asyncio
import typing

import pycurl

from sycamoreloft_router import (
    _answer_heads,
    _body_streams,
    _chunked_bodies,
    _connection_rules,
    _transfer_types,
)

_KIND = _transfer_types.FailureKind

_WITHDRAWN_MESSAGE = (
    "the upstream stopped accepting requests before a connection was ready"
)


class TransferClient(typing.Protocol):
    """The part of the upstream client that its transfers use."""

    #: Rules for opening, reusing and closing connections.
    rules: _connection_rules.ConnectionRules

    def create_future(self) -> asyncio.Future[None]:
        """Creates a future on the client's event loop."""

    def read_clock(self) -> float:
        """Returns the time of the client's event loop, in seconds."""

    def resume(self, handle: typing.Any) -> None:
        """Lets a paused transfer continue."""

    def remove(self, handle: typing.Any) -> None:
        """Removes the handle of a running transfer from the multi handle."""


class Transfer:
    """One request to an upstream, and its answer as it arrives.

    Args:
        client: Client that runs the transfer.
        request: The request.
    """

    __slots__ = (
        "_chunked_body",
        "_client",
        "_deadline",
        "_handle",
        "_paused",
        "_threshold",
        "_waiter",
        "body",
        "descriptor",
        "ended",
        "failure",
        "has_input",
        "head",
        "is_expired",
        "is_withdrawn",
        "maybe_sent",
        "opened_socket",
        "request",
        "send_count",
        "was_reset",
    )

    def __init__(
        self, client: TransferClient, request: _transfer_types.UpstreamRequest
    ) -> None:
        self._client = client
        self._deadline = client.read_clock() + request.timeout_s
        self._handle: typing.Any = None
        self._paused = False
        # Decodes the body of an answer in chunks.
        self._chunked_body = _chunked_bodies.ChunkedBody()
        # Number of buffered bytes at which `wait` returns.
        self._threshold = 0
        self._waiter: asyncio.Future[None] | None = None
        #: The request, as passed to the client.
        self.request = request
        #: Status and headers of the answer.
        self.head = _answer_heads.AnswerHead(
            request.method, request.attempt, client.rules.answers
        )
        #: Part of the answer body that has arrived and not been read yet.
        self.body = _body_streams.DownloadBuffer()
        #: Whether a byte of the request may have reached the upstream; set as
        #: soon as libcurl has a connection for the request.
        self.maybe_sent = False
        #: Descriptor of the socket on which libcurl sent the request; -1
        #: before that.
        self.descriptor = -1
        #: Number of connections on which libcurl sent the request.
        self.send_count = 0
        #: Whether the connection delivered a byte of an answer, or was closed
        #: in order.
        self.has_input = False
        #: Whether the connection was reset.
        self.was_reset = False
        #: Whether libcurl opened a new socket for the transfer.
        self.opened_socket = False
        #: Whether the permit expired before a connection was ready.
        self.is_expired = False
        #: Whether the upstream stopped accepting the request before a
        #: connection was ready.
        self.is_withdrawn = False
        #: Whether the transfer has ended, completely or with a failure.
        self.ended = False
        #: Why the answer is incomplete; None for a complete answer and while
        #: the transfer runs.
        self.failure: _transfer_types.Failure | None = None

    @property
    def connect_timeout_s(self) -> float:
        """Maximum time to open a connection, in seconds."""
        return self._client.rules.connect_timeout_s

    def compute_remaining_s(self) -> float:
        """Returns the seconds until the hard deadline."""
        return self._deadline - self._client.read_clock()

    async def wait(self, size: int) -> None:
        """Waits for the end of the answer or for `size` bytes of its body."""
        if self.ended or self.body.size >= size:
            return
        self._threshold = size
        self._waiter = self._client.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def read_available(self) -> bytes:
        """Returns the buffered bytes and resumes the transfer if it paused."""
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
            message = (
                _WITHDRAWN_MESSAGE
                if kind is _KIND.WITHDRAWN
                else "the router cancelled the transfer"
            )
            self.end(_transfer_types.Failure(kind, message))

    def check_expired(self) -> bool:
        """Sets and returns whether it is too late to send the request."""
        self.is_expired = self._client.read_clock() > self.request.send_by
        return self.is_expired

    def check_withdrawn(self) -> bool:
        """Sets and returns whether the upstream rejects new requests."""
        may_send = self.request.may_send
        self.is_withdrawn = may_send is not None and not may_send()
        return self.is_withdrawn

    def claim_send(self) -> bool:
        """Returns whether the request may be sent now; counts it if so."""
        claim = self.request.claim_send
        self.is_withdrawn = claim is not None and not claim()
        return not self.is_withdrawn

    def attach(self, handle: typing.Any) -> None:
        """Sets the handle that runs the transfer."""
        self._handle = handle

    @property
    def is_observed(self) -> bool:
        """Whether the input of the connection is still to be observed.

        If the connection marks the end of the answer, a reset that sending has
        met may look like the end.
        """
        if self.was_reset:
            return False
        return (
            not self.has_input
            or self.is_head_open
            or self.head.ends_with_connection
        )

    @property
    def is_head_open(self) -> bool:
        """Whether the head of the answer has not arrived completely."""
        return not self.head.complete

    def observe_head(self, data: bytes) -> None:
        """Records bytes of the head that have arrived."""
        self.head.observe(data)

    def receive_head_line(self, line: bytes) -> bool:
        """Adds a line of the answer's head; called by libcurl.

        Returns:
            False if the answer is rejected.
        """
        was_complete = self.head.complete
        is_valid = self.head.add_line(line)
        on_head = self.request.on_head
        is_end = is_valid and self.head.complete and not was_complete
        if is_end and on_head is not None:
            on_head(self.head)
        return is_valid

    def receive_body(self, chunk: bytes) -> int | None:
        """Buffers a part of the answer body; called by libcurl.

        Returns:
            `WRITEFUNC_PAUSE` if the buffer is full; libcurl then delivers the
            same part again after the transfer is resumed. -1 ends the transfer
            and closes the connection. None otherwise.
        """
        if self.body.is_full():
            self._paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        if self.head.is_chunked:
            chunk = self._chunked_body.decode(chunk)
            if self._chunked_body.problem:
                return -1
        if chunk:
            self.body.add(chunk)
        if self._waiter is not None and self.body.size >= self._threshold:
            self._wake()
        return -1 if self._chunked_body.has_excess else None

    @property
    def problem(self) -> str:
        """Why the answer is rejected; empty as long as it is valid."""
        return self.head.problem or self._chunked_body.problem

    @property
    def has_excess(self) -> bool:
        """Whether bytes follow an answer that is complete."""
        return self._chunked_body.has_excess

    def describe_problem(self) -> str:
        """Returns why an answer that ended is invalid or incomplete.

        Returns:
            A description for logs, or an empty string for a complete answer.
        """
        problem = self.problem or self.head.describe_problem()
        if (
            not problem
            and self.head.is_chunked
            and self.head.has_body
            and not self._chunked_body.is_complete
        ):
            return "the answer has no last chunk"
        return problem

    def end(self, failure: _transfer_types.Failure | None) -> None:
        """Marks the transfer as ended and wakes up `wait`.

        Args:
            failure: Why the answer is incomplete; None if it is complete.
        """
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


def classify_failure(
    transfer: Transfer, error: int | None, message: str
) -> _transfer_types.Failure | None:
    """Classifies the result of a transfer that libcurl ended.

    Args:
        transfer: The transfer.
        error: Error code of libcurl, 0 or None if it reports none.
        message: Error message of libcurl, may be empty.

    Returns:
        Why the answer is incomplete, or None if it is complete.
    """
    if not error or (error == pycurl.E_WRITE_ERROR and transfer.has_excess):
        problem = transfer.describe_problem()
        return (
            _transfer_types.Failure(_KIND.BROKEN, problem) if problem else None
        )
    message = message or f"libcurl ended the transfer with error {error}"
    if transfer.maybe_sent:
        kind = _KIND.BROKEN
        if error == pycurl.E_OPERATION_TIMEDOUT:
            kind = _KIND.DEADLINE
        return _transfer_types.Failure(
            kind,
            transfer.problem or message,
            transfer.was_reset
            and not (transfer.has_input or transfer.head.status),
        )
    if transfer.is_withdrawn:
        return _transfer_types.Failure(
            _KIND.WITHDRAWN,
            _WITHDRAWN_MESSAGE,
        )
    if transfer.is_expired:
        return _transfer_types.Failure(
            _KIND.EXPIRED,
            "the permit expired before a connection was ready",
        )
    if (
        error == pycurl.E_OPERATION_TIMEDOUT
        and transfer.request.timeout_s < transfer.connect_timeout_s
    ):
        # The request had less time left than opening a connection may take, so
        # the timeout doesn't mean that the upstream is unreachable.
        return _transfer_types.Failure(_KIND.DEADLINE, message)
    if transfer.opened_socket:
        return _transfer_types.Failure(_KIND.CONNECT, message)
    # libcurl opened no socket, so the transfer waited for a free connection to
    # the upstream until it timed out.
    return _transfer_types.Failure(_KIND.LIMIT, message)
