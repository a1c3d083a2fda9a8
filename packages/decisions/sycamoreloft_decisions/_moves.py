"""Changes of the owner of partitions and hot keys, step by step."""

from collections import abc
import dataclasses
import enum

from sycamoreloft_decisions import _grants, _ownership, _rows


class Phase(enum.Enum):
    """Step of a move; a move passes through them in this order."""

    #: No new permits; outstanding ones are waited for.
    DRAINING = "draining"
    #: The old owner is being released.
    RELEASING = "releasing"
    #: The old owner is released; the record can change.
    READY = "ready"
    #: The write of the record is in flight or not settled.
    WRITING = "writing"
    #: The record has changed; the new owner must acknowledge a grant.
    GRANTING = "granting"


class Kind(enum.Enum):
    """Why and to where a unit moves."""

    #: To any upstream of the group.
    ANYWHERE = "anywhere"
    #: To the upstream that placement chose.
    CHOSEN = "chosen"
    #: To another group: the record is removed.
    AWAY = "away"
    #: A hot key leaves its partition and gets a record of its own.
    TAKE_OUT = "take-out"
    #: A hot key returns to its partition.
    GIVE_BACK = "give-back"
    #: The partition gets a new fence, so that the owner refuses the requests
    #: of a hot key that were issued before it was taken out.
    REFENCE = "refence"


@dataclasses.dataclass(slots=True)
class Move:
    """One change of an owner."""

    #: The unit.
    unit: _ownership.Unit
    #: Why it moves.
    kind: Kind
    #: Step that it is in.
    phase: Phase
    #: Recorded owner, None if there is none.
    source: _rows.Assignment | None
    #: Upstream that placement chose, empty for any.
    target: str = ""
    #: Whether permits are held back.
    is_held: bool = False
    #: Whether a file vouches that the old owner no longer runs.
    is_vouched: bool = False
    #: Proof obligation of the old owner.
    removal: _grants.Removal | None = None
    #: New record while it is written and granted.
    planned: _rows.Assignment | None = None
    #: For a hot key: new fence of its partition, recorded before the old
    #: owner is released.
    partition_fence: int = 0


class MoveBook:
    """The moves of one group that are under way."""

    def __init__(self) -> None:
        self._moves: dict[_ownership.Unit, Move] = {}

    def __len__(self) -> int:
        return len(self._moves)

    def get(self, unit: _ownership.Unit) -> Move | None:
        """Returns the move of a unit."""
        return self._moves.get(unit)

    def add(self, move: Move) -> abc.Sequence[_ownership.Command]:
        """Starts a move and holds its unit back if it has an owner."""
        self._moves[move.unit] = move
        if move.source is None or move.kind is Kind.REFENCE:
            return ()
        move.is_held = True
        return (_ownership.PauseUnit(move.unit),)

    def finish(self, move: Move) -> abc.Sequence[_ownership.Command]:
        """Ends a move and issues permits for its unit again."""
        del self._moves[move.unit]
        if not move.is_held:
            return ()
        return (_ownership.ResumeUnit(move.unit),)

    def drop_unassigned(self) -> None:
        """Forgets assignments of units without an owner, unless written."""
        for move in self.list_in(Phase.READY):
            if move.source is None:
                del self._moves[move.unit]

    def note_drained(self, unit: _ownership.Unit) -> None:
        """Notes that no permit of a unit is outstanding."""
        move = self._moves.get(unit)
        if move and move.phase is Phase.DRAINING:
            move.phase = Phase.RELEASING

    def list_in(self, *phases: Phase) -> list[Move]:
        """Lists the moves in any of the phases."""
        return [move for move in self._moves.values() if move.phase in phases]

    def list_all(self) -> list[Move]:
        """Lists all moves."""
        return list(self._moves.values())
