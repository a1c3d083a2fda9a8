"""Tracks until when upstreams may hold keys under grants that were sent.

A lease begins when the upstream takes its grant, which may be at any time while
the call is open. The end of a lease is therefore unknown until its call has
ended. A grant whose call ended without an answer may have arrived at the very
end of the call, and may wait for a free slot of a full upstream after that.
This module alone determines when it is safe to grant keys to another upstream.
"""

from collections import abc
import dataclasses

from sycamoreloft_direct import (
    _key_commands,
    _key_map,
    _model,
    _owner_changes,
)

#: End of a lease whose grant may still arrive.
OPEN_END = float("inf")

#: Seconds for which an ended lease is remembered, so that the logs can show
#: which leases a change of owner waited for.
ENDED_LEASE_HISTORY_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """Keys that an upstream may hold because of a grant."""

    #: Name of the service.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Fencing token of the grant.
    fence: int
    #: Run of the upstream that the grant was sent to.
    run: _model.UpstreamRun

    def overlaps(
        self, service: str, first: int, last: int, above_fence: int
    ) -> bool:
        """Returns whether the claim covers any key of a range.

        Claims with a token up to `above_fence` are ignored.
        """
        return (
            self.fence > above_fence
            and self.service == service
            and self.first <= last
            and first <= self.last
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenCall:
    """A grant whose call has not ended."""

    #: Keys that the upstream may hold because of the grant.
    claim: _Claim
    #: Duration of the lease that the grant requests, in seconds.
    hold_s: float
    #: Whether the grant renews a lease.
    is_renewal: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _LeaseEnd:
    """The end of a claim's lease, and what it is based on."""

    #: When the lease ends, in seconds.
    ends_at: float
    #: When the call ended, or the latest time at which an earlier coordinator
    #: may have decided to send the grant, in seconds.
    closed_at: float
    #: Whether the grant is assumed to come from an earlier coordinator.
    is_assumed: bool = False


class LeaseEnds:
    """Remembers the grants whose leases may not have ended.

    Args:
        times: Durations of key leases.
    """

    def __init__(self, times: _key_commands.LeaseTimes) -> None:
        self._times = times
        self._open: dict[int, _OpenCall] = {}
        self._ends: dict[_Claim, _LeaseEnd] = {}
        # Maps each claim, with its token set to 0, to the latest renewal of the
        # same keys and run.
        self._renewals: dict[_Claim, _Claim] = {}
        self._ended_runs: set[_model.UpstreamRun] = set()
        self._next_cleanup_at = 0.0

    def assume_earlier_grants(
        self,
        service: str,
        first: int,
        last: int,
        run: _model.UpstreamRun,
        fence: int,
        sent_until: float,
    ) -> None:
        """Assumes that an earlier coordinator granted keys to their owner.

        Args:
            service: Name of the service.
            first: First key.
            last: Last key, inclusive.
            run: Run of the owner.
            fence: Highest token that the grants may have.
            sent_until: Time until which the earlier coordinator may have
                decided to send a grant, in seconds.
        """
        claim = _Claim(service, first, last, fence, run)
        taken_at = sent_until + self._times.grant_travel_s
        self._ends[claim] = _LeaseEnd(
            taken_at + self._compute_lease_s(self._times.hold_s),
            sent_until,
            is_assumed=True,
        )

    def open_call(self, order: _key_commands.SendGrant) -> None:
        """Records a grant that is about to be sent."""
        claim = _Claim(
            order.service, order.first, order.last, order.fence, order.run
        )
        self._open[order.order] = _OpenCall(
            claim, order.hold_s, order.is_renewal
        )

    def close_call(
        self,
        order: int,
        now: float,
        may_have_arrived: bool,
        *,
        may_be_unread: bool = False,
    ) -> None:
        """Records that the call of a grant has ended.

        Args:
            order: Number of the order.
            now: Time, in seconds. A grant that is not in transit by now never
                arrives.
            may_have_arrived: Whether the upstream may have received the
                grant.
            may_be_unread: Whether the grant may still wait at the upstream
                for a free slot.
        """
        call = self._open.pop(order)
        claim = call.claim
        if may_have_arrived:
            taken_at = now + self._times.margin_s
            if may_be_unread:
                taken_at += self._times.slot_wait_s
            end = taken_at + self._compute_lease_s(call.hold_s)
            known = self._ends.get(claim)
            if known is None or known.ends_at <= end:
                self._ends[claim] = _LeaseEnd(end, now)
            if call.is_renewal:
                self._drop_earlier_renewal(claim, end)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + self._times.hold_s
            self._drop_ended(now)

    def end_run(self, run: _model.UpstreamRun) -> None:
        """Records that a run has ended, so that it can hold no keys."""
        self._ended_runs.add(run)

    def select_running(
        self, upstreams: abc.Iterable[_model.Upstream]
    ) -> dict[_model.UpstreamRun, _model.Upstream]:
        """Returns the entries of runs that are not known to have ended.

        Service discovery may still list a run that has ended.
        """
        return {
            upstream.run: upstream
            for upstream in upstreams
            if upstream.run not in self._ended_runs
        }

    def compute_end(
        self, service: str, first: int, last: int, above_fence: int
    ) -> float:
        """Returns when the last lease on any key of a range ends.

        Args:
            service: Name of the service.
            first: First key.
            last: Last key, inclusive.
            above_fence: Token up to which the upstream now refuses grants.
                Such grants are ignored.

        Returns:
            A time in seconds; `OPEN_END` while a grant may still arrive.
        """
        keys = (service, first, last, above_fence)
        if any(
            self._may_hold(call.claim, keys) for call in self._open.values()
        ):
            return OPEN_END
        return max(
            (
                end.ends_at
                for claim, end in self._ends.items()
                if self._may_hold(claim, keys)
            ),
            default=0.0,
        )

    def compute_work_end(
        self, keys: _key_map.KeyRange, service: str, fence: int, now: float
    ) -> float:
        """Returns until when a run may work under grants that it now refuses.

        Work keeps the lease under which it began, also if the run accepts a
        grant with a shorter lease.

        Args:
            keys: The keys, and the run that owns them.
            service: Name of the service.
            fence: Token up to which the run has begun to refuse grants.
            now: When it was found to refuse them, in seconds. All grants that
                it took have arrived before.

        Returns:
            A time in seconds; 0 if no such lease is known.
        """
        latest = now + self._compute_lease_s(self._times.hold_s)
        span = (service, keys.first, keys.last, 0)
        ends = [
            (claim, min(end.ends_at, latest))
            for claim, end in self._ends.items()
        ] + [(call.claim, latest) for call in self._open.values()]
        return max(
            (
                end
                for claim, end in ends
                # A grant for an earlier run may have reached a later one.
                if keys.owner is not None
                and claim.run.id == keys.owner.id
                and claim.fence <= fence
                and self._may_hold(claim, span)
            ),
            default=0.0,
        )

    def list_claims(
        self, service: str, first: int, last: int, above_fence: int
    ) -> list[_owner_changes.LeaseClaim]:
        """Lists the known grants of some keys, including ignored ones.

        Takes the same arguments as `compute_end`.

        Returns:
            The grants, first those that a change of owner waits for. Each of
            the two groups is sorted by the end of the lease, latest first.
        """
        claims = [
            self._describe(call.claim, None, above_fence)
            for call in self._open.values()
            if call.claim.overlaps(service, first, last, 0)
        ] + [
            self._describe(claim, end, above_fence)
            for claim, end in self._ends.items()
            if claim.overlaps(service, first, last, 0)
        ]
        counted = _owner_changes.ClaimState.COUNTED
        return sorted(
            claims, key=lambda lease: (lease.state is not counted, -lease.end)
        )

    def compute_hold_s(self, now: float, end: float) -> float:
        """Returns the longest lease to request so that it ends by a time.

        Args:
            now: Time of the decision to send the grant, in seconds.
            end: When the lease must have ended, in seconds.

        Returns:
            Duration of the lease, in seconds; not positive if the grant could
            be taken too late.
        """
        taken_at = now + self._times.grant_travel_s
        return (end - taken_at) / (1 + self._times.drift)

    def _drop_earlier_renewal(self, claim: _Claim, end: float) -> None:
        """Drops the renewal before a renewal if its lease ends no later.

        The earlier renewal has a lower token, so the later claim determines
        every result. Without this, each range would have about nine claims to
        search.
        """
        keys = dataclasses.replace(claim, fence=0)
        earlier = self._renewals.get(keys)
        self._renewals[keys] = claim
        if earlier is None or earlier not in self._ends:
            return
        if earlier.fence < claim.fence and self._ends[earlier].ends_at <= end:
            del self._ends[earlier]

    def _may_hold(self, claim: _Claim, keys: tuple[str, int, int, int]) -> bool:
        return claim.run not in self._ended_runs and claim.overlaps(*keys)

    def _describe(
        self, claim: _Claim, end: _LeaseEnd | None, above_fence: int
    ) -> _owner_changes.LeaseClaim:
        state = _owner_changes.ClaimState.COUNTED
        if claim.run in self._ended_runs:
            state = _owner_changes.ClaimState.RUN_ENDED
        elif claim.fence <= above_fence:
            state = _owner_changes.ClaimState.REFUSED
        return _owner_changes.LeaseClaim(
            claim.first,
            claim.last,
            claim.fence,
            claim.run,
            end is not None and end.is_assumed,
            end.closed_at if end is not None else None,
            end.ends_at if end is not None else OPEN_END,
            state,
        )

    def _compute_lease_s(self, hold_s: float) -> float:
        """Returns the maximum duration of a lease given clock drift."""
        return hold_s * (1 + self._times.drift)

    def _drop_ended(self, now: float) -> None:
        self._ends = {
            claim: end
            for claim, end in self._ends.items()
            if end.ends_at + ENDED_LEASE_HISTORY_S > now
        }
        self._renewals = {
            keys: claim
            for keys, claim in self._renewals.items()
            if claim in self._ends
        }
