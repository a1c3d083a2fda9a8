"""Events and commands of the acceptance machine."""

from collections import abc
import dataclasses
import enum

from sycamoreloft_decisions import _acceptance_rows


class WriteResult(enum.Enum):
    """What is known of a transaction."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    #: The answer was lost; the write may take effect later.
    UNKNOWN = "unknown"


# Events.


@dataclasses.dataclass(frozen=True, slots=True)
class FileSubmitted:
    """An operator submits checked files whose objects are stored."""

    #: Request id, unique.
    request: str
    #: Generation that the operator names as the base.
    base: int
    #: All files of the candidate: those of the base with the new ones.
    files: abc.Mapping[str, str]
    #: Groups of the candidate.
    groups: abc.Sequence[str]
    #: Groups of the candidate in failure domains that it declares lost.
    lost_groups: abc.Sequence[str] = ()
    #: Longest time to wait for acceptance before answering, in seconds.
    wait_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """`config/head` was read."""

    #: Version of the row, 0 if it is absent.
    version: int
    #: Value, None if the row is absent.
    row: _acceptance_rows.HeadRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRowsRead:
    """All group rows were read in the same call as the head.

    Follows the `HeadRead` of the call, and is also given if the head did not
    change. It is not given for a read without group rows.
    """

    #: Version of the head in that call.
    head_version: int
    #: Rows by "fleet/domain/index"; an absent row has no entry.
    rows: abc.Mapping[str, _acceptance_rows.GroupRow]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteFinished:
    """A write head, stage or accept command was answered, or not."""

    #: Request id of the command.
    request: str
    #: What is known of it.
    result: WriteResult


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldGroupsChanged:
    """This host holds other groups than before.

    Only group holders read the store periodically. Until the first of these
    events a host reads as if it held a group.
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
    """Read `config/head`, and all group rows in the same call."""

    #: Whether the group rows are needed.
    with_group_rows: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyGenerations:
    """Serve from now on only what both generations treat alike.

    Must be carried out before the commands that follow it.
    """

    #: Number of the accepted generation.
    accepted: int
    #: Number of the pending generation, 0 for none.
    pending: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteHead:
    """Put `config/head`, conditional on its version."""

    #: Request id of the write.
    request: str
    #: Version that the row must have, 0 for absent.
    version: int
    #: New value.
    row: _acceptance_rows.HeadRow


@dataclasses.dataclass(frozen=True, slots=True)
class StageGeneration:
    """Set `staged` of a group row, conditional on its version."""

    #: Request id of the write.
    request: str
    #: Group as "fleet/domain/index".
    group: str
    #: Version that the group row must have.
    version: int
    #: Generation to record.
    staged: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptGeneration:
    """Put `config/head`, conditional on it and on every group row."""

    #: Request id of the write.
    request: str
    #: Version that the head must have.
    version: int
    #: Versions that the group rows must have, 0 for absent.
    group_versions: abc.Mapping[str, int]
    #: New value.
    row: _acceptance_rows.HeadRow


class Verdict(enum.Enum):
    """Final answer to an operator."""

    ACCEPTED = "accepted"
    #: Recorded; some group has not staged it yet.
    PENDING = "pending"
    #: Recorded, then replaced by a later submission that builds on it.
    REPLACED = "replaced"
    #: Not recorded: the base is not the newest generation.
    CONFLICT = "conflict"
    #: Not known whether it was recorded.
    UNKNOWN = "unknown"
    #: Not recorded: the store did not answer, and no write was sent.
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionResult:
    """Answer to a submission."""

    #: Request id of the submission.
    request: str
    #: Outcome.
    verdict: Verdict
    #: Number of the submitted generation; 0 if it was not recorded.
    number: int
    #: Newest generation, on which the next submission must be based.
    newest: int
    #: Failure domains, as "fleet/domain", that have not staged it.
    waiting_domains: abc.Sequence[str] = ()
    #: Names of files that changed between the named base and `newest`.
    changed_files: abc.Sequence[str] = ()


Command = (
    ReadRows
    | ApplyGenerations
    | WriteHead
    | StageGeneration
    | AcceptGeneration
    | SubmissionResult
)
