"""Tests of the admin port, over real connections."""

import asyncio
import json

import pytest
from returns import result
from tornado import httpclient, testing

from sycamoreloft_router import _admin

TOKENS = ("first-valid-token", "second-valid-token")

SUBMISSION = {"request": "r-1", "base": 3, "files": {"a.toml": "x = 1"}}


class FakeBackend:
    """Answers as a test sets and records the calls."""

    def __init__(self):
        self.submissions = []
        self.explained = []
        self.answer = result.Success(
            _admin.SubmissionAnswer(4, "pending", ("sledworks/fernrun-east",))
        )
        self.ready = True

    async def submit_file(self, submission):
        self.submissions.append(submission)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    async def read_generation(self):
        return result.Success(_admin.GenerationView(3, {"merge": "text"}))

    async def explain_key(self, fleet, service, key):
        self.explained.append((fleet, service, key))
        return result.Failure(
            _admin.AdminProblem(404, "unknown-service", "no such", "look")
        )

    async def dump_state(self):
        return {"groups": {"a/d/0": {"hosts": {"h"}}}}

    async def render_metrics(self):
        return b"up 1\n", "text/plain; version=0.0.4"

    async def is_ready(self):
        return self.ready


@pytest.fixture
def backend():
    """A backend whose answers a test sets."""
    return FakeBackend()


@pytest.fixture
def call(backend):
    """Calls the admin port and returns status, headers and body."""

    def run_call(path, body=None, token=TOKENS[0], **options):
        async def main():
            listener, port = testing.bind_unused_port()
            server = _admin.make_admin_server(backend, TOKENS)
            server.add_socket(listener)
            headers = {"Authorization": f"Bearer {token}"} if token else {}
            try:
                return await httpclient.AsyncHTTPClient(
                    force_instance=True
                ).fetch(
                    f"http://127.0.0.1:{port}{path}",
                    method="GET" if body is None else "POST",
                    body=body,
                    headers=headers,
                    raise_error=False,
                    **options,
                )
            finally:
                server.stop()

        return asyncio.run(main())

    return run_call


def test_files_are_submitted(call, backend):
    """Guards against a submission that is changed on its way to the backend."""
    answer = call("/v1/files", json.dumps(SUBMISSION | {"wait_s": 0}))
    assert answer.code == 200
    assert json.loads(answer.body) == {
        "number": 4,
        "status": "pending",
        "waiting_domains": ["sledworks/fernrun-east"],
    }
    expected = _admin.Submission("r-1", 3, {"a.toml": "x = 1"}, 0.0)
    assert backend.submissions == [expected]


def test_problems_keep_their_status_remedy_and_details(call, backend):
    """Guards against a conflict that does not name the changed files."""
    backend.answer = result.Failure(
        _admin.AdminProblem(409, "conflict", "m", "r", ["merge: added"])
    )
    answer = call("/v1/files", json.dumps(SUBMISSION))
    assert answer.code == 409
    assert json.loads(answer.body) == {
        "code": "conflict",
        "message": "m",
        "remedy": "r",
        "details": ["merge: added"],
    }


@pytest.mark.parametrize(
    "path",
    ["/v1/files", "/v1/generation", "/v1/explain", "/v1/state", "/metrics"],
)
@pytest.mark.parametrize("token", [None, "wrong", TOKENS[0] + "x", "\xff"])
def test_calls_without_a_valid_token_are_refused(call, backend, path, token):
    """Guards against access to configuration and state without a token."""
    body = json.dumps(SUBMISSION) if path == "/v1/files" else None
    answer = call(path, body, token)
    assert answer.code == 401
    assert json.loads(answer.body)["code"] == "unauthorized"
    assert not backend.submissions


def test_every_token_is_valid(call):
    """Guards against locking operators out during a rotation of tokens."""
    for token in TOKENS:
        assert call("/v1/generation", token=token).code == 200


