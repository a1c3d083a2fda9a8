"""Until when upstreams may hold keys because of grants that were sent.

A lease counts from the arrival of its grant. A grant may arrive as long as its
call is open, so keys under an open call have no end yet, and a call that ended
without an answer may have arrived at its very end. Whoever gives keys to
another upstream asks here, and nowhere else, whether that is safe.
"""

import dataclasses

from sycamoreloft_direct import _key_commands, _nodes, _owner_changes

#: End of leases whose grant may still arrive.
OPEN = float("inf")

#: Seconds for which a lease that is over is remembered, so that the logs can
#: tell what a change of owner waited for.
KEEP_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """Keys that a grant may have given to an upstream."""

    #: Name of the service.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Fencing token of the grant.
    fence: int
    #: Run of the upstream that it was sent to.
    run: _nodes.UpstreamRun

    def concerns(
        self, service: str, first: int, last: int, above_fence: int
    ) -> bool:
        """Tells whether the claim is for any of some keys."""
        return (
            self.fence > above_fence
            and self.service == service
            and self.first <= last
            and first <= self.last
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """The end of the lease of a claim, and where it comes from."""

    #: When the lease is over.
    at: float
    #: When the call ended, or the earlier coordinator's last decision.
    closed_at: float
    #: Whether the grant is an earlier coordinator's.
    is_assumed: bool = False


class LeaseEnds:
    """Remembers the grants whose leases may not be over.

    Args:
        times: Durations of key leases.
    """

    def __init__(self, times: _key_commands.LeaseTimes) -> None:
        self._times = times
        self._open: dict[int, tuple[_Claim, float]] = {}
        self._ends: dict[_Claim, _End] = {}
        self._ended_runs: set[_nodes.UpstreamRun] = set()
        self._sweep_at = 0.0

    def assume(
        self,
        service: str,
        first: int,
        last: int,
        run: _nodes.UpstreamRun,
        fence: int,
        sent_until: float,
    ) -> None:
        """Counts with grants of an earlier coordinator.

        Args:
            service: Name of the service.
            first: First key.
            last: Last key, inclusive.
            run: Run of the owner.
            fence: Highest token that the grants may have.
            sent_until: Time until which it may have decided for a grant.
        """
        claim = _Claim(service, first, last, fence, run)
        arrived_at = sent_until + self._times.grant_travel_s
        self._ends[claim] = _End(
            arrived_at + self._find_length(self._times.hold_s),
            sent_until,
            is_assumed=True,
        )

    def open(self, order: _key_commands.SendGrant) -> None:
        """Notes a grant that is about to be sent."""
        claim = _Claim(
            order.service, order.first, order.last, order.fence, order.run
        )
        self._open[order.order] = (claim, order.hold_s)

    def close(self, order: int, now: float, may_have_arrived: bool) -> None:
        """Notes that the call of a grant ended.

        Args:
            order: The order.
            now: Time, in seconds. What is not on its way by now never
                arrives.
            may_have_arrived: Whether the upstream may have got the grant.
        """
        claim, hold_s = self._open.pop(order)
        if may_have_arrived:
            end = now + self._times.margin_s + self._find_length(hold_s)
            known = self._ends.get(claim)
            if known is None or known.at <= end:
                self._ends[claim] = _End(end, now)
        if now >= self._sweep_at:
            self._sweep_at = now + self._times.hold_s
            self._drop_over(now)

    def end_run(self, run: _nodes.UpstreamRun) -> None:
        """Notes that a run has ended: it holds nothing, and never will."""
        self._ended_runs.add(run)

    def find_end(
        self, service: str, first: int, last: int, above_fence: int
    ) -> float:
        """Returns when nobody can hold any of some keys any more.

        Args:
            service: Name of the service.
            first: First key.
            last: Last key, inclusive.
            above_fence: Token up to which the upstream refuses grants by now.

        Returns:
            A time in seconds; `OPEN` while a grant may still arrive.
        """
        keys = (service, first, last, above_fence)
        if any(self._may_hold(claim, keys) for claim, _ in self._open.values()):
            return OPEN
        return max(
            (
                end.at
                for claim, end in self._ends.items()
                if self._may_hold(claim, keys)
            ),
            default=0.0,
        )

    def list_claims(
        self, service: str, first: int, last: int, above_fence: int
    ) -> list[_owner_changes.LeaseClaim]:
        """Lists the known grants of some keys, also those that do not count.

        Takes the same arguments as `find_end`.

        Returns:
            Those that a change of owner waits for first, then by the end of
            the lease, the latest first.
        """
        claims = [
            self._describe(claim, None, above_fence)
            for claim, _ in self._open.values()
            if claim.concerns(service, first, last, 0)
        ] + [
            self._describe(claim, end, above_fence)
            for claim, end in self._ends.items()
            if claim.concerns(service, first, last, 0)
        ]
        counted = _owner_changes.ClaimState.COUNTED
        return sorted(
            claims, key=lambda item: (item.state is not counted, -item.end)
        )

    def find_hold(self, now: float, end: float) -> float:
        """Returns the longest lease, decided now, that is over at a time."""
        arrived_at = now + self._times.grant_travel_s
        return (end - arrived_at) / (1 + self._times.drift)

    def _may_hold(self, claim: _Claim, keys: tuple[str, int, int, int]) -> bool:
        return claim.run not in self._ended_runs and claim.concerns(*keys)

    def _describe(
        self, claim: _Claim, end: _End | None, above_fence: int
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
            end.at if end is not None else OPEN,
            state,
        )

    def _find_length(self, hold_s: float) -> float:
        """Returns how long a lease may last by an upstream's clock."""
        return hold_s * (1 + self._times.drift)

    def _drop_over(self, now: float) -> None:
        self._ends = {
            claim: end
            for claim, end in self._ends.items()
            if end.at + KEEP_S > now
        }
