"""Runs one request of a caller on a direct host."""

import asyncio

import sycamoreloft_direct
from sycamoreloft_router import (
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
_RESULT = sycamoreloft_direct.AttemptResult

#: Statuses by which an upstream may say that a request did not run.
REFUSAL_STATUSES = frozenset((400, 421, 429, 503))

#: Refusals that say so without the header: the request reached the wrong
#: upstream.
MISDIRECTED = 421

#: Time after which a caller may try again, in milliseconds, at least and at
#: most: callers that were refused together should not return together.
LEAST_RETRY_MS = 150
MOST_RETRY_MS = 450

#: The same where the owner of the key is lost: its lease has to end before
#: another upstream gets the key.
LEAST_LOST_RETRY_MS = 500
MOST_LOST_RETRY_MS = 1_000

#: Attempts that did not reach any upstream, or were refused, in one request.
MAXIMUM_TRIES = 5


class DirectPath:
    """Creates the runs of requests; see `_exchange.RequestPath`.

    Args:
        services: What all requests share.
    """

    def __init__(self, services: _direct_services.DirectServices) -> None:
        #: What all requests share.
        self.services = services
        #: Metrics of the process.
        self.metrics = services.metrics
        #: Finds the routes of requests.
        self.parser = _direct_requests.DirectParser(
            services.states, services.names
        )

    def create_execution(
        self,
        request: _direct_requests.DirectRequest,
        received: _exchange.ReceivedRequest,
        fields: _headers.RequestFields,
        sink: _exchange.AnswerSink,
    ) -> "DirectRun":
        """Creates the run of a request."""
        del fields
        return DirectRun(self, request, received, sink)


class DirectRun:
    """Runs one request.

    Args:
        path: What all requests share.
        request: The request.
        received: Body and deadline.
        sink: Where the answer goes.
    """

    __slots__ = (
        "_began_at",
        "_choice",
        "_crash_watch",
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
        "_tries",
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
        self._may_have_run = False
        self._obstacle = ""
        self._sent_to: set[str] = set()
        self._stop_reason: _exchange.StopReason | None = None
        self._task: asyncio.Task[None] | None = None
        self._transfer: _transfers.Transfer | None = None
        self._tries = 0

    @property
    def _is_idempotent(self) -> bool:
        return (
            self._request.route.kind is sycamoreloft_direct.RouteKind.IDEMPOTENT
        )

    def stop(self, reason: _exchange.StopReason) -> None:
        """Stops the request because of its deadline or its caller.

        A request that must not be repeated runs on without its caller: to
        break it off would leave its effect unknown.
        """
        if self._stop_reason is not None:
            return
        is_running = self._transfer is not None and self._transfer.maybe_sent
        if (
            reason is _STOP.CALLER_GONE
            and is_running
            and not self._is_idempotent
        ):
            return
        self._stop_reason = reason
        if self._task is not None:
            self._task.cancel()

    async def run(self) -> _answers.Refusal | None:
        """Runs the attempts; see `_exchange.RequestExecution`."""
        services = self._services
        self._task = asyncio.current_task(services.loop)
        services.budgets.record_request(
            self._request.service, services.loop.time()
        )
        if self._request.key >= 0:
            services.coordinator_role.observe_request(
                self._request.service, self._request.key
            )
        refusal: _answers.Refusal | None = None
        try:
            if self._stop_reason is None:
                refusal = await self._run_attempts()
        except asyncio.CancelledError:
            if self._stop_reason is None:
                raise
        if self._stop_reason is not None:
            refusal = self._end_stopped()
        self._log(refusal)
        return refusal

    async def _run_attempts(self) -> _answers.Refusal | None:
        while True:
            record = await self._choice.find()
            if record is None:
                return self._refuse()
            if self._crash_watch.is_stopped():
                self._choice.reason = "quarantined"
                return self._refuse()
            self._tries += 1
            result = await self._attempt(record)
            if result is None:
                return None
            # For a failure of the upstream, the attempt has decided: without
            # another attempt its answer would have been passed on.
            if result is not _RESULT.FAILED and not self._may_retry(result):
                return self._refuse()
            self._services.metrics.count("sycamoreloft_retries_total")

    # One attempt.

    async def _attempt(
        self, record: sycamoreloft_direct.UpstreamRecord
    ) -> sycamoreloft_direct.AttemptResult | None:
        """Sends the request to an upstream.

        Returns:
            None if the upstream's answer was passed on, else how the attempt
            ended.
        """
        begun = self._services.loop.time()
        result = _RESULT.CANCELLED
        self._services.book.begin(record, self, begun)
        try:
            transfer = self._start(record.entry, begun)
            await transfer.wait(_body_streams.PREFIX_BYTES)
            result = self._classify(transfer)
            if result not in (_RESULT.ANSWERED, _RESULT.FAILED):
                return result
            self._may_have_run = True
            if result is _RESULT.FAILED and self._may_retry(result):
                return result
            await self._pass_on(transfer)
            return None
        finally:
            self._settle(record, result, begun)

    def _settle(
        self,
        record: sycamoreloft_direct.UpstreamRecord,
        result: sycamoreloft_direct.AttemptResult,
        begun: float,
    ) -> None:
        """Ends the transfer and notes how the attempt went."""
        services = self._services
        now = services.loop.time()
        transfer = self._transfer
        if transfer is not None:
            if transfer.maybe_sent and result is _RESULT.CANCELLED:
                self._may_have_run = True
            if not transfer.ended:
                transfer.cancel()
        if result is _RESULT.CANCELLED and self._was_silent(now - begun):
            result = _RESULT.SILENT
        services.book.finish(record, self, result, now)
        self._crash_watch.take(result, transfer, now)
        if result is _RESULT.REPLACED:
            services.coordinator_role.observe_replacement(record.entry.run)
        if result is _RESULT.ANSWERED:
            services.metrics.observe(
                "sycamoreloft_upstream_seconds", now - begun
            )
            if self._request.key >= 0:
                services.coordinator_role.observe_answer(
                    record.entry.id, now - begun
                )
        elif result is not _RESULT.CANCELLED:
            self._log_attempt(record, result, now)

    def _was_silent(self, elapsed_s: float) -> bool:
        """Tells whether the deadline ended an attempt without an answer."""
        return (
            elapsed_s > sycamoreloft_direct.MINIMUM_STALL_S
            and self._stop_reason is _STOP.DEADLINE_PASSED
        )

    def _start(
        self, upstream: sycamoreloft_direct.Upstream, now: float
    ) -> _transfers.Transfer:
        request = self._request
        left_s = self._received.deadline - now
        # A second copy of the refusal before bears the same identifier, and
        # would tell of an attempt that runs that it did not.
        needs_new_connection = (
            upstream.id in self._choice.tried and not self._is_idempotent
        )
        self._choice.tried.append(upstream.id)
        self._transfer = self._services.client.start(
            _transfer_types.UpstreamRequest(
                upstream.address,
                request.method,
                request.target,
                self._path.parser.build_lines(
                    request, upstream.id, max(1, int(left_s * 1000))
                ),
                self._received.body,
                self._received.length,
                max(left_s, 0.001),
                request.request_id,
                needs_new_connection=needs_new_connection,
            )
        )
        return self._transfer

    def _classify(
        self, transfer: _transfers.Transfer
    ) -> sycamoreloft_direct.AttemptResult:
        head = transfer.head
        if transfer.maybe_sent:
            self._sent_to.add(self._choice.tried[-1])
        if head.complete and self._is_refusal(head):
            self._choice.reason = f"upstream-refused-{head.status}"
            is_misdirected = head.status == MISDIRECTED
            self._choice.misdirected = (
                self._choice.tried[-1] if is_misdirected else ""
            )
            if is_misdirected and self._is_from_another(head):
                return _RESULT.REPLACED
            return _RESULT.REFUSED
        failure = transfer.failure
        if failure is None:
            return _RESULT.FAILED if head.status >= 500 else _RESULT.ANSWERED
        self._choice.reason = failure.kind.value
        if not transfer.maybe_sent:
            return _RESULT.UNREACHABLE
        self._may_have_run = True
        if failure.kind is _KIND.UPLOAD:
            return _RESULT.CANCELLED
        if failure.kind is _KIND.DEADLINE:
            return _RESULT.SILENT
        return _RESULT.BROKEN

    def _is_refusal(self, head: _answer_heads.AnswerHead) -> bool:
        if head.problem or head.status not in REFUSAL_STATUSES:
            return False
        name = self._services.names.not_executed.lower().encode("latin1")
        return head.status == MISDIRECTED or head.get_header(name) != b""

    def _is_from_another(self, head: _answer_heads.AnswerHead) -> bool:
        """Tells whether an answer names another upstream than was asked."""
        name = self._services.names.answering_upstream.lower().encode("latin1")
        answering = head.get_header(name)
        return answering not in (b"", self._choice.tried[-1].encode("latin1"))

    async def _pass_on(self, transfer: _transfers.Transfer) -> None:
        head = transfer.head
        answer = _answers.UpstreamAnswer(
            head.status_line,
            head.status,
            _headers.filter_answer_lines(head.lines),
            head.get_header(b"content-length")
            if transfer.request.method == "HEAD"
            else b"",
        )
        if transfer.ended:
            self._sink.send_complete(answer, transfer.read_available())
            return
        await self._sink.begin(answer)
        while transfer.failure is None:
            chunk = transfer.read_available()
            if chunk:
                await self._sink.write(chunk)
            elif transfer.ended:
                self._sink.end()
                return
            else:
                await transfer.wait(1)
        self._sink.abort()

    # After an attempt.

    def _may_retry(self, result: sycamoreloft_direct.AttemptResult) -> bool:
        """Decides whether another attempt is made."""
        self._obstacle = self._find_obstacle(result)
        return self._obstacle == ""

    def _find_obstacle(self, result: sycamoreloft_direct.AttemptResult) -> str:
        """Tells what keeps a request from another attempt; empty if nothing."""
        now = self._services.loop.time()
        if now + _upstream_choice.LEAST_LEFT_S >= self._received.deadline:
            return "time"
        if self._tries >= MAXIMUM_TRIES:
            return "tries"
        if not self._is_replayable():
            return "body-sent"
        if result is _RESULT.UNREACHABLE:
            # Nothing was sent, so that it costs the upstreams nothing.
            return ""
        is_unrun = result in (_RESULT.REFUSED, _RESULT.REPLACED)
        if not is_unrun and (
            result not in (_RESULT.BROKEN, _RESULT.FAILED)
            or not self._is_idempotent
        ):
            return "may-have-run"
        is_full_owner = result is _RESULT.REFUSED and self._request.key >= 0
        if (
            len(self._sent_to) >= self._request.route.attempts
            and not is_full_owner
        ):
            return "attempts"
        if not self._services.budgets.try_spend(self._request.service, now):
            self._services.metrics.count("sycamoreloft_retries_refused_total")
            return "retry-budget"
        return ""

    def _is_replayable(self) -> bool:
        body = self._received.body
        return not isinstance(body, _body_streams.UploadBuffer) or (
            body.bytes_read == 0 and not body.broken
        )

    def _refuse(self) -> _answers.Refusal:
        """Returns the router's own answer after the last attempt."""
        if self._may_have_run:
            return _direct_answers.answer_unknown(self._choice.reason)
        return _direct_answers.refuse(
            self._choice.reason, self._choose_retry_ms()
        )

    def _end_stopped(self) -> _answers.Refusal:
        if self._stop_reason is _STOP.CALLER_GONE:
            return _direct_answers.answer_gone(self._may_have_run)
        if not self._may_have_run:
            self._choice.reason = "deadline-before-start"
            return self._refuse()
        return _direct_answers.answer_late()

    def _choose_retry_ms(self) -> int:
        generator = self._services.generator
        if self._choice.is_owner_lost:
            return generator.randint(LEAST_LOST_RETRY_MS, MOST_LOST_RETRY_MS)
        return generator.randint(LEAST_RETRY_MS, MOST_RETRY_MS)

    # Metrics and logs.

    def _measure(self, refusal: _answers.Refusal | None) -> None:
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
        record: sycamoreloft_direct.UpstreamRecord,
        result: sycamoreloft_direct.AttemptResult,
        now: float,
    ) -> None:
        self._services.metrics.count(
            "sycamoreloft_upstream_failures_total", result.value
        )
        _direct_logs.log_attempt(
            self._request,
            record.entry,
            result,
            self._transfer,
            self._services.directory.key_map.version,
            now - self._began_at,
        )

    def _log(self, refusal: _answers.Refusal | None) -> None:
        services = self._services
        self._measure(refusal)
        _direct_logs.log_request(
            self._request,
            self._choice.tried,
            refusal,
            self._obstacle,
            services.loop.time() - self._began_at,
            services.generator,
        )
