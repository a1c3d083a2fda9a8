"""Fakes of the holder and of the names for the request path; a raw caller."""

import asyncio
import contextlib

import raw_peers

import sycamoreloft_config
from sycamoreloft_router import _metrics, _permit_server
from sycamoreloft_wire import _messages


def build_generation(number=1, services=("tally-board", "ledger")):
    """Builds a generation: a fleet with a keyed and an unkeyed service."""
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
    """Fakes all sources of the request path in the process.

    A permit request gets the next entry of `refusals`, or a permit if there is
    none; a claim request gets the next entry of `verdicts`, or "claimed".

    Args:
        address: Address of the upstream for which permits are granted.
    """

    def __init__(self, address=""):
        self.address = address
        #: Addresses for the next permits, used before `address`.
        self.addresses = []
        self.generation = build_generation()
        #: Generation after the next refresh; None if there is no newer one.
        self.next_generation = None
        self.refusals = []
        self.verdicts = []
        #: Lifetime of the permits, in milliseconds.
        self.valid_ms = 1_000
        #: Time to answer a permit request, in seconds.
        self.delay_s = 0.0
        #: Permit requests that were received.
        self.requested = []
        #: Permits that were returned, with their outcome.
        self.returned = []
        #: Identifiers of permit requests that were cancelled before their
        #: answer. The source itself returns the permits of such requests.
        self.cancelled_permits = []
        self.claim_requests = []
        self.reported_results = []
        #: Callbacks for the loss of the upstream, by permit.
        self.loss_callbacks = {}
        self.near_groups = ["sledworks/north/0"]
        self.far_groups = ["sledworks/south/0"]

    def resolve_service(self, fleet, service):
        return sycamoreloft_config.resolve_service(
            self.generation, fleet, service
        )

    async def refresh_generation(self, known):
        if self.next_generation is not None:
            self.generation = self.next_generation

    def compute_partition_group(self, fleet, service, partition):
        return self.near_groups[0] if self.near_groups else None

    def list_near_groups(self, fleet, service):
        return self.near_groups

    def list_far_groups(self, fleet, service):
        return self.far_groups

    async def request_permit(self, request):
        self.requested.append(request)
        try:
            await asyncio.sleep(self.delay_s)
        except asyncio.CancelledError:
            self.cancelled_permits.append(request.permit)
            raise
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
        self.loss_callbacks[permit] = on_lost

    def lose_upstream(self):
        """Reports that the upstream of the latest permit is lost."""
        self.loss_callbacks[self.requested[-1].permit]()

    async def request_claim(self, request):
        self.claim_requests.append(request)
        if self.verdicts:
            verdict = self.verdicts.pop(0)
            if verdict == ("hang",):
                await asyncio.sleep(60)
            return _messages.ClaimAnswer(*verdict)
        return _messages.ClaimAnswer("claimed")

    def report_result(self, claim_result):
        self.reported_results.append(claim_result)

    def check_settled(self):
        """Asserts that no permit was returned twice, or without a request."""
        returned = [item.permit for item in self.returned]
        assert len(set(returned)) == len(returned)
        requested = {item.permit for item in self.requested}
        assert set(returned) <= requested


class RawCaller:
    """A TCP connection to the caller server."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, head, body=b"", method=None):
        """Sends a request and returns its answer."""
        self.writer.write(head + body)
        return await self.read(head.split(b" ")[0])

    async def read(self, method=b"GET"):
        """Reads an answer; raises IncompleteReadError if it is truncated."""
        return await raw_peers.read_message(
            self.reader, has_body=method != b"HEAD"
        )

    def close(self):
        self.writer.close()


def build_head(
    method="GET", target="/x", service="tally-board", version="1.1", **headers
):
    """Builds the head of a request; `_` in header names is replaced by `-`."""
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


def list_outcomes(harness):
    """Lists the outcomes of the returned permits."""
    return [item.outcome for item in harness.sources.returned]


class ServerHarness:
    """A caller server with fake sources, and raw callers of it."""

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

    async def send(self, head=None, body=b""):
        """Sends one request on a new connection and returns its answer."""
        caller = await self.connect()
        return await caller.send(head or build_head(), body)


@contextlib.asynccontextmanager
async def open_server(sources, limits=None, tls=None):
    """Opens a caller server; at the end, drains it and checks the permits."""
    metrics = _metrics.Metrics()
    server = _permit_server.create_server(
        "host-1", "i1", sources, sources, sources, sources, limits, metrics
    )
    harness = ServerHarness(
        sources, server, server.listen("127.0.0.1:0", tls), metrics
    )
    try:
        yield harness
    finally:
        for caller in harness.callers:
            caller.close()
        await server.drain(1.0)
        sources.check_settled()
