"""Claim book: at-most-once operations, durable before they are answered.

An attempt may send its request only after its claim was stored. An attempt
that was told "unavailable" never sends, so a claim of it that is stored after
all is free again; other attempts of the same id wait until that is settled.
"""

from collections import abc
import dataclasses
import functools

from sycamoreloft_decisions import _claim_events, _claim_rows

# The events and commands belong to the interface of this module; they are in
# a file of their own because of its length.
AnswerClaim = _claim_events.AnswerClaim
BatchRead = _claim_events.BatchRead
BatchRefused = _claim_events.BatchRefused
BatchStored = _claim_events.BatchStored
BatchOutcomeUnknown = _claim_events.BatchOutcomeUnknown
ClaimRequested = _claim_events.ClaimRequested
ClaimCommand = _claim_events.ClaimCommand
ClaimEntry = _claim_events.ClaimEntry
ClaimEvent = _claim_events.ClaimEvent
ClaimOptions = _claim_events.ClaimOptions
ClaimResultReported = _claim_events.ClaimResultReported
ClaimTick = _claim_events.ClaimTick
GroupsChanged = _claim_events.GroupsChanged
ReadBatch = _claim_events.ReadBatch
RowsLoaded = _claim_events.RowsLoaded
Verdict = _claim_events.Verdict
WriteBatch = _claim_events.WriteBatch

_Commands = list[ClaimCommand]


@dataclasses.dataclass(slots=True, eq=False)
class _Claim:
    """The latest claim of one id."""

    asked: ClaimRequested
    at: float
    durable: bool = False
    #: Whether the attempt certainly does not send: it was told so, or it
    #: reported that it gave up.
    void: bool = False
    outcome: str = ""
    status: int = 0
    #: Batch that contains the claim, 0 while it is being collected.
    sequence: int = 0
    #: Attempts of the same id that wait until the claim is settled.
    followers: list[tuple[ClaimRequested, float]] = dataclasses.field(
        default_factory=list
    )
    #: Claim of another group that holds the id once this one is void.
    successor: "_Claim | None" = None


@dataclasses.dataclass(slots=True)
class _Batch:
    """A batch whose write has not been settled."""

    command: WriteBatch
    claims: list[_Claim]
    written_at: float
    reading: bool = False
    #: Time of the next read, if one has failed.
    read_at: float | None = None


