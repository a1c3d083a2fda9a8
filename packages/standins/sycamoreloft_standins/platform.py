"""Stand-in of the platform: table, object store and host list.

Run as `python -m sycamoreloft_standins.platform --port P`. Section 12.2 of
the design page gives the protocol. `POST /hosts`, `/faults` and `GET
/stats` are for test drivers only.
"""

import argparse
import asyncio
from collections import abc
import dataclasses
import hashlib
import json
import logging
import random
import time
import typing

import tornado.httpserver
import tornado.web

from sycamoreloft_standins import _platform_faults, _table

_LOGGER = logging.getLogger(__name__)
#: With the fault `silent`, a connection is closed after this time to bound the
#: number of open connections.
_SILENT_REQUEST_TIMEOUT_S = 120.0
_MAXIMUM_BODY_BYTES = 256 * 1024 * 1024


class PlatformState:
    """State that the handlers of one platform share."""

    def __init__(self, seed: int = 0) -> None:
        self.table = _table.Table()
        self.objects: dict[str, bytes] = {}
        self.faults = _platform_faults.PlatformFaults()
        self.counters = _platform_faults.PlatformCounters()
        self.random = random.Random(seed)
        # Each list with the monotonic time from which it is visible.
        self._host_lists: list[tuple[float, list[typing.Any]]] = [(0.0, [])]

    def set_hosts(self, hosts: list[typing.Any], now: float) -> None:
        """Changes the host list; the change is visible after `hosts_lag_s`.

        Args:
            hosts: New list.
            now: Monotonic time in seconds.
        """
        visible_at = now + self.faults.hosts_lag_s
        self._host_lists.append((visible_at, hosts))

    def get_hosts(self, now: float) -> list[typing.Any]:
        """Returns the host list that is visible at this monotonic time."""
        visible = [entry for entry in self._host_lists if entry[0] <= now]
        current = visible[-1]
        pending = [entry for entry in self._host_lists if entry[0] > now]
        self._host_lists = [current, *pending]
        return current[1]


class _Handler(tornado.web.RequestHandler):
    """Base of all handlers."""

    def initialize(self, state: PlatformState) -> None:
        self.state = state

    def read_body(self) -> dict[str, typing.Any]:
        try:
            body = json.loads(self.request.body)
        except ValueError as error:
            raise tornado.web.HTTPError(400, reason="not JSON") from error
        if not isinstance(body, dict):
            raise tornado.web.HTTPError(400, reason="not a JSON object")
        return body

    def drop_connection(self) -> None:
        """Closes the connection without an answer."""
        self._finished = True
        connection = typing.cast(typing.Any, self.request.connection)
        connection.stream.close()

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        self.finish({"error": self._reason, "status": status_code})


class _StoreHandler(_Handler):
    """Base of the handlers that the faults of the stores apply to."""

    async def prepare(self) -> None:
        host = self.request.headers.get("Sycamoreloft-Host", "")
        counters = self.state.counters
        counters.by_host[host] = counters.by_host.get(host, 0) + 1
        delay_s = self.state.faults.delay_ms / 1000.0
        if delay_s:
            await asyncio.sleep(delay_s)
        faults = self.state.faults
        if faults.silent:
            counters.failed += 1
            await asyncio.sleep(_SILENT_REQUEST_TIMEOUT_S)
            self.drop_connection()
        elif host and host in faults.rejected_hosts:
            counters.failed += 1
            self.drop_connection()
        elif faults.down:
            counters.failed += 1
            self.set_status(503)
            self.finish({"error": "the store is down"})

    def finish_write(self, status: int, body: dict[str, typing.Any]) -> None:
        """Answers a write, or drops the answer by the fault `lose_answers`."""
        if self.state.random.random() < self.state.faults.lose_answers:
            self.state.counters.lost_answers += 1
            self.drop_connection()
            return
        self.set_status(status)
        self.finish(body)


