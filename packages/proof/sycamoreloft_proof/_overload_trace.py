"""Simulates overload, retries and upstream choice with a virtual clock."""

from collections import abc
import dataclasses
import enum
import heapq
import itertools
import random

import sycamoreloft_config
import sycamoreloft_decisions
import sycamoreloft_direct

#: Interval between two ticks of the permit issuer, in seconds.
TICK_S = 0.05

#: Time from a send until a host sees that the upstream refuses the connection,
#: in seconds.
REFUSED_CONNECTION_S = 0.001

#: Shape parameter of the gamma distribution of service times. With 4, the
#: standard deviation is half of the mean.
SERVICE_TIME_SHAPE = 4.0

#: Number of hosts, each of which has its own retry budget.
HOSTS = 4

#: Share of a trace at its start that is not measured, because limits and
#: latencies are still converging.
WARM_UP_SHARE = 0.2


class EventQueue:
    """Runs callbacks in the order of their virtual times."""

    def __init__(self) -> None:
        """Initializes the queue at virtual time 0."""
        #: Current virtual time, in seconds.
        self.now = 0.0
        self._calls: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_at(self, time: float, callback: abc.Callable[[], None]) -> None:
        """Schedules a callback at a virtual time in seconds."""
        heapq.heappush(self._calls, (time, next(self._numbers), callback))

    def run(self, until: float) -> None:
        """Runs all callbacks that are due until a virtual time, in seconds."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._calls)
            callback()


class UpstreamChoice(enum.Enum):
    """How the upstream of a request is chosen."""

    #: The permit issuer compares two random candidates.
    TWO_RANDOM = "two-random"
    #: Round robin over the upstreams.
    ROTATION = "rotation"
    #: Each request has a key that a random upstream owns.
    KEYED = "keyed"


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of a simulated trace."""

    #: Arrival rate as a multiple of the capacity of all upstreams.
    load: float
    #: Time in which requests arrive, in seconds.
    seconds: float = 5.0
    #: Number of upstreams.
    upstreams: int = 4
    #: Slots of each upstream: requests that it runs at the same time.
    slots: int = 6
    #: Mean service time, in seconds.
    service_s: float = 0.020
    #: Time from arrival to deadline, in seconds.
    deadline_s: float = 0.100
    #: Number of upstreams that refuse every connection.
    failing: int = 0
    #: Factor by which the service times of the last upstream are longer.
    slow_factor: float = 1.0
    #: How the upstream of each request is chosen.
    choice: UpstreamChoice = UpstreamChoice.TWO_RANDOM
    #: Seed of all random choices.
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Measurements of a trace, for requests that arrived after the warm-up."""

    #: Requests that arrived per second.
    arrivals_per_s: float
    #: Requests that completed before their deadline, per second.
    goodput_per_s: float
    #: Sends to upstreams, with retries, per request that arrived.
    sends_per_request: float
    #: Requested permits, one for each attempt, per request that arrived.
    attempts_per_request: float
    #: Latency of completed requests at the 50th and the 99th percentile, from
    #: arrival to completion, in seconds.
    median_s: float
    p99_s: float


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    """A request of a caller, with its current attempt."""

    number: int
    arrived_at: float
    deadline: float
    budget: sycamoreloft_direct.RetryBudget
    attempt_count: int = 0
    attempt: sycamoreloft_decisions.Attempt | None = None


class _Trace:
    """Simulates one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._generator = random.Random(scenario.seed)
        self._queue = EventQueue()
        self._upstream_names = tuple(
            f"u{number}" for number in range(scenario.upstreams)
        )
        self._issuer = sycamoreloft_decisions.PermitIssuer(
            random.Random(scenario.seed + 1), 0.0, fresh=True
        )
        for name in self._upstream_names:
            self._handle(
                sycamoreloft_decisions.UpstreamAvailable(name, scenario.slots)
            )
        self._budgets = [
            sycamoreloft_direct.RetryBudget() for _ in range(HOSTS)
        ]
        self._requests_by_permit: dict[str, _Request] = {}
        self._numbers = itertools.count()
        self._arrivals = 0
        self._attempts = 0
        self._sends = 0
        self._latencies: list[float] = []

    def run(self) -> Figures:
        """Simulates the scenario and returns its measurements."""
        scenario = self._scenario
        self._queue.call_at(0.0, self._arrive)
        self._queue.call_at(TICK_S, self._tick)
        self._queue.run(scenario.seconds + scenario.deadline_s)
        measured_s = scenario.seconds * (1 - WARM_UP_SHARE)
        latencies = sorted(self._latencies)
        return Figures(
            arrivals_per_s=self._arrivals / measured_s,
            goodput_per_s=len(latencies) / measured_s,
            sends_per_request=self._sends / self._arrivals,
            attempts_per_request=self._attempts / self._arrivals,
            median_s=latencies[len(latencies) // 2],
            p99_s=latencies[int(len(latencies) * 0.99)],
        )

    def _is_measured(self, request: _Request) -> bool:
        return request.arrived_at >= self._scenario.seconds * WARM_UP_SHARE

    def _handle(self, event: sycamoreloft_decisions.PermitEvent) -> None:
        for command in self._issuer.handle(event, self._queue.now):
            if isinstance(command, sycamoreloft_decisions.IssuePermit):
                self._send(command)
            elif isinstance(command, sycamoreloft_decisions.RefusePermit):
                request = self._requests_by_permit.pop(command.permit)
                self._handle_attempt_event(
                    request,
                    sycamoreloft_decisions.PermitDenied(str(command.reason)),
                )

    def _tick(self) -> None:
        self._handle(sycamoreloft_decisions.PermitTick())
        self._queue.call_at(self._queue.now + TICK_S, self._tick)

    def _arrive(self) -> None:
        scenario = self._scenario
        now = self._queue.now
        rate = scenario.load * (
            scenario.upstreams * scenario.slots / scenario.service_s
        )
        next_arrival_at = now + self._generator.expovariate(rate)
        if next_arrival_at < scenario.seconds:
            self._queue.call_at(next_arrival_at, self._arrive)
        number = next(self._numbers)
        budget = self._budgets[number % HOSTS]
        budget.record_request(now)
        request = _Request(number, now, now + scenario.deadline_s, budget)
        self._arrivals += self._is_measured(request)
        self._request_permit(request)

    def _request_permit(self, request: _Request) -> None:
        self._attempts += self._is_measured(request)
        request.attempt_count += 1
        request.attempt = sycamoreloft_decisions.Attempt(
            sycamoreloft_decisions.AttemptRules(), request.deadline
        )
        candidates = self._upstream_names
        keyed = self._scenario.choice is UpstreamChoice.KEYED
        if keyed:
            candidates = (self._generator.choice(self._upstream_names),)
        elif self._scenario.choice is UpstreamChoice.ROTATION:
            candidates = (
                self._upstream_names[
                    request.number % len(self._upstream_names)
                ],
            )
        permit = f"{request.number}/{request.attempt_count}"
        self._requests_by_permit[permit] = request
        self._handle(
            sycamoreloft_decisions.PermitRequested(
                permit=permit,
                host=f"h{request.number % HOSTS}",
                fleet="sledworks",
                service="paddock-ledger",
                key="k" if keyed else "",
                partition=request.number % 256 if keyed else -1,
                fingerprint=request.number.to_bytes(16, "big"),
                caller=f"c{request.number % 20}",
                priority=sycamoreloft_config.Priority.NORMAL,
                deadline=request.deadline,
                candidates=candidates,
            )
        )

    def _send(self, issued: sycamoreloft_decisions.IssuePermit) -> None:
        scenario = self._scenario
        request = self._requests_by_permit[issued.permit]
        now = self._queue.now
        self._sends += self._is_measured(request)
        self._handle_attempt_event(
            request, sycamoreloft_decisions.PermitReceived(now + issued.valid_s)
        )
        number = self._upstream_names.index(issued.upstream)
        if number < scenario.failing:
            self._queue.call_at(
                now + REFUSED_CONNECTION_S,
                lambda: self._refuse_connection(issued.permit),
            )
            return
        service_s = self._generator.gammavariate(
            SERVICE_TIME_SHAPE, scenario.service_s / SERVICE_TIME_SHAPE
        )
        if number == len(self._upstream_names) - 1:
            service_s *= scenario.slow_factor
        ends_at = min(now + service_s, request.deadline)
        completed = now + service_s <= request.deadline
        self._queue.call_at(
            ends_at,
            lambda: self._finish(issued.permit, ends_at - now, completed),
        )

    def _refuse_connection(self, permit: str) -> None:
        request = self._requests_by_permit.pop(permit)
        self._handle(
            sycamoreloft_decisions.PermitReturned(
                permit,
                "did-not-run",
                REFUSED_CONNECTION_S,
                connection_lost=True,
            )
        )
        self._handle_attempt_event(
            request, sycamoreloft_decisions.ConnectionBroken()
        )

    def _finish(self, permit: str, latency_s: float, completed: bool) -> None:
        request = self._requests_by_permit.pop(permit)
        if completed and self._is_measured(request):
            self._latencies.append(self._queue.now - request.arrived_at)
        outcome = "completed" if completed else "unknown"
        self._handle(
            sycamoreloft_decisions.PermitReturned(permit, outcome, latency_s)
        )

    def _handle_attempt_event(
        self, request: _Request, event: sycamoreloft_decisions.AttemptEvent
    ) -> None:
        """Retries the request if the event, budget and deadline allow it."""
        assert request.attempt is not None
        now = self._queue.now
        decision = request.attempt.handle(event, now)
        if (
            decision is None
            or not decision.retry_allowed
            or not request.budget.try_spend(now)
        ):
            return
        delay = sycamoreloft_decisions.compute_backoff(
            request.attempt_count, now, request.deadline, self._generator
        )
        if delay is not None:
            self._queue.call_at(
                now + delay, lambda: self._request_permit(request)
            )


def run_scenario(scenario: Scenario) -> Figures:
    """Simulates a scenario and returns its measurements."""
    return _Trace(scenario).run()


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadFigures:
    """Measurements of the same trace at capacity and under overload."""

    #: Measurements with arrivals at the capacity of the upstreams.
    at_capacity: Figures
    #: Measurements with arrivals at three times the capacity.
    overloaded: Figures

    @property
    def ratio(self) -> float:
        """Goodput under overload as a share of the goodput at capacity."""
        return self.overloaded.goodput_per_s / self.at_capacity.goodput_per_s


def measure_overload(keyed: bool = False) -> OverloadFigures:
    """Simulates arrivals at capacity and at three times the capacity.

    Args:
        keyed: Whether each request has a key that one upstream owns.
    """
    choice = UpstreamChoice.KEYED if keyed else UpstreamChoice.TWO_RANDOM
    return OverloadFigures(
        run_scenario(Scenario(load=1.0, choice=choice)),
        run_scenario(Scenario(load=3.0, choice=choice)),
    )


def measure_retries() -> Figures:
    """Simulates 30 % load while half of the upstreams refuse connections."""
    return run_scenario(Scenario(load=0.3, failing=2, seconds=20.0))


def measure_keyed_retries() -> Figures:
    """Simulates 30 % load while the owners of half of the keys refuse."""
    return run_scenario(
        Scenario(load=0.3, failing=2, seconds=20.0, choice=UpstreamChoice.KEYED)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceFigures:
    """Measurements of the same trace with two ways to choose upstreams."""

    #: Measurements if the permit issuer compares two random candidates.
    two_random: Figures
    #: Measurements with round robin over the upstreams.
    rotation: Figures


def measure_choice() -> ChoiceFigures:
    """Simulates both choices while one upstream is ten times slower."""
    scenario = Scenario(
        load=0.5, slow_factor=10.0, deadline_s=2.0, seconds=10.0
    )
    return ChoiceFigures(
        run_scenario(scenario),
        run_scenario(
            dataclasses.replace(scenario, choice=UpstreamChoice.ROTATION)
        ),
    )
