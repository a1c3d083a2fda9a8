"""Requests explained from log lines."""

import json

import pytest
from typer import testing

from sycamoreloft_ctl import _log_lines, _request_causes, _request_story, main

CAUSE = _request_causes.Cause
BASE_S = 1_780_000_000.0


def build(event, at=0.0, host="h1", **fields):
    return _log_lines.LogLine(host, BASE_S + at, event, {**fields})


def refuse(reason, at=0.0, **fields):
    values = {
        "request": "r1",
        "reason": reason,
        "service": "boards",
        "key": 7,
        "tried": ["u1"],
    }
    return build("request-refused", at, **(values | fields))


def attempt(result, at=-0.1, **fields):
    values = {
        "request": "r1",
        "upstream": "u1",
        "result": result,
        "status": 0,
        "detail": "",
        "key": 7,
    }
    return build("attempt-failed", at, **(values | fields))


def others(count, key=7):
    return [
        refuse("owner-full", 0.1 * number, request=f"o{number}", key=key)
        for number in range(count)
    ]


GONE = build("upstream-gone", 1.0, upstream="u1")
FAILED_GRANT = build(
    "grant-failed", -2.0, "h2", service="boards", first=0, last=9, upstream="u1"
)
TAKEOVER = build("coordinator-began", -1.0, "h2", epoch=2)


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        ([], CAUSE.NOT_FOUND),
        ([refuse("caller-gone")], CAUSE.CALLER_LEFT),
        ([refuse("no-upstream")], CAUSE.NO_UPSTREAM),
        ([refuse("quarantined")], CAUSE.QUARANTINED),
        ([refuse("owner-replaced")], CAUSE.ADDRESS_REUSED),
        ([refuse("no-owner")], CAUSE.KEY_MOVED),
        ([TAKEOVER, refuse("no-owner")], CAUSE.COORDINATOR_CHANGED),
        (
            [build("coordinator-began", -9.0, "h2"), refuse("no-owner")],
            CAUSE.KEY_MOVED,
        ),
        ([FAILED_GRANT, refuse("no-owner")], CAUSE.OWNER_UNREACHABLE),
        ([FAILED_GRANT, refuse("no-owner"), GONE], CAUSE.UPSTREAM_LOST),
        ([refuse("no-owner", key=50), GONE], CAUSE.UPSTREAM_LOST),
        ([refuse("owner-full")], CAUSE.OWNER_FULL),
        ([refuse("owner-full"), *others(5)], CAUSE.HOT_KEY),
        ([refuse("owner-full"), *others(9, key=8)], CAUSE.OWNER_FULL),
        ([refuse("deadline")], CAUSE.UPSTREAM_SILENT),
        ([refuse("deadline", key=-1), GONE], CAUSE.UPSTREAM_LOST),
        ([refuse("upstream-refused-503", key=-1)], CAUSE.SERVICE_FULL),
        ([refuse("upstream-refused-503")], CAUSE.OWNER_FULL),
        ([attempt("failed", status=500)], CAUSE.UPSTREAM_FAILED),
        (
            [
                attempt("broken", detail="Recv failure: Connection reset"),
                refuse("broken-answer"),
            ],
            CAUSE.CONNECTION_BROKE,
        ),
        (
            [
                attempt("broken", status=200, detail="no length"),
                refuse("broken-answer"),
            ],
            CAUSE.ANSWER_SPOILED,
        ),
        (
            [attempt("broken", detail="Recv"), refuse("broken-answer"), GONE],
            CAUSE.UPSTREAM_LOST,
        ),
        (
            [attempt("unreachable"), refuse("connect-failed")],
            CAUSE.UPSTREAM_LOST,
        ),
        (
            [build("request-rejected", request="r1", reason="no-route")],
            CAUSE.BAD_REQUEST,
        ),
        (
            [
                build(
                    "request-rejected", request="r1", reason="no-desired-state"
                )
            ],
            CAUSE.NO_STATE,
        ),
        ([build("request-late", request="r1", elapsed_s=2.0)], CAUSE.LATE),
        ([build("request-served", request="r1")], CAUSE.SERVED),
    ],
)
def test_each_failure_has_its_cause(lines, cause):
    ordered = sorted(lines, key=lambda line: line.time_s)
    assert _request_story.tell("r1", ordered).cause is cause


def test_the_story_holds_what_happened_to_the_key_and_the_upstreams():
    lines = [
        build("upstream-gone", -1.0, upstream="u9"),
        build("grant-failed", -1.0, "h2", service="boards", first=8, last=9),
        FAILED_GRANT,
        build("owner-changed", -0.5, "h2", service="boards", first=0, last=9),
        build("epoch-followed", -0.4, "h1"),
        build("epoch-followed", -0.4, "h3"),
        attempt("refused", status=421),
        refuse("no-owner"),
        GONE,
        build("upstream-gone", 1.0, "h3", upstream="u1"),
        build("store-lost", 1.5, "h3"),
        build("store-lost", 1.5, "h1"),
        build("host-started", 90.0),
    ]
    lines.sort(key=lambda line: line.time_s)
    story = _request_story.tell("r1", lines)
    assert [line.event for line in story.own] == [
        "attempt-failed",
        "request-refused",
    ]
    assert [(line.event, line.host) for line in story.around] == [
        ("grant-failed", "h2"),
        ("owner-changed", "h2"),
        ("epoch-followed", "h1"),
        ("upstream-gone", "h1"),
        ("store-lost", "h1"),
    ]


def write_log(path, lines, prefix=""):
    path.write_text(
        "".join(
            prefix
            + json.dumps(
                {
                    "time": "2026-06-11T10:33:01.430+00:00",
                    "event": line.event,
                    **line.fields,
                }
            )
            + "\n"
            for line in lines
        )
    )


def test_lines_of_several_hosts_are_read_with_or_without_a_prefix(tmp_path):
    write_log(tmp_path / "edge-1.log", [attempt("refused", status=421)])
    write_log(
        tmp_path / "all.log", [refuse("no-owner")], prefix="  0.4303 edge-2 "
    )
    with (tmp_path / "all.log").open("a") as file:
        file.write("not an event\n{broken\n[]\n\n")
    files = _log_lines.read_files(
        [tmp_path / "edge-1.log", tmp_path / "all.log"]
    )
    assert [line.host for line in files.lines] == ["edge-1", "edge-2"]
    assert files.unreadable == 3


def test_the_command_prints_the_chain_and_the_cause(tmp_path):
    write_log(
        tmp_path / "edge-1.log",
        [attempt("refused", status=421), refuse("no-owner")],
    )
    path = str(tmp_path / "edge-1.log")
    runner = testing.CliRunner()
    shown = runner.invoke(main.application, ["explain-request", "r1", path])
    assert shown.exit_code == 0
    assert "cause: key-moved" in shown.stdout
    printed = runner.invoke(
        main.application, ["explain-request", "--json", "r1", path]
    )
    story = json.loads(printed.stdout)
    assert story["cause"] == "key-moved"
    assert [line["event"] for line in story["lines"]] == [
        "attempt-failed",
        "request-refused",
    ]


def test_an_unknown_request_and_a_missing_file_have_exit_codes(tmp_path):
    write_log(tmp_path / "edge-1.log", [refuse("no-owner")])
    runner = testing.CliRunner()
    path = str(tmp_path / "edge-1.log")
    unknown = runner.invoke(main.application, ["explain-request", "x", path])
    assert unknown.exit_code == 1 and "not-found" in unknown.stdout
    missing = runner.invoke(
        main.application, ["explain-request", "x", str(tmp_path / "none")]
    )
    assert missing.exit_code == 3
