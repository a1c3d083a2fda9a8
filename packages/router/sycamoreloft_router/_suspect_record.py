"""Suspect notices of other groups, kept for a holder that takes over."""

import collections
from collections import abc
import time

import sycamoreloft_wire

#: Time for which notices of guilty requests are kept, in seconds; as long as
#: the permit desk keeps them.
KEPT_S = 600.0

#: Time for which notices of suspects are replayed, in seconds. The desk that
#: saw a suspect clears it when it completes, which other hosts do not hear of;
#: an old notice would hold back, or even refuse, what has proved harmless. A
#: caller that sends a crashing request again does so within seconds.
SUSPECTED_S = 20.0

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
        now = time.monotonic()
        for at, notice in self._notices:
            if now - at <= (KEPT_S if notice.guilty else SUSPECTED_S):
                take(notice)
