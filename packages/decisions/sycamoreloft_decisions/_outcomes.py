"""What a caller is told of one attempt, decided from observed events."""

import dataclasses
import enum
import functools


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
    #: Whether the connection to the upstream may serve another request.
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

    def may_send(self, now: float) -> bool:
        """Tells whether a connection to the upstream may be made now."""
        raise NotImplementedError

    @functools.singledispatchmethod
    def handle(self, event: AttemptEvent, now: float) -> Decision | None:
        """Applies an event; returns the decision once, when it is known."""
        raise TypeError(f"unknown event {type(event).__name__}")
