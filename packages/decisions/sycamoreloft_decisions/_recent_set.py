"""Bounded memory of the values that were added last."""

from collections import abc
import typing

Value = typing.TypeVar("Value", bound=abc.Hashable)


class RecentSet(typing.Generic[Value]):
    """Remembers between `size` and twice `size` of the latest values.

    Values are kept in two generations, because removing the oldest entry of a
    dict one at a time takes time proportional to the entries removed before.
    """

    __slots__ = ("_current", "_previous", "_size", "unbounded")

    def __init__(self, size: int) -> None:
        """Starts empty."""
        self._size = size
        self._current: set[Value] = set()
        self._previous: set[Value] = set()
        #: Whether nothing is forgotten for now.
        self.unbounded = False

    def __contains__(self, value: Value) -> bool:
        return value in self._current or value in self._previous

    def __len__(self) -> int:
        return len(self._current | self._previous)

    def add(self, value: Value) -> None:
        """Adds a value, which is then the latest one."""
        current = self._current
        current.add(value)
        if len(current) >= self._size and not self.unbounded:
            self._previous = current
            self._current = set()
