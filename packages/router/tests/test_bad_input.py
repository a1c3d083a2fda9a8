"""Tests that invalid input gets a typed error at each port."""

import asyncio
import json
import pathlib
import sys

import msgpack
import pytest
from returns import pipeline, result
from tornado import testing

from sycamoreloft_router import _admin, _peer_links, _peer_server
import sycamoreloft_wire

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import fake_sources
import raw_peers

HEAD = fake_sources.build_head()
KEY = sycamoreloft_wire.SharedKey("k1", b"secret")
TOKEN = "token-of-the-operators"


def add_header_lines(*lines, method="GET"):
    """Builds a valid request with additional header lines."""
    head = fake_sources.build_head(method)[:-2]
    return head + b"".join(line + b"\r\n" for line in lines) + b"\r\n"


def build_chunked_request(data):
    """Builds a request with raw bytes in place of its chunks."""
    return add_header_lines(b"Transfer-Encoding: chunked", method="PUT") + data


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (add_header_lines(b"A: b\x00c"), "malformed-headers"),
        (add_header_lines(b"A : b"), "malformed-headers"),
        (add_header_lines(b"A: b", b" folded"), "malformed-headers"),
        (add_header_lines(b": v"), "malformed-headers"),
        (add_header_lines(b"\xff: v"), "malformed-headers"),
        (HEAD.replace(b"\r\n", b"\n") + b"\r\n\r\n", "malformed-request-line"),
        (b"PRI * HTTP/2.0\r\n\r\n", "malformed-request-line"),
        (b"\x16\x03\x01\x02\x00\x01\r\n\r\n", "malformed-request-line"),
        (b"\r\n\r\n\r\n" + HEAD, "malformed-request-line"),
        (fake_sources.build_head(target="/a b"), "malformed-request-line"),
        (fake_sources.build_head(target="/\x01"), "malformed-request-line"),
        (fake_sources.build_head(target=""), "malformed-request-line"),
        (fake_sources.build_head("G(T"), "malformed-request-line"),
        (fake_sources.build_head(target="*"), "bad-path"),
        (fake_sources.build_head(target="/\xff"), "bad-path"),
        (fake_sources.build_head(target="/x#f"), "bad-path"),
        (fake_sources.build_head("get"), "bad-method"),
        (fake_sources.build_head(target="/" + "a" * 20_000), "long-headers"),
        (add_header_lines(b"Sycamoreloft-Deadline-Ms: 1e3"), "bad-deadline"),
        (add_header_lines(b"Sycamoreloft-Deadline-Ms: 1_0"), "bad-deadline"),
        (
            add_header_lines(b"Sycamoreloft-Deadline-Ms: " + b"9" * 5_000),
            "bad-deadline",
        ),
        (
            add_header_lines("Sycamoreloft-Deadline-Ms: ٣".encode()),
            "bad-deadline",
        ),
        (add_header_lines(b"Content-Length: +1"), "bad-framing"),
        (add_header_lines(b"Content-Length: 1_0"), "bad-framing"),
        (add_header_lines(b"Content-Length: -1"), "bad-framing"),
        (add_header_lines(b"Content-Length: " + b"9" * 5_000), "bad-framing"),
        (
            add_header_lines(b"Content-Length: 1", b"Content-Length: 2"),
            "repeated-header",
        ),
        (
            add_header_lines(
                b"Content-Length: 1", b"Transfer-Encoding: chunked"
            ),
            "bad-framing",
        ),
        (add_header_lines(b"Transfer-Encoding: gzip, chunked"), "bad-framing"),
        (
            add_header_lines(*[b"Transfer-Encoding: chunked"] * 2),
            "repeated-header",
        ),
        (
            add_header_lines(b"Idempotency-Key: a", b"Idempotency-Key: b"),
            "repeated-header",
        ),
        (build_chunked_request(b"zz\r\n"), "malformed-body"),
        (build_chunked_request(b"-1\r\n"), "malformed-body"),
        (build_chunked_request(b"1_0\r\n"), "malformed-body"),
        (build_chunked_request(b"f" * 40 + b"\r\n"), "long-body"),
        (build_chunked_request(b"1\r\nab\r\n0\r\n\r\n"), "malformed-body"),
        (build_chunked_request(b"0\r\nbad\r\n\r\n"), "malformed-body"),
    ],
)
def test_bad_requests_did_not_run(serve, data, reason):
    """Guards against request smuggling, and exceptions in the parser."""

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.write(data)
        answer = await caller.read()
        expected = {"long-headers": 431, "long-body": 413}
        assert answer.status == expected.get(reason, 400)
        assert (answer.outcome, answer.reason) == ("did-not-run", reason)
        # No complete request reached an upstream, and the next one succeeds.
        assert not harness.sources.requested or reason.endswith("-body")
        assert (await harness.send()).status == 200

    serve(scenario)


