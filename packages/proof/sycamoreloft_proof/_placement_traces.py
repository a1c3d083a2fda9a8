"""Compares placement with consistent hashing and with never moving.

A trace is a list of seconds. Each second has requests by key, and upstreams
join, are lost and return. The router's own figures come from the group holder
running in virtual time; the two others are computed from the same trace.
"""

import bisect
import collections
from collections import abc
import dataclasses
import random

import sycamoreloft_config
from sycamoreloft_proof import _ownership_world

#: Distinct keys of a trace.
KEYS = 1_000
#: Partitions of the service in the group.
PARTITIONS = 96
#: Points of one upstream on the ring of consistent hashing.
RING_POINTS = 64
#: Time after which a loss is noticed, in seconds; the same for both.
DETECTION_S = 1.02
#: Time for which a planned move holds a key, in seconds.
PLANNED_MOVE_S = 0.05
#: Requests of a usual second.
REQUESTS = 400
#: Group of all traces.
GROUP = sycamoreloft_config.GroupName("trace", "domain", 0)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetShape:
    """The size and the weights of a fleet's group."""

    #: Name of the fleet.
    name: str
    #: Upstreams of the group at first.
    upstreams: int
    #: Slots of each upstream.
    slots: int
    #: Weights of the placement cost.
    weights: sycamoreloft_config.Weights


#: Unavailable time has the highest weight.
SLEDWORKS = FleetShape(
    "sledworks", 6, 6, sycamoreloft_config.Weights(1.0, 1.0, 4.0)
)
#: Churn has the highest weight.
ISUKU = FleetShape("isuku", 5, 4, sycamoreloft_config.Weights(1.0, 4.0, 1.0))


