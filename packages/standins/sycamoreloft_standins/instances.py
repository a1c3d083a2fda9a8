"""Stand-in of a service instance that holds keys and runs requests.

It implements the published protocol: grants and releases of key ranges with
fences, `Expected-Instance`, `Not-Executed`, a signature on each answer.
"""

import asyncio
import dataclasses
import json
import random
import time
import typing

import tornado.httpserver
import tornado.web

from sycamoreloft_standins import _serving


@dataclasses.dataclass(frozen=True, slots=True)
class HeldKeys:
    """A range of keys held under one grant."""

    #: First and last key of the range, inclusive.
    first: int
    last: int
    #: Fencing token of the grant.
    fence: int
    #: End of the lease on the monotonic clock, in seconds.
    until: float


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached an instance.

    Times are in seconds on the monotonic clock.
    """

    #: Identifier of the request.
    request_id: str
    #: When it arrived.
    arrived_at: float
    #: When it was answered; 0 before.
    answered_at: float = 0.0
    #: Seconds of the pause that the answer asked for; 0 for none.
    pause_s: float = 0.0
    #: Whether the answer said that the instance is shutting down.
    is_leaving: bool = False
    #: Whether it was refused because the instance does not hold its key.
    is_misdirected: bool = False


class Instance:
    """State of one run of an instance.

    Args:
        name: Identifier; requests that expect another one are refused.
        is_sharded: Whether it only runs requests for keys that it holds.
    """

    def __init__(self, name: str, is_sharded: bool = False) -> None:
        self.name = name
        #: Identifier that orders must expect instead; "" for `name`.
        self.order_name = ""
        self.is_sharded = is_sharded
        #: Ranges of granted keys, also those whose lease has ended.
        self.held: list[HeldKeys] = []
        #: First key, last key and fence of each accepted grant.
        self.seen: list[tuple[int, int, int]] = []
        #: Identifiers and bodies of the requests that started to run.
        self.ran: list[str] = []
        self.bodies: list[bytes] = []
        #: Service time of a request.
        self.work_s = 0.0
        #: Whether requests are refused with 503.
        self.sheds = False
        #: Whether requests run and are answered with 500.
        self.fails = False
        #: Whether requests run and are not answered.
        self.hangs = False
        #: Seconds in the Retry-After header of refusals; 0 to omit it.
        self.pause_s = 0.0
        #: Seconds between the head and the body of a refusal.
        self.refusal_body_s = 0.0
        #: Number of requests that run at once; further ones are refused. 0
        #: for no limit.
        self.slots = 0
        #: Requests for this instance, in the order of their arrival.
        self.arrivals: list[Arrival] = []
        #: Number of requests that were refused with 503.
        self.shed_requests = 0
        #: Whether all answers say that the instance is shutting down.
        self.is_leaving = False
        #: Load that all answers report, as in their header; "" for none.
        self.load = ""
        #: Path of requests that close the connection, to simulate a crash; ""
        #: for none.
        self.crashing_path = ""
        #: Number of requests for `crashing_path`.
        self.crashes = 0
        #: Number of requests that expected another instance.
        self.misdirected_requests = 0
        #: Number of running requests, now and at most.
        self.active = 0
        self.most_active = 0

    def draw_announcements(self, generator: random.Random) -> None:
        """Begins at random to pause or to serve, and at times to shut down."""
        self.sheds = generator.random() < 0.5
        self.pause_s = generator.choice((0.4, 1.0, 3.0))
        self.fails = generator.random() < 0.2
        self.is_leaving = self.is_leaving or generator.random() < 0.1

    def grant(self, body: typing.Any) -> bool:
        """Accepts a grant, or returns False if a key had a higher fence."""
        first, last, fence = body["from"], body["to"], body["fence"]
        for seen_first, seen_last, seen_fence in self.seen:
            if seen_first <= last and first <= seen_last and seen_fence > fence:
                return False
        self.release(first, last)
        self.seen.append((first, last, fence))
        until = time.monotonic() + body["holdS"]
        self.held.append(HeldKeys(first, last, fence, until))
        return True

    def release(self, first: int, last: int) -> None:
        """Releases the keys from `first` to `last`, inclusive."""
        remaining = []
        for key_range in self.held:
            if key_range.first < first:
                remaining.append(
                    dataclasses.replace(
                        key_range, last=min(key_range.last, first - 1)
                    )
                )
            if key_range.last > last:
                remaining.append(
                    dataclasses.replace(
                        key_range, first=max(key_range.first, last + 1)
                    )
                )
        self.held = remaining

    def holds(self, key: int) -> bool:
        """Returns whether the instance holds a key now."""
        now = time.monotonic()
        return any(
            key_range.first <= key <= key_range.last and key_range.until > now
            for key_range in self.held
        )


class _Handler(tornado.web.RequestHandler):
    """Base of the handlers; refuses requests meant for another instance."""

    def initialize(self, instance: Instance) -> None:
        self.instance = instance

    def refuse(self, status: int) -> None:
        """Answers with a status and that the request did not run."""
        self.set_header("Not-Executed", "1")
        self.echo_id()
        self.set_status(status)
        self.finish()

    def finish(self, chunk: typing.Any = None) -> "asyncio.Future[None]":
        """Ends the answer, with the headers that all answers have."""
        if self.instance.is_leaving:
            self.set_header("Server-Leaving", "1")
        if self.instance.load:
            self.set_header("Instance-Load", self.instance.load)
        return super().finish(chunk)

    def echo_id(self) -> None:
        """Repeats the identifier of the request, if it has one."""
        request_id = self.request.headers.get("Request-Id", "")
        if request_id:
            self.set_header("Request-Id", request_id)

    def prepare(self) -> None:
        name = self.instance.name
        if not isinstance(self, _WorkHandler) and self.instance.order_name:
            name = self.instance.order_name
        expected = self.request.headers.get("Expected-Instance")
        if expected not in (None, name):
            self.set_header("Instance-Id", name)
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
    arrival: Arrival | None = None

    def finish(self, chunk: typing.Any = None) -> "asyncio.Future[None]":
        """Ends the answer, and records what it announced."""
        if self.arrival is not None:
            self.arrival.answered_at = time.monotonic()
            self.arrival.is_leaving = self.instance.is_leaving
        return super().finish(chunk)

    async def _run(self) -> None:
        instance = self.instance
        request_id = self.request.headers.get("Request-Id", "")
        if not request_id:
            self.refuse(400)
            return
        self.arrival = Arrival(request_id, time.monotonic())
        instance.arrivals.append(self.arrival)
        if instance.sheds or 0 < instance.slots <= instance.active:
            instance.shed_requests += 1
            if instance.pause_s:
                self.set_header("Retry-After", str(instance.pause_s))
                self.arrival.pause_s = instance.pause_s
            if instance.refusal_body_s:
                await self._send_refusal_head()
            self.refuse(503)
            return
        if instance.is_sharded and not instance.holds(
            int(self.request.headers.get("Shard-Key", "-1"))
        ):
            self.arrival.is_misdirected = True
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

    async def _send_refusal_head(self) -> None:
        """Sends the head of a refusal, and waits before its body."""
        self.set_header("Not-Executed", "1")
        self.echo_id()
        self.set_status(503)
        await self.flush()
        await asyncio.sleep(self.instance.refusal_body_s)

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
