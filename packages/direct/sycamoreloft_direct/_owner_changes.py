"""Changes of the owner of keys, and the leases that they were based on.

The coordinator decides by other types; these are what logs and metrics tell.
"""

import dataclasses
import enum

from sycamoreloft_direct import _nodes


class ChangeCause(enum.Enum):
    """Why keys could be given to another upstream."""

    #: Nobody owned them since this coordinator began.
    UNOWNED = "unowned"
    #: The owner answered a release.
    RELEASED = "released"
    #: All leases of the owner were over, as far as was known.
    LEASE_OVER = "lease-over"
    #: The owner's run has surely ended.
    RUN_ENDED = "run-ended"
    #: A later run under the owner's identifier replaced it.
    FOLLOWER = "follower"


class ClaimState(enum.Enum):
    """Whether a change of owner waits for a claim."""

    #: It does.
    COUNTED = "counted"
    #: It does not, because the upstream refuses the token by now.
    REFUSED = "refused"
    #: It does not, because the run has ended.
    RUN_ENDED = "run-ended"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseClaim:
    """A grant that may have given an upstream some keys."""

    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Fencing token; for an assumed grant the highest that it may have.
    fence: int
    #: Run that it was sent to.
    run: _nodes.UpstreamRun
    #: Whether an earlier coordinator is assumed to have sent it.
    is_assumed: bool
    #: When its call ended, or until when the earlier coordinator may have
    #: decided for it; None while the call is open.
    closed_at: float | None
    #: End of its lease; `OPEN` while the call is open.
    end: float
    #: Whether the change waits for it.
    state: ClaimState


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChange:
    """A range of keys that another upstream gets."""

    #: Name of the service.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Run that had the keys; None if nobody did.
    old: _nodes.UpstreamRun | None
    #: Run that gets them.
    new: _nodes.UpstreamRun
    #: Why the keys were free.
    cause: ChangeCause
    #: Token of the last order to the old owner; 0 for none, or if it refused.
    old_fence: int
    #: Token of the first grant to the new owner.
    new_fence: int
    #: Token up to which the old owner refuses grants.
    refused_fence: int
    #: Time that was waited for; 0 if nothing was.
    lease_end: float
