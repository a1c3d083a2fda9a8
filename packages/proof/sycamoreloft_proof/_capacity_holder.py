"""Costs of a group holder, its grants, its rows and its claims."""

from collections import abc
import functools
import json

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_decisions import acceptance
from sycamoreloft_proof import _capacity_models, _slopes

#: Upstreams of one group.
UPSTREAM_SIZES = (4, 8, 16, 32)

#: Partitions of one group.
PARTITION_SIZES = (256, 1_024, 4_096, 16_384)

#: Groups of the system.
GROUP_SIZES = (6, 24, 96, 384)

#: Claims in the window.
CLAIM_SIZES = (1_000, 5_000, 20_000, 50_000)

#: Time between two ticks, in seconds.
TICK_S = 0.05


class SettledHolder:
    """A group holder whose every command succeeds at once."""

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
        """Lets 50 ms pass."""
        self._now += TICK_S
        self._feed(
            sycamoreloft_decisions.MembersObserved({"host-1": self._now}, {})
        )
        self._feed(sycamoreloft_decisions.Tick())

    def _feed(self, event: sycamoreloft_decisions.Event) -> None:
        for command in self.machine.handle(event, self._now):
            self._answer(command)

    @functools.singledispatchmethod
    def _answer(self, command: sycamoreloft_decisions.Command) -> None:
        """Ignores commands that need no answer."""

    @_answer.register
    def _(self, command: sycamoreloft_decisions.ReadRows) -> None:
        self._feed(
            sycamoreloft_decisions.RowsRead(
                command.call, self._row, self._row_version, {}
            )
        )

    @_answer.register
    def _(self, command: sycamoreloft_decisions.WriteRows) -> None:
        self._row = command.row
        self._row_version += 1
        self._feed(
            sycamoreloft_decisions.WriteStored(command.call, self._row_version)
        )

    @_answer.register
    def _(self, command: sycamoreloft_decisions.SendGrant) -> None:
        self.grants += 1
        self._feed(
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

    @_answer.register
    def _(self, command: sycamoreloft_decisions.PauseUnit) -> None:
        self._feed(sycamoreloft_decisions.UnitDrained(command.unit))


def measure_holder_time() -> _slopes.Slope:
    """Processor time of a holder's machine for one second, by upstreams."""
    values = []
    for upstreams in UPSTREAM_SIZES:
        holder = SettledHolder(upstreams, 256)
        per_tick = _slopes.measure_time(holder.tick, 100)
        values.append(per_tick / TICK_S)
    return _slopes.fit_slope(
        "holder-time", "s/s", "upstreams", UPSTREAM_SIZES, values
    )


def measure_holder_time_by_partitions() -> _slopes.Slope:
    """Processor time of a holder's machine for one second, by partitions."""
    values = []
    for partitions in PARTITION_SIZES:
        holder = SettledHolder(6, partitions)
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
    """Memory of a holder's machine, by partitions."""
    values = [
        _slopes.measure_memory(functools.partial(SettledHolder, 6, count))
        for count in PARTITION_SIZES
    ]
    return _slopes.fit_slope(
        "holder-memory", "B", "partitions", PARTITION_SIZES, values
    )


def make_entries(count: int) -> list[sycamoreloft_decisions.ClaimEntry]:
    """Makes claims of different requests."""
    return [
        sycamoreloft_decisions.ClaimEntry(
            number.to_bytes(16, "big"), b"f" * 16, f"attempt-{number}"
        )
        for number in range(count)
    ]


def _load_claims(count: int) -> sycamoreloft_decisions.ClaimRegistry:
    book = sycamoreloft_decisions.ClaimRegistry(1)
    book.handle(sycamoreloft_decisions.RowsLoaded(make_entries(count)), 0.0)
    return book


def measure_claim_memory() -> _slopes.Slope:
    """Memory of the claims of a window, by their number."""
    values = [
        _slopes.measure_memory(functools.partial(_load_claims, count))
        for count in CLAIM_SIZES
    ]
    return _slopes.fit_slope("claim-memory", "B", "claims", CLAIM_SIZES, values)


def measure_claim_load_time() -> _slopes.Slope:
    """Processor time of loading the claims of a window after a takeover."""
    values = [
        _slopes.measure_time(functools.partial(_load_claims, count), 1, 3)
        for count in CLAIM_SIZES
    ]
    return _slopes.fit_slope(
        "claim-load-time", "s", "claims", CLAIM_SIZES, values
    )


def measure_row_bytes() -> _slopes.Slope:
    """Bytes of reading all group rows once, by groups."""
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
    """Processor time of handling one read of all group rows, by groups."""
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
        read = acceptance.GroupRowsRead(5, rows)
        values.append(
            _slopes.measure_time(
                functools.partial(machine.handle, read, 1.0), 50
            )
        )
    return _slopes.fit_slope("accept-time", "s", "groups", GROUP_SIZES, values)


#: Measurements of this module.
MEASUREMENTS: abc.Sequence[abc.Callable[[], _slopes.Slope]] = (
    measure_holder_time,
    measure_holder_time_by_partitions,
    measure_holder_memory,
    measure_claim_memory,
    measure_claim_load_time,
    measure_row_bytes,
    measure_accept_time,
)
