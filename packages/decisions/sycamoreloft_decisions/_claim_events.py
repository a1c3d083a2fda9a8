"""Events and commands of the claim registry.

Times are seconds on the clock of the holder.
"""

from collections import abc
import dataclasses
import enum


class Verdict(enum.StrEnum):
    """Answer to a claim. The values are those of `ClaimAnswer` messages."""

    #: The attempt may send the request once.
    CLAIMED = "claimed"
    #: An earlier attempt has claimed the request id.
    REPEATED = "repeated"
    #: The request id was claimed for a request with another body.
    CONFLICT = "conflict"
    #: The claim could not be stored, so the attempt must not send.
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequested:
    """An attempt requests the claim of a request id."""

    #: Hash of fleet, service and request id.
    id_hash: bytes
    #: Fingerprint of the request, to detect a request id that is reused.
    fingerprint: bytes
    #: Identifier of the attempt. Each send has a new one.
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResultReported:
    """An attempt reports its outcome.

    An attempt that stopped waiting for the answer to its claim reports too.
    """

    #: As in `ClaimRequested`.
    id_hash: bytes
    #: As in `ClaimRequested`.
    attempt: str
    #: "completed", "did-not-run" (which frees the request id) or "unknown".
    outcome: str
    #: HTTP status of a completed request.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEntry:
    """An entry of a stored row: the claim or the outcome of an attempt."""

    #: Hash of fleet, service and request id.
    id_hash: bytes
    #: Fingerprint of the request.
    fingerprint: bytes
    #: Identifier of the attempt.
    attempt: str
    #: Empty for a claim; otherwise "completed", "did-not-run" or "unknown".
    outcome: str = ""
    #: HTTP status of a completed request.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BatchStored:
    """The store acknowledged the write of a batch."""

    #: Sequence number of the batch.
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class BatchRefused:
    """The store refused a batch because the group has a later epoch."""

    #: Sequence number of the batch.
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class BatchOutcomeUnknown:
    """A write or read of a batch failed. The write may have taken effect."""

    #: Sequence number of the batch.
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class BatchRead:
    """Result of reading the row of a batch with an unknown outcome."""

    #: Sequence number of the batch.
    sequence: int
    #: `WriteBatch.request` of the write that created the row; empty if there is
    #: no row.
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class RowsLoaded:
    """All claim rows of the last `ClaimOptions.window_s` seconds were read.

    The read must have started after the write of the group row that made
    this host the holder, so that no earlier holder can add rows afterwards.
    """

    #: Entries of all rows, in any order.
    entries: abc.Sequence[ClaimEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupsChanged:
    """A new generation changed the groups, so rows must be loaded again."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTick:
    """Periodic event for timeouts, sent every 5 ms while claims wait."""


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
    """Sends the answer to a claim to the attempt that requested it."""

    #: Identifier of the attempt.
    attempt: str
    #: Whether the attempt may send its request, and otherwise why not.
    verdict: Verdict
    #: Outcome of the first attempt if the verdict is "repeated".
    outcome: str = ""
    #: HTTP status of the first attempt if it completed.
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBatch:
    """Writes one row, if it does not exist and the epoch is still current."""

    #: Sequence number of the batch, unique in the epoch.
    sequence: int
    #: Identifier of the write, which is not the request id of a claim. A
    #: repeated write has the same identifier.
    request: str
    #: Contents of the row.
    entries: tuple[ClaimEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBatch:
    """Reads the row of a batch with an unknown outcome."""

    #: Sequence number of the batch.
    sequence: int


ClaimCommand = AnswerClaim | WriteBatch | ReadBatch


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOptions:
    """Limits of a claim registry."""

    #: Seconds for which claims are collected before they are written.
    collect_s: float = 0.010
    #: Maximum number of entries in one row.
    batch_entries: int = 256
    #: Seconds after which an attempt is refused if its claim is not stored.
    claim_timeout_s: float = 1.0
    #: Maximum number of batches whose outcome is not known yet. Further claims
    #: wait until one of these outcomes is known.
    unsettled_batches: int = 16
    #: Maximum length of each queue: attempts that wait for the rows to be
    #: loaded, for a place in a batch, or for the claim of another attempt.
    waiting: int = 8192
    #: Seconds for which a claim is remembered.
    window_s: float = 600.0
    #: Maximum number of claims in memory. Further claims are refused; none is
    #: dropped within the window.
    remembered: int = 1_000_000
    #: Seconds after which outcomes are written even if there are no new
    #: claims.
    results_s: float = 1.0
    #: Seconds before the row of a batch is read again after a failed read.
    settle_retry_s: float = 0.100
