"""Tests of the history checker: a clean history and planted violations."""

import dataclasses
import json

import pytest

import sycamoreloft_proof as proof
from sycamoreloft_proof import _ownership_checks, _run_logs

BOARD = "sledworks/tally-board"
GROUP = "sledworks/baleyard-north/0"
A, B = "sledworks/a", "sledworks/b"
C = proof.Condition


def grant(at, upstream, fences, until, hot=None):
    """Builds an accepted grant; `fences` None renews."""
    return proof.GrantAccepted(
        at,
        upstream,
        GROUP,
        1,
        1,
        until,
        None if fences is None else {BOARD: fences},
        None if fences is None else {BOARD: hot or {}},
    )


def run(at, upstream, name, request, key="heat-1", fence=1):
    """Builds the start of a run of partition 7."""
    return proof.RunStarted(
        at, at, upstream, name, request, "", BOARD, key, 7, fence
    )


def end(at, upstream, name, cancelled=False):
    """Builds the end of a run."""
    return proof.RunEnded(at, upstream, name, cancelled, False)


def sent(at, request, idempotency_key=""):
    """Builds a request to router-1."""
    return proof.RequestSent(
        at,
        request,
        idempotency_key,
        bool(idempotency_key),
        "router-1",
        "sledworks",
        "tally-board",
        "heat-1",
        "caller-1",
    )


def answer(at, request, outcome="completed", ending="whole", matches=True):
    """Builds the end of a request for its caller."""
    return proof.AnswerReceived(
        at,
        request,
        proof.Ending(ending),
        proof.Outcome(outcome),
        200,
        "",
        True,
        matches,
    )


def read_generation(at, number, router="router-1"):
    """Builds a reading of the generation in force."""
    return proof.GenerationRead(at, at, router, number)


#: A history with a move, a crash, a restart, a leaving upstream and a stop.
CLEAN = (
    proof.UpstreamStarted(0.0, A, "a1", 2),
    proof.UpstreamStarted(0.0, B, "b1", 2),
    proof.FileAccepted(0.5, 0.1, 1),
    grant(1.0, A, {7: 1, 8: 1}, 2.0),
    proof.AssignmentsRead(1.1, {(BOARD, 7): (A, 1), (BOARD, 8): (A, 1)}),
    grant(1.2, A, None, 2.2),
    sent(1.3, "r1", "op-1"),
    run(1.4, A, "a-1", "r1"),
    sent(1.4, "r2"),
    run(1.45, A, "a-2", "r2"),
    end(1.5, A, "a-1"),
    answer(1.6, "r1"),
    end(1.6, A, "a-2"),
    answer(1.7, "r2"),
    # Partition 7 moves from A to B as planned.
    grant(2.0, A, {8: 1}, 3.0),
    grant(2.1, B, {7: 2}, 3.1),
    proof.AssignmentsRead(2.2, {(BOARD, 7): (B, 2), (BOARD, 8): (A, 1)}),
    read_generation(2.0, 1),
    # A crashes while it runs r3; its partition moves at once.
    sent(2.3, "r3"),
    proof.RunStarted(2.4, 2.4, A, "a-3", "r3", "", BOARD, "k", 8, 1),
    proof.UpstreamEnded(2.5, A),
    answer(2.6, "r3", "unknown", "cut"),
    proof.UpstreamStarted(2.7, A, "a2", 2),
    grant(2.8, B, {7: 2, 8: 2}, 3.8),
    sent(3.0, "r4"),
    answer(3.0, "r4", "did-not-run"),
    # Heat-1 is hot and gets an owner of its own.
    grant(3.1, A, {}, 9.0, {"heat-1": 3}),
    grant(3.1, B, {7: 2, 8: 2}, 30.0),
    run(3.2, A, "a-4", "r6", fence=3),
    end(3.3, A, "a-4"),
    run(3.4, B, "b-1", "r7", key="heat-2", fence=2),
    end(3.5, B, "b-1"),
    proof.FileAccepted(10.0, 9.9, 2, frozenset({A})),
    proof.StopBegan(11.0, "router-1"),
    sent(11.1, "r5"),
    answer(11.2, "r5", "did-not-run", "not-connected"),
    proof.StopEnded(12.0, "router-1", 0),
    read_generation(18.0, 2, "router-2"),
)


