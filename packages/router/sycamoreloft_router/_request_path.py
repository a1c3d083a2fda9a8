"""Serves one request: attempts, retries and the router's own answers."""

import asyncio
from collections import abc
import dataclasses
import logging
import random

from returns import result

import sycamoreloft_decisions
import sycamoreloft_direct
from sycamoreloft_router import (
    _answer_checks,
    _answers,
    _attempts,
    _body_streams,
    _caller_requests,
    _exchange,
    _group_choice,
    _headers,
    _logs,
    _transfer_types,
)

_LOGGER = logging.getLogger(__name__)

#: Maximum number of newer generations that are fetched for one request. A
#: holder refuses an older generation only while a new one is being accepted.
MAXIMUM_REFRESHES = 3

#: Remedies in the router's own answers, by reason. Other reasons have a remedy
#: that depends on the outcome.
_REMEDIES = {
    "quarantined": "this request is suspected of crashing upstreams; change"
    " it, or ask the operator to look at the quarantine",
    "configuration-pending": "send it again; the operators' latest file is"
    " not yet in force everywhere",
    "claim-unavailable": "send it again with the same Idempotency-Key when"
    " the store is back",
    "repeated": "a request with this Idempotency-Key was taken before, and"
    " is not run again; its outcome is above, its answer is not kept",
    "conflict": "use another Idempotency-Key for another request",
    "no-group": "the operator has to add upstreams of the service to a file",
}

#: Event that stops an attempt, by the reason to stop its request.
_STOP_EVENTS: abc.Mapping[
    _exchange.StopReason, sycamoreloft_decisions.AttemptEvent
] = {
    _exchange.StopReason.DEADLINE_PASSED: (
        sycamoreloft_decisions.DeadlinePassed()
    ),
    _exchange.StopReason.CALLER_GONE: sycamoreloft_decisions.CallerGone(),
}

_DID_NOT_RUN_REMEDY = "nothing ran; send the request again"

_UNKNOWN_REMEDY = (
    "it may have run: look at its effect before it is sent again, or send"
    " it again only if it may run twice"
)


class RequestPath:
    """Creates the executions of requests and holds what they share.

    Args:
        services: Parts of the process that all requests share.
        parser: Parses and resolves requests.
        chooser: Chooses the group for each attempt.
        generator: Source of the jitter of retries.
    """

    def __init__(
        self,
        services: _attempts.SharedServices,
        parser: _caller_requests.RequestParser,
        chooser: _group_choice.GroupChooser,
        generator: random.Random,
    ) -> None:
        #: Parts of the process that all requests share.
        self.services = services
        #: Parses requests and resolves their names.
        self.parser = parser
        #: Chooses the group for each attempt.
        self.chooser = chooser
        #: Source of the jitter of retries.
        self.generator = generator
        #: Limits the retries of all requests together.
        self.budget = sycamoreloft_direct.RetryBudget()
        #: Metrics that the process exports.
        self.metrics = services.metrics

    def create_execution(
        self,
        request: _caller_requests.CallerRequest,
        received: _exchange.ReceivedRequest,
        fields: _headers.RequestFields,
        sink: _exchange.AnswerSink,
    ) -> "RequestExecution":
        """Creates the execution of a request; see `_exchange.RequestPath`."""
        attempt_input = _attempts.AttemptInput(
            request,
            received.body,
            received.length,
            _caller_requests.compute_fingerprint(
                request, received.length, received.prefix
            ),
            received.deadline,
            sink,
        )
        return RequestExecution(self, attempt_input, fields)


