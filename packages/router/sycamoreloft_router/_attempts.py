"""One attempt of a request: permit, claim, transfer, decision."""

import asyncio
from collections import abc
import dataclasses
import hashlib

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_router import (
    _answer_forwarding,
    _answer_heads,
    _answers,
    _body_streams,
    _caller_requests,
    _exchange,
    _metrics,
    _permit_ports,
    _transfer_types,
    _transfers,
    _upstream_client,
)
import sycamoreloft_wire

_KIND = _transfer_types.FailureKind

# Events without fields that vary; all attempts share one instance of each.
_CONNECTION_MADE = sycamoreloft_decisions.ConnectionMade()
_SENT_REPLAYABLE = sycamoreloft_decisions.BytesSent(True)
_SENT_ONCE = sycamoreloft_decisions.BytesSent(False)
_ANSWER_ENDED = sycamoreloft_decisions.AnswerEnded()
_CONNECTION_BROKEN = sycamoreloft_decisions.ConnectionBroken()


@dataclasses.dataclass(slots=True)
class SharedServices:
    """Parts of the process that all requests share."""

    #: Name of this host, which permit requests carry.
    host: str
    #: Random identifier of this process; part of attempt identifiers.
    incarnation: str
    #: The generation in force and the names that it defines.
    names: _permit_ports.NameSource
    #: Obtains permits from group holders.
    permits: _permit_ports.PermitSource
    #: Obtains claims from group holders.
    claims: _permit_ports.ClaimSource
    #: Sends requests to upstreams.
    client: _upstream_client.UpstreamClient
    #: Metrics that the process exports.
    metrics: _metrics.Metrics
    #: Event loop whose clock deadlines refer to.
    loop: asyncio.AbstractEventLoop
    #: Number of the latest attempt of this process; the first one is 1.
    latest_attempt: int = 0

    def create_attempt_id(self) -> str:
        """Returns an identifier that is unique among all hosts' attempts."""
        self.latest_attempt += 1
        return f"{self.incarnation}-{self.latest_attempt}"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptInput:
    """A request with its body and deadline, the same for all its attempts."""

    #: The request, with its names resolved in one generation.
    request: _caller_requests.CallerRequest
    #: The whole body, a stream of it, or None without a body.
    body: bytes | _body_streams.UploadBuffer | None
    #: Length of the body in bytes, -1 if unknown.
    length: int
    #: Hash of the request, 16 bytes; equal requests have equal ones.
    fingerprint: bytes
    #: Deadline of the request, on the clock of the event loop.
    deadline: float
    #: Receives the upstream's answer for the caller.
    sink: _exchange.AnswerSink


