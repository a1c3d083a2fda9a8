"""Events and commands of the state machine `Acceptance`."""

from collections import abc
import dataclasses
import enum

from sycamoreloft_decisions import _acceptance_rows


class WriteResult(enum.Enum):
    """Result of a conditional write, as far as it is known."""

    APPLIED = "applied"
    #: A row did not have the required version; nothing was written.
    CONFLICT = "conflict"
    #: The answer was lost; the write may be committed now or later.
    UNKNOWN = "unknown"


# Events.


@dataclasses.dataclass(frozen=True, slots=True)
class FileSubmitted:
    """An operator submitted files, which were checked and stored."""

    #: Unique request id; a retry of the submission has the same id.
    request: str
    #: Number of the generation that the operator changed.
    base: int
    #: SHA-256 of each file of the new generation, by file name. Contains the
    #: unchanged files of the base, too.
    files: abc.Mapping[str, str]
    #: Groups of the new generation, as "fleet/domain/index".
    groups: abc.Sequence[str]
    #: Those of `groups` in failure domains that the files declare lost.
    lost_groups: abc.Sequence[str] = ()
    #: Maximum time to wait for acceptance before the answer, in seconds.
    wait_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """The row `config/head` was read."""

    #: Version of the row in the store; 0 if the row is absent.
    version: int
    #: Value of the row; None if the row is absent.
    row: _acceptance_rows.HeadRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRowsRead:
    """All group rows were read in one snapshot with the head.

    Follows the `HeadRead` event of the same read, whether the head has changed
    or not. A read without group rows does not cause this event.
    """

    #: Version of the head in the same snapshot.
    head_version: int
    #: Rows by group ("fleet/domain/index"); absent rows have no entry.
    rows: abc.Mapping[str, _acceptance_rows.GroupRow]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteFinished:
    """A write was answered or timed out.

    The write is that of a `WriteHead`, `StageGeneration` or
    `AcceptGeneration` command.
    """

    #: Request id of the command.
    request: str
    result: WriteResult


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer event."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldGroupsChanged:
    """The set of groups that this host holds has changed.

    Only group holders read the store periodically. Until the first event of
    this type, a host reads as if it held a group.
    """

    #: Groups as "fleet/domain/index".
    groups: abc.Collection[str]


Event = (
    FileSubmitted
    | HeadRead
    | GroupRowsRead
    | WriteFinished
    | Tick
    | HeldGroupsChanged
)


# Commands.


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows:
    """Read the row `config/head`, and the group rows in the same snapshot."""

    #: Whether to read the group rows, too.
    with_group_rows: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyGenerations:
    """Apply the accepted and the pending generation on this host.

    From then on, the host only serves requests that both generations treat
    alike. The command must be completed before the ones that follow it.
    """

    #: Number of the accepted generation.
    accepted: int
    #: Number of the pending generation; 0 if there is none.
    pending: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteHead:
    """Write the row `config/head` with a new pending generation."""

    #: Request id of the submission.
    request: str
    #: The write must fail unless the row has this version; 0 for absent.
    version: int
    #: New value of the row.
    row: _acceptance_rows.HeadRow


@dataclasses.dataclass(frozen=True, slots=True)
class StageGeneration:
    """Record in a group row that its holder has staged a generation."""

    #: Request id of the write.
    request: str
    #: Group as "fleet/domain/index".
    group: str
    #: The write must fail unless the group row has this version.
    version: int
    #: Number of the staged generation.
    staged: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptGeneration:
    """Write the row `config/head` with the pending generation as accepted."""

    #: Request id of the write.
    request: str
    #: The write must fail unless the head has this version.
    version: int
    #: The write must fail unless each group row has this version; 0 for
    #: absent.
    group_versions: abc.Mapping[str, int]
    #: New value of the head.
    row: _acceptance_rows.HeadRow


class Verdict(enum.Enum):
    """Outcome of a submission."""

    #: The new generation is in force.
    ACCEPTED = "accepted"
    #: The submission is recorded; some group has not staged it yet.
    PENDING = "pending"
    #: The submission was recorded, and a later submission that is based on it
    #: replaced it before it was accepted.
    REPLACED = "replaced"
    #: Not recorded, because the base is not the newest generation.
    CONFLICT = "conflict"
    #: It is not known whether the submission was recorded.
    UNKNOWN = "unknown"
    #: Not recorded: the store did not answer, so no write was sent.
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionResult:
    """Report the result of a submission to the operator."""

    #: Request id of the submission.
    request: str
    verdict: Verdict
    #: Number of the submitted generation; 0 if it was not recorded.
    number: int
    #: Number of the newest generation, on which the next submission must be
    #: based.
    newest: int
    #: If pending: failure domains that have not staged the generation, as
    #: "fleet/domain".
    waiting_domains: abc.Sequence[str] = ()
    #: In a conflict: names of the files that differ between the base of the
    #: submission and `newest`.
    changed_files: abc.Sequence[str] = ()


Command = (
    ReadRows
    | ApplyGenerations
    | WriteHead
    | StageGeneration
    | AcceptGeneration
    | SubmissionResult
)
