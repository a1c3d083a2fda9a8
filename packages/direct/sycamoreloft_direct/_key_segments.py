"""State of each range of keys at the coordinator."""

from collections import abc
import dataclasses
import enum
import itertools

from sycamoreloft_direct import (
    _key_commands,
    _key_map,
    _lease_ends,
    _model,
    _owner_changes,
)

_CAUSE = _owner_changes.ChangeCause


class Phase(enum.Enum):
    """Step in the assignment of a segment's keys."""

    #: The keys have no owner. They can be assigned once all leases have ended.
    VACANT = "vacant"
    #: The keys have a new owner, which is being recorded in the store.
    RECORDING = "recording"
    #: The owner is recorded, and its lease is renewed periodically.
    HELD = "held"
    #: A move began: the owner is granted a fencing token above all earlier
    #: ones, so that it refuses every earlier grant that is still in transit.
    SEALING = "sealing"
    #: The owner was sealed, and is ordered to release the keys.
    RELEASING = "releasing"


@dataclasses.dataclass(slots=True)
class Segment:
    """A range of keys of one service, and the state of its assignment."""

    #: Name of the service.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Current step of the assignment.
    phase: Phase
    #: Run that owns the keys or is about to own them; None for no owner.
    owner: _model.UpstreamRun | None = None
    #: Run that the keys are moving to; None if no target has been chosen.
    target: _model.UpstreamRun | None = None
    #: Fencing token of the latest order, above those of all earlier orders for
    #: any of the keys; 0 if a new token is needed.
    fence: int = 0
    #: Duration of the lease that the latest grant requested, in seconds.
    hold_s: float = 0.0
    #: State handed over by the previous owner; empty for none.
    handover: str = ""
    #: Whether the owner has accepted a grant of the keys.
    is_accepted: bool = False
    #: Whether the owner has accepted a grant of the keys that was not a
    #: renewal, and has answered each order since. Further grants are renewals.
    is_confirmed: bool = False
    #: Highest token that the latest owner of the keys refuses in grants.
    refused_fence: int = 0
    #: Time until which the owner may work on requests that began under earlier
    #: leases, whose grants it now refuses, in seconds.
    worked_until: float = 0.0
    #: Earliest time at which the leases on the keys can have ended, as far as
    #: it has been computed, in seconds; 0 if it has to be computed anew.
    leased_until: float = 0.0
    #: When the next order is due, in seconds.
    due_at: float = 0.0
    #: Number of the unanswered order; 0 for none.
    order: int = 0
    #: Number of successive orders that failed.
    failures: int = 0
    #: Time by which the leases of repeated grants must have ended, in seconds.
    retries_end: float = 0.0
    #: Revision of the map that must be recorded before the first grant.
    revision: int = 0
    #: Whether the owner has seen a later coordinator. No more orders are sent
    #: then.
    is_superseded: bool = False
    #: Run that last lost the keys; None for none.
    old_owner: _model.UpstreamRun | None = None
    #: Token of the last order to `old_owner`.
    old_fence: int = 0
    #: Why the keys of `old_owner` could be reassigned.
    cause: _owner_changes.ChangeCause = _CAUSE.UNOWNED

    @property
    def is_moving(self) -> bool:
        """Whether the keys are changing owners, so that requests must wait."""
        if self.phase is Phase.HELD:
            return not self.is_accepted
        return self.phase is not Phase.VACANT or self.target is not None

    @property
    def is_idle(self) -> bool:
        """Whether the keys have a recorded owner and no order is outstanding.

        Only idle segments are split or moved. The result of an outstanding
        order would otherwise be ignored, and the keys would get another order
        while the first one is still in transit.
        """
        return (
            self.phase is Phase.HELD and self.order == 0 and self.failures == 0
        )

    @property
    def is_stable(self) -> bool:
        """Whether the owner holds the keys and no order is outstanding."""
        return self.is_idle and self.is_accepted

    def accept(self, now: float, times: _key_commands.LeaseTimes) -> None:
        """Records that the owner accepted the keys, and sets the next renewal.

        A shortened lease may end before a usual renewal is answered, and work
        that outlasts its lease fails. Such a lease is renewed at once, and so
        is one that needed a repeated grant.
        """
        is_usual = self.hold_s >= times.hold_s and self.failures == 0
        self.due_at = now + (times.renew_s if is_usual else 0.0)
        self.is_accepted = True
        self.is_confirmed = True
        self.handover = ""
        self.failures = 0

    def record_refusal(self, now: float) -> None:
        """Records that the owner has seen a higher token."""
        self.fence = 0
        self.is_confirmed = False
        if self.failures == 0:
            # A new token is above all tokens of this coordinator. If it is
            # refused as well, the grant is repeated after `retry_s`.
            self.due_at = now
        self.failures += 1

    def record_silence(self, fence: int, now: float, retry_s: float) -> None:
        """Records that no answer to a grant came.

        Args:
            fence: Token of the next order. The upstream may have restarted
                with the same identifier. A new run must get the keys with a
                higher token than the previous run.
            now: Time, in seconds.
            retry_s: Time between two attempts, in seconds.
        """
        self.fence = fence
        self.is_confirmed = False
        self.failures += 1
        # A renewal is repeated `retry_s` after it was sent.
        if self.phase is not Phase.HELD:
            self.due_at = now + retry_s

    def copy_part(self, first: int, last: int) -> "Segment":
        """Returns a segment for some of the keys, in the same state."""
        return dataclasses.replace(self, first=first, last=last)


