"""Tests of sycamoreloftctl against a real admin port."""

import asyncio
import json
import pathlib
import socket
import threading

import pytest
from returns import result
from tornado import testing as tornado_testing
from typer import testing

from sycamoreloft_ctl import main
from sycamoreloft_router import _admin

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
TOKEN = "token-of-the-operators"
SLEDWORKS, ISUKU, MERGE = (
    str(EXAMPLES / f"{name}.toml") for name in ("sledworks", "isuku", "merge")
)


class Backend:
    """Admin backend that returns what a test has set."""

    def __init__(self):
        self.submissions = []
        self.answer = result.Success(_admin.SubmissionAnswer(5, "accepted"))
        self.files = {"fleet/sledworks": pathlib.Path(SLEDWORKS).read_text()}

    async def submit_file(self, submission):
        self.submissions.append(submission)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    async def read_generation(self):
        return result.Success(
            _admin.GenerationView(
                4, self.files, 5, ["fleet isuku: added"], ["sledworks/[x]\x1b"]
            )
        )

    async def explain_key(self, fleet, service, key):
        return result.Success(
            _admin.Explanation(
                fleet, service, key, 7, "a/d/0", "entry-01", "", ["because"]
            )
        )

    async def dump_state(self):
        return {"groups": {"a/d/0": {"epoch": 3, "queue": []}}}


@pytest.fixture
def backend():
    """Returns a backend whose answers a test can set."""
    return Backend()


@pytest.fixture
def admin_url(backend):
    """Serves the admin port in another thread."""
    loop = asyncio.new_event_loop()
    listener, port = tornado_testing.bind_unused_port()

    async def serve():
        _admin.make_admin_server(backend, [TOKEN]).add_socket(listener)

    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    asyncio.run_coroutine_threadsafe(serve(), loop).result(timeout=5)
    yield f"http://127.0.0.1:{port}"
    loop.call_soon_threadsafe(loop.stop)
    thread.join(timeout=5)
    listener.close()


@pytest.fixture
def call(admin_url):
    """Runs the command with the admin port and token in the environment."""

    def run_command(*arguments, **environment):
        return testing.CliRunner().invoke(
            main.application,
            arguments,
            env={
                "SYCAMORELOFTCTL_ADMIN": admin_url,
                "SYCAMORELOFTCTL_TOKEN": TOKEN,
                # A proxy must not see the token.
                "http_proxy": "http://127.0.0.1:9",
                **environment,
            },
        )

    return run_command


def test_check_reads_the_examples_without_a_host(call):
    """Guards against a check that needs a running host."""
    outcome = call("check", SLEDWORKS, ISUKU, MERGE, SYCAMORELOFTCTL_ADMIN="")
    assert outcome.exit_code == 0
    assert "no problems" in outcome.stdout
    assert "36" in outcome.stdout


def test_check_lists_every_problem_with_its_file(call, tmp_path):
    """Guards against a check that stops at the first file."""
    wrong = tmp_path / "wrong.toml"
    wrong.write_text('kind = "merge"\nsame_servic = []\n')
    none = tmp_path / "none.toml"
    outcome = call("check", "--json", str(wrong), str(none), SLEDWORKS)
    assert outcome.exit_code == 3
    details = json.loads(outcome.stdout)["details"]
    assert "did you mean 'same_service'" in details[0]
    assert "none.toml" in details[1]


def test_check_against_accepted_files(call):
    """Guards against a merge of files that were never submitted."""
    alone = call("check", MERGE)
    assert (alone.exit_code, alone.stderr.count("no accepted")) == (3, 2)
    together = call("check", "--against-accepted", ISUKU, MERGE)
    assert together.exit_code == 0


def test_submit_sends_the_files_together(call, backend):
    """Guards against a merge that is submitted in two generations."""
    outcome = call("submit", "--base", "4", ISUKU, MERGE)
    assert (outcome.exit_code, outcome.stdout) == (
        0,
        "generation 5 is in force\n",
    )
    assert backend.submissions[0].base == 4
    assert list(backend.submissions[0].texts) == [ISUKU, MERGE]


def test_submit_needs_a_base(call, backend):
    """Guards against overwriting a generation that the operator never saw."""
    assert call("submit", ISUKU).exit_code == 2
    assert not backend.submissions


@pytest.mark.parametrize(
    ("answer", "exit_code", "text"),
    [
        (
            result.Success(_admin.SubmissionAnswer(5, "pending", ["a/d1"])),
            5,
            "waiting for a/d1",
        ),
        (result.Success(_admin.SubmissionAnswer(5, "replaced")), 5, "builds"),
        (result.Success(_admin.SubmissionAnswer(0, "unavailable")), 1, "noth"),
        (
            result.Failure(
                _admin.AdminProblem(409, "conflict", "m", "r", ["x: added"])
            ),
            4,
            "x: added",
        ),
        (
            result.Failure(_admin.AdminProblem(422, "invalid-files", "m", "r")),
            3,
            "remedy: r",
        ),
        (
            result.Failure(
                _admin.AdminProblem(503, "outcome-unknown", "m", "r")
            ),
            6,
            "--request id-7",
        ),
        (RuntimeError("inside"), 6, "--request id-7"),
    ],
)
def test_answers_have_their_own_exit_codes(
    call, backend, answer, exit_code, text
):
    """Guards against outcomes that a script cannot tell apart."""
    backend.answer = answer
    outcome = call("submit", "--base", "4", "--request", "id-7", ISUKU)
    assert outcome.exit_code == exit_code
    assert text in outcome.output
    as_json = call("submit", "--base", "4", "--json", ISUKU)
    assert as_json.exit_code == exit_code
    assert json.loads(as_json.stdout)


