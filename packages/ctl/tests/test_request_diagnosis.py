"""Tests of the diagnosis of requests from log lines."""

import json

import pytest
from typer import testing

from sycamoreloft_ctl import (
    _log_lines,
    _request_causes,
    _request_diagnosis,
    main,
)

CAUSE = _request_causes.Cause
BASE_S = 1_780_000_000.0


def build_line(event, offset_s=0.0, host="h1", **fields):
    return _log_lines.LogLine(host, BASE_S + offset_s, event, {**fields})


def build_refusal(reason, offset_s=0.0, **fields):
    values = {
        "request": "r1",
        "reason": reason,
        "service": "boards",
        "key": 7,
        "tried": ["u1"],
    }
    return build_line("request-refused", offset_s, **(values | fields))


def build_attempt(result, offset_s=-0.1, **fields):
    values = {
        "request": "r1",
        "upstream": "u1",
        "result": result,
        "status": 0,
        "detail": "",
        "key": 7,
    }
    return build_line("attempt-failed", offset_s, **(values | fields))


def build_refusals(count, key=7):
    return [
        build_refusal("owner-full", 0.1 * number, request=f"o{number}", key=key)
        for number in range(count)
    ]


GONE = build_line("upstream-gone", 1.0, upstream="u1")
FAILED_GRANT = build_line(
    "grant-failed", -2.0, "h2", service="boards", first=0, last=9, upstream="u1"
)
LEAVING = build_line("upstream-leaving", -1.0, upstream="u1", source="r0")
TAKEOVER = build_line("coordinator-began", -1.0, "h2", epoch=2)


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        ([], CAUSE.NOT_FOUND),
        ([build_refusal("caller-gone")], CAUSE.CALLER_LEFT),
        ([build_refusal("no-upstream")], CAUSE.NO_UPSTREAM),
        ([build_refusal("quarantined")], CAUSE.QUARANTINED),
        ([build_refusal("owner-replaced")], CAUSE.ADDRESS_REUSED),
        ([build_refusal("owner-paused")], CAUSE.UPSTREAM_PAUSED),
        ([build_refusal("withdrawn")], CAUSE.UPSTREAM_PAUSED),
        ([build_refusal("upstreams-paused")], CAUSE.UPSTREAM_PAUSED),
        ([build_refusal("no-owner")], CAUSE.KEY_MOVED),
        ([TAKEOVER, build_refusal("no-owner")], CAUSE.COORDINATOR_CHANGED),
        (
            [
                build_line("coordinator-began", -9.0, "h2"),
                build_refusal("no-owner"),
            ],
            CAUSE.KEY_MOVED,
        ),
        ([FAILED_GRANT, build_refusal("no-owner")], CAUSE.OWNER_UNREACHABLE),
        ([FAILED_GRANT, build_refusal("no-owner"), GONE], CAUSE.UPSTREAM_LOST),
        ([build_refusal("no-owner", key=50), GONE], CAUSE.UPSTREAM_LOST),
        ([LEAVING, build_refusal("no-owner")], CAUSE.UPSTREAM_LEFT),
        ([build_refusal("owner-full")], CAUSE.OWNER_FULL),
        ([build_refusal("owner-cold")], CAUSE.UPSTREAM_COLD),
        ([build_refusal("evacuated")], CAUSE.EVACUATED),
        ([build_refusal("owner-full"), *build_refusals(5)], CAUSE.HOT_KEY),
        (
            [build_refusal("owner-full"), *build_refusals(9, key=8)],
            CAUSE.OWNER_FULL,
        ),
        ([build_refusal("deadline")], CAUSE.UPSTREAM_SILENT),
        ([build_refusal("deadline", key=-1), GONE], CAUSE.UPSTREAM_LOST),
        ([build_refusal("upstream-refused-503", key=-1)], CAUSE.SERVICE_FULL),
        ([build_refusal("upstream-refused-503")], CAUSE.OWNER_FULL),
        ([build_attempt("failed", status=500)], CAUSE.UPSTREAM_FAILED),
        (
            [
                build_attempt(
                    "broken", detail="Recv failure: Connection reset"
                ),
                build_refusal("broken-answer"),
            ],
            CAUSE.CONNECTION_BROKE,
        ),
        (
            [
                build_attempt("broken", status=200, detail="no length"),
                build_refusal("broken-answer"),
            ],
            CAUSE.ANSWER_SPOILED,
        ),
        (
            [
                build_attempt("broken", detail="Recv"),
                build_refusal("broken-answer"),
                GONE,
            ],
            CAUSE.UPSTREAM_LOST,
        ),
        (
            [build_attempt("unreachable"), build_refusal("connect-failed")],
            CAUSE.UPSTREAM_LOST,
        ),
        (
            [build_line("request-rejected", request="r1", reason="no-route")],
            CAUSE.BAD_REQUEST,
        ),
        (
            [
                build_line(
                    "request-rejected", request="r1", reason="no-desired-state"
                )
            ],
            CAUSE.NO_STATE,
        ),
        ([build_line("request-late", request="r1", elapsed_s=2.0)], CAUSE.LATE),
        ([build_line("request-served", request="r1")], CAUSE.SERVED),
    ],
)
def test_each_failure_is_diagnosed_with_its_cause(lines, cause):
    ordered = sorted(lines, key=lambda line: line.time_s)
    assert _request_diagnosis.diagnose("r1", ordered).cause is cause


