"""State machine that records submitted configuration and accepts it.

The row `config/head` has the accepted generation and at most one pending
generation. Every group holder records in its group row that it has staged the
pending generation. One conditional transaction over the head and all group
rows then makes the pending generation the accepted one. The conditions ensure
that of two concurrent submissions only one is recorded, and that an accepted
generation is never replaced by an older one.
"""

from collections import abc
import dataclasses
import functools

import sycamoreloft_config
from sycamoreloft_decisions import _acceptance_events, _acceptance_rows

#: Time between two reads while a submission to this host is open.
SUBMISSION_POLL_S = 0.25

#: Minimum and maximum time between two reads while a generation is pending. The
#: time grows with the age of the generation, because all group holders read and
#: an unreachable failure domain can keep a generation pending for hours.
PENDING_POLL_S = 0.5
MAXIMUM_PENDING_POLL_S = 2.0

#: Time between two reads of a group holder while no generation is pending.
IDLE_POLL_S = 1.0

#: Minimum time between two reads. The answer to a write makes a read due at
#: once, so a write that always fails would otherwise cause a busy loop.
MINIMUM_POLL_S = 0.1

#: Age of a pending generation at which other hosts try to accept it, too, in
#: case the host that received the submission is lost.
ASSIST_AFTER_S = 2.0

#: Range over which hosts spread the start of their assistance, so that they do
#: not all send the same transaction.
ASSIST_SPREAD_S = 4.0

#: Time after which an unanswered write is repeated. All writes are conditional,
#: so a repeated write is harmless.
WRITE_TIMEOUT_S = 5.0

#: Minimum time for recording a submission, even if the operator waits for its
#: acceptance only briefly.
MINIMUM_RECORDING_S = 3.0


# Rows, events and commands are defined in two private modules; these names are
# their public interface.
GenerationRecord = _acceptance_rows.GenerationRecord
PastSubmission = _acceptance_rows.PastSubmission
HeadRow = _acceptance_rows.HeadRow
GroupRow = _acceptance_rows.GroupRow
EMPTY_HEAD = _acceptance_rows.EMPTY_HEAD
WriteResult = _acceptance_events.WriteResult
FileSubmitted = _acceptance_events.FileSubmitted
HeadRead = _acceptance_events.HeadRead
GroupRowsRead = _acceptance_events.GroupRowsRead
WriteFinished = _acceptance_events.WriteFinished
Tick = _acceptance_events.Tick
HeldGroupsChanged = _acceptance_events.HeldGroupsChanged
ReadRows = _acceptance_events.ReadRows
ApplyGenerations = _acceptance_events.ApplyGenerations
WriteHead = _acceptance_events.WriteHead
StageGeneration = _acceptance_events.StageGeneration
AcceptGeneration = _acceptance_events.AcceptGeneration
Verdict = _acceptance_events.Verdict
SubmissionResult = _acceptance_events.SubmissionResult
Event = _acceptance_events.Event
Command = _acceptance_events.Command


@dataclasses.dataclass(slots=True)
class _Submission:
    """A submission that was received by this host and is not answered yet."""

    event: FileSubmitted
    #: Clock reading when the submission was last received, in seconds.
    started: float
    #: Whether the head was read since the submission was received.
    is_head_read: bool = False
    #: Head version on which the latest write was conditional, whether that
    #: write is in flight or was refused; None if a new write may be sent.
    written_version: int | None = None
    #: Clock reading when that write was sent, in seconds.
    written_at: float = 0.0
    #: Whether a write was ever sent for this submission.
    was_sent: bool = False


