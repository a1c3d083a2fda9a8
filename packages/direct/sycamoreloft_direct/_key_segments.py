"""State of one range of keys while a coordinator looks after it."""

from collections import abc
import dataclasses
import enum
import itertools

from sycamoreloft_direct import _lease_ends, _nodes, _owner_changes

_CAUSE = _owner_changes.ChangeCause


class Phase(enum.Enum):
    """What happens to the keys of a segment."""

    #: Nobody owns the keys; they can be placed once all leases are over.
    VACANT = "vacant"
    #: The new owner waits for the map to be recorded.
    RECORDING = "recording"
    #: The owner is granted the keys again and again.
    HELD = "held"
    #: A move began: the owner gets a fencing token above all earlier ones, so
    #: that it refuses every earlier grant that is still on its way.
    SEALING = "sealing"
    #: The owner is told to stop new work on the keys.
    RELEASING = "releasing"


@dataclasses.dataclass(slots=True)
class Segment:
    """A range of keys of one service."""

    #: Name of the service.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: What happens to the keys.
    phase: Phase
    #: Run that owns the keys or gets them; None for no owner.
    owner: _nodes.UpstreamRun | None = None
    #: Run that the keys move to; None if it is to be chosen.
    target: _nodes.UpstreamRun | None = None
    #: Fencing token of the latest grant; 0 if a new one is needed.
    fence: int = 0
    #: State handed over by the last owner, empty for none.
    handover: str = ""
    #: Whether the owner has taken the keys.
    is_taken: bool = False
    #: Token up to which the upstream that had the keys refuses grants.
    refused_fence: int = 0
    #: Time before which it is known that leases are not over.
    leased_until: float = 0.0
    #: When the next order is due.
    due_at: float = 0.0
    #: Order that has not been answered; 0 for none.
    order: int = 0
    #: Orders in a row that were not answered.
    failures: int = 0
    #: Revision of the map that must be recorded before the first grant.
    revision: int = 0
    #: Whether a later coordinator was seen; nothing more is sent then.
    is_superseded: bool = False
    #: Run that the keys were taken from last; None for none.
    old_owner: _nodes.UpstreamRun | None = None
    #: Token of the last order to it.
    old_fence: int = 0
    #: Why the keys could be taken from it.
    cause: _owner_changes.ChangeCause = _CAUSE.UNOWNED

    @property
    def is_moving(self) -> bool:
        """Whether requests for the keys have to wait for a moment."""
        if self.phase is Phase.HELD:
            return not self.is_taken
        return self.phase is not Phase.VACANT or self.target is not None

    @property
    def is_calm(self) -> bool:
        """Whether the owner holds the keys and nothing is under way."""
        return (
            self.phase is Phase.HELD
            and self.order == 0
            and self.failures == 0
            and self.handover == ""
        )

    def copy_part(self, first: int, last: int) -> "Segment":
        """Returns a segment for a part of the keys, in the same state."""
        return dataclasses.replace(self, first=first, last=last)


