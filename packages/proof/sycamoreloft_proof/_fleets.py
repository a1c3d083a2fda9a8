"""The two fleets of demo and soak: their plans and fleet files.

Services and failure domains are those of section 1.3 of the design, scaled to
one machine. Both fleets also have a service "bookings" whose equal keys must
not be confused between the fleets.
"""

from collections import abc
import dataclasses
import json
import typing

import sycamoreloft_standins

#: Name of the service that exists in both fleets.
SHARED_SERVICE = "bookings"
#: Most requested key, by fleet.
HOT_KEYS: abc.Mapping[str, str] = {
    "sledworks": "heat-finals",
    "isuku": "mat-market",
}


@dataclasses.dataclass(frozen=True, slots=True)
class OperationPlan:
    """One operation of a service and its share of the traffic."""

    #: HTTP method, in capital letters.
    method: str
    #: Path that callers request and path prefix in the fleet file.
    path: str
    #: Whether it runs at most once for each Idempotency-Key.
    at_most_once: bool = False
    #: Whether it may run again after an unknown outcome.
    repeatable: bool = False
    #: Value of "class" in the fleet file.
    priority: str = "normal"
    #: Size of the upload; 0 for the minimum that callers send.
    upload_bytes: int = 0
    #: Size of a streamed answer; 0 for an echo of the request.
    answer_bytes: int = 0
    #: Share of the fleet's requests, relative to the other operations.
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """One service of a fleet and its operations."""

    #: Name, unique inside the fleet.
    name: str
    #: Whether each key has one owner.
    keyed: bool
    #: Number of upstreams in each failure domain.
    instances: int
    #: Slots of each upstream.
    slots: int
    #: Operations in the order of the fleet file; the first match applies.
    operations: abc.Sequence[OperationPlan]
    #: Prefix of the keys that callers use; "" for an unkeyed service.
    key_prefix: str = ""
    #: Whether each upstream has its own process, so that it can crash alone.
    crashes: bool = False
    #: Deadline of requests that state none.
    deadline_ms: int = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """One fleet with its services."""

    #: Name in the fleet file.
    name: str
    #: Names of the failure domains.
    domains: abc.Sequence[str]
    #: Services in the order of the fleet file.
    services: abc.Sequence[ServicePlan]
    #: Weights of the terms of the placement cost, by name.
    weights: abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """One upstream and its port."""

    #: Fleet of the upstream.
    fleet: FleetPlan
    #: Service that the upstream runs.
    service: ServicePlan
    #: Name of its failure domain.
    domain: str
    #: Name, unique inside the fleet.
    name: str
    #: Port on the loopback address.
    port: int

    @property
    def identity(self) -> str:
        """Identity as "fleet/name"."""
        return f"{self.fleet.name}/{self.name}"

    def make_spec(self) -> sycamoreloft_standins.UpstreamSpec:
        """Returns the settings of the stand-in for this upstream."""
        return sycamoreloft_standins.UpstreamSpec(
            self.name,
            self.port,
            self.service.slots,
            fleet=self.fleet.name,
            keyed=self.service.keyed,
            queue=self.service.slots,
        )


def _plan_bookings(instances: int, slots: int) -> ServicePlan:
    return ServicePlan(
        SHARED_SERVICE,
        keyed=True,
        instances=instances,
        slots=slots,
        operations=(
            OperationPlan("POST", "/bookings", at_most_once=True, weight=1.5),
            OperationPlan("GET", "/", repeatable=True),
        ),
        key_prefix="booking-",
    )


def _plan_media(name: str, path: str, slots: int) -> ServicePlan:
    return ServicePlan(
        name,
        keyed=False,
        instances=1,
        slots=slots,
        operations=(
            OperationPlan(
                "PUT",
                path,
                repeatable=True,
                priority="background",
                upload_bytes=200_000,
                weight=0.3,
            ),
            OperationPlan(
                "GET",
                "/",
                repeatable=True,
                answer_bytes=200_000,
                weight=0.3,
            ),
        ),
    )


