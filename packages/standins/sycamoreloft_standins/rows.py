"""Stand-in of the users' platform store: rows, transactions and changes.

It speaks the published protocol (rows-tx, rows-get, rows-feed). `RowStore` is
the state; tests change rows and faults directly.
"""

import asyncio
import base64
import dataclasses
import json
import time
import typing

import tornado.httpserver
import tornado.web

from sycamoreloft_standins import _serving

#: Longest wait of a call for changes, in milliseconds.
_LONGEST_WAIT_MS = 30_000

#: Rows in one answer.
_PAGE_ROWS = 500

_RowId = tuple[str, str, str]


@dataclasses.dataclass(slots=True)
class RowFaults:
    """What goes wrong at present."""

    #: Status that every call gets, 0 for none.
    status: int = 0
    #: Whether writes take effect and are not answered.
    loses_answers: bool = False
    #: Seconds added to each answer.
    delay_s: float = 0.0
    #: Bytes of an answer that are sent at once, 0 for all of them.
    part_bytes: int = 0
    #: Seconds between two parts of an answer.
    part_pause_s: float = 0.0


class RowStore:
    """Rows with one counter of versions."""

    def __init__(self) -> None:
        self.rows: dict[_RowId, tuple[bytes, int]] = {}
        self.changes: list[tuple[int, _RowId]] = []
        self.version = 0
        self.oldest = 0
        self.faults = RowFaults()
        self.calls: dict[str, int] = {}
        #: Calls whose callers still wait, by name.
        self.waiting: list[str] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Writes or, with None, removes a row, as another writer."""
        self._apply([((table, "", key), value)])

    def put_json(self, table: str, key: str, value: typing.Any) -> None:
        """Writes a row with a JSON value."""
        self.put(table, key, json.dumps(value).encode())

    def forget_history(self) -> None:
        """Drops the history of changes."""
        self.oldest = self.version
        self.changes.clear()
        self._wake()

    def transact(self, body: typing.Any) -> tuple[int, typing.Any]:
        """Applies a transaction; returns status and answer."""
        for row in body.get("expect", ()):
            known = self.rows.get(_read_id(row))
            if (known[1] if known else 0) != row["ver"]:
                return 412, {"rows": [], **self.describe()}
        changes: list[tuple[_RowId, bytes | None]] = [
            (_read_id(row), base64.b64decode(row["value"]))
            for row in body.get("writes", ())
        ]
        changes += [(_read_id(row), None) for row in body.get("remove", ())]
        self._apply(changes)
        return 200, self.describe()

    def describe(self) -> dict[str, typing.Any]:
        """Returns what every answer about rows contains."""
        return {"ver": self.version, "nowS": time.monotonic()}

    def list_rows(
        self, table: str, start: str, limit: int
    ) -> tuple[list[typing.Any], bool]:
        """Returns rows of a table from a key on, and whether there are more."""
        found = sorted(
            item for item in self.rows if item[0] == table and item[2] >= start
        )
        page = found[: min(limit, _PAGE_ROWS)]
        return [self._encode(item) for item in page], len(page) < len(found)

    async def wait_for_changes(
        self, table: str, after: int, wait_ms: int
    ) -> list[typing.Any]:
        """Waits for changes of a table; empty if none came."""
        deadline = time.monotonic() + min(wait_ms, _LONGEST_WAIT_MS) / 1000
        while True:
            found = {
                item: None
                for version, item in self.changes
                if version > after and item[0] == table
            }
            left = deadline - time.monotonic()
            if found or left <= 0 or after < self.oldest:
                return [self._encode(item) for item in found]
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                return []

    def _apply(self, changes: list[tuple[_RowId, bytes | None]]) -> None:
        self.version += 1
        for item, value in changes:
            if value is None:
                self.rows.pop(item, None)
            else:
                self.rows[item] = (value, self.version)
            self.changes.append((self.version, item))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, item: _RowId) -> dict[str, typing.Any]:
        table, part, key = item
        row = {"table": table, "part": part, "key": key}
        known = self.rows.get(item)
        if known is None:
            return {**row, "deleted": True, "ver": self.version}
        value, version = known
        return {
            **row,
            "value": base64.b64encode(value).decode(),
            "ver": version,
        }


def _read_id(row: typing.Any) -> _RowId:
    return row["table"], row.get("part", ""), row["key"]


class _Handler(tornado.web.RequestHandler):
    """Common parts: faults and counters."""

    def initialize(self, store: RowStore) -> None:
        self.store = store

    async def prepare(self) -> None:
        name = self.request.path.rpartition("/")[2]
        self.store.calls[name] = self.store.calls.get(name, 0) + 1
        self._waiting = name
        self.store.waiting.append(name)
        await asyncio.sleep(self.store.faults.delay_s)
        if self.store.faults.status:
            self.set_status(self.store.faults.status)
            self.finish()

    async def answer(self, fields: dict[str, typing.Any]) -> None:
        """Sends an answer, in parts if the faults say so."""
        faults = self.store.faults
        body = json.dumps(fields).encode()
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
        self._leave()

    def on_connection_close(self) -> None:
        self._leave()

    def _leave(self) -> None:
        if self._waiting:
            self.store.waiting.remove(self._waiting)
            self._waiting = ""


class _TransactionHandler(_Handler):
    """POST rows-tx."""

    async def post(self) -> None:
        status, answer = self.store.transact(json.loads(self.request.body))
        if self.store.faults.loses_answers:
            await asyncio.sleep(3600)
        self.set_status(status)
        self.finish(answer)


class _ReadHandler(_Handler):
    """GET rows-get."""

    async def get(self) -> None:
        # tornado's own reader of arguments takes control characters out.
        start = self.request.query_arguments.get("from", [b""])[0].decode()
        rows, has_more = self.store.list_rows(
            self.get_query_argument("table"),
            start,
            int(self.get_query_argument("limit", str(_PAGE_ROWS))),
        )
        await self.answer(
            {"rows": rows, "hasMore": has_more, **self.store.describe()}
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
        if after < self.store.oldest:
            self.set_status(410)
            self.finish()
            return
        await self.answer({"rows": rows, **self.store.describe()})


def serve(store: RowStore) -> tuple[tornado.httpserver.HTTPServer, str]:
    """Serves a store on a free port of the loopback interface.

    Returns:
        The server, and its address as "ip:port".
    """
    return _serving.serve(
        [
            ("/sycamoreloft/rows-tx", _TransactionHandler),
            ("/sycamoreloft/rows-get", _ReadHandler),
            ("/sycamoreloft/rows-feed", _FeedHandler),
        ],
        {"store": store},
    )
