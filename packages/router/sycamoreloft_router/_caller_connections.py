"""Connections of callers: answers to malformed input, and idle timeouts."""

import asyncio
from collections import abc
import contextlib
import logging
import re
import socket
import ssl
import typing

from tornado import http1connection, httpserver, httputil, iostream

import sycamoreloft_load
from sycamoreloft_router import _answers, _caller_streams, _logs
from sycamoreloft_router.load import _accepting, _caller_guard

_LOGGER = logging.getLogger(__name__)

#: Maximum length of a request head that is read into memory, in bytes. A head
#: between the server's own limit and this one is refused with its length in
#: the answer; a longer one is refused as soon as it exceeds this limit.
READ_HEADER_BYTES = 65_536

#: Maximum number of bytes that tornado buffers for a connection.
READ_BUFFER_BYTES = 4 * 65_536

#: Maximum number of bytes per read of a body, and per read of a head.
READ_CHUNK_BYTES = 65_536
READ_HEAD_BYTES = 16_384

#: Error message of tornado for a chunked body that exceeds the limit.
_LONG_BODY_MESSAGE = "chunked body too large"

#: Maximum number of connections in the backlog of a listening socket.
MAXIMUM_PENDING = 1_024

#: Header lines as in RFC 9112: a token, a colon, and a value without control
#: characters other than the tab.
_HEADER_BLOCK = re.compile(
    r"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*"
)


def parse_head(data: bytes) -> tuple[str, httputil.HTTPHeaders] | None:
    """Parses a well-formed head faster than tornado's parser.

    tornado matches three regular expressions for each header, which took a
    tenth of the time of a request.

    Args:
        data: Request line and headers, with their line ends.

    Returns:
        Request line and headers, or None if the head is not well-formed and
        has to be parsed by tornado.
    """
    start_line, _, block = data.decode("latin1").partition("\r\n")
    block = block[:-2]
    if not start_line or _HEADER_BLOCK.fullmatch(block) is None:
        return None
    headers = httputil.HTTPHeaders()
    for line in block.split("\r\n")[:-1]:
        name, _, value = line.partition(":")
        if name in headers:
            headers.add(name, value.strip(" \t"))
        else:
            headers[name] = value.strip(" \t")
    return start_line, headers


class ConnectionRejected(iostream.StreamClosedError):
    """The connection has answered malformed input and must be closed."""


#: Maximum time for a head that has begun to arrive after the idle timeout, in
#: seconds.
MAXIMUM_HEAD_S = 10.0

#: Maximum time between reading bytes and handling them on the event loop, in
#: seconds. Bytes that were read earlier do not count as pending.
MAXIMUM_LOOP_DELAY_S = 1.0


class BodyRejecter(typing.Protocol):
    """A delegate that answers requests with a malformed body."""

    def reject_body(
        self, refusal: _answers.Refusal
    ) -> asyncio.Task[None] | None:
        """Ends the request because of its malformed body.

        Args:
            refusal: Answer to a request that no upstream has received.

        Returns:
            The task that still has to answer the request, or None.
        """


