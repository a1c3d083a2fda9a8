"""Counts which share of each kind of requests is sent."""

import collections

#: Seconds over which the share of a kind is counted, and the share that is sent
#: in any case: no kind starves beside more urgent ones.
WINDOW_S = 5
MINIMUM_SHARE = 0.25

#: Service and name of the kind.
_Key = tuple[str, str]


class KindShares:
    """Requests of each kind that arrived and were sent in the last seconds."""

    def __init__(self) -> None:
        #: By kind: second, arrived and sent requests; the oldest first.
        self._counts: dict[_Key, collections.deque[list[int]]] = {}

    def record_arrival(self, service: str, kind: str, now: float) -> None:
        """Counts a request that arrived."""
        self._get_latest(service, kind, now)[1] += 1

    def record_sent(self, service: str, kind: str, now: float) -> None:
        """Counts a request that was sent to an upstream."""
        self._get_latest(service, kind, now)[2] += 1

    def needs_more(self, service: str, kind: str, now: float) -> bool:
        """Returns whether less than the minimum share of a kind was sent."""
        arrived = sent = 0
        oldest = int(now) - WINDOW_S
        for second, arrivals, sends in self._counts.get((service, kind), ()):
            if second > oldest:
                arrived += arrivals
                sent += sends
        return sent < MINIMUM_SHARE * arrived

    def _get_latest(self, service: str, kind: str, now: float) -> list[int]:
        counts = self._counts.setdefault(
            (service, kind), collections.deque(maxlen=WINDOW_S)
        )
        second = int(now)
        if not counts or counts[-1][0] < second:
            counts.append([second, 0, 0])
        return counts[-1]
