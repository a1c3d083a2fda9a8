"""The platform's tables as a direct host knows them."""

from collections import abc
import dataclasses
import itertools
import logging
import math
import typing

import sycamoreloft_direct
from sycamoreloft_router import _logs, _retired_runs

_LOGGER = logging.getLogger(__name__)

#: Seconds for which the version of the desired state of another host counts.
#: Several heartbeats may be lost within it.
PEER_STATE_MEMORY_S = 3.0

#: Seconds after an outage of the store within which a missing entry may return.
RETURN_GRACE_S = 2.2


class StateView:
    """The newest desired state."""

    def __init__(self) -> None:
        #: The newest desired state; None before the first one.
        self.state: sycamoreloft_direct.DesiredState | None = None
        #: Routes of that state.
        self.routes = sycamoreloft_direct.RouteTable(())
        #: Highest version that other hosts have in force; -1 if unknown.
        self.peer_version = -1
        self._peer_version_until = 0.0

    @property
    def version(self) -> int:
        """Version of the newest desired state; 0 before the first one."""
        return self.state.version if self.state is not None else 0

    @property
    def is_behind(self) -> bool:
        """Whether another host has a newer desired state in force."""
        return self.peer_version > self.version

    def observe_peer(self, version: int, now: float) -> None:
        """Records the version that another host has in force.

        Args:
            version: Version of its desired state; 0 if it has none.
            now: Time on the clock of the event loop, in seconds.
        """
        self.sweep(now)
        if version >= max(self.peer_version, self.version):
            self.peer_version = version
            self._peer_version_until = now + PEER_STATE_MEMORY_S

    def sweep(self, now: float) -> None:
        """Forgets the version of other hosts when it is too old."""
        if now >= self._peer_version_until:
            self.peer_version = -1

    def apply_entries(self, values: abc.Mapping[str, typing.Any]) -> None:
        """Applies entries of the table of desired states."""
        for state in values.values():
            if isinstance(state, sycamoreloft_direct.DesiredState):
                self._apply(state)

    def _apply(self, state: sycamoreloft_direct.DesiredState) -> None:
        known = self.state.version if self.state is not None else -1
        if self.state is not None and state.version <= known:
            self._log_ignored(state, self.state)
            return
        self.state = state
        self.routes = sycamoreloft_direct.RouteTable(state.routes)
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "desired-state-applied",
            version=state.version,
            before=known,
            routes=len(state.routes),
        )

    def _log_ignored(
        self,
        state: sycamoreloft_direct.DesiredState,
        known: sycamoreloft_direct.DesiredState,
    ) -> None:
        """Logs a state that is older than the known one, or contradicts it."""
        if state.version == known.version and state == known:
            return
        _logs.log_event(
            _LOGGER,
            logging.WARNING,
            "desired-state-ignored",
            version=state.version,
            known=known.version,
        )


class DepartureRecorder:
    """Receives what a view learns of upstreams that leave.

    This base class ignores it.
    """

    def record_left(
        self, run: sycamoreloft_direct.UpstreamRun, *, is_announced: bool
    ) -> None:
        """Handles a run that is shutting down.

        Args:
            run: The run.
            is_announced: Whether the run said so in an answer, so that the
                table may not show it yet.
        """

    def record_missing(self, run: sycamoreloft_direct.UpstreamRun) -> None:
        """Handles a run whose entry is missing."""

    def record_listed(self, run: sycamoreloft_direct.UpstreamRun) -> None:
        """Handles a run with an entry that does not leave."""

    def is_outdated(self, run: sycamoreloft_direct.UpstreamRun) -> bool:
        """Returns whether a later version of the table lacks an entry."""
        del run
        return False


class UpstreamSource(typing.Protocol):
    """Upstreams that may own keys."""

    def list_all(self) -> list[sycamoreloft_direct.Upstream]:
        """Returns all upstreams; those that must lose keys as draining."""

    def find(
        self, run: sycamoreloft_direct.UpstreamRun
    ) -> sycamoreloft_direct.Upstream | None:
        """Returns the entry of a run."""


