"""An instance runs requests, fails some of them with 503, and says no more."""

import asyncio
import collections
import contextlib
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import lab as lab_module  # noqa: E402

INSTANCES = 3

#: Share of its requests that one instance fails, and for how long, in seconds:
#: the dose of `srv_grey` in the site file.
FAILED_SHARE = 0.45
GREY_S = 6.5

WORK_S = 0.05
ENTRIES = 120
INTERVAL_S = 0.05
BUDGET_MS = 2_500

#: Statuses that promise that a request has not run, after which consumers send
#: it again, and how often they do.
PROMISES = (408, 421, 429, 503)
RETRIES = 2


class Ledger:
    """The instances of the service, and what they have run."""

    def __init__(self, lab):
        self._lab = lab
        self._generator = random.Random(1)
        #: Until when the first instance fails requests, in seconds.
        self.grey_until = 0.0
        #: Identifiers of the attempts that ran.
        self.ran = set()
        #: Number of runs by entry.
        self.runs = collections.Counter()

    async def answer(self, instance, head, body, writer):
        """Runs a request, and answers 200, or 503 without `Not-Executed`."""
        request_id = head.values["request-id"]
        await asyncio.sleep(WORK_S)
        self.ran.add(request_id)
        self.runs[body.decode()] += 1
        is_grey = (
            instance.name == "i-ledger-0"
            and time.monotonic() < self.grey_until
            and self._generator.random() < FAILED_SHARE
        )
        status = "503 Service Unavailable" if is_grey else "200 OK"
        self._lab.record.write(
            "ran", id=request_id, instance=instance.name, answer=status
        )
        instance.send(
            writer,
            head,
            status,
            b"the receipt could not be written" if is_grey else b"done",
            [f"Response-Signature: {instance.name}.{request_id}"],
        )


async def attempt(lab, host, entry, budget_ms):
    """Sends an attempt; returns its identifier, status and Retry-After."""
    request_id = lab.create_id()
    reader, writer = await asyncio.open_connection(host.ip, host.front)
    with contextlib.closing(writer):
        writer.write(
            lab.build_request(
                request_id, "POST", "/enter/1", budget_ms, entry.encode()
            )
        )
        lab.record.write("sent", id=request_id, entry=entry)
        async with asyncio.timeout(budget_ms / 1000):
            head = lab_module.Head((await reader.readuntil(b"\r\n\r\n"))[:-4])
        status = int(head.start.split(" ")[1])
        lab.record.write(
            "answered",
            id=request_id,
            status=status,
            not_executed=head.values.get("not-executed", "no header"),
        )
        return request_id, status, float(head.values.get("retry-after", 0.2))


async def enter(lab, host, entry, promised):
    """Sends an entry, and again after a promise that it has not run."""
    ends_at = time.monotonic() + BUDGET_MS / 1000
    for _ in range(1 + RETRIES):
        left_ms = round((ends_at - time.monotonic()) * 1000)
        if left_ms <= 0:
            return
        try:
            request_id, status, wait_s = await attempt(
                lab, host, entry, left_ms
            )
        except (OSError, EOFError, TimeoutError):
            return
        if status not in PROMISES:
            return
        promised[request_id] = status
        await asyncio.sleep(min(wait_s, left_ms / 3000))


async def scenario(lab, is_disrupted):
    """Sends entries while an instance is grey; returns the false promises."""
    lab.store.put_json(
        "op",
        "config",
        lab_module.build_state(
            1,
            [lab_module.build_route("/enter/", "non_idempotent", "ledger")],
            ["ledger", "keyed"],
        ),
    )
    ledger = Ledger(lab)
    for number in range(INSTANCES):
        await lab.add_instance(f"i-ledger-{number}", "ledger", ledger.answer)
    await lab.add_instance("i-keyed-1", "keyed")
    await lab.start_hosts(1)
    (host,) = lab.hosts
    await asyncio.sleep(1.0)
    if is_disrupted:
        ledger.grey_until = time.monotonic() + GREY_S
        lab.record.write("srv-grey", instance="i-ledger-0", for_s=GREY_S)
    promised = {}
    async with asyncio.TaskGroup() as group:
        for number in range(ENTRIES):
            group.create_task(enter(lab, host, f"team-{number}", promised))
            await asyncio.sleep(INTERVAL_S)
    doubled = [entry for entry, count in ledger.runs.items() if count > 1]
    lab.record.write("summary", promised=len(promised), doubled=len(doubled))
    return [
        f"{request_id} was answered {status} and has run"
        for request_id, status in promised.items()
        if request_id in ledger.ran
    ]


lab_module.run_case(FOLDER, scenario)
