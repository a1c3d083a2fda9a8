"""Events and commands of the state machine `GroupHolder`."""

from collections import abc
import dataclasses
import enum
import typing

import sycamoreloft_config
from sycamoreloft_decisions import _rows


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Unit:
    """A partition or a separately placed hot key; has at most one owner."""

    #: Service of the group's fleet, as its configuration file names it.
    service: str
    #: Partition number; for a hot key, the partition that it hashes to.
    partition: int
    #: The hot key; empty for a whole partition.
    key: str = ""


class WaitReason(enum.StrEnum):
    """Why a key has no owner to which requests can be sent."""

    #: This host does not hold the group, or lacks a valid promise or a
    #: recent write of the group row.
    NOT_HOLDER = "not-holder"
    #: The partition belongs to another group in this generation.
    OTHER_GROUP = "other-group"
    #: The store still records an owner in another group.
    TRANSFER_PENDING = "transfer-pending"
    #: No owner is recorded, or the store has not acknowledged the record.
    UNASSIGNED = "unassigned"
    #: The unit is moving to another upstream.
    MOVING = "moving"
    #: The recorded owner has acknowledged no grant that is still in force.
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    #: The recorded owner is lost, but an earlier holder of the group may
    #: still renew its grant.
    EARLIER_HOLDER_MAY_ACT = "earlier-holder-may-act"
    #: No upstream of the service in this group can become the owner.
    NO_USABLE_UPSTREAM = "no-usable-upstream"


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The upstream that owns a key and has acknowledged its grant."""

    #: Upstream name in the configuration.
    upstream: str
    #: Fencing token of the partition or hot key.
    fence: int
    #: Epoch of the holder that sent the grant.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoOwner:
    """Requests for the key must wait, because it has no usable owner."""

    reason: WaitReason


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Timer event; the runtime delivers one every 50 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class RowsRead:
    """Answer to `ReadRows`; all rows are from one consistent snapshot."""

    #: Identifier of the `ReadRows` command.
    call: int
    #: None if the group row does not exist.
    row: _rows.GroupRow | None
    #: Version of the group row in the store; 0 if it does not exist.
    row_version: int
    #: Assignments of all groups of the fleet, including this one.
    tables: abc.Mapping[sycamoreloft_config.GroupName, _rows.AssignmentTable]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """The store did not answer a `ReadRows` command."""

    #: Identifier of the `ReadRows` command.
    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStored:
    """The store committed a `WriteRows` command."""

    #: Identifier of the `WriteRows` command.
    call: int
    #: Version of the group row in the store after the write.
    row_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefused:
    """The store refused a write: the group row has another version."""

    #: Identifier of the `WriteRows` command.
    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteOutcomeUnknown:
    """A write was not answered; it may have committed or still commit."""

    #: Identifier of the `WriteRows` command.
    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseAnswered:
    """A host answered a promise request of this holder."""

    #: Identifier of the `RequestPromise` command.
    call: int
    #: Host that answered.
    host: str
    #: Whether the host promises not to take over the group.
    promised: bool
    #: Whether the host has resigned: its process never takes over this
    #: group, so no further promise is needed.
    final: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseRequested:
    """The holder requests this host's promise not to take over."""

    #: The holder.
    host: str
    #: Epoch of the holder.
    epoch: int
    #: Duration of the promise from receipt of the request, in milliseconds; 0
    #: ends a promise early, because the holder hands the group over.
    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepDownRequested:
    """A new holder requests that this host stop acting in earlier epochs."""

    #: Epoch of the new holder.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepDownAnswered:
    """An earlier holder answered `RequestStepDown`."""

    #: Host that answered.
    host: str
    #: Epoch in the request, which is that of the requesting holder.
    epoch: int
    #: Whether the host no longer acts in epochs below `epoch`.
    stopped: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GrantAnswered:
    """An upstream answered a `SendGrant` command."""

    #: Upstream name in the configuration.
    upstream: str
    #: Identifier of the `SendGrant` command.
    call: int
    #: Whether the upstream put the grant in force.
    accepted: bool
    #: Identifier of the upstream's run; a new one after each restart.
    incarnation: str
    #: Monotonic clock of the upstream when it answered, in seconds.
    clock_reading: float
    #: Highest epoch that this run of the upstream has seen for the group.
    highest_epoch: int
    #: Version of the grant content that the upstream has in force.
    version: int
    #: Whether the upstream requests that no new work be sent to it.
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GrantFailed:
    """A grant was not answered; the upstream may still receive it."""

    #: Upstream name in the configuration.
    upstream: str
    #: Identifier of the `SendGrant` command.
    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnitDrained:
    """All permits of a paused unit have ended."""

    #: The unit of the `PauseUnit` command.
    unit: Unit


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationChanged:
    """The accepted or the pending generation has changed."""

    #: The accepted generation, which is in force.
    generation: sycamoreloft_config.Generation
    #: The pending generation; None if there is none. The holder records its
    #: number as staged and assigns no partition that moves to another group
    #: in it.
    pending: sycamoreloft_config.Generation | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeysObserved:
    """Load of one keyed service since the previous event of this type."""

    #: Service name in the configuration.
    service: str
    #: Number of requests by key.
    counts: abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersObserved:
    """Gossip state of the hosts in the group's failure domain."""

    #: When each host's heartbeat last advanced, in seconds on this host's
    #: clock; without hosts that are leaving.
    last_progress: abc.Mapping[str, float]
    #: Epoch in which each host announces that it holds this group; without
    #: hosts that announce none.
    announced_epochs: abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """Planned stop of this host: it hands the group over or resigns."""