SLEDWORKS = FleetPlan(
    "sledworks",
    ("baleyard-north", "fernrun-east", "millpond-south"),
    (
        ServicePlan(
            "tally-board",
            keyed=True,
            instances=2,
            slots=6,
            operations=(
                OperationPlan("GET", "/", repeatable=True, weight=5.0),
                OperationPlan(
                    "PUT",
                    "/standings",
                    repeatable=True,
                    priority="critical",
                    weight=2.0,
                ),
                # Covers an operation that is neither repeatable nor at most
                # once.
                OperationPlan("POST", "/remarks", weight=1.0),
            ),
            key_prefix="heat-",
            crashes=True,
        ),
        ServicePlan(
            "paddock-ledger",
            keyed=False,
            instances=1,
            slots=6,
            operations=(
                OperationPlan(
                    "POST",
                    "/wagers",
                    at_most_once=True,
                    priority="critical",
                    weight=2.0,
                ),
                OperationPlan("GET", "/", repeatable=True),
            ),
        ),
        _plan_media("steward-reel", "/footage", 6),
        _plan_bookings(1, 6),
    ),
    {"imbalance": 1.0, "churn": 1.0, "unavailable": 8.0},
)

ISUKU = FleetPlan(
    "isuku",
    ("nyarugenge", "gasabo", "kicukiro"),
    (
        ServicePlan(
            "mat-status",
            keyed=True,
            instances=2,
            slots=4,
            operations=(
                OperationPlan("GET", "/", repeatable=True, weight=5.0),
                OperationPlan("PUT", "/places", repeatable=True, weight=2.0),
            ),
            key_prefix="mat-",
            crashes=True,
        ),
        ServicePlan(
            "pickup-book",
            keyed=False,
            instances=1,
            slots=4,
            operations=(
                OperationPlan(
                    "POST",
                    "/collections",
                    at_most_once=True,
                    priority="critical",
                    weight=2.0,
                ),
                OperationPlan("GET", "/", repeatable=True),
            ),
        ),
        _plan_media("wash-photos", "/photos", 4),
        _plan_bookings(1, 4),
    ),
    {"imbalance": 1.0, "churn": 8.0, "unavailable": 1.0},
)

FLEETS = (SLEDWORKS, ISUKU)


def count_upstreams(fleets: abc.Iterable[FleetPlan]) -> int:
    """Returns the total number of upstreams of the fleets."""
    return sum(
        service.instances * len(fleet.domains)
        for fleet in fleets
        for service in fleet.services
    )


def plan_upstreams(
    fleets: abc.Iterable[FleetPlan], ports: abc.Iterable[int]
) -> list[UpstreamPlan]:
    """Returns all upstreams of the fleets, each with a port."""
    free_ports = iter(ports)
    plans = []
    for fleet in fleets:
        for service in fleet.services:
            number = 0
            for _ in range(service.instances):
                for domain in fleet.domains:
                    number += 1
                    name = f"{service.name}-{number:02d}"
                    plans.append(
                        UpstreamPlan(
                            fleet, service, domain, name, next(free_ports)
                        )
                    )
    return plans


def format_value(value: typing.Any) -> str:
    """Formats a TOML value; JSON strings and numbers are valid TOML."""
    if isinstance(value, abc.Mapping):
        fields = ", ".join(
            f"{name} = {format_value(item)}" for name, item in value.items()
        )
        return f"{{ {fields} }}"
    if isinstance(value, list | tuple):
        return f"[{', '.join(format_value(item) for item in value)}]"
    return json.dumps(value)


def write_fleet_file(
    fleet: FleetPlan,
    upstreams: abc.Iterable[UpstreamPlan],
    leaving: abc.Set[str] = frozenset(),
) -> str:
    """Returns the TOML text of a fleet file.

    Args:
        fleet: Fleet to describe.
        upstreams: Upstreams; those of other fleets are ignored.
        leaving: Upstreams ("fleet/name") to declare as leaving.
    """
    document = {
        "kind": "fleet",
        "name": fleet.name,
        "weights": fleet.weights,
        "failure_domains": [{"name": name} for name in fleet.domains],
        "services": [
            {
                "name": service.name,
                "keyed": service.keyed,
                "deadline_ms": service.deadline_ms,
                "operations": [
                    {
                        "method": operation.method,
                        "path_prefix": operation.path,
                        "at_most_once": operation.at_most_once,
                        "repeatable": operation.repeatable,
                        "class": operation.priority,
                    }
                    for operation in service.operations
                ],
            }
            for service in fleet.services
        ],
        "upstreams": [
            {
                "name": upstream.name,
                "service": upstream.service.name,
                "failure_domain": upstream.domain,
                "address": f"127.0.0.1:{upstream.port}",
                "slots": upstream.service.slots,
                "leaving": upstream.identity in leaving,
            }
            for upstream in upstreams
            if upstream.fleet == fleet
        ],
    }
    return write_document(document)


def write_document(document: abc.Mapping[str, typing.Any]) -> str:
    """Returns a TOML document with one line for each top-level field."""
    return "".join(
        f"{name} = {format_value(value)}\n" for name, value in document.items()
    )
