"""The path of one request: attempts, retries and the router's own answers."""

import asyncio
from collections import abc
import dataclasses
import logging
import random

from returns import result

import sycamoreloft_decisions
import sycamoreloft_direct
from sycamoreloft_router import (
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

#: Newer generations that are fetched for one request. A holder asks for one
#: only while files are being accepted.
MAXIMUM_REFRESHES = 3

#: Remedies of the router's own answers by reason.
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

#: Events of an attempt by the reason to stop its request.
_EVENTS: abc.Mapping[
    _exchange.StopReason, sycamoreloft_decisions.AttemptEvent
] = {
    _exchange.StopReason.DEADLINE_PASSED: (
        sycamoreloft_decisions.DeadlinePassed()
    ),
    _exchange.StopReason.CALLER_GONE: sycamoreloft_decisions.CallerGone(),
}

_DID_NOT_RUN = sycamoreloft_decisions.Outcome.DID_NOT_RUN

_DID_NOT_RUN_REMEDY = "nothing ran; send the request again"

_UNKNOWN_REMEDY = (
    "it may have run: look at its effect before it is sent again, or send"
    " it again only if it may run twice"
)


class RequestPath:
    """What the requests of one process share.

    Args:
        services: Shared parts of the process.
        parser: Parses requests.
        chooser: Chooses groups.
        generator: Source of the jitter of retries.
    """

    def __init__(
        self,
        services: _attempts.Services,
        parser: _caller_requests.RequestParser,
        chooser: _group_choice.GroupChooser,
        generator: random.Random,
    ) -> None:
        #: Shared parts of the process.
        self.services = services
        #: Parses requests.
        self.parser = parser
        #: Chooses groups.
        self.chooser = chooser
        #: Source of the jitter of retries.
        self.generator = generator
        #: Retries that are allowed.
        self.budget = sycamoreloft_direct.RetryBudget()
        #: Metrics of the process.
        self.metrics = services.metrics

    def create_execution(
        self,
        request: _caller_requests.CallerRequest,
        received: _exchange.ReceivedRequest,
        fields: _headers.RequestFields,
        sink: _exchange.AnswerSink,
    ) -> "RequestExecution":
        """Creates the run of a request; see `_exchange.RequestPath`."""
        given = _attempts.AttemptInput(
            request,
            received.body,
            received.length,
            _caller_requests.compute_fingerprint(
                request, received.length, received.prefix
            ),
            received.deadline,
            sink,
        )
        return RequestExecution(self, given, fields)


class RequestExecution:
    """Runs one request of a caller.

    Args:
        path: What all requests share.
        given: The request as every attempt needs it.
        fields: Headers of the caller, to resolve the names again.
    """

    __slots__ = (
        "_attempt",
        "_fields",
        "_given",
        "_loop",
        "_may_have_run",
        "_path",
        "_refreshes",
        "_refused_groups",
        "_stop_event",
        "_task",
        "_tries",
    )

    def __init__(
        self,
        path: RequestPath,
        given: _attempts.AttemptInput,
        fields: _headers.RequestFields,
    ) -> None:
        self._path = path
        self._given = given
        self._fields = fields
        self._loop = path.services.loop
        self._attempt: _attempts.AttemptRun | None = None
        self._may_have_run = False
        self._refreshes = 0
        self._refused_groups: set[str] = set()
        self._stop_event: sycamoreloft_decisions.AttemptEvent | None = None
        self._task: asyncio.Task[None] | None = None
        self._tries = 0

    def stop(self, reason: _exchange.StopReason) -> None:
        """Stops the request because of its deadline or its caller.

        An operation that runs at most once is not cancelled for a caller
        that is gone once it was sent: its true outcome answers a later
        request with the same id.
        """
        if self._stop_event is not None:
            return
        event = _EVENTS[reason]
        if (
            isinstance(event, sycamoreloft_decisions.CallerGone)
            and self._given.request.operation.at_most_once
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
            None if an upstream's answer was passed on or cut, else the
            router's own answer.
        """
        self._task = asyncio.current_task()
        now = self._loop.time()
        self._path.budget.record_request(now)
        if self._stop_event is not None:
            # The event came before the task ran for the first time.
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
                problem = await self._refresh()
                if problem is not None:
                    return problem
                if self._stop_event is None:
                    continue
            delay = self._choose_delay(attempt, decision)
            if delay is None or not await self._sleep(delay):
                return self._refuse(attempt, decision)

    async def _run_attempt(
        self,
    ) -> tuple[_attempts.AttemptRun, sycamoreloft_decisions.Decision]:
        path = self._path
        group = path.chooser.choose(self._given.request, self._refused_groups)
        attempt = _attempts.AttemptRun(path.services, self._given, group)
        self._attempt = attempt
        self._tries += 1
        started_at = self._loop.time()
        decision = await attempt.perform()
        if group is not None:
            path.chooser.observe(group, self._loop.time() - started_at)
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
        reference = self._given.request.reference
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

    def _choose_delay(
        self,
        attempt: _attempts.AttemptRun,
        decision: sycamoreloft_decisions.Decision,
    ) -> float | None:
        """Returns the wait before the next attempt, None for no attempt."""
        if not self._is_replayable():
            return None
        now = self._loop.time()
        if (
            attempt.refusal is not None
            and not self._given.request.service.keyed
            and self._tries == 1
            and decision.reason != "quarantined"
        ):
            # Another group may have a free slot. Asking it for a permit
            # sends no work anywhere, so that it needs no retry budget.
            return 0.0
        if not decision.retry_allowed:
            return None
        delay = sycamoreloft_decisions.compute_backoff(
            self._tries, now, self._given.deadline, self._path.generator
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
        return delay if now + delay < self._given.deadline else None

    def _is_replayable(self) -> bool:
        body = self._given.body
        return not isinstance(body, _body_streams.UploadBuffer) or (
            body.bytes_read == 0 and not body.broken
        )

    async def _sleep(self, delay: float) -> bool:
        """Waits; returns False if the request was stopped meanwhile."""
        try:
            await asyncio.sleep(delay)
        except asyncio.CancelledError:
            if self._stop_event is None:
                raise
        return self._stop_event is None

    async def _refresh(self) -> _answers.Refusal | None:
        """Resolves the request under a newer generation."""
        self._refreshes += 1
        known = self._given.request.generation.number
        if self._refreshes > MAXIMUM_REFRESHES:
            return _answers.Refusal(
                503,
                "stale-generation",
                "this host does not get the generation in force",
                _DID_NOT_RUN_REMEDY,
                self._find_outcome(_DID_NOT_RUN),
                1_000,
            )
        names = self._path.services.names
        try:
            await names.refresh_generation(known)
        except asyncio.CancelledError:
            if self._stop_event is None:
                raise
            return None
        parsed = self._path.parser.resolve_names_again(
            self._given.request, self._fields
        )
        match parsed:
            case result.Success(request):
                self._given = dataclasses.replace(self._given, request=request)
                return None
            case result.Failure(refusal):
                outcome = self._find_outcome(_DID_NOT_RUN)
                changed: _answers.Refusal = dataclasses.replace(
                    refusal, outcome=outcome
                )
                return changed
            case _:
                raise TypeError("parse returned no Result")

    def _find_outcome(self, outcome: sycamoreloft_decisions.Outcome) -> str:
        """Returns what is known of all attempts together."""
        if self._may_have_run and outcome is _DID_NOT_RUN:
            return _answers.UNKNOWN
        return outcome.value

    def _refuse(
        self,
        attempt: _attempts.AttemptRun,
        decision: sycamoreloft_decisions.Decision,
    ) -> _answers.Refusal:
        outcome = self._find_outcome(decision.outcome)
        default = (
            _DID_NOT_RUN_REMEDY
            if outcome == _answers.DID_NOT_RUN
            else _UNKNOWN_REMEDY
        )
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
        return _answers.Refusal(
            status or 503,
            reason,
            f"the request ended with {outcome}: {reason}",
            _REMEDIES.get(reason, default),
            outcome,
            retry_after_ms,
            claim.status if claim is not None else 0,
        )