class ClaimRegistry:
    """Claims of one holder in one epoch."""

    def __init__(self, epoch: int, options: ClaimOptions | None = None) -> None:
        """Starts a book that answers nothing before `RowsLoaded`."""
        self._epoch = epoch
        self._options = options or ClaimOptions()
        self._loaded = False
        self._closed = False
        self._sequence = 0
        self._claims: dict[bytes, _Claim] = {}
        self._collected: dict[_Claim, None] = {}
        self._results: list[ClaimEntry] = []
        self._results_since = 0.0
        self._batches: dict[int, _Batch] = {}
        self._early: list[tuple[ClaimRequested, float]] = []
        self._follower_count = 0

    def count_claims(self) -> int:
        """Returns the number of ids in memory."""
        return len(self._claims)

    def is_closed(self) -> bool:
        """Tells whether the epoch is over."""
        return self._closed

    def handle(
        self, event: ClaimEvent, now: float
    ) -> abc.Sequence[ClaimCommand]:
        """Applies an event and returns the commands that follow from it."""
        commands: abc.Sequence[ClaimCommand]
        commands = _find_handler(type(event))(self, event, now)
        return commands

    @functools.singledispatchmethod
    def _handle(
        self, event: ClaimEvent, now: float
    ) -> abc.Sequence[ClaimCommand]:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_handle.register
    def _handle_asked(
        self, event: _claim_events.ClaimRequested, now: float
    ) -> abc.Sequence[ClaimCommand]:
        commands: _Commands = []
        self._ask(event, now, now, commands)
        return commands

    @_handle.register
    def _handle_resulted(
        self, event: _claim_events.ClaimResultReported, now: float
    ) -> abc.Sequence[ClaimCommand]:
        commands: _Commands = []
        claim = self._claims.get(event.id_hash)
        if claim is None or claim.asked.attempt != event.attempt:
            return commands
        if event.outcome == "did-not-run":
            if not claim.outcome:
                claim.void = True
                self._settle_void(claim, now, commands)
        elif claim.durable and claim.outcome != "completed":
            claim.outcome = event.outcome
            claim.status = event.status
            self._add_result(claim, now)
        return commands

    @_handle.register
    def _handle_stored(
        self, event: _claim_events.BatchStored, now: float
    ) -> abc.Sequence[ClaimCommand]:
        commands: _Commands = []
        batch = self._batches.pop(event.sequence, None)
        if batch is None or self._closed:
            return commands
        for claim in batch.claims:
            claim.durable = True
            if claim.void:
                self._settle_void(claim, now, commands)
                continue
            commands.append(AnswerClaim(claim.asked.attempt, Verdict.CLAIMED))
            self._ask_followers(claim, now, commands)
        return commands

    @_handle.register
    def _handle_refused(
        self, event: _claim_events.BatchRefused, now: float
    ) -> abc.Sequence[ClaimCommand]:
        commands: _Commands = []
        if event.sequence in self._batches:
            self._close(commands)
        return commands

    @_handle.register
    def _handle_unanswered(
        self, event: _claim_events.BatchOutcomeUnknown, now: float
    ) -> abc.Sequence[ClaimCommand]:
        batch = self._batches.get(event.sequence)
        if batch is None:
            return ()
        if batch.reading:
            batch.reading = False
            batch.read_at = now + self._options.settle_again_s
            return ()
        batch.reading = True
        return (ReadBatch(event.sequence),)

    @_handle.register
    def _handle_read(
        self, event: _claim_events.BatchRead, now: float
    ) -> abc.Sequence[ClaimCommand]:
        batch = self._batches.get(event.sequence)
        if batch is None:
            return ()
        batch.reading = False
        if event.request == batch.command.request:
            return self._handle_stored(BatchStored(event.sequence), now)
        if event.request:
            return self._handle_refused(BatchRefused(event.sequence), now)
        # The first write may still arrive. Both have the same contents and
        # request id, and the row can only be created once.
        return (batch.command,)

    @_handle.register
    def _handle_loaded(
        self, event: _claim_events.RowsLoaded, now: float
    ) -> abc.Sequence[ClaimCommand]:
        # What became of an attempt that is known here is known better here.
        known_attempts = {
            claim.asked.attempt for claim in self._claims.values()
        }
        for entry in _claim_rows.reduce_entries(
            entry
            for entry in event.entries
            if entry.attempt not in known_attempts
        ):
            asked = ClaimRequested(
                entry.id_hash, entry.fingerprint, entry.attempt
            )
            claim = _Claim(asked, now, durable=True)
            claim.outcome = entry.outcome
            claim.status = entry.status
            known = self._claims.get(entry.id_hash)
            if known is None:
                self._claims[entry.id_hash] = claim
            else:
                known.successor = claim
        self._loaded = True
        early, self._early = self._early, []
        commands: _Commands = []
        for asked, asked_at in early:
            self._ask(asked, asked_at, now, commands)
        return commands

    @_handle.register
    def _handle_groups(
        self, event: _claim_events.GroupsChanged, now: float
    ) -> abc.Sequence[ClaimCommand]:
        """Stops answering until the rows of the other groups are known.

        A claim that is being written may have been given by another group,
        so its attempt is told that it must not send.
        """
        commands: _Commands = []
        self._loaded = False
        for claim in list(self._claims.values()):
            if not claim.durable:
                self._refuse(claim, now, commands)
        return commands

    @_handle.register
    def _handle_tick(
        self, event: _claim_events.ClaimTick, now: float
    ) -> abc.Sequence[ClaimCommand]:
        commands: _Commands = []
        self._refuse_late(now, commands)
        self._expire(now)
        if self._collected:
            first = next(iter(self._collected))
            if first.at + self._options.collect_s <= now:
                self._write(now, commands)
        elif (
            self._results
            and self._results_since + self._options.results_s <= now
        ):
            self._write(now, commands)
        for batch in self._batches.values():
            if batch.read_at is not None and batch.read_at <= now:
                batch.read_at = None
                batch.reading = True
                commands.append(ReadBatch(batch.command.sequence))
        return commands

    def _ask(
        self,
        asked: ClaimRequested,
        asked_at: float,
        now: float,
        commands: _Commands,
    ) -> None:
        if self._closed:
            commands.append(_answer_unavailable(asked))
        elif not self._loaded:
            if len(self._early) >= self._options.waiting:
                commands.append(_answer_unavailable(asked))
            else:
                self._early.append((asked, asked_at))
        else:
            claim = self._claims.get(asked.id_hash)
            if claim is None:
                self._start(asked, asked_at, now, commands)
            else:
                self._ask_again(claim, asked, asked_at, commands)

    def _ask_again(
        self,
        claim: _Claim,
        asked: ClaimRequested,
        asked_at: float,
        commands: _Commands,
    ) -> None:
        """Answers an attempt whose id has a claim."""
        same_attempt = claim.asked.attempt == asked.attempt
        if not claim.durable and same_attempt:
            if claim.void:
                commands.append(_answer_unavailable(asked))
        elif not claim.durable:
            if self._follower_count >= self._options.waiting:
                commands.append(_answer_unavailable(asked))
                return
            self._follower_count += 1
            claim.followers.append((asked, asked_at))
        elif claim.asked.fingerprint != asked.fingerprint:
            commands.append(AnswerClaim(asked.attempt, Verdict.CONFLICT))
        elif same_attempt and not claim.outcome:
            commands.append(AnswerClaim(asked.attempt, Verdict.CLAIMED))
        else:
            commands.append(
                AnswerClaim(
                    asked.attempt,
                    Verdict.REPEATED,
                    claim.outcome or "unknown",
                    claim.status,
                )
            )

    def _start(
        self,
        asked: ClaimRequested,
        asked_at: float,
        now: float,
        commands: _Commands,
    ) -> None:
        """Collects a new claim, unless it would be refused anyway."""
        patience = self._options.patience_s
        oldest = next(iter(self._batches.values()), None)
        if (
            len(self._claims) >= self._options.remembered
            or len(self._collected) >= self._options.waiting
            or asked_at + patience <= now
            # The store has not answered for as long as an attempt waits.
            or (oldest is not None and oldest.written_at + patience <= now)
        ):
            commands.append(_answer_unavailable(asked))
            return
        claim = _Claim(asked, asked_at)
        self._claims[asked.id_hash] = claim
        self._collected[claim] = None
        if len(self._collected) >= self._options.batch_entries:
            self._write(now, commands)

    def _write(self, now: float, commands: _Commands) -> None:
        """Writes one row: results first, then claims."""
        if len(self._batches) >= self._options.unsettled_batches:
            return
        room = self._options.batch_entries
        claims = list(self._collected)[:room]
        for claim in claims:
            del self._collected[claim]
        # Results take the room that claims leave, and at least a quarter of
        # the row, so that they are written under a steady load as well.
        count = max(room - len(claims), room // 4)
        results, self._results = self._results[:count], self._results[count:]
        self._results_since = now
        self._sequence += 1
        entries = [
            ClaimEntry(
                claim.asked.id_hash,
                claim.asked.fingerprint,
                claim.asked.attempt,
            )
            for claim in claims
        ]
        command = WriteBatch(
            self._sequence,
            f"claims-{self._epoch}-{self._sequence}",
            (*results, *entries),
        )
        for claim in claims:
            claim.sequence = self._sequence
        self._batches[self._sequence] = _Batch(command, claims, now)
        commands.append(command)

    def _refuse(self, claim: _Claim, now: float, commands: _Commands) -> None:
        """Tells an attempt that it must not send."""
        if not claim.void:
            claim.void = True
            commands.append(_answer_unavailable(claim.asked))
            self._settle_void(claim, now, commands)

    def _settle_void(
        self, claim: _Claim, now: float, commands: _Commands
    ) -> None:
        """Frees the id of a void claim once it is known where it is."""
        if not claim.durable and claim.sequence:
            return
        if claim.durable:
            claim.outcome = "did-not-run"
            self._add_result(claim, now)
        self._collected.pop(claim, None)
        del self._claims[claim.asked.id_hash]
        if claim.successor is not None:
            self._claims[claim.asked.id_hash] = claim.successor
        self._ask_followers(claim, now, commands)

    def _ask_followers(
        self, claim: _Claim, now: float, commands: _Commands
    ) -> None:
        followers, claim.followers = claim.followers, []
        self._follower_count -= len(followers)
        for asked, asked_at in followers:
            self._ask(asked, asked_at, now, commands)

    def _add_result(self, claim: _Claim, now: float) -> None:
        if not self._results:
            self._results_since = now
        # A result that is not stored only makes later answers less precise,
        # so results are dropped when the store cannot take them.
        if len(self._results) < self._options.waiting:
            self._results.append(
                ClaimEntry(
                    claim.asked.id_hash,
                    claim.asked.fingerprint,
                    claim.asked.attempt,
                    claim.outcome,
                    claim.status,
                )
            )

    def _refuse_late(self, now: float, commands: _Commands) -> None:
        due = now - self._options.patience_s
        late = [asked for asked, at in self._early if at <= due]
        self._early = [item for item in self._early if item[1] > due]
        commands += map(_answer_unavailable, late)
        pending = list(self._collected)
        for batch in self._batches.values():
            pending += batch.claims
        for claim in pending:
            if claim.followers:
                self._refuse_followers(claim, due, commands)
            if claim.at <= due:
                self._refuse(claim, now, commands)

    def _refuse_followers(
        self, claim: _Claim, due: float, commands: _Commands
    ) -> None:
        kept = []
        for asked, at in claim.followers:
            if at <= due:
                self._follower_count -= 1
                commands.append(_answer_unavailable(asked))
            else:
                kept.append((asked, at))
        claim.followers = kept

    def _expire(self, now: float) -> None:
        while self._claims:
            claim = next(iter(self._claims.values()))
            if not claim.durable or claim.at + self._options.window_s > now:
                return
            del self._claims[claim.asked.id_hash]

    def _close(self, commands: _Commands) -> None:
        """Ends the book: another holder may take claims from now on."""
        self._closed = True
        waiting = [asked for asked, _ in self._early]
        for claim in self._claims.values():
            waiting += [asked for asked, _ in claim.followers]
            if not claim.durable and not claim.void:
                waiting.append(claim.asked)
        commands += map(_answer_unavailable, waiting)
        self._early = []
        self._claims = {}
        self._collected = {}
        self._batches = {}
        self._results = []


def _answer_unavailable(asked: ClaimRequested) -> AnswerClaim:
    return AnswerClaim(asked.attempt, Verdict.UNAVAILABLE)


# An access to a singledispatchmethod builds a new function and took 2 to 4 us;
# a look-up in its table took 0.3 us.
_find_handler = vars(ClaimRegistry)["_handle"].dispatcher.dispatch
