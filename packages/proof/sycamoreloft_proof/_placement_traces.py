"""Compares the router's placement of keys with two simpler methods.

The simpler methods are consistent hashing and never moving a key. A trace has
the requests by key and the upstreams for each second; upstreams join, are lost
and return. The router's figures come from a group holder that runs the trace in
virtual time. The figures of the simpler methods are computed from the trace.
"""

import bisect
import collections
from collections import abc
import dataclasses
import random

import sycamoreloft_config
from sycamoreloft_proof import _ownership_world

#: Number of distinct keys in a trace.
KEYS = 1_000
#: Number of partitions of the service.
PARTITIONS = 96
#: Virtual nodes of each upstream on the ring of consistent hashing.
RING_POINTS = 64
#: Time until consistent hashing detects the loss of an upstream, in seconds.
#: The router has the same detection time.
DETECTION_S = 1.02
#: Time for which a key isn't served during a planned move with consistent
#: hashing, in seconds.
PLANNED_MOVE_S = 0.05
#: Requests in each second without hot keys and without a batch.
REQUESTS_PER_S = 400
#: Group to which the upstreams of every trace belong.
GROUP = sycamoreloft_config.GroupName("trace", "domain", 0)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetShape:
    """Size and placement weights of the simulated group of a fleet."""

    #: Fleet name, part of the names of the reported measures.
    name: str
    #: Number of upstreams at the start of a trace; one more joins later.
    upstreams: int
    #: Slots of each upstream: requests that it runs at the same time.
    slots: int
    #: Weights of the placement cost.
    weights: sycamoreloft_config.Weights


#: Fleet that gives unavailable time the highest weight.
SLEDWORKS = FleetShape(
    "sledworks", 6, 6, sycamoreloft_config.Weights(1.0, 1.0, 4.0)
)
#: Fleet that gives churn the highest weight.
ISUKU = FleetShape("isuku", 5, 4, sycamoreloft_config.Weights(1.0, 4.0, 1.0))


