"""Typed events of a run, as callers, upstreams, operators and routers saw it.

All times are seconds of the monotonic clock that the processes of one machine
share. An event says only what its own source saw.
"""

from collections import abc
import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What a caller was told about a request."""

    COMPLETED = "completed"
    DID_NOT_RUN = "did-not-run"
    UNKNOWN = "unknown"


class Ending(enum.StrEnum):
    """How the connection of a request ended for the caller."""

    #: The answer arrived whole by the rules of HTTP.
    WHOLE = "whole"
    #: No connection was made.
    NOT_CONNECTED = "not-connected"
    #: The connection ended before the whole answer.
    CUT = "cut"
    #: The caller gave up waiting.
    TIMED_OUT = "timed-out"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSent:
    """A caller started one request."""

    #: Time.
    at: float
    #: Unique per sending; the upstream logs and echoes it.
    request: str
    #: Identity of the operation, the same when it is sent again; may be "".
    idempotency_key: str
    #: Whether the fleet's file declares the operation at most once.
    at_most_once: bool
    #: Router that the request was sent to.
    router: str
    #: Fleet of the service.
    fleet: str
    #: Service.
    service: str
    #: Key, "" for an unkeyed service.
    key: str
    #: Caller.
    caller: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerReceived:
    """A request ended for its caller."""

    #: Time.
    at: float
    #: Request.
    request: str
    #: How the connection ended.
    ending: Ending
    #: What the caller was told; unknown if the connection was cut.
    outcome: Outcome
    #: HTTP status, 0 for none.
    status: int
    #: Reason that the router gave.
    reason: str
    #: Whether the body must be the upstream's echo of this request.
    echo_expected: bool
    #: Whether the body was exactly the expected one.
    echo_matches: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStarted:
    """A process of an upstream began; it remembers no grant."""

    #: Time.
    at: float
    #: Upstream as "fleet/name".
    upstream: str
    #: Identifier of the process.
    incarnation: str
    #: Requests that it runs at once.
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEnded:
    """A process of an upstream ended; a driver or the log says so."""

    #: Time.
    at: float
    #: Upstream as "fleet/name".
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantAccepted:
    """An upstream accepted a grant, which replaces its group's earlier one."""

    #: Time.
    at: float
    #: Upstream as "fleet/name".
    upstream: str
    #: Group as "fleet/domain/index".
    group: str
    #: Epoch of the holder.
    epoch: int
    #: Version of the content.
    version: int
    #: Time until which the grant is in force by the upstream's own clock.
    until: float
    #: Fences by service ("fleet/service") and partition; None: as before.
    partitions: abc.Mapping[str, abc.Mapping[int, int]] | None
    #: Fences by service ("fleet/service") and hot key; None: as before.
    hot_keys: abc.Mapping[str, abc.Mapping[str, int]] | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunStarted:
    """An upstream started to run a request."""

    #: Time.
    at: float
    #: Time at which the request arrived.
    arrived_at: float
    #: Upstream as "fleet/name".
    upstream: str
    #: Identifies the run among those of the upstream's process.
    run: str
    #: Request that the caller named.
    request: str
    #: Identity of the operation, "" for none.
    idempotency_key: str
    #: Service ("fleet/service").
    service: str
    #: Key, "" for an unkeyed service.
    key: str
    #: Partition, -1 for an unkeyed service.
    partition: int
    #: Fence with which the request came, 0 for none.
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """An upstream finished a run and freed its slot."""

    #: Time.
    at: float
    #: Upstream as "fleet/name".
    upstream: str
    #: Run.
    run: str
    #: Whether the sender closed the connection before the end.
    cancelled: bool
    #: Whether the upstream broke its answer on purpose.
    broken: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FileAccepted:
    """An operator read that its file became an accepted generation."""

    #: Time.
    at: float
    #: Time at which the operator submitted the file.
    submitted_at: float
    #: Accepted generation.
    generation: int
    #: Upstreams ("fleet/name") that are leaving in this generation.
    leaving: abc.Set[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRead:
    """An operator read the accepted generation of a ready router."""

    #: Time at which the question was sent.
    asked_at: float
    #: Time of the answer.
    at: float
    #: Router.
    router: str
    #: Accepted generation that it has in force.
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class AssignmentsRead:
    """A driver read all assignments from the table."""

    #: Time at which the question was sent.
    at: float
    #: Upstream ("fleet/name") and fence by (service, partition or hot key).
    owners: abc.Mapping[tuple[str, int | str], tuple[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class StopBegan:
    """A planned stop of a router began."""

    #: Time.
    at: float
    #: Router.
    router: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopEnded:
    """The process of a router that was stopped as planned ended."""

    #: Time.
    at: float
    #: Router.
    router: str
    #: Exit code.
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
    """Conditions of section 1.1, as the checker reports them."""

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
    """A condition did not hold."""

    #: Condition.
    condition: Condition
    #: Time at which it was broken.
    at: float
    #: What was seen, with names.
    detail: str