class Acceptance:
    """Records, stages and accepts generations on one host.

    Args:
        host: Name of this host.
        make_request_id: Returns a new unique request id at each call.
    """

    def __init__(
        self, host: str, make_request_id: abc.Callable[[], str]
    ) -> None:
        self._host = host
        self._make_request_id = make_request_id
        self._version = -1
        self._row = EMPTY_HEAD
        self._applied_numbers = (-1, -1)
        self._rows: abc.Mapping[str, GroupRow] = {}
        self._held: abc.Collection[str] | None = None
        self._submissions: dict[str, _Submission] = {}
        # Request id and send time of each stage or accept write in flight, by
        # a text that identifies its content.
        self._in_flight: dict[str, tuple[str, float]] = {}
        self._pending_since = 0.0
        self._last_read = float("-inf")
        self._wants_read = True

    def handle(self, event: Event, now: float) -> abc.Sequence[Command]:
        """Handles an event and returns commands to perform in this order."""
        commands = [*self._dispatch(event, now), *self._advance(now)]
        if self._should_read(now):
            self._last_read, self._wants_read = now, False
            commands.append(ReadRows(self._needs_group_rows(now)))
        return commands

    def list_waiting_domains(self) -> abc.Sequence[str]:
        """Lists failure domains that have not staged the pending generation.

        Returns:
            The domains as "fleet/domain".
        """
        groups = _acceptance_rows.list_waiting_groups(self._row, self._rows)
        return sorted({group.rsplit("/", 1)[0] for group in groups})

    @functools.singledispatchmethod
    def _dispatch(self, event: Event, now: float) -> abc.Sequence[Command]:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_dispatch.register
    def _(self, event: Tick, now: float) -> abc.Sequence[Command]:
        return ()

    @_dispatch.register
    def _(self, event: HeldGroupsChanged, now: float) -> abc.Sequence[Command]:
        self._held = frozenset(event.groups)
        self._wants_read = True
        return ()

    @_dispatch.register
    def _(self, event: FileSubmitted, now: float) -> abc.Sequence[Command]:
        previous = self._submissions.get(event.request)
        if previous is not None:
            previous.started = now
        else:
            self._submissions[event.request] = _Submission(event, now)
        self._wants_read = True
        return ()

    @_dispatch.register
    def _(self, event: HeadRead, now: float) -> abc.Sequence[Command]:
        row = event.row or EMPTY_HEAD
        # The answers of concurrent reads can arrive out of order.
        if event.version < self._version:
            return ()
        self._mark_head_read()
        is_known = event.version == self._version
        if is_known or row.accepted.number < self._row.accepted.number:
            return ()
        if row.pending and row.pending != self._row.pending:
            self._pending_since = now
            self._wants_read = True
        self._version, self._row = event.version, row
        pending = row.pending.number if row.pending else 0
        numbers = (row.accepted.number, pending)
        if numbers == self._applied_numbers:
            return ()
        self._applied_numbers = numbers
        return (ApplyGenerations(*numbers),)

    @_dispatch.register
    def _(self, event: GroupRowsRead, now: float) -> abc.Sequence[Command]:
        if event.head_version != self._version:
            return ()
        self._mark_head_read()
        self._rows = event.rows
        return (*self._stage(now), *self._accept(now))

    @_dispatch.register
    def _(self, event: WriteFinished, now: float) -> abc.Sequence[Command]:
        for subject, (request, _) in list(self._in_flight.items()):
            if request == event.request:
                del self._in_flight[subject]
        submission = self._submissions.get(event.request)
        if submission and event.result is WriteResult.UNKNOWN:
            # The write is repeated with the same condition, so that at most
            # one of the attempts can be committed.
            submission.written_version = None
            submission.is_head_read = False
        if self._submissions or event.result is WriteResult.APPLIED:
            self._wants_read = True
        return ()

    def _mark_head_read(self) -> None:
        for submission in self._submissions.values():
            submission.is_head_read = True

    def _stage(self, now: float) -> abc.Iterator[Command]:
        """Stages the pending generation in the rows of held groups."""
        pending = self._row.pending
        if pending is None:
            return
        for group, row in self._rows.items():
            is_staged = row.staged >= pending.number
            if row.holder == self._host and not is_staged:
                request = self._start_write(f"{group} {pending.number}", now)
                if request:
                    yield StageGeneration(
                        request, group, row.version, pending.number
                    )

    def _accept(self, now: float) -> abc.Iterator[Command]:
        """Accepts the pending generation once all groups have staged it."""
        row = self._row
        if row.pending is None:
            return
        if _acceptance_rows.list_waiting_groups(row, self._rows):
            return
        request = self._start_write(f"head {self._version}", now)
        if request:
            versions = {
                group: self._rows[group].version if group in self._rows else 0
                for group in _acceptance_rows.list_required_groups(row)
            }
            accepted = HeadRow(row.pending, None, row.history)
            yield AcceptGeneration(request, self._version, versions, accepted)

    def _start_write(self, subject: str, now: float) -> str:
        """Registers a write in flight.

        Args:
            subject: Identifies the content of the write.
            now: Clock reading in seconds.

        Returns:
            The request id; empty if the same write is already in flight.
        """
        if subject in self._in_flight:
            _, started = self._in_flight[subject]
            if now < started + WRITE_TIMEOUT_S:
                return ""
        request = self._make_request_id()
        self._in_flight[subject] = (request, now)
        return request

    def _advance(self, now: float) -> abc.Iterator[Command]:
        """Sends writes for open submissions, or their results."""
        for submission in list(self._submissions.values()):
            verdict = self._compute_verdict(
                submission
            ) or self._compute_late_verdict(submission, now)
            if verdict is not None:
                del self._submissions[submission.event.request]
                yield self._make_result(submission, verdict)
            elif self._may_write(submission, now):
                submission.written_version = self._version
                submission.written_at = now
                submission.was_sent = True
                yield WriteHead(
                    submission.event.request,
                    self._version,
                    _acceptance_rows.record_candidate(
                        self._row, _make_record(submission.event)
                    ),
                )

    def _may_write(self, submission: _Submission, now: float) -> bool:
        is_written = (
            submission.written_version == self._version
            and now < submission.written_at + WRITE_TIMEOUT_S
        )
        return (
            submission.is_head_read
            and not is_written
            and _acceptance_rows.is_based_on_newest(
                self._row, submission.event.base
            )
        )

    def _get_past_submission(self, number: int) -> PastSubmission | None:
        for item in self._row.history:
            if item.number == number:
                return item
        return None

    def _is_recorded(self, submission: _Submission) -> bool:
        recorded = self._get_past_submission(submission.event.base + 1)
        return (
            recorded is not None
            and recorded.request == submission.event.request
        )

    def _compute_verdict(self, submission: _Submission) -> Verdict | None:
        """Returns the verdict that follows from the head row, if any."""
        base = submission.event.base
        if not submission.is_head_read or _acceptance_rows.is_based_on_newest(
            self._row, base
        ):
            return None
        recorded = self._get_past_submission(base + 1)
        if _acceptance_rows.get_newest(self._row).number < base:
            return Verdict.CONFLICT
        if recorded is None:
            # The history is too short to tell: this may be a retry of a
            # submission that was recorded long ago.
            return Verdict.UNKNOWN
        if recorded.request != submission.event.request:
            return Verdict.CONFLICT
        if recorded.replaced:
            return Verdict.REPLACED
        is_accepted = self._row.accepted.number > base
        return Verdict.ACCEPTED if is_accepted else None

    def _compute_late_verdict(
        self, submission: _Submission, now: float
    ) -> Verdict | None:
        """Returns the verdict if the time limit has passed, else None."""
        limit = submission.event.wait_s
        if self._is_recorded(submission):
            is_late = now >= submission.started + limit
            return Verdict.PENDING if is_late else None
        if now < submission.started + max(limit, MINIMUM_RECORDING_S):
            return None
        return Verdict.UNKNOWN if submission.was_sent else Verdict.UNAVAILABLE

    def _make_result(
        self, submission: _Submission, verdict: Verdict
    ) -> SubmissionResult:
        base = submission.event.base
        newest = _acceptance_rows.get_newest(self._row)
        waiting: abc.Sequence[str] = ()
        if verdict is Verdict.PENDING:
            waiting = self.list_waiting_domains()
        changed: abc.Sequence[str] = ()
        if verdict is Verdict.CONFLICT:
            past = self._get_past_submission(base)
            files = past.files if past else {}
            changed = sorted(
                name
                for name in files.keys() | newest.files.keys()
                if files.get(name) != newest.files.get(name)
            )
        return SubmissionResult(
            submission.event.request,
            verdict,
            base + 1 if self._is_recorded(submission) else 0,
            newest.number,
            waiting,
            changed,
        )

    def _needs_group_rows(self, now: float) -> bool:
        """Returns whether the next read must include the group rows."""
        pending = self._row.pending
        if self._submissions or pending is None:
            return bool(self._submissions)
        held = self._held
        if held is None:
            held = [
                group
                for group, row in self._rows.items()
                if row.holder == self._host
            ]
        must_stage = any(
            group not in self._rows or self._rows[group].staged < pending.number
            for group in held
        )
        share = sycamoreloft_config.hash_text(self._host) / 2**64
        delay = ASSIST_AFTER_S + ASSIST_SPREAD_S * share
        is_old = now >= self._pending_since + delay
        return must_stage or is_old or not self._rows

    def _should_read(self, now: float) -> bool:
        age = now - self._last_read
        if age < MINIMUM_POLL_S:
            return False
        if self._wants_read:
            return True
        if self._submissions:
            return age >= SUBMISSION_POLL_S
        if self._held is not None and not self._held:
            return False
        if self._row.pending is None:
            return age >= IDLE_POLL_S
        return age >= min(
            MAXIMUM_PENDING_POLL_S,
            max(PENDING_POLL_S, (now - self._pending_since) / 10),
        )


def _make_record(event: FileSubmitted) -> _acceptance_rows.GenerationRecord:
    return GenerationRecord(
        event.base + 1,
        event.request,
        event.files,
        tuple(event.groups),
        tuple(event.lost_groups),
    )