class RequestExecution:
    """Executes one request of a caller.

    Args:
        path: Parts that all requests share.
        attempt_input: The request with its body and deadline.
        fields: Headers of the caller, to resolve the names again in a newer
            generation.
    """

    __slots__ = (
        "_attempt",
        "_attempt_count",
        "_fields",
        "_input",
        "_loop",
        "_may_have_run",
        "_path",
        "_refresh_count",
        "_refused_groups",
        "_stop_event",
        "_task",
    )

    def __init__(
        self,
        path: RequestPath,
        attempt_input: _attempts.AttemptInput,
        fields: _headers.RequestFields,
    ) -> None:
        self._path = path
        self._input = attempt_input
        self._fields = fields
        self._loop = path.services.loop
        self._attempt: _attempts.AttemptExecution | None = None
        self._may_have_run = False
        self._refresh_count = 0
        self._refused_groups: set[str] = set()
        self._stop_event: sycamoreloft_decisions.AttemptEvent | None = None
        self._task: asyncio.Task[None] | None = None
        self._attempt_count = 0

    def stop(self, reason: _exchange.StopReason) -> None:
        """Stops the request because its deadline passed or its caller is gone.

        An at-most-once operation that was sent to an upstream continues when
        the caller is gone, because its outcome answers later requests with
        the same id.
        """
        if self._stop_event is not None:
            return
        event = _STOP_EVENTS[reason]
        if (
            isinstance(event, sycamoreloft_decisions.CallerGone)
            and self._input.request.operation.at_most_once
            and self._attempt is not None
            and self._attempt.is_sent
        ):
            return
        self._stop_event = event
        if self._attempt is not None:
            self._attempt.stop_event = event
        if self._task is not None:
            self._task.cancel()

    async def run(self) -> _answers.Refusal | None:
        """Runs the attempts.

        Returns:
            The router's own answer, or None if an upstream's answer was
            forwarded, completely or in part.
        """
        self._task = asyncio.current_task()
        now = self._loop.time()
        self._path.budget.record_request(now)
        if self._stop_event is not None:
            # `stop` was called before the task ran for the first time.
            return _answers.Refusal(
                504, "stopped", "the request was stopped", _DID_NOT_RUN_REMEDY
            )
        while True:
            attempt, decision = await self._run_attempt()
            if decision.outcome is sycamoreloft_decisions.Outcome.UNKNOWN:
                self._may_have_run = True
            if attempt.answered:
                return None
            if self._stop_event is not None:
                return self._refuse(attempt, decision)
            if decision.reason == "stale-generation":
                problem = await self._refresh_generation()
                if problem is not None:
                    return problem
                if self._stop_event is None:
                    continue
            delay = self._plan_retry(attempt, decision)
            if delay is None or not await self._wait(delay):
                return self._refuse(attempt, decision)

    async def _run_attempt(
        self,
    ) -> tuple[_attempts.AttemptExecution, sycamoreloft_decisions.Decision]:
        path = self._path
        group = path.chooser.choose(self._input.request, self._refused_groups)
        attempt = _attempts.AttemptExecution(path.services, self._input, group)
        self._attempt = attempt
        self._attempt_count += 1
        started_at = self._loop.time()
        decision = await attempt.perform()
        if group is not None:
            path.chooser.record_duration(group, self._loop.time() - started_at)
            if attempt.refusal is not None:
                self._refused_groups.add(group)
        if attempt.failure is not None:
            self._log_failure(attempt.failure, group, decision)
        return attempt, decision

    def _log_failure(
        self,
        failure: _transfer_types.Failure,
        group: str | None,
        decision: sycamoreloft_decisions.Decision,
    ) -> None:
        reference = self._input.request.reference
        _logs.log_event(
            _LOGGER,
            logging.WARNING,
            "attempt-failed",
            fleet=reference.fleet,
            service=reference.service,
            group=group,
            kind=failure.kind.value,
            detail=failure.text,
            outcome=decision.outcome.value,
        )

    def _plan_retry(
        self,
        attempt: _attempts.AttemptExecution,
        decision: sycamoreloft_decisions.Decision,
    ) -> float | None:
        """Decides on a retry and takes it from the retry budget.

        Returns:
            Delay before the next attempt in seconds, None for no attempt.
        """
        if not self._is_replayable():
            return None
        now = self._loop.time()
        if (
            attempt.refusal is not None
            and not self._input.request.service.keyed
            and self._attempt_count == 1
            and decision.reason != "quarantined"
        ):
            # Another group may have a free slot. A permit request puts no
            # load on upstreams, so that it needs no retry budget.
            return 0.0
        if not decision.retry_allowed:
            return None
        delay = sycamoreloft_decisions.compute_backoff(
            self._attempt_count, now, self._input.deadline, self._path.generator
        )
        if delay is None:
            return None
        metrics = self._path.services.metrics
        if not self._path.budget.try_spend(now):
            metrics.count("sycamoreloft_retries_refused_total")
            return None
        metrics.count("sycamoreloft_retries_total")
        if attempt.refusal is not None:
            delay = max(delay, attempt.refusal.retry_after_ms / 1000)
        return delay if now + delay < self._input.deadline else None

    def _is_replayable(self) -> bool:
        body = self._input.body
        return not isinstance(body, _body_streams.UploadBuffer) or (
            body.bytes_read == 0 and not body.broken
        )

    async def _wait(self, delay: float) -> bool:
        """Waits some seconds; returns False if the request was stopped."""
        try:
            await asyncio.sleep(delay)
        except asyncio.CancelledError:
            if self._stop_event is None:
                raise
        return self._stop_event is None

    async def _refresh_generation(self) -> _answers.Refusal | None:
        """Fetches a newer generation and resolves the request in it.

        Returns:
            The router's own answer if this fails, None otherwise.
        """
        self._refresh_count += 1
        known = self._input.request.generation.number
        if self._refresh_count > MAXIMUM_REFRESHES:
            return self._qualify(
                _answers.Refusal(
                    503,
                    "stale-generation",
                    "this host does not get the generation in force",
                    self._choose_remedy(_answers.DID_NOT_RUN),
                    retry_after_ms=1_000,
                )
            )
        names = self._path.services.names
        try:
            await names.refresh_generation(known)
        except asyncio.CancelledError:
            if self._stop_event is None:
                raise
            return None
        parsed = self._path.parser.resolve_names_again(
            self._input.request, self._fields
        )
        match parsed:
            case result.Success(request):
                self._input = dataclasses.replace(self._input, request=request)
                return None
            case result.Failure(refusal):
                return self._qualify(refusal)
            case _:
                raise TypeError("the parser did not return a Result")

    def _qualify(self, refusal: _answers.Refusal) -> _answers.Refusal:
        """Returns a refusal of the last attempt as one of the whole request.

        If an earlier attempt may have run, the answer must not invite the
        caller to send the request again.
        """
        if not self._may_have_run or refusal.outcome == _answers.COMPLETED:
            return refusal
        is_promise = refusal.status in _answer_checks.PROMISING_STATUSES
        return dataclasses.replace(
            refusal,
            status=502 if is_promise else refusal.status,
            outcome=_answers.UNKNOWN,
            retry_after_ms=0,
        )

    def _choose_remedy(self, outcome: str) -> str:
        """Returns the remedy for reasons that have none of their own."""
        if outcome == _answers.DID_NOT_RUN and not self._may_have_run:
            return _DID_NOT_RUN_REMEDY
        return _UNKNOWN_REMEDY

    def _refuse(
        self,
        attempt: _attempts.AttemptExecution,
        decision: sycamoreloft_decisions.Decision,
    ) -> _answers.Refusal:
        outcome = decision.outcome.value
        retry_after_ms = 0
        if attempt.refusal is not None:
            retry_after_ms = attempt.refusal.retry_after_ms
        status, reason = decision.status, decision.reason
        failure = attempt.failure
        if failure is not None and (
            failure.kind is _transfer_types.FailureKind.UPLOAD
        ):
            status, reason = 400, failure.kind.value
        claim = attempt.claim_answer
        return self._qualify(
            _answers.Refusal(
                status or 503,
                reason,
                f"the last attempt ended with {outcome}: {reason}",
                _REMEDIES.get(reason) or self._choose_remedy(outcome),
                outcome,
                retry_after_ms,
                claim.status if claim is not None else 0,
            )
        )
