"""Recent work per key, and how it sums up over ranges."""

import bisect
from collections import abc

from sycamoreloft_direct import _nodes

#: Share of the work that still counts after one decay.
DECAY = 0.75

#: Work below which a key is forgotten, in seconds.
LEAST_WORK_S = 0.005

#: Share of the work that is assumed to be spread evenly over all keys.
EVEN_SHARE = 0.05

#: Work assumed for all keys together when nothing was observed, in seconds.
EVEN_FLOOR_S = 0.1


class KeyLoads:
    """Work per key of one service, decayed over time."""

    def __init__(self) -> None:
        self._work: dict[int, float] = {}

    def add(self, work_s: abc.Mapping[int, float]) -> None:
        """Adds what a host observed."""
        for key, seconds in work_s.items():
            self._work[key] = self._work.get(key, 0.0) + seconds

    def decay(self) -> None:
        """Lets older observations count less."""
        self._work = {
            key: seconds * DECAY
            for key, seconds in self._work.items()
            if seconds * DECAY >= LEAST_WORK_S
        }

    def freeze(self) -> "LoadProfile":
        """Returns the present loads for planning."""
        return LoadProfile(self._work)


class LoadProfile:
    """Sums of work over ranges of keys."""

    def __init__(self, work_s: abc.Mapping[int, float]) -> None:
        self._keys = sorted(work_s)
        self._sums = [0.0]
        for key in self._keys:
            self._sums.append(self._sums[-1] + work_s[key])
        even = max(self._sums[-1] * EVEN_SHARE, EVEN_FLOOR_S)
        self._density = even / _nodes.KEY_COUNT
        #: Work on all keys, in seconds.
        self.total = self._sums[-1] + even

    def sum(self, first: int, last: int) -> float:
        """Returns the work on the keys from first to last, inclusive."""
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        even = self._density * (last - first + 1)
        return self._sums[high] - self._sums[low] + even

    def find_busiest(self, first: int, last: int) -> tuple[int, float]:
        """Returns the key of a range with the most work, and its work."""
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        best, most = first, 0.0
        for index in range(low, high):
            work = self._sums[index + 1] - self._sums[index]
            if work > most:
                best, most = self._keys[index], work
        return best, most

    def find_cut(self, first: int, last: int, work_s: float) -> int:
        """Returns the last key of a part of a range that has some work.

        Args:
            first: First key of the range.
            last: Last key of the range.
            work_s: Work that the part should have at most, in seconds; it
                has at least one key.
        """
        low, high = first, last
        while low < high:
            middle = (low + high + 1) // 2
            if self.sum(first, middle) <= work_s:
                low = middle
            else:
                high = middle - 1
        return low
