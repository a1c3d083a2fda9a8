"""Events and commands of the permit desk; times are seconds of one clock."""

from collections import abc
import dataclasses
import enum

import sycamoreloft_config


class RefusalReason(enum.StrEnum):
    """Stable reasons of a refused permit."""

    #: The queue is full of requests of the same or a higher class.
    OVERLOADED = "overloaded"
    #: A queued request of a higher class took the place.
    SHED = "shed"
    #: The request cannot start, or can no longer end, before its deadline.
    DEADLINE = "deadline"
    #: The request was in flight on two upstreams when they were lost.
    QUARANTINED = "quarantined"
    #: No candidate upstream accepts work.
    NO_UPSTREAM = "no-upstream"
    #: The desk stopped issuing permits; the group has another holder.
    NOT_HOLDER = "not-holder"


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequested:
    """A host asks for the right to send one request."""

    #: Identifier, unique among all hosts and their incarnations.
    permit: str
    #: Name of the asking host.
    host: str
    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Key, empty for an unkeyed service.
    key: str
    #: Partition of the key, -1 for an unkeyed service.
    partition: int
    #: Fingerprint of the request.
    fingerprint: bytes
    #: Caller, for fairness.
    caller: str
    #: Class of the operation.
    priority: sycamoreloft_config.Priority
    #: Time of the caller's deadline on the clock of the holder.
    deadline: float
    #: Upstreams that may run the request; one for a keyed service.
    candidates: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReturned:
    """A request has ended, or its host gave up before it got a permit."""

    #: Identifier from the request.
    permit: str
    #: "completed", "did-not-run" or "unknown".
    outcome: str
    #: Seconds from send to end; 0 if nothing was sent.
    latency_s: float = 0.0
    #: Whether the upstream broke the connection or could not be reached.
    connection_lost: bool = False
    #: Whether the upstream refused the request by contract.
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedPermit:
    """One permit that a host still uses."""

    #: Identifier of the permit.
    permit: str
    #: Name of the upstream.
    upstream: str
    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Partition, -1 for an unkeyed service.
    partition: int
    #: Fingerprint of the request.
    fingerprint: bytes
    #: Deadline of the request on the clock of the holder; None if the report
    #: does not tell, then the longest deadline of the options counts.
    deadline: float | None = None
    #: Whether less than the validity has passed between the sending of the
    #: last acknowledged report of the permit (or the time from which its grant
    #: is valid) and the sending of this report. Only then is it certain that
    #: no holder in between has issued the slot again, so that the slot is
    #: free once the permit is returned.
    unlapsed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PermitsReported:
    """A host renews its permits and tells a new holder of them."""

    #: Name of the reporting host.
    host: str
    #: Permits in use.
    permits: abc.Sequence[ReportedPermit]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAvailable:
    """An upstream accepts work, or its limits changed."""

    #: Name of the upstream.
    upstream: str
    #: Requests that it runs at once.
    slots: int
    #: Requests queued for it; 0 means twice its slots.
    queue: int = 0
    #: Whether it started recently, so that its load must rise slowly.
    cold: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUnavailable:
    """An upstream is leaving or draining: it gets no new permits."""

    #: Name of the upstream.
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLost:
    """An upstream crashed, froze or cannot be reached."""

    #: Name of the upstream.
    upstream: str
    #: Whether its requests certainly ended: it answered with a new
    #: incarnation, or the operator vouches that it no longer runs.
    ended: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionPaused:
    """New permits of a partition or key must wait."""

    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Partition.
    partition: int
    #: Key that is placed individually; empty for the whole partition.
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionResumed:
    """The requests of a held partition or key may go on."""

    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Partition.
    partition: int
    #: Owner from now on; empty if the waiting requests keep their candidates.
    upstream: str = ""
    #: Key, as in `PartitionPaused`.
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectsReported:
    """Another group reports requests that were on a lost upstream."""

    #: Fingerprints.
    fingerprints: abc.Sequence[bytes]
    #: Whether they are known to crash upstreams.
    guilty: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PermitIssuerClosed:
    """The host no longer holds the group; everything queued is refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class PermitTick:
    """Time passes; sent about every 50 ms."""


PermitEvent = (
    PermitRequested
    | PermitReturned
    | PermitsReported
    | UpstreamAvailable
    | UpstreamUnavailable
    | UpstreamLost
    | PartitionPaused
    | PartitionResumed
    | SuspectsReported
    | PermitIssuerClosed
    | PermitTick
)


@dataclasses.dataclass(frozen=True, slots=True)
class IssuePermit:
    """Tells the host that it may send the request to the upstream.

    The host counts the validity from the sending of its last report that was
    answered on the same connection before the grant arrived, because a grant
    may have waited in the network or in a paused process.
    """

    #: Identifier from the request.
    permit: str
    #: Host that asked.
    host: str
    #: Upstream that runs the request.
    upstream: str
    #: Seconds for which the permit may be used to start unless renewed.
    valid_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RefusePermit:
    """Tells the host that the request must not be sent."""

    #: Identifier from the request.
    permit: str
    #: Host that asked.
    host: str
    #: Why.
    reason: RefusalReason
    #: Seconds after which a retry makes sense; 0 for unknown.
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionDrained:
    """The last permit of a held partition or key has ended."""

    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Partition.
    partition: int
    #: Key, as in `PartitionPaused`.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSuspects:
    """Tells the other groups which requests were on a lost upstream."""

    #: Fingerprints.
    fingerprints: tuple[bytes, ...]
    #: Whether they are known to crash upstreams.
    guilty: bool


PermitCommand = IssuePermit | RefusePermit | PartitionDrained | ShareSuspects


@dataclasses.dataclass(frozen=True, slots=True)
class PermitOptions:
    """Limits of a permit desk."""

    #: Seconds for which a permit is valid unless renewed.
    validity_s: float = 1.0
    #: Seconds after a takeover in which slots that no host reported are kept
    #: back; at least `validity_s`.
    recovery_s: float = 1.0
    #: Share by which clocks may run at different speeds.
    clock_drift: float = 0.02
    #: Longest deadline of a request, for reports that do not tell theirs.
    longest_deadline_s: float = 60.0
    #: Requests that wait because another suspect is running.
    waiting_suspects: int = 256
    #: Requests that wait because their partition is held.
    held_requests: int = 4096
    #: Requests in the record of suspects.
    suspects: int = 1024
    #: Seconds for which a request stays a suspect or guilty.
    suspect_s: float = 600.0
    #: Recently completed fingerprints, which are known to be harmless.
    known_good: int = 8192