@pytest.mark.parametrize(
    "data",
    [
        add_header_lines(b"X: " + b"y" * 200_000),
        add_header_lines(*[b"X-%d: y" % number for number in range(20_000)]),
        add_header_lines(
            *[b"X-%d: %s" % (number, b"y" * 30) for number in range(20_000)]
        ),
    ],
)
def test_long_headers_are_refused_and_the_answer_is_not_lost(serve, data):
    """Guards against a reset that unread bytes of the request cause."""

    async def scenario(harness, upstream):
        for _ in range(5):
            caller = await harness.connect()
            caller.writer.write(data)
            await caller.writer.drain()
            await asyncio.sleep(0.05)
            answer = await caller.read()
            assert (answer.status, answer.reason) == (431, "long-headers")
        assert (await harness.send()).status == 200

    serve(scenario)


@pytest.mark.parametrize(
    "data",
    [b"A" * 70_000, build_chunked_request(b"1" * 100_000), b"\xff" * 70_000],
)
def test_endless_lines_close_their_connection_only(serve, data):
    """Guards against a line without an end that fills the memory."""

    async def scenario(harness, upstream):
        caller = await harness.connect()
        caller.writer.write(data)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            while await caller.read():
                pass
        assert (await harness.send()).status == 200

    serve(scenario)


class Handler:
    """Answers claims; raises for other messages, like a bug in a handler."""

    def handle_message(self, sender, message, reply):
        if not isinstance(message, sycamoreloft_wire.ClaimRequest):
            raise ValueError("unexpected message")
        reply(sycamoreloft_wire.ClaimAnswer(message.attempt))


def encode_frame(*fields):
    """Encodes a frame of the protocol between hosts."""
    return msgpack.packb(list(fields))


ACKNOWLEDGEMENT = sycamoreloft_wire.encode_message(
    1, sycamoreloft_wire.Acknowledgement()
)
CLAIM = sycamoreloft_wire.ClaimRequest("g", 1, b"i", b"f", "a1")


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xc1",
        encode_frame(),
        encode_frame(1),
        encode_frame(1, 10_000, 1, []),
        encode_frame(1, 1, -1, []),
        encode_frame("1", 1, 1, []),
        encode_frame(1, 1, 1, {}),
        encode_frame(1, 1, 1, [[]] * 100),
        b"\xdd\xff\xff\xff\xff",
        b"\x91" * 5_000,
        sycamoreloft_wire.encode_message(1, CLAIM)[:-1],
        sycamoreloft_wire.encode_message(1, CLAIM) + b"x",
        ACKNOWLEDGEMENT,
    ],
)
def test_bad_frames_of_a_known_host_close_its_connection_only(frame):
    """Guards against a host of another release that takes the others down."""

    async def run():
        server = _peer_server.PeerServer(
            _peer_links.PeerIdentity("server", [KEY]), Handler()
        )
        listener, port = testing.bind_unused_port()
        server.add_socket(listener)
        identity = _peer_links.PeerIdentity("client", [KEY])
        links = _peer_links.PeerLinks(identity)
        other = _peer_links.PeerLinks(identity)
        address = f"127.0.0.1:{port}"
        try:
            assert pipeline.is_successful(await other.call(address, CLAIM, 5))
            assert pipeline.is_successful(await links.call(address, CLAIM, 5))
            link = links._get_link(address)
            await _peer_links.write_frame(link._stream, frame)
            async with asyncio.timeout(5):
                while link._stream is not None:
                    await asyncio.sleep(0.002)
            assert pipeline.is_successful(await other.call(address, CLAIM, 5))
            again = _peer_links.PeerLinks(identity)
            assert pipeline.is_successful(await again.call(address, CLAIM, 5))
            again.close()
        finally:
            links.close()
            other.close()
            server.stop()
            server.close_connections()

    asyncio.run(run())


