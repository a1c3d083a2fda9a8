"""Stand-in of a platform store with rows, transactions and a change feed.

It implements the published protocol (rows-tx, rows-get, rows-feed). `RowStore`
is the state; tests change its rows and faults directly, and restore it from an
older copy.
"""

import asyncio
import base64
from collections import abc
import dataclasses
import json
import time
import typing

import tornado.httpserver
import tornado.web

from sycamoreloft_standins import _serving

#: Maximum wait of a call for changes.
_MAXIMUM_WAIT_MS = 30_000

#: Maximum number of rows in one answer.
_MAXIMUM_PAGE_ROWS = 500

#: Header that names the era in each answer.
_ERA_HEADER = "Store-Era"

#: Table, part and key.
_RowId = tuple[str, str, str]

#: Value and version of a row.
_Content = tuple[bytes, int]


@dataclasses.dataclass(slots=True)
class RowFaults:
    """Injected faults; tests change the fields."""

    #: HTTP status that every call is answered with, 0 for no fault.
    status: int = 0
    #: Whether transactions take effect but are not answered.
    loses_answers: bool = False
    #: Delay before each call is handled.
    delay_s: float = 0.0
    #: Size of the parts in which an answer is sent, 0 to send it as a whole.
    part_bytes: int = 0
    #: Pause between two parts of an answer.
    part_pause_s: float = 0.0
    #: Values of the headers that name the era; None for the actual era.
    era_values: abc.Sequence[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RowChange:
    """A write or removal of a row."""

    #: Time of the change on the monotonic clock, in seconds.
    changed_at: float
    #: Version of the transaction.
    version: int
    #: Table, part and key of the row.
    row_id: _RowId
    #: The row before the change; None if it did not exist.
    before: _Content | None
    #: New value; None for a removal.
    value: bytes | None
    #: Whether a host made the change in a transaction, not another writer.
    is_transaction: bool


class RowStore:
    """Rows that share one version counter."""

    def __init__(self) -> None:
        #: Value and version of each row.
        self.rows: dict[_RowId, _Content] = {}
        #: Version and row of each write or removal, oldest first.
        self.changes: list[tuple[int, _RowId]] = []
        #: Version of the last transaction.
        self.version = 0
        #: Changes up to this version are no longer in `changes`.
        self.oldest = 0
        #: Increases each time the store is restored.
        self.era = 1
        #: All changes since the start that were not undone, oldest first.
        self._undo_log: list[RowChange] = []
        #: Whether changes wake the calls that wait for them. Otherwise, a
        #: pending call hangs until its wait is over.
        self.notifies = True
        self.faults = RowFaults()
        #: Number of calls by name, such as "rows-get".
        self.calls: dict[str, int] = {}
        #: Names of the calls that are not answered yet, one entry for each.
        self.waiting: list[str] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Writes a row as another writer would; a value of None removes it."""
        self._apply([((table, "", key), value)], is_transaction=False)

    def put_json(self, table: str, key: str, value: typing.Any) -> None:
        """Writes a row with a JSON value."""
        self.put(table, key, json.dumps(value).encode())

    def forget_history(self) -> None:
        """Drops the history of changes; earlier versions get status 410."""
        self.oldest = self.version
        self.changes.clear()
        self._notify_waiters()

    def find_version(self, age_s: float) -> int:
        """Returns the newest version of some seconds ago."""
        until = time.monotonic() - age_s
        versions = (
            change.version
            for change in self._undo_log
            if change.changed_at <= until
        )
        return max(versions, default=0)

    def restore(
        self, version: int, *, resumes_calls: bool = False
    ) -> list[RowChange]:
        """Restores the rows as they were at an earlier version.

        The version counter goes back, so the versions after it are assigned a
        second time. The era increases.

        Args:
            version: Version of the copy.
            resumes_calls: Whether a pending call for changes waits on, and is
                answered with changes of the new era.

        Returns:
            Lost changes of other writers than hosts, oldest first. A test
            passes them to `repeat` when these writers write again.
        """
        lost = [c for c in self._undo_log if c.version > version]
        for change in reversed(lost):
            if change.before is None:
                self.rows.pop(change.row_id, None)
            else:
                self.rows[change.row_id] = change.before
        self._undo_log = [c for c in self._undo_log if c.version <= version]
        self.changes = [c for c in self.changes if c[0] <= version]
        self.version = version
        self.oldest = min(self.oldest, version)
        self.era += 1
        if not resumes_calls:
            self._notify_waiters()
        return [change for change in lost if not change.is_transaction]

    def repeat(self, lost: abc.Iterable[RowChange]) -> None:
        """Writes again what a restored store has lost."""
        for change in lost:
            self._apply([(change.row_id, change.value)], is_transaction=False)

    def has_history(self, version: int) -> bool:
        """Returns whether changes after a version are known."""
        return self.oldest <= version <= self.version

    def transact(self, body: typing.Any) -> tuple[int, typing.Any]:
        """Applies a transaction; returns the status and body of the answer."""
        for row in body.get("expect", ()):
            current = self.rows.get(_parse_row_id(row))
            if (current[1] if current else 0) != row["ver"]:
                return 412, {"rows": [], **self.describe_version()}
        changes: list[tuple[_RowId, bytes | None]] = [
            (_parse_row_id(row), base64.b64decode(row["value"]))
            for row in body.get("writes", ())
        ]
        changes += [
            (_parse_row_id(row), None) for row in body.get("remove", ())
        ]
        self._apply(changes, is_transaction=True)
        return 200, self.describe_version()

    def describe_version(self) -> dict[str, typing.Any]:
        """Returns the version and time that every answer contains."""
        return {"ver": self.version, "nowS": time.monotonic()}

    def list_rows(
        self, table: str, start: str, limit: int
    ) -> tuple[list[typing.Any], bool]:
        """Returns one page of a table's rows and whether there are more.

        Args:
            table: Name of the table.
            start: Lowest key.
            limit: Maximum number of rows.
        """
        row_ids = sorted(
            row_id
            for row_id in self.rows
            if row_id[0] == table and row_id[2] >= start
        )
        page = row_ids[: min(limit, _MAXIMUM_PAGE_ROWS)]
        return [self._encode_row(row_id) for row_id in page], len(page) < len(
            row_ids
        )

    async def wait_for_changes(
        self, table: str, after: int, wait_ms: int
    ) -> list[typing.Any]:
        """Waits for changes of a table; returns none after the wait.

        Args:
            table: Name of the table.
            after: Version after which changes are returned.
            wait_ms: Maximum time to wait.
        """
        deadline = time.monotonic() + min(wait_ms, _MAXIMUM_WAIT_MS) / 1000
        while True:
            row_ids = {
                row_id: None
                for version, row_id in self.changes
                if version > after and row_id[0] == table
            }
            remaining_s = deadline - time.monotonic()
            has_history = self.has_history(after)
            if row_ids or remaining_s <= 0 or not has_history:
                return [self._encode_row(row_id) for row_id in row_ids]
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                return []

    def _apply(
        self,
        changes: list[tuple[_RowId, bytes | None]],
        *,
        is_transaction: bool,
    ) -> None:
        self.version += 1
        for row_id, value in changes:
            self._undo_log.append(
                RowChange(
                    time.monotonic(),
                    self.version,
                    row_id,
                    self.rows.get(row_id),
                    value,
                    is_transaction,
                )
            )
            if value is None:
                self.rows.pop(row_id, None)
            else:
                self.rows[row_id] = (value, self.version)
            self.changes.append((self.version, row_id))
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        if not self.notifies:
            return
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode_row(self, row_id: _RowId) -> dict[str, typing.Any]:
        table, part, key = row_id
        row = {"table": table, "part": part, "key": key}
        current = self.rows.get(row_id)
        if current is None:
            return {**row, "deleted": True, "ver": self.version}
        value, version = current
        return {
            **row,
            "value": base64.b64encode(value).decode(),
            "ver": version,
        }


def _parse_row_id(row: typing.Any) -> _RowId:
    return row["table"], row.get("part", ""), row["key"]


class _Handler(tornado.web.RequestHandler):
    """Base of the handlers: applies faults and counts calls."""

    def initialize(self, store: RowStore, faults: RowFaults) -> None:
        self.store = store
        self.faults = faults

    async def prepare(self) -> None:
        name = self.request.path.rpartition("/")[2]
        self.store.calls[name] = self.store.calls.get(name, 0) + 1
        self._waiting = name
        self.store.waiting.append(name)
        await asyncio.sleep(self.faults.delay_s)
        self.refuse_if_faulty()

    def refuse_if_faulty(self) -> bool:
        """Refuses the call if that fault is set, and returns whether it is."""
        if self.faults.status:
            self.set_status(self.faults.status)
            self._set_era()
            self.finish()
        return self.faults.status != 0

    async def answer(self, fields: dict[str, typing.Any]) -> None:
        """Sends an answer, in parts if that fault is set."""
        faults = self.faults
        body = json.dumps(fields).encode()
        self._set_era()
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", len(body))
        step = faults.part_bytes or len(body)
        for start in range(0, len(body), step):
            if start:
                await asyncio.sleep(faults.part_pause_s)
            self.write(body[start : start + step])
            await self.flush()
        self.finish()

    def on_finish(self) -> None:
        self._remove_waiting()

    def on_connection_close(self) -> None:
        self._remove_waiting()

    def _set_era(self) -> None:
        """Names the era of the store in the answer."""
        values = self.faults.era_values
        if values is None:
            values = [str(self.store.era)]
        for value in values:
            self.add_header(_ERA_HEADER, value)

    def _remove_waiting(self) -> None:
        if self._waiting:
            self.store.waiting.remove(self._waiting)
            self._waiting = ""


class _TransactionHandler(_Handler):
    """POST rows-tx."""

    async def post(self) -> None:
        status, answer = self.store.transact(json.loads(self.request.body))
        if self.faults.loses_answers:
            await asyncio.sleep(3600)
        self.set_status(status)
        self._set_era()
        self.finish(answer)


class _ReadHandler(_Handler):
    """GET rows-get."""

    async def get(self) -> None:
        # get_query_argument of Tornado removes control characters.
        start = self.request.query_arguments.get("from", [b""])[0].decode()
        rows, has_more = self.store.list_rows(
            self.get_query_argument("table"),
            start,
            int(self.get_query_argument("limit", str(_MAXIMUM_PAGE_ROWS))),
        )
        await self.answer(
            {"rows": rows, "hasMore": has_more, **self.store.describe_version()}
        )


class _FeedHandler(_Handler):
    """GET rows-feed."""

    async def get(self) -> None:
        after = int(self.get_query_argument("after"))
        rows = await self.store.wait_for_changes(
            self.get_query_argument("table"),
            after,
            int(self.get_query_argument("waitMs")),
        )
        if self.refuse_if_faulty():
            # The fault was set while the call waited.
            return
        if not self.store.has_history(after):
            self.set_status(410)
            self._set_era()
            self.finish()
            return
        await self.answer({"rows": rows, **self.store.describe_version()})


def serve(
    store: RowStore, faults: RowFaults | None = None
) -> tuple[tornado.httpserver.HTTPServer, str]:
    """Serves a store on a free port of the loopback interface.

    Args:
        store: The store.
        faults: Faults of the calls to this port; None for those of the store.
            With a port of its own, the store can refuse a single host.

    Returns:
        The server, and its address as "ip:port".
    """
    return _serving.serve(
        [
            ("/sycamoreloft/rows-tx", _TransactionHandler),
            ("/sycamoreloft/rows-get", _ReadHandler),
            ("/sycamoreloft/rows-feed", _FeedHandler),
        ],
        {"store": store, "faults": faults or store.faults},
    )