class AttemptExecution:
    """Runs one attempt to serve a request at an upstream.

    Args:
        services: Parts of the process that all requests share.
        attempt_input: Request that the attempt serves.
        group: Group whose holder issues the permit, None if no group is known.
    """

    __slots__ = (
        "_claim",
        "_claim_verdict",
        "_decision",
        "_group",
        "_handle_event",
        "_id",
        "_input",
        "_is_upstream_lost",
        "_loop",
        "_machine",
        "_services",
        "_transfer",
        "answered",
        "claim_answer",
        "failure",
        "refusal",
        "stop_event",
    )

    def __init__(
        self,
        services: SharedServices,
        attempt_input: AttemptInput,
        group: str | None,
    ) -> None:
        operation = attempt_input.request.operation
        self._services = services
        self._input = attempt_input
        self._group = group
        self._id = services.create_attempt_id()
        self._loop = services.loop
        self._machine = machine = sycamoreloft_decisions.Attempt(
            sycamoreloft_decisions.AttemptRules(
                operation.at_most_once,
                operation.repeatable,
                attempt_input.request.service.deduplicates,
            ),
            attempt_input.deadline,
        )
        # Binding a singledispatch method is expensive, so it is done once for
        # each attempt and not for each event.
        self._handle_event = machine.handle
        self._transfer: _transfers.Transfer | None = None
        self._claim: sycamoreloft_wire.ClaimRequest | None = None
        self._claim_verdict = ""
        self._decision: sycamoreloft_decisions.Decision | None = None
        self._is_upstream_lost = False
        #: Whether at least the head of the upstream's answer was sent to the
        #: caller.
        self.answered = False
        #: Answer of the claim holder, None if no claim was requested.
        self.claim_answer: sycamoreloft_wire.ClaimAnswer | None = None
        #: Why the transfer has no complete answer, None if it has one.
        self.failure: _transfer_types.Failure | None = None
        #: Refusal of the permit, None if it was not refused.
        self.refusal: sycamoreloft_wire.PermitRefusal | None = None
        #: Why the attempt is stopped; set before its task is cancelled.
        self.stop_event: sycamoreloft_decisions.AttemptEvent | None = None

    @property
    def is_sent(self) -> bool:
        """Whether the upstream may have received bytes of the request."""
        return self._transfer is not None and self._transfer.maybe_sent

    async def perform(self) -> sycamoreloft_decisions.Decision:
        """Runs the attempt until its outcome is decided.

        Raises:
            asyncio.CancelledError: The task was cancelled and `stop_event` is
                not set. The permit has been returned.
        """
        if self._group is None:
            return self._decide(sycamoreloft_decisions.PermitDenied("no-group"))
        try:
            answer = await self._request_permit(self._group)
        except asyncio.CancelledError:
            if self.stop_event is None:
                raise
            return self._decide(self.stop_event)
        if isinstance(answer, sycamoreloft_wire.PermitRefusal):
            self.refusal = answer
            return self._decide(
                sycamoreloft_decisions.PermitDenied(answer.reason)
            )
        return await self._use_permit(self._group, answer)

    async def _request_permit(
        self, group: str
    ) -> sycamoreloft_wire.PermitGrant | sycamoreloft_wire.PermitRefusal:
        request = self._input.request
        requested_at = self._loop.time()
        try:
            return await self._services.permits.request_permit(
                sycamoreloft_wire.PermitRequest(
                    group,
                    self._id,
                    self._services.host,
                    request.generation.number,
                    request.reference.fleet,
                    request.reference.service,
                    request.key,
                    request.partition,
                    self._input.fingerprint,
                    request.caller,
                    int(request.operation.priority),
                    self._compute_remaining_ms(requested_at),
                )
            )
        finally:
            self._services.metrics.observe(
                "sycamoreloft_permit_wait_seconds",
                self._loop.time() - requested_at,
            )

    def _compute_remaining_ms(self, now: float) -> int:
        return max(1, int((self._input.deadline - now) * 1000))

    async def _use_permit(
        self, group: str, grant: sycamoreloft_wire.PermitGrant
    ) -> sycamoreloft_decisions.Decision:
        granted_at = self._loop.time()
        self._services.permits.watch_permit(
            group, self._id, self._on_upstream_lost
        )
        decision: sycamoreloft_decisions.Decision | None = None
        try:
            decision = await self._perform_with_permit(group, grant)
        except asyncio.CancelledError:
            decision = self._decide_cancelled()
            if self.stop_event is None:
                raise
        finally:
            if decision is None:
                decision = self._decide_cancelled()
            self._report_outcome(
                group, decision, self._loop.time() - granted_at
            )
        return decision

    async def _perform_with_permit(
        self, group: str, grant: sycamoreloft_wire.PermitGrant
    ) -> sycamoreloft_decisions.Decision:
        valid_until = self._loop.time() + grant.valid_ms / 1000
        self._handle(sycamoreloft_decisions.PermitReceived(valid_until))
        if self._input.request.operation.at_most_once:
            decision = await self._request_claim()
            if decision is not None:
                return decision
        now = self._loop.time()
        if self._is_upstream_lost or not self._machine.may_send(now):
            return self._decide(_CONNECTION_BROKEN)
        transfer = self._start_transfer(group, grant, valid_until, now)
        await transfer.wait(_body_streams.PREFIX_BYTES)
        self._record_sent(transfer)
        if transfer.failure is not None:
            if _is_refused(transfer):
                self._handle(_read_head(transfer.head))
            return self._decide_failure(transfer.failure)
        return await self._forward(transfer)

    def _on_upstream_lost(self) -> None:
        """Cancels the transfer, which then fails like a broken connection."""
        self._is_upstream_lost = True
        if self._transfer is not None:
            self._transfer.cancel(_KIND.LOST)

    def _start_transfer(
        self,
        group: str,
        grant: sycamoreloft_wire.PermitGrant,
        send_by: float,
        now: float,
    ) -> _transfers.Transfer:
        attempt_input = self._input
        lines = _caller_requests.build_upstream_lines(
            attempt_input.request,
            group,
            grant.epoch,
            grant.fence,
            self._compute_remaining_ms(now),
            self._id,
        )
        self._transfer = self._services.client.start(
            _transfer_types.UpstreamRequest(
                grant.address,
                attempt_input.request.method,
                attempt_input.request.target,
                lines,
                attempt_input.body,
                attempt_input.length,
                attempt_input.deadline - now,
                self._id,
                send_by,
            )
        )
        return self._transfer

    def _record_sent(self, transfer: _transfers.Transfer) -> None:
        if transfer.maybe_sent:
            body = self._input.body
            is_replayable = (
                not isinstance(body, _body_streams.UploadBuffer)
                or body.bytes_read == 0
            )
            self._handle(_CONNECTION_MADE)
            self._handle(_SENT_REPLAYABLE if is_replayable else _SENT_ONCE)

    async def _forward(
        self, transfer: _transfers.Transfer
    ) -> sycamoreloft_decisions.Decision:
        """Forwards an answer that is complete, or longer than the prefix."""
        head = transfer.head
        self._handle(_read_head(head))
        if _is_refused(transfer):
            # A refusal is never forwarded, whatever its length.
            transfer.cancel()
            return self._decide(_ANSWER_ENDED)
        answer = _answer_forwarding.build_answer(transfer)
        if not transfer.ended:
            return await self._stream(transfer, answer)
        decision = self._decide(_ANSWER_ENDED)
        self.answered = True
        self._input.sink.send_complete(answer, transfer.read_available())
        return decision

    async def _stream(
        self,
        transfer: _transfers.Transfer,
        answer: _answers.UpstreamAnswer,
    ) -> sycamoreloft_decisions.Decision:
        self.answered = True
        await _answer_forwarding.stream(transfer, answer, self._input.sink)
        if transfer.failure is None:
            return self._decide(_ANSWER_ENDED)
        return self._decide_failure(transfer.failure)

    def _decide_failure(
        self, failure: _transfer_types.Failure
    ) -> sycamoreloft_decisions.Decision:
        self.failure = failure
        self._services.metrics.count(
            "sycamoreloft_upstream_failures_total", failure.kind.value
        )
        if failure.kind is _KIND.DEADLINE:
            return self._decide(sycamoreloft_decisions.DeadlinePassed())
        return self._decide(_CONNECTION_BROKEN)

    def _decide_cancelled(self) -> sycamoreloft_decisions.Decision:
        """Cancels the transfer and decides by its state at this moment."""
        transfer = self._transfer
        if transfer is not None:
            transfer.cancel()
            self._record_sent(transfer)
        if self.answered:
            self._input.sink.abort()
        return self._decide(
            self.stop_event or sycamoreloft_decisions.CallerGone()
        )

    async def _request_claim(self) -> sycamoreloft_decisions.Decision | None:
        attempt_input = self._input
        request = attempt_input.request
        id_hash = hashlib.sha256(
            "\0".join(
                (
                    request.reference.fleet,
                    request.reference.service,
                    request.request_id,
                )
            ).encode("utf-8", "surrogateescape")
        ).digest()[:16]
        self._claim = sycamoreloft_wire.ClaimRequest(
            choose_claim_group(request, id_hash),
            request.generation.number,
            id_hash,
            attempt_input.fingerprint,
            self._id,
        )
        answer = await self._services.claims.request_claim(self._claim)
        self.claim_answer = answer
        self._claim_verdict = answer.verdict
        return self._handle(
            sycamoreloft_decisions.ClaimAnswered(
                answer.verdict, answer.outcome, answer.status
            )
        )

    def _report_outcome(
        self,
        group: str,
        decision: sycamoreloft_decisions.Decision,
        seconds: float,
    ) -> None:
        """Returns the permit, records metrics, reports the claim's result."""
        services = self._services
        outcome = decision.outcome
        if self._claim_verdict == "repeated":
            # The decision carries the outcome of an earlier attempt; this
            # attempt sent nothing.
            outcome = sycamoreloft_decisions.Outcome.DID_NOT_RUN
        lost = self.failure is not None and self.failure.kind in (
            _KIND.CONNECT,
            _KIND.BROKEN,
            _KIND.LOST,
        )
        transfer = self._transfer
        refused = (
            transfer is not None
            and transfer.head.complete
            and outcome is sycamoreloft_decisions.Outcome.DID_NOT_RUN
        )
        services.permits.return_permit(
            sycamoreloft_wire.PermitReturn(
                group,
                self._id,
                outcome.value,
                seconds * 1000,
                lost,
                refused,
            )
        )
        if transfer is not None:
            services.metrics.observe("sycamoreloft_upstream_seconds", seconds)
        if self._claim is not None and decision.claim_result:
            status = transfer.head.status if transfer is not None else 0
            completed = outcome is sycamoreloft_decisions.Outcome.COMPLETED
            services.claims.report_result(
                sycamoreloft_wire.ClaimResult(
                    self._claim.group,
                    self._claim.id_hash,
                    self._id,
                    decision.claim_result,
                    status if completed else 0,
                )
            )

    def _handle(
        self, event: sycamoreloft_decisions.AttemptEvent
    ) -> sycamoreloft_decisions.Decision | None:
        if self._decision is None:
            self._decision = self._handle_event(event, self._loop.time())
        return self._decision

    def _decide(
        self, event: sycamoreloft_decisions.AttemptEvent
    ) -> sycamoreloft_decisions.Decision:
        decision = self._handle(event)
        if decision is None:
            raise RuntimeError(
                f"{type(event).__name__} did not decide the attempt"
            )
        return decision


