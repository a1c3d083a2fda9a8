"""Messages between hosts."""

from collections import abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MemberEntry:
    """What gossip says of one host."""

    #: Name of the host.
    host: str
    #: Random identifier of the process, new at each start.
    incarnation: str
    #: Grows with each change of the other fields.
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
    #: Epochs by group ("fleet/domain/index") that the host holds.
    groups: abc.Mapping[str, int]
    #: Accepted generation that the host applies.
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life of one host."""

    #: Name of the host.
    host: str
    #: Random identifier of the process.
    incarnation: str
    #: Grows with each gossip round of the process.
    counter: int


@dataclasses.dataclass(frozen=True, slots=True)
class GossipDigest:
    """What one host tells another of itself and of others."""

    #: Signs of life; the first one is the sender's.
    heartbeats: abc.Sequence[Heartbeat]
    #: Entries that changed, and some in turn, at most 1 KB.
    entries: abc.Sequence[MemberEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersRequest:
    """Asks a host for all members that it knows; answered by a digest."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseRequest:
    """Asks the standby not to take a group for a while."""

    #: Group as "fleet/domain/index".
    group: str
    #: Epoch of the holder.
    epoch: int
    #: Length of the promise, in milliseconds.
    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseAnswer:
    """Answer to a promise request."""

    #: Whether the promise is given.
    promised: bool
    #: Whether the standby resigns: it will never take this epoch over.
    final: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StepDownRequest:
    """Asks an earlier holder to stop acting for a group."""

    #: Group as "fleet/domain/index".
    group: str
    #: Epoch of the new holder.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepDownAnswer:
    """The earlier holder no longer sends grants for the group."""

    #: Whether the host stopped acting, or never acted, below the epoch.
    stopped: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks the holder of a group for the right to send one request."""

    #: Group as "fleet/domain/index".
    group: str
    #: Identifier chosen by the asking host, unique in its incarnation.
    permit: str
    #: Name of the asking host.
    host: str
    #: Accepted generation of the asking host.
    generation: int
    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Key, empty for an unkeyed service.
    key: str
    #: Partition of the key, -1 for an unkeyed service.
    partition: int
    #: Fingerprint of the request, 16 bytes.
    fingerprint: bytes
    #: Caller, for fairness.
    caller: str
    #: Priority of the operation.
    priority: int
    #: Time left until the caller's deadline, in milliseconds.
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitGrant:
    """Permission to send one request to one upstream."""

    #: Identifier from the request.
    permit: str
    #: Name of the upstream.
    upstream: str
    #: Address of the upstream, as "ip:port".
    address: str
    #: Epoch of the holder.
    epoch: int
    #: Fence of the partition, 0 for an unkeyed service.
    fence: int
    #: Time for which the permit is valid unless renewed, in milliseconds.
    valid_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRefusal:
    """The request must not be sent."""

    #: Identifier from the request.
    permit: str
    #: Stable reason, such as "overloaded" or "quarantined".
    reason: str
    #: Time after which a retry makes sense, in milliseconds; 0 for unknown.
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReturn:
    """The request has ended; the slot is free."""

    #: Group as "fleet/domain/index".
    group: str
    #: Identifier of the permit.
    permit: str
    #: "completed", "did-not-run" or "unknown".
    outcome: str
    #: Time from send to end, in milliseconds.
    latency_ms: float
    #: Whether the upstream broke the connection or could not be reached.
    connection_lost: bool
    #: Whether the upstream refused the request by contract.
    refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PermitInUse:
    """One permit that a host still uses."""

    #: Identifier of the permit.
    permit: str
    #: Name of the upstream.
    upstream: str
    #: Name of the service.
    service: str
    #: Partition, -1 for an unkeyed service.
    partition: int
    #: Fingerprint of the request.
    fingerprint: bytes
    #: Time left until the deadline of the request, in milliseconds.
    remaining_ms: int
    #: Whether the permit has been valid without a gap; see
    #: `sycamoreloft_decisions.ReportedPermit`.
    unlapsed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReport:
    """All permits of a group that a host still uses.

    Renews them, and tells a new holder what its predecessor issued.
    """

    #: Group as "fleet/domain/index".
    group: str
    #: Name of the reporting host.
    host: str
    #: Permits in use.
    permits: abc.Sequence[PermitInUse]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReportAnswer:
    """Answer to a permit report that names permits of lost upstreams.

    A report without such permits is answered by `Acknowledgement`.
    """

    #: Permits of the report whose upstream is lost: their requests get no
    #: answer and may have run.
    lost: abc.Sequence[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks for the right to run an operation at most once."""

    #: Group of the claim holder.
    group: str
    #: Accepted generation of the asking host.
    generation: int
    #: SHA-256 over fleet, service and request id, first 16 bytes.
    id_hash: bytes
    #: Fingerprint of the request.
    fingerprint: bytes
    #: Identifier of this attempt.
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer to a claim request."""

    #: "claimed", "repeated", "conflict", "stale-generation" or "unavailable".
    verdict: str
    #: For "repeated": outcome of the first attempt, "unknown" if not known.
    outcome: str = ""
    #: For "repeated" and completed: HTTP status of the first answer.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """What became of a claimed attempt."""

    #: Group of the claim holder.
    group: str
    #: As in the claim request.
    id_hash: bytes
    #: As in the claim request.
    attempt: str
    #: "completed", "did-not-run" (frees the claim) or "unknown".
    outcome: str
    #: HTTP status when completed.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """Asks a host for the files that it has in force."""

    #: Generation that the asking host has.
    known_generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationAnswer:
    """The files in force; empty if not newer than what is known."""

    #: Number of the accepted generation.
    number: int
    #: Texts of the files by name ("fleet/<name>" or "merge").
    files: abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectNotice:
    """Fingerprints that were in flight when an upstream was lost."""

    #: Fleet of the upstream.
    fleet: str
    #: Fingerprints.
    fingerprints: abc.Sequence[bytes]
    #: Whether they are known to crash upstreams.
    guilty: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Empty answer."""


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
