"""Assigns the keys of sharded services to upstreams.

One host at a time is the coordinator; the store decides which. It alone
changes owners. A move takes four steps: grant the present owner a new fencing
token (it then refuses every earlier grant, whoever sent it and however late
it arrives), release the keys, record the new owner in the store, grant the
keys to the new owner. If the present owner does not answer, its lease has to
end instead.

A coordinator that lost contact with the store changes nothing but goes on
renewing for `HoldTimes.blind_s`, so that an outage of the store costs nobody
its keys. A successor therefore waits that long, and one lease more, before
it takes keys from an upstream that does not answer. An upstream that does
answer gets a fencing token of the new epoch at once.
"""

from collections import abc
import itertools

from sycamoreloft_direct import (
    _key_commands,
    _key_loads,
    _key_map,
    _key_planning,
    _key_segments,
    _nodes,
)

#: Fencing tokens of one epoch.
FENCES_PER_EPOCH = 1 << 24

#: Seconds between two plans.
PLAN_INTERVAL_S = 0.25

#: Seconds of work that the decayed loads stand for, in the steady state.
LOAD_WINDOW_S = PLAN_INTERVAL_S / (1 - _key_loads.DECAY)

#: Moves for balance that may be under way at once.
MAXIMUM_MOVES = 8

#: Orders without an answer after which a move waits for the lease to end.
MAXIMUM_FAILURES = 3

#: Seconds for which an upstream that did not answer gets no further keys.
SILENT_S = 4.0

#: Seconds for which the list of upstreams must not change before the keys of
#: a service are assigned for the first time. Upstreams that start together
#: register within this time.
SETTLE_S = 0.7

#: Duration of the grant that begins a move, in seconds: long enough for the
#: release to follow.
SEAL_HOLD_S = 1.0

_PHASE = _key_segments.Phase


