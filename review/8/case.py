"""Instances leave as the coordinator, cut off from the store, is back."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import harness  # noqa: E402

HOST = "race.example"
DRAIN_S = harness.BOUNDS["drainS"]

#: Duration of the cut; the site file plays 4 and 5.5 s for one machine.
CUT_S = 4.0

#: Instances at the start.
COUNT = 20

#: Instances that leave, seconds between two of them, and for how long they
#: still serve.
LEAVE_COUNT = 4
LEAVE_GAP_S = 0.03
SERVE_S = 4.0

#: Seconds by which this process may notice an arrival late.
CLOCK_SLACK_S = 0.03

#: Seconds between two requests to each host.
GAP_S = 0.01


async def play(case):
    case.open_store()
    rule = (HOST, "/enter/", "idempotent", {"service": "ledger"})
    case.store.put_json(
        "op", "config", harness.build_state(1, [rule], {"ledger": False})
    )
    instances = [
        await case.add_instance(f"i-{n:02}", "ledger") for n in range(COUNT)
    ]
    writes = {}
    proxies = {}
    for number in range(3):
        name = f"edge-{number + 1}"
        proxy = proxies[name] = harness.Proxy(case.store.address)
        address = await proxy.open(case.next_ip())
        proxy.on_write = lambda name=name: writes.__setitem__(name, time.monotonic())
        case.add_host(name, store=address)
    await case.wait_ready()
    await asyncio.sleep(5.0)
    leader = max(writes, key=writes.__getitem__)
    others = [host for host in case.hosts if host.name != leader]
    case.record.write(f"leader   {leader}")

    stopped = asyncio.Event()

    async def consume(host):
        tasks = set()
        while not stopped.is_set():
            task = asyncio.create_task(case.send(host, "GET", HOST, "/enter/1"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)

    consumers = [asyncio.create_task(consume(host)) for host in others]
    await asyncio.sleep(1.0)
    writes.clear()
    if harness.TROUBLE:
        case.record.write(f"cut      {leader} from the store")
        proxies[leader].cut()
    await asyncio.sleep(CUT_S)
    writes.clear()
    if harness.TROUBLE:
        proxies[leader].heal()
        case.record.write(f"healed   {leader}")
    while leader not in writes:
        await asyncio.sleep(0.002)
    case.record.write(f"write    {leader} reaches the store")
    left = {}
    for instance in instances[:LEAVE_COUNT]:
        # Some instances never report that they drain: their entry is removed.
        case.store.put("servers", instance.name, None)
        left[instance.name] = time.monotonic()
        case.record.write(f"ack      {instance.name} has left")
        await asyncio.sleep(LEAVE_GAP_S)
    await asyncio.sleep(SERVE_S)
    stopped.set()
    await asyncio.gather(*consumers)
    broken = []
    for instance in instances[:LEAVE_COUNT]:
        for arrived_at, request_id in instance.arrivals:
            since_s = arrived_at - left[instance.name]
            if since_s > DRAIN_S + CLOCK_SLACK_S:
                broken.append(
                    f"DRAIN: {request_id} reached {instance.name} {since_s:.2f} s"
                    " after the ack that it had left"
                )
    return broken


harness.run(FOLDER, play)
