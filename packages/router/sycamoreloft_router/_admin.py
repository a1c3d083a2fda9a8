"""Handlers of the admin port."""

from collections import abc
import dataclasses
import typing

from returns import result


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """Files that an operator submits to take effect together."""

    #: Request id; a repeated call with the same id is one submission.
    request: str
    #: Generation that the operator bases the files on.
    base: int
    #: Texts by the operator's file name, in the order given.
    texts: abc.Mapping[str, str]
    #: Longest time to wait for acceptance, in seconds.
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """A submission that was recorded."""

    #: Number of the generation.
    number: int
    #: "accepted", "pending" or "replaced".
    status: str
    #: Failure domains, as "fleet/domain", that have not staged it yet.
    waiting_domains: abc.Sequence[str] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationView:
    """The accepted and the pending generation."""

    #: Number of the accepted generation, 0 for none.
    accepted: int
    #: Texts of its files by "fleet/<name>" or "merge".
    files: abc.Mapping[str, str]
    #: Number of the pending generation, 0 for none.
    pending: int = 0
    #: Readable differences from the accepted to the pending generation.
    differences: abc.Sequence[str] = ()
    #: Failure domains that have not staged the pending generation.
    waiting_domains: abc.Sequence[str] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Why a key is where it is."""

    #: Fleet after aliases are resolved.
    fleet: str
    #: Service after aliases are resolved.
    service: str
    #: The key.
    key: str
    #: Partition, -1 for an unkeyed service.
    partition: int
    #: Group as "fleet/domain/index", empty if none is known.
    group: str
    #: Host that holds the group, empty if none is known.
    holder: str
    #: Owning upstream, empty if there is none.
    upstream: str
    #: Sentences that explain the decisions, latest first.
    reasons: abc.Sequence[str] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AdminProblem:
    """Why a call of an operator failed."""

    #: HTTP status.
    status: int
    #: Stable code, such as "conflict" or "invalid-files".
    code: str
    #: What is wrong.
    message: str
    #: What the operator can do about it.
    remedy: str
    #: Further lines, such as each problem in a file.
    details: abc.Sequence[str] = ()


class AdminBackend(typing.Protocol):
    """What the admin port needs of the router."""

    async def submit_file(
        self, submission: Submission
    ) -> result.Result[SubmissionAnswer, AdminProblem]:
        """Checks and records files; waits for acceptance for a while."""

    async def read_generation(
        self,
    ) -> result.Result[GenerationView, AdminProblem]:
        """Reads the accepted and the pending generation."""

    async def explain_key(
        self, fleet: str, service: str, key: str
    ) -> result.Result[Explanation, AdminProblem]:
        """Explains which upstream owns a key and why."""

    async def dump_state(self) -> abc.Mapping[str, typing.Any]:
        """Returns the state of the process, ready for JSON."""

    async def render_metrics(self) -> tuple[bytes, str]:
        """Returns metrics and their content type."""

    async def is_ready(self) -> bool:
        """Tells whether the balancer may send callers to this host."""
