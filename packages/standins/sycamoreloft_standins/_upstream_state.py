"""State and log of a stand-in upstream."""

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
    """Log of one process as JSON lines, each flushed when written.

    After the flush a line is in the kernel, so that it is not lost if the
    process is killed.
    """

    def __init__(self, path: pathlib.Path | None) -> None:
        self._file = path.open("a") if path else None

    def write(self, kind: str, fields: abc.Mapping[str, typing.Any]) -> None:
        """Writes a line with the kind and the fields."""
        if self._file is None:
            return
        line = json.dumps({"kind": kind, **fields}, separators=(",", ":"))
        self._file.write(line + "\n")
        self._file.flush()


@dataclasses.dataclass(frozen=True, slots=True)
class Hint:
    """Load of the upstream at one time."""

    #: Time on the machine's monotonic clock, in seconds.
    observed_at: float
    #: Requests that hold a slot.
    running: int
    #: Requests that wait for a slot.
    waiting: int


class UpstreamState:
    """State that the handlers of one upstream share.

    Args:
        spec: Settings.
        keys: Secrets that sign grants, by key id.
        log: Log of the process.
        seed: Seed of the injected faults.
    """

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
        self.grants = _grants.GrantRegistry(
            self.incarnation, spec.checks_fences
        )
        self.slot_pool = _slots.SlotPool(spec.slots, spec.queue)
        self.started_at = time.monotonic()
        self._run_numbers = itertools.count(1)
        self._not_frozen = asyncio.Event()
        self._not_frozen.set()
        self._hints: list[Hint] = [Hint(self.started_at, 0, 0)]
        self._logged_versions: dict[str, tuple[int, int]] = {}

    @property
    def identity(self) -> str:
        """The upstream as "fleet/name"."""
        return f"{self.spec.fleet}/{self.spec.name}"

    def read_clock(self) -> float:
        """Returns the upstream's own monotonic clock in seconds.

        It starts at 1000 and runs `clock_rate` times as fast as the machine's.
        """
        elapsed = time.monotonic() - self.started_at
        return 1000.0 + elapsed * self.spec.clock_rate

    def convert_to_machine_clock(self, clock: float) -> float:
        """Converts a reading of the upstream's clock to the machine's clock."""
        return self.started_at + (clock - 1000.0) / self.spec.clock_rate

    def record(self, kind: str, **fields: typing.Any) -> None:
        """Logs an event with readings of both clocks."""
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
        """Logs the grant of a group that was just accepted.

        Fences are logged only when they changed, because renewals come five
        times a second.

        Args:
            group: Group of the grant.
            clock: When it was accepted, by the upstream's clock.
        """
        grant = self.grants.get_grant(group)
        if grant is None:
            return
        content_version = (grant.epoch, grant.version)
        changed = self._logged_versions.get(group) != content_version
        self._logged_versions[group] = content_version
        self.record(
            "grant",
            at=self.convert_to_machine_clock(clock),
            group=group,
            epoch=grant.epoch,
            version=grant.version,
            until=self.convert_to_machine_clock(grant.until),
            partitions=grant.partitions if changed else None,
            hot_keys=grant.hot_keys if changed else None,
        )

    def make_run_name(self) -> str:
        """Returns a name for the run of a request, unique across processes."""
        return f"{self.incarnation[:12]}-{next(self._run_numbers)}"

    def should_inject(self, share: float) -> bool:
        """Draws at random whether to inject a fault with this share."""
        return share > 0.0 and self.random.random() < share

    async def wait_while_frozen(self) -> None:
        """Waits while the upstream is frozen."""
        await self._not_frozen.wait()

    def freeze(self, duration_s: float) -> None:
        """Delays all answers until the duration has passed."""
        self._not_frozen.clear()
        asyncio.get_running_loop().call_later(duration_s, self.unfreeze)

    def unfreeze(self) -> None:
        """Ends a freeze."""
        self._not_frozen.set()

    def get_service_time_ms(self, requested_ms: float | None) -> float:
        """Returns the service time of a request in milliseconds.

        Args:
            requested_ms: Time that the request asks for, None for the
                upstream's default.
        """
        work_ms = self.spec.work_ms if requested_ms is None else requested_ms
        if time.monotonic() - self.started_at < self.spec.cold_s:
            work_ms += self.spec.cold_ms
        return work_ms + self.faults.slow_ms

    def observe_load(self) -> Hint:
        """Records the load and returns the one from `hints_lag_s` ago."""
        now = time.monotonic()
        self._hints.append(
            Hint(now, self.slot_pool.running, self.slot_pool.waiting)
        )
        visible_at = now - self.faults.hints_lag_s
        while len(self._hints) > 1 and self._hints[1].observed_at <= visible_at:
            self._hints.pop(0)
        return self._hints[0]
