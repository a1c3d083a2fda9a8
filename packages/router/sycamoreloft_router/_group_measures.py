"""The users' three measures of one held group: imbalance, churn, outage."""

import collections
from collections import abc

#: Permits over which the imbalance is computed. Older ones are halved, so
#: that the measure follows the load.
WINDOW_PERMITS = 10_000


class GroupMeasures:
    """Counts what a holder does for its group."""

    def __init__(self) -> None:
        self._issued: dict[str, collections.Counter[str]] = {}
        self._total = 0
        #: Moves of partitions and hot keys.
        self.moves = 0
        #: Time in which requests waited for an owner, summed over their
        #: partitions, in seconds.
        self.unavailable_s = 0.0

    def count_permit(self, service: str, upstream: str) -> None:
        """Counts a permit for an upstream."""
        counter = self._issued.get(service)
        if counter is None:
            counter = self._issued[service] = collections.Counter()
        counter[upstream] += 1
        self._total += 1
        if self._total >= WINDOW_PERMITS:
            self._halve()

    def _halve(self) -> None:
        self._total = 0
        for counter in self._issued.values():
            for upstream in list(counter):
                counter[upstream] //= 2
            self._total += counter.total()

    def count_waiting(
        self, partitions: abc.Set[tuple[str, int]], seconds: float
    ) -> None:
        """Counts time in which partitions had waiting requests."""
        self.unavailable_s += len(partitions) * seconds

    def compute_imbalance(
        self, candidates: abc.Mapping[str, abc.Sequence[str]]
    ) -> float:
        """Returns the largest load of an upstream over its service's mean.

        Args:
            candidates: Upstreams by service; those without permits count.
        """
        worst = 1.0
        for service, counter in self._issued.items():
            upstreams = candidates.get(service, ())
            total = sum(counter[name] for name in upstreams)
            if total:
                largest = max(counter[name] for name in upstreams)
                worst = max(worst, largest * len(upstreams) / total)
        return worst
