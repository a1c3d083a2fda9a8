"""Events and commands of the permit issuer.

Times are seconds on the clock of the holder.
"""

from collections import abc
import dataclasses
import enum

import sycamoreloft_config


class RefusalReason(enum.StrEnum):
    """Why a permit was refused. The values are stable."""

    #: The queue is full of requests of the same or a higher priority.
    OVERLOADED = "overloaded"
    #: The request was removed from a full queue by one of a higher priority.
    SHED = "shed"
    #: The request cannot start, or cannot finish, before its deadline.
    DEADLINE = "deadline"
    #: The request was in flight on two upstreams when they were lost.
    QUARANTINED = "quarantined"
    #: No candidate upstream is available.
    NO_UPSTREAM = "no-upstream"
    #: This host no longer holds the group.
    NOT_HOLDER = "not-holder"


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequested:
    """A host requests a permit to send one request to an upstream."""

    #: Identifier of the permit, chosen by the host. It is unique among all
    #: hosts and their incarnations.
    permit: str
    #: Name of the requesting host.
    host: str
    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Key; empty for an unkeyed service.
    key: str
    #: Partition of the key; -1 for an unkeyed service.
    partition: int
    #: Fingerprint of the request, equal for repetitions of it.
    fingerprint: bytes
    #: Caller. Queued requests are served fairly between callers.
    caller: str
    #: Priority of the operation.
    priority: sycamoreloft_config.Priority
    #: The caller's deadline, converted to the clock of the holder.
    deadline: float
    #: Upstreams that may run the request; only the owner for a keyed service.
    candidates: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReturned:
    """A request ended, or its host stopped waiting for the permit."""

    #: Identifier of the permit.
    permit: str
    #: "completed", "did-not-run" or "unknown".
    outcome: str
    #: Seconds from sending the request to its end; 0 if nothing was sent.
    latency_s: float = 0.0
    #: Whether the connection to the upstream broke or could not be made.
    connection_lost: bool = False
    #: Whether the upstream refused the request as the protocol defines, so
    #: that it did not run.
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedPermit:
    """A permit in a host's report: one that the host is still using."""

    #: Identifier of the permit.
    permit: str
    #: Name of the upstream.
    upstream: str
    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Partition; -1 for an unkeyed service.
    partition: int
    #: Fingerprint of the request.
    fingerprint: bytes
    #: Deadline of the request on the clock of the holder. None if the report
    #: does not contain it; `maximum_deadline_s` of the options applies then.
    deadline: float | None = None
    #: Whether the permit has not lapsed since its host was last in contact
    #: with a holder: less than the validity has passed from the sending of the
    #: last acknowledged report of the permit (or the time from which the grant
    #: is valid) to the sending of this report. Only then is it certain that no
    #: holder in between has reissued the slot, so that the slot is free once
    #: the permit is returned.
    unlapsed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PermitsReported:
    """A host reports its permits, to renew them or after a takeover."""

    #: Name of the reporting host.
    host: str
    #: Permits that the host is using.
    permits: abc.Sequence[ReportedPermit]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAvailable:
    """An upstream became available, or its limits changed."""

    #: Name of the upstream.
    upstream: str
    #: Number of requests that the upstream runs concurrently.
    slots: int
    #: Maximum number of requests queued for the upstream; 0 means twice its
    #: slots.
    queue: int = 0
    #: Whether the upstream has just started, so that its load must rise
    #: slowly.
    cold: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUnavailable:
    """An upstream is draining or leaving, and must get no new permits."""

    #: Name of the upstream.
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLost:
    """An upstream crashed, froze or became unreachable."""

    #: Name of the upstream.
    upstream: str
    #: Whether its requests are certain to have ended, because it answered with
    #: a new incarnation or the operator confirmed that it no longer runs.
    ended: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionPaused:
    """No new permits may be issued for a partition or key for now.

    Requests for it wait until `PartitionResumed`.
    """

    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Number of the partition.
    partition: int
    #: Key that is placed individually; empty for the whole partition.
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionResumed:
    """The waiting requests of a paused partition or key may proceed."""

    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Number of the partition.
    partition: int
    #: New owner; empty if the waiting requests keep their candidates.
    upstream: str = ""
    #: Key, as in `PartitionPaused`.
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectsReported:
    """Another group reports requests that ran on a lost upstream."""

    #: Fingerprints of the requests.
    fingerprints: abc.Sequence[bytes]
    #: Whether the requests are known to crash upstreams.
    guilty: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PermitIssuerClosed:
    """The host no longer holds the group. All waiting requests are refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class PermitTick:
    """Periodic event for timeouts, sent about every 50 ms."""


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
    """Lets a host send its request to an upstream.

    The permit may have been delayed in the network or in a paused process
    before it arrives. The host therefore counts the validity from the time at
    which it sent its last report that was answered on the same connection
    before the permit arrived.
    """

    #: Identifier from the request.
    permit: str
    #: Host that requested the permit.
    host: str
    #: Upstream that runs the request.
    upstream: str
    #: Seconds within which the host must start to send, unless it renews the
    #: permit.
    valid_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RefusePermit:
    """Refuses a permit, so that the host must not send its request."""

    #: Identifier from the request.
    permit: str
    #: Host that requested the permit.
    host: str
    reason: RefusalReason
    #: Seconds after which a retry may succeed; 0 if unknown.
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionDrained:
    """The last permit of a paused partition or key has ended."""

    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Number of the partition.
    partition: int
    #: Key, as in `PartitionPaused`.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSuspects:
    """Reports requests that ran on a lost upstream to the other groups."""

    #: Fingerprints of the requests.
    fingerprints: tuple[bytes, ...]
    #: Whether the requests are known to crash upstreams.
    guilty: bool


PermitCommand = IssuePermit | RefusePermit | PartitionDrained | ShareSuspects


@dataclasses.dataclass(frozen=True, slots=True)
class PermitOptions:
    """Limits of a permit issuer."""

    #: Seconds for which a permit is valid unless it is renewed.
    validity_s: float = 1.0
    #: Seconds after a takeover during which slots that no host has reported
    #: stay reserved; at least `validity_s`.
    recovery_s: float = 1.0
    #: Maximum difference in clock speed between hosts, as a share.
    clock_drift: float = 0.02
    #: Maximum time to the deadline of a request, in seconds. It is assumed for
    #: reported permits without a deadline.
    maximum_deadline_s: float = 60.0
    #: Maximum number of requests that wait because of the quarantine.
    waiting_suspects: int = 256
    #: Maximum number of requests that wait because their partition is paused.
    paused_requests: int = 4096
    #: Maximum number of fingerprints in the quarantine.
    suspects: int = 1024
    #: Seconds for which a request stays suspect or guilty.
    suspect_s: float = 600.0
    #: Number of recently completed fingerprints that are remembered. Such
    #: requests are presumed harmless.
    known_good: int = 8192
