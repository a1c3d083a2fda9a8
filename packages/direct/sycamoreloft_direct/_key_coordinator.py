"""Assigns the keys of sharded services to upstreams.

One host at a time is the coordinator; the store decides which. It alone
changes owners. A move takes four steps: grant the present owner a new fencing
token (it then refuses every earlier grant, whoever sent it and however late
it arrives), release the keys, record the new owner in the store, grant the
keys to the new owner. If the present owner does not answer, its lease has to
end instead.

A coordinator that lost contact with the store changes nothing but goes on
renewing for `LeaseTimes.blind_s`, so that an outage of the store costs nobody
its keys. A successor therefore waits that long, and one lease more, before
it takes keys from an upstream that does not answer. An upstream that does
answer gets a fencing token of the new epoch at once.
"""

from collections import abc

from sycamoreloft_direct import (
    _key_commands,
    _key_map,
    _key_rebalancing,
    _key_segments,
    _lease_ends,
    _nodes,
    _owner_changes,
    _revocations,
)

#: Fencing tokens of one epoch.
FENCES_PER_EPOCH = 1 << 24

#: Epoch of the first coordinator, which has no predecessor.
FIRST_EPOCH = 1

#: Orders without an answer after which a move waits for the lease to end.
MAXIMUM_FAILURES = 3

#: Duration of the grant that begins a move, in seconds: long enough for the
#: release to follow.
SEAL_HOLD_S = 1.0

