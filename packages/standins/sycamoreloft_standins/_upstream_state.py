"""State of one stand-in upstream and its log."""

import asyncio
from collections import abc
import dataclasses
import itertools
import json
import pathlib
import random
import time
import typing
import uuid

from sycamoreloft_standins import _grants, _slots, _specs


class RunLog:
    """JSON lines of one process, flushed one by one.

    A line that was written survives the kill of the process, because the
    kernel holds it.
    """

    def __init__(self, path: pathlib.Path | None) -> None:
        self._file = path.open("a") if path else None

    def write(self, kind: str, fields: abc.Mapping[str, typing.Any]) -> None:
        """Writes one line."""
        if self._file is None:
            return
        line = json.dumps({"kind": kind, **fields}, separators=(",", ":"))
        self._file.write(line + "\n")
        self._file.flush()


@dataclasses.dataclass(frozen=True, slots=True)
class Hint:
    """What the health and load endpoints knew at one time."""

    #: Time on the machine's monotonic clock.
    at: float
    #: Requests that hold a slot.
    running: int
    #: Requests that wait for a slot.
    waiting: int


class UpstreamState:
    """What the handlers of one upstream share."""

    def __init__(
        self,
        spec: _specs.UpstreamSpec,
        keys: abc.Mapping[str, str],
        log: RunLog,
        seed: int = 0,
    ) -> None:
        self.spec = spec
        self.keys = keys
        self.log = log
        self.faults = _specs.UpstreamFaults()
        self.random = random.Random(f"{seed}/{spec.fleet}/{spec.name}")
        self.incarnation = uuid.uuid4().hex
        self.grants = _grants.GrantBook(self.incarnation, spec.checks_fences)
        self.desk = _slots.SlotDesk(spec.slots, spec.queue)
        self.started_at = time.monotonic()
        self._run_numbers = itertools.count(1)
        self._open_gate = asyncio.Event()
        self._open_gate.set()
        self._hints: list[Hint] = [Hint(self.started_at, 0, 0)]
        self._logged_contents: dict[str, tuple[int, int]] = {}

    @property
    def identity(self) -> str:
        """Name of the upstream as "fleet/name"."""
        return f"{self.spec.fleet}/{self.spec.name}"

    def read_clock(self) -> float:
        """Reads the upstream's own monotonic clock."""
        elapsed = time.monotonic() - self.started_at
        return 1000.0 + elapsed * self.spec.clock_rate

    def convert_to_shared(self, clock: float) -> float:
        """Converts a reading of the own clock to the machine's clock."""
        return self.started_at + (clock - 1000.0) / self.spec.clock_rate

    def record(self, kind: str, **fields: typing.Any) -> None:
        """Writes a line of the log with both clocks."""
        self.log.write(
            kind,
            {
                "upstream": self.identity,
                "incarnation": self.incarnation,
                "shared": time.monotonic(),
                "own": self.read_clock(),
                **fields,
            },
        )

    def record_grant(self, group: str, clock: float) -> None:
        """Writes the grant that was accepted at a reading of the own clock.

        The content is written only when it changed, because renewals come
        five times a second.
        """
        grant = self.grants.get_grant(group)
        if grant is None:
            return
        content = (grant.epoch, grant.version)
        changed = self._logged_contents.get(group) != content
        self._logged_contents[group] = content
        self.record(
            "grant",
            at=self.convert_to_shared(clock),
            group=group,
            epoch=grant.epoch,
            version=grant.version,
            until=self.convert_to_shared(grant.until),
            partitions=grant.partitions if changed else None,
            hot_keys=grant.hot_keys if changed else None,
        )

    def make_run_name(self) -> str:
        """Returns a name for a run, unique among all processes."""
        return f"{self.incarnation[:12]}-{next(self._run_numbers)}"

    def draw(self, share: float) -> bool:
        """Decides by chance whether a fault with this share happens."""
        return share > 0.0 and self.random.random() < share

    async def pass_gate(self) -> None:
        """Waits while the upstream is frozen."""
        await self._open_gate.wait()

    def freeze(self, duration_s: float) -> None:
        """Answers nothing for a while, then goes on."""
        self._open_gate.clear()
        asyncio.get_running_loop().call_later(duration_s, self.thaw)

    def thaw(self) -> None:
        """Ends a freeze."""
        self._open_gate.set()

    def count_work_ms(self, asked_ms: float | None) -> float:
        """Returns the service time of a request."""
        work_ms = self.spec.work_ms if asked_ms is None else asked_ms
        if time.monotonic() - self.started_at < self.spec.cold_s:
            work_ms += self.spec.cold_ms
        return work_ms + self.faults.slow_ms

    def observe(self) -> Hint:
        """Remembers the load and returns it as old as the lag demands."""
        now = time.monotonic()
        self._hints.append(Hint(now, self.desk.running, self.desk.waiting))
        visible_at = now - self.faults.hints_lag_s
        while len(self._hints) > 1 and self._hints[1].at <= visible_at:
            self._hints.pop(0)
        return self._hints[0]
