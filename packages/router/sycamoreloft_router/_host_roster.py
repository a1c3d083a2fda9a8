"""Hosts that report to the coordinator, and what each is told."""

from collections import abc
import dataclasses

import sycamoreloft_direct
from sycamoreloft_router import _direct_peers, _key_directory

#: Seconds after which a host that reported nothing gets no heartbeats.
FORGET_HOST_S = 10.0

#: Epoch and revision of the map of a host that has none.
NO_MAP = (0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownHost:
    """A host that gets heartbeats."""

    #: When it reported last, on the boot clock.
    reported_at: float
    #: Epoch and revision of the map that it has.
    order: tuple[int, int]


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
        self._hosts: dict[_direct_peers.Address, _KnownHost] = {}

    @property
    def addresses(self) -> tuple[_direct_peers.Address, ...]:
        """Addresses of the hosts."""
        return tuple(self._hosts)

    def note_report(
        self, address: _direct_peers.Address, order: tuple[int, int], now: float
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
        self, addresses: abc.Iterable[_direct_peers.Address], now: float
    ) -> None:
        """Adds hosts that may be there, and have not reported yet."""
        for address in addresses:
            self._hosts.setdefault(address, _KnownHost(now, NO_MAP))

    def clear(self) -> None:
        """Forgets all hosts."""
        self._hosts.clear()

    def tell_leaving(self, beat: _direct_peers.Heartbeat) -> None:
        """Sends the last heartbeat of a coordinator."""
        for address in self._hosts:
            self._socket.send(beat, address)

    def tell(self, beat: _direct_peers.Heartbeat, now: float) -> None:
        """Sends a heartbeat, with what each host lacks of the map.

        Args:
            beat: The heartbeat, without a map.
            now: Time on the boot clock, in seconds.
        """
        beats = {(beat.epoch, beat.revision): beat}
        for address, host in list(self._hosts.items()):
            if now > host.reported_at + FORGET_HOST_S:
                del self._hosts[address]
                continue
            if host.order not in beats:
                beats[host.order] = self._add_map(beat, host.order)
            self._socket.send(beats[host.order], address)

    def _add_map(
        self, beat: _direct_peers.Heartbeat, known: tuple[int, int]
    ) -> _direct_peers.Heartbeat:
        """Adds to a heartbeat what a host lacks that has another map."""
        changes = self._directory.encode_since(known)
        if changes:
            return dataclasses.replace(beat, key_changes=changes)
        return dataclasses.replace(
            beat,
            key_map=sycamoreloft_direct.encode_key_map(self._directory.key_map),
        )
