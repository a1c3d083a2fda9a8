"""The HTTP server for callers."""

import asyncio
import dataclasses
import logging
import math
import ssl

from tornado import httputil, netutil

import sycamoreloft_load
from sycamoreloft_router import (
    _caller_connections,
    _caller_exchange,
    _caller_server_state,
    _exchange,
    _logs,
    _upstream_client,
)
from sycamoreloft_router.load import _caller_guard

_LOGGER = logging.getLogger(__name__)

#: Interval at which idle connections are closed, in seconds.
SWEEP_INTERVAL_S = 5.0

#: Interval at which a draining server checks its connections, in seconds.
DRAIN_POLL_S = 0.01

#: Minimum idle time before a draining server closes a connection, in seconds.
#: A request that the caller has sent may still be on its way.
DRAIN_IDLE_S = 0.05

#: Seconds after the begin of the drain for which all requests are taken: they
#: were on their way when the host stopped accepting connections.
LATE_ARRIVAL_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of the caller server."""

    #: Maximum length of request line and headers together, in bytes.
    header_bytes: int = 16_384
    #: Maximum length of a request body, in bytes.
    body_bytes: int = 4 << 30
    #: Maximum number of requests in flight. Each buffers at most 0.4 MB of its
    #: bodies, and most buffer less than 64 KiB.
    requests: int = 2_000
    #: Idle time after which a connection of a caller is closed, in seconds.
    idle_connection_s: float = 75.0
    #: Maximum number of connections to one upstream, idle ones included. The
    #: 300 connections of an upstream, divided among 24 hosts, are 12 each.
    connections_per_upstream: int = 12
    #: Limits on what callers hold of the host.
    quotas: sycamoreloft_load.CallerQuotas = sycamoreloft_load.CallerQuotas()


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Accepts requests of callers and forwards them to upstreams.

    Args:
        path: Parses and serves the requests.
        client: Runs the transfers to upstreams; the server closes it.
        limits: Limits; None for the defaults.
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
        self._guard = _caller_guard.CallerGuard(
            self._limits.quotas, path.metrics
        )
        self._server_state = _caller_server_state.ServerState(
            path, self._limits.body_bytes, self._limits.requests, self._guard
        )
        self._server: _caller_connections.ConnectionServer | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    def listen(self, address: str, tls: ssl.SSLContext | None = None) -> str:
        """Starts accepting connections.

        Args:
            address: IP address and port, as "127.0.0.1:8080"; for port 0, the
                operating system chooses a free port.
            tls: TLS context of the server, or None for plain TCP.

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
            self,
            self._limits.header_bytes,
            self._limits.body_bytes,
            tls,
            self._guard,
        )
        self._server.add_sockets(sockets)
        self._close_idle()
        return f"{ip}:{sockets[0].getsockname()[1]}"

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Creates the exchange for the next request of a connection."""
        return _caller_exchange.CallerExchange(
            self._server_state, server_conn, request_conn
        )

    def count_requests(self) -> int:
        """Returns the number of requests in flight."""
        return len(self._server_state.exchanges)

    def update_metrics(self) -> None:
        """Updates the gauges of connections, before they are rendered."""
        self._guard.update_metrics()

    @property
    def refuses_late_requests(self) -> bool:
        """Whether requests that may outlast the drain are refused."""
        return self._server_state.latest_deadline < math.inf

    def stop_accepting(self) -> None:
        """Closes the listening sockets; connections stay open.

        From now on, each answer closes the connection of its caller.
        """
        self._server_state.is_draining = True
        if self._server is not None:
            self._server.accept_pending()
            self._server.stop()

    async def drain(self, bound_s: float) -> int:
        """Waits for the requests in flight and closes all connections.

        Args:
            bound_s: Maximum time to wait, in seconds.

        Returns:
            The number of requests that were cancelled after that time.
        """
        self.stop_accepting()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + bound_s
        await asyncio.sleep(min(DRAIN_IDLE_S, bound_s))
        while loop.time() < deadline:
            if self._server is None:
                break
            if loop.time() >= started_at + LATE_ARRIVAL_S:
                self._server_state.latest_deadline = deadline
            # Closes idle connections also while requests are in flight: they
            # would bring further requests until the end of the drain, which
            # would then be cancelled.
            self._server.close_idle(loop.time() - DRAIN_IDLE_S)
            if (
                not self._server_state.exchanges
                and not self._server.list_connections()
            ):
                break
            await asyncio.sleep(DRAIN_POLL_S)
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
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        await self._server_state.cancel_all()
        if self._server is not None:
            for connection in self._server.list_connections():
                connection.stream.close()
        self._client.close()

    def limit_connections(self, connections: int, keeps_idle: bool) -> None:
        """Changes the limit of connections to each upstream.

        Args:
            connections: Maximum number of connections, idle ones included.
            keeps_idle: Whether a connection may stay open for the next request.
        """
        self._client.limit_connections(connections, keeps_idle)

    def limit_callers(
        self, header_bytes: int, body_bytes: int, idle_s: float
    ) -> None:
        """Changes the limits of callers, for the next requests.

        Args:
            header_bytes: Maximum length of request line and headers, in bytes.
            body_bytes: Maximum length of a request body, in bytes.
            idle_s: Idle time after which a connection is closed, in seconds.
        """
        self._idle_s = idle_s
        self._server_state.body_bytes = body_bytes
        if self._server is not None:
            self._server.limit_sizes(header_bytes, body_bytes)

    def announce_stop(self) -> None:
        """Makes each connection close after its next answer."""
        self._server_state.is_draining = True

    def _close_idle(self) -> None:
        loop = asyncio.get_running_loop()
        if self._server is not None:
            self._server.close_idle(loop.time() - self._idle_s)
            self._server.close_stalled(self._idle_s)
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._close_idle)
