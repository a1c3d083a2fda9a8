"""Finds the most frequent keys in bounded memory."""

from collections import abc
import heapq

#: Counters of one sketch. A key with more than 1/256 of the requests is
#: certain to have a counter.
COUNTERS = 256


class SpaceSavingSketch:
    """The space-saving sketch: a fixed number of counters of keys.

    A key that has no counter takes over the smallest one with its count, so
    a count is never too small, and too large by at most that count.

    Args:
        counters: Number of counters.
    """

    def __init__(self, counters: int = COUNTERS) -> None:
        self._counters = counters
        self._counts: dict[str, float] = {}
        self._errors: dict[str, float] = {}
        # Entries (count, key); an entry that does not match the present
        # count is stale and is skipped.
        self._heap: list[tuple[float, str]] = []

    def add(self, key: str, count: float = 1.0) -> None:
        """Counts occurrences of a key."""
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
        """Multiplies all counts, so that old occurrences lose weight."""
        self._counts = {
            key: count * factor for key, count in self._counts.items()
        }
        self._errors = {
            key: error * factor for key, error in self._errors.items()
        }
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._heap)

    def get_certain_count(self, key: str) -> float:
        """Returns a count that the key has certainly reached."""
        return self._counts.get(key, 0.0) - self._errors.get(key, 0.0)

    def list_largest(self) -> abc.Sequence[tuple[str, float]]:
        """Lists keys with their certain counts, largest first."""
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
