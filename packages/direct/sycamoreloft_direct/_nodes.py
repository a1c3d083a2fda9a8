"""Values that the decisions of this package work on."""

from collections import abc
import dataclasses
import enum

#: Number of keys of a sharded service; keys are 0 to KEY_COUNT - 1.
KEY_COUNT = 65_536


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    #: A request may run more than once.
    IDEMPOTENT = "idempotent"
    #: A request runs at most once.
    AT_MOST_ONCE = "at-most-once"
    #: A request has a large body and runs at most once.
    UPLOAD = "upload"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service of a route and its share of the requests."""

    #: Name of the service.
    service: str
    #: Weight relative to the other targets of the route.
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and a path prefix go."""

    #: Name of the route.
    name: str
    #: Host name of the requests, without a port.
    host: str
    #: Start of the paths, from slash to slash.
    prefix: str
    #: Services that take the requests.
    targets: abc.Sequence[Target]
    #: What may be repeated.
    kind: RouteKind
    #: Longest time for an answer, in seconds.
    timeout_s: float
    #: Time in which an answer is worth most, in seconds.
    latency_target_s: float
    #: Upstreams that one request may be sent to at most.
    attempts: int
    #: Rank; 0 is served first.
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that upstreams belong to."""

    #: Name of the service.
    name: str
    #: Whether each key belongs to one upstream at a time.
    is_sharded: bool
    #: Connections that one upstream accepts from all hosts together.
    connections: int
    #: Path of the health check.
    health_path: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send."""

    #: Longest request line and headers together, in bytes.
    header_bytes: int
    #: Longest request body, in bytes.
    body_bytes: int
    #: Seconds for which an idle connection is kept.
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """Routes and services as the operator wants them."""

    #: Version; a higher one replaces a lower one.
    version: int
    #: All routes.
    routes: abc.Sequence[Route]
    #: Services by name.
    services: abc.Mapping[str, Service]
    #: What callers may send.
    bounds: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream as it describes itself in service discovery."""

    #: Identifier of the upstream.
    id: str
    #: When this run of the upstream started, in milliseconds since 1970 on
    #: the upstream's clock. It tells runs under one identifier apart.
    started_ms: int
    #: Address, as "ip:port".
    address: str
    #: Name of its service.
    service: str
    #: Failure domain that it runs in.
    failure_domain: str
    #: Requests that it works on at the same time.
    slots: int
    #: Whether it leaves and must get no new requests.
    is_draining: bool
    #: Seconds after its start for which it is slow, counted from the entry.
    warm_up_s: float = 0.0

    @property
    def run(self) -> "UpstreamRun":
        """The run that this entry describes."""
        return UpstreamRun(self.id, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class UpstreamRun:
    """One run of an upstream, from its start to its end."""

    #: Identifier of the upstream.
    id: str
    #: When the run started, in milliseconds since 1970.
    started_ms: int

    def __hash__(self) -> int:
        # Runs are keys of many lookups, and few share an identifier.
        return hash(self.id)