_PHASE = _key_segments.Phase
_CAUSE = _owner_changes.ChangeCause


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
        times: _key_commands.LeaseTimes,
    ) -> None:
        self._times = times
        self._epoch = key_map.epoch
        self._revision = key_map.revision
        self._recorded = key_map
        self._writing: _key_map.KeyMap | None = None
        self._leases = _lease_ends.LeaseEnds(times)
        self._table = _key_segments.SegmentTable(
            key_map.epoch * FENCES_PER_EPOCH, self._leases
        )
        self._revocations = _revocations.Revocations(
            self._table.create_fence,
            self._count_order,
            has_predecessor=self._epoch > FIRST_EPOCH,
        )
        self._rebalancer = _key_rebalancing.Rebalancer(
            self._table, now, self._revocations.is_pending
        )
        self._order = 0
        self._orders: dict[int, _key_segments.Segment] = {}
        self._upstreams: dict[_nodes.UpstreamRun, _nodes.Upstream] = {}
        self._latest_start: abc.Mapping[str, int] = {}
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
        """Lists services and ranges that are on their way to an owner."""
        return [
            (
                item.service,
                _key_map.KeyRange(item.first, item.last, item.owner),
            )
            for item in self._table
            if item.is_moving
        ]

    # What logs and metrics tell.

    @property
    def owner_changes(self) -> abc.Sequence[_owner_changes.OwnerChange]:
        """Changes of owner that the last call of `tick` decided."""
        return self._table.changes

    def list_claims(
        self, change: _owner_changes.OwnerChange
    ) -> abc.Sequence[_owner_changes.LeaseClaim]:
        """Lists the grants of keys that get another owner.

        Grants whose leases have been over for some seconds are left out.
        """
        return self._leases.list_claims(
            change.service, change.first, change.last, change.refused_fence
        )

    def count_unheld(self) -> int:
        """Counts the keys that no upstream is known to hold."""
        return self._table.count_unheld()

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
            service, item.first, item.last, _PHASE.VACANT
        )
        if item.owner is not None:
            segment.phase = _PHASE.HELD
            segment.owner = item.owner
            # The earlier coordinator granted the keys, as far as is known.
            segment.is_taken = True
            segment.fence = self._table.create_fence()
            segment.due_at = now
            self._leases.assume(
                service,
                item.first,
                item.last,
                item.owner,
                self._epoch * FENCES_PER_EPOCH,
                earlier_until,
            )
        self._table.add(segment)

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
            self._latest_start = {
                run.id: run.started_ms for run in sorted(listed)
            }
            owners = {segment.owner for segment in self._table}
            self._revocations.update_upstreams(listed, owners, now)
        self._upstreams = listed
        self._rebalancer.update_upstreams(listed, now)
        known = {segment.service for segment in self._table}
        for service in sorted(services - known):
            self._table.add(
                _key_segments.Segment(
                    service, 0, _nodes.KEY_COUNT - 1, _PHASE.VACANT
                )
            )

    def record_load(self, load: _key_commands.KeyLoad) -> None:
        """Takes what a host observed."""
        self._rebalancer.record_load(load)

    def update_speeds(self, speeds: abc.Mapping[str, float]) -> None:
        """Takes the relative speeds of upstreams by identifier."""
        self._rebalancer.update_speeds(speeds)

    def end_run(self, run: _nodes.UpstreamRun) -> None:
        """Takes all keys from a run that has surely ended."""
        self._leases.end_run(run)
        self._revocations.forget(run)
        for segment in self._table:
            if segment.owner == run and segment.phase is not _PHASE.RECORDING:
                segment.leased_until = 0.0
                self._table.vacate(segment, _CAUSE.RUN_ENDED)

    def is_busy(self, upstream: str) -> bool:
        """Tells whether an upstream is so busy that requests queue."""
        return self._rebalancer.is_busy(upstream)

    def finish_grant(
        self, order: int, result: _key_commands.GrantResult, now: float
    ) -> bool:
        """Takes the result of a grant.

        Returns:
            Whether another step follows at once. Nothing follows a renewal,
            and a look at all segments after each would cost the square of
            their number.
        """
        may_have_arrived = result in _key_commands.ARRIVED_RESULTS
        self._leases.close(order, now, may_have_arrived)
        segment = self._orders.pop(order)
        if segment.order != order:
            return False
        segment.order = 0
        if result is _key_commands.GrantResult.ACCEPTED:
            self._accept(segment, now)
            return segment.phase is not _PHASE.HELD
        if result is _key_commands.GrantResult.FENCED:
            segment.fence = 0
            segment.due_at = now
            segment.failures += 1
        elif result is _key_commands.GrantResult.UNSENT:
            segment.due_at = now
        else:
            segment.failures += 1
            segment.due_at = now + self._times.retry_s
            # The upstream may have restarted under its identifier, and a new
            # run must get the keys with a higher token than the one before.
            segment.fence = self._table.create_fence()
            if segment.owner is not None:
                self._rebalancer.note_silence(segment.owner, now)
        return True

    def finish_release(
        self, order: int, handover: str | None, now: float
    ) -> None:
        """Takes the result of a release.

        Args:
            order: The order.
            handover: State of the keys, or None if there was no answer.
            now: Time, in seconds.
        """
        if self._revocations.finish(order, handover is not None, now):
            return
        segment = self._orders.pop(order, None)
        if segment is None or segment.order != order:
            return
        segment.order = 0
        if handover is None:
            segment.failures += 1
            is_held = segment.phase is _PHASE.HELD
            segment.due_at = now + (self._times.retry_s if is_held else 0.0)
            return
        segment.handover = handover
        self._table.note_refused(segment, segment.fence)
        self._table.vacate(segment, _CAUSE.RELEASED)

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
        self._table.changes = []
        if may_change:
            self._drop_lost(now)
            self._rebalancer.plan(self._revision + 1, now)
            write = self._prepare_write()
            if write is not None:
                commands.append(write)
            commands.extend(self._revocations.list_due(now))
        if may_change or may_renew:
            for segment in self._table:
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
                if self._table.is_free(segment, now):
                    self._take_from_silent(segment, now)
                return None
            if segment.phase is _PHASE.SEALING:
                return self._grant(segment, SEAL_HOLD_S)
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
        if segment.failures and not may_change:
            # The upstream may have restarted, and forgotten the token of a
            # later coordinator.
            return None
        if segment.failures:
            # Tries at a silent upstream must not lengthen its lease.
            lease_end = self._table.find_lease_end(segment)
            if lease_end == _lease_ends.OPEN:
                return None
            hold_s = min(hold_s, self._leases.find_hold(now, lease_end))
            if hold_s < self._times.retry_s:
                # Too little of the lease is left for a grant. A release frees
                # the keys as soon as the owner answers.
                return self._release(segment, now) if may_change else None
        return self._grant(segment, hold_s)

    def _grant(
        self, segment: _key_segments.Segment, hold_s: float
    ) -> _key_commands.SendGrant:
        assert segment.owner is not None
        if segment.fence == 0:
            segment.fence = self._table.create_fence()
        segment.order = self._create_order(segment)
        command = _key_commands.SendGrant(
            segment.order,
            segment.owner,
            segment.service,
            segment.first,
            segment.last,
            segment.fence,
            hold_s,
            segment.handover if segment.phase is _PHASE.HELD else "",
            segment.is_taken and segment.refused_fence >= segment.fence - 1,
        )
        self._leases.open(command)
        return command

    def _release(
        self, segment: _key_segments.Segment, now: float
    ) -> _key_commands.SendRelease:
        assert segment.owner is not None
        # An earlier grant that is still on its way may have the token of the
        # latest one.
        segment.fence = self._table.create_fence()
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
        # The upstream refuses lower tokens now, also those of an earlier
        # coordinator; grants with this one are renewals.
        self._table.note_refused(segment, segment.fence - 1)
        if segment.owner is not None:
            self._rebalancer.note_answer(segment.owner)
        if segment.phase is _PHASE.SEALING:
            segment.phase = _PHASE.RELEASING
            segment.due_at = now
        else:
            segment.is_taken = True
            segment.handover = ""
            segment.due_at = now + self._times.renew_s

    def _drop_lost(self, now: float) -> None:
        """Vacates segments whose owner has ended or whose lease is over."""
        for segment in self._table:
            owner = segment.owner
            if owner is None or segment.phase is _PHASE.RECORDING:
                continue
            follower = self._find_follower(owner)
            if follower is not None:
                # Orders for the run that ended may have reached the new one.
                # It becomes the owner, with a token above all of them. Until
                # it has seen that token, it refuses nothing.
                self._table.note_freed(segment, _CAUSE.FOLLOWER)
                self._table.note_refused(segment, 0)
                self._revocations.forget(follower)
                self._table.record(segment, follower, self._revision + 1)
                continue
            if owner in self._upstreams and segment.failures == 0:
                continue
            if self._table.is_free(segment, now):
                self._take_from_silent(segment, now)

    def _take_from_silent(
        self, segment: _key_segments.Segment, now: float
    ) -> None:
        """Takes keys from an owner whose lease is over without its answer."""
        assert segment.owner is not None
        keys = _revocations.LostKeys(
            segment.service, segment.first, segment.last
        )
        owner = segment.owner
        self._table.vacate(segment, _CAUSE.LEASE_OVER)
        owns_nothing = all(item.owner != owner for item in self._table)
        self._revocations.add(owner, keys, now, owns_nothing=owns_nothing)

    def _find_follower(
        self, run: _nodes.UpstreamRun
    ) -> _nodes.UpstreamRun | None:
        """Returns the run that replaced one under its identifier."""
        latest = self._latest_start.get(run.id, 0)
        if latest <= run.started_ms:
            return None
        return _nodes.UpstreamRun(run.id, latest)

    def _prepare_write(self) -> _key_commands.WriteMap | None:
        """Records new owners; owners that lost keys stay until then."""
        if self._writing is not None:
            return None
        waiting = [
            item
            for item in self._table
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

    def _count_order(self) -> int:
        self._order += 1
        return self._order

    def _create_order(self, segment: _key_segments.Segment) -> int:
        order = self._count_order()
        self._orders[order] = segment
        return order