class _TransactHandler(_StoreHandler):
    def post(self) -> None:
        body = self.read_body()
        # Transactions are serial, because there is no await between the check
        # and the change and a single event loop runs them all.
        try:
            result = self.state.table.transact(
                str(body["request"]),
                [(str(key), int(n)) for key, n in body.get("conditions", [])],
                [(str(key), dict(v)) for key, v in body.get("puts", [])],
                [str(key) for key in body.get("deletes", [])],
            )
        except (KeyError, TypeError, ValueError) as error:
            raise tornado.web.HTTPError(
                400, reason="malformed transaction"
            ) from error
        if isinstance(result, _table.Applied):
            self.state.counters.writes += 1
            answer = {"applied": True, "versions": result.versions}
            self.finish_write(200, answer)
        else:
            self.state.counters.conflicts += 1
            answer = {"applied": False, "conflicts": result.conflicts}
            self.finish_write(409, answer)


class _ReadHandler(_StoreHandler):
    def post(self) -> None:
        body = self.read_body()
        self.state.counters.reads += 1
        rows = self.state.table.read(
            body.get("keys", []), body.get("prefixes", [])
        )
        self.finish(
            {
                "rows": {
                    key: dataclasses.asdict(row) for key, row in rows.items()
                }
            }
        )


class _ObjectHandler(_StoreHandler):
    def get(self, name: str) -> None:
        self.state.counters.object_reads += 1
        if name not in self.state.objects:
            raise tornado.web.HTTPError(404, reason="no such object")
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(self.state.objects[name])

    def put(self, name: str) -> None:
        if hashlib.sha256(self.request.body).hexdigest() != name:
            raise tornado.web.HTTPError(400, reason="name is not the digest")
        self.state.counters.object_writes += 1
        self.state.objects[name] = self.request.body
        self.finish_write(200, {"stored": name})


class _HostsHandler(_Handler):
    def get(self) -> None:
        faults = self.state.faults
        host = self.request.headers.get("Sycamoreloft-Host", "")
        if host and host in faults.rejected_hosts:
            self.drop_connection()
        elif faults.hosts_down:
            raise tornado.web.HTTPError(503, reason="the host list is down")
        else:
            self.state.counters.host_list_reads += 1
            self.finish({"hosts": self.state.get_hosts(time.monotonic())})

    def post(self) -> None:
        self.state.set_hosts(self.read_body()["hosts"], time.monotonic())
        self.finish({})


class _FaultsHandler(_Handler):
    def get(self) -> None:
        self.finish(dataclasses.asdict(self.state.faults))

    def post(self) -> None:
        try:
            self.state.faults = _platform_faults.change_faults(
                self.state.faults, self.read_body()
            )
        except _platform_faults.UnknownFaultError as error:
            self.set_status(400)
            self.finish({"error": str(error)})
            return
        self.finish(dataclasses.asdict(self.state.faults))


class _StatsHandler(_Handler):
    def get(self) -> None:
        self.finish(dataclasses.asdict(self.state.counters))


def make_application(
    state: PlatformState | None = None,
) -> tornado.web.Application:
    """Builds the application of a platform.

    Args:
        state: Shared state that a test can inspect; a new one if omitted.
    """
    settings = {"state": state or PlatformState()}
    routes: abc.Sequence[tuple[str, type[_Handler]]] = (
        (r"/table/transact", _TransactHandler),
        (r"/table/read", _ReadHandler),
        (r"/objects/([0-9a-f]{64})", _ObjectHandler),
        (r"/hosts", _HostsHandler),
        (r"/faults", _FaultsHandler),
        (r"/stats", _StatsHandler),
    )
    return tornado.web.Application(
        [(path, handler, settings) for path, handler in routes],
        log_function=lambda handler: None,
    )


async def serve(port: int, seed: int) -> None:
    """Serves the platform on the loopback interface until the process ends."""
    server = tornado.httpserver.HTTPServer(
        make_application(PlatformState(seed)),
        max_buffer_size=_MAXIMUM_BODY_BYTES,
    )
    server.listen(port, "127.0.0.1", backlog=1024)
    _LOGGER.info("platform ready on port %d", port)
    await asyncio.Event().wait()


def main() -> None:
    """Parses the arguments and serves the platform."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    logging.basicConfig(level=logging.INFO)
    asyncio.run(serve(arguments.port, arguments.seed))


if __name__ == "__main__":
    main()
