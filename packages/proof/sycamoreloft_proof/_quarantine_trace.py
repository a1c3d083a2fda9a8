"""Simulates requests that crash upstreams, with a virtual clock."""

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

#: Time from a crash until hosts see the broken connections, in seconds; also
#: the time until they see that a crashed upstream refuses a connection.
BROKEN_CONNECTION_S = 0.001

#: Time from a crash until the group holder detects it, in seconds.
LOSS_DETECTION_S = 0.5

#: Time from a crash until the upstream serves again, in seconds.
RESTART_S = 2.0

#: Time until suspects reach the holders in the other failure domains, in
#: seconds.
GOSSIP_DELAY_S = 0.3

#: Time after which a caller repeats a request that did not complete, in
#: seconds.
RESEND_DELAY_S = 0.05

#: Time from a send to its deadline, in seconds.
DEADLINE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of a simulated trace."""

    #: Time in which callers send new requests, in seconds.
    seconds: float = 20.0
    #: Number of failure domains, each of which has one group.
    domains: int = 3
    #: Number of upstreams in each failure domain.
    upstreams: int = 6
    #: Slots of each upstream: requests that it runs at the same time.
    slots: int = 4
    #: Mean service time, in seconds.
    service_s: float = 0.030
    #: Arrival rate of innocent requests as a share of the capacity.
    load: float = 0.3
    #: Share of the innocent requests that differ from the crashing request only
    #: in the body.
    look_alike_share: float = 0.05
    #: Number of copies of the crashing request that callers send repeatedly.
    copies: int = 1
    #: Seed of all random choices.
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Measurements of a trace."""

    #: Number of upstream crashes by number of the failure domain.
    losses: abc.Mapping[int, int]
    #: How often callers sent the crashing request.
    crashing_sends: int
    #: How often the crashing request was refused as quarantined.
    crashing_refusals: int
    #: Number of innocent requests, including `look_alikes`.
    innocent_requests: int
    #: Number of innocent requests that differ from the crashing request only in
    #: the body.
    look_alikes: int
    #: How often an innocent request was in flight on an upstream that crashed.
    bystanders: int
    #: How often an innocent request was refused as quarantined.
    innocent_refusals: int
    #: Number of innocent requests that completed, after retries if needed.
    innocent_completions: int


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    """A request that its caller repeats until it completes."""

    fingerprint: bytes
    crashes: bool
    domain: int
    sends: int = 0


def compute_fingerprint(body: bytes) -> bytes:
    """Returns the fingerprint of a POST request, which depends on its body."""
    parts = ("sledworks", "steward-reel", "POST", "/reels", "", len(body))
    digest = hashlib.sha256("\0".join(map(str, parts)).encode() + body)
    return digest.digest()[:16]


