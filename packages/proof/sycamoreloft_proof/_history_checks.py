"""Checks a history against the conditions of section 1.1."""

from collections import abc

from sycamoreloft_proof import _history


def check_history(
    events: abc.Iterable[_history.Event],
) -> list[_history.Violation]:
    """Lists every violation that the events show, in order of time."""
    raise NotImplementedError
