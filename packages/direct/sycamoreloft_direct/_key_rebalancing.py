"""Assigns keys that have no owner, and moves keys off busy upstreams."""

from collections import abc
import dataclasses

from sycamoreloft_direct import (
    _key_commands,
    _key_loads,
    _key_planning,
    _key_segments,
    _model,
)

#: Seconds between two plans.
PLAN_INTERVAL_S = 0.25

#: Length of the window that the decayed loads represent in the steady state,
#: in seconds.
LOAD_WINDOW_S = PLAN_INTERVAL_S / (1 - _key_loads.DECAY)

#: Number of segments of one service in transit at which rebalancing starts no
#: further moves.
MAXIMUM_MOVES = 12

#: Seconds for which an upstream gets no further keys after it left an order
#: unanswered.
SILENCE_PERIOD_S = 4.0

#: Seconds for which the list of upstreams must not change before the keys of
#: a service are assigned for the first time. Upstreams that start at the same
#: time register within this period, so that they share the keys at once.
SETTLING_S = 0.7

_PHASE = _key_segments.Phase


@dataclasses.dataclass(frozen=True, slots=True)
class _ServicePlan:
    """Inputs shared by the steps that plan one service."""

    service: str
    #: Planner with the current loads of the service.
    planner: _key_planning.Planner
    #: Revision of the map that will record the new owners.
    revision: int
    #: Time of the plan, in seconds.
    now: float


