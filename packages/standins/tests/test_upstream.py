"""Tests of the stand-in upstream."""

import argparse
import asyncio
import contextlib
import json
import subprocess
import sys

import pytest
import tornado.httpclient
import tornado.testing

import sycamoreloft_standins
from sycamoreloft_standins import _grants, _upstream_state, upstream

GROUP = "sledworks/baleyard-north/0"
SECRETS = {"k1": "secret"}


def make_call(**changes):
    """Builds a grant call of partition 7 at clock reading 100."""
    fields = {
        "group": GROUP,
        "epoch": 3,
        "version": 1,
        "incarnation": "i",
        "clock_reading": 100.0,
        "lifetime_ms": 1000,
        "partitions": {"tally-board": {"7": 5}},
        "hot_keys": {},
    }
    return _grants.parse_grant_call({**fields, **changes})


def owns(registry, clock, fence=5, partition=7, key="heat-1"):
    """Returns whether the registry lets a request run."""
    return registry.may_run(GROUP, "tally-board", key, partition, fence, clock)


@pytest.fixture
def registry():
    """Returns a registry with a grant of partition 7 until reading 101."""
    grants = _grants.GrantRegistry("i", checks_fences=True)
    assert grants.accept(make_call(), 100.1)
    return grants


def test_grant_ends_by_the_upstreams_clock(registry):
    """Guards against a lifetime counted from the arrival of the grant."""
    assert owns(registry, 100.99)
    assert not owns(registry, 101.0)
    # A grant that was delayed until it expired is accepted but harmless.
    assert registry.accept(make_call(version=2), 200.0)
    assert not owns(registry, 200.0)


@pytest.mark.parametrize(
    "changes",
    [
        {"epoch": 2},
        {"version": 0},
        {"incarnation": "other"},
        {"clock_reading": None},
        {"clock_reading": 500.0},
        {"version": 2, "partitions": None},
    ],
)
def test_stale_or_unproven_grant_is_rejected(registry, changes):
    """Guards against accepting a grant of an old holder or an old run."""
    assert not registry.accept(make_call(**changes), 100.2)
    assert owns(registry, 100.5)


def test_rejected_call_still_fences_its_epoch(registry):
    """Guards against an old holder that renews after a new holder's call."""
    assert not registry.accept(make_call(epoch=9, incarnation=""), 100.2)
    assert registry.get_highest_epoch(GROUP) == 9
    assert not registry.accept(make_call(version=2), 100.3)


def test_renewal_keeps_content_and_release_removes_it(registry):
    """Guards against renewals that lose, or releases that keep, partitions."""
    assert registry.accept(
        make_call(clock_reading=100.2, partitions=None, hot_keys=None), 100.3
    )
    assert owns(registry, 101.1)
    assert registry.accept(make_call(version=2, partitions={}), 100.4)
    assert not owns(registry, 100.5)


def test_fence_and_hot_key_decide(registry):
    """Guards against a run under the fence of an earlier owner."""
    assert not owns(registry, 100.5, fence=4)
    hot = {"tally-board": {"heat-1": 9}}
    assert registry.accept(make_call(version=2, hot_keys=hot), 100.2)
    assert owns(registry, 100.5, fence=9, partition=200)
    assert not owns(registry, 100.5, fence=5)
    assert owns(registry, 100.5, fence=5, key="heat-2")


def test_upstream_without_fences_accepts_old_epochs():
    """Guards against fence checks although checks_fences is off."""
    registry = _grants.GrantRegistry("i", checks_fences=False)
    assert registry.accept(make_call(), 100.1)
    assert registry.accept(make_call(epoch=1, version=0), 100.2)
    assert owns(registry, 100.5, fence=99)


def test_spec_round_trip_and_errors():
    """Guards against drivers that set an option which does not exist."""
    spec = sycamoreloft_standins.UpstreamSpec(
        "a", 9000, 4, fleet="isuku", keyed=False, work_ms=1.5
    )
    text = sycamoreloft_standins.format_spec(spec)
    assert sycamoreloft_standins.parse_spec(text) == spec
    for wrong in ("a:b:4", "a:9000", "a:9000:4:nope=1", "a:9000:4:keyed=2"):
        with pytest.raises(argparse.ArgumentTypeError, match="option"):
            sycamoreloft_standins.parse_spec(wrong)


