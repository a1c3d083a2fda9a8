"""Rows of the store that record the accepted and the pending generation."""

from collections import abc
import dataclasses

#: Maximum number of submissions in the history of the head row. At the design
#: size of 4,500 changes a day, 16 of them span five minutes.
MAXIMUM_HISTORY = 16


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRecord:
    """A generation as the head row records it."""

    #: Unique number; each recorded submission increases it by one.
    number: int
    #: Request id of the submission.
    request: str
    #: SHA-256 of each file, by file name ("fleet/<name>" or "merge").
    files: abc.Mapping[str, str]
    #: All groups that the files declare, as "fleet/domain/index".
    groups: abc.Sequence[str] = ()
    #: Groups in failure domains that the files declare lost.
    lost_groups: abc.Sequence[str] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PastSubmission:
    """A recorded submission; tells a host the result after a lost answer."""

    #: Number of the generation that the submission created.
    number: int
    #: Request id of the submission.
    request: str
    #: SHA-256 of each file, by file name. A conflict report names the files
    #: that differ from these.
    files: abc.Mapping[str, str]
    #: Whether a later submission replaced the generation while it was pending.
    replaced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRow:
    """Value of the row `config/head`."""

    #: The generation in force.
    accepted: GenerationRecord
    #: The generation that the groups are to stage; None if there is none.
    pending: GenerationRecord | None = None
    #: The latest recorded submissions, oldest first.
    history: abc.Sequence[PastSubmission] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRow:
    """The fields of a group row that acceptance needs."""

    #: Version of the row in the store.
    version: int
    #: Host that holds the group.
    holder: str
    #: Number of the latest generation that the holder has staged; 0 for none.
    staged: int = 0


#: Value of the head before the first submission, when the row is absent.
EMPTY_HEAD = HeadRow(GenerationRecord(0, "", {}))


def is_based_on_newest(row: HeadRow, base: int) -> bool:
    """Returns whether a submission on a base may be recorded.

    The base must be the newest generation. Otherwise the second of two
    concurrent submissions would silently undo the change of the first one.
    """
    return get_newest(row).number == base


def get_newest(row: HeadRow) -> GenerationRecord:
    """Returns the generation on which the next submission must be based."""
    return row.pending or row.accepted


def record_candidate(row: HeadRow, candidate: GenerationRecord) -> HeadRow:
    """Returns the head with a candidate as its pending generation.

    The candidate is based on the pending generation that it replaces, so it
    contains every change recorded before.
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

    Only groups of the accepted generation have a holder. Groups in failure
    domains that it declares lost have none, so they could never stage the
    generation that declares them as running again. Groups that the pending
    generation declares lost cannot stage it either; the operator guarantees
    that they no longer run.
    """
    lost = set(row.accepted.lost_groups)
    if row.pending:
        lost.update(row.pending.lost_groups)
    return [group for group in row.accepted.groups if group not in lost]


def list_waiting_groups(
    row: HeadRow, rows: abc.Mapping[str, GroupRow]
) -> abc.Sequence[str]:
    """Lists the required groups that have not staged the pending generation.

    A group without a row has never had a holder and need not stage anything.
    The first takeover creates the row, which makes an acceptance fail that is
    conditional on the absence of the row.
    """
    if row.pending is None:
        return []
    return [
        group
        for group in list_required_groups(row)
        if group in rows and rows[group].staged != row.pending.number
    ]
