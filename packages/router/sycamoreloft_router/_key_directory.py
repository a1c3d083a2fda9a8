"""Who owns which key, as this host knows it, and waiting for a change."""

import asyncio
from collections import abc
import dataclasses

import sycamoreloft_direct

#: Seconds for which a coordinator's notice holds; it is repeated with each
#: heartbeat, and the coordinator may be gone.
NOTICE_S = 1.2


#: Earlier maps that a host keeps: those that others may have, or that changes
#: under way apply to.
KEPT_MAPS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class MovingKeys:
    """Keys whose owner is giving them up at present."""

    #: Name of the service.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int


class KeyDirectory:
    """The newest known map of keys."""

    def __init__(self) -> None:
        #: The map.
        self.key_map = sycamoreloft_direct.KeyMap(0, 0, {})
        self._earlier: dict[tuple[int, int], sycamoreloft_direct.KeyMap] = {}
        self._moving: tuple[MovingKeys, ...] = ()
        self._moving_epoch = 0
        self._notice_until = 0.0
        self._waiters: set[asyncio.Future[None]] = set()
        self._missing_since: dict[sycamoreloft_direct.UpstreamRun, float] = {}

    def take(self, key_map: sycamoreloft_direct.KeyMap) -> bool:
        """Takes a map; an older one is ignored."""
        if key_map.version <= self.key_map.version:
            return False
        self._earlier[self.key_map.version] = self.key_map
        if len(self._earlier) > KEPT_MAPS:
            del self._earlier[min(self._earlier)]
        self.key_map = key_map
        self._missing_since.clear()
        self._wake()
        return True

    def replace(self, key_map: sycamoreloft_direct.KeyMap) -> None:
        """Takes the map that is recorded in place of one that never was."""
        self._earlier.clear()
        self._moving = ()
        self._moving_epoch = key_map.epoch
        self.key_map = key_map
        self._wake()

    def encode_since(self, order: tuple[int, int]) -> bytes:
        """Encodes what changed since the map of another host.

        Args:
            order: Epoch and revision of its map.

        Returns:
            The changes; nothing if they are not known.
        """
        old = self._earlier.get(order)
        changes = (
            sycamoreloft_direct.compute_changes(old, self.key_map)
            if old is not None
            else None
        )
        if changes is None:
            return b""
        return sycamoreloft_direct.encode_changes(changes)

    def take_changes(self, data: bytes) -> bool:
        """Takes the changes since a map that this host has, or had.

        Returns:
            Whether the map is a newer one now.

        Raises:
            ValueError: The changes are malformed, or for another map.
        """
        changes = sycamoreloft_direct.decode_changes(data)
        if changes.version <= self.key_map.version:
            return False
        base = self._earlier.get(changes.base, self.key_map)
        return self.take(sycamoreloft_direct.apply_changes(base, changes))

    def take_notice(
        self,
        epoch: int,
        moving: abc.Iterable[MovingKeys],
        now: float,
    ) -> None:
        """Takes what a coordinator tells with its heartbeat.

        Args:
            epoch: Epoch of the coordinator.
            moving: Ranges that it is moving.
            now: Time, in seconds.
        """
        if epoch < self._moving_epoch:
            return
        self._notice_until = now + NOTICE_S
        self._moving_epoch = epoch
        changed = tuple(moving)
        if changed != self._moving:
            self._moving = changed
            self._wake()

    def is_moving(self, service: str, key: int, now: float) -> bool:
        """Tells whether the owner of a key is giving it up."""
        return now < self._notice_until and any(
            item.service == service and item.first <= key <= item.last
            for item in self._moving
        )

    def find_owner(
        self, service: str, key: int, now: float
    ) -> sycamoreloft_direct.UpstreamRun | None:
        """Returns the owner, or None if there is none or it is changing."""
        if self.is_moving(service, key, now):
            return None
        return self.key_map.find_owner(service, key)

    def note_missing(
        self, owner: sycamoreloft_direct.UpstreamRun, now: float
    ) -> float:
        """Notes that an owner is not there to take requests.

        Returns:
            Seconds since this was noted first for the present map, or since
            it was there last.
        """
        return now - self._missing_since.setdefault(owner, now)

    def note_found(self, owner: sycamoreloft_direct.UpstreamRun) -> None:
        """Notes that an owner is there to take requests."""
        if self._missing_since:
            self._missing_since.pop(owner, None)

    async def wait_for_change(self, seconds: float) -> None:
        """Waits for the next change, at most some seconds."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait([waiter], timeout=seconds)
        finally:
            self._waiters.discard(waiter)

    def _wake(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
