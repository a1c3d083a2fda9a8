"""Fake upstreams and a fake store for the proof of ownership."""

from collections import abc
import dataclasses
import itertools
import typing

import sycamoreloft_decisions
from sycamoreloft_proof import _ownership_oracle

#: Recorded upstreams and fences by unit.
Records = dict[_ownership_oracle.UnitName, tuple[str, int]]

#: Longest one-way delay of the store without faults, in seconds.
STORE_DELAY_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    epoch: int
    version: int
    until: float
    content: abc.Mapping[_ownership_oracle.UnitName, int]


class FakeUpstream:
    """An upstream that follows the protocol of section 12.1.

    Args:
        name: Name of the upstream.
        checks_fences: Whether it rejects old epochs and compares fences.
        oracle: Oracle to report to.
        rate: Rate of its clock against true time.
        offset: Reading of its clock at true time 0.
    """

    #: Whether a grant is counted from its arrival instead of the reading; a
    #: planted fault.
    counts_from_arrival = False
    #: Whether it rejects a lower version inside an epoch. The page demands
    #: this of epochs only, so the machines must not depend on it.
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
        """Ends the process, which forgets everything."""
        self.is_alive = False
        self._grant = None
        self._oracle.note_nothing(self.name)

    def restart(self) -> None:
        """Starts a new process; its clock is the machine's clock."""
        self.crash()
        self.is_alive = True
        self.frozen_until = 0.0
        self._process += 1
        self._highest_epoch = 0

    def receive_grant(
        self, call: sycamoreloft_decisions.SendGrant, now: float
    ) -> tuple[bool, str, float, int, int, bool]:
        """Accepts or rejects a grant and returns the answer's fields."""
        clock = now * self._rate + self._offset
        accepted = self._accept(call, clock)
        if accepted and self._grant:
            until = (self._grant.until - self._offset) / self._rate
            self._oracle.note_grant(self.name, self._grant.content, now, until)
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
        """Starts a request if the grant allows it."""
        clock = now * self._rate + self._offset
        if self._grant is None or clock >= self._grant.until:
            return False
        content = self._grant.content
        held = content.get(
            (service, -1, key), content.get((service, partition, ""))
        )
        if held is None or (self.checks_fences and held != fence):
            return False
        self._oracle.note_run(service, key, fence, self.checks_fences)
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
            # The partition of a hot key does not matter to the upstream.
            content[service, -1, key] = fence
    return content


class FakeStore:
    """A table with serial transactions and the faults of the platform.

    Args:
        oracle: Oracle to report to.
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
        """Reads a row with its version, and all rows with a prefix."""
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
        """Puts rows if the version matches; returns the new version."""
        if self._rows.get(row_key, (0, None))[0] != row_version:
            return None
        for key, value in puts.items():
            self._rows[key] = (next(self._versions), value)
        for unit, (upstream, fence) in self.list_records().items():
            self.oracle.note_record(unit, upstream, fence)
        return self._rows[row_key][0]

    def put(self, key: str, value: typing.Any) -> None:
        """Puts a row as another group's holder would."""
        self._rows[key] = (next(self._versions), value)

    def list_records(self) -> Records:
        """Lists the recorded owners and fences by unit."""
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
