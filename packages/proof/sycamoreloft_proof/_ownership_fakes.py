"""Fake upstreams and a fake store for tests of ownership."""

from collections import abc
import dataclasses
import itertools
import typing

import sycamoreloft_decisions
from sycamoreloft_proof import _ownership_oracle

#: Stored owner and fence by unit.
Records = dict[_ownership_oracle.UnitName, tuple[str, int]]

#: Maximum one-way delay of the store without faults.
STORE_DELAY_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    epoch: int
    version: int
    until: float
    content: abc.Mapping[_ownership_oracle.UnitName, int]


class FakeUpstream:
    """An upstream that follows the protocol of section 12.1 of the design.

    Args:
        name: Name of the upstream.
        checks_fences: Whether it rejects old epochs and compares fences.
        oracle: Oracle that checks the accepted grants and the runs.
        rate: Rate of its clock relative to true time.
        offset: Reading of its clock at true time 0, in seconds.
    """

    #: Whether the lifetime of a grant starts at its arrival instead of at the
    #: clock reading that it carries; a fault that tests plant.
    counts_from_arrival = False
    #: Whether it rejects a lower version of the same epoch. The protocol
    #: requires only the check of epochs, so the machines must not depend on
    #: this one.
    checks_versions = True

    def __init__(
        self,
        name: str,
        checks_fences: bool,
        oracle: _ownership_oracle.OwnershipOracle,
        rate: float,
        offset: float,
    ) -> None:
        self.name = name
        self.checks_fences = checks_fences
        self.is_alive = True
        self.frozen_until = 0.0
        self.is_draining = False
        self._oracle = oracle
        self._rate = rate
        self._offset = offset
        self._process = 1
        self._highest_epoch = 0
        self._grant: _Grant | None = None

    def crash(self) -> None:
        """Ends the process, which loses its grant."""
        self.is_alive = False
        self._grant = None
        self._oracle.record_no_grant(self.name)

    def restart(self) -> None:
        """Starts a new process; its clock continues across the restart."""
        self.crash()
        self.is_alive = True
        self.frozen_until = 0.0
        self._process += 1
        self._highest_epoch = 0

    def receive_grant(
        self, call: sycamoreloft_decisions.SendGrant, now: float
    ) -> tuple[bool, str, float, int, int, bool]:
        """Accepts or rejects a grant.

        Returns:
            The fields of the answer: whether the grant was accepted, the
            incarnation, the clock reading in seconds, the highest epoch, the
            version of the content, and whether the upstream is draining.
        """
        clock = now * self._rate + self._offset
        accepted = self._accept(call, clock)
        if accepted and self._grant:
            until = (self._grant.until - self._offset) / self._rate
            self._oracle.record_grant(
                self.name, self._grant.content, now, until
            )
        self._highest_epoch = max(self._highest_epoch, call.epoch)
        return (
            accepted,
            self._format_incarnation(),
            clock,
            self._highest_epoch,
            self._grant.version if self._grant else 0,
            self.is_draining,
        )

    def run(
        self, service: str, key: str, partition: int, fence: int, now: float
    ) -> bool:
        """Starts a request and returns whether the grant permits it."""
        clock = now * self._rate + self._offset
        if self._grant is None or clock >= self._grant.until:
            return False
        content = self._grant.content
        held = content.get(
            (service, -1, key), content.get((service, partition, ""))
        )
        if held is None or (self.checks_fences and held != fence):
            return False
        self._oracle.record_run(service, key, fence, self.checks_fences)
        return True

    def _accept(
        self, call: sycamoreloft_decisions.SendGrant, clock: float
    ) -> bool:
        if call.incarnation != self._format_incarnation():
            return False
        if call.clock_reading is None or call.clock_reading > clock:
            return False
        grant = self._grant
        if self.checks_fences and call.epoch < self._highest_epoch:
            return False
        is_same_epoch = grant is not None and grant.epoch == call.epoch
        if self.checks_versions and is_same_epoch:
            assert grant is not None
            if call.version < grant.version:
                return False
        start = clock if self.counts_from_arrival else call.clock_reading
        until = start + call.lifetime_ms / 1000
        content: abc.Mapping[_ownership_oracle.UnitName, int]
        if call.partitions is None:
            if not (is_same_epoch and grant and grant.version == call.version):
                return False
            content = grant.content
        else:
            content = _merge_content(call)
        self._grant = _Grant(call.epoch, call.version, until, content)
        return True

    def _format_incarnation(self) -> str:
        return f"{self.name}-{self._process}"


def _merge_content(
    call: sycamoreloft_decisions.SendGrant,
) -> dict[_ownership_oracle.UnitName, int]:
    content: dict[_ownership_oracle.UnitName, int] = {}
    for service, fences in (call.partitions or {}).items():
        for partition, fence in fences.items():
            content[service, partition, ""] = fence
    for service, keys in call.hot_keys.items():
        for key, fence in keys.items():
            # An upstream finds a hot key without its partition.
            content[service, -1, key] = fence
    return content


class FakeStore:
    """A table with serial transactions and the platform's faults.

    Args:
        oracle: Oracle that checks the stored owners.
    """

    def __init__(self, oracle: _ownership_oracle.OwnershipOracle) -> None:
        self.oracle = oracle
        self._rows: dict[str, tuple[int, typing.Any]] = {}
        self._versions = itertools.count(1)
        self.is_down = False
        self.maximum_delay_s = STORE_DELAY_S
        self.lost_answer_share = 0.0

    def heal(self) -> None:
        """Ends all faults."""
        self.is_down = False
        self.maximum_delay_s = STORE_DELAY_S
        self.lost_answer_share = 0.0

    def read(
        self, row_key: str, prefix: str
    ) -> tuple[typing.Any, int, dict[str, typing.Any]]:
        """Returns a row, its version, and all rows with a prefix."""
        version, row = self._rows.get(row_key, (0, None))
        rows = {
            key: value
            for key, (_, value) in self._rows.items()
            if key.startswith(prefix)
        }
        return row, version, rows

    def write(
        self,
        row_key: str,
        row_version: int,
        puts: abc.Mapping[str, typing.Any],
    ) -> int | None:
        """Stores rows if the version of a row matches.

        Returns:
            The new version of that row, None if its version differed.
        """
        if self._rows.get(row_key, (0, None))[0] != row_version:
            return None
        for key, value in puts.items():
            self._rows[key] = (next(self._versions), value)
        for unit, (upstream, fence) in self.list_records().items():
            self.oracle.record_assignment(unit, upstream, fence)
        return self._rows[row_key][0]

    def put(self, key: str, value: typing.Any) -> None:
        """Stores a row unconditionally, as another group's holder would."""
        self._rows[key] = (next(self._versions), value)

    def list_records(self) -> Records:
        """Returns the stored owners and fences by unit."""
        records: Records = {}
        for key, (_, value) in self._rows.items():
            if not key.startswith("assign/"):
                continue
            service, chunk = key.split("/")[-2:]
            for upstream, units, fences in zip(
                value["upstreams"],
                value["units"],
                value["fences"],
                strict=True,
            ):
                for unit, fence in zip(units, fences, strict=True):
                    name = (
                        (service, -1, unit)
                        if chunk == "hot"
                        else (service, unit, "")
                    )
                    records[name] = (upstream, fence)
        return records
