"""HTTP server for the load balancer's readiness probes and for metrics.

It does not use the web framework of tornado, which takes time to import in
every process: there are only two kinds of paths and one method.
"""

from collections import abc
import dataclasses

from tornado import httpserver, httputil, netutil

from sycamoreloft_router import _caller_connections

#: Path of the metrics; every other path is a probe.
METRICS_PATH = "/metrics"

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

    return httpserver.HTTPServer(answer)


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
