"""Recent work per key, and sums of it over ranges of keys."""

import bisect
from collections import abc

from sycamoreloft_direct import _model

#: Factor that is applied to the recorded work at each decay.
DECAY = 0.75

#: Keys with less recorded work than this are dropped, in seconds.
MINIMUM_WORK_S = 0.005

#: Work that is assumed to be spread evenly over all keys, as a share of the
#: observed work.
UNIFORM_SHARE = 0.05

#: Minimum of this evenly spread work, in seconds. It applies when little or
#: nothing was observed.
MINIMUM_UNIFORM_WORK_S = 0.1


class KeyLoads:
    """Work per key of one service. Older work counts less."""

    def __init__(self) -> None:
        self._work: dict[int, float] = {}
        self._request_s = 0.0

    def add(
        self, work_s: abc.Mapping[int, float], request_s: float = 0.0
    ) -> None:
        """Adds the work that a host observed.

        Args:
            work_s: Work in seconds, by key.
            request_s: Mean work of one request, in seconds; 0 if it is
                unknown.
        """
        self._request_s = request_s or self._request_s
        for key, seconds in work_s.items():
            self._work[key] = self._work.get(key, 0.0) + seconds

    def decay(self) -> None:
        """Reduces the weight of the work recorded so far."""
        self._work = {
            key: seconds * DECAY
            for key, seconds in self._work.items()
            if seconds * DECAY >= MINIMUM_WORK_S
        }

    def create_profile(self) -> "LoadProfile":
        """Returns the current loads in a form for planning."""
        return LoadProfile(self._work, self._request_s)


class LoadProfile:
    """Prefix sums of the work over the keys of a service.

    Args:
        work_s: Observed work in seconds, by key.
        request_s: Mean work of one request, in seconds; 0 if it is unknown.
    """

    def __init__(
        self, work_s: abc.Mapping[int, float], request_s: float = 0.0
    ) -> None:
        self._keys = sorted(work_s)
        self._sums = [0.0]
        for key in self._keys:
            self._sums.append(self._sums[-1] + work_s[key])
        uniform = max(self._sums[-1] * UNIFORM_SHARE, MINIMUM_UNIFORM_WORK_S)
        self._density = uniform / _model.KEY_COUNT
        #: Mean work of one request, in seconds; 0 if it is unknown.
        self.request_s = request_s
        #: Work on all keys, with the evenly spread part, in seconds.
        self.total = self._sums[-1] + uniform

    def sum(self, first: int, last: int) -> float:
        """Returns the work on a range of keys, in seconds.

        Args:
            first: First key.
            last: Last key, inclusive.
        """
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        uniform = self._density * (last - first + 1)
        return self._sums[high] - self._sums[low] + uniform

    def find_busiest(self, first: int, last: int) -> tuple[int, float]:
        """Returns the key with the most observed work, and its seconds."""
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        best, most = first, 0.0
        for index in range(low, high):
            work = self._sums[index + 1] - self._sums[index]
            if work > most:
                best, most = self._keys[index], work
        return best, most

    def find_split(self, first: int, last: int, work_s: float) -> int:
        """Returns where to split a range so that its head has limited work.

        Args:
            first: First key of the range.
            last: Last key of the range, inclusive.
            work_s: Maximum work on the head, in seconds.

        Returns:
            The last key of the head, which has at least one key even if that
            key alone exceeds `work_s`.
        """
        low, high = first, last
        while low < high:
            middle = (low + high + 1) // 2
            if self.sum(first, middle) <= work_s:
                low = middle
            else:
                high = middle - 1
        return low
