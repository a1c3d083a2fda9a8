"""Traces of overload, retries and choice, with a virtual clock."""

from collections import abc
import dataclasses
import enum
import heapq
import itertools
import random

import sycamoreloft_config
import sycamoreloft_decisions
import sycamoreloft_direct

#: Seconds between two ticks of the desk.
TICK_S = 0.05

#: Seconds until a host notices that an upstream refuses connections.
FAILURE_S = 0.001

#: Shape of the gamma distribution of service times; their standard deviation
#: is half of the mean.
SERVICE_SHAPE = 4.0

#: Hosts, each with a retry budget of its own.
HOSTS = 4

#: Share of a trace that is not measured, while limits and latencies settle.
WARM_UP = 0.2


class EventQueue:
    """Calls functions in the order of their virtual times."""

    def __init__(self) -> None:
        """Starts at time 0."""
        #: Virtual time, in seconds.
        self.now = 0.0
        self._calls: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_at(self, time: float, call: abc.Callable[[], None]) -> None:
        """Schedules a call."""
        heapq.heappush(self._calls, (time, next(self._numbers), call))

    def run(self, seconds: float) -> None:
        """Makes all calls up to a time."""
        while self._calls and self._calls[0][0] <= seconds:
            self.now, _, call = heapq.heappop(self._calls)
            call()


class Choice(enum.Enum):
    """How a request gets its upstream."""

    #: The desk compares two random candidates.
    TWO_RANDOM = "two-random"
    #: Each upstream in turn.
    ROTATION = "rotation"
    #: A random upstream that owns the request's key.
    KEYED = "keyed"


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A trace."""

    #: Arrivals as a multiple of the capacity of all upstreams.
    load: float
    #: Length, in seconds.
    seconds: float = 5.0
    #: Number of upstreams.
    upstreams: int = 4
    #: Slots of each upstream.
    slots: int = 6
    #: Mean service time, in seconds.
    service_s: float = 0.020
    #: Time from arrival to deadline, in seconds.
    deadline_s: float = 0.100
    #: Upstreams that refuse every connection.
    failing: int = 0
    #: Factor of the service time of the last upstream.
    slow_factor: float = 1.0
    #: How requests get their upstreams.
    choice: Choice = Choice.TWO_RANDOM
    #: Seed of arrivals and service times.
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What a trace measured after its warm-up."""

    #: Requests a second that arrived.
    arrivals_per_s: float
    #: Requests a second that completed before their deadline.
    goodput_per_s: float
    #: Requests that were sent to upstreams, for each one that arrived.
    sends_per_request: float
    #: Permits asked for, for each request that arrived.
    asks_per_request: float
    #: Latency at the 50th and 99th percentile of completed requests, seconds.
    median_s: float
    p99_s: float


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    """One request of a caller, and its present attempt."""

    number: int
    arrived_at: float
    deadline: float
    budget: sycamoreloft_direct.RetryBudget
    attempts: int = 0
    observed: sycamoreloft_decisions.Attempt | None = None


