"""Handles one request of a caller: reads it, runs it and sends the answer."""

import asyncio
import logging
import typing

from returns import result
from tornado import httputil, iostream

from sycamoreloft_router import (
    _answers,
    _body_streams,
    _caller_connections,
    _caller_server_state,
    _caller_streams,
    _exchange,
    _headers,
    _logs,
    _request_framing,
)

_LOGGER = logging.getLogger(__name__)

#: Seconds for which the rest of a body is read after an early answer. Closing
#: at once would reset the connection, and the caller might lose the answer.
DISCARD_TIMEOUT_S = 1.0

#: Methods for which a request without Content-Length and Transfer-Encoding is
#: forwarded without a body, rather than with an empty one.
_BODILESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))


#: Answer to a request that the stop of this host might cut off.
_HOST_STOPPING = _answers.Refusal(
    503,
    "host-stopping",
    "this host ends before the deadline of the request",
    "send the request again, to another host",
    retry_after_ms=1_000,
)


class CallerExchange(httputil.HTTPMessageDelegate):
    """Reads a request, runs it, and sends the answer.

    Args:
        server_state: State of the server.
        server_connection: The connection, which may carry several requests.
        connection: Reads this request from the connection.
    """

    __slots__ = (
        "_account",
        "_body_ended",
        "_connection",
        "_deadline",
        "_ended",
        "_execution",
        "_fields",
        "_guard",
        "_has_begun",
        "_head_only",
        "_is_caller_gone",
        "_is_rejected",
        "_length",
        "_path",
        "_prefix",
        "_prefix_size",
        "_received_at",
        "_request",
        "_server_connection",
        "_server_state",
        "_timer",
        "_upload",
        "task",
    )

    def __init__(
        self,
        server_state: _caller_server_state.ServerState,
        server_connection: object,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._server_state = server_state
        self._path = server_state.path
        self._server_connection = typing.cast(
            _caller_connections.ServerConnection, server_connection
        )
        self._connection = typing.cast(
            _caller_connections.CallerConnection, connection
        )
        self._account = self._server_connection.account
        self._guard = server_state.guard
        self._body_ended = False
        self._deadline = 0.0
        self._ended = False
        self._head_only = False
        self._fields: _headers.RequestFields | None = None
        self._is_caller_gone = False
        self._is_rejected = False
        # Whether the head of a streamed answer has been sent.
        self._has_begun = False
        self._length = _request_framing.UNKNOWN_LENGTH
        self._prefix: list[bytes] = []
        self._prefix_size = 0
        self._received_at = 0.0
        self._request: _exchange.ParsedRequest | None = None
        self._execution: _exchange.RequestExecution | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._upload: _body_streams.UploadBuffer | None = None
        #: Task that serves the request; None until the whole body, or its
        #: first `_body_streams.PREFIX_BYTES` bytes, have been read.
        self.task: asyncio.Task[None] | None = None

    # Reading the request.

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Parses the head of the request."""
        assert isinstance(start_line, httputil.RequestStartLine)
        loop = self._server_state.loop
        self._server_connection.is_waiting = False
        self._received_at = loop.time()
        self._fields = fields = _headers.read_fields(headers)
        self._head_only = start_line.method == "HEAD"
        self._server_state.exchanges.add(self)
        self._connection.set_close_callback(self._on_caller_gone)
        if self._server_state.is_draining:
            self._connection.close_after_answer()
        problem = self._server_state.check_load()
        if problem is not None:
            self._refuse(problem, True)
            return
        length = _request_framing.read_length(
            start_line, fields.values, self._server_state.body_bytes
        )
        if isinstance(length, result.Failure):
            self._refuse(length.failure(), True)
            return
        self._length = length.unwrap()
        parsed = self._path.parser.parse(
            start_line.method,
            start_line.path,
            fields,
            str(self._connection.context),
        )
        if isinstance(parsed, result.Failure):
            self._refuse(
                parsed.failure(),
                fields.repeated != "" or "Expect" in fields.values,
            )
            return
        request = parsed.unwrap()
        self._deadline = self._received_at + request.deadline_ms / 1000
        if self._deadline > self._server_state.latest_deadline:
            self._refuse(_HOST_STOPPING, "Expect" in fields.values)
            return
        full = self._guard.admit(self._account, self._length)
        if full is not None:
            self._refuse(full, "Expect" in fields.values)
            return
        self._server_connection.read_ahead(self._length)
        self._request = request
        self._timer = loop.call_at(self._deadline, self._on_deadline)

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Buffers a part of the body.

        Returns:
            None, or a future that completes when the buffer has room again.
        """
        if self._ended or self._request is None:
            return None
        if self._upload is not None:
            return self._upload.feed(chunk)
        self._prefix.append(chunk)
        self._prefix_size += len(chunk)
        if self._prefix_size < _body_streams.PREFIX_BYTES:
            return None
        full = self._guard.admit_stream(self._account, self._length)
        if full is not None:
            self._refuse(full, True)
            return None
        self._upload = _body_streams.UploadBuffer()
        room = None
        for part in self._prefix:
            room = self._upload.feed(part)
        # tornado by itself notices a closed connection only after the body.
        self._connection.stream.set_close_callback(self._on_caller_gone)
        self._start(self._upload)
        return room

    def finish(self) -> None:
        """Handles the end of the body."""
        self._body_ended = True
        self._server_connection.read_ahead(0)
        if self._ended:
            self._connection.finish()
        elif self._upload is not None:
            self._upload.finish()
        elif self._request is not None:
            self._start(self._join_prefix())

    def on_connection_close(self) -> None:
        """Handles a connection that closed in the middle of the body."""
        self._on_caller_gone()

    def reject_body(
        self, refusal: _answers.Refusal
    ) -> asyncio.Task[None] | None:
        """Ends the request because its body is malformed.

        Returns:
            The task that still has to answer the request, or None.
        """
        self._is_rejected = True
        if self._upload is not None:
            # The attempt fails because its request body broke; the execution
            # then answers with the outcome of the request so far.
            self._upload.fail()
        elif not self._ended:
            self._refuse(refusal, True)
        return self.task

    def _join_prefix(self) -> bytes | None:
        if self._prefix_size:
            return b"".join(self._prefix)
        request, fields = self._request, self._fields
        assert request is not None and fields is not None
        if request.method in _BODILESS_METHODS and (
            self._head_only
            or (
                "Content-Length" not in fields.values
                and "Transfer-Encoding" not in fields.values
            )
        ):
            return None
        return b""

    # Running the request.

    def _start(self, body: bytes | _body_streams.UploadBuffer | None) -> None:
        request, fields = self._request, self._fields
        assert request is not None and fields is not None
        if self._connection.stream.closed():
            # tornado reports a closed connection only while it waits for the
            # answer.
            self._log_closed("request-dropped")
            self._on_caller_gone()
            return
        if self._body_ended:
            self._length = self._prefix_size
        prefix = b"".join(self._prefix)[: _body_streams.PREFIX_BYTES]
        self._prefix.clear()
        self._execution = self._path.create_execution(
            request,
            _exchange.ReceivedRequest(
                body, self._length, prefix, self._deadline
            ),
            fields,
            self,
        )
        self.task = self._server_state.loop.create_task(
            self._run_request(self._execution)
        )

    async def _run_request(self, run: _exchange.RequestExecution) -> None:
        refusal: _answers.Refusal | None = None
        try:
            refusal = await run.run()
        except asyncio.CancelledError:
            # `cancel_all` ends the requests that outlast the drain.
            self.abort()
            raise
        except iostream.StreamClosedError:
            self._on_caller_gone()
        except Exception:
            _logs.log_event(
                _LOGGER, logging.ERROR, "request-failed", exc_info=True
            )
            refusal = _answers.Refusal(
                500,
                "internal-error",
                "the router failed",
                "look at the router's log; the request may have run",
                _answers.UNKNOWN,
            )
        finally:
            if refusal is not None and not self._ended:
                self._refuse(refusal, False)
            elif self._has_begun:
                self.abort()
            self._end("completed", "")

    def _on_deadline(self) -> None:
        if self._execution is not None:
            self._execution.stop(_exchange.StopReason.DEADLINE_PASSED)
        elif not self._ended:
            self._refuse(
                _answers.Refusal(
                    408,
                    "slow-body",
                    "the deadline passed before the body arrived",
                    "send the body sooner, or set a later deadline",
                ),
                True,
            )

    def _on_caller_gone(self) -> None:
        if self._ended:
            return
        self._count_caller_gone()
        if self._upload is not None and not self._body_ended:
            self._upload.fail()
        if self._execution is None:
            self._end("did-not-run", "caller-gone")
        else:
            self._execution.stop(_exchange.StopReason.CALLER_GONE)

    def _count_caller_gone(self) -> None:
        if not self._is_caller_gone:
            self._is_caller_gone = True
            self._path.metrics.count("sycamoreloft_callers_gone_total")

    # Sending the answer; see `_exchange.AnswerSink`.

    def has_caller_left(self) -> bool:
        """See `_exchange.AnswerSink`."""
        stream = self._connection.stream
        if isinstance(stream, _caller_streams.CallerStream):
            has_left = stream.has_peer_closed()
        else:
            has_left = stream.closed()
        if has_left:
            self._count_caller_gone()
        return has_left

    def send_complete(
        self, answer: _answers.UpstreamAnswer, body: bytes
    ) -> None:
        """Sends an answer whose body is complete."""
        self._send_last(answer.encode_complete(body, self._decide_keep_open()))
        self._end(answer.outcome, answer.reason)

    async def begin(self, answer: _answers.UpstreamAnswer) -> None:
        """Sends the head of an answer that is streamed."""
        self._has_begun = True
        await self._write(answer.encode_head(self._decide_keep_open()))

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body and waits until there is room for more."""
        await self._write(b"%x\r\n%b\r\n" % (len(chunk), chunk))

    def end(self) -> None:
        """Ends a streamed answer with the last chunk."""
        self._send_last(b"0\r\n\r\n")
        self._end(_answers.COMPLETED, "")

    def abort(self) -> None:
        """Closes the connection without the last chunk of the answer."""
        if not self._ended:
            if not self._connection.stream.closed():
                self._path.metrics.count("sycamoreloft_answers_cut_total")
            self._end(_answers.UNKNOWN, "broken-answer")
            self._connection.close()

    def _decide_keep_open(self) -> bool:
        if self._server_state.is_draining or not (
            self._body_ended or self._length == 0
        ):
            self._connection.close_after_answer()
        return self._connection.keeps_open

    async def _write(self, data: bytes) -> None:
        # An operation that must not be cancelled goes on when its caller has
        # closed the connection; its answer is dropped.
        stream = self._connection.stream
        if not stream.closed():
            written = self._connection.write(data)
            self._guard.hold_answer(self._account, stream, True)
            await written
            self._guard.release_answer(self._account)

    def _refuse(self, refusal: _answers.Refusal, close_now: bool) -> None:
        """Sends an answer of the router itself.

        If another answer has begun, the connection is closed instead: the
        caller would read this one as a part of that.

        Args:
            refusal: The answer.
            close_now: Whether to close the connection without reading the
                rest of the body.
        """
        if self._has_begun:
            self.abort()
            return
        if close_now:
            self._connection.close_after_answer()
        data = refusal.encode(self._decide_keep_open(), not self._head_only)
        self._end(refusal.outcome, refusal.reason)
        self._send_last(data, close_now)

    def _send_last(self, data: bytes, close_now: bool = False) -> None:
        """Sends the last part of the answer and finishes the request.

        Args:
            data: The last part, or the whole answer.
            close_now: Whether to finish without reading the rest of the body.
        """
        connection = self._connection
        if connection.stream.closed():
            self._log_closed("answer-dropped")
            return
        connection.write(data)
        self._guard.hold_answer(self._account, connection.stream, False)
        if self._body_ended or close_now or self._is_rejected:
            connection.finish()
        else:
            asyncio.get_running_loop().call_later(
                DISCARD_TIMEOUT_S, self._stop_discarding
            )

    def _log_closed(self, event: str) -> None:
        """Logs an event of a request whose connection is already closed."""
        request = self._request
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            event,
            request=request.request_id if request is not None else "",
            elapsed_s=round(
                self._server_state.loop.time() - self._received_at, 4
            ),
        )

    def _stop_discarding(self) -> None:
        if not self._body_ended and not self._connection.stream.closed():
            self._connection.finish()

    def _end(self, outcome: str, reason: str) -> None:
        """Counts the ended request and releases its resources; idempotent."""
        if self._ended:
            return
        self._ended = True
        self._server_state.exchanges.discard(self)
        # The execution refers back to this object. Breaking the cycle frees the
        # memory of the request at once; collecting such cycles paused the
        # process for up to 30 ms.
        self._execution = None
        if self._timer is not None:
            self._timer.cancel()
        if self._upload is not None and not self._body_ended:
            # Wakes up the connection if it waits for room in the buffer; it
            # then discards the rest of the body.
            self._upload.fail()
        metrics = self._path.metrics
        metrics.count("sycamoreloft_requests_total", outcome, reason)
        metrics.observe(
            "sycamoreloft_request_seconds",
            self._server_state.loop.time() - self._received_at,
        )
