"""In-process sources for the request path, and a raw caller."""

import asyncio
import contextlib

import raw_peers

import sycamoreloft_config
from sycamoreloft_router import _metrics, _permit_server
from sycamoreloft_wire import _messages


def build_generation(number=1, services=("tally-board", "ledger")):
    """One fleet with a keyed and an unkeyed service."""
    operation = sycamoreloft_config.Operation
    keyed = sycamoreloft_config.Service(
        "tally-board",
        keyed=True,
        partitions=8,
        deadline_ms=3_000,
        operations=(
            operation("POST", "/wager", at_most_once=True),
            operation("GET", "/", repeatable=True),
            operation("PUT", "/", repeatable=True),
        ),
    )
    unkeyed = sycamoreloft_config.Service(
        "ledger",
        keyed=False,
        deadline_ms=3_000,
        operations=(operation("GET", "/", repeatable=True),),
    )
    known = {service.name: service for service in (keyed, unkeyed)}
    fleet = sycamoreloft_config.Fleet(
        "sledworks",
        sycamoreloft_config.Weights(),
        3_900,
        600,
        {"north": sycamoreloft_config.FailureDomain("north")},
        {name: known[name] for name in services},
        {},
    )
    return sycamoreloft_config.Generation(number, {"sledworks": fleet})


class FakeSources:
    """All sources of the request path, answering at once.

    `refusals` and `verdicts` are used up first, one for each call.
    """

    def __init__(self, address=""):
        self.address = address
        self.addresses = []
        self.generation = build_generation()
        self.newer = None
        self.refusals = []
        self.verdicts = []
        self.valid_ms = 1_000
        self.delay_s = 0.0
        self.asked = []
        self.returned = []
        self.claims = []
        self.results = []
        #: What tells the request path that an upstream is lost, by permit.
        self.watched = {}
        self.near = ["sledworks/north/0"]
        self.far = ["sledworks/south/0"]

    def resolve_service(self, fleet, service):
        return sycamoreloft_config.resolve_service(
            self.generation, fleet, service
        )

    async def refresh_generation(self, known):
        if self.newer is not None:
            self.generation = self.newer

    def compute_partition_group(self, fleet, service, partition):
        return self.near[0] if self.near else None

    def list_near_groups(self, fleet, service):
        return self.near

    def list_far_groups(self, fleet, service):
        return self.far

    async def request_permit(self, request):
        self.asked.append(request)
        await asyncio.sleep(self.delay_s)
        if self.refusals:
            return _messages.PermitRefusal(
                request.permit, *self.refusals.pop(0)
            )
        address = self.addresses.pop(0) if self.addresses else self.address
        return _messages.PermitGrant(
            request.permit, "u1", address, 7, 42, self.valid_ms
        )

    def return_permit(self, returned):
        self.returned.append(returned)

    def watch_permit(self, group, permit, on_lost):
        self.watched[permit] = on_lost

    def lose_upstream(self):
        """Reports that the upstream of the latest permit is lost."""
        self.watched[self.asked[-1].permit]()

    async def request_claim(self, request):
        self.claims.append(request)
        if self.verdicts:
            verdict = self.verdicts.pop(0)
            if verdict == ("hang",):
                await asyncio.sleep(60)
            return _messages.ClaimAnswer(*verdict)
        return _messages.ClaimAnswer("claimed")

    def report_result(self, claim_result):
        self.results.append(claim_result)

    def check_settled(self):
        """Asserts that every permit given was returned exactly once."""
        returned = [item.permit for item in self.returned]
        assert len(set(returned)) == len(returned)
        asked = {item.permit for item in self.asked}
        assert set(returned) <= asked


class RawCaller:
    """A TCP connection to the caller server."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def ask(self, head, body=b"", method=None):
        """Sends a request and reads the answer."""
        self.writer.write(head + body)
        return await self.read(head.split(b" ")[0])

    async def read(self, method=b"GET"):
        """Reads an answer; raises IncompleteReadError if it is cut."""
        return await raw_peers.read_message(
            self.reader, has_body=method != b"HEAD"
        )

    def close(self):
        self.writer.close()


def build_head(
    method="GET", target="/x", service="tally-board", version="1.1", **headers
):
    """Builds the head of a request; `_` in names stands for `-`."""
    values = {
        "Sycamoreloft-Fleet": "sledworks",
        "Sycamoreloft-Service": service,
        "Sycamoreloft-Key": "heat-7",
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {target} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in values.items() if value]
    return "\r\n".join([*lines, "", ""]).encode()


#: Head of an operation that runs at most once; its body has one byte.
WAGER = build_head("POST", "/wager", Idempotency_Key="id-1", Content_Length="1")


def list_outcomes(bench):
    """Lists the outcomes of the permits that were returned."""
    return [item.outcome for item in bench.sources.returned]


class Bench:
    """A caller server between a raw upstream and raw callers."""

    def __init__(self, sources, server, address, metrics):
        self.sources = sources
        self.server = server
        self.address = address
        self.metrics = metrics
        self.callers = []

    async def connect(self):
        """Opens a connection to the server."""
        host, port = self.address.split(":")
        caller = RawCaller(*await asyncio.open_connection(host, int(port)))
        self.callers.append(caller)
        return caller

    async def ask(self, head=None, body=b""):
        """Sends one request on a connection of its own."""
        caller = await self.connect()
        return await caller.ask(head or build_head(), body)


@contextlib.asynccontextmanager
async def open_server(sources, limits=None, tls=None):
    """Opens a caller server; afterwards, all permits must be returned."""
    metrics = _metrics.Metrics()
    server = _permit_server.create_server(
        "host-1", "i1", sources, sources, sources, sources, limits, metrics
    )
    bench = Bench(sources, server, server.listen("127.0.0.1:0", tls), metrics)
    try:
        yield bench
    finally:
        for caller in bench.callers:
            caller.close()
        await server.drain(1.0)
        sources.check_settled()
