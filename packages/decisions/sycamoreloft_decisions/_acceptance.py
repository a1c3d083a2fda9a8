"""Acceptance of configuration: one row, one winner, no revert.

`config/head` names the accepted generation and at most one pending one. Every
group holder records in its group row that it has staged the pending
generation. One conditional transaction over the head and all group rows then
makes the pending generation the accepted one.
"""

from collections import abc
import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A generation as the head row names it."""

    #: Number, never used twice.
    number: int
    #: Request id of the submission.
    request: str
    #: SHA-256 of each file of the generation, by "fleet/<name>" or "merge".
    files: abc.Mapping[str, str]
    #: Groups of the generation, as "fleet/domain/index".
    groups: abc.Sequence[str] = ()
    #: Those whose failure domain the generation declares lost.
    lost_groups: abc.Sequence[str] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PastSubmission:
    """A submission that took effect, kept to settle lost answers."""

    #: Number of the generation.
    number: int
    #: Request id of the submission.
    request: str
    #: SHA-256 of each file, so that a loser learns what changed.
    files: abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRow:
    """Value of `config/head`."""

    #: The generation in force.
    accepted: Entry
    #: The candidate, if any.
    pending: Entry | None = None
    #: Latest submissions, oldest first.
    history: abc.Sequence[PastSubmission] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRow:
    """What acceptance needs of a group row."""

    #: Version of the row in the table.
    version: int
    #: Name of the holder.
    holder: str
    #: Generation that the holder has staged, 0 for none.
    staged: int = 0


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
    row: HeadRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRowsRead:
    """All group rows were read in the same call as the head."""

    #: Version of the head in that call.
    head_version: int
    #: Rows by "fleet/domain/index"; an absent row has no entry.
    rows: abc.Mapping[str, GroupRow]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSettled:
    """A write head, stage or accept command was answered, or not."""

    #: Request id of the command.
    request: str
    #: What is known of it.
    result: WriteResult


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


Event = FileSubmitted | HeadRead | GroupRowsRead | WriteSettled | Tick


# Commands.


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows:
    """Read `config/head` and all group rows in one call."""


@dataclasses.dataclass(frozen=True, slots=True)
class UseHead:
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
    row: HeadRow


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
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
class Accept:
    """Put `config/head`, conditional on it and on every group row."""

    #: Request id of the write.
    request: str
    #: Version that the head must have.
    version: int
    #: Versions that the group rows must have, 0 for absent.
    group_versions: abc.Mapping[str, int]
    #: New value.
    row: HeadRow


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


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
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


Command = ReadRows | UseHead | WriteHead | Stage | Accept | Answer


class Acceptance:
    """Drives submissions, staging and acceptance on one host.

    Args:
        host: Name of this host.
        make_request_id: Returns a new unique request id at each call.
    """

    def __init__(
        self, host: str, make_request_id: abc.Callable[[], str]
    ) -> None:
        self._host = host
        self._make_request_id = make_request_id

    def handle(self, event: Event, now: float) -> abc.Sequence[Command]:
        """Takes an event at a clock reading and returns what to do."""
        raise NotImplementedError

    def list_waiting_domains(self) -> abc.Sequence[str]:
        """Lists "fleet/domain" that have not staged the pending generation."""
        raise NotImplementedError
