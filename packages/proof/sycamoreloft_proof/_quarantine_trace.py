"""Trace of a request that crashes each upstream, with a virtual clock."""

import collections
from collections import abc
import dataclasses
import functools
import hashlib
import itertools
import random

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_proof import _overload_trace

#: Seconds from a crash until hosts see the broken connections.
BREAK_S = 0.001

#: Seconds from a crash until the holder notices it.
NOTICE_S = 0.5

#: Seconds from a crash until the upstream answers again.
RESTART_S = 2.0

#: Seconds until a suspect notice reaches the other domains.
GOSSIP_S = 0.3

#: Seconds after which a caller sends a request again.
AGAIN_S = 0.05

#: Time from a send to its deadline, in seconds.
DEADLINE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A trace."""

    #: Length, in seconds.
    seconds: float = 20.0
    #: Failure domains, each with one group.
    domains: int = 3
    #: Upstreams of each domain.
    upstreams: int = 6
    #: Slots of each upstream.
    slots: int = 4
    #: Mean service time, in seconds.
    service_s: float = 0.030
    #: Innocent requests as a share of the capacity.
    load: float = 0.3
    #: Share of them that differs from the crashing one only by the body.
    look_alikes: float = 0.05
    #: Copies of the crashing request that its callers keep sending.
    copies: int = 1
    #: Seed of arrivals and service times.
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What a trace measured."""

    #: Upstreams lost by domain.
    losses: abc.Mapping[int, int]
    #: Sends of the crashing request by its callers.
    crashing_asks: int
    #: Refusals of the crashing request as quarantined.
    crashing_refusals: int
    #: Innocent requests, among them those that look alike.
    innocent_requests: int
    #: Innocent requests that differ only by the body.
    look_alikes: int
    #: Innocent requests that were in flight on a crashing upstream.
    bystanders: int
    #: Innocent requests refused as quarantined.
    innocent_refusals: int
    #: Innocent requests that completed at last.
    innocent_completions: int


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    """A request that its caller sends until it completes."""

    fingerprint: bytes
    crashes: bool
    domain: int
    sends: int = 0


def compute_fingerprint(body: bytes) -> bytes:
    """Returns the fingerprint of a post that differs only by its body."""
    parts = ("sledworks", "steward-reel", "POST", "/reels", "", len(body))
    digest = hashlib.sha256("\0".join(map(str, parts)).encode() + body)
    return digest.digest()[:16]


