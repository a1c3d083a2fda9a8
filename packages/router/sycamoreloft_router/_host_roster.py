"""Hosts that report to the coordinator, and the heartbeats to them."""

from collections import abc
import dataclasses
import logging

from sycamoreloft_router import (
    _datagrams,
    _direct_peers,
    _key_directory,
    _logs,
    _map_parts,
)

_LOGGER = logging.getLogger(__name__)

#: Seconds without a report after which a host gets no more heartbeats.
HOST_TIMEOUT_S = 10.0

#: Seconds between two whole maps to one host, within which the host receives
#: the first one and reports.
MAP_INTERVAL_S = 0.4

#: Epoch and revision that stand for no map.
NO_MAP = (0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownHost:
    """A host that gets heartbeats."""

    #: When the host last reported or was added, on the boot clock.
    reported_at: float
    #: Epoch and revision of the map that the host has.
    version: tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _MapNeeds:
    """What the hosts need to have the current map."""

    #: Addresses of all hosts by the encoded changes that they need. Hosts that
    #: need no changes, or the whole map, are under the empty string.
    changes: dict[bytes, list[_datagrams.Address]]
    #: Addresses of the hosts that need the whole map.
    whole: list[_datagrams.Address]


class HostRoster:
    """Keeps the hosts that report, and sends heartbeats to them.

    Args:
        socket: Sends datagrams.
        directory: The current and earlier maps of keys.
    """

    def __init__(
        self,
        socket: _direct_peers.DatagramSender,
        directory: _key_directory.KeyDirectory,
    ) -> None:
        self._socket = socket
        self._directory = directory
        self._hosts: dict[_datagrams.Address, _KnownHost] = {}
        self._next_map_at: dict[_datagrams.Address, float] = {}

    @property
    def addresses(self) -> tuple[_datagrams.Address, ...]:
        """Addresses of the known hosts."""
        return tuple(self._hosts)

    def add_report(
        self, address: _datagrams.Address, version: tuple[int, int], now: float
    ) -> bool:
        """Records the report of a host.

        Args:
            address: Address of the host.
            version: Epoch and revision of the host's map.
            now: Time on the boot clock, in seconds.

        Returns:
            Whether the host is new.
        """
        is_new = address not in self._hosts
        self._hosts[address] = _KnownHost(now, version)
        return is_new

    def add(
        self, addresses: abc.Iterable[_datagrams.Address], now: float
    ) -> None:
        """Adds hosts that may exist but have not reported yet."""
        for address in addresses:
            self._hosts.setdefault(address, _KnownHost(now, NO_MAP))

    def clear(self) -> None:
        """Removes all hosts."""
        self._hosts.clear()
        self._next_map_at.clear()

    def send_leaving(self, heartbeat: _datagrams.Heartbeat) -> None:
        """Sends the last heartbeat of a coordinator that resigned."""
        self._socket.send(heartbeat, *self._hosts)

    def send_heartbeat(
        self, heartbeat: _datagrams.Heartbeat, now: float
    ) -> None:
        """Sends a heartbeat with the map changes that each host needs.

        Hosts that need the whole map get it in separate datagrams.

        Args:
            heartbeat: The heartbeat, without map changes.
            now: Time on the boot clock, in seconds.
        """
        for address, host in list(self._hosts.items()):
            if now > host.reported_at + HOST_TIMEOUT_S:
                self._remove(address)
        needs = self._group_by_need(heartbeat)
        for changes, addresses in needs.changes.items():
            message = dataclasses.replace(heartbeat, key_changes=changes)
            self._socket.send(message, *addresses)
        due = [
            address
            for address in needs.whole
            if now >= self._next_map_at.get(address, now)
        ]
        if due:
            self._send_map(due, heartbeat.seen, now)

    def _remove(self, address: _datagrams.Address) -> None:
        del self._hosts[address]
        self._next_map_at.pop(address, None)

    def _group_by_need(self, heartbeat: _datagrams.Heartbeat) -> _MapNeeds:
        """Groups the hosts by what they need to have a heartbeat's map."""
        version = (heartbeat.epoch, heartbeat.revision)
        changes_since: dict[tuple[int, int], bytes | None] = {version: b""}
        needs = _MapNeeds({}, [])
        for address, host in self._hosts.items():
            if host.version not in changes_since:
                changes_since[host.version] = self._encode_since(host.version)
            changes = changes_since[host.version]
            needs.changes.setdefault(changes or b"", []).append(address)
            if changes is None:
                needs.whole.append(address)
        return needs

    def _encode_since(self, version: tuple[int, int]) -> bytes | None:
        """Encodes the changes since a map.

        Returns:
            The changes; None if the whole map has to be sent, since the
            changes are unknown or too long.
        """
        changes = self._directory.encode_since(version)
        if not 0 < len(changes) <= _datagrams.MAXIMUM_CHANGES_BYTES:
            return None
        return changes

    def _send_map(
        self,
        addresses: abc.Sequence[_datagrams.Address],
        seen: _datagrams.SeenVersions,
        now: float,
    ) -> None:
        """Sends the whole map in parts."""
        try:
            parts = _map_parts.split_map(self._directory.key_map, seen)
        except ValueError as error:
            _logs.log_event(
                _LOGGER, logging.ERROR, "key-map-not-sent", reason=str(error)
            )
            return
        for address in addresses:
            self._next_map_at[address] = now + MAP_INTERVAL_S
        for part in parts:
            self._socket.send(part, *addresses)