def _is_refused(transfer: _transfers.Transfer) -> bool:
    """Returns whether the upstream refused the request without executing it.

    Such an answer has a refusal status and names its reason in a header. One
    that was rejected proves nothing: it may belong to another request.
    """
    head = transfer.head
    return (
        head.status in sycamoreloft_decisions.REFUSAL_STATUSES
        and head.complete
        and not transfer.problem
        and _read_head(head).refused in sycamoreloft_decisions.REFUSALS
    )


def _read_head(
    head: _answer_heads.AnswerHead,
) -> sycamoreloft_decisions.HeadersReceived:
    refused = ""
    if head.status in sycamoreloft_decisions.REFUSAL_STATUSES:
        refused = head.get_header(b"sycamoreloft-refused").decode("latin1")
    return sycamoreloft_decisions.HeadersReceived(head.status, refused)


def choose_claim_group(
    request: _caller_requests.CallerRequest, id_hash: bytes
) -> str:
    """Returns the group whose holder decides on the claims of a request id.

    Args:
        request: Request whose fleet and generation apply.
        id_hash: Hash of fleet, service and request id.
    """
    fleet = request.generation.fleets[request.reference.fleet]
    names: abc.Sequence[str] = [
        str(group) for group in sycamoreloft_config.list_groups(fleet)
    ]
    return sycamoreloft_config.rank_by_rendezvous(id_hash.hex(), names)[0]
