"""The HTTP server for callers."""

import dataclasses
import ssl

from sycamoreloft_router import _exchange


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds of the caller server."""

    #: Longest request line and headers together, in bytes.
    header_bytes: int = 16_384
    #: Longest request body, in bytes.
    body_bytes: int = 4 << 30
    #: Seconds for which an idle connection of a caller is kept.
    idle_connection_s: float = 75.0
    #: Connections to one upstream, idle ones included. 300 connections
    #: shared by 24 hosts are 12 each.
    connections_per_upstream: int = 12


class CallerServer:
    """Accepts requests of callers and forwards them to upstreams.

    Args:
        host: Name of this host.
        incarnation: Random identifier of this process.
        names: The generation in force.
        groups: Location of partitions and groups.
        permits: Source of permits.
        claims: Source of claims.
        limits: Bounds.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        names: _exchange.NameSource,
        groups: _exchange.GroupSource,
        permits: _exchange.PermitSource,
        claims: _exchange.ClaimSource,
        limits: CallerLimits | None = None,
    ) -> None:
        raise NotImplementedError

    def listen(self, address: str, tls: ssl.SSLContext | None = None) -> str:
        """Starts to accept connections.

        Args:
            address: IP number and port, as "127.0.0.1:8080"; port 0 lets the
                system choose.
            tls: Context of a TLS server, or None for plain TCP.

        Returns:
            The address that the server listens on.
        """
        raise NotImplementedError

    def count_requests(self) -> int:
        """Returns the number of requests in flight."""
        raise NotImplementedError

    def stop_accepting(self) -> None:
        """Closes the listening sockets; connections stay open.

        Answers from now on close the connection of the caller.
        """
        raise NotImplementedError

    async def drain(self, bound_s: float) -> int:
        """Waits for the requests in flight and closes all connections.

        Args:
            bound_s: Longest wait, in seconds.

        Returns:
            The number of requests that were cut off at the bound.
        """
        raise NotImplementedError