def test_the_balancer_needs_no_token(call, backend):
    """Guards against a stopping host to which the balancer sends callers."""
    assert call("/ready", token=None).code == 200
    backend.ready = False
    answer = call("/ready", token=None)
    assert (answer.code, json.loads(answer.body)) == (503, {"ready": False})


@pytest.mark.parametrize(
    "change",
    [
        {"base": True},
        {"base": -1},
        {"request": ""},
        {"request": "a b"},
        {"files": {}},
        {"files": {"a": 1}},
        {"files": {"a\n": "x"}},
        {"wait_s": 1e9},
        {"wait_s": float("nan")},
        {"bsae": 1},
    ],
    ids=str,
)
def test_invalid_submissions_are_typed_errors(call, backend, change):
    """Guards against accepting a submission with an invalid field."""
    answer = call("/v1/files", json.dumps(SUBMISSION | change))
    assert answer.code == 400
    assert len(json.loads(answer.body)["details"]) == 1
    assert not backend.submissions


@pytest.mark.parametrize("body", ["", "[]", "{", "[" * 100_000, '"\\ud800"'])
def test_bodies_other_than_objects_are_typed_errors(call, body):
    """Guards against exceptions of the JSON parser."""
    answer = call("/v1/files", body)
    assert answer.code == 400
    assert json.loads(answer.body)["code"] == "invalid-body"


def test_a_long_body_is_refused(call, backend):
    """Guards against a submission that exhausts the host's memory."""
    answer = call("/v1/files", "x" * (_admin.MAXIMUM_BODY_BYTES + 1))
    assert answer.code == 413
    assert json.loads(answer.body)["code"] == "body-too-long"
    assert not backend.submissions


def test_a_body_is_not_awaited_without_a_token(backend):
    """Guards against buffering the body of a call without a valid token."""

    async def main():
        listener, port = testing.bind_unused_port()
        server = _admin.make_admin_server(backend, TOKENS)
        server.add_socket(listener)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            b"POST /v1/files HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
        )
        async with asyncio.timeout(5):
            line = await reader.readline()
        writer.close()
        server.stop()
        return line

    assert asyncio.run(main()).startswith(b"HTTP/1.1 401 ")


def test_an_exception_becomes_a_typed_error_without_its_text(call, backend):
    """Guards against secrets and stack traces in answers."""
    backend.answer = RuntimeError("secret text")
    answer = call("/v1/files", json.dumps(SUBMISSION))
    assert answer.code == 500
    assert b"secret" not in answer.body
    assert json.loads(answer.body)["code"] == "internal-error"


def test_a_call_that_hangs_times_out(call, backend, monkeypatch):
    """Guards against a call that never ends."""
    monkeypatch.setattr(_admin, "CALL_TIMEOUT_S", 0.05)

    async def hang(submission):
        await asyncio.Event().wait()

    backend.submit_file = hang
    answer = call("/v1/files", json.dumps(SUBMISSION | {"wait_s": 0}))
    assert (answer.code, json.loads(answer.body)["code"]) == (504, "timed-out")


def test_other_paths_methods_and_arguments(call, backend):
    """Guards against wrong answers to other paths, methods and arguments."""
    assert json.loads(call("/nothing").body)["code"] == "unknown-path"
    assert call("/nothing", token=None).code == 401
    assert json.loads(call("/v1/files").body)["code"] == "wrong-method"
    assert call("/v1/explain").code == 400
    assert call("/v1/explain?fleet=a&service=s&key=%20k%2F").code == 404
    assert backend.explained == [("a", "s", " k/")]
    state = json.loads(call("/v1/state").body)
    assert state == {"groups": {"a/d/0": {"hosts": ["h"]}}}
    metrics = call("/metrics")
    assert metrics.body == b"up 1\n"
    assert metrics.headers["Content-Type"] == "text/plain; version=0.0.4"
    assert "Server" not in metrics.headers
