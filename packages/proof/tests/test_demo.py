"""Tests of the drivers' parts by themselves, without routers."""

import asyncio
import dataclasses
import io
import tomllib
import types

import pytest
from tornado import httputil
import tornado.httpclient
import tornado.httpserver
import tornado.testing
import tornado.web

import sycamoreloft_config
import sycamoreloft_proof as proof
from sycamoreloft_proof import (
    _callers,
    _deployment,
    _fleets,
    _history,
    _processes,
    _summary,
    demo,
    soak,
)
import sycamoreloft_standins

PORTS = range(20_000, 21_000)
READ = _fleets.OperationPlan("GET", "/x", repeatable=True)


def make_call(**changes):
    """Builds a call of a key of sledworks."""
    call = _callers.Call("sledworks", "tally-board", READ, "h1", "c1", "")
    return dataclasses.replace(call, **changes)


@pytest.mark.parametrize("fleet", _fleets.FLEETS, ids=lambda item: item.name)
def test_fleet_files_are_accepted_by_the_reader(fleet):
    """Guards against a demo that submits files with errors."""
    upstreams = _fleets.plan_upstreams(_fleets.FLEETS, PORTS)
    leaving = upstreams[0].identity
    text = _fleets.write_fleet_file(fleet, upstreams, frozenset({leaving}))
    parsed = sycamoreloft_config.parse_file(text, "f.toml").unwrap()
    own = [item for item in upstreams if item.fleet == fleet]
    assert len(parsed.upstreams) == len(own)
    assert parsed.upstreams[own[0].name].leaving == (
        fleet is own[0].fleet and own[0].identity == leaving
    )
    assert parsed.services[_fleets.SHARED_SERVICE].keyed


def test_fleets_share_a_service_name_and_its_keys():
    """Guards against a demo that shows no names with two meanings."""
    prefixes = {
        service.key_prefix
        for fleet in _fleets.FLEETS
        for service in fleet.services
        if service.name == _fleets.SHARED_SERVICE
    }
    assert len(prefixes) == 1
    identities = [
        item.identity for item in _fleets.plan_upstreams(_fleets.FLEETS, PORTS)
    ]
    assert len(set(identities)) == len(identities)


def test_router_settings_are_accepted_by_the_reader(tmp_path):
    """Guards against routers that do not start because of the driver."""
    with _processes.ProcessGroup(tmp_path) as group:
        system = _deployment.Deployment(tmp_path, group, _fleets.FLEETS, 7, 1)
        paths = [system.write_settings(host) for host in system.hosts]
    settings = [
        sycamoreloft_config.load_settings(str(path), {}).unwrap()
        for path in paths
    ]
    assert len({item.peer_address for item in settings}) == 7
    for fleet in _fleets.FLEETS:
        domains = [item.failure_domains[fleet.name] for item in settings]
        assert set(domains) == set(fleet.domains)
        # The demo stops the first host and kills the second; each domain
        # keeps another one.
        assert domains[2:].count(domains[0]) >= 1
        assert domains[2:].count(domains[1]) >= 1


def test_stand_ins_of_a_deployment_start_and_end(tmp_path, monkeypatch):
    """Guards against upstreams that do not know the routers' grant key."""
    monkeypatch.setattr(
        _deployment.Deployment, "start_router", lambda self, host: None
    )

    async def run(system):
        await system.start()
        upstream = system.upstreams[0].identity
        system.kill_upstream(upstream)
        await system.restart(system.find_process(upstream).name)
        await system.read_assignments()

    with _processes.ProcessGroup(tmp_path) as group:
        system = _deployment.Deployment(tmp_path, group, _fleets.FLEETS, 2, 1)
        asyncio.run(run(system))
        children = list(system.children.values())
    assert all(not child.running for child in children)
    started = [
        event.upstream
        for event in system.read_run_logs()
        if isinstance(event, _history.UpstreamStarted)
    ]
    assert len(started) == len(system.upstreams) + 1
    assert [type(event) for event in system.events] == [
        _history.UpstreamEnded,
        _history.AssignmentsRead,
    ]


class AnswerHandler(tornado.web.RequestHandler):
    """Answers as a router does, rightly or wrongly."""

    def initialize(self, kind):
        self.kind = kind

    async def get(self):
        headers = self.request.headers
        echo = make_echo(headers, self.kind)
        self.set_header("Sycamoreloft-Outcome", "completed")
        if self.kind == "did-not-run":
            self.set_header("Sycamoreloft-Outcome", "did-not-run")
            self.set_header("Sycamoreloft-Reason", "overloaded")
            self.set_status(503)
        elif self.kind == "cut":
            self.write(echo)
            await self.flush()
            self.request.connection.stream.close()
            return
        self.finish(echo)


def make_echo(headers, kind):
    """Builds the echo of a request, of another one if so asked."""
    request = headers["X-Standin-Request"]
    return {
        "request": "other" if kind == "wrong" else request,
        "caller": headers["X-Standin-Caller"],
        "fleet": headers["Sycamoreloft-Fleet"],
        "service": headers["Sycamoreloft-Service"],
        "key": headers["Sycamoreloft-Key"],
        "received": 0,
        "digest": sycamoreloft_standins.hash_bytes(b""),
    }


