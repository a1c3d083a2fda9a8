"""What a caller is told of one attempt, decided from observed events.

An attempt did not run if no connection was made, if the upstream refused it
by contract, or if it got no permit or claim. As soon as a connection exists,
bytes may have reached the upstream, and everything but a whole answer or a
refusal by contract is unknown.
"""

import dataclasses
import enum
import functools

#: Values of `Sycamoreloft-Refused` by which an upstream says that it did not
#: run the request, and the statuses that come with them.
REFUSALS = frozenset({"not-owner", "shed", "draining", "expired"})
REFUSAL_STATUSES = frozenset({421, 503})

#: Reasons after which another attempt would fail in the same way, or would
#: add load to what refused because of load.
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

#: HTTP statuses by reason; others are 503 for did-not-run, 502 for unknown.
STATUSES = {"conflict": 422, "deadline": 504, "expired": 504, "repeated": 409}


class Outcome(enum.StrEnum):
    """What is known of a request."""

    #: The whole answer arrived.
    COMPLETED = "completed"
    #: Nothing of the request ran.
    DID_NOT_RUN = "did-not-run"
    #: It may have run.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReceived:
    """The holder gave a permit."""

    #: Time until which the attempt may start to send.
    valid_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDenied:
    """The holder refused, or no holder could be reached."""

    #: Stable reason, as in the message `PermitRefusal`.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """The claim holder answered; "unavailable" if it could not be reached."""

    #: Verdict, as in the message `ClaimAnswer`.
    verdict: str
    #: Outcome of the first attempt, for "repeated".
    outcome: str = ""
    #: HTTP status of the first answer, for "repeated" and completed.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionMade:
    """A connection is ready; from now on bytes may reach the upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class BytesSent:
    """Bytes of the request were handed to the connection."""

    #: Whether the whole request could be sent again from memory.
    replayable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HeadersReceived:
    """The headers of the answer arrived."""

    #: HTTP status.
    status: int
    #: Value of `Sycamoreloft-Refused`, empty without that header.
    refused: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class BodyPartReceived:
    """A part of the answer's body arrived and was passed to the caller."""


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
    """The end of one attempt."""

    #: What is known.
    outcome: Outcome
    #: Stable reason, for `Sycamoreloft-Reason`.
    reason: str
    #: HTTP status for the caller if no answer of the upstream was passed on.
    status: int
    #: Whether another attempt may be made, if budget and deadline allow it.
    retry_allowed: bool
    #: Whether the caller's connection must be closed without the last chunk.
    close_caller: bool
    #: Whether the connection to the upstream may serve another request, if
    #: the whole request was sent on it.
    reuse_connection: bool
    #: Outcome to report to the claim holder; empty if no claim was asked.
    claim_result: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRules:
    """What the declared operation allows."""

    #: Whether the operation must run at most once for a request id.
    at_most_once: bool = False
    #: Whether the operation is idempotent.
    repeatable: bool = False
    #: Whether upstreams deduplicate by request id themselves, so that an
    #: attempt may be sent while claims are unavailable.
    deduplicates: bool = False


class Attempt:
    """Observes one attempt of a request until it is decided."""

    def __init__(self, rules: AttemptRules, deadline: float) -> None:
        """Starts an attempt that must end before the deadline."""
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
        """Tells whether a connection to the upstream may be made now."""
        return (
            not self._decided
            and now < self._deadline
            and self._valid_until is not None
            and now < self._valid_until
            and (not self._rules.at_most_once or self._has_claim())
        )

    def handle(self, event: AttemptEvent, now: float) -> Decision | None:
        """Applies an event; returns the decision once, when it is known."""
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
        # An interim answer (1xx) says nothing about the request.
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
        """Decides an attempt whose answer did not arrive as a whole."""
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
            # Headers were passed on, so only closing tells the caller that
            # the answer is not whole.
            close_caller=answered and outcome is Outcome.UNKNOWN,
            reuse_connection=reuse_connection,
            claim_result=self._find_claim_result(outcome),
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
        # Headers that were passed on cannot be taken back.
        return (
            outcome is Outcome.UNKNOWN
            and reason != "repeated"
            and self._rules.repeatable
            and not self._rules.at_most_once
            and not self._status
        )

    def _find_claim_result(self, outcome: Outcome) -> str:
        """Returns what the claim holder must learn.

        An attempt without an answer from the claim holder reports as well,
        because its claim may become durable later.
        """
        if not self._rules.at_most_once:
            return ""
        if self._verdict in ("", "claimed", "unavailable"):
            return str(outcome)
        return ""


# An access to a singledispatchmethod builds a new function and took 2 to 4 us;
# a look-up in its table took 0.3 us.
_find_handler = vars(Attempt)["_handle"].dispatcher.dispatch
