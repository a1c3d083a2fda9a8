"""Tests of the stand-in platform."""

import asyncio
import hashlib
import json

import pytest
import tornado.httpclient
import tornado.httpserver
import tornado.simple_httpclient
import tornado.testing

import sycamoreloft_standins
from sycamoreloft_standins import platform


async def call(port, method, path, body=None, headers=None):
    """Sends a request; returns status and body, 599 for a closed connection."""
    try:
        answer = await tornado.httpclient.AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{port}{path}",
            method=method,
            body=body
            if body is None or isinstance(body, bytes)
            else json.dumps(body),
            headers=headers,
            raise_error=False,
        )
    except tornado.simple_httpclient.HTTPStreamClosedError:
        return 599, b""
    return answer.code, answer.body


def run_with_platform(scenario):
    """Runs a scenario against a platform on a free port."""

    async def run():
        server = tornado.httpserver.HTTPServer(platform.make_application())
        bound, port = tornado.testing.bind_unused_port()
        server.add_socket(bound)
        try:
            await scenario(port)
        finally:
            server.stop()

    asyncio.run(run())


def test_transaction_is_all_or_nothing():
    """Guards against a put that takes effect although a condition failed."""
    table = sycamoreloft_standins.Table()
    table.transact("a", [("x", 0)], [("x", {"v": 1})], [])
    result = table.transact(
        "b", [("y", 0), ("x", 7)], [("y", {}), ("x", {"v": 2})], []
    )
    assert result == sycamoreloft_standins.Conflicted({"x": 1})
    assert table.read([], [""]) == {
        "x": sycamoreloft_standins.Row(1, {"v": 1}, "a")
    }


def test_version_is_not_reused_after_a_delete():
    """Guards against a condition that matches a re-created row."""
    table = sycamoreloft_standins.Table()
    table.transact("a", [], [("x", {})], [])
    table.transact("b", [], [], ["x"])
    assert table.get_version("x") == 0
    table.transact("c", [("x", 0)], [("x", {})], [])
    assert table.get_version("x") == 2


def test_lost_answer_took_effect_and_can_be_read_back():
    """Guards against a fault that loses the write with its answer."""

    async def scenario(port):
        await call(port, "POST", "/faults", {"lose_answers": 1.0})
        status, _ = await call(
            port,
            "POST",
            "/table/transact",
            {"request": "r1", "conditions": [], "puts": [["k", {"v": 1}]]},
        )
        assert status == 599
        _, body = await call(port, "POST", "/table/read", {"keys": ["k"]})
        row = json.loads(body)["rows"]["k"]
        assert row == {"version": 1, "value": {"v": 1}, "request": "r1"}

    run_with_platform(scenario)


def test_failed_writes_have_no_effect_on_the_table():
    """Guards against writes that take effect while the store is down."""

    async def scenario(port):
        write = {"request": "r", "puts": [["k", {}]]}
        await call(
            port, "POST", "/faults", {"down": True, "rejected_hosts": ["h1"]}
        )
        assert (await call(port, "POST", "/table/transact", write))[0] == 503
        await call(port, "POST", "/faults", {"down": False})
        name = {"Sycamoreloft-Host": "h1"}
        status, _ = await call(port, "POST", "/table/transact", write, name)
        assert status == 599
        _, body = await call(port, "POST", "/table/read", {"prefixes": [""]})
        assert json.loads(body)["rows"] == {}
        _, body = await call(port, "GET", "/stats")
        counters = json.loads(body)
        assert (counters["writes"], counters["failed"]) == (0, 2)

    run_with_platform(scenario)


def test_object_name_must_be_its_digest():
    """Guards against an object store that keeps a damaged file."""

    async def scenario(port):
        name = hashlib.sha256(b"text").hexdigest()
        wrong = await call(port, "PUT", f"/objects/{name}", b"other")
        assert wrong[0] == 400
        assert (await call(port, "GET", f"/objects/{name}"))[0] == 404
        await call(port, "PUT", f"/objects/{name}", b"text")
        assert await call(port, "GET", f"/objects/{name}") == (200, b"text")

    run_with_platform(scenario)


def test_host_list_lags():
    """Guards against a host list that ignores the configured lag."""
    state = platform.PlatformState()
    state.faults = sycamoreloft_standins.PlatformFaults(hosts_lag_s=5.0)
    state.set_hosts(["h1"], now=100.0)
    assert state.get_hosts(104.0) == []
    assert state.get_hosts(105.0) == ["h1"]


def test_unknown_fault_is_refused():
    """Guards against a misspelt fault that is silently ignored."""
    with pytest.raises(sycamoreloft_standins.UnknownFaultError, match="donw"):
        sycamoreloft_standins.change_faults(
            sycamoreloft_standins.PlatformFaults(), {"donw": True}
        )
