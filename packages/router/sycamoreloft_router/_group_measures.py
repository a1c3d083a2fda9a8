"""Measures of one held group: load imbalance, moves and unavailability."""

import collections
from collections import abc

#: Number of permits over which the imbalance is computed. All counts are halved
#: when their sum reaches it, so that the measure follows the present load.
MAXIMUM_COUNTED_PERMITS = 10_000


class GroupMeasures:
    """Counts the permits, moves and waiting times of one group."""

    def __init__(self) -> None:
        self._issued: dict[str, collections.Counter[str]] = {}
        self._total = 0
        #: Number of finished moves of partitions and hot keys.
        self.moves = 0
        #: Time during which requests waited for an owner, in seconds, summed
        #: over their partitions.
        self.unavailable_s = 0.0

    def count_permit(self, service: str, upstream: str) -> None:
        """Counts a permit that was issued for an upstream."""
        counter = self._issued.get(service)
        if counter is None:
            counter = self._issued[service] = collections.Counter()
        counter[upstream] += 1
        self._total += 1
        if self._total >= MAXIMUM_COUNTED_PERMITS:
            self._halve()

    def _halve(self) -> None:
        self._total = 0
        for counter in self._issued.values():
            for upstream in list(counter):
                counter[upstream] //= 2
            self._total += counter.total()

    def add_waiting_time(
        self, partitions: abc.Set[tuple[str, int]], seconds: float
    ) -> None:
        """Adds the time since the previous call for partitions that wait.

        Args:
            partitions: Service and number of each partition that has waiting
                requests.
            seconds: Time since the previous call, in seconds.
        """
        self.unavailable_s += len(partitions) * seconds

    def compute_imbalance(
        self, candidates: abc.Mapping[str, abc.Sequence[str]]
    ) -> float:
        """Returns the highest ratio of an upstream's load to the mean.

        The mean is that of the upstreams of the same service; a load is the
        number of permits issued.

        Args:
            candidates: Upstreams by service, also those without permits.

        Returns:
            The ratio, 1.0 for a perfect balance or if no permits were issued.
        """
        highest = 1.0
        for service, counter in self._issued.items():
            upstreams = candidates.get(service, ())
            total = sum(counter[name] for name in upstreams)
            if total:
                largest = max(counter[name] for name in upstreams)
                highest = max(highest, largest * len(upstreams) / total)
        return highest