Event = (
    Tick
    | RowsRead
    | ReadFailed
    | WriteStored
    | WriteRefused
    | WriteOutcomeUnknown
    | PromiseAnswered
    | PromiseRequested
    | StepDownRequested
    | StepDownAnswered
    | GrantAnswered
    | GrantFailed
    | UnitDrained
    | GenerationChanged
    | KeysObserved
    | MembersObserved
    | StopRequested
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows:
    """Read the group row and the fleet's assignment rows in one snapshot."""

    #: Identifier that the answer repeats.
    call: int
    #: Table key of the group row.
    row_key: str
    #: Table key prefix of the assignment rows of all groups of the fleet.
    assignment_prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRows:
    """Write the group row and changed assignment rows in one transaction."""

    #: Identifier that the answer repeats. A retry has a new identifier and
    #: the same content.
    call: int
    #: Table key of the group row.
    row_key: str
    #: The write must fail unless the group row has this version.
    row_version: int
    #: New value of the group row.
    row: _rows.GroupRow
    #: New values of assignment rows, by table key.
    puts: abc.Mapping[str, abc.Mapping[str, typing.Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class SendGrant:
    """Send a grant to an upstream."""

    #: Upstream name in the configuration.
    upstream: str
    #: Identifier that the answer repeats.
    call: int
    #: Epoch of the holder.
    epoch: int
    #: Version of the content; 0 in a grant without a clock reading.
    version: int
    #: Identifier of the upstream's run; empty if unknown.
    incarnation: str
    #: Latest clock reading from the upstream, in seconds. None in a grant
    #: that only makes the epoch known to the upstream and fetches its
    #: incarnation and clock reading.
    clock_reading: float | None
    #: Lifetime, counted from `clock_reading` on the upstream's clock.
    lifetime_ms: int
    #: Fences by service and partition. None if the upstream already has the
    #: content of this version.
    partitions: abc.Mapping[str, abc.Mapping[int, int]] | None
    #: Fences by service and hot key.
    hot_keys: abc.Mapping[str, abc.Mapping[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPromise:
    """Request a host's promise not to take over the group."""

    #: Identifier that the answer repeats.
    call: int
    #: Receiver of the request.
    host: str
    #: Epoch of the holder.
    epoch: int
    #: Duration of the promise from receipt of the request, in milliseconds; 0
    #: ends a promise early, because the holder has handed the group over.
    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPromise:
    """Answer the `PromiseRequested` event that is being handled."""

    #: Whether this host promises not to take over the group.
    promised: bool
    #: Whether this host has resigned as a standby.
    final: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStepDown:
    """Request that an earlier holder stop acting for the group."""

    #: Receiver of the request.
    host: str
    #: Epoch of this holder.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStepDown:
    """Answer the `StepDownRequested` event that is being handled."""

    #: Whether this host no longer acts in epochs below the requested one.
    stopped: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PauseUnit:
    """Issue no permits for a unit; report `UnitDrained` when all ended."""

    unit: Unit


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeUnit:
    """Issue permits for a paused unit again."""

    unit: Unit


@dataclasses.dataclass(frozen=True, slots=True)
class BecomeHolder:
    """Start to act as the holder of the group."""

    #: Epoch that begins.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """Stop acting as the holder of the group."""

    #: Epoch that ends.
    epoch: int
    #: Explanation for the log; a clause without a full stop.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordDecision:
    """Log a decision; `GroupHolder.list_explanations` returns it, too."""

    #: The decision and its cause, in one sentence.
    sentence: str


Command = (
    ReadRows
    | WriteRows
    | SendGrant
    | RequestPromise
    | AnswerPromise
    | RequestStepDown
    | AnswerStepDown
    | PauseUnit
    | ResumeUnit
    | BecomeHolder
    | StepDown
    | RecordDecision
)