def check_with(*planted):
    """Returns the conditions that a clean history with planted events broke."""
    return [item.condition for item in proof.check_history(CLEAN + planted)]


def test_clean_history_passes():
    """Guards against a checker that reports what is allowed."""
    assert proof.check_history(CLEAN) == []
    assert proof.check_history(reversed(CLEAN)) == []


@pytest.mark.parametrize(
    ("condition", "planted"),
    [
        # A accepts partition 8 again while B holds it.
        (C.ONE_OWNER, [grant(4.0, A, {8: 9}, 5.0)]),
        # B accepts partition 7 before A released it.
        (C.ONE_OWNER, [grant(1.9, B, {7: 2}, 3.0)]),
        # A crashed, but B accepts its partition before the crash.
        (C.ONE_OWNER, [grant(2.45, B, {7: 2, 8: 2}, 3.1)]),
        # A runs after its grant for the partition ended.
        (C.ONE_OWNER, [run(2.9, A, "x", "rx")]),
        # B runs the hot key by its partition while A holds the key.
        (C.ONE_OWNER, [run(3.2, B, "x", "rx", fence=2)]),
        # The new holder gives an earlier fence.
        (C.ASSIGNMENT_SURVIVES, [grant(31.0, A, {7: 1}, 32.0)]),
        # A new owner without a new fence.
        (C.ASSIGNMENT_SURVIVES, [grant(31.0, A, {7: 2}, 32.0)]),
        # The store forgot the move.
        (
            C.ASSIGNMENT_SURVIVES,
            [proof.AssignmentsRead(5.0, {(BOARD, 8): (A, 1)})],
        ),
        # The store records another owner than the grant.
        (
            C.ASSIGNMENT_SURVIVES,
            [proof.AssignmentsRead(1.0, {(BOARD, 8): (B, 1)})],
        ),
        # Somebody else's answer, a cut one and an invented one.
        (
            C.OWN_WHOLE_ANSWER,
            [run(3.6, B, "x", "rx", "heat-2"), answer(4, "rx", matches=False)],
        ),
        (
            C.OWN_WHOLE_ANSWER,
            [run(3.6, B, "x", "rx", "heat-2"), answer(4, "rx", ending="cut")],
        ),
        (C.OWN_WHOLE_ANSWER, [sent(3.5, "rx"), answer(3.6, "rx")]),
        # A request ran before and after the answer did-not-run.
        (C.DID_NOT_RUN, [answer(1.9, "r2", "did-not-run")]),
        (C.DID_NOT_RUN, [run(4.0, B, "x", "r4", "heat-2")]),
        # The operation of r1 runs again under another request.
        (
            C.AT_MOST_ONCE,
            [sent(3.5, "rx", "op-1"), run(3.6, B, "x", "rx", "heat-2")],
        ),
        # A request comes to the leaving upstream after three seconds.
        (
            C.LEAVING,
            [
                grant(12.0, A, {}, 14.0, {"heat-9": 1}),
                run(13.1, A, "x", "rx", "heat-9"),
            ],
        ),
        # A request is cut during a planned stop; the router fails to stop.
        (
            C.PLANNED_STOP,
            [sent(10.9, "rx"), answer(11.5, "rx", "unknown", "cut")],
        ),
        # The same in an earlier one of two stops of the router.
        (
            C.PLANNED_STOP,
            [
                sent(8.5, "rx"),
                answer(8.6, "rx", "unknown", "cut"),
                proof.StopBegan(8.0, "router-1"),
                proof.StopEnded(9.0, "router-1", 0),
            ],
        ),
        (C.PLANNED_STOP, [proof.StopEnded(12.0, "router-2", 70)]),
        # A host stays behind; a host goes back.
        (C.FILE_IN_FORCE, [read_generation(17.1, 1)]),
        (C.FILE_IN_FORCE, [read_generation(18.1, 1, "router-2")]),
        # Three requests at once on two slots.
        (
            C.SLOTS,
            [
                step
                for number in range(3)
                for step in (
                    run(5.0, B, f"x{number}", f"rx{number}", "heat-2"),
                    end(6.0, B, f"x{number}"),
                )
            ],
        ),
    ],
)
def test_planted_violation_is_reported(condition, planted):
    """Guards against a checker that lets a broken condition pass."""
    assert condition in check_with(*planted)


