"""Finds the most frequent keys in bounded memory."""

from collections import abc
import heapq

#: Default number of counters. With it, a key with more than 1/256 of the
#: requests is certain to have a counter.
COUNTERS = 256


class SpaceSavingSketch:
    """Space-saving sketch, which counts keys with a fixed number of counters.

    A key without a counter takes over the smallest counter together with its
    count. Counts are therefore never too small, and too large by at most the
    count that was taken over.

    Args:
        counters: Number of counters.
    """

    def __init__(self, counters: int = COUNTERS) -> None:
        self._counters = counters
        self._counts: dict[str, float] = {}
        self._errors: dict[str, float] = {}
        # Pairs of count and key. A pair that does not match the current count
        # of its key is outdated and is skipped.
        self._heap: list[tuple[float, str]] = []

    def add(self, key: str, count: float = 1.0) -> None:
        """Adds occurrences of a key."""
        if key in self._counts:
            self._set(key, self._counts[key] + count)
        elif len(self._counts) < self._counters:
            self._errors[key] = 0.0
            self._set(key, count)
        else:
            smallest = self._remove_smallest()
            self._errors[key] = smallest
            self._set(key, smallest + count)

    def scale(self, factor: float) -> None:
        """Multiplies all counts by a factor, so that old ones lose weight."""
        self._counts = {
            key: count * factor for key, count in self._counts.items()
        }
        self._errors = {
            key: error * factor for key, error in self._errors.items()
        }
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._heap)

    def get_certain_count(self, key: str) -> float:
        """Returns a lower bound of the count of a key."""
        return self._counts.get(key, 0.0) - self._errors.get(key, 0.0)

    def list_largest(self) -> abc.Sequence[tuple[str, float]]:
        """Returns keys with the lower bounds of their counts, largest first."""
        return sorted(
            ((key, self.get_certain_count(key)) for key in self._counts),
            key=lambda item: (-item[1], item[0]),
        )

    def _set(self, key: str, count: float) -> None:
        self._counts[key] = count
        heapq.heappush(self._heap, (count, key))
        if len(self._heap) > 8 * self._counters:
            self._heap = [(held, name) for name, held in self._counts.items()]
            heapq.heapify(self._heap)

    def _remove_smallest(self) -> float:
        while True:
            count, key = heapq.heappop(self._heap)
            if self._counts.get(key) == count:
                del self._counts[key]
                del self._errors[key]
                return count
