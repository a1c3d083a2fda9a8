"""Assigns the keys of sharded services to upstreams.

One host at a time is the coordinator, as the store determines. It alone
changes owners. It moves keys in four steps: grant the current owner a new
fencing token (the owner then refuses every earlier grant, from any coordinator
and however late), release the keys, record the new owner in the store, and
grant the keys to the new owner. If the current owner does not answer, the
coordinator waits for the end of its lease instead.

A coordinator that lost contact with the store changes no owners, but keeps
renewing leases for `LeaseTimes.blind_s`, so that upstreams keep their keys
during an outage of the store. A successor therefore waits that long, plus one
lease, before it reassigns keys of an upstream that does not answer. An
upstream that does answer gets a fencing token of the new epoch immediately.
"""

from collections import abc

from sycamoreloft_direct import (
    _epochs,
    _key_commands,
    _key_map,
    _key_planning,
    _key_rebalancing,
    _key_segments,
    _lease_ends,
    _map_adoption,
    _map_trust,
    _model,
    _owner_changes,
    _revocations,
)

#: Number of fencing tokens of one epoch. Tokens of a later epoch are higher.
FENCES_PER_EPOCH = 1 << 24

#: Number of unanswered orders after which a move no longer grants a new token,
#: but repeats the release until it is answered or the lease has ended.
MAXIMUM_FAILURES = 3

#: Duration of the lease that a sealing grant requests, in seconds. It must
#: last until the release arrives.
SEAL_HOLD_S = 1.0

_PHASE = _key_segments.Phase
_CAUSE = _owner_changes.ChangeCause


