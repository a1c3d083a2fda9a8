"""Connects the claim registry of one held group to hosts and the store."""

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

#: Time span of a bucket of claim rows, in seconds. A bucket is part of the row
#: key, and all rows of an expired bucket are deleted together.
BUCKET_SPAN_S = 60

#: Delay before a failed load of the claim rows is retried, in seconds.
LOAD_RETRY_DELAY_S = 0.2

#: Maximum number of attempts to write a batch. An attempt fails if the group
#: row changes between its read and the write, even without a new holder.
MAXIMUM_WRITE_ATTEMPTS = 5

#: Delay between the first claim of a batch and its write, in seconds. It is
#: slightly longer than the batching time of the claim registry: a timer that
#: fires too early leaves the claims to the next tick of the group, 50 ms later.
BATCH_DELAY_S = 0.011


class GroupClaims:
    """Runs the claim registry of one group.

    Writes its batches to the store and sends its answers to the hosts.

    Args:
        group: Group that this host holds.
        epoch: Epoch in which this host holds the group.
        window_s: Time for which a claimed request id is kept, in seconds.
        store: Client of the table that holds the claim rows.
        spawn: Starts a task that is cancelled when the group's task ends.
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
        self._registry = sycamoreloft_decisions.ClaimRegistry(
            epoch, sycamoreloft_decisions.ClaimOptions(window_s=window_s)
        )
        self._replies: dict[str, _peer_server.Reply] = {}
        self._row_keys: dict[int, str] = {}
        self._timer: asyncio.TimerHandle | None = None
        #: Number of claim requests and of batch writes, for the state dump.
        self.counts = {"claims": 0, "batches": 0}

    def start(self) -> None:
        """Loads the claim rows; no claim is answered before they are loaded."""
        self._spawn(self._load_claims())

    def reload(self) -> None:
        """Loads the claim rows again after the fleet's groups have changed."""
        self._handle(sycamoreloft_decisions.GroupsChanged())
        self._spawn(self._load_claims())

    def request_claim(
        self,
        message: sycamoreloft_wire.ClaimRequest,
        reply: _peer_server.Reply,
    ) -> None:
        """Handles a claim request; `reply` is called once it is decided."""
        self.counts["claims"] += 1
        self._replies[message.attempt] = reply
        self._handle(
            sycamoreloft_decisions.ClaimRequested(
                message.id_hash, message.fingerprint, message.attempt
            )
        )
        self._schedule_flush()

    def record_result(self, message: sycamoreloft_wire.ClaimResult) -> None:
        """Records the result of a claimed attempt.

        The result is written with a later batch. It starts no timer, which
        would close the batch of the claims that follow too early and leave
        them to the next tick of the group.
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
        """Processes timeouts and due batches; called about every 50 ms."""
        self._handle(sycamoreloft_decisions.ClaimTick())

    def _schedule_flush(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                BATCH_DELAY_S, self._flush
            )

    def _flush(self) -> None:
        self._timer = None
        self.tick()

    def close(self) -> None:
        """Answers all waiting attempts "unavailable": the holder changes."""
        if self._timer is not None:
            self._timer.cancel()
        replies, self._replies = self._replies, {}
        for reply in replies.values():
            reply(sycamoreloft_wire.ClaimAnswer("unavailable"))

    def _handle(self, event: sycamoreloft_decisions.ClaimEvent) -> None:
        for command in self._registry.handle(event, time.monotonic()):
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
        self._spawn(self._write_batch(command))

    @_perform.register
    def _(self, command: sycamoreloft_decisions.ReadBatch) -> None:
        self._spawn(self._read_batch(command))

    def _get_row_key(self, sequence: int) -> str:
        """Returns the row key of a batch; a repeated write uses the same."""
        key = self._row_keys.get(sequence)
        if key is None:
            bucket = int(time.time()) // BUCKET_SPAN_S
            key = f"claims/{self._group}/{bucket}/{self._epoch}-{sequence}"
            self._row_keys[sequence] = key
        return key

    async def _write_batch(
        self, command: sycamoreloft_decisions.WriteBatch
    ) -> None:
        """Writes a batch under the condition that the epoch has not changed.

        The condition names the version of the group row, which also changes
        with each heartbeat and each move. The row is therefore read again
        after a conflict, and the batch is refused only if another epoch has
        begun.
        """
        self.counts["batches"] += 1
        sequence = command.sequence
        row_key = self._get_row_key(sequence)
        group_key = sycamoreloft_decisions.format_group_key(self._group)
        value = {
            "epoch": self._epoch,
            "entries": _encode_entries(command.entries),
        }
        for _ in range(MAXIMUM_WRITE_ATTEMPTS):
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
                # Claims may have waited because too many batches were open.
                self.tick()
                return
            if isinstance(written.failure(), _store_client.StoreUnavailable):
                break
        self._handle(sycamoreloft_decisions.BatchOutcomeUnknown(sequence))

    async def _read_batch(
        self, command: sycamoreloft_decisions.ReadBatch
    ) -> None:
        key = self._get_row_key(command.sequence)
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

    async def _load_claims(self) -> None:
        """Loads the claim rows of the whole fleet.

        The group of a request id depends on the list of the fleet's groups.
        After a generation has removed a group, its request ids belong to
        other groups, so that each holder reads the rows of all groups.
        """
        prefix = f"claims/{self._group.fleet}/"
        while True:
            rows = await self._store.read(prefixes=[prefix])
            if pipeline.is_successful(rows):
                break
            await asyncio.sleep(LOAD_RETRY_DELAY_S)
        entries: list[sycamoreloft_decisions.ClaimEntry] = []
        oldest = time.time() - self._window_s - 2 * BUCKET_SPAN_S
        old_keys = []
        for key, row in rows.unwrap().items():
            bucket = int(key.split("/")[4])
            if (bucket + 1) * BUCKET_SPAN_S < oldest:
                old_keys.append(key)
                continue
            entries += _decode_entries(row.value["entries"])
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


def _encode_entries(
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


def _decode_entries(
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
