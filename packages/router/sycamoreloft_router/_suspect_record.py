"""Suspect notices of other groups, kept for a holder that takes over."""

import collections
from collections import abc
import time

import sycamoreloft_wire

#: Time for which notices are kept, in seconds; as long as the permit desk
#: keeps a suspect.
KEPT_S = 600.0

#: Notices that are kept; the oldest are dropped first.
MAXIMUM_NOTICES = 256


class SuspectRecord:
    """Remembers notices, also while this host holds no group."""

    def __init__(self) -> None:
        self._notices: collections.deque[
            tuple[float, sycamoreloft_wire.SuspectNotice]
        ] = collections.deque(maxlen=MAXIMUM_NOTICES)

    def add(self, notice: sycamoreloft_wire.SuspectNotice) -> None:
        """Remembers a notice."""
        self._notices.append((time.monotonic(), notice))

    def replay(
        self, take: abc.Callable[[sycamoreloft_wire.SuspectNotice], None]
    ) -> None:
        """Passes on the notices that still count, oldest first."""
        oldest = time.monotonic() - KEPT_S
        for at, notice in self._notices:
            if at >= oldest:
                take(notice)
