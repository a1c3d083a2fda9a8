"""Events and commands of the claim book; times are seconds of one clock."""

from collections import abc
import dataclasses
import enum


class Verdict(enum.StrEnum):
    """Answers to a claim, as in the message `ClaimAnswer`."""

    #: The attempt may send the request, once.
    CLAIMED = "claimed"
    #: An earlier attempt has the claim.
    REPEATED = "repeated"
    #: The id was claimed for a request with another body.
    CONFLICT = "conflict"
    #: The claim could not be made durable; the attempt must not send.
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequested:
    """An attempt asks for the claim of a request id."""

    #: Hash of fleet, service and request id.
    id_hash: bytes
    #: Fingerprint of the request.
    fingerprint: bytes
    #: Identifier of the attempt, never used for a second send.
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResultReported:
    """An attempt reports what became of it, also if it gave up waiting."""

    #: As in the claim.
    id_hash: bytes
    #: As in the claim.
    attempt: str
    #: "completed", "did-not-run" (frees the claim) or "unknown".
    outcome: str
    #: HTTP status when completed.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEntry:
    """What a row says of one attempt: its claim, or what became of it."""

    #: Hash of fleet, service and request id.
    id_hash: bytes
    #: Fingerprint of the request.
    fingerprint: bytes
    #: Identifier of the attempt.
    attempt: str
    #: Empty for a claim; otherwise "completed", "did-not-run" or "unknown".
    outcome: str = ""
    #: HTTP status when completed.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BatchStored:
    """The store acknowledged a batch."""

    #: Sequence number of the batch.
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class BatchRefused:
    """The store refused a batch because the epoch of the group is over."""

    #: Sequence number of the batch.
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class BatchOutcomeUnknown:
    """A write or read of a batch failed; the write may have taken effect."""

    #: Sequence number of the batch.
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class BatchRead:
    """The store was read to settle a batch whose answer was lost."""

    #: Sequence number of the batch.
    sequence: int
    #: Request id that the row keeps; empty if there is no row.
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class RowsLoaded:
    """All claim rows of the window, in any order, were read.

    The read must have started after the write of the group row that made
    this host the holder, so that no earlier holder can add rows any more.
    """

    #: Entries of the rows.
    entries: abc.Sequence[ClaimEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupsChanged:
    """A generation changed the set of groups: rows must be loaded again."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTick:
    """Time passes; sent about every 5 ms while claims are waiting."""


ClaimEvent = (
    ClaimRequested
    | ClaimResultReported
    | BatchStored
    | BatchRefused
    | BatchOutcomeUnknown
    | BatchRead
    | RowsLoaded
    | GroupsChanged
    | ClaimTick
)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerClaim:
    """Answers an attempt."""

    #: Identifier of the attempt.
    attempt: str
    #: Answer.
    verdict: Verdict
    #: For "repeated": outcome of the first attempt.
    outcome: str = ""
    #: For "repeated" and completed: HTTP status of the first answer.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBatch:
    """Writes one row, on condition that it is absent and of the epoch."""

    #: Sequence number, unique in the epoch.
    sequence: int
    #: Request id of the write, alike when the write is repeated.
    request: str
    #: Contents of the row.
    entries: tuple[ClaimEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBatch:
    """Reads the row of a batch whose answer was lost."""

    #: Sequence number.
    sequence: int


ClaimCommand = AnswerClaim | WriteBatch | ReadBatch


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOptions:
    """Limits of a claim book."""

    #: Seconds for which claims are collected before they are written.
    collect_s: float = 0.010
    #: Claims in one row.
    batch_entries: int = 256
    #: Seconds after which an attempt without a durable claim is refused.
    patience_s: float = 1.0
    #: Batches whose write has not been settled; more claims wait.
    unsettled_batches: int = 16
    #: Attempts that wait for rows, for room in a batch or for another attempt.
    waiting: int = 8192
    #: Seconds for which a claim is remembered.
    window_s: float = 600.0
    #: Claims in memory; more are refused, never forgotten inside the window.
    remembered: int = 1_000_000
    #: Seconds after which results are written without further claims.
    results_s: float = 1.0
    #: Seconds before a batch that could not be settled is tried again.
    settle_again_s: float = 0.100
