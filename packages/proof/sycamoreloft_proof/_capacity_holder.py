"""Measurements of the costs of a group holder.

They cover the holder's processor time and memory, its claims, and the group
rows in the store.
"""

from collections import abc
import functools
import json

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_decisions import acceptance
from sycamoreloft_proof import _capacity_models, _slopes

#: Numbers of upstreams in one group.
UPSTREAM_SIZES = (4, 8, 16, 32)

#: Numbers of partitions in one group.
PARTITION_SIZES = (256, 1_024, 4_096, 16_384)

#: Numbers of groups in the deployment.
GROUP_SIZES = (6, 24, 96, 384)

#: Numbers of claims that a holder keeps in its window.
CLAIM_SIZES = (1_000, 5_000, 20_000, 50_000)

#: Interval between two ticks, in seconds of virtual time.
TICK_S = 0.05


class SimulatedHolder:
    """Group holder in virtual time whose commands succeed immediately.

    It runs for 10 s of virtual time at first, after which it holds the group
    and all partitions are assigned.

    Args:
        upstreams: Number of upstreams in the group.
        partitions: Number of partitions in the group.
    """

    def __init__(self, upstreams: int, partitions: int) -> None:
        self._now = 0.0
        self._row_version = 0
        self._row: sycamoreloft_decisions.GroupRow | None = None
        fleet = _capacity_models.make_fleet(upstreams, partitions)
        group = sycamoreloft_config.GroupName(fleet.name, "domain-0", 0)
        self.machine = sycamoreloft_decisions.GroupHolder(
            "host-1",
            "incarnation",
            group,
            sycamoreloft_config.Generation(1, {fleet.name: fleet}),
            0.0,
        )
        self.grants = 0
        for _ in range(200):
            self.tick()

    def tick(self) -> None:
        """Advances the virtual time by `TICK_S` and runs the holder."""
        self._now += TICK_S
        self._handle_event(
            sycamoreloft_decisions.MembersObserved({"host-1": self._now}, {})
        )
        self._handle_event(sycamoreloft_decisions.Tick())

    def _handle_event(self, event: sycamoreloft_decisions.Event) -> None:
        for command in self.machine.handle(event, self._now):
            self._execute(command)

    @functools.singledispatchmethod
    def _execute(self, command: sycamoreloft_decisions.Command) -> None:
        """Ignores commands that expect no event as their result."""

    @_execute.register
    def _(self, command: sycamoreloft_decisions.ReadRows) -> None:
        self._handle_event(
            sycamoreloft_decisions.RowsRead(
                command.call, self._row, self._row_version, {}
            )
        )

    @_execute.register
    def _(self, command: sycamoreloft_decisions.WriteRows) -> None:
        self._row = command.row
        self._row_version += 1
        self._handle_event(
            sycamoreloft_decisions.WriteStored(command.call, self._row_version)
        )

    @_execute.register
    def _(self, command: sycamoreloft_decisions.SendGrant) -> None:
        self.grants += 1
        self._handle_event(
            sycamoreloft_decisions.GrantAnswered(
                command.upstream,
                command.call,
                command.clock_reading is not None,
                "upstream-incarnation",
                self._now,
                command.epoch,
                command.version,
            )
        )

    @_execute.register
    def _(self, command: sycamoreloft_decisions.PauseUnit) -> None:
        self._handle_event(sycamoreloft_decisions.UnitDrained(command.unit))


def measure_holder_time() -> _slopes.Slope:
    """Measures the holder's processor time per second, by upstreams."""
    values = []
    for upstreams in UPSTREAM_SIZES:
        holder = SimulatedHolder(upstreams, 256)
        per_tick = _slopes.measure_time(holder.tick, 100)
        values.append(per_tick / TICK_S)
    return _slopes.fit_slope(
        "holder-time", "s/s", "upstreams", UPSTREAM_SIZES, values
    )


