"""Tells other hosts of upstreams that leave, and learns from them.

The departures accompany the heartbeats and reports of the coordinator role, to
those hosts only that have read an older version of the table of upstreams.
"""

import asyncio
from collections import abc
import logging

import sycamoreloft_direct
from sycamoreloft_router import (
    _datagrams,
    _direct_peers,
    _direct_views,
    _exchange_chain,
    _logs,
)

_LOGGER = logging.getLogger(__name__)

#: Maximum number of hosts whose table versions are remembered.
MAXIMUM_HOSTS = 16_384

_Receiver = _exchange_chain.Receiver


class DepartureExchange(_direct_views.DepartureRecorder):
    """Sends datagrams, with departures beside them where they are news.

    Implements `_direct_peers.DatagramSender`.

    Args:
        socket: Sends the datagrams.
        upstreams: Upstreams that this host may use; told of departures.
        read_versions: Returns the versions of the platform's tables that this
            host has read.
    """

    def __init__(
        self,
        socket: _direct_peers.DatagramSender,
        upstreams: _direct_views.UpstreamView,
        read_versions: abc.Callable[[], _datagrams.SeenVersions],
    ) -> None:
        self._socket = socket
        self._upstreams = upstreams
        self._read_versions = read_versions
        self._log = sycamoreloft_direct.DepartureLog()
        self._seen: dict[
            _datagrams.Address, sycamoreloft_direct.TableVersion
        ] = {}

    async def open(self) -> None:
        """See `_direct_peers.DatagramSender`."""
        await self._socket.open()

    def close(self) -> None:
        """See `_direct_peers.DatagramSender`."""
        self._socket.close()

    def send(
        self, message: _datagrams.Datagram, *addresses: _datagrams.Address
    ) -> None:
        """Sends a message, and to each host the departures it cannot know."""
        self._socket.send(message, *addresses)
        if not isinstance(message, _datagrams.Heartbeat | _datagrams.Report):
            return
        # Most hosts have read the same version, so that one search and one
        # encoding serve them all.
        by_version: dict[
            sycamoreloft_direct.TableVersion, list[_datagrams.Address]
        ] = {}
        for address in addresses:
            if address in self._seen:
                by_version.setdefault(self._seen[address], []).append(address)
        now = asyncio.get_running_loop().time()
        for seen, receivers in by_version.items():
            # Hosts pass on only what they learned themselves, since the
            # coordinator tells all hosts what it heard.
            unknown = self._log.list_unknown(
                seen,
                now,
                includes_heard=isinstance(message, _datagrams.Heartbeat),
            )
            if unknown:
                self._socket.send(
                    _datagrams.Departures(message.seen, unknown), *receivers
                )

    # Departures that this host learned of itself.

    def record_left(
        self, run: sycamoreloft_direct.UpstreamRun, *, is_announced: bool
    ) -> None:
        """Records that a run is shutting down.

        Args:
            run: The run.
            is_announced: Whether the run said so in an answer, so that the
                table may not show it yet.
        """
        version = (
            sycamoreloft_direct.ANNOUNCED
            if is_announced
            else self._read_own_version()
        )
        self._record(sycamoreloft_direct.Departure(run, True, version))

    def record_missing(self, run: sycamoreloft_direct.UpstreamRun) -> None:
        """Records that the entry of a run is no longer in the table."""
        self._record(
            sycamoreloft_direct.Departure(run, False, self._read_own_version())
        )

    def record_listed(self, run: sycamoreloft_direct.UpstreamRun) -> None:
        """Records that a run has an entry and does not leave."""
        self._log.remove_missing(run)

    def is_outdated(self, run: sycamoreloft_direct.UpstreamRun) -> bool:
        """Returns whether another host found the entry of a run missing.

        That host has read a later version of the table. A call to the store
        that was answered before may end after its news.
        """
        return self._log.is_missing_after(run, self._read_own_version())

    def _record(self, departure: sycamoreloft_direct.Departure) -> None:
        self._log.add(departure, asyncio.get_running_loop().time())

    # Datagrams of other hosts.

    def receive(
        self,
        message: _datagrams.Datagram,
        sender: _datagrams.Address,
        forward: _Receiver,
    ) -> None:
        """Applies departures, and forwards other messages.

        Args:
            message: The message.
            sender: Address of the host that sent it.
            forward: Receives messages that are no departures.
        """
        if len(self._seen) >= MAXIMUM_HOSTS:
            self._seen.clear()
        self._seen[sender] = _get_upstreams_version(message.seen)
        if not isinstance(message, _datagrams.Departures):
            forward(message, sender)
            return
        now = asyncio.get_running_loop().time()
        own = self._read_own_version()
        for departure in message.departures:
            is_news = (
                departure.version == sycamoreloft_direct.ANNOUNCED
                or own < departure.version
            )
            if is_news and self._log.add(departure, now, is_heard=True):
                self._apply(departure, own, sender)

    def _apply(
        self,
        departure: sycamoreloft_direct.Departure,
        own: sycamoreloft_direct.TableVersion,
        sender: _datagrams.Address,
    ) -> None:
        now = asyncio.get_running_loop().time()
        if departure.is_final:
            self._upstreams.record_leaving(departure.run, now)
        else:
            self._upstreams.record_missing(departure.run, now)
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "departure-heard",
            upstream=departure.run.id,
            started_ms=departure.run.started_ms,
            final=departure.is_final,
            peer=f"{sender[0]}:{sender[1]}",
            version=(departure.version.era, departure.version.version),
            own_version=(own.era, own.version),
        )

    def _read_own_version(self) -> sycamoreloft_direct.TableVersion:
        return _get_upstreams_version(self._read_versions())


def _get_upstreams_version(
    seen: _datagrams.SeenVersions,
) -> sycamoreloft_direct.TableVersion:
    return sycamoreloft_direct.TableVersion(seen.upstreams_era, seen.upstreams)
