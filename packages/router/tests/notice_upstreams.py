"""Simulated upstreams that announce shutdowns and pauses, and their client."""

import asyncio
import itertools

import sycamoreloft_direct
from sycamoreloft_router import (
    _answer_heads,
    _connection_rules,
    _direct_ports,
    _transfer_types,
    _transfers,
    _upstream_client,
)

NAMES = _direct_ports.HeaderNames(
    "Id", "Deadline", "Expected", "Answering", "Not-Run", "Key", "/orders/"
)
_KIND = _transfer_types.FailureKind


def read_notice(_status, lines):
    """Reads the announcements as the simulated upstreams write them."""
    values = {name: line.partition(b":")[2] for name, line in lines}
    return sycamoreloft_direct.UpstreamNotice(
        b"leaving" in values, float(values.get(b"pause", b"0"))
    )


class Upstream:
    """One run of an upstream."""

    def __init__(self, world, name, service, address, started_ms):
        self.world = world
        self.run = sycamoreloft_direct.UpstreamRun(name, started_ms)
        self.service, self.address = service, address
        self.started_at = world.now()
        self.up = True
        self.is_leaving = False
        #: Seconds of the pauses that it asks for; 0 while it serves.
        self.pause_s = 0.0

    def build_entry(self, is_draining=False):
        return sycamoreloft_direct.Upstream(
            self.run.id,
            self.run.started_ms,
            self.address,
            self.service,
            "z",
            4,
            is_draining,
        )

    async def answer(self, host, request):
        """Serves a request; returns the lines of the answer's head."""
        world, expected = self.world, b"Expected: " + self.run.id.encode()
        identifier = f"Id: {request.attempt}\r\n".encode()
        if expected not in request.header_lines:
            head = b"HTTP/1.1 421 x\r\nAnswering: " + self.run.id.encode()
            head += b"\r\n" + identifier
            return (head + self._announce()).splitlines(True) + [b"\r\n"]
        world.oracle.record_arrival(
            host.name, self.run, world.now(), world.sent_at[request.attempt]
        )
        if self.pause_s:
            await asyncio.sleep(0.002)
            head = b"HTTP/1.1 503 x\r\nNot-Run: 1\r\n" + identifier
            head += f"Pause: {self.pause_s}\r\n".encode()
        else:
            await asyncio.sleep(world.generator.choice((0.02, 0.1, 0.4)))
            status = world.generator.choice((200, 200, 200, 500))
            head = f"HTTP/1.1 {status} x\r\n".encode() + identifier
        return (head + self._announce()).splitlines(True) + [b"\r\n"]

    def _announce(self):
        return b"Leaving: 1\r\n" if self.is_leaving else b""


class _Handle:
    """A running transfer."""

    _numbers = itertools.count()

    def __init__(self, transfer):
        self.transfer = transfer
        self.task = None
        self._number = next(self._numbers)

    def __hash__(self):
        # Sets of handles have the same order in each run of a seed.
        return self._number


class Client:
    """Runs transfers to the simulated upstreams."""

    withdraw_unsent = _upstream_client.UpstreamClient.withdraw_unsent

    def __init__(self, world, host):
        self.world, self.host = world, host
        self.rules = _connection_rules.ConnectionRules(
            _answer_heads.AnswerRules(b"id", True)
        )
        self._active = set()

    def create_future(self):
        return self.world.loop.create_future()

    def read_clock(self):
        return self.world.now()

    def resume(self, handle):
        del handle

    def remove(self, handle):
        handle.task.cancel()
        self._active.discard(handle)

    def start(self, request):
        transfer = _transfers.Transfer(self, request)
        handle = _Handle(transfer)
        handle.task = self.world.loop.create_task(self._run(handle))
        transfer.attach(handle)
        self._active.add(handle)
        return transfer

    async def _run(self, handle):
        transfer, generator = handle.transfer, self.world.generator
        # Some transfers wait until a connection is free.
        await asyncio.sleep(generator.choice((0.001, 0.001, 0.3, 1.5)))
        failure = None
        if transfer.check_withdrawn():
            failure = _transfer_types.Failure(_KIND.WITHDRAWN, "withdrawn")
        else:
            failure = await self._exchange(transfer)
        self._active.discard(handle)
        transfer.end(failure)

    async def _exchange(self, transfer):
        generator = self.world.generator
        transfer.maybe_sent = True
        transfer.send_count = 1
        await asyncio.sleep(generator.uniform(0.001, 0.1))
        upstream = self.world.find_upstream(transfer.request.address)
        if upstream is None:
            return _transfer_types.Failure(_KIND.BROKEN, "closed")
        lines = await upstream.answer(self.host, transfer.request)
        answered_at = self.world.now()
        await asyncio.sleep(generator.uniform(0.001, 0.1))
        if not upstream.up:
            return _transfer_types.Failure(_KIND.BROKEN, "closed")
        # An answer counts only if it arrives: its connection may be closed
        # before, because the caller has gone.
        self._record_announcements(upstream.run, lines, answered_at)
        for line in lines:
            transfer.receive_head_line(line)
        # Some bodies follow long after their head.
        await asyncio.sleep(generator.choice((0.0, 0.0, 2.0)))
        transfer.receive_body(b"x")
        return None

    def _record_announcements(self, run, lines, answered_at):
        """Tells the oracle what an answer that arrived announces."""
        oracle, now = self.world.oracle, self.world.now()
        if b"Leaving: 1\r\n" in lines and b" 421 " not in lines[0]:
            oracle.record_announcement(self.host.name, run, now)
        for line in lines:
            name, _, value = line.partition(b":")
            if name == b"Pause":
                pause_s = float(value)
                oracle.record_pause(self.host.name, run, answered_at, pause_s)