@dataclasses.dataclass(frozen=True, slots=True)
class Second:
    """One second of a trace."""

    #: Requests by key.
    counts: abc.Mapping[str, int]
    #: Upstreams that are declared.
    declared: abc.Sequence[str]
    #: Upstreams that are lost.
    lost: abc.Set[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Metrics of one way of placing keys on one trace."""

    #: Mean over the seconds of the highest load for a slot against the mean
    #: load for a slot, minus 1.
    imbalance: float
    #: Keys that changed their owner against the least possible: the keys of
    #: upstreams that were lost.
    churn_ratio: float
    #: Keys that were not served, times seconds.
    unavailable_key_seconds: float


def make_trace(
    shape: FleetShape, seed: int, seconds: int
) -> abc.Sequence[Second]:
    """Makes a trace with a join, a loss, hot keys and a Friday batch.

    The upstream is lost at one quarter and returns at one half of the trace,
    another one joins at one half, three keys are hot in the second and third
    quarter, and the batch falls into the last quarter.
    """
    source = random.Random(seed)
    names = [f"t{index}" for index in range(shape.upstreams + 1)]
    lost = source.choice(names[:-1])
    keys = [f"key-{index}" for index in range(KEYS)]
    hot = source.sample(keys, 3)
    batch = source.sample(keys, KEYS // 10)
    trace = []
    for second in range(seconds):
        quarter = 4 * second // seconds
        counts = collections.Counter(source.choices(keys, k=REQUESTS))
        if quarter in (1, 2):
            counts.update(source.choices(hot, k=REQUESTS // 4))
        if quarter == 3:
            counts.update(source.choices(batch, k=REQUESTS))
        trace.append(
            Second(
                counts,
                names if quarter >= 2 else names[:-1],
                {lost} if quarter == 1 else set(),
            )
        )
    return trace


def compare_placements(
    shape: FleetShape, seed: int, seconds: int = 80
) -> dict[str, Figures]:
    """Measures the router and the two simpler ways on one trace."""
    trace = make_trace(shape, seed, seconds)
    return {
        "router": _run_router(shape, trace, seed),
        "consistent hashing": _run_ring(shape, trace),
        "never moving": _run_static(shape, trace),
    }


class _Meter:
    """Sums up the metrics of one way of placing keys."""

    def __init__(self) -> None:
        self._imbalances: list[float] = []
        self._moved = 0
        self._least = 0
        self._unavailable = 0.0
        self._owners: abc.Mapping[str, str] = {}
        self._lost: abc.Set[str] = set()

    def observe(self, second: Second, owners: abc.Mapping[str, str]) -> int:
        """Observes the owners in a second; returns how many keys moved."""
        moved = sum(
            1
            for key, name in owners.items()
            if self._owners.get(key, name) != name
        )
        new = second.lost - self._lost
        self._least += sum(name in new for name in self._owners.values())
        self._moved += moved
        self._owners = dict(owners)
        self._lost = second.lost
        live = [name for name in second.declared if name not in second.lost]
        loads: collections.Counter[str] = collections.Counter()
        for key, count in second.counts.items():
            if owners[key] in live:
                loads[owners[key]] += count
        mean = sum(loads.values()) / len(live)
        self._imbalances.append(max(loads.values()) / mean - 1)
        return moved

    def add_unavailable(self, key_seconds: float) -> None:
        """Adds keys that were not served, times seconds."""
        self._unavailable += key_seconds

    def sum_up(self) -> Figures:
        """Returns the metrics."""
        return Figures(
            sum(self._imbalances) / len(self._imbalances),
            self._moved / max(1, self._least),
            self._unavailable,
        )


def _run_ring(shape: FleetShape, trace: abc.Sequence[Second]) -> Figures:
    meter = _Meter()
    lost_before: abc.Set[str] = set()
    owners: dict[str, str] = {}
    for second in trace:
        new = second.lost - lost_before
        lost_keys = sum(name in new for name in owners.values())
        lost_before = second.lost
        live = [name for name in second.declared if name not in second.lost]
        owners = _place_on_ring(live)
        moved = meter.observe(second, owners)
        meter.add_unavailable(lost_keys * DETECTION_S)
        meter.add_unavailable((moved - lost_keys) * PLANNED_MOVE_S)
    return meter.sum_up()


def _place_on_ring(names: abc.Sequence[str]) -> dict[str, str]:
    points = sorted(
        (sycamoreloft_config.hash_text(name, str(index)), name)
        for name in names
        for index in range(RING_POINTS)
    )
    hashes = [point for point, _ in points]
    owners = {}
    for index in range(KEYS):
        key = f"key-{index}"
        place = bisect.bisect(hashes, sycamoreloft_config.hash_text(key))
        owners[key] = points[place % len(points)][1]
    return owners


def _run_static(shape: FleetShape, trace: abc.Sequence[Second]) -> Figures:
    meter = _Meter()
    owners = _place_on_ring(trace[0].declared)
    for second in trace:
        meter.observe(second, owners)
        meter.add_unavailable(
            sum(name in second.lost for name in owners.values())
        )
    return meter.sum_up()


def _run_router(
    shape: FleetShape, trace: abc.Sequence[Second], seed: int
) -> Figures:
    world = _ownership_world.OwnershipWorld(
        _make_generation(shape, trace[0].declared, 1), GROUP, ["h0"], seed
    )
    world.run(3.0)
    meter = _Meter()
    declared = trace[0].declared
    lost: abc.Set[str] = set()
    keys = _list_keys_by_partition()
    for number, second in enumerate(trace, start=2):
        for name in second.lost - lost:
            world.crash_upstream(name)
        for name in lost - second.lost:
            world.restart_upstream(name)
        lost = second.lost
        if second.declared != declared:
            declared = second.declared
            world.change_generation(_make_generation(shape, declared, number))
        world.observe_keys("board", second.counts)
        for _ in range(10):
            world.run(0.1)
            unserved = world.list_unserved()
            meter.add_unavailable(
                0.1 * sum(len(keys[number]) for _, number, _ in unserved)
            )
        meter.observe(second, _read_owners(world, keys))
    return meter.sum_up()


def _list_keys_by_partition() -> dict[int, list[str]]:
    keys: dict[int, list[str]] = {number: [] for number in range(PARTITIONS)}
    for index in range(KEYS):
        key = f"key-{index}"
        number = sycamoreloft_config.compute_partition(
            GROUP.fleet, "board", key, PARTITIONS
        )
        keys[number].append(key)
    return keys


def _read_owners(
    world: _ownership_world.OwnershipWorld,
    keys: abc.Mapping[int, abc.Sequence[str]],
) -> dict[str, str]:
    records = world.store.list_records()
    return {
        key: records.get(("board", -1, key), records["board", partition, ""])[0]
        for partition, names in keys.items()
        for key in names
    }


def _make_generation(
    shape: FleetShape, names: abc.Sequence[str], number: int
) -> sycamoreloft_config.Generation:
    fleet = sycamoreloft_config.Fleet(
        GROUP.fleet,
        shape.weights,
        3_900.0,
        600.0,
        {"domain": sycamoreloft_config.FailureDomain("domain")},
        {"board": sycamoreloft_config.Service("board", True, PARTITIONS)},
        {
            name: sycamoreloft_config.Upstream(
                name, "board", "domain", "127.0.0.1:1", shape.slots
            )
            for name in names
        },
    )
    return sycamoreloft_config.Generation(number, {GROUP.fleet: fleet})
