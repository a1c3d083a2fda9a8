"""Observed load of partitions and hot keys."""

from collections import abc
import math

import sycamoreloft_config
from sycamoreloft_decisions import _ownership, _sketch

#: Time after which an observed request has half its weight, in seconds. The
#: hottest keys change within minutes. With 30 s, the imbalance of the traces
#: was higher (0.28 instead of 0.22 for Sledworks).
HALF_LIFE_S = 10.0
#: Load of a unit without requests, as a share of the mean. Without it, all
#: partitions that have had no requests yet would be placed on one upstream.
BASE_LOAD = 0.25
#: Number of recent requests of a service below which all its partitions are
#: assumed to have the same load, since a few requests don't predict the load.
MINIMUM_REQUESTS = 200.0


class ServiceLoads:
    """Loads of one service.

    Args:
        fleet: Name of the fleet.
        service: Name of the service.
        partitions: Number of its partitions.
        now: Clock reading in seconds.
    """

    def __init__(
        self, fleet: str, service: str, partitions: int, now: float
    ) -> None:
        self._fleet = fleet
        self._service = service
        self._partitions = partitions
        #: Number of the service's partitions in the group, over which the mean
        #: load is computed.
        self.unit_count = partitions
        self._sketch = _sketch.SpaceSavingSketch()
        self._counts: dict[int, float] = {}
        self._total = 0.0
        self._decayed_at = now

    def observe(self, counts: abc.Mapping[str, int], now: float) -> None:
        """Adds numbers of requests, by key."""
        self._decay(now)
        for key, count in counts.items():
            partition = sycamoreloft_config.compute_partition(
                self._fleet, self._service, key, self._partitions
            )
            self._counts[partition] = self._counts.get(partition, 0.0) + count
            self._sketch.add(key, count)
            self._total += count

    def is_known(self) -> bool:
        """Returns whether there were enough requests to compare loads."""
        return self._total >= MINIMUM_REQUESTS

    def get_load(
        self, unit: _ownership.Unit, hot_keys: abc.Iterable[str] = ()
    ) -> float:
        """Returns the load of a unit, relative to the mean of all partitions.

        Args:
            unit: Partition or hot key.
            hot_keys: Keys of the partition that are placed individually. Their
                load is not part of the partition's.
        """
        if not self.is_known():
            return 0.0 if unit.key else 1.0
        mean = self._total / max(1, self.unit_count)
        if unit.key:
            count = self._sketch.get_certain_count(unit.key)
            return (1 - BASE_LOAD) * count / mean
        count = self._counts.get(unit.partition, 0.0)
        count -= sum(map(self._sketch.get_certain_count, hot_keys))
        return BASE_LOAD + (1 - BASE_LOAD) * max(0.0, count) / mean

    def list_hot_keys(self) -> abc.Sequence[tuple[str, float]]:
        """Lists the most frequent keys with their loads, largest first."""
        if not self.is_known():
            return ()
        mean = self._total / max(1, self.unit_count)
        return [
            (key, (1 - BASE_LOAD) * count / mean)
            for key, count in self._sketch.list_largest()
        ]

    def _decay(self, now: float) -> None:
        # Counts are scaled at most once a second, since scaling visits all
        # counters.
        passed = now - self._decayed_at
        if passed < 1.0:
            return
        factor = math.pow(0.5, passed / HALF_LIFE_S)
        self._decayed_at = now
        self._sketch.scale(factor)
        self._total *= factor
        self._counts = {
            partition: count * factor
            for partition, count in self._counts.items()
        }
