"""Explanations of recent decisions, which operators can query."""

import collections
from collections import abc

#: Number of explanations kept for each group. The oldest are dropped.
MAXIMUM_EXPLANATIONS = 256


class Explanations:
    """The latest explanations of one group, in bounded memory."""

    def __init__(self) -> None:
        self._texts: collections.deque[str] = collections.deque(
            maxlen=MAXIMUM_EXPLANATIONS
        )

    def add(self, text: str) -> None:
        """Adds an explanation, which is a sentence that operators read."""
        self._texts.append(text)

    def list_all(self) -> abc.Sequence[str]:
        """Returns the explanations, oldest first."""
        return tuple(self._texts)