class UpstreamView:
    """Upstreams that discovery lists, or listed until recently.

    An upstream without an entry may still serve requests and hold keys. It is
    kept as draining until its address may belong to another upstream.

    Args:
        keep_s: Seconds for which a departed upstream is kept as draining.
        on_change: Called after each change.
    """

    def __init__(
        self, keep_s: float, on_change: abc.Callable[[], None]
    ) -> None:
        #: Seconds for which a departed upstream is kept as draining.
        self.keep_s = keep_s
        self._on_change = on_change
        self._listed: dict[str, sycamoreloft_direct.Upstream] = {}
        self._departed: dict[
            str, tuple[sycamoreloft_direct.Upstream, float]
        ] = {}
        self._missing: dict[str, float] = {}
        self._leaving = sycamoreloft_direct.LeavingRuns()
        self._retired = _retired_runs.RetiredRuns()
        #: Listed upstreams that get no requests until a given time, because a
        #: restored store lists them though they had left.
        self._doubted: dict[
            str, tuple[sycamoreloft_direct.Upstream, float]
        ] = {}
        self._grace_until = 0.0
        #: Receives what this view learns of upstreams that leave.
        self.recorder = DepartureRecorder()

    def list_all(self) -> list[sycamoreloft_direct.Upstream]:
        """Returns listed upstreams, and departed ones as draining."""
        departed = [upstream for upstream, _ in self._departed.values()]
        return [*self._listed.values(), *departed]

    def find(
        self, run: sycamoreloft_direct.UpstreamRun
    ) -> sycamoreloft_direct.Upstream | None:
        """Returns the entry of a run, listed or departed."""
        upstream = self._listed.get(run.id)
        if upstream is None and run.id in self._departed:
            upstream = self._departed[run.id][0]
        return upstream if upstream and upstream.run == run else None

    def record_leaving(
        self, run: sycamoreloft_direct.UpstreamRun, now: float
    ) -> bool:
        """Marks a run as draining because one of its answers said so.

        Args:
            run: The run.
            now: Time, in seconds.

        Returns:
            Whether this is the first announcement of the run.
        """
        if run in self._leaving:
            return False
        self._leaving.add(run)
        upstream = self._listed.get(run.id)
        if upstream is not None and upstream.run == run:
            self._add_listed(run.id, upstream, now)
            self._on_change()
        return True

    def record_missing(
        self, run: sycamoreloft_direct.UpstreamRun, now: float
    ) -> None:
        """Drops the entry of a run that another host found missing.

        The entry returns when this host reads it in a version of the table
        that is not older.
        """
        upstream = self._listed.get(run.id)
        if upstream is not None and upstream.run == run:
            self._missing[run.id] = now
            self.sweep(now)

    def extend_grace(self, until: float) -> None:
        """Keeps entries that a full read lacks until at least a given time."""
        self._grace_until = max(self._grace_until, until)

    def record_restore(self, restored_at: float) -> None:
        """Records when this host noticed a restore of the store.

        The copy lacks upstreams that registered after it was made, and has
        older entries of others.
        """
        self.extend_grace(restored_at + RETURN_GRACE_S)
        self._retired.record_restore(restored_at)

    def replace_all(
        self, values: abc.Mapping[str, typing.Any], now: float
    ) -> None:
        """Applies all entries of the table."""
        values = {
            key: upstream
            for key, upstream in values.items()
            if upstream is None or not self._is_earlier_run(upstream, now)
        }
        for key in self._listed:
            if key not in values:
                # It may have expired during an outage of the store.
                self._missing.setdefault(key, max(self._grace_until, now))
        self.apply_changes(values, now)

    def apply_changes(
        self, values: abc.Mapping[str, typing.Any], now: float
    ) -> None:
        """Applies changed entries of the table; None removes an entry."""
        for key, upstream in values.items():
            if upstream is None:
                self._missing[key] = now
            elif self.recorder.is_outdated(upstream.run):
                _log_older_entry(upstream, "left")
            else:
                self._missing.pop(key, None)
                self._add_listed(key, self._apply_doubt(upstream, now), now)
        self.sweep(now)
        self._on_change()

    def compute_next_expiry(self) -> float:
        """Returns when `sweep` will drop the next entry; infinite for never."""
        timed = itertools.chain(self._departed.values(), self._doubted.values())
        return min(
            itertools.chain(
                self._missing.values(), (until for _, until in timed)
            ),
            default=math.inf,
        )

    def sweep(self, now: float) -> None:
        """Drops entries whose time is over; call it regularly."""
        is_changed = False
        for key, until in list(self._missing.items()):
            if now < until:
                continue
            del self._missing[key]
            upstream = self._listed.pop(key, None)
            if upstream is not None:
                self._mark_departed(upstream, now)
                is_changed = True
        for key, (_, until) in list(self._departed.items()):
            if now >= until:
                del self._departed[key]
                is_changed = True
        for key, (upstream, until) in list(self._doubted.items()):
            if now >= until:
                del self._doubted[key]
                self._add_listed(key, upstream, now)
                is_changed = True
        if is_changed:
            self._on_change()

    def _is_earlier_run(
        self, upstream: sycamoreloft_direct.Upstream, now: float
    ) -> bool:
        """Returns whether a restored entry is of an earlier run than known."""
        listed = self._listed.get(upstream.id)
        is_earlier = self._retired.is_restored(now) and (
            (listed is not None and upstream.started_ms < listed.started_ms)
            or self._retired.is_earlier_run(upstream.run, now)
        )
        if is_earlier:
            _log_older_entry(upstream, "earlier-run")
        return is_earlier

    def _apply_doubt(
        self, upstream: sycamoreloft_direct.Upstream, now: float
    ) -> sycamoreloft_direct.Upstream:
        """Returns an entry as draining if a restored store is wrong about it.

        An upstream that was draining or had left gets no requests again, since
        it may end at any moment.
        """
        self._doubted.pop(upstream.id, None)
        if upstream.is_draining:
            return upstream
        until = self._retired.compute_doubt_end(upstream.run, now)
        if until <= now:
            return upstream
        if until < math.inf:
            self._doubted[upstream.id] = upstream, until
        _log_older_entry(upstream, "left" if until < math.inf else "draining")
        return dataclasses.replace(upstream, is_draining=True)

    def _add_listed(
        self, key: str, upstream: sycamoreloft_direct.Upstream, now: float
    ) -> None:
        is_announced = (
            upstream.run in self._leaving and not upstream.is_draining
        )
        if is_announced:
            upstream = dataclasses.replace(upstream, is_draining=True)
        if upstream.is_draining and key not in self._doubted:
            self._retired.record(
                upstream.run, _retired_runs.Retirement.DRAINING, now
            )
        elif not upstream.is_draining:
            self._retired.record_use(upstream.run)
        known = self._listed.get(key)
        if upstream.is_draining:
            self.recorder.record_left(upstream.run, is_announced=is_announced)
        else:
            self.recorder.record_listed(upstream.run)
        self._departed.pop(key, None)
        self._listed[key] = upstream
        if (
            known is None
            or known.run != upstream.run
            or known.is_draining != upstream.is_draining
        ):
            _logs.log_event(
                _LOGGER,
                logging.INFO,
                "upstream-listed",
                upstream=key,
                service=upstream.service,
                address=upstream.address,
                started_ms=upstream.started_ms,
                draining=upstream.is_draining,
            )

    def _mark_departed(
        self, upstream: sycamoreloft_direct.Upstream, now: float
    ) -> None:
        _logs.log_event(
            _LOGGER, logging.INFO, "upstream-gone", upstream=upstream.id
        )
        self.recorder.record_missing(upstream.run)
        self._doubted.pop(upstream.id, None)
        self._retired.record(upstream.run, _retired_runs.Retirement.GONE, now)
        self._departed[upstream.id] = (
            dataclasses.replace(upstream, is_draining=True, warm_up_s=0.0),
            now + self.keep_s,
        )


def _log_older_entry(
    upstream: sycamoreloft_direct.Upstream, known: str
) -> None:
    """Logs an entry that is older than what this host knows.

    Args:
        upstream: The entry.
        known: What is known of the upstream: "draining", "left" without a
            notice, or "earlier-run" if it has restarted since.
    """
    _logs.log_event(
        _LOGGER,
        logging.WARNING,
        "upstream-entry-older",
        upstream=upstream.id,
        started_ms=upstream.started_ms,
        known=known,
    )
