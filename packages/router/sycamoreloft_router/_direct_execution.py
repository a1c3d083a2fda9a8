"""Serves one request of a caller on a direct host."""

import asyncio
import functools

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _answer_checks,
    _answer_forwarding,
    _answer_heads,
    _answers,
    _body_streams,
    _crash_watch,
    _direct_answers,
    _direct_logs,
    _direct_requests,
    _direct_services,
    _exchange,
    _headers,
    _transfer_types,
    _transfers,
    _upstream_choice,
)

_KIND = _transfer_types.FailureKind
_STOP = _exchange.StopReason
_RESULT = sycamoreloft_load.AttemptResult

#: Maximum number of attempts of one request, including those that did not reach
#: an upstream or were refused.
MAXIMUM_ATTEMPTS = 5


class DirectPath:
    """Creates the executions of requests; see `_exchange.RequestPath`.

    Args:
        services: Objects that all requests share.
    """

    def __init__(self, services: _direct_services.DirectServices) -> None:
        #: Objects that all requests share.
        self.services = services
        #: Metrics of the process.
        self.metrics = services.metrics
        #: Parses and routes requests.
        self.parser = _direct_requests.DirectParser(
            services.states, services.header_names
        )

    def create_execution(
        self,
        request: _direct_requests.DirectRequest,
        received: _exchange.ReceivedRequest,
        fields: _headers.RequestFields,
        sink: _exchange.AnswerSink,
    ) -> "DirectExecution":
        """Creates the execution of a request."""
        del fields
        return DirectExecution(self, request, received, sink)


