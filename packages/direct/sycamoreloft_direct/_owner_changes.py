"""Descriptions of changes of key owners, for logs and metrics.

They also show which leases a change had to wait for. The coordinator does not
use these types for its decisions.
"""

import dataclasses
import enum

from sycamoreloft_direct import _model


class ChangeCause(enum.Enum):
    """Why keys could be granted to another upstream."""

    #: The keys have had no owner since this coordinator took over.
    UNOWNED = "unowned"
    #: The owner answered a release.
    RELEASED = "released"
    #: All leases that the owner may have had are over.
    LEASE_OVER = "lease-over"
    #: The owner's run is certain to have ended.
    RUN_ENDED = "run-ended"
    #: A later run with the same identifier replaced the owner.
    FOLLOWER = "follower"


class ClaimState(enum.Enum):
    """Whether a change of owner has to wait for the lease of a claim."""

    #: The change waits for the lease.
    COUNTED = "counted"
    #: No wait is needed, because the upstream now refuses the token.
    REFUSED = "refused"
    #: No wait is needed, because the run has ended.
    RUN_ENDED = "run-ended"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseClaim:
    """A grant because of which an upstream may hold keys."""

    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Fencing token. For an assumed grant, the highest one that it may have.
    fence: int
    #: Run of the upstream that the grant was sent to.
    run: _model.UpstreamRun
    #: Whether the grant is assumed to come from an earlier coordinator.
    is_assumed: bool
    #: When the call of the grant ended, in seconds; None while it is open. For
    #: an assumed grant, the latest time at which it may have been decided.
    closed_at: float | None
    #: End of the lease, in seconds; `OPEN_END` while the call is open.
    end: float
    #: Whether the change of owner waits for the lease.
    state: ClaimState


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChange:
    """A range of keys that gets another owner."""

    #: Name of the service.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Run that owned the keys; None if they had no owner.
    old: _model.UpstreamRun | None
    #: Run that owns them from now on.
    new: _model.UpstreamRun
    #: Why the keys could change their owner.
    cause: ChangeCause
    #: Token of the last order to the old owner; 0 if there was none or the
    #: owner refused it.
    old_fence: int
    #: Token of the first grant to the new owner.
    new_fence: int
    #: Token up to which the old owner refuses grants.
    refused_fence: int
    #: End of the leases that the change waited for, in seconds; 0 if it did
    #: not have to wait.
    lease_end: float
