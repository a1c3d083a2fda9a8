"""Routes, services and upstreams that the decisions of this package use."""

from collections import abc
import dataclasses
import enum

#: Number of keys of a sharded service. Keys are 0 to `KEY_COUNT - 1`.
KEY_COUNT = 65_536


class RouteKind(enum.Enum):
    """Whether the requests of a route may be retried."""

    #: A request may run more than once.
    IDEMPOTENT = "idempotent"
    #: A request must not run more than once.
    AT_MOST_ONCE = "at-most-once"
    #: A request has a large body and must not run more than once.
    UPLOAD = "upload"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service of a route and its share of the requests."""

    #: Name of the service.
    service: str
    #: Weight relative to the other targets of the route; 0 excludes the
    #: service from the split.
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The services that handle requests for a host and a path prefix."""

    name: str
    #: Host name in the Host header of the requests, without a port.
    host: str
    #: Path prefix. It begins and ends with a slash.
    prefix: str
    #: Services among which the requests are split by weight.
    targets: abc.Sequence[Target]
    #: Whether requests may be retried.
    kind: RouteKind
    #: Maximum time to an answer, in seconds.
    timeout_s: float
    #: Time within which an answer is most useful to the caller, in seconds.
    latency_target_s: float
    #: Maximum number of upstreams that one request is sent to.
    attempts: int
    #: Priority under load; 0 is served first.
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that upstreams belong to."""

    name: str
    #: Whether each key is owned by one upstream at a time.
    is_sharded: bool
    #: Maximum number of connections that one upstream accepts from all hosts
    #: together.
    connections: int
    #: URL path of the health check.
    health_path: str
    #: Seconds for which an upstream is cold after a start during traffic.
    warm_up_s: float = 0.0
    #: Requests per second that a cold upstream tolerates; 0 for no limit.
    warm_up_rate: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on connections and requests of callers."""

    #: Maximum size of the request line and the headers together, in bytes.
    header_bytes: int
    #: Maximum size of a request body, in bytes.
    body_bytes: int
    #: Seconds after which an idle connection is closed.
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """Routes and services that the operator has configured."""

    #: A state with a higher version replaces one with a lower version.
    version: int
    routes: abc.Sequence[Route]
    #: Services by name.
    services: abc.Mapping[str, Service]
    #: Limits on what callers may send.
    bounds: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """The operator's order to send nothing to a failure domain."""

    #: Name of the failure domain.
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An entry in service discovery, written by the upstream itself."""

    #: Identifier of the upstream. Successive runs may have the same one.
    id: str
    #: When this run of the upstream started, in milliseconds since 1970 on
    #: the upstream's clock. Distinguishes runs with the same identifier.
    started_ms: int
    #: Address, as "ip:port".
    address: str
    #: Name of its service.
    service: str
    #: Failure domain that the upstream runs in.
    failure_domain: str
    #: Number of requests that the upstream handles concurrently.
    slots: int
    #: Whether the upstream is shutting down and must get no new requests.
    is_draining: bool
    #: Seconds for which the upstream is slow after its start, counted from
    #: the first time that a host sees the entry.
    warm_up_s: float = 0.0
    #: Requests per second that the upstream tolerates now because it is cold;
    #: 0 for no limit. Set by hosts, not by the entry.
    warm_up_rate: float = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """The run as a key of mappings, which is hashed faster."""
        return self.id, self.started_ms

    @property
    def run(self) -> "UpstreamRun":
        """The run that wrote this entry."""
        return UpstreamRun(self.id, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class UpstreamRun:
    """One run of an upstream, from its start to its end."""

    #: Identifier of the upstream.
    id: str
    #: When the run started, in milliseconds since 1970 on the upstream's
    #: clock.
    started_ms: int

    def __hash__(self) -> int:
        # Runs are keys of many lookups. Hashing only the identifier is
        # faster, and few runs share one.
        return hash(self.id)
