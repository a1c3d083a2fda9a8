"""State of the moves of partitions and hot keys between owners."""

from collections import abc
import dataclasses
import enum

from sycamoreloft_decisions import _grants, _ownership, _rows


class Phase(enum.Enum):
    """Phase of a move; the phases follow each other in this order."""

    #: No permits are issued for the unit; outstanding permits have to end.
    DRAINING = "draining"
    #: The old owner may still consider itself the owner.
    RELEASING = "releasing"
    #: The old owner no longer owns the unit; the record may be changed.
    READY = "ready"
    #: A write of the record was sent; its outcome is not known.
    WRITING = "writing"
    #: The record is committed; the new owner must acknowledge a grant.
    GRANTING = "granting"


class Kind(enum.Enum):
    """Purpose of a move."""

    #: To any usable upstream of the group.
    ANY_UPSTREAM = "anywhere"
    #: To the upstream that placement chose to balance the load.
    CHOSEN_UPSTREAM = "chosen"
    #: To another group; this group deletes its record.
    OTHER_GROUP = "away"
    #: A hot key is split from its partition and gets its own record.
    SPLIT_KEY = "take-out"
    #: A hot key is merged into its partition again.
    MERGE_KEY = "give-back"
    #: The partition of a hot key keeps its owner but gets a new fence, so that
    #: the owner refuses requests for the key that were sent before its split.
    REFENCE = "refence"


@dataclasses.dataclass(slots=True)
class Move:
    """A change of one unit's owner that is in progress."""

    unit: _ownership.Unit
    kind: Kind
    phase: Phase
    #: Recorded owner when the move started; None if there was none.
    source: _rows.Assignment | None
    #: Upstream that placement chose; empty for any usable upstream.
    target: str = ""
    #: Whether `PauseUnit` stopped the permits of the unit.
    is_paused: bool = False
    #: Whether a configuration file declares that the old owner is lost. Its
    #: grants then need not expire first.
    is_owner_lost: bool = False
    #: Removal of the unit from the old owner's grants; None before it.
    removal: _grants.Removal | None = None
    #: The new record, from the time at which it is planned.
    new_assignment: _rows.Assignment | None = None
    #: For a hot key: new fence of its partition, recorded before the old
    #: owner is released.
    partition_fence: int = 0


class ActiveMoves:
    """The moves of one group that are in progress, at most one per unit."""

    def __init__(self) -> None:
        self._moves: dict[_ownership.Unit, Move] = {}

    def __len__(self) -> int:
        return len(self._moves)

    def get(self, unit: _ownership.Unit) -> Move | None:
        """Returns the move of a unit, None if it does not move."""
        return self._moves.get(unit)

    def add(self, move: Move) -> abc.Sequence[_ownership.Command]:
        """Starts a move; pauses the permits of its unit if it has an owner."""
        self._moves[move.unit] = move
        if move.source is None or move.kind is Kind.REFENCE:
            return ()
        move.is_paused = True
        return (_ownership.PauseUnit(move.unit),)

    def finish(self, move: Move) -> abc.Sequence[_ownership.Command]:
        """Ends a move and resumes the permits of its unit."""
        del self._moves[move.unit]
        if not move.is_paused:
            return ()
        return (_ownership.ResumeUnit(move.unit),)

    def cancel_unwritten_assignments(self) -> None:
        """Cancels moves of units without an owner that are not written yet."""
        for move in self.list_in_phases(Phase.READY):
            if move.source is None:
                del self._moves[move.unit]

    def record_drained(self, unit: _ownership.Unit) -> None:
        """Continues the move of a unit, whose permits have all ended."""
        move = self._moves.get(unit)
        if move and move.phase is Phase.DRAINING:
            move.phase = Phase.RELEASING

    def list_in_phases(self, *phases: Phase) -> list[Move]:
        """Lists the moves that are in one of the phases."""
        return [move for move in self._moves.values() if move.phase in phases]

    def list_all(self) -> list[Move]:
        """Lists all moves."""
        return list(self._moves.values())
