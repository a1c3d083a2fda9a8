"""The owners of keys as this host knows them."""

import asyncio
from collections import abc
import dataclasses

import sycamoreloft_direct

#: Seconds for which moving keys count as moving without a further heartbeat:
#: the coordinator repeats them with each heartbeat, and may have failed.
MOVING_TIMEOUT_S = 1.2


#: Seconds for which a range is remembered after it has moved. Requests are
#: repeated at an owner only within a shorter time.
MOVED_MEMORY_S = 2.0

#: Maximum number of earlier maps that a host keeps. Other hosts may still have
#: one of them, or changes in flight may be based on it.
MAXIMUM_EARLIER_MAPS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class MovingKeys:
    """A range of keys that is moving from its owner to another upstream."""

    #: Name of the sharded service.
    service: str
    #: First key of the range.
    first: int
    #: Last key of the range, inclusive.
    last: int


class KeyDirectory:
    """The newest known map of keys, and the keys that are moving."""

    def __init__(self) -> None:
        #: The newest map; epoch and revision 0 before the first one.
        self.key_map = sycamoreloft_direct.KeyMap(0, 0, {})
        self._earlier: dict[tuple[int, int], sycamoreloft_direct.KeyMap] = {}
        self._moving: tuple[MovingKeys, ...] = ()
        self._moving_epoch = 0
        self._moving_until = 0.0
        #: Ranges that were moving, and when that was last known.
        self._moved: list[tuple[float, MovingKeys]] = []
        self._waiters: set[asyncio.Future[None]] = set()
        self._missing_since: dict[sycamoreloft_direct.UpstreamRun, float] = {}

    def update(self, key_map: sycamoreloft_direct.KeyMap) -> bool:
        """Replaces the map by a newer one; an older one is ignored.

        Returns:
            Whether the given map was newer.
        """
        if key_map.version <= self.key_map.version:
            return False
        self._earlier[self.key_map.version] = self.key_map
        if len(self._earlier) > MAXIMUM_EARLIER_MAPS:
            del self._earlier[min(self._earlier)]
        self.key_map = key_map
        self._missing_since.clear()
        self._wake_waiters()
        return True

    def replace(self, key_map: sycamoreloft_direct.KeyMap) -> None:
        """Replaces the map by the recorded one, although that one is older.

        The present map then has an epoch that the store does not know.
        """
        self._earlier.clear()
        self._moving = ()
        self._moving_epoch = key_map.epoch
        self.key_map = key_map
        self._wake_waiters()

    def encode_since(self, version: tuple[int, int]) -> bytes:
        """Encodes the changes since the map of another host.

        Args:
            version: Epoch and revision of the other host's map.

        Returns:
            The encoded changes; empty if that map is not kept here.
        """
        old = self._earlier.get(version)
        changes = (
            sycamoreloft_direct.compute_changes(old, self.key_map)
            if old is not None
            else None
        )
        if changes is None:
            return b""
        return sycamoreloft_direct.encode_changes(changes)

    def apply_encoded_changes(self, data: bytes) -> bool:
        """Applies encoded changes to a map that this host has or had.

        Returns:
            Whether the map is newer than before.

        Raises:
            ValueError: The changes are malformed, or based on a map that this
                host does not keep.
        """
        changes = sycamoreloft_direct.decode_changes(data)
        if changes.version <= self.key_map.version:
            return False
        base = self._earlier.get(changes.base, self.key_map)
        return self.update(sycamoreloft_direct.apply_changes(base, changes))

    def set_moving(
        self,
        epoch: int,
        moving: abc.Iterable[MovingKeys],
        now: float,
    ) -> None:
        """Replaces the moving keys by those of a heartbeat.

        Args:
            epoch: Epoch of the coordinator; an older one is ignored.
            moving: Ranges that the coordinator is moving.
            now: Time on the clock of the event loop, in seconds.
        """
        if epoch < self._moving_epoch:
            return
        self._moving_until = now + MOVING_TIMEOUT_S
        self._moving_epoch = epoch
        changed = tuple(moving)
        if changed != self._moving:
            self._moved = [
                item for item in self._moved if item[0] > now - MOVED_MEMORY_S
            ] + [(now, keys) for keys in self._moving if keys not in changed]
            self._moving = changed
            self._wake_waiters()

    def is_moving(self, service: str, key: int, now: float) -> bool:
        """Returns whether a key is moving to another owner."""
        return now < self._moving_until and any(
            _contains(keys, service, key) for keys in self._moving
        )

    def has_kept_owner(
        self,
        service: str,
        key: int,
        version: tuple[int, int],
        since: float,
        now: float,
    ) -> bool:
        """Returns whether a key is known to have had the same owner throughout.

        Maps that this host did not receive, and times without a heartbeat,
        may hide a move away and back.

        Args:
            service: Name of the sharded service.
            key: The key.
            version: Version of the map at the beginning of the time.
            since: Beginning of the time, in seconds.
            now: End of the time, in seconds.
        """
        if now >= self._moving_until or any(
            moved_at >= since and _contains(keys, service, key)
            for moved_at, keys in self._moved
        ):
            return False
        owner = self.find_owner(service, key, now)
        epoch, revision = self.key_map.version
        if owner is None or epoch != version[0] or revision < version[1]:
            return False
        for number in range(version[1], revision):
            earlier = self._earlier.get((epoch, number))
            if earlier is None or earlier.find_owner(service, key) != owner:
                return False
        return True

    def find_owner(
        self, service: str, key: int, now: float
    ) -> sycamoreloft_direct.UpstreamRun | None:
        """Returns the owner of a key, or None if it has none or is moving."""
        if self.is_moving(service, key, now):
            return None
        return self.key_map.find_owner(service, key)

    def record_missing(
        self, owner: sycamoreloft_direct.UpstreamRun, now: float
    ) -> float:
        """Records that an owner is not available for requests.

        Returns:
            Seconds for which the owner has been missing: since the first such
            record for the current map, or since it was last available.
        """
        return now - self._missing_since.setdefault(owner, now)

    def record_available(self, owner: sycamoreloft_direct.UpstreamRun) -> None:
        """Records that an owner is available for requests."""
        if self._missing_since:
            self._missing_since.pop(owner, None)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for the next change of the map or of the moving keys.

        Args:
            timeout_s: Maximum time to wait, in seconds.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait([waiter], timeout=timeout_s)
        finally:
            self._waiters.discard(waiter)

    def _wake_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)


def _contains(keys: MovingKeys, service: str, key: int) -> bool:
    return keys.service == service and keys.first <= key <= keys.last