class UpstreamClient:
    """Sends grants like a holder and requests like a router."""

    def __init__(self, state, port):
        self.state = state
        self.port = port

    async def send(self, path="/heats", headers=None, **options):
        """Sends a request for partition 7 and returns the response.

        A broken connection or a timeout is returned as status 599.
        """
        headers = {
            "Sycamoreloft-Group": GROUP,
            "Sycamoreloft-Service": "tally-board",
            "Sycamoreloft-Key": "heat-1",
            "Sycamoreloft-Partition": "7",
            "Sycamoreloft-Fence": "5",
            "X-Standin-Request": "r1",
            "X-Standin-Caller": "c1",
            **(headers or {}),
        }
        client = tornado.httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=100
        )
        url = f"http://127.0.0.1:{self.port}{path}"
        try:
            return await client.fetch(
                url, headers=headers, raise_error=False, **options
            )
        except (OSError, tornado.httpclient.HTTPError) as error:
            request = tornado.httpclient.HTTPRequest(url)
            return tornado.httpclient.HTTPResponse(request, 599, error=error)

    async def post(self, path, body, headers=None):
        """Posts a JSON body."""
        return await self.send(
            path, headers, method="POST", body=json.dumps(body)
        )

    async def grant(self):
        """Grants partition 7 with two calls, as a new holder does."""
        call = {
            "group": GROUP,
            "epoch": 1,
            "version": 1,
            "incarnation": "",
            "clock_reading": None,
            "lifetime_ms": 1000,
            "partitions": {"tally-board": {"7": 5}},
            "hot_keys": {},
        }
        for _ in range(2):
            body = json.dumps(call)
            signature = sycamoreloft_standins.sign_body(
                "k1", "secret", body.encode()
            )
            response = await self.post(
                "/_sycamoreloft/grant",
                call,
                {"Sycamoreloft-Signature": signature},
            )
            answer = json.loads(response.body)
            call["incarnation"] = answer["incarnation"]
            call["clock_reading"] = answer["clock_reading"]
        assert answer["accepted"]
        return answer


def run_with_upstream(scenario, tmp_path, **options):
    """Runs a scenario against an upstream; returns the lines of its log."""
    path = tmp_path / "log"

    async def run():
        spec = sycamoreloft_standins.UpstreamSpec(
            "u", 0, 1, fleet="sledworks", queue=1, **options
        )
        state = _upstream_state.UpstreamState(
            spec, SECRETS, _upstream_state.RunLog(path)
        )
        bound, port = tornado.testing.bind_unused_port()
        server = upstream.start_server(state, [bound])
        try:
            await scenario(UpstreamClient(state, port))
        finally:
            server.stop()

    asyncio.run(run())
    return [json.loads(line) for line in path.read_text().splitlines()]


def test_request_runs_only_under_a_grant(tmp_path):
    """Guards against runs without ownership and a wrong echo."""

    async def scenario(client):
        refused = await client.send()
        assert refused.code == 421
        assert refused.headers["Sycamoreloft-Refused"] == "not-owner"
        await client.grant()
        body = b"x" * 100_000
        answer = await client.send(method="POST", body=body)
        echo = sycamoreloft_standins.make_echo(
            "r1", "c1", "sledworks", "tally-board", "heat-1"
        )
        assert sycamoreloft_standins.check_echo(answer.body, echo, body)
        assert not sycamoreloft_standins.check_echo(
            answer.body, {**echo, "request": "r2"}, body
        )

    lines = run_with_upstream(scenario, tmp_path)
    assert [line["kind"] for line in lines] == [
        "started",
        "refused",
        "grant",
        "start",
        "end",
    ]
    assert lines[3]["request"] == "r1"
    assert lines[2]["partitions"] == {"tally-board": {"7": 5}}


def test_wrong_signature_is_refused(tmp_path):
    """Guards against accepting grants from an unknown sender."""

    async def scenario(client):
        answer = await client.post("/_sycamoreloft/grant", {})
        assert answer.code == 403

    run_with_upstream(scenario, tmp_path)


def test_slots_queue_and_shedding(tmp_path):
    """Guards against a third request that neither runs nor is shed."""

    async def scenario(client):
        slow = {"X-Standin-Work-Ms": "100"}
        answers = await asyncio.gather(
            *(client.send(headers=slow) for _ in range(3))
        )
        assert sorted(answer.code for answer in answers) == [200, 200, 503]

    lines = run_with_upstream(scenario, tmp_path, keyed=False)
    kinds = [line["kind"] for line in lines if line["kind"] != "refused"]
    assert kinds == ["started", "start", "end", "start", "end"]