def test_diagnosis_lists_related_events_of_key_upstreams_and_host():
    lines = [
        build_line("upstream-gone", -1.0, upstream="u9"),
        build_line(
            "grant-failed", -1.0, "h2", service="boards", first=8, last=9
        ),
        FAILED_GRANT,
        build_line(
            "owner-changed", -0.5, "h2", service="boards", first=0, last=9
        ),
        build_line("epoch-followed", -0.4, "h1"),
        build_line("epoch-followed", -0.4, "h3"),
        build_attempt("refused", status=421),
        build_refusal("no-owner"),
        GONE,
        build_line("upstream-gone", 1.0, "h3", upstream="u1"),
        build_line("store-lost", 1.5, "h3"),
        build_line("store-lost", 1.5, "h1"),
        build_line("host-started", 90.0),
    ]
    lines.sort(key=lambda line: line.time_s)
    diagnosis = _request_diagnosis.diagnose("r1", lines)
    assert [line.event for line in diagnosis.request_lines] == [
        "attempt-failed",
        "request-refused",
    ]
    assert [(line.event, line.host) for line in diagnosis.related_lines] == [
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
    write_log(tmp_path / "edge-1.log", [build_attempt("refused", status=421)])
    write_log(
        tmp_path / "all.log",
        [build_refusal("no-owner")],
        prefix="  0.4303 edge-2 ",
    )
    with (tmp_path / "all.log").open("a") as file:
        file.write("not an event\n{broken\n[]\n\n")
    files = _log_lines.read_files(
        [tmp_path / "edge-1.log", tmp_path / "all.log"]
    )
    assert [line.host for line in files.lines] == ["edge-1", "edge-2"]
    assert files.unreadable_count == 3


def test_command_prints_the_lines_and_the_cause(tmp_path):
    write_log(
        tmp_path / "edge-1.log",
        [build_attempt("refused", status=421), build_refusal("no-owner")],
    )
    path = str(tmp_path / "edge-1.log")
    runner = testing.CliRunner()
    shown = runner.invoke(main.application, ["explain-request", "r1", path])
    assert shown.exit_code == 0
    assert "cause: key-moved" in shown.stdout
    printed = runner.invoke(
        main.application, ["explain-request", "--json", "r1", path]
    )
    diagnosis = json.loads(printed.stdout)
    assert diagnosis["cause"] == "key-moved"
    assert [line["event"] for line in diagnosis["lines"]] == [
        "attempt-failed",
        "request-refused",
    ]


def test_an_unknown_request_and_a_missing_file_have_exit_codes(tmp_path):
    write_log(tmp_path / "edge-1.log", [build_refusal("no-owner")])
    runner = testing.CliRunner()
    path = str(tmp_path / "edge-1.log")
    unknown = runner.invoke(main.application, ["explain-request", "x", path])
    assert unknown.exit_code == 1 and "not-found" in unknown.stdout
    missing = runner.invoke(
        main.application, ["explain-request", "x", str(tmp_path / "none")]
    )
    assert missing.exit_code == 3