def test_a_broken_connection_leaves_the_outcome_unknown(call):
    """Guards against a recorded submission that is reported as refused."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            connection, _ = listener.accept()
            connection.recv(100)
            connection.close()

        thread = threading.Thread(target=serve)
        thread.start()
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        outcome = call(
            "submit", "--base", "4", "--json", ISUKU, SYCAMORELOFTCTL_ADMIN=url
        )
        thread.join(timeout=5)
    assert outcome.exit_code == 6
    assert json.loads(outcome.stdout)["code"] == "outcome-unknown"


def test_a_refused_connection_means_that_nothing_was_recorded(call):
    """Guards against reporting an unknown outcome when nothing was sent."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        outcome = call(
            "submit", "--base", "4", ISUKU, SYCAMORELOFTCTL_ADMIN=url
        )
    assert outcome.exit_code == 1


@pytest.mark.parametrize("command", [["show"], ["dump"], ["explain", "s"]])
def test_a_wrong_token_or_url_has_its_own_exit_code(call, command):
    """Guards against a missing token that looks like a failed host."""
    assert call(*command, SYCAMORELOFTCTL_TOKEN="x").exit_code == 7
    assert call(*command, SYCAMORELOFTCTL_ADMIN="").exit_code == 2
    assert call(*command, "--json").exit_code == 0


def test_show_names_what_is_pending_and_what_it_waits_for(call):
    """Guards against names that control the terminal or act as table markup."""
    text = call("show").stdout
    assert "fleet isuku: added" in text
    assert "  sledworks/[x]\\x1b" in text
    assert text.splitlines()[1].split() == ["4", "5", "5"]


def test_show_prints_a_file_as_it_is(call, backend):
    """Guards against a printed file that cannot be submitted again."""
    outcome = call("show", "--file", "fleet/sledworks")
    assert outcome.stdout == backend.files["fleet/sledworks"]
    assert call("show", "--file", "merge").exit_code == 1


def test_explain_and_dump_print_tables(call):
    """Guards against values that are missing in the tables."""
    text = call("explain", "s", "k", "--fleet", "a").stdout
    assert all(word in text for word in ("a/d/0", "entry-01", "because"))
    lines = call("dump").stdout.splitlines()
    assert lines[1].split() == ["groups", "a/d/0", "epoch", "3"]


@pytest.mark.parametrize(
    ("variable", "value"),
    [
        ("TOKEN", "a\nB: c"),
        ("TOKEN", "\u20ac"),
        ("TOKEN", "\udcff"),
        ("ADMIN", "http://\u20ac"),
        ("ADMIN", "http://[::1"),
        ("ADMIN", "http://a b"),
        ("ADMIN", "ftp://127.0.0.1"),
    ],
)
def test_a_token_or_url_that_cannot_be_sent_is_a_wrong_option(
    call, variable, value
):
    """Guards against a stack trace, and a token that adds a header."""
    outcome = call("show", **{f"SYCAMORELOFTCTL_{variable}": value})
    assert outcome.exit_code == 2
    assert "remedy: " in outcome.stderr


@pytest.mark.parametrize(
    "answer",
    [
        b"{}",
        b"[]",
        b"\xff",
        b'{"accepted": 1}',
        b'{"accepted": 1, "pending": 0, "files": {"a": 1}, "differences": [],'
        b' "waiting_domains": []}',
    ],
)
@pytest.mark.parametrize(
    "command",
    [
        ["show"],
        ["show", "--file", "a"],
        ["explain", "s"],
        ["check", "--against-accepted", MERGE],
    ],
)
def test_an_answer_of_another_server_is_a_problem(call, answer, command):
    """Guards against a stack trace when --admin names another port."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            connection, _ = listener.accept()
            connection.recv(10_000)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(answer)}\r\n\r\n"
            connection.sendall(head.encode() + answer)
            connection.close()

        thread = threading.Thread(target=serve)
        thread.start()
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        outcome = call(*command, SYCAMORELOFTCTL_ADMIN=url)
        thread.join(timeout=5)
    assert outcome.exit_code == 1
    assert "not that of an admin port" in outcome.stderr


def test_arguments_that_are_not_utf8_are_problems(call, tmp_path):
    """Guards against a stack trace for names typed in another encoding."""
    assert call("explain", "s\udcff").exit_code == 1
    assert call("check", str(tmp_path)).exit_code == 3
    name = tmp_path / "n\udcff.toml"
    name.write_bytes(pathlib.Path(ISUKU).read_bytes())
    assert call("submit", "--base", "1", str(name)).exit_code == 1