class KeyCoordinator:
    """Assigns the keys of all sharded services to upstreams.

    Args:
        key_map: The latest map in the store, with the epoch of this
            coordinator.
        now: Time, in seconds.
        earlier_until: Time until which an earlier coordinator may still
            renew the leases of the recorded owners.
        times: Durations of leases.
        trust: How sure it is that the map names the latest owners.
    """

    def __init__(
        self,
        key_map: _key_map.KeyMap,
        now: float,
        earlier_until: float,
        times: _key_commands.LeaseTimes,
        trust: _map_trust.MapTrust = _map_trust.MapTrust.RECORDED,
    ) -> None:
        self._times = times
        #: Withholds the keys while the map may be outdated.
        self.map_check = _map_trust.MapCheck(
            trust,
            _map_trust.compute_withholding(trust, now, earlier_until, times),
        )
        self._epoch = key_map.epoch
        self._revision = key_map.revision
        self._recorded = key_map
        self._pending_map: _key_map.KeyMap | None = None
        self._leases = _lease_ends.LeaseEnds(times)
        self._table = _key_segments.SegmentTable(
            key_map.epoch * FENCES_PER_EPOCH, self._leases
        )
        self._revocations = _revocations.Revocations(
            self._table.create_fence,
            self._next_order,
            has_predecessor=trust is _map_trust.MapTrust.RECORDED
            and not _epochs.is_first_of_era(self._epoch),
        )
        self._rebalancer = _key_rebalancing.Rebalancer(
            self._table, now, self._revocations.is_pending
        )
        self._last_order = 0
        self._open_orders: dict[int, _key_segments.Segment] = {}
        self._upstreams: dict[_model.UpstreamRun, _model.Upstream] = {}
        self._latest_start: abc.Mapping[str, int] = {}
        _map_adoption.adopt_map(
            key_map,
            self._table,
            self._leases,
            self._epoch * FENCES_PER_EPOCH,
            now,
            earlier_until,
        )

    @property
    def key_map(self) -> _key_map.KeyMap:
        """The latest map that is known to be in the store."""
        return self._recorded

    def list_moving(
        self,
    ) -> abc.Sequence[tuple[str, _key_map.KeyRange]]:
        """Returns the ranges that are being moved, each with its service."""
        return self._table.list_moving()

    # Information for logs and metrics.

    @property
    def owner_changes(self) -> abc.Sequence[_owner_changes.OwnerChange]:
        """Changes of owner that the last call of `tick` decided on."""
        return self._table.changes

    def list_claims(
        self, change: _owner_changes.OwnerChange
    ) -> abc.Sequence[_owner_changes.LeaseClaim]:
        """Returns the known grants of the keys that a change of owner affects.

        Grants whose leases ended more than a few seconds ago are left out.
        """
        return self._leases.list_claims(
            change.service, change.first, change.last, change.refused_fence
        )

    def count_unheld(self) -> int:
        """Returns the number of keys that no upstream is known to hold."""
        return self._table.count_unheld()

    # Events that the process reports.

    def update_upstreams(
        self,
        upstreams: abc.Iterable[_model.Upstream],
        services: set[str],
        now: float,
    ) -> None:
        """Replaces the list of upstreams, and adds new services.

        Args:
            upstreams: Upstreams of sharded services in service discovery.
            services: Names of all sharded services.
            now: Time, in seconds.
        """
        listed = self._leases.select_running(upstreams)
        if listed.keys() != self._upstreams.keys():
            self._latest_start = {
                run.id: run.started_ms for run in sorted(listed)
            }
            owners = {segment.owner for segment in self._table}
            self._revocations.update_upstreams(listed, owners, now)
            new = [
                entry
                for run, entry in listed.items()
                if run not in self._upstreams
            ]
            self.map_check.revoke_foreign_keys(
                self._revocations, self._table, new, now
            )
        self._upstreams = listed
        self._rebalancer.update_upstreams(listed, now)
        known = {segment.service for segment in self._table}
        for service in sorted(services - known):
            self._table.add(
                _key_segments.Segment(
                    service, 0, _model.KEY_COUNT - 1, _PHASE.VACANT
                )
            )

    def record_load(self, load: _key_commands.KeyLoad) -> None:
        """Adds the load that a host observed."""
        self._rebalancer.record_load(load)

    def update_speeds(
        self,
        speeds: abc.Mapping[str, float],
        request_s: float = _key_planning.DEFAULT_REQUEST_S,
    ) -> None:
        """Replaces the speeds by identifier, and the work of a request."""
        self._rebalancer.update_speeds(speeds, request_s)

    def end_run(self, run: _model.UpstreamRun) -> None:
        """Vacates all keys of a run that is certain to have ended."""
        self._leases.end_run(run)
        self._revocations.forget(run)
        self._upstreams.pop(run, None)
        for segment in self._table:
            if segment.owner == run and segment.phase is not _PHASE.RECORDING:
                segment.leased_until = 0.0
                self._table.vacate(segment, _CAUSE.RUN_ENDED)

    def is_busy(self, upstream: str) -> bool:
        """Returns whether an upstream is so busy that its requests queue."""
        return self._rebalancer.is_busy(upstream)

    def finish_grant(
        self, order: int, result: _key_commands.GrantResult, now: float
    ) -> bool:
        """Records the result of a grant.

        Returns:
            Whether `tick` has another step to take at once. There is none
            after a renewal: `tick` visits all segments, so a call after each
            renewal would take quadratic time.
        """
        self._leases.close_call(
            order,
            now,
            result in _key_commands.POSSIBLY_DELIVERED_RESULTS,
            may_be_unread=result is _key_commands.GrantResult.UNREAD,
        )
        segment = self._open_orders.pop(order)
        if segment.order != order:
            return False
        segment.order = 0
        if result is _key_commands.GrantResult.ACCEPTED:
            self._accept(segment, now)
            return segment.phase is not _PHASE.HELD or segment.due_at <= now
        if result is _key_commands.GrantResult.FENCED:
            segment.record_refusal(now)
        elif result is _key_commands.GrantResult.UNSENT:
            segment.due_at = now
        else:
            segment.record_silence(
                self._table.create_fence(), now, self._times.retry_s
            )
            if segment.owner is not None:
                self._rebalancer.record_silence(segment.owner, now)
        return True

    def finish_release(
        self, order: int, handover: str | None, now: float
    ) -> None:
        """Records the result of a release.

        Args:
            order: Number of the order.
            handover: State of the keys, or None if there was no answer.
            now: Time, in seconds.
        """
        if self._revocations.finish(order, handover is not None, now):
            return
        segment = self._open_orders.pop(order, None)
        if segment is None or segment.order != order:
            return
        segment.order = 0
        if handover is None:
            segment.failures += 1
            is_held = segment.phase is _PHASE.HELD
            waits = is_held or segment.failures >= MAXIMUM_FAILURES
            segment.due_at = now + (self._times.retry_s if waits else 0.0)
            return
        segment.handover = handover
        self._table.set_refused_fence(segment, segment.fence)
        self._table.vacate(segment, _CAUSE.RELEASED)

    def finish_write(self, is_recorded: bool) -> None:
        """Records the result of writing the map.

        Args:
            is_recorded: Whether the map is in the store. If it is not, a
                later `tick` writes it again.
        """
        if self._pending_map is None:
            return
        if is_recorded:
            self._recorded = self._pending_map
        self._pending_map = None

    # Decisions.

    def tick(
        self, now: float, may_change: bool, may_renew: bool
    ) -> abc.Sequence[_key_commands.Command]:
        """Returns the commands that are due.

        Args:
            now: Time, in seconds.
            may_change: Whether the store confirms that this host is the
                coordinator, so that owners may change.
            may_renew: Whether the leases of recorded owners may be renewed.
        """
        commands: list[_key_commands.Command] = []
        self._table.changes = []
        if self.map_check.update(now, self._revocations.list_pending()):
            return self._revocations.list_due(now) if may_change else ()
        if may_change:
            self._vacate_lost(now)
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
            if segment.failures >= MAXIMUM_FAILURES and self._table.is_free(
                segment, now
            ):
                self._vacate_silent(segment, now)
                return None
            if (
                segment.phase is _PHASE.SEALING
                and segment.failures < MAXIMUM_FAILURES
            ):
                return self._grant(segment, SEAL_HOLD_S, now)
            return self._release(segment)
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
            # The upstream may have restarted and lost the token of a later
            # coordinator, so that it would accept a grant of this one.
            return None
        if segment.failures:
            # Repeated grants to an unresponsive upstream must not extend its
            # lease again and again, since they may arrive without an answer.
            lease_end = self._table.compute_lease_end(segment)
            if lease_end == _lease_ends.OPEN_END:
                return None
            if segment.failures == 1:
                # Without this, no lease would be long enough to try again.
                segment.retries_end = lease_end + self._times.slot_wait_s
            lease_end = max(lease_end, segment.retries_end)
            hold_s = min(hold_s, self._leases.compute_hold_s(now, lease_end))
            if hold_s < self._times.retry_s:
                # The rest of the lease is too short for a grant. A release
                # frees the keys as soon as the owner answers it.
                return self._release(segment) if may_change else None
        return self._grant(segment, hold_s, now)

    def _grant(
        self, segment: _key_segments.Segment, hold_s: float, now: float
    ) -> _key_commands.SendGrant:
        assert segment.owner is not None
        if segment.is_confirmed:
            self._table.advance_fence(segment)
        elif segment.fence == 0:
            segment.fence = self._table.create_fence()
        segment.hold_s = hold_s
        segment.due_at = now + self._times.retry_s
        segment.order = self._register_order(segment)
        command = _key_commands.SendGrant(
            segment.order,
            segment.owner,
            segment.service,
            segment.first,
            segment.last,
            segment.fence,
            hold_s,
            segment.handover if segment.phase is _PHASE.HELD else "",
            segment.is_confirmed,
        )
        self._leases.open_call(command)
        return command

    def _release(
        self, segment: _key_segments.Segment
    ) -> _key_commands.SendRelease:
        assert segment.owner is not None
        # The release needs a new token, so that the upstream refuses grants
        # with the previous token that are still in transit.
        segment.fence = self._table.create_fence()
        segment.is_confirmed = False
        segment.order = self._register_order(segment)
        return _key_commands.SendRelease(
            segment.order,
            segment.owner,
            segment.service,
            segment.first,
            segment.last,
            segment.fence,
        )

    def _accept(self, segment: _key_segments.Segment, now: float) -> None:
        if not segment.is_confirmed:
            # The upstream now refuses lower tokens, also those of an earlier
            # coordinator. The answer to a renewal does not prove that: it may
            # be a second answer to an earlier renewal.
            self._table.refuse_earlier_grants(segment, now, self._times.hold_s)
        if segment.owner is not None:
            self._rebalancer.record_response(segment.owner)
        if segment.phase is _PHASE.SEALING:
            segment.phase = _PHASE.RELEASING
            segment.failures = 0
            segment.due_at = now
        else:
            segment.accept(now, self._times)

    def _vacate_lost(self, now: float) -> None:
        """Vacates segments of lost owners, or assigns them to a later run."""
        for segment in self._table:
            owner = segment.owner
            if owner is None or segment.phase is _PHASE.RECORDING:
                continue
            follower = self._find_follower(owner)
            if follower is not None:
                # Orders for the old run may have reached the new one, so the
                # new run becomes the owner, with a token above all of theirs.
                # Until it has seen that token, it refuses no grant.
                self._table.save_previous_owner(segment, _CAUSE.FOLLOWER)
                self._table.set_refused_fence(segment, 0)
                self._revocations.forget(follower)
                self._table.assign_owner(segment, follower, self._revision + 1)
                continue
            if owner in self._upstreams and segment.failures == 0:
                continue
            if self._table.is_free(segment, now):
                self._vacate_silent(segment, now)

    def _vacate_silent(
        self, segment: _key_segments.Segment, now: float
    ) -> None:
        """Vacates and revokes keys whose lease ended without an answer."""
        assert segment.owner is not None
        keys = _revocations.LostKeys(
            segment.service, segment.first, segment.last
        )
        owner = segment.owner
        self._table.vacate(segment, _CAUSE.LEASE_OVER)
        owns_nothing = all(other.owner != owner for other in self._table)
        self._revocations.add(owner, keys, now, owns_nothing=owns_nothing)

    def _find_follower(
        self, run: _model.UpstreamRun
    ) -> _model.UpstreamRun | None:
        """Returns the later run with the same identifier; None if none."""
        latest = self._latest_start.get(run.id, 0)
        if latest <= run.started_ms:
            return None
        return _model.UpstreamRun(run.id, latest)

    def _prepare_write(self) -> _key_commands.WriteMap | None:
        """Records new owners; until then, the map keeps the lost ones."""
        if self._pending_map is not None:
            return None
        waiting = [
            segment
            for segment in self._table
            if segment.phase is _PHASE.RECORDING
            and segment.revision > self._recorded.revision
        ]
        if not waiting:
            return None
        services = _key_segments.assign_owners(self._recorded.services, waiting)
        self._revision += 1
        for segment in waiting:
            segment.revision = self._revision
        self._pending_map = _key_map.KeyMap(
            self._epoch, self._revision, services
        )
        return _key_commands.WriteMap(self._pending_map)

    def _next_order(self) -> int:
        self._last_order += 1
        return self._last_order

    def _register_order(self, segment: _key_segments.Segment) -> int:
        order = self._next_order()
        self._open_orders[order] = segment
        return order
