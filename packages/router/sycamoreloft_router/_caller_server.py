"""The HTTP server for callers."""

import asyncio
import dataclasses
import logging
import ssl

from tornado import httputil, netutil

from sycamoreloft_router import (
    _caller_connections,
    _caller_exchange,
    _exchange,
    _logs,
    _upstream_client,
)

_LOGGER = logging.getLogger(__name__)

#: Seconds between two looks for idle connections.
SWEEP_S = 5.0

#: Seconds between two looks at the connections while the server drains.
DRAIN_LOOK_S = 0.01

#: Seconds for which a connection must have been idle before a drain closes
#: it. A request that the caller sent before may still be on its way.
DRAIN_IDLE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds of the caller server."""

    #: Longest request line and headers together, in bytes.
    header_bytes: int = 16_384
    #: Longest request body, in bytes.
    body_bytes: int = 4 << 30
    #: Requests in flight. Each holds at most 0.4 MB of bodies, and most
    #: hold less than 64 KiB.
    requests: int = 2_000
    #: Seconds for which an idle connection of a caller is kept.
    idle_connection_s: float = 75.0
    #: Connections to one upstream, idle ones included. 300 connections
    #: shared by 24 hosts are 12 each.
    connections_per_upstream: int = 12


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Accepts requests of callers and forwards them to upstreams.

    Args:
        path: Serves the requests.
        client: Runs the transfers to upstreams; the server closes it.
        limits: Bounds.
    """

    def __init__(
        self,
        path: _exchange.RequestPath,
        client: _upstream_client.UpstreamClient,
        limits: CallerLimits | None = None,
    ) -> None:
        self._limits = limits or CallerLimits()
        self._idle_s = self._limits.idle_connection_s
        self._client = client
        self._shared = _caller_exchange.Shared(
            path, self._limits.body_bytes, self._limits.requests
        )
        self._server: _caller_connections.ConnectionServer | None = None
        self._sweep: asyncio.TimerHandle | None = None

    def listen(self, address: str, tls: ssl.SSLContext | None = None) -> str:
        """Starts to accept connections.

        Args:
            address: IP number and port, as "127.0.0.1:8080"; port 0 lets the
                system choose.
            tls: Context of a TLS server, or None for plain TCP.

        Returns:
            The address that the server listens on.
        """
        ip, _, port = address.rpartition(":")
        sockets = netutil.bind_sockets(
            int(port),
            ip.strip("[]"),
            backlog=_caller_connections.MAXIMUM_PENDING,
        )
        self._server = _caller_connections.ConnectionServer(
            self, self._limits.header_bytes, self._limits.body_bytes, tls
        )
        self._server.add_sockets(sockets)
        self._close_idle()
        return f"{ip}:{sockets[0].getsockname()[1]}"

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Creates the exchange of the next request of a connection."""
        return _caller_exchange.CallerExchange(
            self._shared, server_conn, request_conn
        )

    def count_requests(self) -> int:
        """Returns the number of requests in flight."""
        return len(self._shared.exchanges)

    def stop_accepting(self) -> None:
        """Closes the listening sockets; connections stay open.

        Answers from now on close the connection of the caller.
        """
        self._shared.is_draining = True
        if self._server is not None:
            self._server.accept_pending()
            self._server.stop()

    async def drain(self, bound_s: float) -> int:
        """Waits for the requests in flight and closes all connections.

        Args:
            bound_s: Longest wait, in seconds.

        Returns:
            The number of requests that were cut off at the bound.
        """
        self.stop_accepting()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + bound_s
        await asyncio.sleep(min(DRAIN_IDLE_S, bound_s))
        while loop.time() < deadline:
            if self._server is None:
                break
            # Also while others are in flight: a connection that stayed open
            # would bring requests until the end, which then are cut off.
            self._server.close_idle(loop.time() - DRAIN_IDLE_S)
            if (
                not self._shared.exchanges
                and not self._server.list_connections()
            ):
                break
            await asyncio.sleep(DRAIN_LOOK_S)
        cut_off = self.count_requests()
        if cut_off:
            _logs.log_event(
                _LOGGER,
                logging.ERROR,
                "drain-bound-reached",
                bound_s=bound_s,
                requests=cut_off,
            )
        await self._close()
        return cut_off

    async def _close(self) -> None:
        if self._sweep is not None:
            self._sweep.cancel()
        await self._shared.cancel_all()
        if self._server is not None:
            for connection in self._server.list_connections():
                connection.stream.close()
        self._client.close()

    def limit_connections(self, connections: int, keeps_idle: bool) -> None:
        """Changes the limit of connections to each upstream.

        Args:
            connections: Connections at once, idle ones included.
            keeps_idle: Whether a connection may be kept for the next request.
        """
        self._client.limit_connections(connections, keeps_idle)

    def limit_callers(
        self, header_bytes: int, body_bytes: int, idle_s: float
    ) -> None:
        """Changes what callers may send, for the next requests.

        Args:
            header_bytes: Longest request line and headers, in bytes.
            body_bytes: Longest request body, in bytes.
            idle_s: Seconds for which an idle connection is kept.
        """
        self._idle_s = idle_s
        self._shared.body_bytes = body_bytes
        if self._server is not None:
            self._server.limit_sizes(header_bytes, body_bytes)

    def announce_stop(self) -> None:
        """Closes each connection with its next answer."""
        self._shared.is_draining = True

    def _close_idle(self) -> None:
        loop = asyncio.get_running_loop()
        if self._server is not None:
            self._server.close_idle(loop.time() - self._idle_s)
        self._sweep = loop.call_later(SWEEP_S, self._close_idle)