@pytest.mark.parametrize(
    ("kind", "ending", "outcome", "matches"),
    [
        ("right", "whole", "completed", True),
        ("wrong", "whole", "completed", False),
        ("did-not-run", "whole", "did-not-run", False),
        ("cut", "cut", "unknown", False),
        ("refused", "not-connected", "did-not-run", False),
    ],
)
def test_caller_records_what_it_was_told(kind, ending, outcome, matches):
    """Guards against callers that take a cut or foreign answer for theirs."""
    history = []

    async def run():
        bound, port = tornado.testing.bind_unused_port()
        server = tornado.httpserver.HTTPServer(
            tornado.web.Application(
                [("/.*", AnswerHandler, {"kind": kind})],
                log_function=lambda handler: None,
            )
        )
        if kind == "refused":
            bound.close()
        else:
            server.add_socket(bound)
        router = _callers.Router("r", f"127.0.0.1:{port}")
        await _callers.Sender(history).send(make_call(), router)
        server.stop()

    asyncio.run(run())
    sent, answer = history
    assert sent.request == answer.request
    assert (answer.ending, answer.outcome) == (ending, outcome)
    assert answer.echo_matches == matches


class ScriptedSender:
    """Answers each sending with the next outcome."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.calls = []

    async def send(self, call, router):
        self.calls.append(call)
        outcome = _history.Outcome(self.outcomes.pop(0))
        return _history.AnswerReceived(
            0.0, "r", _history.Ending.WHOLE, outcome, 0, "", False, False
        )


@pytest.mark.parametrize(
    ("operation", "outcomes", "sendings"),
    [
        (READ, ["unknown", "completed"], 2),
        (_fleets.OperationPlan("POST", "/x"), ["unknown", "completed"], 1),
        (
            _fleets.OperationPlan("POST", "/x", at_most_once=True),
            ["unknown", "did-not-run", "completed"],
            3,
        ),
        (READ, ["did-not-run"] * 9, 4),
    ],
)
def test_callers_send_again(operation, outcomes, sendings, monkeypatch):
    """Guards against callers that repeat what they must not, or never do."""
    monkeypatch.setattr(_callers, "_PAUSE_BEFORE_RESEND_S", 0.0)
    sender = ScriptedSender(*outcomes)
    balancer = _callers.Balancer(1)
    balancer.set_ready([_callers.Router("r", "127.0.0.1:1")])
    traffic = _callers.Traffic(_fleets.SLEDWORKS, sender, balancer, 1)
    call = make_call(operation=operation, idempotency_key="id")
    asyncio.run(traffic.finish_call(call))
    assert sender.calls == [call] * sendings


def test_traffic_uses_every_operation_and_the_hot_key():
    """Guards against traffic that leaves a kind of operation out."""
    traffic = _callers.Traffic(
        _fleets.SLEDWORKS, None, _callers.Balancer(1), 1, hot_share=0.5
    )
    calls = [traffic.choose_call("c") for _ in range(1000)]
    operations = {(call.service, call.operation.path) for call in calls}
    assert len(operations) == sum(
        len(service.operations) for service in _fleets.SLEDWORKS.services
    )
    hot = _fleets.HOT_KEYS["sledworks"]
    assert sum(call.key == hot for call in calls) > 100
    ids = [call.idempotency_key for call in calls if call.idempotency_key]
    assert len(set(ids)) == len(ids) > 100


@pytest.mark.parametrize(("sendings", "expected"), [(1, True), (2, False)])
def test_only_a_repeated_operation_may_lack_its_echo(sendings, expected):
    """Guards against a wrong answer that passes as a repetition."""
    history = []
    sender = _callers.Sender(history)
    operation = _fleets.OperationPlan("POST", "/x", at_most_once=True)
    call = make_call(operation=operation, idempotency_key="op-1")
    headers = {
        "Sycamoreloft-Outcome": "completed",
        "Sycamoreloft-Reason": "repeated",
    }

    async def run():
        async def fetch(url, **options):
            return tornado.httpclient.HTTPResponse(
                tornado.httpclient.HTTPRequest(url),
                200,
                headers=httputil.HTTPHeaders(headers),
                buffer=io.BytesIO(b"{}"),
            )

        sender._client.fetch = fetch
        for _ in range(sendings):
            await sender.send(call, _callers.Router("r", "127.0.0.1:1"))

    asyncio.run(run())
    assert history[-1].echo_expected == expected
    assert not history[-1].echo_matches


def test_failed_demo_is_shown_as_failed(capsys):
    """Guards against a demo that prints success over a violation."""
    answer = _history.AnswerReceived(
        1.0,
        "r1",
        _history.Ending.WHOLE,
        _history.Outcome.COMPLETED,
        200,
        "",
        True,
        False,
    )
    shown = demo.Demo.__new__(demo.Demo)
    shown.recoveries = {"upstream crash": 1.25}
    assert not demo.print_result(shown, [answer], "")
    printed = capsys.readouterr().out
    assert "own-whole-answer" in printed
    assert "1.25 s" in printed
    assert not demo.print_result(shown, [], "the hot key did not move")
    assert demo.print_result(shown, [], "")


def test_summary_counts_violations_by_kind():
    """Guards against a table that shows zero for what was reported."""
    violation = proof.Violation(proof.Condition.SLOTS, 1.0, "")
    summary = _summary.summarize([], [violation, violation])
    assert summary.slots_exceeded == 2
    assert summary.wrong_answers == 0


def test_many_violations_do_not_hide_another_kind():
    """Guards against a report that one fault fills."""
    slots = [
        proof.Violation(proof.Condition.SLOTS, 1.0, f"s{n}") for n in range(100)
    ]
    other = proof.Violation(proof.Condition.ONE_OWNER, 2.0, "owners")
    text = _summary.describe_violations([*slots, other], examples=2)
    assert text.splitlines() == [
        "violated 100 times: slots",
        "  s0",
        "  s1",
        "violated 1 times: one-owner",
        "  owners",
    ]


def test_documents_are_toml():
    """Guards against values that TOML reads differently."""
    document = {"a": 'x"y', "b": [{"c": True, "d": [1, 2.5]}]}
    assert tomllib.loads(_fleets.write_document(document)) == document


class RecordingDeployment:
    """Records what the soak does to processes and to the platform."""

    def __init__(self):
        self.upstreams = _fleets.plan_upstreams(_fleets.FLEETS, PORTS)
        self.hosts = [
            _deployment.Host(
                _callers.Router(f"h{number}", "127.0.0.1:1"), "", "", number
            )
            for number in range(3)
        ]
        self.children = {
            host.router.name: self.make_child(host.router.name)
            for host in self.hosts
        }
        self.by_upstream = {
            item.identity: self.make_child(item.identity)
            for item in self.upstreams
        }
        self.balancer = _callers.Balancer(1)
        self.balancer.set_ready(host.router for host in self.hosts)
        self.platform_faults = {}
        self.upstream_faults = {}

    def make_child(self, name):
        child = types.SimpleNamespace(name=name, running=True, frozen=False)

        def change(field, value):
            return lambda: setattr(child, field, value)

        child.kill = change("running", False)
        child.freeze = change("frozen", True)
        child.resume = change("frozen", False)
        return child

    def find_process(self, upstream):
        return self.by_upstream[upstream]

    def kill_upstream(self, upstream):
        self.by_upstream[upstream].kill()

    async def restart(self, name):
        {**self.children, **self.by_upstream}[name].running = True

    async def read_ready(self, host):
        return self.children[host.router.name].running

    async def stop_router(self, host, timeout_s):
        self.children[host.router.name].kill()

    async def set_upstream_faults(self, upstream, **faults):
        self.upstream_faults.setdefault(upstream, {}).update(faults)

    async def set_platform_faults(self, **faults):
        self.platform_faults.update(faults)


def test_soak_makes_every_fault_and_undoes_it(monkeypatch):
    """Guards against a fault that stays, or a kind that never comes up."""
    monkeypatch.setattr(soak, "_FAULT_PERIOD_S", 0.0)
    system = RecordingDeployment()
    crashes = []

    class Sender:
        async def send(self, call, router):
            crashes.append(call)
            owner = next(
                item.identity
                for item in system.upstreams
                if item.service.name == call.service
            )
            system.kill_upstream(owner)

    async def run():
        maker = soak.FaultMaker(system, Sender(), 1)

        async def skip(shortest_s, longest_s):
            await asyncio.sleep(0)

        monkeypatch.setattr(maker, "_pause", skip)
        stopping = asyncio.Event()
        running = asyncio.create_task(maker.run(stopping))
        while sum(maker.made.values()) < 60:
            await asyncio.sleep(0)
        stopping.set()
        await running
        return maker.made

    made = asyncio.run(run())
    assert len(made) == 9
    assert [call.headers for call in crashes[:2]] == [
        {"X-Standin-Crash": "1"}
    ] * 2
    for child in (*system.children.values(), *system.by_upstream.values()):
        assert child.running
        assert not child.frozen
    for faults in (system.platform_faults, *system.upstream_faults.values()):
        assert not any(faults.values())


@pytest.mark.parametrize(
    ("crashes", "passed"), [(0, True), (2, True), (3, False)]
)
def test_crash_request_that_is_not_quarantined_fails_the_soak(crashes, passed):
    """Guards against a soak that counts crashes of one request together."""
    runs = [
        _history.RunStarted(
            float(number),
            0.0,
            "isuku/a",
            f"{key}{number}",
            f"soak-crash-{number}",
            "",
            "isuku/mat-status",
            key,
            1,
            1,
        )
        for key, times in (("k1", crashes), ("k2", min(crashes, 1)))
        for number in range(times)
    ]
    most = soak.count_most_crashes(runs)
    assert most == crashes
    summary = _summary.summarize([], [])
    assert soak.SoakResult(summary, {}, [], 1.0, most).passed == passed
    violation = proof.Violation(proof.Condition.SLOTS, 1.0, "")
    assert not soak.SoakResult(summary, {}, [violation], 1.0, 0).passed
