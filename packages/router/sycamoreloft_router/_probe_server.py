"""HTTP server for the load balancer's readiness probes and for metrics.

It does not use the web framework of tornado, which takes time to import in
every process: there are only two kinds of paths and one method.
"""

from collections import abc
import dataclasses
import socket
import typing

from tornado import http1connection, httpserver, httputil, iostream, netutil

from sycamoreloft_router import _caller_connections
from sycamoreloft_router.load import _accepting

#: Path of the metrics; every other path is a probe.
METRICS_PATH = "/metrics"

#: Maximum number of open connections. A load balancer and a collector of
#: metrics use a few; callers must not take the descriptors of the host here.
MAXIMUM_CONNECTIONS = 48

#: Maximum sizes of a head and of a body, in bytes. tornado collects bodies of
#: up to 100 MB by default.
MAXIMUM_HEAD_BYTES = 8_192
MAXIMUM_BODY_BYTES = 4_096

#: Maximum time between two requests, and for a body, in seconds. Collectors of
#: metrics keep a connection for the next minute.
IDLE_TIMEOUT_S = 75.0

#: Maximum number of bytes per read.
_READ_BYTES = 16_384

_PHRASES = {200: "OK", 405: "Method Not Allowed", 503: "Service Unavailable"}


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """An answer to a probe or to a scrape of metrics."""

    #: HTTP status, one of `_PHRASES`.
    status: int
    #: Content type of the body; empty to send none.
    content_type: str = ""
    #: Body; empty for probes.
    body: bytes = b""


class _ProbeServer(httpserver.HTTPServer):
    """Closes the oldest connection when there are too many."""

    def initialize(self, *arguments: typing.Any, **options: typing.Any) -> None:
        """Creates the server; called by the constructor of `Configurable`."""
        super().initialize(*arguments, **options)
        # Open connections in the order in which they were accepted.
        self._streams: dict[iostream.IOStream, None] = {}

    def add_sockets(self, sockets: abc.Iterable[socket.socket]) -> None:
        """Starts accepting connections on listening sockets."""
        for listener in sockets:
            descriptor = listener.fileno()
            self._sockets[descriptor] = listener
            self._handlers[descriptor] = _accepting.Acceptor(
                listener, self._handle_connection, lambda: None
            ).stop

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[typing.Any, ...]
    ) -> None:
        """Serves a new connection."""
        self._streams[stream] = None
        super().handle_stream(stream, address)
        if len(self._streams) > MAXIMUM_CONNECTIONS:
            oldest = next(iter(self._streams))
            del self._streams[oldest]
            oldest.close()

    def on_close(self, server_conn: object) -> None:
        """Forgets a closed connection."""
        super().on_close(server_conn)
        connection = typing.cast(
            http1connection.HTTP1ServerConnection, server_conn
        )
        self._streams.pop(connection.stream, None)


def create_server(
    is_ready: abc.Callable[[], bool],
    render_metrics: abc.Callable[[], bytes],
) -> httpserver.HTTPServer:
    """Creates a server that answers probes and renders metrics.

    Args:
        is_ready: Returns whether the load balancer may send new connections.
        render_metrics: Returns all metrics in the Prometheus text format.
    """

    def answer(request: httputil.HTTPServerRequest) -> None:
        if request.method != "GET":
            _send(request, _Answer(405))
        elif request.path == METRICS_PATH:
            _send(
                request,
                _Answer(200, "text/plain; version=0.0.4", render_metrics()),
            )
        else:
            _send(request, _Answer(200 if is_ready() else 503))

    return _ProbeServer(
        answer,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        body_timeout=IDLE_TIMEOUT_S,
        max_header_size=MAXIMUM_HEAD_BYTES,
        max_body_size=MAXIMUM_BODY_BYTES,
        max_buffer_size=2 * _READ_BYTES,
        chunk_size=_READ_BYTES,
    )


def listen(
    address: str,
    is_ready: abc.Callable[[], bool],
    render_metrics: abc.Callable[[], bytes],
) -> httpserver.HTTPServer:
    """Creates a server, and listens.

    Args:
        address: TCP address, as "ip:port".
        is_ready: Returns whether the load balancer may send new connections.
        render_metrics: Returns all metrics in the Prometheus text format.

    Raises:
        OSError: The port is in use.
    """
    ip, _, port = address.rpartition(":")
    server = create_server(is_ready, render_metrics)
    server.add_sockets(
        netutil.bind_sockets(
            int(port), ip, backlog=_caller_connections.MAXIMUM_PENDING
        )
    )
    return server


def _send(request: httputil.HTTPServerRequest, answer: _Answer) -> None:
    headers = httputil.HTTPHeaders({"Content-Length": str(len(answer.body))})
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    connection = request.connection
    assert connection is not None
    connection.write_headers(
        httputil.ResponseStartLine(
            "HTTP/1.1", answer.status, _PHRASES[answer.status]
        ),
        headers,
        answer.body,
    )
    connection.finish()
