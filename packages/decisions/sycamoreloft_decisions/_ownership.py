"""Events, commands and answers of the group holder."""

from collections import abc
import dataclasses
import enum
import typing

import sycamoreloft_config
from sycamoreloft_decisions import _rows


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Unit:
    """What has one owner: a partition, or a hot key that was taken out."""

    #: Name of the service.
    service: str
    #: Number of the partition; for a hot key, the partition it hashes to.
    partition: int
    #: The hot key, empty for a whole partition.
    key: str = ""


class WaitReason(enum.StrEnum):
    """Why a key has no owner at the moment."""

    #: This host does not hold the group, or may not act for it now.
    NOT_HOLDER = "not-holder"
    #: The partition belongs to another group in this generation.
    OTHER_GROUP = "other-group"
    #: Another group still records an owner of the partition.
    TRANSFER_PENDING = "transfer-pending"
    #: No owner is recorded yet, or its write is not acknowledged.
    UNASSIGNED = "unassigned"
    #: The unit is moving to another upstream.
    MOVING = "moving"
    #: The recorded owner has not acknowledged a grant that is in force.
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    #: The recorded owner is lost, and an earlier holder may still grant.
    EARLIER_HOLDER_MAY_ACT = "earlier-holder-may-act"
    #: The group has no upstream of the service that can take the unit.
    NO_USABLE_UPSTREAM = "no-usable-upstream"


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The upstream that owns a key."""

    #: Name of the upstream.
    upstream: str
    #: Fence of the partition or hot key.
    fence: int
    #: Epoch of the holder.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoOwner:
    """No upstream owns the key at the moment."""

    #: Why not.
    reason: WaitReason


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; arrives every 50 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class RowsRead:
    """Answer to `ReadRows`; both parts come from one read of the table."""

    #: Number of the read.
    call: int
    #: The group row, or None if it does not exist.
    row: _rows.GroupRow | None
    #: Table version of the group row, 0 if it does not exist.
    row_version: int
    #: Assignments of all groups of the fleet.
    tables: abc.Mapping[sycamoreloft_config.GroupName, _rows.AssignmentTable]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """A read had no answer."""

    #: Number of the read.
    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStored:
    """The store acknowledged a write."""

    #: Number of the write.
    call: int
    #: Table version of the group row after the write.
    row_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefused:
    """The store refused a write because the group row has changed."""

    #: Number of the write.
    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteOutcomeUnknown:
    """The answer to a write was lost; the write may still take effect."""

    #: Number of the write.
    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseAnswered:
    """A host answered a promise request."""

    #: Number of the request.
    call: int
    #: Host that answered.
    host: str
    #: Whether the promise is given.
    promised: bool
    #: Whether the host resigns: it never takes this epoch over.
    final: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseRequested:
    """The holder asks this host for a promise."""

    #: Host that asks.
    host: str
    #: Epoch of the holder.
    epoch: int
    #: Length of the promise; 0 ends it, because the holder hands over.
    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepDownRequested:
    """A new holder asks this host to stop acting below an epoch."""

    #: Epoch of the new holder.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepDownAnswered:
    """An earlier holder answered `RequestStepDown`."""

    #: Host that answered.
    host: str
    #: Epoch of the request.
    epoch: int
    #: Whether it no longer acts below that epoch.
    stopped: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GrantAnswered:
    """An upstream answered a grant."""

    #: Name of the upstream.
    upstream: str
    #: Number of the call.
    call: int
    #: Whether the grant is in force.
    accepted: bool
    #: Incarnation of the upstream.
    incarnation: str
    #: Reading of the upstream's clock, in seconds.
    clock_reading: float
    #: Highest epoch that the upstream has seen for the group.
    highest_epoch: int
    #: Version that the upstream has.
    version: int
    #: Whether the upstream asks for no new work.
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GrantFailed:
    """A grant had no answer; it may still arrive."""

    #: Name of the upstream.
    upstream: str
    #: Number of the call.
    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnitDrained:
    """No permit of a held unit is outstanding any more."""

    #: The unit of `PauseUnit`.
    unit: Unit


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationChanged:
    """Another generation is in force, or another one is pending."""

    #: The accepted generation.
    generation: sycamoreloft_config.Generation
    #: The pending generation, or None. The holder records its number as
    #: staged and assigns no partition whose group it changes.
    pending: sycamoreloft_config.Generation | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeysObserved:
    """Requests of one keyed service since the last event."""

    #: Name of the service.
    service: str
    #: Number of requests by key.
    counts: abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersObserved:
    """What gossip says of the hosts of the group's failure domain."""

    #: Time on this host's clock of the last progress, by host; leaving hosts
    #: are left out.
    last_progress: abc.Mapping[str, float]
    #: Epoch in which a host says that it holds this group, by host.
    announced_epochs: abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """This host stops as planned: it hands over or resigns."""


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
    """Read the group row and the fleet's assignment rows in one read."""

    #: Number of the read, for its answer.
    call: int
    #: Key of the group row.
    row_key: str
    #: Prefix of the assignment rows of the fleet.
    assignment_prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRows:
    """Write the group row and changed assignment rows in one transaction."""

    #: Number of the write, for its answer. A repeated write has a new number
    #: and the same content.
    call: int
    #: Key of the group row.
    row_key: str
    #: Version of the group row on which the write is conditional.
    row_version: int
    #: New group row.
    row: _rows.GroupRow
    #: Assignment rows to put, by table key.
    puts: abc.Mapping[str, abc.Mapping[str, typing.Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class SendGrant:
    """Send a grant to an upstream."""

    #: Name of the upstream.
    upstream: str
    #: Number of the call, for its answer.
    call: int
    #: Epoch of the holder.
    epoch: int
    #: Version of the content.
    version: int
    #: Incarnation of the upstream, empty if unknown.
    incarnation: str
    #: Reading that the upstream gave, None if unknown. A grant without a
    #: reading only makes the epoch seen and asks for a reading.
    clock_reading: float | None
    #: Lifetime from the reading, in milliseconds.
    lifetime_ms: int
    #: Fences by service and partition; None for "as in version".
    partitions: abc.Mapping[str, abc.Mapping[int, int]] | None
    #: Fences by service and hot key.
    hot_keys: abc.Mapping[str, abc.Mapping[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPromise:
    """Ask a host for a promise."""

    #: Number of the request, for its answer.
    call: int
    #: Host to ask.
    host: str
    #: Epoch of the holder.
    epoch: int
    #: Length of the promise, in milliseconds.
    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPromise:
    """Answer to the `PromiseRequested` that is being handled."""

    #: Whether the promise is given.
    promised: bool
    #: Whether this host resigns as the standby.
    final: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStepDown:
    """Ask an earlier holder to stop acting."""

    #: Host to ask.
    host: str
    #: Epoch of this holder.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStepDown:
    """Answer to the `StepDownRequested` that is being handled."""

    #: Whether this host acts no more below the epoch.
    stopped: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PauseUnit:
    """Issue no new permits for a unit; report when it is drained."""

    #: The unit.
    unit: Unit


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeUnit:
    """Issue permits for a unit again."""

    #: The unit.
    unit: Unit


@dataclasses.dataclass(frozen=True, slots=True)
class BecomeHolder:
    """This host holds the group from now on."""

    #: Epoch of this holder.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """This host no longer holds the group."""

    #: Epoch that ended.
    epoch: int
    #: Why, as a sentence for the log.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordDecision:
    """A decision was made; its sentence is also kept for `explain`."""

    #: One sentence.
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