class CallerConnection(http1connection.HTTP1Connection):
    """Reads one request, and answers a malformed one with a remedy."""

    #: Maximum length of request line and headers, in bytes; set by the server.
    header_bytes = READ_HEADER_BYTES

    @property
    def keeps_open(self) -> bool:
        """Whether the connection stays open after the answer."""
        return not self._disconnect_on_finish

    def close_after_answer(self) -> None:
        """Makes the connection close after the answer to this request."""
        self._disconnect_on_finish = True

    def _parse_headers(self, data: bytes) -> tuple[str, httputil.HTTPHeaders]:
        if len(data) > self.header_bytes:
            self._reject(
                _answers.Refusal(
                    431,
                    "long-headers",
                    f"the request line and headers have {len(data)} bytes",
                    f"send at most {self.header_bytes} bytes of them",
                )
            )
        try:
            parsed = parse_head(data)
            start_line, headers = parsed or super()._parse_headers(data)
        except httputil.HTTPInputError as error:
            self._reject(
                _answers.Refusal(
                    400,
                    "malformed-headers",
                    str(error),
                    "send header lines as RFC 9112 defines them",
                )
            )
        # tornado parses the request line again, and would answer a malformed
        # one without any headers.
        try:
            httputil.parse_request_start_line(start_line)
        except httputil.HTTPInputError as error:
            self._reject(
                _answers.Refusal(
                    400,
                    "malformed-request-line",
                    str(error),
                    "send method, path and version, as in GET / HTTP/1.1",
                )
            )
        return start_line, headers

    async def _read_chunked_body(
        self, delegate: httputil.HTTPMessageDelegate
    ) -> None:
        try:
            await super()._read_chunked_body(delegate)
        except httputil.HTTPInputError as error:
            answer_task = typing.cast(BodyRejecter, delegate).reject_body(
                self._describe_body_problem(str(error))
            )
            if answer_task is not None:
                await asyncio.wait([answer_task])
            raise ConnectionRejected from error

    def _describe_body_problem(self, problem: str) -> _answers.Refusal:
        if problem == _LONG_BODY_MESSAGE:
            return _answers.Refusal(
                413,
                "long-body",
                "the chunks of the body are longer than the limit",
                f"send at most {self.params.max_body_size} bytes",
            )
        return _answers.Refusal(
            400,
            "malformed-body",
            problem,
            "send the body in well-formed chunks",
        )

    def _reject(self, refusal: _answers.Refusal) -> typing.NoReturn:
        with contextlib.suppress(iostream.StreamClosedError):
            self.stream.write(refusal.encode(False))
        raise ConnectionRejected