class _Trace:
    """Simulates one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._generator = random.Random(scenario.seed)
        self._queue = _overload_trace.EventQueue()
        self._numbers = itertools.count()
        self._upstream_names = tuple(
            f"u{number}" for number in range(scenario.upstreams)
        )
        self._issuers = [
            sycamoreloft_decisions.PermitIssuer(
                random.Random(scenario.seed + domain + 1), 0.0, fresh=True
            )
            for domain in range(scenario.domains)
        ]
        self._requests_by_permit: dict[str, _Request] = {}
        self._permits_in_flight: dict[tuple[int, str], dict[str, None]] = {
            (domain, name): {}
            for domain in range(scenario.domains)
            for name in self._upstream_names
        }
        self._down: set[tuple[int, str]] = set()
        self._losses: collections.Counter[int] = collections.Counter()
        self._counts: collections.Counter[str] = collections.Counter()
        for domain, name in self._permits_in_flight:
            self._handle(
                domain,
                sycamoreloft_decisions.UpstreamAvailable(name, scenario.slots),
            )

    def run(self) -> Figures:
        """Simulates the scenario and returns its measurements."""
        scenario = self._scenario
        self._queue.call_at(0.0, self._arrive)
        self._queue.call_at(0.0, self._tick)
        crashing = compute_fingerprint(b"crash")
        for number in range(scenario.copies):
            request = _Request(crashing, True, number % scenario.domains)
            self._queue.call_at(
                1.0, functools.partial(self._send_request, request)
            )
        self._queue.run(scenario.seconds + 5.0)
        counts = self._counts
        return Figures(
            losses=dict(self._losses),
            crashing_sends=counts["crashing sends"],
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
        for command in self._issuers[domain].handle(event, self._queue.now):
            if isinstance(command, sycamoreloft_decisions.IssuePermit):
                self._send_to_upstream(domain, command)
            elif isinstance(command, sycamoreloft_decisions.RefusePermit):
                self._handle_refusal(command)
            elif isinstance(command, sycamoreloft_decisions.ShareSuspects):
                self._share_suspects(domain, command)

    def _share_suspects(
        self, domain: int, command: sycamoreloft_decisions.ShareSuspects
    ) -> None:
        suspects = sycamoreloft_decisions.SuspectsReported(
            command.fingerprints, command.guilty
        )
        for other in range(self._scenario.domains):
            if other != domain:
                self._queue.call_at(
                    self._queue.now + GOSSIP_DELAY_S,
                    functools.partial(self._handle, other, suspects),
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
        next_arrival_at = self._queue.now + self._generator.expovariate(rate)
        if next_arrival_at < scenario.seconds:
            self._queue.call_at(next_arrival_at, self._arrive)
        self._counts["innocent requests"] += 1
        number = next(self._numbers)
        fingerprint = number.to_bytes(16, "big")
        if self._generator.random() < scenario.look_alike_share:
            self._counts["look-alikes"] += 1
            # The body is as long as the crashing one; only its bytes differ.
            fingerprint = compute_fingerprint(number.to_bytes(5, "big"))
        domain = self._generator.randrange(scenario.domains)
        self._send_request(_Request(fingerprint, False, domain))

    def _send_request(self, request: _Request) -> None:
        if request.crashes:
            if self._queue.now >= self._scenario.seconds:
                return
            self._counts["crashing sends"] += 1
            # The platform's load balancer picks any domain for a repetition.
            request.domain = self._generator.randrange(self._scenario.domains)
        request.sends += 1
        permit = f"p{next(self._numbers)}"
        self._requests_by_permit[permit] = request
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
                candidates=self._upstream_names,
            ),
        )

    def _resend_later(self, request: _Request) -> None:
        self._queue.call_at(
            self._queue.now + RESEND_DELAY_S,
            lambda: self._send_request(request),
        )

    def _handle_refusal(
        self, command: sycamoreloft_decisions.RefusePermit
    ) -> None:
        request = self._requests_by_permit.pop(command.permit)
        if command.reason is sycamoreloft_decisions.RefusalReason.QUARANTINED:
            kind = "crashing" if request.crashes else "innocent"
            self._counts[f"{kind} refusals"] += 1
        self._resend_later(request)

    def _send_to_upstream(
        self, domain: int, issued: sycamoreloft_decisions.IssuePermit
    ) -> None:
        upstream_id = (domain, issued.upstream)
        permit = issued.permit
        if upstream_id in self._down:
            self._queue.call_at(
                self._queue.now + BROKEN_CONNECTION_S,
                lambda: self._return_permit(domain, permit, "did-not-run"),
            )
            return
        self._permits_in_flight[upstream_id][permit] = None
        service_s = self._generator.expovariate(1 / self._scenario.service_s)
        self._queue.call_at(
            self._queue.now + service_s,
            lambda: self._finish(upstream_id, permit, service_s),
        )

    def _finish(
        self, upstream_id: tuple[int, str], permit: str, service_s: float
    ) -> None:
        if permit not in self._permits_in_flight[upstream_id]:
            return
        if self._requests_by_permit[permit].crashes:
            self._crash(upstream_id)
            return
        del self._permits_in_flight[upstream_id][permit]
        del self._requests_by_permit[permit]
        self._counts["innocent completions"] += 1
        self._handle(
            upstream_id[0],
            sycamoreloft_decisions.PermitReturned(
                permit, "completed", service_s
            ),
        )

    def _crash(self, upstream_id: tuple[int, str]) -> None:
        domain, name = upstream_id
        now = self._queue.now
        self._losses[domain] += 1
        self._down.add(upstream_id)
        broken_permits, self._permits_in_flight[upstream_id] = (
            self._permits_in_flight[upstream_id],
            {},
        )
        for permit in broken_permits:
            self._counts["bystanders"] += not self._requests_by_permit[
                permit
            ].crashes
            self._queue.call_at(
                now + BROKEN_CONNECTION_S,
                functools.partial(
                    self._return_permit, domain, permit, "unknown"
                ),
            )
        lost = sycamoreloft_decisions.UpstreamLost(name, ended=False)
        self._queue.call_at(
            now + LOSS_DETECTION_S, lambda: self._handle(domain, lost)
        )
        self._queue.call_at(now + RESTART_S, lambda: self._restart(upstream_id))

    def _restart(self, upstream_id: tuple[int, str]) -> None:
        domain, name = upstream_id
        self._down.discard(upstream_id)
        self._handle(
            domain, sycamoreloft_decisions.UpstreamLost(name, ended=True)
        )
        self._handle(
            domain,
            sycamoreloft_decisions.UpstreamAvailable(
                name, self._scenario.slots, cold=True
            ),
        )

    def _return_permit(self, domain: int, permit: str, outcome: str) -> None:
        request = self._requests_by_permit.pop(permit)
        self._handle(
            domain,
            sycamoreloft_decisions.PermitReturned(
                permit, outcome, BROKEN_CONNECTION_S, connection_lost=True
            ),
        )
        self._resend_later(request)


def measure_quarantine(scenario: Scenario | None = None) -> Figures:
    """Simulates a scenario, by default the one with default parameters."""
    return _Trace(scenario or Scenario()).run()
