"""Stand-in of an instance of the users' services: requests and keys.

It speaks the published protocol: grants and releases of key ranges with
fences, `Expected-Instance`, `Not-Executed`, a signature on each answer.
"""

import asyncio
import dataclasses
import json
import time
import typing

import tornado.httpserver
import tornado.web

from sycamoreloft_standins import _serving


@dataclasses.dataclass(frozen=True, slots=True)
class HeldKeys:
    """Keys held under one grant."""

    #: First and last key, inclusive.
    first: int
    last: int
    #: Fencing token.
    fence: int
    #: End of the lease on the monotonic clock, in seconds.
    until: float


class Instance:
    """State of one run of an instance.

    Args:
        name: Identifier.
        is_sharded: Whether it runs requests for keys that it holds only.
    """

    def __init__(self, name: str, is_sharded: bool = False) -> None:
        self.name = name
        self.is_sharded = is_sharded
        self.held: list[HeldKeys] = []
        self.seen: list[tuple[int, int, int]] = []
        self.ran: list[str] = []
        self.bodies: list[bytes] = []
        self.work_s = 0.0
        self.sheds = False
        self.fails = False
        self.hangs = False
        self.crashing_path = ""
        self.crashes = 0
        self.misdirected_requests = 0
        self.active = 0
        self.most_active = 0

    def grant(self, body: typing.Any) -> bool:
        """Takes a grant; False if a higher fence was seen."""
        first, last, fence = body["from"], body["to"], body["fence"]
        for low, high, known in self.seen:
            if low <= last and first <= high and known > fence:
                return False
        self.release(first, last)
        self.seen.append((first, last, fence))
        until = time.monotonic() + body["holdS"]
        self.held.append(HeldKeys(first, last, fence, until))
        return True

    def release(self, first: int, last: int) -> None:
        """Gives keys up."""
        rest = []
        for item in self.held:
            if item.first < first:
                rest.append(
                    dataclasses.replace(item, last=min(item.last, first - 1))
                )
            if item.last > last:
                rest.append(
                    dataclasses.replace(item, first=max(item.first, last + 1))
                )
        self.held = rest

    def holds(self, key: int) -> bool:
        """Tells whether the instance holds a key now."""
        now = time.monotonic()
        return any(
            item.first <= key <= item.last and item.until > now
            for item in self.held
        )


class _Handler(tornado.web.RequestHandler):
    """Common parts."""

    def initialize(self, instance: Instance) -> None:
        self.instance = instance

    def refuse(self, status: int) -> None:
        """Answers that the request did not run."""
        self.set_header("Not-Executed", "1")
        self.echo_id()
        self.set_status(status)
        self.finish()

    def echo_id(self) -> None:
        """Repeats the identifier of the request, if it has one."""
        request_id = self.request.headers.get("Request-Id", "")
        if request_id:
            self.set_header("Request-Id", request_id)

    def prepare(self) -> None:
        expected = self.request.headers.get("Expected-Instance")
        if expected not in (None, self.instance.name):
            self.set_header("Instance-Id", self.instance.name)
            if isinstance(self, _WorkHandler):
                self.instance.misdirected_requests += 1
            self.refuse(421)


class _GrantHandler(_Handler):
    def post(self) -> None:
        self.echo_id()
        accepted = self.instance.grant(json.loads(self.request.body))
        self.set_status(200 if accepted else 409)


class _ReleaseHandler(_Handler):
    def post(self) -> None:
        self.echo_id()
        body = json.loads(self.request.body)
        self.instance.release(body["from"], body["to"])
        self.set_header("Lease-Handover", f"state-{body['fence']}")


class _WorkHandler(_Handler):
    async def _run(self) -> None:
        instance = self.instance
        request_id = self.request.headers.get("Request-Id", "")
        if not request_id:
            self.refuse(400)
            return
        if instance.sheds:
            self.refuse(503)
            return
        if instance.is_sharded and not instance.holds(
            int(self.request.headers.get("Shard-Key", "-1"))
        ):
            self.refuse(421)
            return
        if self.request.path == instance.crashing_path:
            instance.crashes += 1
            self.detach().close()
            return
        instance.ran.append(request_id)
        instance.bodies.append(self.request.body)
        instance.active += 1
        instance.most_active = max(instance.most_active, instance.active)
        try:
            await asyncio.sleep(3600 if instance.hangs else instance.work_s)
        finally:
            instance.active -= 1
        self.set_header("Request-Id", request_id)
        self.set_header("Response-Signature", f"{instance.name}.{request_id}")
        self.set_status(500 if instance.fails else 200)
        self.finish(f"{instance.name} {self.request.uri}")

    async def get(self) -> None:
        await self._run()

    async def post(self) -> None:
        await self._run()


def serve(instance: Instance) -> tuple[tornado.httpserver.HTTPServer, str]:
    """Serves an instance on a free port of the loopback interface.

    Returns:
        The server, and its address as "ip:port".
    """
    return _serving.serve(
        [
            ("/sycamoreloft/grant", _GrantHandler),
            ("/sycamoreloft/release", _ReleaseHandler),
            ("/.*", _WorkHandler),
        ],
        {"instance": instance},
    )
