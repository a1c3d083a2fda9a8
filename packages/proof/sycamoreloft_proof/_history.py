"""Typed events of one test run, recorded by callers, upstreams and drivers.

All times are in seconds of the monotonic clock that the processes of one
machine share. Each event holds only what its own source observed.
"""

from collections import abc
import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Outcome of a request as reported to its caller."""

    COMPLETED = "completed"
    DID_NOT_RUN = "did-not-run"
    UNKNOWN = "unknown"


class Ending(enum.StrEnum):
    """How the connection of a request ended for the caller."""

    #: The answer was complete according to its HTTP framing.
    WHOLE = "whole"
    #: The connection could not be established.
    NOT_CONNECTED = "not-connected"
    #: The connection ended before the answer was complete.
    CUT = "cut"
    #: The caller stopped waiting.
    TIMED_OUT = "timed-out"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSent:
    """A caller sent one request."""

    #: When the caller began to send.
    at: float
    #: Identifier, new for each retry; the upstream logs and echoes it.
    request: str
    #: Value of the Idempotency-Key header, the same for retries; "" for none.
    idempotency_key: str
    #: Whether the fleet file declares that the operation runs at most once.
    at_most_once: bool
    #: Name of the router that received the request.
    router: str
    #: Fleet of the service.
    fleet: str
    #: Name of the service inside its fleet.
    service: str
    #: Key, "" for an unkeyed service.
    key: str
    #: Name that the caller sends in its headers.
    caller: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerReceived:
    """A request ended for its caller."""

    #: When the caller had the answer or gave up.
    at: float
    #: Identifier of the request, as in `RequestSent`.
    request: str
    #: Whether the answer was complete, and if not, why.
    ending: Ending
    #: Outcome that the router reported; unknown if the connection was cut.
    outcome: Outcome
    #: HTTP status, 0 for none.
    status: int
    #: Reason that the router stated, or the text of the connection error.
    reason: str
    #: Whether the body must be the upstream's echo of this request.
    echo_expected: bool
    #: Whether the body was exactly the expected one.
    echo_matches: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStarted:
    """A process of an upstream started, without any grant."""

    #: When the upstream logged its start.
    at: float
    #: Upstream as "fleet/name".
    upstream: str
    #: Identifier of the run of the upstream, new for each process.
    incarnation: str
    #: Maximum number of requests that it processes concurrently.
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEnded:
    """A process of an upstream ended, by its log or its driver."""

    #: When the process had ended.
    at: float
    #: Upstream as "fleet/name".
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantAccepted:
    """An upstream accepted a grant, which replaces the group's earlier one."""

    #: When the upstream accepted the grant.
    at: float
    #: Upstream as "fleet/name".
    upstream: str
    #: Group as "fleet/domain/index".
    group: str
    #: Epoch of the holder that sent it.
    epoch: int
    #: Version of the content.
    version: int
    #: When the grant expires, by the upstream's own clock.
    until: float
    #: Fences by service ("fleet/service") and partition; None if unchanged.
    partitions: abc.Mapping[str, abc.Mapping[int, int]] | None
    #: Fences by service ("fleet/service") and hot key; None if unchanged.
    hot_keys: abc.Mapping[str, abc.Mapping[str, int]] | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunStarted:
    """An upstream started to process a request."""

    #: When the upstream began to process it.
    at: float
    #: When the upstream received the request.
    arrived_at: float
    #: Upstream as "fleet/name".
    upstream: str
    #: Identifier of this execution, unique inside the upstream's process.
    run: str
    #: Identifier of the request, as in `RequestSent`.
    request: str
    #: Value of the Idempotency-Key header, "" for none.
    idempotency_key: str
    #: Service as "fleet/service".
    service: str
    #: Key, "" for an unkeyed service.
    key: str
    #: Partition, -1 for an unkeyed service.
    partition: int
    #: Fence that the router sent with the request, 0 for none.
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """An upstream finished processing a request and freed its slot."""

    #: When the slot was free again.
    at: float
    #: Upstream as "fleet/name".
    upstream: str
    #: Identifier of the execution, as in `RunStarted`.
    run: str
    #: Whether the sender closed the connection before the end.
    cancelled: bool
    #: Whether an injected fault damaged the answer.
    broken: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FileAccepted:
    """An operator learned that its file became an accepted generation."""

    #: When an operator first saw it as accepted.
    at: float
    #: When the operator submitted the file.
    submitted_at: float
    #: Number of the accepted generation.
    generation: int
    #: Upstreams ("fleet/name") that this generation declares as leaving.
    leaving: abc.Set[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRead:
    """An operator read the accepted generation of a ready router."""

    #: When the read request was sent.
    asked_at: float
    #: When the answer arrived.
    at: float
    #: Name of the router that answered.
    router: str
    #: Number of the generation that the router applies.
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class AssignmentsRead:
    """A driver read all assignments from the platform's table."""

    #: When the read request was sent.
    at: float
    #: Upstream ("fleet/name") and fence, by service ("fleet/service") and
    #: partition number or hot key.
    owners: abc.Mapping[tuple[str, int | str], tuple[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class StopBegan:
    """A driver began a planned stop of a router."""

    #: When the driver sent the stop signal.
    at: float
    #: Name of the router's host.
    router: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopEnded:
    """A router process exited after a planned stop."""

    #: When the driver saw the process end.
    at: float
    #: Name of the router's host.
    router: str
    #: Exit code; 0 for a clean stop.
    exit_code: int


Event = (
    RequestSent
    | AnswerReceived
    | UpstreamStarted
    | UpstreamEnded
    | GrantAccepted
    | RunStarted
    | RunEnded
    | FileAccepted
    | GenerationRead
    | AssignmentsRead
    | StopBegan
    | StopEnded
)


class Condition(enum.StrEnum):
    """Conditions of section 1.1 of the design that the checker verifies."""

    ONE_OWNER = "one-owner"
    ASSIGNMENT_SURVIVES = "assignment-survives"
    OWN_WHOLE_ANSWER = "own-whole-answer"
    DID_NOT_RUN = "did-not-run"
    AT_MOST_ONCE = "at-most-once"
    LEAVING = "leaving"
    PLANNED_STOP = "planned-stop"
    FILE_IN_FORCE = "file-in-force"
    SLOTS = "slots"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """An observation that contradicts a condition."""

    #: Condition that did not hold.
    condition: Condition
    #: When it was violated.
    at: float
    #: Description for people, with the requests and upstreams involved.
    detail: str
