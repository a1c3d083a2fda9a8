"""Holds requests at this host until their upstream has room for them."""

import asyncio
from collections import abc
import logging
import math
import random

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _direct_requests,
    _direct_views,
    _exchange,
    _logs,
    _metrics,
)

_LOGGER = logging.getLogger(__name__)

_RESULT = sycamoreloft_load.AttemptResult
_VERDICT = sycamoreloft_load.Verdict

#: Returns the estimated number of requests at an upstream; None if unknown.
BacklogEstimate = abc.Callable[
    [sycamoreloft_load.UpstreamRecord, float], float | None
]

#: Minimum time between two decisions on a waiting request, in seconds.
MINIMUM_CHECK_S = 0.005

_Waiter = asyncio.Future[sycamoreloft_load.Decision]


class AdmissionGate:
    """Decides on the requests of one host, and lets them wait.

    Args:
        states: The desired state, which lists the kinds of requests.
        limits: Knows which upstreams are full.
        retry_times: Chooses when refused callers return.
        estimate_backlog: Estimates the requests at an upstream.
        metrics: Metrics of the process.
        loop: Event loop of the process.
        maximum_waiting: Maximum number of requests that wait.
    """

    def __init__(
        self,
        states: _direct_views.StateView,
        limits: sycamoreloft_load.ResetLimits,
        retry_times: sycamoreloft_load.RetryTimes,
        estimate_backlog: BacklogEstimate,
        metrics: _metrics.Metrics,
        loop: asyncio.AbstractEventLoop,
        maximum_waiting: int = sycamoreloft_load.MAXIMUM_WAITING,
    ) -> None:
        self._states = states
        self._version = -1
        self._estimate_backlog = estimate_backlog
        self._metrics = metrics
        self._loop = loop
        self._admission = sycamoreloft_load.Admission()
        self._line = sycamoreloft_load.WaitingLine(
            self._admission, maximum_waiting
        )
        self._waiters: dict[sycamoreloft_load.Ticket, _Waiter] = {}
        self._timers: dict[tuple[str, int], asyncio.TimerHandle] = {}
        self._records: dict[
            tuple[str, int], sycamoreloft_load.UpstreamRecord
        ] = {}
        self._is_stopping = False
        #: Services with an upstream whose backlog was known.
        self._reporting: set[str] = set()
        #: Knows which upstreams are full.
        self.limits = limits
        #: Chooses when refused callers return.
        self.retry_times = retry_times

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return len(self._line)

    def create_demand(
        self,
        request: "_direct_requests.DirectRequest",
        received: _exchange.ReceivedRequest,
        now: float,
    ) -> sycamoreloft_load.Demand:
        """Describes a request that has arrived, and counts it."""
        self._update_kinds()
        kind = _build_kind(request.route)
        is_repeat = self.retry_times.is_early(request.caller, kind.name, now)
        if not self.retry_times.take_return(request.caller, kind.name, now):
            # Repeats must not raise the number that is sent of the kind.
            self._admission.shares.record_arrival(
                request.service, kind.name, now
            )
        return sycamoreloft_load.Demand(
            request.service,
            kind,
            now,
            received.deadline,
            now + sycamoreloft_load.MAXIMUM_HOLD_SHARE * kind.latency_target_s,
            request.route.kind is sycamoreloft_direct.RouteKind.IDEMPOTENT,
            is_repeat,
            len(received.prefix),
        )

    def may_enter(
        self,
        demand: sycamoreloft_load.Demand,
        record: sycamoreloft_load.UpstreamRecord,
        now: float,
    ) -> bool:
        """Returns whether a request is sent to an upstream without a wait."""
        if (
            not self._line
            and self.limits.has_room(record, now)
            and self._estimate_backlog(record, now) is None
        ):
            # Nothing is known of the upstream; most deployments end here.
            return True
        run = record.entry.key
        return (
            not self._line.is_overtaken(demand, run, now)
            and self._decide(demand, record, now).verdict is _VERDICT.SEND
        )

    def record_sent(self, demand: sycamoreloft_load.Demand, now: float) -> None:
        """Counts a request at its first attempt."""
        self._admission.shares.record_sent(
            demand.service, demand.kind.name, now
        )

    def estimate_wait_s(
        self, record: sycamoreloft_load.UpstreamRecord, now: float
    ) -> float:
        """Returns the expected wait at an upstream, in seconds."""
        if self._estimate_backlog(record, now) is None:
            return 0.0
        return self._describe(record, now).wait_s

    async def wait(
        self,
        demand: sycamoreloft_load.Demand,
        record: sycamoreloft_load.UpstreamRecord,
        request_id: str,
    ) -> str:
        """Waits until a request may be sent to an upstream.

        Cancelling the wait takes the request out of the line.

        Args:
            demand: The request.
            record: The upstream.
            request_id: Identifier of the request, for logs.

        Returns:
            Why the request is refused; empty if it is to be sent.
        """
        began_at = self._loop.time()
        run = record.entry.key
        decision = self._decide(demand, record, began_at)
        if decision.verdict is not _VERDICT.REFUSE:
            decision = await self._wait_in_line(demand, record, run, began_at)
        now = self._loop.time()
        self._metrics.observe(
            "sycamoreloft_admission_wait_seconds",
            now - began_at,
            demand.service,
            demand.kind.name,
        )
        if decision.verdict is _VERDICT.SEND:
            return ""
        self._log_refusal(demand, record, request_id, decision, now)
        return decision.reason

    async def _wait_in_line(
        self,
        demand: sycamoreloft_load.Demand,
        record: sycamoreloft_load.UpstreamRecord,
        run: tuple[str, int],
        now: float,
    ) -> sycamoreloft_load.Decision:
        ticket = sycamoreloft_load.Ticket(demand, run)
        waiter: _Waiter = self._loop.create_future()
        self._waiters[ticket] = waiter
        self._records[run] = record
        dropped = self._line.add(ticket, now)
        self._count_waiting()
        if dropped is not None:
            self._resolve(
                dropped,
                sycamoreloft_load.Decision(_VERDICT.REFUSE, "queue-full"),
            )
        self._check(run)
        try:
            return await waiter
        finally:
            # A granted request stays in the line up to here, so that no later
            # one takes its place before it is counted at the upstream.
            self._line.remove(ticket)
            del self._waiters[ticket]
            if self._line.find_first(run, now) is None:
                self._records.pop(run, None)
                self._cancel_timer(run)
            else:
                self._loop.call_soon(self._check, run)
            self._count_waiting()

    def record_result(
        self,
        demand: sycamoreloft_load.Demand,
        record: sycamoreloft_load.UpstreamRecord,
        result: sycamoreloft_load.AttemptResult,
        latency_s: float,
        wait_s: float,
    ) -> sycamoreloft_load.AttemptResult:
        """Records how an attempt ended; call it before the pool's `finish`.

        Args:
            demand: The request.
            record: The upstream.
            result: How the attempt ended.
            latency_s: Time that it took, in seconds.
            wait_s: Wait that was expected when it was sent, in seconds.

        Returns:
            The result to record in the pool; see `ResetLimits.record_result`.
        """
        now = self._loop.time()
        if result is _RESULT.ANSWERED:
            self.retry_times.record_answer(demand.service, now)
            self._admission.record_answer(demand, latency_s, wait_s)
        if self._line:
            run = record.entry.key
            self._loop.call_soon(self._check, run)
        return self.limits.record_result(record, result, now)

    def choose_retry_after_ms(
        self, demand: sycamoreloft_load.Demand, caller: str
    ) -> int | None:
        """Draws when a refused caller returns; None if no rate is known."""
        if not self._is_managed(demand.service):
            return None
        now = self._loop.time()
        retry_s = self.retry_times.choose_s(
            demand.service,
            self._line.count(demand.service),
            demand.deadline,
            now,
        )
        if retry_s is None:
            return None
        self.retry_times.record_refusal(caller, demand.kind.name, now + retry_s)
        return max(1, round(retry_s * 1000))

    def stop(self) -> None:
        """Lets all waiting requests go on, since the host stops."""
        self._is_stopping = True
        for run in list(self._records):
            self._check(run)

    def _is_managed(self, service: str) -> bool:
        """Returns whether the load of a service's upstreams is known."""
        return (
            service in self._reporting
            or service in self.limits.learned_services
        )

    def _update_kinds(self) -> None:
        """Reads the kinds of requests from a new desired state."""
        state = self._states.state
        if state is None or state.version == self._version:
            return
        self._version = state.version
        kinds: dict[str, list[sycamoreloft_load.Kind]] = {}
        for route in state.routes:
            for target in route.targets:
                if target.weight > 0:
                    kinds.setdefault(target.service, []).append(
                        _build_kind(route)
                    )
        self._admission.set_kinds(kinds)

    def _describe(
        self, record: sycamoreloft_load.UpstreamRecord, now: float
    ) -> sycamoreloft_load.Candidate:
        backlog = self._estimate_backlog(record, now)
        if backlog is not None:
            self._reporting.add(record.entry.service)
        return sycamoreloft_load.Candidate(
            backlog,
            record.entry.slots,
            self._admission.get_mean_work_s(record.entry.service),
            self.limits.has_room(record, now),
            self.limits.compute_wait_s(record, now),
        )

    def _decide(
        self,
        demand: sycamoreloft_load.Demand,
        record: sycamoreloft_load.UpstreamRecord,
        now: float,
    ) -> sycamoreloft_load.Decision:
        return self._admission.decide(
            demand,
            self._describe(record, now),
            now,
            self._is_stopping,
        )

    def _check(self, run: tuple[str, int]) -> None:
        """Decides again on the requests that wait for a run."""
        record = self._records.get(run)
        if record is None:
            return
        now = self._loop.time()
        tickets = self._line.list_waiting(run, now)
        if any(self._waiters[ticket].done() for ticket in tickets):
            # A granted request is not counted at the upstream yet. Once it is,
            # the others are decided on.
            return
        check_at = math.inf
        for ticket in tickets:
            decision = self._decide(ticket.demand, record, now)
            if decision.verdict is _VERDICT.WAIT:
                check_at = min(check_at, decision.check_at)
                continue
            self._resolve(ticket, decision)
            if decision.verdict is _VERDICT.SEND:
                return
        self._cancel_timer(run)
        if check_at < math.inf:
            self._timers[run] = self._loop.call_at(
                max(check_at, now + MINIMUM_CHECK_S), self._check, run
            )

    def _cancel_timer(self, run: tuple[str, int]) -> None:
        timer = self._timers.pop(run, None)
        if timer is not None:
            timer.cancel()

    def _count_waiting(self) -> None:
        self._metrics.set(
            "sycamoreloft_admission_waiting", value=float(len(self._line))
        )

    def _resolve(
        self,
        ticket: sycamoreloft_load.Ticket,
        decision: sycamoreloft_load.Decision,
    ) -> None:
        waiter = self._waiters.get(ticket)
        if waiter is not None and not waiter.done():
            waiter.set_result(decision)

    def _log_refusal(
        self,
        demand: sycamoreloft_load.Demand,
        record: sycamoreloft_load.UpstreamRecord,
        request_id: str,
        decision: sycamoreloft_load.Decision,
        now: float,
    ) -> None:
        candidate = self._describe(record, now)
        _logs.log_event(
            _LOGGER,
            logging.WARNING,
            "admission-refused",
            request=request_id,
            route=demand.kind.name,
            priority=demand.kind.priority,
            service=demand.service,
            upstream=record.entry.id,
            reason=decision.reason,
            backlog=candidate.backlog,
            expected_wait_s=round(candidate.wait_s, 4),
            in_flight=len(record.in_flight),
            waiting=len(self._line),
            is_repeat=demand.is_repeat,
            waited_s=round(now - demand.arrived_at, 4),
            left_s=round(demand.deadline - now, 4),
        )


def create_gate(
    states: _direct_views.StateView,
    pool: sycamoreloft_load.UpstreamPool,
    generator: random.Random,
    metrics: _metrics.Metrics,
) -> AdmissionGate:
    """Creates the gate of a host, on the running event loop."""
    return AdmissionGate(
        states,
        sycamoreloft_load.ResetLimits(generator),
        sycamoreloft_load.RetryTimes(generator),
        pool.estimate_backlog,
        metrics,
        asyncio.get_running_loop(),
    )


def _build_kind(route: sycamoreloft_direct.Route) -> sycamoreloft_load.Kind:
    return sycamoreloft_load.Kind(
        route.name, route.priority, route.latency_target_s
    )