class KeyCoordinator:
    """Decides for all sharded services.

    Args:
        key_map: Map as taken over; its epoch is this coordinator's.
        now: Time, in seconds.
        earlier_until: Time until which an earlier coordinator may still
            renew what the map records.
        times: Durations of leases.
    """

    def __init__(
        self,
        key_map: _key_map.KeyMap,
        now: float,
        earlier_until: float,
        times: _key_commands.HoldTimes,
    ) -> None:
        self._times = times
        self._epoch = key_map.epoch
        self._revision = key_map.revision
        self._recorded = key_map
        self._writing: _key_map.KeyMap | None = None
        self._fence = key_map.epoch * FENCES_PER_EPOCH
        self._order = 0
        self._orders: dict[int, _key_segments.Segment] = {}
        self._upstreams: dict[_nodes.UpstreamRun, _nodes.Upstream] = {}
        self._loads: dict[str, _key_loads.KeyLoads] = {}
        self._speeds: abc.Mapping[str, float] = {}
        self._latest_start: abc.Mapping[str, int] = {}
        self._silent_until: dict[_nodes.UpstreamRun, float] = {}
        self._listed_since = now
        self._plan_at = now
        self._segments: list[_key_segments.Segment] = []
        for keys in key_map.services.values():
            for item in keys.ranges:
                self._adopt(keys.service, item, now, earlier_until)

    @property
    def key_map(self) -> _key_map.KeyMap:
        """The map as it is recorded."""
        return self._recorded

    def list_moving(
        self,
    ) -> abc.Sequence[tuple[str, _key_map.KeyRange]]:
        """Lists services and ranges whose owner has to give them up."""
        return [
            (
                item.service,
                _key_map.KeyRange(item.first, item.last, item.owner),
            )
            for item in self._segments
            if item.phase in (_PHASE.SEALING, _PHASE.RELEASING)
            or (item.phase is not _PHASE.HELD and item.is_handed_over)
        ]

    def _adopt(
        self,
        service: str,
        item: _key_map.KeyRange,
        now: float,
        earlier_until: float,
    ) -> None:
        # Keys without an owner may still be held by the one before, if an
        # earlier coordinator recorded its loss; it waited before doing so.
        segment = _key_segments.Segment(
            service, item.first, item.last, _PHASE.VACANT, safe_at=now
        )
        if item.owner is not None:
            segment.phase = _PHASE.HELD
            segment.owner = item.owner
            segment.safe_at = self._add_lease(earlier_until)
            segment.fence = self._create_fence()
            segment.due_at = now
        self._segments.append(segment)

    # What the process reports.

    def update_upstreams(
        self,
        upstreams: abc.Iterable[_nodes.Upstream],
        services: set[str],
        now: float,
    ) -> None:
        """Takes the present entries of sharded services.

        Args:
            upstreams: Upstreams of these services that discovery lists.
            services: Names of the sharded services.
            now: Time, in seconds.
        """
        listed = {item.run: item for item in upstreams}
        if listed.keys() != self._upstreams.keys():
            self._listed_since = now
            self._latest_start = {
                run.id: run.started_ms for run in sorted(listed)
            }
        self._upstreams = listed
        known = {segment.service for segment in self._segments}
        for service in sorted(services - known):
            self._segments.append(
                _key_segments.Segment(
                    service, 0, _nodes.KEY_COUNT - 1, _PHASE.VACANT
                )
            )

    def record_load(self, load: _key_commands.KeyLoad) -> None:
        """Takes what a host observed."""
        self._loads.setdefault(load.service, _key_loads.KeyLoads()).add(
            load.work_s
        )

    def update_speeds(self, speeds: abc.Mapping[str, float]) -> None:
        """Takes the relative speeds of upstreams by identifier."""
        self._speeds = speeds

    def finish_grant(
        self, order: int, result: _key_commands.GrantResult, now: float
    ) -> None:
        """Takes the result of a grant."""
        segment = self._orders.pop(order, None)
        if segment is None or segment.order != order:
            return
        segment.order = 0
        if result is _key_commands.GrantResult.ACCEPTED:
            self._accept(segment, now)
        elif result is _key_commands.GrantResult.FENCED:
            segment.fence = 0
            segment.due_at = now
            segment.failures += 1
        else:
            segment.failures += 1
            segment.due_at = now + self._times.retry_s
            # The upstream may have restarted under its identifier, and a new
            # run must get the keys with a higher token than the one before.
            segment.fence = self._create_fence()
            if segment.owner is not None:
                self._silent_until[segment.owner] = now + SILENT_S

    def finish_release(
        self, order: int, handover: str | None, now: float
    ) -> None:
        """Takes the result of a release.

        Args:
            order: The order.
            handover: State of the keys, or None if there was no answer.
            now: Time, in seconds.
        """
        segment = self._orders.pop(order, None)
        if segment is None or segment.order != order:
            return
        segment.order = 0
        if handover is None:
            segment.failures += 1
            segment.due_at = now
            return
        segment.handover = handover
        segment.safe_at = now
        self._vacate(segment)
        segment.is_handed_over = True

    def finish_write(self, is_recorded: bool) -> None:
        """Takes the result of writing the map.

        Args:
            is_recorded: Whether the map is in the store. If it is not, it is
                written again.
        """
        if self._writing is None:
            return
        if is_recorded:
            self._recorded = self._writing
        self._writing = None

    # What it decides.

    def tick(
        self, now: float, may_change: bool, may_renew: bool
    ) -> abc.Sequence[_key_commands.Command]:
        """Returns the orders that are due.

        Args:
            now: Time, in seconds.
            may_change: Whether the store confirms that this host is the
                coordinator.
            may_renew: Whether recorded owners may be renewed.
        """
        commands: list[_key_commands.Command] = []
        if may_change:
            self._plan(now)
            write = self._prepare_write()
            if write is not None:
                commands.append(write)
        if may_change or may_renew:
            for segment in self._segments:
                command = self._choose_order(segment, now, may_change)
                if command is not None:
                    commands.append(command)
        return commands

    def _choose_order(
        self, segment: _key_segments.Segment, now: float, may_change: bool
    ) -> _key_commands.Command | None:
        if segment.order or now < segment.due_at or segment.is_superseded:
            return None
        if segment.phase is _PHASE.HELD:
            return self._renew(segment, now, may_change)
        if not may_change:
            return None
        if segment.phase in (_PHASE.SEALING, _PHASE.RELEASING):
            if segment.failures >= MAXIMUM_FAILURES:
                if now >= segment.safe_at:
                    self._vacate(segment)
                return None
            if segment.phase is _PHASE.SEALING:
                return self._grant(segment, now, SEAL_HOLD_S)
            return self._release(segment, now)
        if (
            segment.phase is _PHASE.RECORDING
            and segment.revision <= self._recorded.revision
        ):
            segment.phase = _PHASE.HELD
            return self._renew(segment, now, may_change)
        return None

    def _renew(
        self, segment: _key_segments.Segment, now: float, may_change: bool
    ) -> _key_commands.Command | None:
        owner = segment.owner
        if owner is None or owner not in self._upstreams:
            return None
        if segment.fence == 0 and not may_change:
            segment.is_superseded = True
            return None
        hold_s = self._times.hold_s
        if segment.failures:
            # Tries at a silent upstream must not lengthen its lease.
            hold_s = min(hold_s, self._find_hold(now, segment.safe_at))
            if hold_s < self._times.retry_s:
                return None
        return self._grant(segment, now, hold_s)

    def _grant(
        self, segment: _key_segments.Segment, now: float, hold_s: float
    ) -> _key_commands.SendGrant:
        assert segment.owner is not None
        if segment.fence == 0:
            segment.fence = self._create_fence()
        segment.safe_at = max(segment.safe_at, self._add_lease(now, hold_s))
        segment.order = self._create_order(segment)
        return _key_commands.SendGrant(
            segment.order,
            segment.owner,
            segment.service,
            segment.first,
            segment.last,
            segment.fence,
            hold_s,
            segment.handover if segment.phase is _PHASE.HELD else "",
        )

    def _release(
        self, segment: _key_segments.Segment, now: float
    ) -> _key_commands.SendRelease:
        assert segment.owner is not None
        segment.order = self._create_order(segment)
        segment.due_at = now
        return _key_commands.SendRelease(
            segment.order,
            segment.owner,
            segment.service,
            segment.first,
            segment.last,
            segment.fence,
        )

    def _accept(self, segment: _key_segments.Segment, now: float) -> None:
        segment.failures = 0
        if segment.owner is not None:
            self._silent_until.pop(segment.owner, None)
        if segment.phase is _PHASE.SEALING:
            segment.phase = _PHASE.RELEASING
            segment.due_at = now
        else:
            segment.handover = ""
            # The lease can only end later than this if an order is late.
            segment.safe_at = self._add_lease(now)
            segment.due_at = now + self._times.renew_s

    def _vacate(self, segment: _key_segments.Segment) -> None:
        segment.phase = _PHASE.VACANT
        segment.owner = None
        segment.order = 0
        segment.failures = 0
        segment.due_at = 0.0

    # Plans.

    def _plan(self, now: float) -> None:
        self._drop_lost(now)
        for segment in self._segments:
            target = (
                self._upstreams.get(segment.target)
                if (segment.target)
                else None
            )
            if (
                target is not None
                and not target.is_draining
                and segment.phase is _PHASE.VACANT
                and now >= segment.safe_at
            ):
                self._record(segment, target.run)
        if now < self._plan_at:
            return
        self._plan_at = now + PLAN_INTERVAL_S
        for service in sorted({item.service for item in self._segments}):
            self._plan_service(service, now)
            self._loads.setdefault(service, _key_loads.KeyLoads()).decay()

    def _drop_lost(self, now: float) -> None:
        """Vacates segments whose owner has ended or whose lease is over."""
        for segment in self._segments:
            owner = segment.owner
            if owner is None or segment.phase is _PHASE.RECORDING:
                continue
            follower = self._find_follower(owner)
            if follower is not None:
                # Orders for the run that ended may have reached the new one.
                # It becomes the owner, with a token above all of them.
                self._record(segment, follower)
                continue
            if owner in self._upstreams and segment.failures == 0:
                continue
            if now >= segment.safe_at:
                self._vacate(segment)

    def _find_follower(
        self, run: _nodes.UpstreamRun
    ) -> _nodes.UpstreamRun | None:
        """Returns the run that replaced one under its identifier."""
        latest = self._latest_start.get(run.id, 0)
        if latest <= run.started_ms:
            return None
        return _nodes.UpstreamRun(run.id, latest)

    def _plan_service(self, service: str, now: float) -> None:
        owners = [
            item
            for item in self._upstreams.values()
            if item.service == service
            and not item.is_draining
            and self._silent_until.get(item.run, now) <= now
        ]
        if not owners:
            return
        loads = self._loads.setdefault(service, _key_loads.KeyLoads())
        planner = _key_planning.Planner(
            owners, loads.freeze(), LOAD_WINDOW_S, self._speeds
        )
        segments = [item for item in self._segments if item.service == service]
        planner.count(
            _key_planning.Piece(
                item.first, item.last, item.target or item.owner
            )
            for item in segments
        )
        runs = {item.run for item in owners}
        for segment in segments:
            self._place(segment, planner, runs, now)
        self._balance(service, planner, now)
        self._merge(service)

    def _place(
        self,
        segment: _key_segments.Segment,
        planner: _key_planning.Planner,
        runs: set[_nodes.UpstreamRun],
        now: float,
    ) -> None:
        """Begins the moves that a segment needs."""
        if segment.phase is _PHASE.VACANT and now >= segment.safe_at:
            is_whole = segment.last - segment.first + 1 == _nodes.KEY_COUNT
            if is_whole and now < self._listed_since + SETTLE_S:
                return
            for part, target in self._divide(segment, planner):
                self._record(part, target)
        elif (
            segment.phase is _PHASE.HELD
            and segment.owner in self._upstreams
            and segment.owner not in runs
            and segment.failures == 0
        ):
            for part, target in self._divide(segment, planner):
                self._begin_move(part, target, now)

    def _divide(
        self,
        segment: _key_segments.Segment,
        planner: _key_planning.Planner,
    ) -> abc.Sequence[tuple[_key_segments.Segment, _nodes.UpstreamRun]]:
        """Cuts a segment into the parts that the planner proposes."""
        piece = _key_planning.Piece(segment.first, segment.last, segment.owner)
        parts = []
        for move in planner.place(piece):
            part = segment
            if move.last < segment.last:
                part = segment.copy_part(move.first, move.last)
                self._insert_rest(part)
                segment.first = move.last + 1
            parts.append((part, move.target))
        return parts

    def _balance(
        self, service: str, planner: _key_planning.Planner, now: float
    ) -> None:
        moving = sum(
            item.service == service and item.phase is not _PHASE.HELD
            for item in self._segments
        )
        while moving < MAXIMUM_MOVES:
            held = [
                item
                for item in self._segments
                if item.service == service
                and item.phase is _PHASE.HELD
                and item.failures == 0
            ]
            move = planner.balance(
                [
                    _key_planning.Piece(item.first, item.last, item.owner)
                    for item in held
                ]
            )
            if move is None:
                return
            for segment in held:
                if segment.first <= move.first <= segment.last:
                    part = self._cut(segment, move.first, move.last)
                    self._begin_move(part, move.target, now)
            moving += 1

    def _merge(self, service: str) -> None:
        """Joins neighbours with one owner; they need one order then."""
        segments = sorted(
            (item for item in self._segments if item.service == service),
            key=lambda item: item.first,
        )
        for left, right in itertools.pairwise(segments):
            if left.owner == right.owner and _is_calm(left) and _is_calm(right):
                right.first = left.first
                right.fence = self._create_fence()
                right.due_at = min(left.due_at, right.due_at)
                right.safe_at = max(left.safe_at, right.safe_at)
                self._segments.remove(left)

    def _begin_move(
        self,
        segment: _key_segments.Segment,
        target: _nodes.UpstreamRun,
        now: float,
    ) -> None:
        segment.phase = _PHASE.SEALING
        segment.is_handed_over = False
        segment.target = target
        segment.fence = self._create_fence()
        # A renewal that is under way no longer matters.
        segment.order = 0
        segment.due_at = min(now, segment.due_at)
        segment.failures = 0

    def _record(
        self,
        segment: _key_segments.Segment,
        target: _nodes.UpstreamRun | None,
    ) -> None:
        segment.phase = _PHASE.RECORDING
        segment.owner = target
        segment.target = None
        segment.order = 0
        segment.fence = self._create_fence()
        segment.revision = self._revision + 1
        segment.due_at = 0.0

    def _cut(
        self, segment: _key_segments.Segment, first: int, last: int
    ) -> _key_segments.Segment:
        """Cuts a part out of a segment; the rest stays in its state."""
        if segment.first < first:
            rest = segment.copy_part(segment.first, first - 1)
            self._insert_rest(rest)
        if last < segment.last:
            rest = segment.copy_part(last + 1, segment.last)
            self._insert_rest(rest)
        segment.first, segment.last = first, last
        return segment

    def _insert_rest(self, rest: _key_segments.Segment) -> None:
        # The answer to a renewal under way is not the rest's.
        if rest.order:
            rest.order = 0
            rest.due_at = 0.0
        self._segments.append(rest)

    def _prepare_write(self) -> _key_commands.WriteMap | None:
        """Records new owners; owners that lost keys stay until then."""
        if self._writing is not None:
            return None
        waiting = [
            item
            for item in self._segments
            if item.phase is _PHASE.RECORDING
            and item.revision > self._recorded.revision
        ]
        if not waiting:
            return None
        services = dict(self._recorded.services)
        for item in waiting:
            keys = services.get(item.service) or _key_map.create_unowned(
                item.service
            )
            services[item.service] = keys.assign(
                item.first, item.last, item.owner
            )
        self._revision += 1
        for item in waiting:
            item.revision = self._revision
        self._writing = _key_map.KeyMap(self._epoch, self._revision, services)
        return _key_commands.WriteMap(self._writing)

    # Small helpers.

    def _create_fence(self) -> int:
        self._fence += 1
        return self._fence

    def _create_order(self, segment: _key_segments.Segment) -> int:
        self._order += 1
        self._orders[self._order] = segment
        return self._order

    def _add_lease(self, sent_at: float, hold_s: float | None = None) -> float:
        """Returns when a lease that was sent at a time has surely ended."""
        hold = self._times.hold_s if hold_s is None else hold_s
        return sent_at + hold * (1 + self._times.drift) + self._times.margin_s

    def _find_hold(self, now: float, safe_at: float) -> float:
        """Returns the longest lease, sent now, that is over at a time."""
        return (safe_at - now - self._times.margin_s) / (1 + self._times.drift)


def _is_calm(segment: _key_segments.Segment) -> bool:
    return (
        segment.phase is _PHASE.HELD
        and segment.order == 0
        and segment.failures == 0
        and segment.handover == ""
    )