class DirectExecution:
    """Serves one request with one or more attempts at upstreams.

    Args:
        path: Parser and objects that all requests share.
        request: The request.
        received: Body and deadline of the request.
        sink: Receives the answer.
    """

    __slots__ = (
        "_addresses",
        "_attempt_count",
        "_began_at",
        "_choice",
        "_crash_watch",
        "_is_caller_gone",
        "_may_have_run",
        "_obstacle",
        "_path",
        "_received",
        "_request",
        "_sent_to",
        "_services",
        "_sink",
        "_stop_reason",
        "_task",
        "_transfer",
    )

    def __init__(
        self,
        path: DirectPath,
        request: _direct_requests.DirectRequest,
        received: _exchange.ReceivedRequest,
        sink: _exchange.AnswerSink,
    ) -> None:
        self._path = path
        self._services = path.services
        self._request = request
        self._received = received
        self._sink = sink
        self._began_at = path.services.loop.time()
        self._choice = _upstream_choice.UpstreamChoice(
            path.services, request, received
        )
        self._crash_watch = _crash_watch.CrashWatch(
            path.services, request, received
        )
        # Addresses of the upstreams of the attempts so far.
        self._addresses: set[str] = set()
        # Whether the caller left while an attempt continues without it.
        self._is_caller_gone = False
        self._may_have_run = False
        self._obstacle = ""
        self._sent_to: set[str] = set()
        self._stop_reason: _exchange.StopReason | None = None
        self._task: asyncio.Task[None] | None = None
        self._transfer: _transfers.Transfer | None = None
        self._attempt_count = 0

    @property
    def _is_idempotent(self) -> bool:
        return (
            self._request.route.kind is sycamoreloft_direct.RouteKind.IDEMPOTENT
        )

    def stop(self, reason: _exchange.StopReason) -> None:
        """Stops the request because of its deadline or its caller.

        A non-idempotent request at an upstream continues without its caller:
        if it were cancelled, its effect would be unknown. No other attempt
        follows it.
        """
        if self._stop_reason is not None:
            return
        is_running = self._transfer is not None and self._transfer.maybe_sent
        if (
            reason is _STOP.CALLER_GONE
            and is_running
            and not self._is_idempotent
        ):
            self._is_caller_gone = True
            return
        self._stop_reason = reason
        if self._task is not None:
            self._task.cancel()

    async def run(self) -> _answers.Refusal | None:
        """Runs the attempts; see `_exchange.RequestExecution`."""
        services, request = self._services, self._request
        self._task = asyncio.current_task(services.loop)
        services.budgets.record_request(request.service, services.loop.time())
        if request.key >= 0:
            services.coordinator_role.observe_request(
                request.service, request.key
            )
        refusal: _answers.Refusal | None = None
        try:
            if self._stop_reason is None:
                refusal = await self._run_attempts()
        except asyncio.CancelledError:
            if self._stop_reason is None:
                raise
        if self._stop_reason is not None:
            refusal = self._build_stopped_refusal()
        self._log_request(refusal)
        return refusal

    async def _run_attempts(self) -> _answers.Refusal | None:
        while True:
            if self._is_quarantined():
                return self._build_refusal()
            record = await self._choice.choose_upstream()
            # The coordinator may have stopped it while it waited for its owner.
            if record is None or self._is_quarantined():
                return self._build_refusal()
            if self._sink.has_caller_left():
                return _direct_answers.build_caller_gone(self._may_have_run)
            self._attempt_count += 1
            result = await self._attempt(record)
            if result is None:
                return None
            # For an answer that reports a failure, the attempt has already
            # decided on a retry: otherwise it would have passed the answer on.
            if result is not _RESULT.FAILED and not self._may_retry(result):
                return self._build_refusal()
            self._services.metrics.count("sycamoreloft_retries_total")

    def _is_quarantined(self) -> bool:
        if not self._crash_watch.is_stopped():
            return False
        self._choice.reason = "quarantined"
        return True

    # One attempt.

    async def _attempt(
        self, record: sycamoreloft_load.UpstreamRecord
    ) -> sycamoreloft_load.AttemptResult | None:
        """Sends the request to an upstream.

        Returns:
            None if the upstream's answer was passed on, else how the attempt
            ended.
        """
        started_at = self._services.loop.time()
        result = _RESULT.CANCELLED
        self._services.pool.begin(record, self, started_at)
        try:
            transfer = self._start_transfer(record, started_at)
            await transfer.wait(_body_streams.PREFIX_BYTES)
            result = self._classify(transfer)
            if result in (_RESULT.BROKEN, _RESULT.FAILED):
                self._choice.record_possible_run(record.entry.id)
            elif result is _RESULT.RESET:
                self._choice.record_reset(record.entry.id)
            if result not in (_RESULT.ANSWERED, _RESULT.FAILED):
                return result
            self._may_have_run = True
            if result is _RESULT.FAILED and self._may_retry(result):
                return result
            await _answer_forwarding.forward(transfer, self._sink)
            if transfer.failure is not None:
                _direct_logs.log_cut_answer(
                    self._request, record.entry, transfer.failure
                )
            return None
        finally:
            self._finish_attempt(record, result, started_at)

    def _finish_attempt(
        self,
        record: sycamoreloft_load.UpstreamRecord,
        result: sycamoreloft_load.AttemptResult,
        started_at: float,
    ) -> None:
        """Ends the transfer, and records the result of the attempt."""
        services = self._services
        now = services.loop.time()
        transfer = self._transfer
        if transfer is not None:
            if transfer.maybe_sent and result is _RESULT.CANCELLED:
                self._may_have_run = True
            if not transfer.ended:
                transfer.cancel()
        if result is _RESULT.CANCELLED and self._was_silent(now - started_at):
            result = _RESULT.SILENT
        recorded = self._choice.record_result(record, result, now - started_at)
        services.pool.finish(record, self, recorded, now)
        self._crash_watch.record_result(
            result, transfer, record.entry.id, started_at, now
        )
        if result is _RESULT.REPLACED:
            services.coordinator_role.observe_replacement(record.entry.run)
        if result is _RESULT.ANSWERED:
            services.metrics.observe(
                "sycamoreloft_upstream_seconds", now - started_at
            )
            if self._request.key >= 0:
                services.coordinator_role.observe_answer(
                    record.entry.id, now - started_at
                )
        elif result is not _RESULT.CANCELLED:
            self._log_attempt(record, result, now)

    def _was_silent(self, elapsed_s: float) -> bool:
        """Returns whether the deadline ended an attempt without an answer."""
        return (
            elapsed_s > sycamoreloft_load.MINIMUM_STALL_S
            and self._stop_reason is _STOP.DEADLINE_PASSED
        )

    def _start_transfer(
        self, record: sycamoreloft_load.UpstreamRecord, now: float
    ) -> _transfers.Transfer:
        request, upstream = self._request, record.entry
        remaining_s = self._received.deadline - now
        # A duplicate of the earlier refusal on a reused connection carries the
        # same identifier. It would report that this attempt did not run,
        # although it runs. Two upstreams may be listed with the same address.
        needs_new_connection = (
            upstream.address in self._addresses and not self._is_idempotent
        )
        self._choice.tried.append(upstream.id)
        self._addresses.add(upstream.address)
        self._transfer = self._services.client.start(
            _transfer_types.UpstreamRequest(
                upstream.address,
                request.method,
                request.target,
                self._path.parser.build_lines(
                    request, upstream.id, max(1, int(remaining_s * 1000))
                ),
                self._received.body,
                self._received.length,
                max(remaining_s, 0.001),
                request.request_id,
                needs_new_connection=needs_new_connection,
                may_send=functools.partial(self._may_send, record),
                claim_send=functools.partial(self._claim_send, record),
                on_head=functools.partial(self._observe_head, record),
            )
        )
        return self._transfer

    def _may_send(self, record: sycamoreloft_load.UpstreamRecord) -> bool:
        """Returns whether the request may still be sent to an upstream."""
        # The caller may have left while the request waited for a connection.
        if self._sink.has_caller_left():
            return False
        services = self._services
        return services.pool.may_send(
            record,
            services.loop.time(),
            services.leaving_s,
            self._request.key >= 0,
        )

    def _claim_send(self, record: sycamoreloft_load.UpstreamRecord) -> bool:
        """Returns whether the bytes may leave now; see `claim_send`."""
        return self._services.pool.claim_send(
            record, self._services.loop.time()
        )

    def _observe_head(
        self,
        record: sycamoreloft_load.UpstreamRecord,
        head: _answer_heads.AnswerHead,
    ) -> None:
        if not _answer_checks.is_from_other_upstream(
            head, record.entry.id, self._services.header_names
        ):
            self._services.notices.observe_head(
                record, self._request.request_id, head
            )

    def _classify(
        self, transfer: _transfers.Transfer
    ) -> sycamoreloft_load.AttemptResult:
        head, names = transfer.head, self._services.header_names
        if transfer.maybe_sent:
            self._sent_to.add(self._choice.tried[-1])
        if _answer_checks.is_refusal(transfer, names):
            self._choice.reason = f"upstream-refused-{head.status}"
            tried = self._choice.tried[-1]
            is_misdirected = head.status == _answer_checks.MISDIRECTED
            self._choice.misdirected_upstream = tried if is_misdirected else ""
            if _answer_checks.is_from_other_upstream(head, tried, names):
                return _RESULT.REPLACED
            return _RESULT.REFUSED
        failure = transfer.failure
        if (
            failure is None
            and not self._is_idempotent
            and _answer_checks.is_unproven_refusal(head)
        ):
            self._choice.reason = "unproven-refusal"
            self._may_have_run = True
            return _RESULT.BROKEN
        if failure is None and _answer_checks.is_foreign(head):
            self._choice.reason = "foreign-answer"
            self._may_have_run = True
            return _RESULT.BROKEN
        if failure is None:
            return _RESULT.FAILED if head.status >= 500 else _RESULT.ANSWERED
        self._choice.reason = failure.kind.value
        if failure.kind is _KIND.WITHDRAWN:
            return _RESULT.WITHDRAWN
        if not transfer.maybe_sent:
            return _RESULT.UNREACHABLE
        self._may_have_run = True
        if failure.kind is _KIND.UPLOAD:
            return _RESULT.CANCELLED
        if failure.kind is _KIND.DEADLINE:
            return _RESULT.SILENT
        return _RESULT.RESET if failure.is_reset else _RESULT.BROKEN

    # After an attempt.

    def _may_retry(self, result: sycamoreloft_load.AttemptResult) -> bool:
        """Returns whether to make another attempt; records what prevents it."""
        self._obstacle = self._find_retry_obstacle(result)
        return self._obstacle == ""

    def _find_retry_obstacle(
        self, result: sycamoreloft_load.AttemptResult
    ) -> str:
        """Returns what prevents another attempt; empty if nothing does."""
        now = self._services.loop.time()
        if self._is_caller_gone:
            return "caller-gone"
        if (
            now + _upstream_choice.MINIMUM_REMAINING_S
            >= self._received.deadline
        ):
            return "time"
        if self._attempt_count >= MAXIMUM_ATTEMPTS:
            return "tries"
        if not _body_streams.is_replayable(self._received.body):
            return "body-sent"
        if result in (_RESULT.UNREACHABLE, _RESULT.WITHDRAWN):
            # Nothing was sent, so that a retry adds no load on upstreams.
            return ""
        did_not_run = result in (_RESULT.REFUSED, _RESULT.REPLACED)
        if not did_not_run and (
            result not in (_RESULT.BROKEN, _RESULT.FAILED, _RESULT.RESET)
            or not self._is_idempotent
        ):
            return "may-have-run"
        if not did_not_run and self._choice.may_have_run_at_owner(now):
            return "owner-may-have-run"
        if self._choice.is_owner_paused(now):
            return "owner-paused"
        is_full_owner = (
            result in (_RESULT.REFUSED, _RESULT.RESET)
            and self._request.key >= 0
        )
        if (
            len(self._sent_to) >= self._request.route.attempts
            and not is_full_owner
        ):
            return "attempts"
        if not self._services.budgets.try_spend(self._request.service, now):
            self._services.metrics.count("sycamoreloft_retries_refused_total")
            return "retry-budget"
        return ""

    def _build_refusal(self) -> _answers.Refusal:
        """Creates the router's own answer after the last attempt."""
        if self._may_have_run:
            return _direct_answers.build_unknown_outcome(self._choice.reason)
        return _direct_answers.build_refusal(
            self._choice.reason, self._choice.choose_retry_after_ms()
        )

    def _build_stopped_refusal(self) -> _answers.Refusal:
        if self._stop_reason is _STOP.CALLER_GONE:
            return _direct_answers.build_caller_gone(self._may_have_run)
        if not self._may_have_run:
            self._choice.reason = "deadline-before-start"
            return self._build_refusal()
        return _direct_answers.build_deadline_passed()

    # Metrics and logs.

    def _record_metrics(self, refusal: _answers.Refusal | None) -> None:
        services, request = self._services, self._request
        outcome = "completed"
        if refusal is not None:
            outcome = refusal.outcome
            services.metrics.count(
                "sycamoreloft_refusals_total", request.service, refusal.reason
            )
        services.metrics.observe(
            "sycamoreloft_route_seconds",
            services.loop.time() - self._began_at,
            request.route.kind.value,
            request.service,
            outcome,
        )

    def _log_attempt(
        self,
        record: sycamoreloft_load.UpstreamRecord,
        result: sycamoreloft_load.AttemptResult,
        now: float,
    ) -> None:
        self._services.metrics.count(
            "sycamoreloft_upstream_failures_total", result.value
        )
        _direct_logs.log_failed_attempt(
            self._request,
            record.entry,
            result,
            self._transfer,
            self._services.directory.key_map.version,
            now - self._began_at,
        )

    def _log_request(self, refusal: _answers.Refusal | None) -> None:
        services = self._services
        self._record_metrics(refusal)
        _direct_logs.log_request(
            self._request,
            self._choice.tried,
            refusal,
            self._obstacle,
            services.loop.time() - self._began_at,
            services.generator,
        )