class SegmentTable:
    """All segments of a coordinator, and the tokens of their grants.

    Args:
        fence: Fencing token below all that the table creates.
        leases: Grants whose leases may not be over.
    """

    def __init__(self, fence: int, leases: _lease_ends.LeaseEnds) -> None:
        self._fence = fence
        self._leases = leases
        self._segments: list[Segment] = []
        #: Changes of owner since the list was replaced.
        self.changes: list[_owner_changes.OwnerChange] = []

    def __iter__(self) -> abc.Iterator[Segment]:
        return iter(self._segments)

    def list_service(self, service: str) -> list[Segment]:
        """Returns the segments of one service."""
        return [item for item in self._segments if item.service == service]

    def list_services(self) -> list[str]:
        """Returns the names of the services."""
        return sorted({item.service for item in self._segments})

    def count_unheld(self) -> int:
        """Counts the keys that no upstream is known to hold."""
        return sum(
            segment.last - segment.first + 1
            for segment in self._segments
            if segment.owner is None or not segment.is_taken or segment.failures
        )

    def add(self, segment: Segment) -> None:
        """Adds a segment."""
        self._segments.append(segment)

    def create_fence(self) -> int:
        """Returns a fencing token above all earlier ones."""
        self._fence += 1
        return self._fence

    def find_lease_end(self, segment: Segment) -> float:
        """Returns when nobody can hold the keys, unless granted again.

        Returns:
            A time in seconds; `OPEN` while a grant may still arrive.
        """
        return self._leases.find_end(
            segment.service, segment.first, segment.last, segment.refused_fence
        )

    def is_free(self, segment: Segment, now: float) -> bool:
        """Tells whether the keys can be given to another upstream."""
        if now < segment.leased_until:
            return False
        end = self.find_lease_end(segment)
        if end == _lease_ends.OPEN:
            return False
        segment.leased_until = end
        return now >= end

    def note_refused(self, segment: Segment, fence: int) -> None:
        """Notes that the upstream refuses grants up to a token."""
        segment.refused_fence = fence
        segment.leased_until = 0.0

    def note_freed(
        self, segment: Segment, cause: _owner_changes.ChangeCause
    ) -> None:
        """Notes why the owner has the keys no more."""
        segment.old_owner = segment.owner
        segment.old_fence = segment.fence
        segment.cause = cause

    def vacate(
        self, segment: Segment, cause: _owner_changes.ChangeCause
    ) -> None:
        """Takes the keys from their owner."""
        self.note_freed(segment, cause)
        segment.phase = Phase.VACANT
        segment.owner = None
        segment.order = 0
        segment.failures = 0
        segment.due_at = 0.0

    def record(
        self,
        segment: Segment,
        owner: _nodes.UpstreamRun,
        revision: int,
    ) -> None:
        """Gives the keys to an owner, once a revision is in the store."""
        segment.phase = Phase.RECORDING
        segment.is_taken = False
        segment.owner = owner
        segment.target = None
        segment.order = 0
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
        self, segment: Segment, target: _nodes.UpstreamRun, now: float
    ) -> None:
        """Begins to move the keys to another upstream."""
        segment.phase = Phase.SEALING
        segment.target = target
        segment.fence = self.create_fence()
        # A renewal that is under way no longer matters.
        segment.order = 0
        segment.due_at = min(now, segment.due_at)
        segment.failures = 0

    def cut(self, segment: Segment, first: int, last: int) -> Segment:
        """Cuts a part out of a segment; the rest stays in its state."""
        if segment.first < first:
            self._insert_part(segment.copy_part(segment.first, first - 1))
        if last < segment.last:
            self._insert_part(segment.copy_part(last + 1, segment.last))
        segment.first, segment.last = first, last
        return segment

    def cut_head(self, segment: Segment, last: int) -> Segment:
        """Cuts the keys up to one off a segment, and returns them."""
        if last >= segment.last:
            return segment
        part = segment.copy_part(segment.first, last)
        self._insert_part(part)
        segment.first = last + 1
        return part

    def merge(self, service: str) -> None:
        """Joins neighbours with one owner; they need one order then."""
        segments = sorted(
            self.list_service(service), key=lambda item: item.first
        )
        for left, right in itertools.pairwise(segments):
            if left.owner == right.owner and left.is_calm and right.is_calm:
                right.first = left.first
                right.fence = self.create_fence()
                right.due_at = min(left.due_at, right.due_at)
                right.refused_fence = min(
                    left.refused_fence, right.refused_fence
                )
                right.leased_until = max(left.leased_until, right.leased_until)
                self._segments.remove(left)

    def _insert_part(self, part: Segment) -> None:
        # The answer to an order under way is not the part's.
        if part.order:
            part.order = 0
            part.due_at = 0.0
        self._segments.append(part)
