"""What a host knows of the coordinator from its heartbeats."""

import sycamoreloft_direct
from sycamoreloft_router import (
    _coordinator_logs,
    _datagrams,
    _record_trust,
)


class FollowedCoordinator:
    """Remembers the latest heartbeat, to tell how current the map is."""

    def __init__(self) -> None:
        self._sender: _datagrams.Address | None = None
        self._epoch = 0
        # Epoch and revision of the latest map that is known to exist.
        self._version = (0, 0)
        self._heard_at: float | None = None
        self._is_own = False

    def observe_heartbeat(
        self,
        message: _datagrams.Heartbeat,
        sender: _datagrams.Address,
        now: float,
    ) -> None:
        """Records a heartbeat, and logs it if its sender or epoch is new.

        Args:
            message: The heartbeat.
            sender: Address of the coordinator.
            now: Time on the boot clock, in seconds.
        """
        if message.epoch != self._epoch or sender != self._sender:
            _coordinator_logs.log_followed(
                sender,
                message.epoch,
                self._sender,
                self._epoch,
                None if self._heard_at is None else now - self._heard_at,
            )
        self._sender, self._epoch = sender, message.epoch
        self._version = (message.epoch, message.revision)
        self._heard_at, self._is_own = now, False

    def observe_own_tenure(self, version: tuple[int, int], now: float) -> None:
        """Records the map of this host while it is the coordinator.

        Args:
            version: Epoch and revision of the latest recorded map.
            now: Time on the boot clock, in seconds.
        """
        self._version = version
        self._heard_at, self._is_own = now, True

    def describe_map(
        self, key_map: sycamoreloft_direct.KeyMap, now: float
    ) -> _record_trust.HeardMap:
        """Describes how current the map of this host is.

        Args:
            key_map: The map.
            now: Time on the boot clock, in seconds.
        """
        is_latest = (0, 0) < self._version <= key_map.version
        return _record_trust.HeardMap(
            key_map,
            now - self._heard_at
            if is_latest and self._heard_at is not None
            else float("inf"),
            self._is_own,
        )