class SegmentTable:
    """All segments of a coordinator, and the source of fencing tokens.

    Args:
        fence: Fencing token. All tokens that the table creates are higher.
        leases: Grants whose leases may not have ended.
    """

    def __init__(self, fence: int, leases: _lease_ends.LeaseEnds) -> None:
        self._fence = fence
        #: Token of the current round of renewals; 0 before the first one.
        self._renewal_fence = 0
        self._leases = leases
        self._segments: list[Segment] = []
        #: Changes of owner since the coordinator last replaced this list.
        self.changes: list[_owner_changes.OwnerChange] = []

    def __iter__(self) -> abc.Iterator[Segment]:
        return iter(self._segments)

    def list_service(self, service: str) -> list[Segment]:
        """Returns the segments of one service."""
        return [
            segment for segment in self._segments if segment.service == service
        ]

    def list_services(self) -> list[str]:
        """Returns the names of the services."""
        return sorted({segment.service for segment in self._segments})

    def list_moving(
        self,
    ) -> abc.Sequence[tuple[str, _key_map.KeyRange]]:
        """Returns the ranges that are being moved, each with its service."""
        return [
            (
                segment.service,
                _key_map.KeyRange(segment.first, segment.last, segment.owner),
            )
            for segment in self._segments
            if segment.is_moving
        ]

    def count_unheld(self) -> int:
        """Returns the number of keys that no upstream is known to hold."""
        return sum(
            segment.last - segment.first + 1
            for segment in self._segments
            if segment.owner is None
            or not segment.is_accepted
            or segment.failures
        )

    def add(self, segment: Segment) -> None:
        """Adds a segment."""
        self._segments.append(segment)

    def create_fence(self) -> int:
        """Returns a fencing token above all earlier ones."""
        self._fence += 1
        return self._fence

    def advance_fence(self, segment: Segment) -> None:
        """Gives a segment a token for a renewal, above its earlier ones.

        Renewals share the token of a round, which ends when a segment needs a
        higher one: usually when its next renewal is due. With a token for each
        renewal, 500 segments would use up the tokens of an epoch in hours.
        """
        if self._renewal_fence <= segment.fence:
            self._renewal_fence = self.create_fence()
        segment.fence = self._renewal_fence

    def compute_lease_end(self, segment: Segment) -> float:
        """Returns when all leases on the keys granted so far have ended.

        Returns:
            A time in seconds; `OPEN_END` while a grant may still arrive.
        """
        return self._leases.compute_end(
            segment.service, segment.first, segment.last, segment.refused_fence
        )

    def is_free(self, segment: Segment, now: float) -> bool:
        """Returns whether the keys can be granted to another upstream."""
        if now < segment.leased_until:
            return False
        end = self.compute_lease_end(segment)
        if end == _lease_ends.OPEN_END:
            return False
        segment.leased_until = max(end, segment.worked_until)
        return now >= segment.leased_until

    def refuse_earlier_grants(
        self, segment: Segment, now: float, hold_s: float
    ) -> None:
        """Records that the owner accepted the latest grant of the keys.

        The owner refuses all earlier grants from then on, but may still work on
        requests that began under them.

        Args:
            segment: The keys.
            now: Time, in seconds.
            hold_s: Duration of a usual lease, in seconds. A lease of at least
                this duration ends after any earlier lease, because the earlier
                grants arrived first.
        """
        fence = segment.fence - 1
        if segment.hold_s < hold_s and fence > segment.refused_fence:
            keys = _key_map.KeyRange(segment.first, segment.last, segment.owner)
            segment.worked_until = max(
                segment.worked_until,
                self._leases.compute_work_end(
                    keys, segment.service, fence, now
                ),
            )
        self.set_refused_fence(segment, fence)

    def set_refused_fence(self, segment: Segment, fence: int) -> None:
        """Records that the upstream refuses grants up to a token."""
        segment.refused_fence = fence
        segment.leased_until = 0.0

    def save_previous_owner(
        self, segment: Segment, cause: _owner_changes.ChangeCause
    ) -> None:
        """Records the owner that is losing the keys, and why it does."""
        segment.old_owner = segment.owner
        segment.old_fence = segment.fence
        segment.cause = cause

    def vacate(
        self, segment: Segment, cause: _owner_changes.ChangeCause
    ) -> None:
        """Removes the owner of the keys."""
        self.save_previous_owner(segment, cause)
        if cause is not _CAUSE.LEASE_OVER:
            # The owner has answered a release, which it does when its work has
            # ended, or the run itself has ended.
            segment.worked_until = 0.0
        segment.phase = Phase.VACANT
        segment.owner = None
        segment.order = 0
        segment.failures = 0
        segment.due_at = 0.0

    def assign_owner(
        self,
        segment: Segment,
        owner: _model.UpstreamRun,
        revision: int,
    ) -> None:
        """Assigns the keys to an owner.

        They are granted once the store has recorded the revision of the map.
        """
        segment.phase = Phase.RECORDING
        segment.is_accepted = False
        segment.is_confirmed = False
        segment.owner = owner
        segment.worked_until = 0.0
        segment.target = None
        segment.order = 0
        # A run that replaces an earlier one has left no order unanswered.
        segment.failures = 0
        segment.fence = self.create_fence()
        segment.revision = revision
        segment.due_at = 0.0
        has_waited = segment.cause is not _CAUSE.FOLLOWER
        self.changes.append(
            _owner_changes.OwnerChange(
                segment.service,
                segment.first,
                segment.last,
                segment.old_owner,
                owner,
                segment.cause,
                segment.old_fence,
                segment.fence,
                segment.refused_fence,
                segment.leased_until if has_waited else 0.0,
            )
        )

    def begin_move(
        self, segment: Segment, target: _model.UpstreamRun, now: float
    ) -> None:
        """Starts moving the keys of an idle segment to another upstream."""
        segment.phase = Phase.SEALING
        segment.target = target
        segment.fence = self.create_fence()
        segment.is_confirmed = False
        segment.due_at = min(now, segment.due_at)

    def extract(self, segment: Segment, first: int, last: int) -> Segment:
        """Narrows an idle segment to a part of its keys.

        The other keys go to new segments in the same state.
        """
        if segment.first < first:
            self.add(segment.copy_part(segment.first, first - 1))
        if last < segment.last:
            self.add(segment.copy_part(last + 1, segment.last))
        segment.first, segment.last = first, last
        return segment

    def split_head(self, segment: Segment, last: int) -> Segment:
        """Splits off the keys up to `last`, and returns their segment.

        The segment must have no outstanding order.
        """
        if last >= segment.last:
            return segment
        part = segment.copy_part(segment.first, last)
        self.add(part)
        segment.first = last + 1
        return part

    def merge(self, service: str) -> None:
        """Merges adjacent segments of an owner, so that one order suffices."""
        segments = sorted(
            self.list_service(service), key=lambda segment: segment.first
        )
        for left, right in itertools.pairwise(segments):
            if left.owner == right.owner and left.is_stable and right.is_stable:
                right.first = left.first
                right.fence = self.create_fence()
                right.is_confirmed = False
                right.due_at = min(left.due_at, right.due_at)
                right.refused_fence = min(
                    left.refused_fence, right.refused_fence
                )
                right.leased_until = max(left.leased_until, right.leased_until)
                right.worked_until = max(left.worked_until, right.worked_until)
                self._segments.remove(left)


def assign_owners(
    services: abc.Mapping[str, _key_map.ServiceKeys],
    segments: abc.Iterable[Segment],
) -> dict[str, _key_map.ServiceKeys]:
    """Returns the keys of all services with the owners of some segments."""
    assigned = dict(services)
    for segment in segments:
        keys = assigned.get(segment.service) or _key_map.create_unowned(
            segment.service
        )
        assigned[segment.service] = keys.assign(
            segment.first, segment.last, segment.owner
        )
    return assigned