class Rebalancer:
    """Plans which upstream should own which keys.

    Args:
        table: The segments. Plans change them in place.
        now: Time, in seconds.
        has_pending_revocation: Returns whether a run has not yet released
            keys that it lost. Such a run gets no other keys.
    """

    def __init__(
        self,
        table: _key_segments.SegmentTable,
        now: float,
        has_pending_revocation: abc.Callable[[_model.UpstreamRun], bool],
    ) -> None:
        self._table = table
        self._has_pending_revocation = has_pending_revocation
        self._loads: dict[str, _key_loads.KeyLoads] = {}
        self._speeds: abc.Mapping[str, float] = {}
        self._request_s = _key_planning.DEFAULT_REQUEST_S
        self._silent_until: dict[_model.UpstreamRun, float] = {}
        self._upstreams: abc.Mapping[_model.UpstreamRun, _model.Upstream] = {}
        self._busy: set[str] = set()
        self._list_changed_at = now
        self._next_plan_at = now

    def update_upstreams(
        self,
        upstreams: abc.Mapping[_model.UpstreamRun, _model.Upstream],
        now: float,
    ) -> None:
        """Replaces the list of upstreams of sharded services."""
        if upstreams.keys() != self._upstreams.keys():
            self._list_changed_at = now
        self._upstreams = upstreams

    def record_load(self, load: _key_commands.KeyLoad) -> None:
        """Adds the load that a host observed."""
        self._get_loads(load.service).add(load.work_s, load.request_s)

    def update_speeds(
        self, speeds: abc.Mapping[str, float], request_s: float
    ) -> None:
        """Replaces the relative speeds of upstreams, by identifier.

        Args:
            speeds: The speeds.
            request_s: Mean work of a request, in seconds.
        """
        self._speeds = speeds
        self._request_s = request_s

    def record_silence(self, run: _model.UpstreamRun, now: float) -> None:
        """Records that an upstream did not answer an order."""
        self._silent_until[run] = now + SILENCE_PERIOD_S

    def record_response(self, run: _model.UpstreamRun) -> None:
        """Records that an upstream accepted an order."""
        self._silent_until.pop(run, None)

    def is_busy(self, upstream: str) -> bool:
        """Returns whether an upstream is so busy that its requests queue."""
        return upstream in self._busy

    def plan(self, revision: int, now: float) -> None:
        """Finishes moves, and assigns and rebalances keys when a plan is due.

        Args:
            revision: Revision of the map that will record new owners.
            now: Time, in seconds.
        """
        self._finish_moves(revision, now)
        if now < self._next_plan_at:
            return
        self._next_plan_at = now + PLAN_INTERVAL_S
        self._busy = set()
        for service in self._table.list_services():
            self._plan_service(service, revision, now)
            self._get_loads(service).decay()

    def _get_loads(self, service: str) -> _key_loads.KeyLoads:
        return self._loads.setdefault(service, _key_loads.KeyLoads())

    def _finish_moves(self, revision: int, now: float) -> None:
        """Assigns released keys to the upstreams that they are moving to."""
        for segment in self._table:
            if segment.phase is not _PHASE.VACANT or segment.target is None:
                continue
            target = self._upstreams.get(segment.target)
            if (
                target is not None
                and not target.is_draining
                and not self._has_pending_revocation(target.run)
                and self._table.is_free(segment, now)
            ):
                self._table.assign_owner(segment, target.run, revision)

    def _plan_service(self, service: str, revision: int, now: float) -> None:
        owners = [
            item
            for item in self._upstreams.values()
            if item.service == service
            and not item.is_draining
            and self._silent_until.get(item.run, now) <= now
            and not self._has_pending_revocation(item.run)
        ]
        if not owners:
            return
        planner = _key_planning.Planner(
            owners,
            self._get_loads(service).create_profile(),
            LOAD_WINDOW_S,
            self._speeds,
            self._request_s,
        )
        segments = self._table.list_service(service)
        planner.add_work(
            _key_planning.OwnedRange(
                item.first, item.last, item.target or item.owner
            )
            for item in segments
        )
        self._busy |= {run.id for run in planner.list_queueing()}
        plan = _ServicePlan(service, planner, revision, now)
        for segment in segments:
            self._place_keys(segment, plan)
        self._balance(plan)
        self._table.merge(service)

    def _place_keys(
        self, segment: _key_segments.Segment, plan: _ServicePlan
    ) -> None:
        """Assigns keys without an owner, and moves keys off leaving owners."""
        if segment.phase is _PHASE.VACANT:
            if self._table.is_free(segment, plan.now) and self._is_settled(
                segment, plan.now
            ):
                for part, target in self._split(segment, plan.planner):
                    self._table.assign_owner(part, target, plan.revision)
        elif segment.is_idle and self._is_leaving(segment.owner):
            for part, target in self._split(segment, plan.planner):
                self._table.begin_move(part, target, plan.now)

    def _is_leaving(self, owner: _model.UpstreamRun | None) -> bool:
        """Returns whether an owner is listed as draining.

        An owner that left an order unanswered keeps its keys: if it is lost,
        they move when its lease ends, and moves need its answers as well.
        """
        upstream = self._upstreams.get(owner) if owner is not None else None
        return upstream is not None and upstream.is_draining

    def _is_settled(self, segment: _key_segments.Segment, now: float) -> bool:
        is_whole = segment.last - segment.first + 1 == _model.KEY_COUNT
        return not is_whole or now >= self._list_changed_at + SETTLING_S

    def _split(
        self,
        segment: _key_segments.Segment,
        planner: _key_planning.Planner,
    ) -> abc.Sequence[tuple[_key_segments.Segment, _model.UpstreamRun]]:
        """Splits a segment into the parts that the planner proposes.

        Returns:
            The parts, each with the upstream that should get it.
        """
        owned_range = _key_planning.OwnedRange(
            segment.first, segment.last, segment.owner
        )
        return [
            (self._table.split_head(segment, move.last), move.target)
            for move in planner.plan_placement(owned_range)
        ]

    def _balance(self, plan: _ServicePlan) -> None:
        segments = self._table.list_service(plan.service)
        moving = sum(
            item.phase is not _PHASE.HELD or not item.is_accepted
            for item in segments
        )
        for _ in range(MAXIMUM_MOVES - moving):
            held = [
                item
                for item in self._table.list_service(plan.service)
                if item.is_stable
            ]
            move = plan.planner.plan_move(
                [
                    _key_planning.OwnedRange(item.first, item.last, item.owner)
                    for item in held
                ]
            )
            if move is None:
                return
            for segment in held:
                if segment.first <= move.first <= segment.last:
                    part = self._table.extract(segment, move.first, move.last)
                    self._table.begin_move(part, move.target, plan.now)
