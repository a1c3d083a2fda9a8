"""Loads of upstreams that hosts tell each other through the coordinator."""

from collections import abc
import dataclasses
import zlib

import sycamoreloft_direct
from sycamoreloft_load import _reported_loads

#: Maximum number of loads in a message to hosts.
MAXIMUM_SHARED_LOADS = 256

#: Maximum number of loads in a message to the coordinator.
MAXIMUM_TOLD_LOADS = 8

#: Loads that all hosts together tell the coordinator at most, for each second.
#: Decoding and recording those of 110 hosts takes it 1.8 % of a core, and its
#: budget for control is 2.6 %.
TOLD_LOADS_PER_S = 2_000.0

#: Maximum number of runs that the coordinator keeps.
MAXIMUM_RUNS = 16_384

#: Length of an encoded load, in bytes.
ENCODED_BYTES = 13

#: Length of a message without its loads, with the headers of the network, in
#: bytes.
MESSAGE_BYTES = 80

#: Share of the coordinator's link that messages with loads may use.
LINK_SHARE = 0.1

#: Maximum bytes that a host receives in messages with loads, for each second.
#: With the other datagrams they stay below 3 KB/s.
RECEIVED_BYTES_PER_S = 2_200.0


@dataclasses.dataclass(frozen=True, slots=True)
class SharedLoad:
    """A load that an upstream reported to some host."""

    #: Number that stands for the run; see `compute_run_number`.
    run_number: int
    #: The reported load.
    load: sycamoreloft_direct.ReportedLoad
    #: Time since the report, in seconds.
    age_s: float

    @property
    def is_overloaded(self) -> bool:
        """Whether the upstream has more work than slots."""
        return self.load.running + self.load.waiting > self.load.slots


def compute_run_number(run: sycamoreloft_direct.UpstreamRun) -> int:
    """Returns a number of 32 bits that stands for a run in messages."""
    return zlib.crc32(f"{run.id}/{run.started_ms}".encode())


def index_runs(
    runs: abc.Iterable[sycamoreloft_direct.UpstreamRun],
) -> dict[int, sycamoreloft_direct.UpstreamRun]:
    """Returns runs by number, without those that share one."""
    index: dict[int, sycamoreloft_direct.UpstreamRun] = {}
    shared = set()
    for run in runs:
        number = compute_run_number(run)
        if index.setdefault(number, run) != run:
            shared.add(number)
    for number in shared:
        del index[number]
    return index


def compute_message_limit(
    hosts: int, link_mbps: float, interval_s: float
) -> int:
    """Returns how many loads a message from the coordinator may have.

    Args:
        hosts: Number of hosts that get the message.
        link_mbps: Bandwidth of the coordinator's link, in Mbit/s.
        interval_s: Time between two messages, in seconds.
    """
    link_bytes_per_s = link_mbps * 1e6 / 8 * LINK_SHARE / max(1, hosts)
    budget = min(link_bytes_per_s, RECEIVED_BYTES_PER_S) * interval_s
    count = int((budget - MESSAGE_BYTES) // ENCODED_BYTES)
    return min(max(0, count), MAXIMUM_SHARED_LOADS)


class LoadTeller:
    """Selects the loads that a host tells the coordinator."""

    def __init__(self) -> None:
        self._allowed = float(MAXIMUM_TOLD_LOADS)
        self._updated_at: float | None = None

    def select(
        self,
        heard: abc.Iterable[_reported_loads.HeardLoad],
        hosts: int,
        now: float,
    ) -> list[SharedLoad]:
        """Returns the loads to tell now, overloaded upstreams first.

        Args:
            heard: Loads that the host heard since the last call.
            hosts: Number of hosts, which share the rate; 0 if it is unknown.
            now: Time, in seconds.
        """
        rate = TOLD_LOADS_PER_S / max(1, hosts)
        if self._updated_at is not None:
            self._allowed = min(
                float(MAXIMUM_TOLD_LOADS),
                self._allowed + rate * (now - self._updated_at),
            )
        self._updated_at = now
        loads = [
            SharedLoad(compute_run_number(item.run), item.load, item.age_s)
            for item in heard
        ]
        loads.sort(key=lambda item: (not item.is_overloaded, item.age_s))
        selected = loads[: int(self._allowed)]
        self._allowed -= len(selected)
        return selected


@dataclasses.dataclass(slots=True)
class _KnownLoad:
    """The newest load of a run."""

    load: SharedLoad
    observed_at: float
    shared_at: float = 0.0


class SharedLoads:
    """The newest load of each run that any host heard."""

    def __init__(self) -> None:
        self._known: dict[int, _KnownLoad] = {}

    def add(self, loads: abc.Iterable[SharedLoad], now: float) -> None:
        """Adds loads that a host heard.

        Args:
            loads: The loads.
            now: Time, in seconds.
        """
        for load in loads:
            observed_at = now - load.age_s
            known = self._known.get(load.run_number)
            if known is None:
                if len(self._known) < MAXIMUM_RUNS:
                    self._known[load.run_number] = _KnownLoad(load, observed_at)
            elif known.observed_at < observed_at:
                known.load, known.observed_at = load, observed_at

    def choose(self, limit: int, now: float) -> tuple[SharedLoad, ...]:
        """Returns loads of overloaded upstreams to send to all hosts.

        Those that were sent the longest time ago come first, and among those
        the ones with the most work for their slots, so that all have their
        turn if not all fit.

        Args:
            limit: Maximum number of loads.
            now: Time, in seconds.
        """
        oldest = now - _reported_loads.MAXIMUM_AGE_S
        for number, known in list(self._known.items()):
            if known.observed_at <= oldest:
                del self._known[number]
        overloaded = [
            known
            for known in self._known.values()
            if known.load.is_overloaded and known.shared_at < known.observed_at
        ]
        overloaded.sort(key=_rank)
        chosen = overloaded[: min(limit, MAXIMUM_SHARED_LOADS)]
        for known in chosen:
            known.shared_at = now
        return tuple(
            dataclasses.replace(known.load, age_s=now - known.observed_at)
            for known in chosen
        )


def _rank(known: _KnownLoad) -> tuple[float, float]:
    load = known.load.load
    return known.shared_at, -(load.running + load.waiting) / max(1, load.slots)
