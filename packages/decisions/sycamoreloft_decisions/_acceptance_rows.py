"""Rows that record the accepted and the pending generation."""

from collections import abc
import dataclasses

#: Submissions that the head row remembers. At the design size of 4,500
#: changes a day, 16 of them span five minutes.
MAXIMUM_HISTORY = 16


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRecord:
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
    #: Whether a later submission replaced it while it was pending.
    replaced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRow:
    """Value of `config/head`."""

    #: The generation in force.
    accepted: GenerationRecord
    #: The candidate, if any.
    pending: GenerationRecord | None = None
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


#: The row before the first submission.
EMPTY_HEAD = HeadRow(GenerationRecord(0, "", {}))


def is_based_on_newest(row: HeadRow, base: int) -> bool:
    """Tells whether a submission on a base may be recorded.

    Otherwise the second of two racing operators would undo the change of the
    first one without having seen it.
    """
    return find_newest(row).number == base


def find_newest(row: HeadRow) -> GenerationRecord:
    """Returns the generation on which the next submission must be based."""
    return row.pending or row.accepted


def record_candidate(row: HeadRow, candidate: GenerationRecord) -> HeadRow:
    """Returns the head with a candidate as its pending generation.

    A pending generation is replaced by one that builds on it, so that no
    recorded change is lost without its operator's knowledge.
    """
    history = [
        dataclasses.replace(item, replaced=True)
        if row.pending and item.number == row.pending.number
        else item
        for item in row.history
    ]
    past = PastSubmission(candidate.number, candidate.request, candidate.files)
    return HeadRow(
        accepted=row.accepted,
        pending=candidate,
        history=(*history, past)[-MAXIMUM_HISTORY:],
    )


def list_required_groups(row: HeadRow) -> abc.Sequence[str]:
    """Lists the groups that must stage the pending generation.

    Only groups of the accepted generation can have a holder, unless it
    declares them lost: then no host holds them, and they could never stage
    the generation that declares them running again. Those that the pending
    generation declares lost cannot answer; the operator vouches that they no
    longer run.
    """
    lost = set(row.accepted.lost_groups)
    if row.pending:
        lost.update(row.pending.lost_groups)
    return [group for group in row.accepted.groups if group not in lost]


def list_waiting_groups(
    row: HeadRow, rows: abc.Mapping[str, GroupRow]
) -> abc.Sequence[str]:
    """Lists the required groups that have not staged what is pending.

    A group without a row has never had a holder. Whoever takes it creates
    the row, which conflicts with an acceptance that found it absent.
    """
    if row.pending is None:
        return []
    return [
        group
        for group in list_required_groups(row)
        if group in rows and rows[group].staged != row.pending.number
    ]