@dataclasses.dataclass(frozen=True, slots=True)
class Second:
    """Requests and upstreams in one second of a trace."""

    #: Number of requests by key.
    requests_by_key: abc.Mapping[str, int]
    #: Names of the upstreams in the configuration.
    declared: abc.Sequence[str]
    #: Names of the upstreams that are lost at this time.
    lost: abc.Set[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Metrics of one placement method on one trace."""

    #: Highest load per slot of an upstream divided by the mean load per slot,
    #: minus 1; averaged over the seconds of the trace.
    imbalance: float
    #: Number of keys that changed their owner divided by the minimum possible,
    #: which is the number of keys of lost upstreams.
    churn_ratio: float
    #: Number of keys that were not served, multiplied by the duration in
    #: seconds.
    unavailable_key_seconds: float


def make_trace(
    shape: FleetShape, seed: int, seconds: int
) -> abc.Sequence[Second]:
    """Creates a trace with a join, a loss, hot keys and a batch load.

    An upstream is lost in the second quarter of the trace and returns at its
    end. At the same time, another upstream joins. Three keys are hot in the
    second and third quarter. In the last quarter, a tenth of the keys get as
    many additional requests as all keys get usually.
    """
    generator = random.Random(seed)
    names = [f"t{index}" for index in range(shape.upstreams + 1)]
    lost = generator.choice(names[:-1])
    keys = [f"key-{index}" for index in range(KEYS)]
    hot = generator.sample(keys, 3)
    batch = generator.sample(keys, KEYS // 10)
    trace = []
    for second in range(seconds):
        quarter = 4 * second // seconds
        requests_by_key = collections.Counter(
            generator.choices(keys, k=REQUESTS_PER_S)
        )
        if quarter in (1, 2):
            requests_by_key.update(
                generator.choices(hot, k=REQUESTS_PER_S // 4)
            )
        if quarter == 3:
            requests_by_key.update(generator.choices(batch, k=REQUESTS_PER_S))
        trace.append(
            Second(
                requests_by_key,
                names if quarter >= 2 else names[:-1],
                {lost} if quarter == 1 else set(),
            )
        )
    return trace


def compare_placements(
    shape: FleetShape, seed: int, seconds: int = 80
) -> dict[str, Figures]:
    """Returns the figures of each placement method on one trace, by name."""
    trace = make_trace(shape, seed, seconds)
    return {
        "router": _measure_router(shape, trace, seed),
        "consistent hashing": _measure_ring(shape, trace),
        "never moving": _measure_static(shape, trace),
    }


class _PlacementMeter:
    """Accumulates the metrics of one placement method over a trace."""

    def __init__(self) -> None:
        self._imbalances: list[float] = []
        self._moved = 0
        self._minimum_moved = 0
        self._unavailable = 0.0
        self._owners: abc.Mapping[str, str] = {}
        self._lost: abc.Set[str] = set()

    def observe(self, second: Second, owners: abc.Mapping[str, str]) -> int:
        """Records the owner of each key in the next second of the trace.

        Returns:
            The number of keys whose owner changed since the last second.
        """
        moved = sum(
            1
            for key, name in owners.items()
            if self._owners.get(key, name) != name
        )
        newly_lost = second.lost - self._lost
        self._minimum_moved += sum(
            name in newly_lost for name in self._owners.values()
        )
        self._moved += moved
        self._owners = dict(owners)
        self._lost = second.lost
        live = [name for name in second.declared if name not in second.lost]
        loads: collections.Counter[str] = collections.Counter()
        for key, count in second.requests_by_key.items():
            if owners[key] in live:
                loads[owners[key]] += count
        mean = sum(loads.values()) / len(live)
        self._imbalances.append(max(loads.values()) / mean - 1)
        return moved

    def add_unavailable(self, key_seconds: float) -> None:
        """Adds the time for which keys were not served.

        Args:
            key_seconds: Number of keys multiplied by the seconds.
        """
        self._unavailable += key_seconds

    def compute_figures(self) -> Figures:
        """Returns the metrics of all seconds so far."""
        return Figures(
            sum(self._imbalances) / len(self._imbalances),
            self._moved / max(1, self._minimum_moved),
            self._unavailable,
        )


def _measure_ring(shape: FleetShape, trace: abc.Sequence[Second]) -> Figures:
    meter = _PlacementMeter()
    lost_before: abc.Set[str] = set()
    owners: dict[str, str] = {}
    for second in trace:
        newly_lost = second.lost - lost_before
        lost_keys = sum(name in newly_lost for name in owners.values())
        lost_before = second.lost
        live = [name for name in second.declared if name not in second.lost]
        owners = _place_on_ring(live)
        moved = meter.observe(second, owners)
        meter.add_unavailable(lost_keys * DETECTION_S)
        meter.add_unavailable((moved - lost_keys) * PLANNED_MOVE_S)
    return meter.compute_figures()


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
        position = bisect.bisect(hashes, sycamoreloft_config.hash_text(key))
        owners[key] = points[position % len(points)][1]
    return owners


def _measure_static(shape: FleetShape, trace: abc.Sequence[Second]) -> Figures:
    meter = _PlacementMeter()
    owners = _place_on_ring(trace[0].declared)
    for second in trace:
        meter.observe(second, owners)
        meter.add_unavailable(
            sum(name in second.lost for name in owners.values())
        )
    return meter.compute_figures()


def _measure_router(
    shape: FleetShape, trace: abc.Sequence[Second], seed: int
) -> Figures:
    world = _ownership_world.OwnershipWorld(
        _make_generation(shape, trace[0].declared, 1), GROUP, ["h0"], seed
    )
    world.run(3.0)
    meter = _PlacementMeter()
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
        world.observe_keys("board", second.requests_by_key)
        for _ in range(10):
            world.run(0.1)
            unserved = world.list_unserved()
            meter.add_unavailable(
                0.1 * sum(len(keys[number]) for _, number, _ in unserved)
            )
        meter.observe(second, _read_owners(world, keys))
    return meter.compute_figures()


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
