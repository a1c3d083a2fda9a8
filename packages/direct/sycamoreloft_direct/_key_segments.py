"""State of one range of keys while a coordinator looks after it."""

import dataclasses
import enum

from sycamoreloft_direct import _nodes


class Phase(enum.Enum):
    """What happens to the keys of a segment."""

    #: Nobody owns the keys; they can be placed from `safe_at` on.
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
    #: Whether the last owner gave the keys up itself.
    is_handed_over: bool = False
    #: Time after which nobody can hold the keys, unless granted again.
    safe_at: float = 0.0
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

    def copy_part(self, first: int, last: int) -> "Segment":
        """Returns a segment for a part of the keys, in the same state."""
        return dataclasses.replace(self, first=first, last=last)