class Backend:
    """Encodes texts as UTF-8, as the store client and the hashing of names do.

    A text with a surrogate would raise an exception.
    """

    async def submit_file(self, submission):
        for text in submission.texts.values():
            text.encode()
        return result.Success(_admin.SubmissionAnswer(1, "accepted"))

    async def explain_key(self, fleet, service, key):
        (fleet + service + key).encode()
        problem = _admin.AdminProblem(404, "unknown-service", "m", "r")
        return result.Failure(problem)


def build_submission(body, *lines):
    """Builds an operator's request that submits files."""
    return b"\r\n".join(
        [
            b"POST /v1/files HTTP/1.1",
            b"Content-Length: %d" % len(body),
            *lines,
            b"",
            body,
        ]
    )


def build_file_submission(name, text="x"):
    """Builds an operator's request that submits one file."""
    files = json.dumps({name: text}).encode()
    return build_submission(b'{"request": "r", "base": 1, "files": %s}' % files)


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (build_file_submission("a", "\udcff"), "invalid-body"),
        (build_file_submission("\udcff"), "invalid-body"),
        (build_submission(b'{"base": 1%s}' % (b"0" * 5_000)), "invalid-body"),
        (build_submission(b"\xff\xfe"), "invalid-body"),
        (build_submission(b'{"wait_s": 1e999}'), "invalid-body"),
        (build_submission(b'{"\\udcff": 1}'), "invalid-body"),
        (b"GET /v1/explain?service=%ff HTTP/1.1\r\n", "bad-request"),
        (b"GET /v1/explain?service=s&key=%ff HTTP/1.1\r\n", "bad-request"),
        (b"GET /v1/explain?service=%00 HTTP/1.1\r\n", "no-service"),
        (b"PUT /v1/files HTTP/1.1\r\nContent-Length: 0\r\n", "wrong-method"),
        (b"DELETE /v1/state HTTP/1.1\r\n", "wrong-method"),
        (b"OPTIONS * HTTP/1.1\r\n", "unknown-path"),
        (b"GET /%2e%2e/%ff HTTP/1.1\r\n", "unknown-path"),
    ],
)
def test_bad_calls_of_operators_are_typed_errors(data, code):
    """Guards against a stack trace, or no answer, for an operator's call."""

    async def run():
        listener, port = testing.bind_unused_port()
        server = _admin.make_admin_server(Backend(), [TOKEN])
        server.add_socket(listener)
        head, _, rest = data.partition(b"\r\n")
        token = f"Authorization: Bearer {TOKEN}\r\nHost: h".encode()
        message = b"\r\n".join([head, token, rest])
        if b"\r\n\r\n" not in message:
            message += b"\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            async with asyncio.timeout(5):
                writer.write(message)
                answer = await raw_peers.read_message(reader)
            value = json.loads(answer.body)
            assert value["code"] == code
            assert value["remedy"]
        finally:
            writer.close()
            server.stop()

    asyncio.run(run())
