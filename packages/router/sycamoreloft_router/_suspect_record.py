"""Suspects that other groups reported, for the next holder of a group."""

import collections
from collections import abc
import time

import sycamoreloft_wire

#: Time for which notices of guilty requests are replayed, in seconds. The
#: permit issuer keeps guilty requests for the same time.
GUILTY_LIFETIME_S = 600.0

#: Time for which notices of suspects are replayed, in seconds. The permit
#: issuer that reported a suspect clears it when the request completes, but
#: does not report this to other hosts. An old notice would therefore delay or
#: even refuse requests that have proved harmless. A caller that repeats a
#: crashing request does so within seconds.
SUSPECT_LIFETIME_S = 20.0

#: Maximum number of notices that are kept; the oldest are dropped first.
MAXIMUM_NOTICES = 256


class SuspectRecord:
    """Keeps suspect notices, also while this host does not hold the group."""

    def __init__(self) -> None:
        self._notices: collections.deque[
            tuple[float, sycamoreloft_wire.SuspectNotice]
        ] = collections.deque(maxlen=MAXIMUM_NOTICES)

    def add(self, notice: sycamoreloft_wire.SuspectNotice) -> None:
        """Adds a notice that has just been received."""
        self._notices.append((time.monotonic(), notice))

    def replay(
        self, observe: abc.Callable[[sycamoreloft_wire.SuspectNotice], None]
    ) -> None:
        """Passes the notices that have not expired to a function, oldest first.

        Args:
            observe: Called with each notice.
        """
        now = time.monotonic()
        for received_at, notice in self._notices:
            if now - received_at <= (
                GUILTY_LIFETIME_S if notice.guilty else SUSPECT_LIFETIME_S
            ):
                observe(notice)