def test_planted_violations_are_reported_alone():
    """Guards against reports that blame a condition which held."""
    assert check_with(run(2.9, A, "x", "rx")) == [C.ONE_OWNER]
    assert check_with(answer(1.9, "r2", "did-not-run")) == [C.DID_NOT_RUN]
    assert check_with(read_generation(17.1, 1)) == [C.FILE_IN_FORCE]


@pytest.mark.parametrize(
    "planted",
    [
        # A cancelled request that overlaps the next one.
        [
            step
            for number in range(3)
            for step in (
                run(5.0, B, f"x{number}", f"rx{number}", "heat-2"),
                end(6.0, B, f"x{number}", cancelled=number == 0),
            )
        ],
        # An answer that the upstream broke during a planned stop.
        [
            sent(11.0, "rx"),
            run(11.1, B, "x", "rx", "heat-2"),
            proof.RunEnded(11.2, B, "x", False, True),
            answer(11.3, "rx", "unknown", "cut"),
        ],
        # A request that reached the leaving upstream inside the bound.
        [grant(12.0, A, {}, 14.0, {"h": 1}), run(12.9, A, "x", "rx", "h")],
        # A lapsed grant that the same upstream gets again.
        [grant(35.0, B, None, 36.0), run(35.5, B, "x", "rx", "heat-2")],
    ],
)
def test_allowed_events_are_not_reported(planted):
    """Guards against false reports that would hide real ones."""
    assert check_with(*planted) == []


def test_lapsed_time_is_not_owned():
    """Guards against a renewal that covers the time in which it lapsed."""
    planted = [grant(35.0, B, None, 36.0), run(32.0, B, "x", "rx", "heat-2")]
    assert check_with(*planted) == [C.ONE_OWNER]


def test_moved_keys_are_counted():
    """Guards against a table that shows no moves."""
    assert _ownership_checks.count_moved_keys(CLEAN) == (2, 1)


def test_run_log_is_read_and_a_cut_line_left_out(tmp_path):
    """Guards against lost events and a reader that a kill breaks."""
    path = tmp_path / "log"
    line = {
        "kind": "grant",
        "at": 1.0,
        "upstream": A,
        "group": GROUP,
        "epoch": 1,
        "version": 1,
        "until": 2.0,
        "partitions": {"tally-board": {"7": 1, "8": 1}},
        "hot_keys": {"tally-board": {}},
    }
    refused = {"kind": "refused", "upstream": A}
    path.write_text(
        f"{json.dumps(line)}\n{json.dumps(refused)}\n"
        f"{json.dumps({**line, 'partitions': None, 'hot_keys': None})}\n"
        '{"kind": "gra'
    )
    first = grant(1.0, A, {7: 1, 8: 1}, 2.0)
    renewal = dataclasses.replace(first, partitions=None, hot_keys=None)
    assert _run_logs.read_run_log(path) == [first, renewal]
    path.write_text('{"kind": "gra\n' + json.dumps(line))
    with pytest.raises(ValueError, match="Unterminated"):
        _run_logs.read_run_log(path)