class ServerConnection(http1connection.HTTP1ServerConnection):
    """Serves the requests of one connection, one after the other."""

    #: Whether the connection waits for the head of its next request.
    is_waiting = True

    #: Start of the latest wait, in seconds on the clock of the event loop.
    waiting_since = 0.0

    #: Maximum length of request line and headers, in bytes; set by the server.
    header_bytes = READ_HEADER_BYTES

    #: Counts what the connection holds; both are set by the server.
    guard: _caller_guard.CallerGuard
    account: sycamoreloft_load.Account

    def read_ahead(self, length: int) -> None:
        """Sets how much the next reads take from the connection.

        A read takes no more than the rest of the body, so that few bytes of
        the requests that follow wait in the memory of the process.

        Args:
            length: Bytes that are known to follow; -1 if unknown.
        """
        if length < 0:
            self.stream.read_chunk_size = READ_CHUNK_BYTES
        else:
            self.stream.read_chunk_size = min(
                max(length, READ_HEAD_BYTES), READ_CHUNK_BYTES
            )

    def is_idle(self, waiting_before: float) -> bool:
        """Returns whether the connection has waited since before a time.

        A connection is not idle if bytes of a request have arrived that the
        event loop has not handled yet, unless the head takes too long.

        Args:
            waiting_before: Time on the clock of the event loop, in seconds.
        """
        if not self.is_waiting or self.waiting_since >= waiting_before:
            return False
        return (
            self.waiting_since < waiting_before - MAXIMUM_HEAD_S
            or not self._has_pending_input()
        )

    def _has_pending_input(self) -> bool:
        """Returns whether bytes have arrived that may not be handled yet."""
        stream = self.stream
        if not isinstance(stream, _caller_streams.CallerStream):
            return False
        read_since = asyncio.get_running_loop().time() - MAXIMUM_LOOP_DELAY_S
        is_read = stream.received_at > max(read_since, self.waiting_since)
        return is_read or stream.has_unread()

    async def _server_request_loop(
        self, delegate: httputil.HTTPServerConnectionDelegate
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                self.is_waiting = True
                self.read_ahead(0)
                self.waiting_since = loop.time()
                connection = CallerConnection(
                    self.stream, False, self.params, self.context
                )
                connection.header_bytes = self.header_bytes
                request = delegate.start_request(self, connection)
                if not await connection.read_response(request):
                    return
                self.guard.release(self.account)
                # Lets other connections run between two requests.
                await asyncio.sleep(0)
        except ConnectionRejected:
            await _caller_streams.linger(self.stream)
            self.stream.close()
        except asyncio.CancelledError:
            # The answer is in the socket buffer already, unless the caller
            # does not read it.
            self.stream.close()
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            pass
        except Exception:
            _logs.log_event(
                _LOGGER,
                logging.ERROR,
                "caller-connection-failed",
                exc_info=True,
            )
            self.stream.close()
        finally:
            delegate.on_close(self)


class ConnectionServer(httpserver.HTTPServer):
    """Accepts connections of callers.

    Args:
        delegate: Handles the requests.
        header_bytes: Maximum length of request line and headers, in bytes.
        body_bytes: Maximum length of a request body, in bytes.
        tls: TLS context of the server, or None for plain TCP.
        guard: Limits the connections and what they hold.
    """

    def initialize(  # type: ignore[override]
        self,
        delegate: httputil.HTTPServerConnectionDelegate,
        header_bytes: int,
        body_bytes: int,
        tls: ssl.SSLContext | None,
        guard: _caller_guard.CallerGuard,
    ) -> None:
        """Sets the limits; called by the constructor of `Configurable`."""
        super().initialize(
            delegate,
            ssl_options=tls,
            chunk_size=READ_CHUNK_BYTES,
            max_header_size=READ_HEADER_BYTES,
            max_body_size=body_bytes,
            max_buffer_size=READ_BUFFER_BYTES,
        )
        self._header_bytes = header_bytes
        self._guard = guard
        # tornado would start a timer for the head of each request; instead,
        # the server closes idle connections periodically.
        self.conn_params.header_timeout = None

    def add_sockets(self, sockets: abc.Iterable[socket.socket]) -> None:
        """Starts accepting connections on listening sockets."""
        for listener in sockets:
            self._guard.prepare(listener)
            descriptor = listener.fileno()
            self._sockets[descriptor] = listener
            self._handlers[descriptor] = _accepting.Acceptor(
                listener, self._handle_connection, self._guard.record_exhaustion
            ).stop

    def on_close(self, server_conn: object) -> None:
        """Forgets a closed connection."""
        super().on_close(server_conn)
        self._guard.close(typing.cast(ServerConnection, server_conn).account)

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[typing.Any, ...]
    ) -> None:
        """Serves a new connection."""
        if type(stream) is iostream.IOStream:
            # Nothing has been read from the stream yet, so it can be replaced.
            # TLS streams are kept.
            stream = _caller_streams.CallerStream(
                stream.socket,
                max_buffer_size=READ_BUFFER_BYTES,
                read_chunk_size=stream.read_chunk_size,
            )
        connection = ServerConnection(stream, self.conn_params, address[0])
        connection.header_bytes = self._header_bytes
        connection.guard = self._guard
        connection.account = self._guard.open(connection, address[0])
        # The task that serves the connection starts in the next iteration of
        # the event loop. Without a start time, a sweep in between closed the
        # connection as idle.
        connection.waiting_since = asyncio.get_running_loop().time()
        self._connections.add(connection)
        connection.start_serving(self)

    def limit_sizes(self, header_bytes: int, body_bytes: int) -> None:
        """Changes the limits of head and body, for the next requests.

        Args:
            header_bytes: Maximum length of request line and headers, in bytes.
            body_bytes: Maximum length of a request body, in bytes.
        """
        self._header_bytes = min(header_bytes, READ_HEADER_BYTES)
        self.conn_params.max_body_size = body_bytes
        for connection in self.list_connections():
            connection.header_bytes = self._header_bytes

    def accept_pending(self) -> None:
        """Accepts the connections in the backlog of the listening sockets.

        Closing a listening socket would reset them, although their callers
        may have sent a request.
        """
        for listener in self._sockets.values():
            for _ in range(MAXIMUM_PENDING):
                try:
                    connection, address = listener.accept()
                except OSError:
                    break
                connection.setblocking(False)
                self._handle_connection(connection, address)

    def list_connections(self) -> abc.Sequence[ServerConnection]:
        """Lists the open connections."""
        return [
            connection
            for connection in self._connections
            if isinstance(connection, ServerConnection)
        ]

    def close_idle(self, waiting_before: float) -> None:
        """Closes connections that have been idle since before a time.

        Args:
            waiting_before: Time on the clock of the event loop, in seconds.
        """
        for connection in self.list_connections():
            if connection.is_idle(waiting_before):
                connection.stream.close()

    def close_stalled(self, timeout_s: float) -> None:
        """Closes connections whose answers were not read for some time.

        Args:
            timeout_s: Time without a byte that the system took, in seconds.
        """
        self._guard.close_stalled(timeout_s)
