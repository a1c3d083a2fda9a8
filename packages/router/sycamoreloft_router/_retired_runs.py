"""Recognizes entries of upstreams that are older than what a host knows.

After the store was restored from an older copy, an upstream that was draining
or had left is listed as ready again, and one that restarted is listed with its
earlier run. An upstream writes its current entry again only if it is alive.
"""

import dataclasses
import enum
import math

import sycamoreloft_direct

#: Seconds for which a run is remembered after it was draining or gone. Copies
#: are some seconds old.
MEMORY_S = 120.0

#: Maximum number of runs that are remembered.
MAXIMUM_RUNS = 10_000

#: Seconds after a restore for which an upstream that had left without a notice
#: gets no requests though it is listed. The store removes the entry of an
#: upstream after three of its heartbeats of silence, so one that is listed for
#: longer is alive.
DOUBT_S = 8.0


class Retirement(enum.Enum):
    """How a run of an upstream came to its end."""

    #: The upstream announced that it leaves.
    DRAINING = "draining"
    #: Its entry was removed without such a notice.
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class _RetiredRun:
    """The last run of an upstream that was draining or gone."""

    #: Start of the run; see `sycamoreloft_direct.Upstream`.
    started_ms: int
    #: How it ended.
    retirement: Retirement
    #: When it is forgotten.
    until: float


class RetiredRuns:
    """Remembers runs that were draining or gone.

    All times are in seconds on the clock of the event loop.
    """

    def __init__(self) -> None:
        self._runs: dict[str, _RetiredRun] = {}
        self._restored_at = -math.inf

    def record(
        self,
        run: sycamoreloft_direct.UpstreamRun,
        retirement: Retirement,
        now: float,
    ) -> None:
        """Records that a run is draining or gone; the notice outweighs."""
        known = self._runs.pop(run.id, None)
        if (
            known is not None
            and known.started_ms == run.started_ms
            and known.retirement is Retirement.DRAINING
        ):
            retirement = Retirement.DRAINING
        self._runs[run.id] = _RetiredRun(
            run.started_ms, retirement, now + MEMORY_S
        )
        if len(self._runs) > MAXIMUM_RUNS:
            del self._runs[next(iter(self._runs))]

    def record_use(self, run: sycamoreloft_direct.UpstreamRun) -> None:
        """Records that a run is used again after it was draining or gone."""
        self._runs.pop(run.id, None)

    def record_restore(self, restored_at: float) -> None:
        """Records when this host noticed a restore of the store."""
        self._restored_at = restored_at

    def is_restored(self, now: float) -> bool:
        """Returns whether entries may be older than what this host knows."""
        return now < self._restored_at + MEMORY_S

    def is_earlier_run(
        self, run: sycamoreloft_direct.UpstreamRun, now: float
    ) -> bool:
        """Returns whether a later run of this upstream is known to be over."""
        known = self._find(run, now)
        return known is not None and run.started_ms < known.started_ms

    def compute_doubt_end(
        self, run: sycamoreloft_direct.UpstreamRun, now: float
    ) -> float:
        """Returns until when a listed run gets no requests.

        Returns:
            The time; infinite for a run that announced that it leaves, and
            `now` or earlier for one that may be used.
        """
        known = self._find(run, now)
        if known is None or known.started_ms != run.started_ms:
            return now
        if known.retirement is Retirement.DRAINING:
            return math.inf
        return self._restored_at + DOUBT_S

    def _find(
        self, run: sycamoreloft_direct.UpstreamRun, now: float
    ) -> _RetiredRun | None:
        """Returns what is remembered of an upstream after a restore."""
        known = self._runs.get(run.id)
        if known is None or now >= known.until or not self.is_restored(now):
            return None
        return known
