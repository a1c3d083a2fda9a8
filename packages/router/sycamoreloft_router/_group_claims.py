"""Adapter of the claim book of one held group."""

import asyncio
from collections import abc
import functools
import logging
import time
import typing

from returns import pipeline

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_router import _logs, _peer_server, _store_client
import sycamoreloft_wire

_LOGGER = logging.getLogger(__name__)

#: Length of a bucket of claim rows, in seconds; old buckets are deleted whole.
BUCKET_S = 60

#: Delay before a failed load of the rows is repeated, in seconds.
LOAD_AGAIN_S = 0.2

#: Attempts to write a batch whose group row changed meanwhile for another
#: reason than a new holder.
WRITE_ATTEMPTS = 5

#: Delay until collected claims are written, in seconds. It is a little longer
#: than the book collects: a timer that fires too early leaves the claims to
#: the next tick of the group, 50 ms later.
COLLECT_S = 0.011


class GroupClaims:
    """Runs a claim book: performs its writes and answers its callers.

    Args:
        group: The group.
        epoch: Epoch of this holder.
        window_s: Time for which a request id is remembered, in seconds.
        store: The store.
        spawn: Starts a task that ends with the group.
    """

    def __init__(
        self,
        group: sycamoreloft_config.GroupName,
        epoch: int,
        window_s: float,
        store: _store_client.StoreClient,
        spawn: abc.Callable[
            [abc.Coroutine[typing.Any, typing.Any, None]], None
        ],
    ) -> None:
        self._group = group
        self._epoch = epoch
        self._window_s = window_s
        self._store = store
        self._spawn = spawn
        self._book = sycamoreloft_decisions.ClaimRegistry(
            epoch, sycamoreloft_decisions.ClaimOptions(window_s=window_s)
        )
        self._replies: dict[str, _peer_server.Reply] = {}
        self._row_keys: dict[int, str] = {}
        self._timer: asyncio.TimerHandle | None = None
        #: Counters for the metrics.
        self.counts = {"claims": 0, "batches": 0}

    def start(self) -> None:
        """Loads the rows of the window; no claim is answered before."""
        self._spawn(self._load())

    def reload(self) -> None:
        """Loads the rows again after a change of the fleet's groups."""
        self._handle(sycamoreloft_decisions.GroupsChanged())
        self._spawn(self._load())

    def ask(
        self,
        message: sycamoreloft_wire.ClaimRequest,
        reply: _peer_server.Reply,
    ) -> None:
        """Takes a claim request."""
        self.counts["claims"] += 1
        self._replies[message.attempt] = reply
        self._handle(
            sycamoreloft_decisions.ClaimRequested(
                message.id_hash, message.fingerprint, message.attempt
            )
        )
        self._schedule()

    def report(self, message: sycamoreloft_wire.ClaimResult) -> None:
        """Takes the result of an attempt; it rides in a later row.

        A timer for it would end the collection of claims that come after it
        too early, and leave them to the next tick of the group.
        """
        self._handle(
            sycamoreloft_decisions.ClaimResultReported(
                message.id_hash,
                message.attempt,
                message.outcome,
                message.status,
            )
        )

    def tick(self) -> None:
        """Lets time pass; called about every 50 ms."""
        self._handle(sycamoreloft_decisions.ClaimTick())

    def _schedule(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                COLLECT_S, self._flush
            )

    def _flush(self) -> None:
        self._timer = None
        self.tick()

    def close(self) -> None:
        """Answers every waiting attempt: the claim holder has changed."""
        if self._timer is not None:
            self._timer.cancel()
        replies, self._replies = self._replies, {}
        for reply in replies.values():
            reply(sycamoreloft_wire.ClaimAnswer("unavailable"))

    def _handle(self, event: sycamoreloft_decisions.ClaimEvent) -> None:
        for command in self._book.handle(event, time.monotonic()):
            self._perform(command)

    @functools.singledispatchmethod
    def _perform(self, command: sycamoreloft_decisions.ClaimCommand) -> None:
        raise TypeError(f"unknown command {type(command).__name__}")

    @_perform.register
    def _(self, command: sycamoreloft_decisions.AnswerClaim) -> None:
        reply = self._replies.pop(command.attempt, None)
        if reply is not None:
            reply(
                sycamoreloft_wire.ClaimAnswer(
                    str(command.verdict), command.outcome, command.status
                )
            )

    @_perform.register
    def _(self, command: sycamoreloft_decisions.WriteBatch) -> None:
        self._spawn(self._write(command))

    @_perform.register
    def _(self, command: sycamoreloft_decisions.ReadBatch) -> None:
        self._spawn(self._read(command))

    def _find_row_key(self, sequence: int) -> str:
        """Returns the key of a batch, alike when its write is repeated."""
        key = self._row_keys.get(sequence)
        if key is None:
            bucket = int(time.time()) // BUCKET_S
            key = f"claims/{self._group}/{bucket}/{self._epoch}-{sequence}"
            self._row_keys[sequence] = key
        return key

    async def _write(self, command: sycamoreloft_decisions.WriteBatch) -> None:
        """Writes a batch, on condition that the epoch has not ended.

        The condition names the version of the group row, which also changes
        with a heartbeat or a move; the row is then read again, and the batch
        is refused only if its epoch is another one.
        """
        self.counts["batches"] += 1
        sequence = command.sequence
        row_key = self._find_row_key(sequence)
        group_key = sycamoreloft_decisions.format_group_key(self._group)
        value = {"epoch": self._epoch, "entries": _encode(command.entries)}
        for _ in range(WRITE_ATTEMPTS):
            rows = await self._store.read([group_key, row_key])
            if not pipeline.is_successful(rows):
                break
            stored = rows.unwrap().get(row_key)
            if stored is not None and stored.request == command.request:
                self._handle(sycamoreloft_decisions.BatchStored(sequence))
                return
            group_row = rows.unwrap().get(group_key)
            if group_row is None or group_row.value["epoch"] != self._epoch:
                self._handle(sycamoreloft_decisions.BatchRefused(sequence))
                return
            written = await self._store.transact(
                {group_key: group_row.version, row_key: 0},
                {row_key: value},
                request=command.request,
            )
            if pipeline.is_successful(written):
                self._handle(sycamoreloft_decisions.BatchStored(sequence))
                # Claims may have waited for the number of open batches.
                self.tick()
                return
            if isinstance(written.failure(), _store_client.StoreUnavailable):
                break
        self._handle(sycamoreloft_decisions.BatchOutcomeUnknown(sequence))

    async def _read(self, command: sycamoreloft_decisions.ReadBatch) -> None:
        key = self._find_row_key(command.sequence)
        rows = await self._store.read([key])
        if not pipeline.is_successful(rows):
            event: sycamoreloft_decisions.ClaimEvent = (
                sycamoreloft_decisions.BatchOutcomeUnknown(command.sequence)
            )
        else:
            row = rows.unwrap().get(key)
            event = sycamoreloft_decisions.BatchRead(
                command.sequence, row.request if row else ""
            )
        self._handle(event)

    async def _load(self) -> None:
        """Reads the claim rows of the whole fleet.

        The claim holder of an id depends on the fleet's groups; reading the
        fleet's rows keeps the ids of groups that a file has removed.
        """
        prefix = f"claims/{self._group.fleet}/"
        while True:
            rows = await self._store.read(prefixes=[prefix])
            if pipeline.is_successful(rows):
                break
            await asyncio.sleep(LOAD_AGAIN_S)
        entries: list[sycamoreloft_decisions.ClaimEntry] = []
        oldest = time.time() - self._window_s - 2 * BUCKET_S
        old_keys = []
        for key, row in rows.unwrap().items():
            bucket = int(key.split("/")[4])
            if (bucket + 1) * BUCKET_S < oldest:
                old_keys.append(key)
                continue
            entries += _decode(row.value["entries"])
        self._handle(sycamoreloft_decisions.RowsLoaded(entries))
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "claims-loaded",
            group=str(self._group),
            entries=len(entries),
        )
        if old_keys:
            await self._store.transact({}, {}, old_keys)


def _encode(
    entries: abc.Sequence[sycamoreloft_decisions.ClaimEntry],
) -> list[list[typing.Any]]:
    return [
        [
            entry.id_hash.hex(),
            entry.fingerprint.hex(),
            entry.attempt,
            entry.outcome,
            entry.status,
        ]
        for entry in entries
    ]


def _decode(
    rows: abc.Sequence[abc.Sequence[typing.Any]],
) -> list[sycamoreloft_decisions.ClaimEntry]:
    return [
        sycamoreloft_decisions.ClaimEntry(
            bytes.fromhex(id_hash),
            bytes.fromhex(fingerprint),
            attempt,
            outcome,
            status,
        )
        for id_hash, fingerprint, attempt, outcome, status in rows
    ]
