"""Immutable nodes of fleet files, merge files and generations."""

from collections import abc
import dataclasses
import enum


class Priority(enum.IntEnum):
    """Class of an operation; the lowest value is shed first."""

    BACKGROUND = 0
    NORMAL = 1
    CRITICAL = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Weights of the placement cost, each without a unit and at least 0."""

    #: Weight of load imbalance between upstreams.
    imbalance: float = 1.0
    #: Weight of each moved key.
    churn: float = 1.0
    #: Weight of each second that a key is not served.
    unavailable: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain of one fleet."""

    #: Name, unique inside the fleet.
    name: str
    #: Number of upstream groups, each with its own holder.
    groups: int = 1
    #: Whether the operator vouches that the whole domain no longer runs.
    lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A server that runs requests of one service."""

    #: Name, unique inside the fleet.
    name: str
    #: Name of the service that it runs.
    service: str
    #: Name of its failure domain.
    failure_domain: str
    #: IP address and port, as "127.0.0.1:9001".
    address: str
    #: Requests that it runs at once.
    slots: int
    #: Connections that it accepts at once.
    connections: int = 300
    #: Whether it rejects grants with an old epoch.
    checks_fences: bool = True
    #: Whether it verifies the signature of a grant.
    checks_sender: bool = True
    #: Whether it is leaving and must get no new work.
    leaving: bool = False
    #: Whether the operator vouches that it no longer runs.
    lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Rules for the requests of a service that match a method and path."""

    #: HTTP method, upper case, or "*" for any.
    method: str
    #: Prefix of the path, starting with "/".
    path_prefix: str
    #: Whether the operation must run at most once for a request id.
    at_most_once: bool = False
    #: Whether the operation is idempotent, so that it may be retried.
    repeatable: bool = False
    #: Class for load shedding.
    priority: Priority = Priority.NORMAL


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of one fleet."""

    #: Name, unique inside the fleet.
    name: str
    #: Whether each key has one owner.
    keyed: bool
    #: Number of hash partitions of a keyed service.
    partitions: int = 256
    #: Default deadline of a request, in milliseconds.
    deadline_ms: int = 10_000
    #: Requests queued for one upstream; 0 means twice its slots.
    queue: int = 0
    #: Whether its upstreams deduplicate by request id themselves.
    deduplicates: bool = False
    #: Rules, the first match applies; a request with no match is neither
    #: repeatable nor at most once.
    operations: abc.Sequence[Operation] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """A fleet file."""

    #: Name of the fleet, unique among accepted files.
    name: str
    #: Weights of the placement cost.
    weights: Weights
    #: Seconds for which a holder without the store may act.
    offline_limit_s: float
    #: Seconds for which a request id is remembered.
    claim_window_s: float
    #: Failure domains by name.
    failure_domains: abc.Mapping[str, FailureDomain]
    #: Services by name.
    services: abc.Mapping[str, Service]
    #: Upstreams by name.
    upstreams: abc.Mapping[str, Upstream]


@dataclasses.dataclass(frozen=True, slots=True)
class SameService:
    """States that two service names denote the same service."""

    #: Identity that stays, as "fleet/service".
    canonical: str
    #: Name that resolves to it, as "fleet/service".
    alias: str


@dataclasses.dataclass(frozen=True, slots=True)
class SameUpstream:
    """States that two upstream names denote the same server."""

    #: Name whose fleet keeps the upstream, as "fleet/upstream".
    canonical: str
    #: Name that resolves to it, as "fleet/upstream".
    alias: str


@dataclasses.dataclass(frozen=True, slots=True)
class Merge:
    """A merge file: which names of different fleets denote the same thing."""

    #: Services that are the same.
    same_services: abc.Sequence[SameService] = ()
    #: Upstreams that are the same.
    same_upstreams: abc.Sequence[SameUpstream] = ()
    #: Canonical service by alias, both as "fleet/service"; derived, because
    #: every request looks a name up.
    service_canonicals: abc.Mapping[str, str] = dataclasses.field(
        init=False, repr=False, compare=False
    )
    #: Canonical upstream by alias, both as "fleet/upstream"; derived.
    upstream_canonicals: abc.Mapping[str, str] = dataclasses.field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        services = {item.alias: item.canonical for item in self.same_services}
        upstreams = {item.alias: item.canonical for item in self.same_upstreams}
        # A frozen class sets derived fields through its base class.
        object.__setattr__(self, "service_canonicals", services)
        object.__setattr__(self, "upstream_canonicals", upstreams)


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """All files in force together."""

    #: Number of the generation, 0 for none accepted yet.
    number: int
    #: Fleets by name.
    fleets: abc.Mapping[str, Fleet]
    #: The merge file, empty if none was accepted.
    merge: Merge = Merge()


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class GroupName:
    """Identity of a group of upstreams with one holder."""

    #: Fleet name.
    fleet: str
    #: Failure domain name inside the fleet.
    failure_domain: str
    #: Index below the failure domain's number of groups.
    index: int

    def __str__(self) -> str:
        return f"{self.fleet}/{self.failure_domain}/{self.index}"


def parse_group_name(text: str) -> GroupName:
    """Parses "fleet/domain/index" as `GroupName` prints it."""
    fleet, failure_domain, index = text.split("/")
    return GroupName(fleet, failure_domain, int(index))
