"""Chooses owners for keys without one, and moves keys off busy upstreams."""

from collections import abc
import dataclasses

from sycamoreloft_direct import (
    _key_commands,
    _key_loads,
    _key_planning,
    _key_segments,
    _nodes,
)

#: Seconds between two plans.
PLAN_INTERVAL_S = 0.25

#: Seconds of work that the decayed loads stand for, in the steady state.
LOAD_WINDOW_S = PLAN_INTERVAL_S / (1 - _key_loads.DECAY)

#: Moves for balance that may be under way at once.
MAXIMUM_MOVES = 12

#: Seconds for which an upstream that did not answer gets no further keys.
SILENT_S = 4.0

#: Seconds for which the list of upstreams must not change before the keys of
#: a service are assigned for the first time. Upstreams that start together
#: register within this time.
SETTLE_S = 0.7

_PHASE = _key_segments.Phase


@dataclasses.dataclass(frozen=True, slots=True)
class _ServicePlan:
    """What the steps of one plan for one service share."""

    #: Name of the service.
    service: str
    #: Weighs the choices.
    planner: _key_planning.Planner
    #: Upstreams that may own keys.
    runs: abc.Set[_nodes.UpstreamRun]
    #: Revision of the map with the new owners.
    revision: int
    #: Time, in seconds.
    now: float


class Rebalancer:
    """Plans who should own which keys.

    Args:
        table: The segments, which the plans change.
        now: Time, in seconds.
        is_revoked: Tells whether a run has yet to release keys that it lost;
            it gets no others until then.
    """

    def __init__(
        self,
        table: _key_segments.SegmentTable,
        now: float,
        is_revoked: abc.Callable[[_nodes.UpstreamRun], bool],
    ) -> None:
        self._table = table
        self._is_revoked = is_revoked
        self._loads: dict[str, _key_loads.KeyLoads] = {}
        self._speeds: abc.Mapping[str, float] = {}
        self._silent_until: dict[_nodes.UpstreamRun, float] = {}
        self._upstreams: abc.Mapping[_nodes.UpstreamRun, _nodes.Upstream] = {}
        self._busy: set[str] = set()
        self._listed_since = now
        self._plan_at = now

    def update_upstreams(
        self,
        upstreams: abc.Mapping[_nodes.UpstreamRun, _nodes.Upstream],
        now: float,
    ) -> None:
        """Takes the upstreams of sharded services."""
        if upstreams.keys() != self._upstreams.keys():
            self._listed_since = now
        self._upstreams = upstreams

    def record_load(self, load: _key_commands.KeyLoad) -> None:
        """Takes what a host observed."""
        self._find_loads(load.service).add(load.work_s)

    def update_speeds(self, speeds: abc.Mapping[str, float]) -> None:
        """Takes the relative speeds of upstreams by identifier."""
        self._speeds = speeds

    def note_silence(self, run: _nodes.UpstreamRun, now: float) -> None:
        """Notes that an upstream did not answer an order."""
        self._silent_until[run] = now + SILENT_S

    def note_answer(self, run: _nodes.UpstreamRun) -> None:
        """Notes that an upstream took an order."""
        self._silent_until.pop(run, None)

    def is_busy(self, upstream: str) -> bool:
        """Tells whether an upstream is so busy that requests queue."""
        return upstream in self._busy

    def plan(self, revision: int, now: float) -> None:
        """Begins what is due.

        Args:
            revision: Revision of the map that new owners are recorded with.
            now: Time, in seconds.
        """
        self._finish_moves(revision, now)
        if now < self._plan_at:
            return
        self._plan_at = now + PLAN_INTERVAL_S
        self._busy = set()
        for service in self._table.list_services():
            self._plan_service(service, revision, now)
            self._find_loads(service).decay()

    def _find_loads(self, service: str) -> _key_loads.KeyLoads:
        return self._loads.setdefault(service, _key_loads.KeyLoads())

    def _finish_moves(self, revision: int, now: float) -> None:
        """Gives keys that were released to the upstream they move to."""
        for segment in self._table:
            if segment.phase is not _PHASE.VACANT or segment.target is None:
                continue
            target = self._upstreams.get(segment.target)
            if (
                target is not None
                and not target.is_draining
                and not self._is_revoked(target.run)
                and self._table.is_free(segment, now)
            ):
                self._table.record(segment, target.run, revision)

    def _plan_service(self, service: str, revision: int, now: float) -> None:
        owners = [
            item
            for item in self._upstreams.values()
            if item.service == service
            and not item.is_draining
            and self._silent_until.get(item.run, now) <= now
            and not self._is_revoked(item.run)
        ]
        if not owners:
            return
        planner = _key_planning.Planner(
            owners,
            self._find_loads(service).freeze(),
            LOAD_WINDOW_S,
            self._speeds,
        )
        segments = self._table.list_service(service)
        planner.count(
            _key_planning.Piece(
                item.first, item.last, item.target or item.owner
            )
            for item in segments
        )
        self._busy |= {run.id for run in planner.list_busy()}
        runs = {item.run for item in owners}
        plan = _ServicePlan(service, planner, runs, revision, now)
        for segment in segments:
            self._place(segment, plan)
        self._balance(plan)
        self._table.merge(service)

    def _place(
        self, segment: _key_segments.Segment, plan: _ServicePlan
    ) -> None:
        """Finds owners for keys that have none or whose owner leaves."""
        if segment.phase is _PHASE.VACANT:
            if self._table.is_free(segment, plan.now) and self._is_settled(
                segment, plan.now
            ):
                for part, target in self._divide(segment, plan.planner):
                    self._table.record(part, target, plan.revision)
        elif (
            segment.phase is _PHASE.HELD
            and segment.owner in self._upstreams
            and segment.owner not in plan.runs
            and segment.failures == 0
        ):
            for part, target in self._divide(segment, plan.planner):
                self._table.begin_move(part, target, plan.now)

    def _is_settled(self, segment: _key_segments.Segment, now: float) -> bool:
        is_whole = segment.last - segment.first + 1 == _nodes.KEY_COUNT
        return not is_whole or now >= self._listed_since + SETTLE_S

    def _divide(
        self,
        segment: _key_segments.Segment,
        planner: _key_planning.Planner,
    ) -> abc.Sequence[tuple[_key_segments.Segment, _nodes.UpstreamRun]]:
        """Cuts a segment into the parts that the planner proposes."""
        piece = _key_planning.Piece(segment.first, segment.last, segment.owner)
        return [
            (self._table.cut_head(segment, move.last), move.target)
            for move in planner.place(piece)
        ]

    def _balance(self, plan: _ServicePlan) -> None:
        segments = self._table.list_service(plan.service)
        moving = sum(item.phase is not _PHASE.HELD for item in segments)
        for _ in range(MAXIMUM_MOVES - moving):
            held = [
                item
                for item in self._table.list_service(plan.service)
                if item.phase is _PHASE.HELD and item.failures == 0
            ]
            move = plan.planner.balance(
                [
                    _key_planning.Piece(item.first, item.last, item.owner)
                    for item in held
                ]
            )
            if move is None:
                return
            for segment in held:
                if segment.first <= move.first <= segment.last:
                    part = self._table.cut(segment, move.first, move.last)
                    self._table.begin_move(part, move.target, plan.now)
