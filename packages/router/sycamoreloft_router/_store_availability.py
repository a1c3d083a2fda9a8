"""Tells from the coordinator's heartbeats since when the store answers.

An upstream's entry lapses while the store is away for all, and comes back
soon after the store does. While only this host is cut off from the store,
entries do not lapse: one that is missing afterwards is gone.
"""

#: Longest time without a heartbeat of a coordinator that reaches the store,
#: in seconds, within which the store counts as there: two heartbeats may be
#: lost.
GAP_S = 1.3

#: Age of the coordinator's last call that the store answered, in seconds, up
#: to which the store counts as there. It renews its lease more often.
FRESH_S = 1.0

#: Age of that call from which the store counts as away, in seconds: the
#: coordinator's lease has ended by then.
AWAY_S = 2.0

#: Time without such a heartbeat after which the store may have been away, in
#: seconds: longer than a change of the coordinator.
LONG_GAP_S = 4.0


class StoreAvailability:
    """What the coordinators told of the store."""

    def __init__(self) -> None:
        self._is_away = False
        self._since = 0.0
        self._heard_at = -GAP_S - 1.0

    def hear(self, answered_ago_s: float, now: float) -> bool:
        """Takes a heartbeat, and tells whether the store is back with it.

        Args:
            answered_ago_s: Seconds since the store answered the coordinator.
            now: Time, in seconds.
        """
        if answered_ago_s > FRESH_S:
            self._is_away = self._is_away or answered_ago_s > AWAY_S
            return False
        is_back = self._is_away or (
            self._since > 0.0 and now > self._heard_at + LONG_GAP_S
        )
        if now > self._heard_at + GAP_S:
            self._since = now
        self._is_away = False
        self._heard_at = now
        return is_back

    def find_return(self, own_return: float) -> float:
        """Returns since when the store has answered.

        Args:
            own_return: When it answered this host again, in seconds.
        """
        if own_return > self._heard_at + GAP_S:
            return own_return
        return min(self._since, own_return)
