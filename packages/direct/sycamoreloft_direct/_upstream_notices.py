"""What upstreams announce about themselves in their answers to requests."""

import dataclasses

from sycamoreloft_direct import _model

#: Number of leaving runs that a host remembers; the oldest are forgotten
#: first. A run ends within about a minute after it announced its shutdown.
MAXIMUM_LEAVING_RUNS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """How busy an upstream is, by its own report."""

    #: Number of requests that it works on.
    running: int
    #: Number of requests in its queue.
    waiting: int
    #: Number of requests that it can work on concurrently.
    slots: int
    #: How long work takes there now: 100 is usual, 200 is twice as long.
    percent: int = 100


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """An announcement in the headers of an upstream's answer."""

    #: Whether the upstream is shutting down.
    is_leaving: bool = False
    #: Seconds for which the upstream wants no requests from this host; 0 if it
    #: did not ask for a pause.
    pause_s: float = 0.0
    #: Load of the upstream, or None if it reported none.
    load: ReportedLoad | None = None


#: Notice of an answer without an announcement.
NO_NOTICE = UpstreamNotice()


class LeavingRuns:
    """Remembers which runs of upstreams announced their shutdown.

    An announcement is final: an entry in service discovery that was written
    or read earlier must not make the run available again.
    """

    def __init__(self) -> None:
        self._runs: dict[_model.UpstreamRun, None] = {}

    def __contains__(self, run: _model.UpstreamRun) -> bool:
        return run in self._runs

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, run: _model.UpstreamRun) -> None:
        """Adds a run, and forgets the oldest one if there are too many."""
        self._runs[run] = None
        if len(self._runs) > MAXIMUM_LEAVING_RUNS:
            del self._runs[next(iter(self._runs))]
