"""Connections of callers: typed answers to malformed input, idle limit."""

import asyncio
from collections import abc
import contextlib
import logging
import re
import ssl
import typing

from tornado import http1connection, httpserver, httputil, iostream

from sycamoreloft_router import _answers, _caller_streams, _logs

_LOGGER = logging.getLogger(__name__)

#: Longest head that is read as one, in bytes. Heads between the limit of the
#: server and this one are counted in their answer; longer ones are refused
#: where they pass it.
READ_HEADER_BYTES = 65_536

#: Bytes from a caller that tornado holds before the server takes them.
READ_BUFFER_BYTES = 4 * 65_536

#: What tornado says of a chunked body that is longer than the limit.
_LONG_CHUNKED_BODY = "chunked body too large"

#: Connections that wait in a listening socket.
MAXIMUM_PENDING = 1_024

#: Header lines as RFC 9112 defines them: a token, a colon, and a value
#: without control characters other than the tab.
_HEADER_BLOCK = re.compile(
    r"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*"
)


def parse_head(data: bytes) -> tuple[str, httputil.HTTPHeaders] | None:
    """Parses a well-formed head; tornado's parser gets all others.

    tornado matches three expressions for each header, which was a tenth of
    the time of a request.
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


class Rejected(iostream.StreamClosedError):
    """The connection answered malformed input itself and must close."""


#: Seconds that a head may take to come after the connection was idle for too
#: long.
LONGEST_HEAD_S = 10.0

#: Seconds within which a head that was read gets its turn on the event loop.
TURN_S = 1.0


class BodyRejecter(typing.Protocol):
    """A delegate that answers a malformed body itself."""

    def reject_body(
        self, refusal: _answers.Refusal
    ) -> asyncio.Task[None] | None:
        """Ends the request; returns the task that still answers it."""


class CallerConnection(http1connection.HTTP1Connection):
    """Reads one request, and answers malformed ones with a remedy."""

    #: Longest request line and headers, in bytes; set by the server.
    header_bytes = READ_HEADER_BYTES

    @property
    def keeps_open(self) -> bool:
        """Whether the connection stays open after the answer."""
        return not self._disconnect_on_finish

    def close_after_answer(self) -> None:
        """Closes the connection after the answer of this request."""
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
        # tornado parses the line once more and answers a malformed one
        # without any header.
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
            answering = typing.cast(BodyRejecter, delegate).reject_body(
                self._describe_body_problem(str(error))
            )
            if answering is not None:
                await asyncio.wait([answering])
            raise Rejected from error

    def _describe_body_problem(self, problem: str) -> _answers.Refusal:
        if problem == _LONG_CHUNKED_BODY:
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
        raise Rejected


class ServerConnection(http1connection.HTTP1ServerConnection):
    """Serves the requests of one connection one after the other."""

    #: Whether the connection waits for the head of a request.
    is_waiting = True

    #: When it began to wait, on the clock of the event loop.
    waiting_since = 0.0

    #: Longest request line and headers, in bytes; set by the server.
    header_bytes = READ_HEADER_BYTES

    def is_idle(self, waiting_before: float) -> bool:
        """Tells whether the connection has waited since before a time.

        A request that has arrived and not had its turn on the event loop
        ends the wait, unless its head takes too long to come.
        """
        if not self.is_waiting or self.waiting_since >= waiting_before:
            return False
        return (
            self.waiting_since < waiting_before - LONGEST_HEAD_S
            or not self._has_arrived()
        )

    def _has_arrived(self) -> bool:
        """Tells whether bytes of a request arrived just now."""
        stream = self.stream
        if not isinstance(stream, _caller_streams.CallerStream):
            return False
        read_since = asyncio.get_running_loop().time() - TURN_S
        is_read = stream.received_at > max(read_since, self.waiting_since)
        return is_read or stream.has_unread()

    async def _server_request_loop(
        self, delegate: httputil.HTTPServerConnectionDelegate
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                self.is_waiting = True
                self.waiting_since = loop.time()
                connection = CallerConnection(
                    self.stream, False, self.params, self.context
                )
                connection.header_bytes = self.header_bytes
                request = delegate.start_request(self, connection)
                if not await connection.read_response(request):
                    return
                # Other connections get their turn between two requests.
                await asyncio.sleep(0)
        except Rejected:
            await _caller_streams.linger(self.stream)
            self.stream.close()
        except asyncio.CancelledError:
            # The answer is in the socket buffer by now, unless the caller
            # does not read.
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
        delegate: Gets the requests.
        header_bytes: Longest request line and headers, in bytes.
        body_bytes: Longest request body, in bytes.
        tls: Context of a TLS server, or None for plain TCP.
    """

    def initialize(  # type: ignore[override]
        self,
        delegate: httputil.HTTPServerConnectionDelegate,
        header_bytes: int,
        body_bytes: int,
        tls: ssl.SSLContext | None,
    ) -> None:
        """Sets the limits; `Configurable` calls it in place of __init__."""
        super().initialize(
            delegate,
            ssl_options=tls,
            chunk_size=65_536,
            max_header_size=READ_HEADER_BYTES,
            max_body_size=body_bytes,
            max_buffer_size=READ_BUFFER_BYTES,
        )
        self._header_bytes = header_bytes
        # tornado starts a timer for the head of each request; the server
        # looks for idle connections from time to time instead.
        self.conn_params.header_timeout = None

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[typing.Any, ...]
    ) -> None:
        """Serves a new connection."""
        if type(stream) is iostream.IOStream:
            # Nothing has been read from it; streams of TLS stay as they are.
            stream = _caller_streams.CallerStream(
                stream.socket,
                max_buffer_size=READ_BUFFER_BYTES,
                read_chunk_size=stream.read_chunk_size,
            )
        connection = ServerConnection(stream, self.conn_params, address[0])
        connection.header_bytes = self._header_bytes
        # The task that serves the connection starts one turn of the loop
        # later; a sweep in between closed the connection as idle.
        connection.waiting_since = asyncio.get_running_loop().time()
        self._connections.add(connection)
        connection.start_serving(self)

    def limit_sizes(self, header_bytes: int, body_bytes: int) -> None:
        """Changes the longest head and body, for the next requests.

        Args:
            header_bytes: Longest request line and headers, in bytes.
            body_bytes: Longest request body, in bytes.
        """
        self._header_bytes = min(header_bytes, READ_HEADER_BYTES)
        self.conn_params.max_body_size = body_bytes
        for connection in self.list_connections():
            connection.header_bytes = self._header_bytes

    def accept_pending(self) -> None:
        """Accepts connections that wait in the listening sockets.

        Closing a listening socket resets them, although their callers may
        have sent a request.
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
        """Closes connections that have waited since before a time."""
        for connection in self.list_connections():
            if connection.is_idle(waiting_before):
                connection.stream.close()
