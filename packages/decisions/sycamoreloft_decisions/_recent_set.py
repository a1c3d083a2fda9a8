"""Set that remembers only the latest values, in bounded memory."""

from collections import abc
import typing

Value = typing.TypeVar("Value", bound=abc.Hashable)


class RecentSet(typing.Generic[Value]):
    """Remembers the latest values, at least `size` and at most twice as many.

    Values are kept in two sets, of which the older one is dropped at once.
    Removing the oldest entries of a dict one by one would be slow: each
    removal takes time proportional to the number of entries removed before.
    """

    __slots__ = ("_current", "_previous", "_size", "unbounded")

    def __init__(self, size: int) -> None:
        """Creates an empty set."""
        self._size = size
        self._current: set[Value] = set()
        self._previous: set[Value] = set()
        #: Whether all values are kept for now, without a limit.
        self.unbounded = False

    def __contains__(self, value: Value) -> bool:
        return value in self._current or value in self._previous

    def __len__(self) -> int:
        return len(self._current | self._previous)

    def add(self, value: Value) -> None:
        """Adds a value, or makes it the latest one."""
        current = self._current
        current.add(value)
        if len(current) >= self._size and not self.unbounded:
            self._previous = current
            self._current = set()
