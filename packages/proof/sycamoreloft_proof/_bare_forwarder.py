"""Minimal HTTP forwarder, the baseline of the throughput benchmark.

It consists of tornado's HTTP server and curl client only and has no limits,
permits or checks. `python -m sycamoreloft_proof._bare_forwarder UPSTREAM`
prints the address of the forwarder and forwards every request to the upstream
("ip:port").
"""

import asyncio
import sys

from tornado import curl_httpclient, httpclient, httpserver, httputil, netutil

#: Maximum of requests in flight to the upstream. Tornado's default of 10 would
#: limit the throughput and distort the comparison with the router.
MAXIMUM_CONCURRENT_REQUESTS = 256

#: Headers that belong to a single connection and must not be forwarded.
_HOP_BY_HOP = frozenset(
    ("Connection", "Keep-Alive", "Transfer-Encoding", "Host", "Content-Length")
)


class BareForwarder:
    """Forwards every request to one upstream.

    Args:
        upstream: Address of the upstream, as "ip:port".
    """

    def __init__(self, upstream: str) -> None:
        self._upstream = upstream
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAXIMUM_CONCURRENT_REQUESTS
        )

    def handle(self, request: httputil.HTTPServerRequest) -> None:
        """Starts a task that forwards the request and writes the answer."""
        task = asyncio.ensure_future(self._forward(request))
        task.add_done_callback(asyncio.Task.result)

    async def _forward(self, request: httputil.HTTPServerRequest) -> None:
        headers = httputil.HTTPHeaders()
        for name, value in request.headers.get_all():
            if name not in _HOP_BY_HOP:
                headers.add(name, value)
        has_body = request.method in ("POST", "PUT", "PATCH")
        answer = await self._client.fetch(
            httpclient.HTTPRequest(
                f"http://{self._upstream}{request.uri}",
                request.method or "GET",
                headers,
                request.body if has_body else None,
                follow_redirects=False,
                decompress_response=False,
            ),
            raise_error=False,
        )
        connection = request.connection
        assert connection is not None
        body = answer.body
        answer_headers = httputil.HTTPHeaders()
        for name, value in answer.headers.get_all():
            if name not in _HOP_BY_HOP:
                answer_headers.add(name, value)
        answer_headers["Content-Length"] = str(len(body))
        connection.write_headers(
            httputil.ResponseStartLine(
                "HTTP/1.1", answer.code, answer.reason or ""
            ),
            answer_headers,
            body,
        )
        connection.finish()


async def main(upstream: str) -> None:
    """Prints the listening address and serves until the process ends.

    Args:
        upstream: Address of the upstream, as "ip:port".
    """
    server = httpserver.HTTPServer(BareForwarder(upstream).handle)
    sockets = netutil.bind_sockets(0, "127.0.0.1", backlog=1024)
    server.add_sockets(sockets)
    print(f"127.0.0.1:{sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
