"""Remembers what upstreams announced while their entries are missing."""

import math

#: Maximum number of pauses, and of runs that are shutting down, that are
#: remembered without an entry in service discovery; the oldest are forgotten
#: first.
MAXIMUM_REMEMBERED_PAUSES = 1024
MAXIMUM_REMEMBERED_LEAVING_RUNS = 1024

#: Identifier of an upstream, and start of its run. Hashing an `UpstreamRun` is
#: much slower.
RunKey = tuple[str, int]


class RememberedRuns:
    """Remembers pauses and shutdowns of runs without an entry.

    All times are in seconds on the clock of the host, unless stated otherwise.
    """

    def __init__(self) -> None:
        #: Ends of the pauses of runs whose entries are missing.
        self._pauses: dict[RunKey, float] = {}
        #: Most recent pause by identifier: its end, and when the upstream
        #: asked for it, in milliseconds since 1970.
        self._latest_pauses: dict[str, tuple[float, int]] = {}
        #: When runs whose entries are missing were first seen to shut down.
        self._leaving: dict[RunKey, float] = {}

    def add_pause(self, key: RunKey, until: float) -> None:
        """Keeps the pause of a run whose entry is missing."""
        self._pauses[key] = max(until, self._pauses.pop(key, 0.0))
        if len(self._pauses) > MAXIMUM_REMEMBERED_PAUSES:
            del self._pauses[next(iter(self._pauses))]

    def add_leaving(self, key: RunKey, since: float) -> None:
        """Keeps since when a run whose entry is missing shuts down."""
        self._leaving[key] = since
        if len(self._leaving) > MAXIMUM_REMEMBERED_LEAVING_RUNS:
            del self._leaving[next(iter(self._leaving))]

    def record_answer(
        self, upstream_id: str, until: float, answered_ms: int
    ) -> None:
        """Records an answer that asks for a pause.

        Args:
            upstream_id: Identifier of the upstream.
            until: End of the pause.
            answered_ms: Time of the answer, in milliseconds since 1970.
        """
        pauses = self._latest_pauses
        until = max(until, pauses.pop(upstream_id, (0.0, 0))[0])
        pauses[upstream_id] = until, answered_ms
        if len(pauses) > MAXIMUM_REMEMBERED_PAUSES:
            del pauses[next(iter(pauses))]

    def take_pause(self, key: RunKey) -> float:
        """Returns the end of the pause of a run whose entry returns.

        A run also pauses if it may have sent the answer that asked for the
        pause, while the host knew only the entry of the run before.
        """
        until, answered_ms = self._latest_pauses.get(key[0], (0.0, 0))
        remembered = self._pauses.pop(key, 0.0)
        return max(remembered, until) if answered_ms >= key[1] else remembered

    def take_leaving(self, key: RunKey) -> float:
        """Returns since when a run shuts down; infinite if it is unknown."""
        return self._leaving.pop(key, math.inf)
