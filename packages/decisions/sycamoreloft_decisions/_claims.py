"""Claim registry, which lets each request id be sent at most once.

A claim is stored durably before it is answered, and an attempt sends its
request only after its claim was stored. An attempt that got the answer
"unavailable" never sends. If its claim is stored nevertheless, the request id
is free again. Until that is known, other attempts with the same id wait.
"""

from collections import abc
import dataclasses
import functools

from sycamoreloft_decisions import _claim_events, _claim_rows

# The events and commands belong to the interface of this module, but are in a
# separate file to limit the length of this one.
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
    """The latest claim of one request id."""

    request: ClaimRequested
    requested_at: float
    durable: bool = False
    #: Whether the attempt is certain not to send, because it was refused or
    #: reported that it gave up.
    void: bool = False
    outcome: str = ""
    status: int = 0
    #: Sequence number of the batch with the claim; 0 while it is collected.
    sequence: int = 0
    #: Attempts with the same request id that wait until the claim is stored
    #: or freed, each with the time of its request.
    waiters: list[tuple[ClaimRequested, float]] = dataclasses.field(
        default_factory=list
    )
    #: Claim by another group, which applies once this one is found void.
    successor: "_Claim | None" = None


@dataclasses.dataclass(slots=True)
class _Batch:
    """A batch whose write has no known outcome yet."""

    command: WriteBatch
    claims: list[_Claim]
    written_at: float
    reading: bool = False
    #: Time of the next read in seconds, if one has failed.
    read_at: float | None = None


