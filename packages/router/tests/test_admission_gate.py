"""Waits of requests for room at their upstream, with virtual time."""

import asyncio
import random
import types

import pytest
import virtual_time

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import _exchange, _metrics
from sycamoreloft_router.load import _admission_gate

RESULT = sycamoreloft_load.AttemptResult


def build_route(name, priority, target_s, kind="IDEMPOTENT"):
    return sycamoreloft_direct.Route(
        name,
        "race.example",
        "/",
        (sycamoreloft_direct.Target("s", 1),),
        sycamoreloft_direct.RouteKind[kind],
        4.0,
        target_s,
        2,
        priority,
    )


ORDERS = build_route("orders", 0, 0.4)
READS = build_route("reads", 2, 2.4)
COMMANDS = build_route("commands", 0, 0.4, "AT_MOST_ONCE")


class World:
    """A gate with one upstream."""

    def __init__(self, backlog=None):
        self.loop = asyncio.get_running_loop()
        self.backlog = backlog
        self.metrics = _metrics.Metrics()
        generator = random.Random(1)
        state = types.SimpleNamespace(version=1, routes=[ORDERS, READS])
        self.gate = _admission_gate.AdmissionGate(
            types.SimpleNamespace(state=state),
            sycamoreloft_load.ResetLimits(generator),
            sycamoreloft_load.RetryTimes(generator),
            lambda record, now: self.backlog,
            self.metrics,
            self.loop,
        )
        entry = sycamoreloft_direct.Upstream("u", 1, "u:1", "s", "z", 4, False)
        self.record = sycamoreloft_load.UpstreamRecord(entry, 0.0)
        self.done = []

    def build_demand(self, route):
        request = types.SimpleNamespace(
            service="s", route=route, caller="10.0.0.9"
        )
        received = _exchange.ReceivedRequest(
            None, 0, b"", self.loop.time() + 4.0
        )
        return self.gate.create_demand(request, received, self.loop.time())

    def fill(self):
        """Lets the upstream reset a request and answer later ones."""
        for result in (RESULT.ANSWERED, RESULT.RESET, RESULT.ANSWERED) * 2:
            self.finish(result)

    def finish(self, result):
        self.record.in_flight.setdefault(0, 0.0)
        demand = self.build_demand(READS)
        self.gate.record_result(demand, self.record, result, 0.1, 0.0)
        self.record.in_flight.clear()

    async def send(self, route, name):
        began_at = self.loop.time()
        demand = self.build_demand(route)
        reason = ""
        if not self.gate.may_enter(demand, self.record, began_at):
            reason = await self.gate.wait(demand, self.record, name)
        if not reason:
            self.record.in_flight[name] = self.loop.time()
        self.done.append((name, reason, self.loop.time() - began_at))


# Guards against more requests at once than a full upstream takes, and against
# less urgent ones that share its room first.
def test_callers_share_the_room_at_a_full_upstream_by_priority():
    async def main():
        world = World()
        world.fill()
        world.finish(RESULT.RESET)
        await asyncio.sleep(0.5)
        world.record.in_flight[0] = 0.0
        tasks = [
            asyncio.create_task(world.send(route, name))
            for route, name in ((READS, "read"), (ORDERS, "order"))
        ]
        await asyncio.sleep(0.01)
        assert world.gate.waiting_count == 2
        world.finish(RESULT.CANCELLED)
        await asyncio.sleep(0.01)
        assert [item[0] for item in world.done] == ["order"]
        assert world.gate.waiting_count == 1
        world.finish(RESULT.CANCELLED)
        await asyncio.gather(*tasks)
        assert [item[:2] for item in world.done] == [
            ("order", ""),
            ("read", ""),
        ]

    virtual_time.run(main())


# Guards against a request that runs at most once and is sent into a full
# upstream, and against refusals that cannot be traced by a request's id.
def test_a_request_at_a_full_upstream_is_refused_before_it_is_sent(caplog):
    async def main():
        world = World()
        world.fill()
        world.finish(RESULT.RESET)
        await world.send(COMMANDS, "r7")
        assert world.done == [("r7", "upstream-full", 0.0)]
        assert "r7" in str([vars(item) for item in caplog.records])

    virtual_time.run(main())


# Guards against a request that is held for long and refused in the end.
def test_a_refused_request_waits_an_eighth_of_its_target():
    async def main():
        world = World(backlog=8.0)
        for _ in range(5):
            await world.send(READS, "sent")
        world.done.clear()
        await world.send(READS, "read")
        name, reason, waited_s = world.done[0]
        assert reason == "backlog"
        assert waited_s == pytest.approx(0.3, abs=0.006)
        assert world.gate.waiting_count == 0

    virtual_time.run(main())


# Guards against requests that stay in the line when their caller has left or
# the host stops.
def test_waiting_requests_leave_the_line_at_once():
    async def main():
        world = World(backlog=8.0)
        tasks = [
            asyncio.create_task(world.send(READS, name)) for name in ("a", "b")
        ]
        await asyncio.sleep(0.01)
        assert world.gate.waiting_count == 2
        tasks[0].cancel()
        await asyncio.sleep(0)
        assert world.gate.waiting_count == 1
        world.gate.stop()
        await tasks[1]
        assert world.done == [("b", "", pytest.approx(0.01))]
        assert world.gate.waiting_count == 0

    virtual_time.run(main())


# Guards against a hint that is not derived from the rate of answers, and one
# where nothing is known of the load.
def test_times_to_return_need_a_known_load():
    async def main():
        world = World()
        demand = world.build_demand(READS)
        for _ in range(8):
            world.finish(RESULT.ANSWERED)
        choose = world.gate.choose_retry_after_ms
        assert choose(demand, "10.0.0.9") is None
        world.fill()
        assert 150 <= choose(demand, "10.0.0.9") <= 1_400

    virtual_time.run(main())
