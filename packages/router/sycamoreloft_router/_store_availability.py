"""Infers outages of the store from the coordinator's heartbeats.

During an outage of the store for all hosts, entries of upstreams expire, and
return soon after the store does. While only this host is cut off from the
store, upstreams keep their entries: one that is missing afterwards has gone.
"""

#: Seconds since the last heartbeat of a coordinator that reaches the store
#: within which the store counts as available: two heartbeats may be lost.
MAXIMUM_GAP_S = 1.3

#: Maximum age of the coordinator's last answered call to the store, in
#: seconds, with which the store counts as available. The coordinator renews
#: its lease more often.
AVAILABLE_AGE_S = 1.0

#: Age of that call above which the store counts as unavailable, in seconds:
#: the coordinator's lease has expired by then.
UNAVAILABLE_AGE_S = 2.0

#: Seconds without a heartbeat of a coordinator that reaches the store after
#: which an outage is assumed. Longer than a change of the coordinator takes.
OUTAGE_GAP_S = 4.0


class StoreAvailability:
    """Tracks whether the store answers the coordinator."""

    def __init__(self) -> None:
        self._is_unavailable = False
        self._available_since = 0.0
        self._observed_at = -MAXIMUM_GAP_S - 1.0

    def observe_store_age(self, store_age_s: float, now: float) -> bool:
        """Records the store age of a heartbeat.

        Args:
            store_age_s: Seconds since the store last answered the coordinator.
            now: Time on the clock of the event loop, in seconds.

        Returns:
            Whether this heartbeat is the first one after an outage.
        """
        if store_age_s > AVAILABLE_AGE_S:
            self._is_unavailable = (
                self._is_unavailable or store_age_s > UNAVAILABLE_AGE_S
            )
            return False
        is_return = self._is_unavailable or (
            self._available_since > 0.0
            and now > self._observed_at + OUTAGE_GAP_S
        )
        if now > self._observed_at + MAXIMUM_GAP_S:
            self._available_since = now
        self._is_unavailable = False
        self._observed_at = now
        return is_return

    def compute_return_time(self, own_return_at: float) -> float:
        """Returns since when the store has been available to any host.

        Args:
            own_return_at: When the store answered this host again.

        Returns:
            Time on the clock of the event loop, in seconds.
        """
        if own_return_at > self._observed_at + MAXIMUM_GAP_S:
            return own_return_at
        return min(self._available_since, own_return_at)
