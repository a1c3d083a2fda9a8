"""Remembers which paths were answered, to tell them from crashing requests."""

#: Number of bits of a generation. The share of them that is set is the
#: probability that a path which was not answered passes for an answered one;
#: its crashes then count for each address of its caller only.
_BIT_COUNT = 1 << 20

#: Seconds for which a generation is written to, and then still read.
GENERATION_S = 30.0


class AnsweredPaths:
    """A filter of the paths that upstreams answered in the last minute.

    A crash breaks the requests of many callers. A path that is in use by others
    is not to blame for it; a request that crashes upstreams is never answered.
    """

    def __init__(self) -> None:
        self._current = _create_filter()
        self._previous = _create_filter()
        self._rotates_at = 0.0

    def record(self, method: str, target: str, now: float) -> None:
        """Records that a request was answered.

        Args:
            method: HTTP method.
            target: Path and query.
            now: Time, in seconds.
        """
        self._rotate(now)
        index, bit = _locate(method, target)
        self._current[index] |= bit

    def contains(self, method: str, target: str, now: float) -> bool:
        """Returns whether requests with the method and path were answered."""
        self._rotate(now)
        index, bit = _locate(method, target)
        return bool((self._current[index] | self._previous[index]) & bit)

    def _rotate(self, now: float) -> None:
        if now < self._rotates_at:
            return
        is_recent = now < self._rotates_at + GENERATION_S
        self._previous = self._current if is_recent else _create_filter()
        self._current = _create_filter()
        self._rotates_at = now + GENERATION_S


def _create_filter() -> bytearray:
    return bytearray(_BIT_COUNT // 8)


def _locate(method: str, target: str) -> tuple[int, int]:
    """Returns the byte and the bit of a method and path."""
    path, _, _ = target.partition("?")
    number = hash((method, path)) % _BIT_COUNT
    return number >> 3, 1 << (number & 7)
