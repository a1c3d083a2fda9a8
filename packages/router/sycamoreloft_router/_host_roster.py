"""Hosts that report to the coordinator, and what each is told."""

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

#: Seconds after which a host that reported nothing gets no heartbeats.
FORGET_HOST_S = 10.0

#: Seconds between two whole maps to one host: it has to receive the first one
#: and report.
MAP_PAUSE_S = 0.4

#: Epoch and revision of the map of a host that has none.
NO_MAP = (0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownHost:
    """A host that gets heartbeats."""

    #: When it reported last, on the boot clock.
    reported_at: float
    #: Epoch and revision of the map that it has.
    order: tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Needs:
    """What hosts lack of a map."""

    #: Addresses by the encoded changes that they need, empty for none.
    changes: dict[bytes, list[_datagrams.Address]]
    #: Addresses that need the whole map.
    whole: list[_datagrams.Address]


class HostRoster:
    """Remembers the hosts, and sends them heartbeats.

    Args:
        socket: Sends datagrams.
        directory: The maps of keys that this host knows.
    """

    def __init__(
        self,
        socket: _direct_peers.Sender,
        directory: _key_directory.KeyDirectory,
    ) -> None:
        self._socket = socket
        self._directory = directory
        self._hosts: dict[_datagrams.Address, _KnownHost] = {}
        self._map_due_at: dict[_datagrams.Address, float] = {}

    @property
    def addresses(self) -> tuple[_datagrams.Address, ...]:
        """Addresses of the hosts."""
        return tuple(self._hosts)

    def note_report(
        self, address: _datagrams.Address, order: tuple[int, int], now: float
    ) -> bool:
        """Notes a host's report, and tells whether the host is new.

        Args:
            address: Address of the host.
            order: Epoch and revision of its map.
            now: Time on the boot clock, in seconds.
        """
        is_new = address not in self._hosts
        self._hosts[address] = _KnownHost(now, order)
        return is_new

    def add(
        self, addresses: abc.Iterable[_datagrams.Address], now: float
    ) -> None:
        """Adds hosts that may be there, and have not reported yet."""
        for address in addresses:
            self._hosts.setdefault(address, _KnownHost(now, NO_MAP))

    def clear(self) -> None:
        """Forgets all hosts."""
        self._hosts.clear()
        self._map_due_at.clear()

    def tell_leaving(self, beat: _datagrams.Heartbeat) -> None:
        """Sends the last heartbeat of a coordinator."""
        self._socket.send(beat, *self._hosts)

    def tell(self, beat: _datagrams.Heartbeat, now: float) -> None:
        """Sends a heartbeat, with what each host lacks of the map.

        Args:
            beat: The heartbeat, without a map.
            now: Time on the boot clock, in seconds.
        """
        for address, host in list(self._hosts.items()):
            if now > host.reported_at + FORGET_HOST_S:
                self._forget(address)
        needs = self._sort_by_need(beat)
        for changes, addresses in needs.changes.items():
            message = dataclasses.replace(beat, key_changes=changes)
            self._socket.send(message, *addresses)
        due = [
            address
            for address in needs.whole
            if now >= self._map_due_at.get(address, now)
        ]
        if due:
            self._send_map(due, beat.seen, now)

    def _forget(self, address: _datagrams.Address) -> None:
        del self._hosts[address]
        self._map_due_at.pop(address, None)

    def _sort_by_need(self, beat: _datagrams.Heartbeat) -> _Needs:
        """Tells what each host lacks of the map that a heartbeat is about."""
        order = (beat.epoch, beat.revision)
        changes_since: dict[tuple[int, int], bytes | None] = {order: b""}
        needs = _Needs({}, [])
        for address, host in self._hosts.items():
            if host.order not in changes_since:
                changes_since[host.order] = self._encode_since(host.order)
            changes = changes_since[host.order]
            needs.changes.setdefault(changes or b"", []).append(address)
            if changes is None:
                needs.whole.append(address)
        return needs

    def _encode_since(self, order: tuple[int, int]) -> bytes | None:
        """Encodes what changed; None where the whole map has to be sent."""
        changes = self._directory.encode_since(order)
        if not 0 < len(changes) <= _datagrams.MOST_CHANGES_BYTES:
            return None
        return changes

    def _send_map(
        self,
        addresses: abc.Sequence[_datagrams.Address],
        seen: _datagrams.SeenVersions,
        now: float,
    ) -> None:
        """Sends the whole map."""
        try:
            parts = _map_parts.split_map(self._directory.key_map, seen)
        except ValueError as error:
            _logs.log_event(
                _LOGGER, logging.ERROR, "key-map-not-sent", reason=str(error)
            )
            return
        for address in addresses:
            self._map_due_at[address] = now + MAP_PAUSE_S
        for part in parts:
            self._socket.send(part, *addresses)
