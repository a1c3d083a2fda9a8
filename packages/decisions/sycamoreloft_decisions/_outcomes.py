"""Determines the outcome of an attempt to send a request to an upstream.

A request did not run if the attempt got no permit or claim, if no connection
was made, or if the upstream refused the request with `Sycamoreloft-Refused`.
As soon as a connection exists, bytes may have reached the upstream. Unless the
upstream then refuses the request or answers it completely, the outcome is
unknown.
"""

import dataclasses
import enum
import functools

#: Values of the header `Sycamoreloft-Refused` by which an upstream states that
#: it did not run the request, and the HTTP statuses of such answers.
REFUSALS = frozenset({"not-owner", "shed", "draining", "expired"})
REFUSAL_STATUSES = frozenset({421, 503})

#: Reasons after which no other attempt is made, because it would fail for the
#: same reason or add load to an overloaded upstream.
FINAL_REASONS = frozenset(
    {
        "caller-gone",
        "conflict",
        "deadline",
        "expired",
        "overloaded",
        "quarantined",
        "shed",
    }
)

#: HTTP statuses for callers, by reason. With any other reason, the status is
#: 503 if the request did not run and 502 if the outcome is unknown.
STATUSES = {"conflict": 422, "deadline": 504, "expired": 504, "repeated": 409}


class Outcome(enum.StrEnum):
    """Whether a request ran, as far as is known."""

    #: The whole answer arrived.
    COMPLETED = "completed"
    #: The upstream did not begin to run the request.
    DID_NOT_RUN = "did-not-run"
    #: The request may have run.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReceived:
    """The holder issued a permit."""

    #: Time until which the attempt may start to send, in seconds.
    valid_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDenied:
    """The holder refused a permit, or no holder could be reached."""

    #: Stable reason, as in the message `PermitRefusal`.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """The claim holder answered, or could not be reached."""

    #: Verdict, as in the message `ClaimAnswer`; "unavailable" if the holder
    #: could not be reached.
    verdict: str
    #: Outcome of the first attempt if the verdict is "repeated".
    outcome: str = ""
    #: HTTP status of the first attempt if it completed.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionMade:
    """A connection was made. From now on, bytes may reach the upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class BytesSent:
    """Bytes of the request were written to the connection."""

    #: Whether the whole request is in memory, so that it can be sent again.
    replayable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HeadersReceived:
    """The headers of the answer arrived."""

    #: HTTP status.
    status: int
    #: Value of the header `Sycamoreloft-Refused`; empty if there is none.
    refused: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class BodyPartReceived:
    """A part of the answer's body arrived and was sent to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnded:
    """The whole answer arrived."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionBroken:
    """The connection could not be made, or broke before the answer ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of the request passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