class ClaimRegistry:
    """Claims of one group, while this host holds it in one epoch."""

    def __init__(self, epoch: int, options: ClaimOptions | None = None) -> None:
        """Creates a registry that answers nothing before `RowsLoaded`."""
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
        self._early_requests: list[tuple[ClaimRequested, float]] = []
        self._waiter_count = 0

    def count_claims(self) -> int:
        """Returns the number of request ids in memory."""
        return len(self._claims)

    def is_closed(self) -> bool:
        """Returns whether a later epoch has replaced this one."""
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
    def _handle_requested(
        self, event: _claim_events.ClaimRequested, now: float
    ) -> abc.Sequence[ClaimCommand]:
        commands: _Commands = []
        self._process_request(event, now, now, commands)
        return commands

    @_handle.register
    def _handle_resulted(
        self, event: _claim_events.ClaimResultReported, now: float
    ) -> abc.Sequence[ClaimCommand]:
        commands: _Commands = []
        claim = self._claims.get(event.id_hash)
        if claim is None or claim.request.attempt != event.attempt:
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
            commands.append(AnswerClaim(claim.request.attempt, Verdict.CLAIMED))
            self._process_waiters(claim, now, commands)
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
            batch.read_at = now + self._options.settle_retry_s
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
        # Write again. The first write may still arrive, but both have the same
        # contents and request id, and only one of them can create the row.
        return (batch.command,)

    @_handle.register
    def _handle_loaded(
        self, event: _claim_events.RowsLoaded, now: float
    ) -> abc.Sequence[ClaimCommand]:
        # This holder knows more about its own attempts than the rows contain.
        known_attempts = {
            claim.request.attempt for claim in self._claims.values()
        }
        for entry in _claim_rows.reduce_entries(
            entry
            for entry in event.entries
            if entry.attempt not in known_attempts
        ):
            request = ClaimRequested(
                entry.id_hash, entry.fingerprint, entry.attempt
            )
            claim = _Claim(request, now, durable=True)
            claim.outcome = entry.outcome
            claim.status = entry.status
            known = self._claims.get(entry.id_hash)
            if known is None:
                self._claims[entry.id_hash] = claim
            else:
                known.successor = claim
        self._loaded = True
        early, self._early_requests = self._early_requests, []
        commands: _Commands = []
        for request, requested_at in early:
            self._process_request(request, requested_at, now, commands)
        return commands

    @_handle.register
    def _handle_groups(
        self, event: _claim_events.GroupsChanged, now: float
    ) -> abc.Sequence[ClaimCommand]:
        """Stops answering until the rows of the other groups are loaded.

        Another group may have granted a claim that is being written here, so
        attempts without a stored claim are refused.
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
            if first.requested_at + self._options.collect_s <= now:
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

    def _process_request(
        self,
        request: ClaimRequested,
        requested_at: float,
        now: float,
        commands: _Commands,
    ) -> None:
        if self._closed:
            commands.append(_answer_unavailable(request))
        elif not self._loaded:
            if len(self._early_requests) >= self._options.waiting:
                commands.append(_answer_unavailable(request))
            else:
                self._early_requests.append((request, requested_at))
        else:
            claim = self._claims.get(request.id_hash)
            if claim is None:
                self._collect(request, requested_at, now, commands)
            else:
                self._answer_claimed_id(claim, request, requested_at, commands)

    def _answer_claimed_id(
        self,
        claim: _Claim,
        request: ClaimRequested,
        requested_at: float,
        commands: _Commands,
    ) -> None:
        """Answers an attempt whose request id has a claim, or lets it wait."""
        same_attempt = claim.request.attempt == request.attempt
        if not claim.durable and same_attempt:
            if claim.void:
                commands.append(_answer_unavailable(request))
        elif not claim.durable:
            if self._waiter_count >= self._options.waiting:
                commands.append(_answer_unavailable(request))
                return
            self._waiter_count += 1
            claim.waiters.append((request, requested_at))
        elif claim.request.fingerprint != request.fingerprint:
            commands.append(AnswerClaim(request.attempt, Verdict.CONFLICT))
        elif same_attempt and not claim.outcome:
            commands.append(AnswerClaim(request.attempt, Verdict.CLAIMED))
        else:
            commands.append(
                AnswerClaim(
                    request.attempt,
                    Verdict.REPEATED,
                    claim.outcome or "unknown",
                    claim.status,
                )
            )

    def _collect(
        self,
        request: ClaimRequested,
        requested_at: float,
        now: float,
        commands: _Commands,
    ) -> None:
        """Collects a new claim, or refuses it if it could not be stored."""
        timeout_s = self._options.claim_timeout_s
        oldest = next(iter(self._batches.values()), None)
        if (
            len(self._claims) >= self._options.remembered
            or len(self._collected) >= self._options.waiting
            or requested_at + timeout_s <= now
            # The store has not answered for the time that attempts wait.
            or (oldest is not None and oldest.written_at + timeout_s <= now)
        ):
            commands.append(_answer_unavailable(request))
            return
        claim = _Claim(request, requested_at)
        self._claims[request.id_hash] = claim
        self._collected[claim] = None
        if len(self._collected) >= self._options.batch_entries:
            self._write(now, commands)

    def _write(self, now: float, commands: _Commands) -> None:
        """Writes one row with outcomes first and claims after them."""
        if len(self._batches) >= self._options.unsettled_batches:
            return
        room = self._options.batch_entries
        claims = list(self._collected)[:room]
        for claim in claims:
            del self._collected[claim]
        # Outcomes fill the space that claims leave, and get at least a quarter
        # of the row, so that they are also written under constant load.
        count = max(room - len(claims), room // 4)
        results, self._results = self._results[:count], self._results[count:]
        self._results_since = now
        self._sequence += 1
        entries = [
            ClaimEntry(
                claim.request.id_hash,
                claim.request.fingerprint,
                claim.request.attempt,
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
        """Refuses an attempt, which must not send its request then."""
        if not claim.void:
            claim.void = True
            commands.append(_answer_unavailable(claim.request))
            self._settle_void(claim, now, commands)

    def _settle_void(
        self, claim: _Claim, now: float, commands: _Commands
    ) -> None:
        """Frees the request id of a void claim, unless it is being written."""
        if not claim.durable and claim.sequence:
            return
        if claim.durable:
            claim.outcome = "did-not-run"
            self._add_result(claim, now)
        self._collected.pop(claim, None)
        del self._claims[claim.request.id_hash]
        if claim.successor is not None:
            self._claims[claim.request.id_hash] = claim.successor
        self._process_waiters(claim, now, commands)

    def _process_waiters(
        self, claim: _Claim, now: float, commands: _Commands
    ) -> None:
        waiters, claim.waiters = claim.waiters, []
        self._waiter_count -= len(waiters)
        for request, requested_at in waiters:
            self._process_request(request, requested_at, now, commands)

    def _add_result(self, claim: _Claim, now: float) -> None:
        if not self._results:
            self._results_since = now
        # Outcomes are dropped when the store is too slow. A missing outcome
        # only makes later answers less precise.
        if len(self._results) < self._options.waiting:
            self._results.append(
                ClaimEntry(
                    claim.request.id_hash,
                    claim.request.fingerprint,
                    claim.request.attempt,
                    claim.outcome,
                    claim.status,
                )
            )

    def _refuse_late(self, now: float, commands: _Commands) -> None:
        oldest_allowed = now - self._options.claim_timeout_s
        late = [
            request
            for request, requested_at in self._early_requests
            if requested_at <= oldest_allowed
        ]
        self._early_requests = [
            item for item in self._early_requests if item[1] > oldest_allowed
        ]
        commands += map(_answer_unavailable, late)
        pending = list(self._collected)
        for batch in self._batches.values():
            pending += batch.claims
        for claim in pending:
            if claim.waiters:
                self._refuse_waiters(claim, oldest_allowed, commands)
            if claim.requested_at <= oldest_allowed:
                self._refuse(claim, now, commands)

    def _refuse_waiters(
        self, claim: _Claim, oldest_allowed: float, commands: _Commands
    ) -> None:
        kept = []
        for request, requested_at in claim.waiters:
            if requested_at <= oldest_allowed:
                self._waiter_count -= 1
                commands.append(_answer_unavailable(request))
            else:
                kept.append((request, requested_at))
        claim.waiters = kept

    def _expire(self, now: float) -> None:
        while self._claims:
            claim = next(iter(self._claims.values()))
            if (
                not claim.durable
                or claim.requested_at + self._options.window_s > now
            ):
                return
            del self._claims[claim.request.id_hash]

    def _close(self, commands: _Commands) -> None:
        """Refuses all attempts, since a later holder may accept claims now."""
        self._closed = True
        waiting = [request for request, _ in self._early_requests]
        for claim in self._claims.values():
            waiting += [request for request, _ in claim.waiters]
            if not claim.durable and not claim.void:
                waiting.append(claim.request)
        commands += map(_answer_unavailable, waiting)
        self._early_requests = []
        self._claims = {}
        self._collected = {}
        self._batches = {}
        self._results = []


def _answer_unavailable(request: ClaimRequested) -> AnswerClaim:
    return AnswerClaim(request.attempt, Verdict.UNAVAILABLE)


# Accessing a singledispatchmethod creates a new function each time, which took
# 2 to 4 us. Looking up the handler in its dispatch table took 0.3 us.
_find_handler = vars(ClaimRegistry)["_handle"].dispatcher.dispatch