def measure_holder_time_by_partitions() -> _slopes.Slope:
    """Measures the holder's processor time per second, by partitions."""
    values = []
    for partitions in PARTITION_SIZES:
        holder = SimulatedHolder(6, partitions)
        per_tick = _slopes.measure_time(holder.tick, 20, rounds=3)
        values.append(per_tick / TICK_S)
    return _slopes.fit_slope(
        "holder-time-by-partitions",
        "s/s",
        "partitions",
        PARTITION_SIZES,
        values,
    )


def measure_holder_memory() -> _slopes.Slope:
    """Measures the memory of a holder, by partitions."""
    values = [
        _slopes.measure_memory(functools.partial(SimulatedHolder, 6, count))
        for count in PARTITION_SIZES
    ]
    return _slopes.fit_slope(
        "holder-memory", "B", "partitions", PARTITION_SIZES, values
    )


def make_claim_entries(count: int) -> list[sycamoreloft_decisions.ClaimEntry]:
    """Creates claims of distinct requests."""
    return [
        sycamoreloft_decisions.ClaimEntry(
            number.to_bytes(16, "big"), b"f" * 16, f"attempt-{number}"
        )
        for number in range(count)
    ]


def _load_claims(count: int) -> sycamoreloft_decisions.ClaimRegistry:
    registry = sycamoreloft_decisions.ClaimRegistry(1)
    registry.handle(
        sycamoreloft_decisions.RowsLoaded(make_claim_entries(count)), 0.0
    )
    return registry


def measure_claim_memory() -> _slopes.Slope:
    """Measures the memory of the claims in a window, by claims."""
    values = [
        _slopes.measure_memory(functools.partial(_load_claims, count))
        for count in CLAIM_SIZES
    ]
    return _slopes.fit_slope("claim-memory", "B", "claims", CLAIM_SIZES, values)


def measure_claim_load_time() -> _slopes.Slope:
    """Measures the processor time to load the claims when a holder starts."""
    values = [
        _slopes.measure_time(functools.partial(_load_claims, count), 1, 3)
        for count in CLAIM_SIZES
    ]
    return _slopes.fit_slope(
        "claim-load-time", "s", "claims", CLAIM_SIZES, values
    )


def measure_row_bytes() -> _slopes.Slope:
    """Measures the encoded size of all group rows, by groups."""
    values = []
    for groups in GROUP_SIZES:
        rows = {
            f"group/sledworks/domain-{number}/0": {
                "version": 12,
                "request": "0" * 32,
                "value": sycamoreloft_decisions.encode_group_row(
                    sycamoreloft_decisions.GroupRow(
                        sycamoreloft_config.GroupName(
                            "sledworks", f"domain-{number}", 0
                        ),
                        3,
                        "host-0001",
                        "0" * 18,
                        "host-0002",
                        9,
                        100,
                    )
                ),
            }
            for number in range(groups)
        }
        values.append(float(len(json.dumps(rows))))
    return _slopes.fit_slope(
        "group-rows-bytes", "B", "groups", GROUP_SIZES, values
    )


def measure_accept_time() -> _slopes.Slope:
    """Measures the processor time to handle all group rows once, by groups."""
    values = []
    for groups in GROUP_SIZES:
        names = [f"sledworks/domain-{number}/0" for number in range(groups)]
        rows = {name: acceptance.GroupRow(3, "host-0001", 1) for name in names}
        head = acceptance.HeadRow(
            acceptance.GenerationRecord(
                1, "r", {"fleet/sledworks": "0" * 64}, names
            )
        )
        machine = acceptance.Acceptance("host-0001", lambda: "r2")
        machine.handle(acceptance.HeadRead(5, head), 0.0)
        rows_read = acceptance.GroupRowsRead(5, rows)
        values.append(
            _slopes.measure_time(
                functools.partial(machine.handle, rows_read, 1.0), 50
            )
        )
    return _slopes.fit_slope("accept-time", "s", "groups", GROUP_SIZES, values)


#: Measurements of this module, which `make capacity` runs in this order.
MEASUREMENTS: abc.Sequence[abc.Callable[[], _slopes.Slope]] = (
    measure_holder_time,
    measure_holder_time_by_partitions,
    measure_holder_memory,
    measure_claim_memory,
    measure_claim_load_time,
    measure_row_bytes,
    measure_accept_time,
)