AttemptEvent = (
    PermitReceived
    | PermitDenied
    | ClaimAnswered
    | ConnectionMade
    | BytesSent
    | HeadersReceived
    | BodyPartReceived
    | AnswerEnded
    | ConnectionBroken
    | DeadlinePassed
    | CallerGone
)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Outcome of one attempt, and what follows from it."""

    outcome: Outcome
    #: Stable reason, for the header `Sycamoreloft-Reason`.
    reason: str
    #: HTTP status for the caller. If an answer of the upstream was passed on,
    #: its status.
    status: int
    #: Whether another attempt may follow, if retry budget and deadline allow.
    retry_allowed: bool
    #: Whether the caller's connection must be closed before the last chunk,
    #: because the answer that was being passed on is incomplete.
    close_caller: bool
    #: Whether the connection to the upstream may serve another request,
    #: provided that the whole request was sent on it.
    reuse_connection: bool
    #: Outcome to report to the claim holder; empty if there is nothing to
    #: report.
    claim_result: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRules:
    """Properties of the operation that limit its attempts."""

    #: Whether the operation must run at most once for a request id.
    at_most_once: bool = False
    #: Whether the operation is idempotent.
    repeatable: bool = False
    #: Whether the upstreams deduplicate by request id, so that an attempt may
    #: be sent even if claims are unavailable.
    deduplicates: bool = False


class Attempt:
    """State machine that determines the outcome of one attempt."""

    def __init__(self, rules: AttemptRules, deadline: float) -> None:
        """Starts an attempt.

        Args:
            rules: Properties of the operation.
            deadline: Deadline of the request, in seconds.
        """
        self._rules = rules
        self._deadline = deadline
        self._valid_until: float | None = None
        self._verdict = ""
        self._connected = False
        self._replayable = True
        self._refused = ""
        self._status = 0
        self._decided = False

    def may_send(self, now: float) -> bool:
        """Returns whether a connection to the upstream may be made now."""
        return (
            not self._decided
            and now < self._deadline
            and self._valid_until is not None
            and now < self._valid_until
            and (not self._rules.at_most_once or self._has_claim())
        )

    def handle(self, event: AttemptEvent, now: float) -> Decision | None:
        """Applies an event.

        Returns:
            The decision if the event leads to it, which happens once; None
            for all other events.
        """
        decision: Decision | None
        decision = _find_handler(type(event))(self, event, now)
        return decision

    @functools.singledispatchmethod
    def _handle(self, event: AttemptEvent, now: float) -> Decision | None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_handle.register
    def _handle_permit(
        self, event: PermitReceived, now: float
    ) -> Decision | None:
        self._valid_until = event.valid_until
        return None

    @_handle.register
    def _handle_denied(
        self, event: PermitDenied, now: float
    ) -> Decision | None:
        return self._decide(Outcome.DID_NOT_RUN, event.reason, now)

    @_handle.register
    def _handle_claim(
        self, event: ClaimAnswered, now: float
    ) -> Decision | None:
        if self._decided:
            return None
        self._verdict = event.verdict
        if self._has_claim():
            return None
        if event.verdict == "repeated":
            if event.outcome == "completed":
                self._status = event.status
                return self._decide(Outcome.COMPLETED, "repeated", now)
            return self._decide(Outcome.UNKNOWN, "repeated", now)
        reason = event.verdict
        if reason == "unavailable":
            reason = "claim-unavailable"
        return self._decide(Outcome.DID_NOT_RUN, reason, now)

    @_handle.register
    def _handle_connected(
        self, event: ConnectionMade, now: float
    ) -> Decision | None:
        self._connected = True
        return None

    @_handle.register
    def _handle_sent(self, event: BytesSent, now: float) -> Decision | None:
        self._connected = True
        self._replayable = event.replayable
        return None

    @_handle.register
    def _handle_headers(
        self, event: HeadersReceived, now: float
    ) -> Decision | None:
        # Interim answers (1xx) don't determine the outcome.
        if event.status < 200 or self._status:
            return None
        self._status = event.status
        if event.status in REFUSAL_STATUSES and event.refused in REFUSALS:
            self._refused = event.refused
        return None

    @_handle.register
    def _handle_part(
        self, event: BodyPartReceived, now: float
    ) -> Decision | None:
        return None

    @_handle.register
    def _handle_end(self, event: AnswerEnded, now: float) -> Decision | None:
        if not self._status:
            return self._end_early("connection-broken", now)
        if self._refused:
            return self._decide(Outcome.DID_NOT_RUN, self._refused, now, True)
        return self._decide(Outcome.COMPLETED, "completed", now, True)

    @_handle.register
    def _handle_broken(
        self, event: ConnectionBroken, now: float
    ) -> Decision | None:
        reason = "connection-broken" if self._connected else "not-connected"
        return self._end_early(reason, now)

    @_handle.register
    def _handle_deadline(
        self, event: DeadlinePassed, now: float
    ) -> Decision | None:
        return self._end_early("deadline", now)

    @_handle.register
    def _handle_gone(self, event: CallerGone, now: float) -> Decision | None:
        return self._end_early("caller-gone", now)

    def _has_claim(self) -> bool:
        return self._verdict == "claimed" or (
            self._rules.deduplicates and self._verdict == "unavailable"
        )

    def _end_early(self, reason: str, now: float) -> Decision | None:
        """Decides on an attempt whose answer did not arrive completely."""
        if self._refused:
            return self._decide(Outcome.DID_NOT_RUN, self._refused, now)
        if self._connected:
            return self._decide(Outcome.UNKNOWN, reason, now)
        return self._decide(Outcome.DID_NOT_RUN, reason, now)

    def _decide(
        self,
        outcome: Outcome,
        reason: str,
        now: float,
        reuse_connection: bool = False,
    ) -> Decision | None:
        if self._decided:
            return None
        self._decided = True
        answered = bool(self._status) and not self._refused
        status = self._status if answered else STATUSES.get(reason, 0)
        if not status:
            status = 503 if outcome is Outcome.DID_NOT_RUN else 502
        return Decision(
            outcome=outcome,
            reason=reason,
            status=status,
            retry_allowed=self._may_retry(outcome, reason, now),
            # The headers were passed on, so only closing the connection shows
            # the caller that the answer is incomplete.
            close_caller=answered and outcome is Outcome.UNKNOWN,
            reuse_connection=reuse_connection,
            claim_result=self._get_claim_result(outcome),
        )

    def _may_retry(self, outcome: Outcome, reason: str, now: float) -> bool:
        if (
            now >= self._deadline
            or not self._replayable
            or reason in FINAL_REASONS
        ):
            return False
        if outcome is Outcome.DID_NOT_RUN:
            return True
        # Once headers were passed on, another answer cannot replace them.
        return (
            outcome is Outcome.UNKNOWN
            and reason != "repeated"
            and self._rules.repeatable
            and not self._rules.at_most_once
            and not self._status
        )

    def _get_claim_result(self, outcome: Outcome) -> str:
        """Returns the outcome to report to the claim holder, if any.

        An attempt that got no answer from the claim holder reports its outcome
        too, because its claim may still be stored later.
        """
        if not self._rules.at_most_once:
            return ""
        if self._verdict in ("", "claimed", "unavailable"):
            return str(outcome)
        return ""


# Accessing a singledispatchmethod creates a new function each time, which took
# 2 to 4 us. Looking up the handler in its dispatch table took 0.3 us.
_find_handler = vars(Attempt)["_handle"].dispatcher.dispatch