def test_cancellation_frees_the_slot(tmp_path):
    """Guards against a slot that stays in use after a cancelled request."""

    async def scenario(client):
        _, writer = await asyncio.open_connection("127.0.0.1", client.port)
        with contextlib.closing(writer):
            writer.write(
                b"GET /heats HTTP/1.1\r\nHost: u\r\n"
                b"X-Standin-Request: r1\r\nX-Standin-Work-Ms: 60000\r\n\r\n"
            )
            async with asyncio.timeout(5.0):
                while not client.state.slot_pool.running:
                    await asyncio.sleep(0.002)
        assert (await client.send()).code == 200

    lines = run_with_upstream(scenario, tmp_path, keyed=False)
    ends = [line["cancelled"] for line in lines if line["kind"] == "end"]
    assert ends == [True, False]


def test_streamed_answer_belongs_to_its_request(tmp_path):
    """Guards against equal streams for different requests."""

    async def scenario(client):
        answer = await client.send(headers={"X-Standin-Size": "200001"})
        assert len(answer.body) == 200_001
        digest = sycamoreloft_standins.hash_bytes(answer.body)
        check = sycamoreloft_standins.check_stream
        assert check("r1", "u", 200_001, digest)
        assert not check("r2", "u", 200_001, digest)

    run_with_upstream(scenario, tmp_path, keyed=False)


@pytest.mark.parametrize(
    ("fault", "runs"),
    [
        ("reset_before_share", 0),
        ("reset_after_share", 1),
        ("truncate_share", 1),
    ],
)
def test_broken_answers(tmp_path, fault, runs):
    """Guards against injected faults after which the answer is complete."""

    async def scenario(client):
        await client.post("/_standin/faults", {fault: 1.0})
        assert (await client.send()).code == 599

    lines = run_with_upstream(scenario, tmp_path, keyed=False)
    assert sum(line["kind"] == "start" for line in lines) == runs


def test_answer_sent_twice_reaches_the_next_reader(tmp_path):
    """Guards against a second answer that never reaches the connection."""

    async def scenario(client):
        await client.post("/_standin/faults", {"twice_share": 1.0})
        reader, writer = await asyncio.open_connection("127.0.0.1", client.port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        head = b"HTTP/1.1 200 OK"
        received = b""
        while received.count(head) < 2:
            received += await asyncio.wait_for(reader.read(4096), 5)
        writer.close()

    run_with_upstream(scenario, tmp_path, keyed=False)


def test_frozen_upstream_completes_requests_after_unfreezing(tmp_path):
    """Guards against requests that are answered or lost during a freeze."""

    async def scenario(client):
        await client.grant()
        client.state.freeze(60.0)
        pending = asyncio.create_task(client.send())
        await asyncio.sleep(0.05)
        assert not pending.done()
        client.state.unfreeze()
        answer = await pending
        assert answer.code == 200

    run_with_upstream(scenario, tmp_path)


def test_hints_lag_and_mislead(tmp_path):
    """Guards against hints that ignore the faults set for them."""

    async def scenario(client):
        await client.post("/_standin/faults", {"health": False, "load": 0.25})
        health = await client.send("/_sycamoreloft/health")
        load = await client.send("/_sycamoreloft/load")
        assert json.loads(health.body) == {"healthy": False}
        assert json.loads(load.body)["load"] == 0.25
        client.state.faults = sycamoreloft_standins.UpstreamFaults(
            hints_lag_s=60.0
        )
        client.state.slot_pool.running = 1
        assert client.state.observe_load().running == 0

    run_with_upstream(scenario, tmp_path)


def test_crash_request_ends_the_process(tmp_path):
    """Guards against a crash whose run is missing in the log."""
    log = tmp_path / "log"
    bound, port = tornado.testing.bind_unused_port()
    bound.close()
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "sycamoreloft_standins.upstream",
            f"--spec=u:{port}:1:keyed=0",
            f"--log={log}",
        ]
    )

    async def crash():
        for _ in range(1000):
            if log.exists() and log.read_text():
                break
            await asyncio.sleep(0.01)
        answer = await UpstreamClient(None, port).send(
            headers={"X-Standin-Crash": "1"}
        )
        assert answer.code == 599

    try:
        asyncio.run(crash())
        assert process.wait(10) == 86
    finally:
        process.kill()
        process.wait()
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    assert [line["kind"] for line in lines] == ["started", "start", "crashed"]
    assert lines[2]["run"] == lines[1]["run"]
