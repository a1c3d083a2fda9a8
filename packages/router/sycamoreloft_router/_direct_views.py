"""The platform's tables as a direct host knows them."""

from collections import abc
import dataclasses
import itertools
import logging
import math
import typing

import sycamoreloft_direct
from sycamoreloft_router import _logs

_LOGGER = logging.getLogger(__name__)

#: Seconds after an outage of the store within which a missing entry may return.
RETURN_GRACE_S = 2.2


class StateView:
    """The newest desired state."""

    def __init__(self) -> None:
        #: The newest desired state; None before the first one.
        self.state: sycamoreloft_direct.DesiredState | None = None
        #: Routes of that state.
        self.routes = sycamoreloft_direct.RouteTable(())

    def apply_entries(self, values: abc.Mapping[str, typing.Any]) -> None:
        """Applies entries of the table of desired states."""
        for state in values.values():
            if isinstance(state, sycamoreloft_direct.DesiredState):
                self._apply(state)

    def _apply(self, state: sycamoreloft_direct.DesiredState) -> None:
        known = self.state.version if self.state is not None else -1
        if state.version <= known:
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

    def record_leaving(self, run: sycamoreloft_direct.UpstreamRun) -> bool:
        """Marks a run as draining because one of its answers said so.

        Returns:
            Whether this is the first announcement of the run.
        """
        if run in self._leaving:
            return False
        self._leaving.add(run)
        upstream = self._listed.get(run.id)
        if upstream is not None and upstream.run == run:
            self._add_listed(run.id, upstream)
            self._on_change()
        return True

    def record_missing(
        self, run: sycamoreloft_direct.UpstreamRun, now: float
    ) -> None:
        """Drops the entry of a run that another host found missing.

        The entry returns when this host reads it in the table.
        """
        upstream = self._listed.get(run.id)
        if upstream is not None and upstream.run == run:
            self._missing[run.id] = now
            self.sweep(now)

    def extend_grace(self, until: float) -> None:
        """Keeps entries that a full read lacks until at least a given time."""
        self._grace_until = max(self._grace_until, until)

    def replace_all(
        self, values: abc.Mapping[str, typing.Any], now: float
    ) -> None:
        """Applies all entries of the table."""
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
            else:
                self._missing.pop(key, None)
                self._add_listed(key, upstream)
        self.sweep(now)
        self._on_change()

    def compute_next_expiry(self) -> float:
        """Returns when `sweep` will drop the next entry; infinite for never."""
        departed = (until for _, until in self._departed.values())
        return min(
            itertools.chain(self._missing.values(), departed), default=math.inf
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
        if is_changed:
            self._on_change()

    def _add_listed(
        self, key: str, upstream: sycamoreloft_direct.Upstream
    ) -> None:
        known = self._listed.get(key)
        is_announced = (
            upstream.run in self._leaving and not upstream.is_draining
        )
        if is_announced:
            upstream = dataclasses.replace(upstream, is_draining=True)
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
        self._departed[upstream.id] = (
            sycamoreloft_direct.Upstream(
                upstream.id,
                upstream.started_ms,
                upstream.address,
                upstream.service,
                upstream.failure_domain,
                upstream.slots,
                True,
            ),
            now + self.keep_s,
        )