class _Trace:
    """Runs one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._generator = random.Random(scenario.seed)
        self._queue = _overload_trace.EventQueue()
        self._numbers = itertools.count()
        self._names = tuple(f"u{each}" for each in range(scenario.upstreams))
        self._desks = [
            sycamoreloft_decisions.PermitIssuer(
                random.Random(scenario.seed + domain + 1), 0.0, fresh=True
            )
            for domain in range(scenario.domains)
        ]
        self._open: dict[str, _Request] = {}
        self._running: dict[tuple[int, str], dict[str, None]] = {
            (domain, name): {}
            for domain in range(scenario.domains)
            for name in self._names
        }
        self._down: set[tuple[int, str]] = set()
        self._losses: collections.Counter[int] = collections.Counter()
        self._counts: collections.Counter[str] = collections.Counter()
        for domain, name in self._running:
            self._handle(
                domain,
                sycamoreloft_decisions.UpstreamAvailable(name, scenario.slots),
            )

    def run(self) -> Figures:
        """Runs the scenario and returns its figures."""
        scenario = self._scenario
        self._queue.call_at(0.0, self._arrive)
        self._queue.call_at(0.0, self._tick)
        crashing = compute_fingerprint(b"crash")
        for number in range(scenario.copies):
            request = _Request(crashing, True, number % scenario.domains)
            self._queue.call_at(1.0, functools.partial(self._ask, request))
        self._queue.run(scenario.seconds + 5.0)
        counts = self._counts
        return Figures(
            losses=dict(self._losses),
            crashing_asks=counts["crashing asks"],
            crashing_refusals=counts["crashing refusals"],
            innocent_requests=counts["innocent requests"],
            look_alikes=counts["look-alikes"],
            bystanders=counts["bystanders"],
            innocent_refusals=counts["innocent refusals"],
            innocent_completions=counts["innocent completions"],
        )

    def _handle(
        self, domain: int, event: sycamoreloft_decisions.PermitEvent
    ) -> None:
        for command in self._desks[domain].handle(event, self._queue.now):
            if isinstance(command, sycamoreloft_decisions.IssuePermit):
                self._send(domain, command)
            elif isinstance(command, sycamoreloft_decisions.RefusePermit):
                self._refuse(command)
            elif isinstance(command, sycamoreloft_decisions.ShareSuspects):
                self._share(domain, command)

    def _share(
        self, domain: int, command: sycamoreloft_decisions.ShareSuspects
    ) -> None:
        notice = sycamoreloft_decisions.SuspectsReported(
            command.fingerprints, command.guilty
        )
        for other in range(self._scenario.domains):
            if other != domain:
                self._queue.call_at(
                    self._queue.now + GOSSIP_S,
                    functools.partial(self._handle, other, notice),
                )

    def _tick(self) -> None:
        for domain in range(self._scenario.domains):
            self._handle(domain, sycamoreloft_decisions.PermitTick())
        self._queue.call_at(
            self._queue.now + _overload_trace.TICK_S, self._tick
        )

    def _arrive(self) -> None:
        scenario = self._scenario
        capacity = scenario.domains * scenario.upstreams * scenario.slots
        rate = scenario.load * capacity / scenario.service_s
        later = self._queue.now + self._generator.expovariate(rate)
        if later < scenario.seconds:
            self._queue.call_at(later, self._arrive)
        self._counts["innocent requests"] += 1
        number = next(self._numbers)
        fingerprint = number.to_bytes(16, "big")
        if self._generator.random() < scenario.look_alikes:
            self._counts["look-alikes"] += 1
            # The same length as the crashing body, so only its bytes differ.
            fingerprint = compute_fingerprint(number.to_bytes(5, "big"))
        domain = self._generator.randrange(scenario.domains)
        self._ask(_Request(fingerprint, False, domain))

    def _ask(self, request: _Request) -> None:
        if request.crashes:
            if self._queue.now >= self._scenario.seconds:
                return
            self._counts["crashing asks"] += 1
            # The platform's load balancer spreads what a caller repeats.
            request.domain = self._generator.randrange(self._scenario.domains)
        request.sends += 1
        permit = f"p{next(self._numbers)}"
        self._open[permit] = request
        self._handle(
            request.domain,
            sycamoreloft_decisions.PermitRequested(
                permit=permit,
                host="h",
                fleet="sledworks",
                service="steward-reel",
                key="",
                partition=-1,
                fingerprint=request.fingerprint,
                caller="c",
                priority=sycamoreloft_config.Priority.NORMAL,
                deadline=self._queue.now + DEADLINE_S,
                candidates=self._names,
            ),
        )

    def _ask_later(self, request: _Request) -> None:
        self._queue.call_at(
            self._queue.now + AGAIN_S, lambda: self._ask(request)
        )

    def _refuse(self, command: sycamoreloft_decisions.RefusePermit) -> None:
        request = self._open.pop(command.permit)
        if command.reason is sycamoreloft_decisions.RefusalReason.QUARANTINED:
            kind = "crashing" if request.crashes else "innocent"
            self._counts[f"{kind} refusals"] += 1
        self._ask_later(request)

    def _send(
        self, domain: int, issued: sycamoreloft_decisions.IssuePermit
    ) -> None:
        place = (domain, issued.upstream)
        permit = issued.permit
        if place in self._down:
            self._queue.call_at(
                self._queue.now + BREAK_S,
                lambda: self._return(domain, permit, "did-not-run"),
            )
            return
        self._running[place][permit] = None
        service_s = self._generator.expovariate(1 / self._scenario.service_s)
        self._queue.call_at(
            self._queue.now + service_s,
            lambda: self._end(place, permit, service_s),
        )

    def _end(
        self, place: tuple[int, str], permit: str, service_s: float
    ) -> None:
        if permit not in self._running[place]:
            return
        if self._open[permit].crashes:
            self._crash(place)
            return
        del self._running[place][permit]
        del self._open[permit]
        self._counts["innocent completions"] += 1
        self._handle(
            place[0],
            sycamoreloft_decisions.PermitReturned(
                permit, "completed", service_s
            ),
        )

    def _crash(self, place: tuple[int, str]) -> None:
        domain, name = place
        now = self._queue.now
        self._losses[domain] += 1
        self._down.add(place)
        running, self._running[place] = self._running[place], {}
        for permit in running:
            self._counts["bystanders"] += not self._open[permit].crashes
            self._queue.call_at(
                now + BREAK_S,
                functools.partial(self._return, domain, permit, "unknown"),
            )
        lost = sycamoreloft_decisions.UpstreamLost(name, ended=False)
        self._queue.call_at(now + NOTICE_S, lambda: self._handle(domain, lost))
        self._queue.call_at(now + RESTART_S, lambda: self._restart(place))

    def _restart(self, place: tuple[int, str]) -> None:
        domain, name = place
        self._down.discard(place)
        self._handle(
            domain, sycamoreloft_decisions.UpstreamLost(name, ended=True)
        )
        self._handle(
            domain,
            sycamoreloft_decisions.UpstreamAvailable(
                name, self._scenario.slots, cold=True
            ),
        )

    def _return(self, domain: int, permit: str, outcome: str) -> None:
        request = self._open.pop(permit)
        self._handle(
            domain,
            sycamoreloft_decisions.PermitReturned(
                permit, outcome, BREAK_S, connection_lost=True
            ),
        )
        self._ask_later(request)


def measure_quarantine(scenario: Scenario | None = None) -> Figures:
    """Runs a trace."""
    return _Trace(scenario or Scenario()).run()
