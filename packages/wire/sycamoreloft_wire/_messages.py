"""Data classes of the messages between hosts.

The fields of a message are encoded in the order of their definition.
"""

from collections import abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MemberEntry:
    """State that a host announces to the other hosts by gossip."""

    #: Unique name of the host.
    host: str
    #: Random identifier of the process, new at each start.
    incarnation: str
    #: Increases with each change of the other fields.
    version: int
    #: Address for other hosts, as "ip:port".
    peer_address: str
    #: Address for callers, as "ip:port".
    caller_address: str
    #: Address for operators, as "ip:port".
    admin_address: str
    #: Failure domains of the host by fleet name.
    failure_domains: abc.Mapping[str, str]
    #: Whether the host is stopping.
    leaving: bool
    #: Epochs of the groups that the host holds, by group
    #: ("fleet/domain/index").
    groups: abc.Mapping[str, int]
    #: Number of the accepted generation that the host applies.
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat of one host."""

    #: Unique name of the host.
    host: str
    #: Random identifier of the process, new at each start.
    incarnation: str
    #: Increases with each gossip round of the process.
    counter: int


@dataclasses.dataclass(frozen=True, slots=True)
class GossipDigest:
    """Gossip message about the sender and other hosts."""

    #: Heartbeats; the first one is the sender's.
    heartbeats: abc.Sequence[Heartbeat]
    #: Member entries. In a gossip round these are changed entries and some
    #: unchanged ones in turn, at most 1 KB.
    entries: abc.Sequence[MemberEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersRequest:
    """Requests all members that a host knows.

    Answered by `GossipDigest`.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseRequest:
    """Requests the standby's promise not to take over a group for some time.

    Sent by the holder; answered by `PromiseAnswer`.
    """

    #: Group as "fleet/domain/index".
    group: str
    #: Epoch of the holder.
    epoch: int
    #: Duration of the promise from receipt of the request, in milliseconds; 0
    #: ends the promise.
    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseAnswer:
    """Answer to `PromiseRequest`."""

    #: Whether the host promises not to take over the group.
    promised: bool
    #: Whether the host has resigned: its process never takes over the group.
    final: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StepDownRequest:
    """Requests that an earlier holder stop acting for a group.

    Sent by a new holder; answered by `StepDownAnswer`.
    """

    #: Group as "fleet/domain/index".
    group: str
    #: Epoch of the new holder.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepDownAnswer:
    """Answer to `StepDownRequest`."""

    #: Whether the host does not act for the group in earlier epochs, either
    #: because it has stopped or because it never did.
    stopped: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Requests a permit from a group's holder to send one request.

    Answered by `PermitGrant` or `PermitRefusal`.
    """

    #: Group as "fleet/domain/index".
    group: str
    #: Identifier that the sender chooses; unique within its incarnation.
    permit: str
    #: Host name of the sender.
    host: str
    #: Number of the accepted generation that the sender applies.
    generation: int
    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Key of the request; empty for an unkeyed service.
    key: str
    #: Partition of the key; -1 for an unkeyed service.
    partition: int
    #: Fingerprint of the request, 16 bytes; identifies requests that crash
    #: upstreams.
    fingerprint: bytes
    #: Caller of the request, for fair queueing.
    caller: str
    #: Priority of the operation in the configuration.
    priority: int
    #: Time until the caller's deadline, in milliseconds.
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitGrant:
    """Permit to send one request to one upstream."""

    #: Identifier from the `PermitRequest`.
    permit: str
    #: Upstream name in the configuration.
    upstream: str
    #: Address of the upstream, as "ip:port".
    address: str
    #: Epoch of the holder.
    epoch: int
    #: Fence of the partition or hot key; 0 for an unkeyed service.
    fence: int
    #: Time for which the permit is valid unless it is renewed, in milliseconds.
    valid_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRefusal:
    """Refusal of a permit; the request must not be sent."""

    #: Identifier from the `PermitRequest`.
    permit: str
    #: Reason code, such as "overloaded" or "quarantined".
    reason: str
    #: Recommended time until a retry, in milliseconds; 0 if unknown.
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReturn:
    """Returns a permit, because its request has ended."""

    #: Group as "fleet/domain/index".
    group: str
    #: Identifier of the permit.
    permit: str
    #: Outcome of the request: "completed", "did-not-run" or "unknown".
    outcome: str
    #: Time from the start to the end of the request, in milliseconds.
    latency_ms: float
    #: Whether the upstream broke the connection or could not be reached.
    connection_lost: bool
    #: Whether the upstream refused the request in the way that the protocol
    #: between router and upstreams defines.
    refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PermitInUse:
    """A permit whose request has not ended; part of a `PermitReport`."""

    #: Identifier of the permit.
    permit: str
    #: Upstream name in the configuration.
    upstream: str
    #: Name of the service.
    service: str
    #: Partition of the key; -1 for an unkeyed service.
    partition: int
    #: Fingerprint of the request, 16 bytes.
    fingerprint: bytes
    #: Time until the deadline of the request, in milliseconds.
    remaining_ms: int
    #: Whether the permit has been valid without a gap; see
    #: `sycamoreloft_decisions.ReportedPermit`.
    unlapsed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReport:
    """Reports all permits of a group that a host still uses.

    The report renews the permits, and informs a new holder of the permits
    that its predecessor issued.
    """

    #: Group as "fleet/domain/index".
    group: str
    #: Host name of the sender.
    host: str
    #: Permits in use.
    permits: abc.Sequence[PermitInUse]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReportAnswer:
    """Answer to a `PermitReport` that has permits of lost upstreams.

    A report without such permits is answered by `Acknowledgement`.
    """

    #: Identifiers of the reported permits whose upstream is lost. Their
    #: requests will not be answered and may have run.
    lost: abc.Sequence[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Requests a claim: the right to run an operation at most once.

    Answered by `ClaimAnswer`.
    """

    #: Group whose holder records the claim, as "fleet/domain/index".
    group: str
    #: Number of the accepted generation that the sender applies.
    generation: int
    #: First 16 bytes of a SHA-256 over fleet, service and request id.
    id_hash: bytes
    #: Fingerprint of the request. A request with the same id and another
    #: fingerprint is a conflict.
    fingerprint: bytes
    #: Unique identifier of this attempt of the request.
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer to `ClaimRequest`."""

    #: "claimed", "repeated", "conflict", "stale-generation" or "unavailable".
    verdict: str
    #: If "repeated": outcome of the first attempt, as in `ClaimResult`.
    outcome: str = ""
    #: If "repeated" and the first attempt was completed: its HTTP status.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """Reports the outcome of an attempt that has a claim."""

    #: Group whose holder recorded the claim, as "fleet/domain/index".
    group: str
    #: As in `ClaimRequest`.
    id_hash: bytes
    #: As in `ClaimRequest`.
    attempt: str
    #: "completed", "did-not-run" or "unknown". "did-not-run" releases the
    #: claim.
    outcome: str
    #: HTTP status if the attempt was completed, else 0.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """Requests the configuration files that a host has in force.

    Answered by `GenerationAnswer`.
    """

    #: Number of the generation that the sender has.
    known_generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationAnswer:
    """Answer to `GenerationRequest`."""

    #: Number of the accepted generation.
    number: int
    #: Texts of the files by name ("fleet/<name>" or "merge"). Empty unless
    #: `number` is higher than the requested `known_generation`.
    files: abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectNotice:
    """Fingerprints of requests in flight to an upstream when it was lost."""

    #: Fleet of the upstream.
    fleet: str
    #: Fingerprints of 16 bytes each.
    fingerprints: abc.Sequence[bytes]
    #: Whether these requests are known to crash upstreams; else they are only
    #: suspect.
    guilty: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Confirms the receipt of a message that needs no other answer."""


Message = (
    GossipDigest
    | MembersRequest
    | PromiseRequest
    | PromiseAnswer
    | StepDownRequest
    | StepDownAnswer
    | PermitRequest
    | PermitGrant
    | PermitRefusal
    | PermitReturn
    | PermitReport
    | PermitReportAnswer
    | ClaimRequest
    | ClaimAnswer
    | ClaimResult
    | GenerationRequest
    | GenerationAnswer
    | SuspectNotice
    | Acknowledgement
)
