"""Immutable nodes of fleet files, merge files and generations."""

from collections import abc
import dataclasses
import enum


class Priority(enum.IntEnum):
    """Priority class of an operation; the lowest value is shed first."""

    BACKGROUND = 0
    NORMAL = 1
    CRITICAL = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Weights of the placement cost, each without a unit and at least 0."""

    #: Weight of the load imbalance between upstreams.
    imbalance: float = 1.0
    #: Weight of each key that gets another owner.
    churn: float = 1.0
    #: Weight of each second during which a key is not served.
    unavailable: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain of one fleet."""

    #: Name, unique inside the fleet.
    name: str
    #: Number of groups of upstreams, each with its own holder.
    groups: int = 1
    #: Whether the operator guarantees that no upstream of the domain runs.
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
    #: Maximum number of requests that it runs at once.
    slots: int
    #: Maximum number of connections that it accepts at once.
    connections: int = 300
    #: Whether it rejects grants with an outdated epoch.
    checks_fences: bool = True
    #: Whether it verifies the signature of a grant.
    checks_sender: bool = True
    #: Whether it is leaving the fleet and must not get new work.
    leaving: bool = False
    #: Whether the operator guarantees that it no longer runs.
    lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Rules for the requests of a service that match a method and path."""

    #: HTTP method in upper case, or "*" for any.
    method: str
    #: Prefix of the path, starting with "/".
    path_prefix: str
    #: Whether the operation must run at most once for a request id.
    at_most_once: bool = False
    #: Whether the operation is idempotent, so that it may be retried.
    repeatable: bool = False
    #: Requests of a lower priority are shed first under overload.
    priority: Priority = Priority.NORMAL


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of one fleet."""

    #: Name, unique inside the fleet.
    name: str
    #: Whether requests have a key, each of which is owned by one upstream.
    keyed: bool
    #: Number of hash partitions of a keyed service.
    partitions: int = 256
    #: Default deadline of a request, in milliseconds.
    deadline_ms: int = 10_000
    #: Maximum number of queued requests per upstream; 0 means twice its slots.
    queue: int = 0
    #: Whether its upstreams themselves deduplicate requests by request id.
    deduplicates: bool = False
    #: Rules, of which the first match applies. A request without a match is
    #: neither repeatable nor at most once.
    operations: abc.Sequence[Operation] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Content of a fleet file."""

    #: Name, unique among the accepted files.
    name: str
    #: Weights of the placement cost, relative to each other.
    weights: Weights
    #: Maximum time for which a holder may act without the store, in seconds.
    offline_limit_s: float
    #: Time for which a request id is remembered, in seconds.
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

    #: Name that remains the identity, as "fleet/service".
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
    """Content of a merge file: names in different fleets for the same thing."""

    #: Pairs of names that denote the same service.
    same_services: abc.Sequence[SameService] = ()
    #: Pairs of names that denote the same upstream.
    same_upstreams: abc.Sequence[SameUpstream] = ()
    #: Canonical service by alias, both as "fleet/service"; an index for the
    #: look-ups of each request, derived from `same_services`.
    service_canonicals: abc.Mapping[str, str] = dataclasses.field(
        init=False, repr=False, compare=False
    )
    #: Canonical upstream by alias, both as "fleet/upstream"; derived from
    #: `same_upstreams`.
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
    """The files that are in force together."""

    #: Number, which grows with each accepted change; 0 before the first one.
    number: int
    #: Fleets by name.
    fleets: abc.Mapping[str, Fleet]
    #: The merge file; empty if none was accepted.
    merge: Merge = Merge()


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class GroupName:
    """Identity of a group of upstreams with one holder."""

    #: Name of the fleet.
    fleet: str
    #: Name of the failure domain, unique inside the fleet.
    failure_domain: str
    #: Index in the failure domain, from 0.
    index: int

    def __str__(self) -> str:
        return f"{self.fleet}/{self.failure_domain}/{self.index}"


def parse_group_name(text: str) -> GroupName:
    """Parses "fleet/domain/index", the string form of a `GroupName`."""
    fleet, failure_domain, index = text.split("/")
    return GroupName(fleet, failure_domain, int(index))