class _Trace:
    """Runs one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._generator = random.Random(scenario.seed)
        self._queue = EventQueue()
        self._names = tuple(f"u{each}" for each in range(scenario.upstreams))
        self._desk = sycamoreloft_decisions.PermitIssuer(
            random.Random(scenario.seed + 1), 0.0, fresh=True
        )
        for name in self._names:
            self._handle(
                sycamoreloft_decisions.UpstreamAvailable(name, scenario.slots)
            )
        self._budgets = [
            sycamoreloft_direct.RetryBudget() for _ in range(HOSTS)
        ]
        self._open: dict[str, _Request] = {}
        self._numbers = itertools.count()
        self._arrivals = 0
        self._asks = 0
        self._sends = 0
        self._latencies: list[float] = []

    def run(self) -> Figures:
        """Runs the scenario and returns its figures."""
        scenario = self._scenario
        self._queue.call_at(0.0, self._arrive)
        self._queue.call_at(TICK_S, self._tick)
        self._queue.run(scenario.seconds + scenario.deadline_s)
        measured_s = scenario.seconds * (1 - WARM_UP)
        latencies = sorted(self._latencies)
        return Figures(
            arrivals_per_s=self._arrivals / measured_s,
            goodput_per_s=len(latencies) / measured_s,
            sends_per_request=self._sends / self._arrivals,
            asks_per_request=self._asks / self._arrivals,
            median_s=latencies[len(latencies) // 2],
            p99_s=latencies[int(len(latencies) * 0.99)],
        )

    def _is_measured(self, request: _Request) -> bool:
        return request.arrived_at >= self._scenario.seconds * WARM_UP

    def _handle(self, event: sycamoreloft_decisions.PermitEvent) -> None:
        for command in self._desk.handle(event, self._queue.now):
            if isinstance(command, sycamoreloft_decisions.IssuePermit):
                self._send(command)
            elif isinstance(command, sycamoreloft_decisions.RefusePermit):
                request = self._open.pop(command.permit)
                self._observe(
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
        later = now + self._generator.expovariate(rate)
        if later < scenario.seconds:
            self._queue.call_at(later, self._arrive)
        number = next(self._numbers)
        budget = self._budgets[number % HOSTS]
        budget.record_request(now)
        request = _Request(number, now, now + scenario.deadline_s, budget)
        self._arrivals += self._is_measured(request)
        self._ask(request)

    def _ask(self, request: _Request) -> None:
        self._asks += self._is_measured(request)
        request.attempts += 1
        request.observed = sycamoreloft_decisions.Attempt(
            sycamoreloft_decisions.AttemptRules(), request.deadline
        )
        candidates = self._names
        keyed = self._scenario.choice is Choice.KEYED
        if keyed:
            candidates = (self._generator.choice(self._names),)
        elif self._scenario.choice is Choice.ROTATION:
            candidates = (self._names[request.number % len(self._names)],)
        permit = f"{request.number}/{request.attempts}"
        self._open[permit] = request
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
        request = self._open[issued.permit]
        now = self._queue.now
        self._sends += self._is_measured(request)
        self._observe(
            request, sycamoreloft_decisions.PermitReceived(now + issued.valid_s)
        )
        number = self._names.index(issued.upstream)
        if number < scenario.failing:
            self._queue.call_at(
                now + FAILURE_S, lambda: self._fail(issued.permit)
            )
            return
        service_s = self._generator.gammavariate(
            SERVICE_SHAPE, scenario.service_s / SERVICE_SHAPE
        )
        if number == len(self._names) - 1:
            service_s *= scenario.slow_factor
        end = min(now + service_s, request.deadline)
        completed = now + service_s <= request.deadline
        self._queue.call_at(
            end, lambda: self._end(issued.permit, end - now, completed)
        )

    def _fail(self, permit: str) -> None:
        request = self._open.pop(permit)
        self._handle(
            sycamoreloft_decisions.PermitReturned(
                permit, "did-not-run", FAILURE_S, connection_lost=True
            )
        )
        self._observe(request, sycamoreloft_decisions.ConnectionBroken())

    def _end(self, permit: str, latency_s: float, completed: bool) -> None:
        request = self._open.pop(permit)
        if completed and self._is_measured(request):
            self._latencies.append(self._queue.now - request.arrived_at)
        outcome = "completed" if completed else "unknown"
        self._handle(
            sycamoreloft_decisions.PermitReturned(permit, outcome, latency_s)
        )

    def _observe(
        self, request: _Request, event: sycamoreloft_decisions.AttemptEvent
    ) -> None:
        """Retries a request if outcome, budget and deadline allow it."""
        assert request.observed is not None
        now = self._queue.now
        decision = request.observed.handle(event, now)
        if (
            decision is None
            or not decision.retry_allowed
            or not request.budget.try_spend(now)
        ):
            return
        delay = sycamoreloft_decisions.compute_backoff(
            request.attempts, now, request.deadline, self._generator
        )
        if delay is not None:
            self._queue.call_at(now + delay, lambda: self._ask(request))


def run_scenario(scenario: Scenario) -> Figures:
    """Runs a trace."""
    return _Trace(scenario).run()


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadFigures:
    """Goodput under overload."""

    #: Figures at the capacity of the upstreams.
    at_capacity: Figures
    #: Figures at three times the capacity.
    overloaded: Figures

    @property
    def ratio(self) -> float:
        """Goodput under overload as a share of that at capacity."""
        return self.overloaded.goodput_per_s / self.at_capacity.goodput_per_s


def measure_overload(keyed: bool = False) -> OverloadFigures:
    """Compares three times the capacity with the capacity."""
    choice = Choice.KEYED if keyed else Choice.TWO_RANDOM
    return OverloadFigures(
        run_scenario(Scenario(load=1.0, choice=choice)),
        run_scenario(Scenario(load=3.0, choice=choice)),
    )


def measure_retries() -> Figures:
    """Lets half of the upstreams refuse connections at a moderate load."""
    return run_scenario(Scenario(load=0.3, failing=2, seconds=20.0))


def measure_keyed_retries() -> Figures:
    """Lets the owners of half of the keys refuse connections."""
    return run_scenario(
        Scenario(load=0.3, failing=2, seconds=20.0, choice=Choice.KEYED)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceFigures:
    """Two random candidates against each upstream in turn."""

    #: Figures with the desk's choice.
    two_random: Figures
    #: Figures with a rotation.
    rotation: Figures


def measure_choice() -> ChoiceFigures:
    """Compares the choices with one instance that is ten times slower."""
    scenario = Scenario(
        load=0.5, slow_factor=10.0, deadline_s=2.0, seconds=10.0
    )
    return ChoiceFigures(
        run_scenario(scenario),
        run_scenario(dataclasses.replace(scenario, choice=Choice.ROTATION)),
    )
