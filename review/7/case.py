"""A store that loses the answers to calls for changes, at one moment."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import harness  # noqa: E402

SERVICES = {"alpha": False, "beta": False}
HOST = "race.example"

#: Seconds for which the store loses answers; the site file plays 4.5 s.
LOSS_S = 4.5

#: Share of the answers of the store in that time that may be lost at most; the
#: site file plays 0.35.
MAXIMUM_SHARE = 0.35

#: Seconds after which calm machines are in touch again (`stableWindowS`), and
#: after which a change must be in force (`configS`).
STABLE_WINDOW_S = harness.BOUNDS["stableWindowS"]
CONFIG_S = harness.BOUNDS["configS"]

#: Seconds for which requests are sent after that.
WATCH_S = 6.0


def build_state(version, service):
    return harness.build_state(
        version, [(HOST, "/standings/", "idempotent", {"service": service})], SERVICES
    )


async def play(case):
    case.open_store()
    store = case.store
    store.put_json("op", "config", build_state(1, "alpha"))
    for name, service in (
        ("i-a1", "alpha"),
        ("i-a2", "alpha"),
        ("i-b1", "beta"),
        ("i-b2", "beta"),
    ):
        await case.add_instance(name, service)
    for number in range(3):
        case.add_host(f"edge-{number + 1}")
    await case.wait_ready()
    await asyncio.sleep(5.0)
    for host in case.hosts:
        answer = await case.send(host, "GET", HOST, "/standings/1")
        if answer.status != 200 or not answer.body.startswith(b"i-a"):
            raise RuntimeError("the quiet deployment does not serve")

    lost = []

    def loses_feed(handler, fields):
        if not fields["rows"] or handler.get_query_argument("table") != "op":
            return False
        lost.append(handler)
        case.record.write(f"lost     answer to rows-feed of op, {len(lost)}")
        return True

    calls_before = sum(store.calls.values())
    began_at = case.record.now()
    if harness.TROUBLE:
        store.loses_feed = loses_feed
    store.put_json("op", "config", build_state(2, "beta"))
    acked_at = case.record.now()
    case.record.write("ack      version 2: /standings/ goes to beta instead of alpha")
    await asyncio.sleep(LOSS_S)
    store.loses_feed = lambda handler, fields: False
    calls = sum(store.calls.values()) - calls_before
    # The calls for changes that were answered or lost began before.
    answered = calls + len(lost)
    share = len(lost) / max(1, answered)
    case.record.write(
        f"end      of the loss after {case.record.now() - began_at:.1f} s:"
        f" {len(lost)} of {answered} answers lost, share {share:.2f}"
    )
    if share > MAXIMUM_SHARE:
        raise RuntimeError("more answers were lost than the pages allow")
    await asyncio.sleep(STABLE_WINDOW_S + 0.5)
    broken = []
    ends_at = case.record.now() + WATCH_S
    while case.record.now() < ends_at:
        for host in case.hosts:
            sent_at = case.record.now()
            answer = await case.send(host, "GET", HOST, "/standings/1")
            if answer.body.startswith(b"i-a"):
                broken.append(
                    f"CONFIG: {host.name} sent {answer.request_id} to"
                    f" {answer.body[:4].decode()} of alpha,"
                    f" {sent_at - acked_at:.1f} s after the ack of version 2,"
                    f" {sent_at - began_at - LOSS_S:.1f} s after the loss"
                )
        await asyncio.sleep(0.5)
    return broken


harness.run(FOLDER, play)
