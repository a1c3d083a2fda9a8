"""Sentences about decisions, for the operator's question why."""

import collections
from collections import abc

#: Sentences kept for each group; the oldest is dropped.
MAXIMUM_EXPLANATIONS = 256


class Explanations:
    """A bounded list of sentences, oldest first."""

    def __init__(self) -> None:
        self._sentences: collections.deque[str] = collections.deque(
            maxlen=MAXIMUM_EXPLANATIONS
        )

    def add(self, sentence: str) -> None:
        """Keeps a sentence."""
        self._sentences.append(sentence)

    def list_all(self) -> abc.Sequence[str]:
        """Lists the sentences, oldest first."""
        return tuple(self._sentences)
