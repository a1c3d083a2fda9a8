"""The two fleets of the drivers: plans, fleet files and router settings.

Services and failure domains are those of section 1.3, scaled to one machine.
Both fleets also have a service "bookings" with the same keys for different
things.
"""

from collections import abc
import dataclasses
import json
import typing

import sycamoreloft_standins

#: Name of the service that both fleets have.
SHARED_SERVICE = "bookings"
#: Key that the callers ask for most.
HOT_KEYS: abc.Mapping[str, str] = {
    "sledworks": "heat-finals",
    "isuku": "mat-market",
}


@dataclasses.dataclass(frozen=True, slots=True)
class OperationPlan:
    """One operation of a service, and how callers use it."""

    #: HTTP method.
    method: str
    #: Path prefix.
    path: str
    #: Whether it must run at most once for an id.
    at_most_once: bool = False
    #: Whether it may be repeated.
    repeatable: bool = False
    #: Priority in the fleet file.
    priority: str = "normal"
    #: Bytes that a request uploads.
    upload_bytes: int = 0
    #: Bytes of a streamed answer; 0 for the echo.
    answer_bytes: int = 0
    #: Share of the fleet's requests, relative to the other operations.
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """One service."""

    #: Name.
    name: str
    #: Whether each key has one owner.
    keyed: bool
    #: Instances in each failure domain.
    instances: int
    #: Slots of each instance.
    slots: int
    #: Operations; the first match applies.
    operations: abc.Sequence[OperationPlan]
    #: Prefix of its keys.
    key_prefix: str = ""
    #: Whether each instance is a process of its own, so that it may crash.
    crashes: bool = False
    #: Default deadline of a request.
    deadline_ms: int = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """One fleet."""

    #: Name.
    name: str
    #: Failure domains.
    domains: abc.Sequence[str]
    #: Services.
    services: abc.Sequence[ServicePlan]
    #: Weights of the placement cost by name.
    weights: abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """One upstream with its port."""

    #: Fleet.
    fleet: FleetPlan
    #: Service.
    service: ServicePlan
    #: Failure domain.
    domain: str
    #: Name, unique inside the fleet.
    name: str
    #: Port on loopback.
    port: int

    @property
    def identity(self) -> str:
        """Name as "fleet/name"."""
        return f"{self.fleet.name}/{self.name}"

    def make_spec(self) -> sycamoreloft_standins.UpstreamSpec:
        """Returns the settings of the stand-in."""
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
                # Neither repeatable nor at most once.
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
    """Returns the number of upstreams of the fleets."""
    return sum(
        service.instances * len(fleet.domains)
        for fleet in fleets
        for service in fleet.services
    )


def plan_upstreams(
    fleets: abc.Iterable[FleetPlan], ports: abc.Iterable[int]
) -> list[UpstreamPlan]:
    """Names all upstreams of the fleets and gives each a port."""
    free = iter(ports)
    plans = []
    for fleet in fleets:
        for service in fleet.services:
            number = 0
            for _ in range(service.instances):
                for domain in fleet.domains:
                    number += 1
                    name = f"{service.name}-{number:02d}"
                    plans.append(
                        UpstreamPlan(fleet, service, domain, name, next(free))
                    )
    return plans


def format_value(value: typing.Any) -> str:
    """Writes a TOML value; JSON strings, numbers and lists are TOML too."""
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
    """Writes the TOML file of a fleet.

    Args:
        fleet: The fleet.
        upstreams: Upstreams of any fleet; those of others are left out.
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
    """Writes a TOML document with one line for each top-level field."""
    return "".join(
        f"{name} = {format_value(value)}\n" for name, value in document.items()
    )
