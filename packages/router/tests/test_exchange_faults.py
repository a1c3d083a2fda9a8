"""Tests of the request path with an upstream that has random faults."""

import asyncio
import collections
import random

import fake_sources
import pytest
import raw_peers

FAULTS = (
    *("none", "none", "none", "none", "no-echo", "partial", "partial-chunk"),
    *("doubled", "doubled-no-echo", "doubled-late", "late", "reset"),
    *("silent", "swapped", "refused"),
)


class FaultyUpstream:
    """Answers with the target of the request, and with a random fault."""

    def __init__(self, generator):
        self.generator = generator
        self.runs = collections.Counter()
        self.swaps = []

    async def __call__(self, request, writer, _reader):
        """Runs one request; called as the script of a raw upstream."""
        target = request.head.split(b" ")[1]
        self.runs[target] += 1
        attempt = request.get_header("Sycamoreloft-Attempt").encode()
        echo = b"Sycamoreloft-Attempt: %b\r\n" % attempt
        body = target + b"#" + b"x" * self.generator.choice([0, 1_000, 90_000])
        whole = raw_peers.answer(body, headers=echo)
        fault = self.generator.choice(FAULTS)
        if fault == "refused":
            self.runs[target] -= 1
            refusal = echo + b"Sycamoreloft-Refused: shed\r\n"
            writer.write(raw_peers.answer(b"", b"503 Busy", refusal))
        elif fault == "swapped":
            self.swap(writer, whole)
        elif fault == "reset":
            writer.transport.abort()
        else:
            await self.write_spoiled(fault, writer, whole, body)
        return fault not in ("partial", "partial-chunk", "reset", "silent")

    async def write_spoiled(self, fault, writer, whole, body):
        """Writes an answer, changed by the fault."""
        bare = raw_peers.answer(body)
        if fault == "late":
            await asyncio.sleep(0.25)
        data = {
            "no-echo": bare,
            "partial": whole[: self.generator.randrange(len(whole))],
            "partial-chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n%x\r\n%b\r\n" % (len(body), body),
            "doubled": whole + whole,
            "doubled-no-echo": whole + bare,
            "silent": b"",
        }.get(fault, whole)
        writer.write(data)
        await writer.drain()
        if fault == "doubled-late":
            await asyncio.sleep(self.generator.random() * 0.01)
            writer.write(self.generator.choice([whole, bare]))

    def swap(self, writer, whole):
        """Swaps the answers of two requests between their connections."""
        self.swaps.append((writer, whole))
        if len(self.swaps) == 2:
            (first, answer_1), (second, answer_2) = self.swaps
            first.write(answer_2)
            second.write(answer_1)
            self.swaps.clear()


def build_request(generator, target):
    """Builds a random request of one of four kinds."""
    kind = generator.choice(["GET", "DELETE", "upload", "wager"])
    headers = {"Sycamoreloft_Deadline_Ms": "200"}
    if kind == "upload":
        headers["Content_Length"] = "150000"
        return fake_sources.build_head("PUT", target, **headers), b"z" * 150_000
    if kind == "wager":
        headers |= {"Content_Length": "1", "Idempotency_Key": target}
        target = "/wager" + target
        return fake_sources.build_head("POST", target, **headers), b"1"
    return fake_sources.build_head(kind, target, **headers), b""


async def send_requests(harness, upstream, generator, name, counts):
    """Sends requests one after the other and checks their answers."""
    caller = await harness.connect()
    for number in range(40):
        head, body = build_request(generator, f"/{name}-{number}")
        target = head.split(b" ")[1]
        try:
            answer = await caller.send(head, body)
        except asyncio.IncompleteReadError:
            counts["cut"] += 1
            caller = await harness.connect()
            continue
        counts[answer.outcome] += 1
        if answer.outcome == "completed":
            assert answer.body.startswith(target + b"#")
        elif answer.outcome == "did-not-run":
            assert upstream.runs[target] == 0
        if not head.startswith((b"GET", b"PUT")):
            assert upstream.runs[target] <= 1
        if answer.get_header("Connection") == "close":
            caller = await harness.connect()


# With slow permits, some deadlines pass while a permit is requested.
@pytest.mark.parametrize(
    ("seed", "permit_delay_s"), [(1, 0.0), (2, 0.0), (1, 0.02)]
)
def test_answers_are_true_whatever_the_upstream_does(
    serve, seed, permit_delay_s
):
    """Guards against wrong answers, false did-not-run and repeated runs."""
    generator = random.Random(seed)
    script = FaultyUpstream(generator)
    counts = collections.Counter()

    async def scenario(harness, _upstream):
        sources = harness.sources
        sources.delay_s = permit_delay_s
        await asyncio.gather(
            *(
                send_requests(harness, script, generator, name, counts)
                for name in range(8)
            )
        )
        assert counts["completed"] > 50
        assert counts["unknown"] > 20
        ended = [item.permit for item in sources.returned]
        ended += sources.cancelled_permits
        requested = [item.permit for item in sources.requested]
        assert sorted(ended) == sorted(requested)
        assert len(sources.reported_results) == len(sources.claim_requests)
        assert harness.server.count_requests() == 0

    serve(scenario, script)
