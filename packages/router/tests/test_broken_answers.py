"""Tests answers that RFC 9110 and 9112 don't allow, as the client reads them.

Guards against a broken answer that is passed on as a complete one, and against
sound answers that are rejected.
"""

import asyncio
import socket
from unittest import mock

import pytest
import raw_peers

from sycamoreloft_router import (
    _answer_heads,
    _body_streams,
    _connection_rules,
    _transfer_types,
    _upstream_client,
)
from sycamoreloft_standins import broken_answers

KIND = _transfer_types.FailureKind

#: Rules of the direct mode and of the permit mode.
RULES = {
    "direct": _answer_heads.AnswerRules(b"request-id", True),
    "permit": _answer_heads.AnswerRules(),
}

BROKEN = [
    pytest.param(data, id=f"{group}-{name}")
    for group, answers in broken_answers.BROKEN.items()
    for name, data in answers.items()
]


class Reader:
    """Reads answers with a client of its own.

    Args:
        rules: Rules of the answers.
        is_reused: Whether the connection has carried a request before.
        part_bytes: Length of the parts in which an answer is written.
    """

    def __init__(self, rules, is_reused=False, part_bytes=1 << 20):
        self._rules = rules
        self._is_reused = is_reused
        self._part_bytes = part_bytes
        self._data = b""

    async def _serve(self, request, writer, _reader):
        echo = self._rules.echo_header.title() + b": a1\r\n"
        if b"/first" in request.head:
            writer.write(raw_peers.answer(headers=echo))
            return True
        data = self._data.replace(broken_answers.ECHO, echo)
        for start in range(0, len(data), self._part_bytes):
            writer.write(data[start : start + self._part_bytes])
            await writer.drain()
            await asyncio.sleep(0)
        return False

    async def fetch(self, data, method="POST"):
        """Returns the transfer and the body of an answer."""
        self._data = data
        client = _upstream_client.UpstreamClient(
            force_instance=True,
            rules=_connection_rules.ConnectionRules(
                self._rules, assumes_echo=True, resets_on_close=True
            ),
        )
        async with raw_peers.RawUpstream(self._serve) as upstream:
            try:
                if self._is_reused:
                    first, _ = await _transfer(client, upstream, "/first")
                    assert first.failure is None
                transfer, body = await _transfer(
                    client, upstream, "/next", method
                )
                assert len(upstream.requests) == 1 + self._is_reused
                assert upstream.connections == 1
                return transfer, body
            finally:
                client.close()


async def _transfer(client, upstream, target, method="POST"):
    """Runs a transfer to its end; returns it and the body of its answer."""
    body = None if method == "HEAD" else b"film"
    if method == "PUT":
        body = _body_streams.UploadBuffer()
        body.feed(b"film")
        body.finish()
    transfer = client.start(
        _transfer_types.UpstreamRequest(
            upstream.address, method, target, [b"Expect:"], body, 4, 5.0, "a1"
        )
    )
    received = b""
    while not transfer.ended:
        await transfer.wait(1)
        received += transfer.read_available()
    return transfer, received + transfer.read_available()


def read_in_all_ways(check, data):
    """Reads an answer in both modes, on new and on reused connections."""

    async def main():
        for rules in RULES.values():
            for is_reused in (False, True):
                for method in ("POST", "PUT"):
                    for part_bytes in (1, 1 << 20):
                        reader = Reader(rules, is_reused, part_bytes)
                        check(rules, *await reader.fetch(data, method))

    asyncio.run(main())


@pytest.mark.parametrize("data", BROKEN)
def test_a_broken_answer_is_a_failure_with_a_reason(data):
    """Guards against spoilt heads and bodies that pass as an answer."""

    def check(_rules, transfer, body):
        assert transfer.failure is not None, body
        assert transfer.failure.kind is KIND.BROKEN
        assert transfer.failure.text

    read_in_all_ways(check, data)


@pytest.mark.parametrize("name", list(broken_answers.SOUND))
def test_a_sound_answer_is_complete(name):
    """Guards against checks that reject what upstreams may send."""
    data, expected = broken_answers.SOUND[name]

    def check(rules, transfer, body):
        if name == "until-close" and not rules.accepts_close_delimited:
            assert transfer.failure.kind is KIND.BROKEN
            return
        assert transfer.failure is None, transfer.failure
        assert transfer.head.status == 200
        assert body == expected

    read_in_all_ways(check, data)


@pytest.mark.parametrize("group", ["lengths", "codings"])
def test_a_broken_answer_to_head_is_a_failure(group):
    """Guards against lengths that callers of HEAD are told unchecked."""

    async def main():
        for name, data in broken_answers.BROKEN[group].items():
            for rules in RULES.values():
                head = data.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
                transfer, _ = await Reader(rules).fetch(head, "HEAD")
                assert transfer.failure is not None, name
                assert transfer.failure.kind is KIND.BROKEN

    asyncio.run(main())


# Guards against a part of an answer that passes as a whole one: the upstream
# has gone, and only sending the rest of the request would show it.
@pytest.mark.parametrize("length", [9, -1], ids=["length", "chunks"])
@pytest.mark.parametrize("is_sent", [False, True], ids=["cut", "sent"])
def test_an_answer_ends_with_its_connection_once_the_request_is_sent(
    length, is_sent
):
    async def serve(reader, writer):
        await reader.readuntil(b"film")
        if is_sent:
            await reader.readuntil(b"-last")
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: a1\r\n\r\npart")
        writer.close()

    async def main():
        client = raw_peers.create_client()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        upload = _body_streams.UploadBuffer()
        upload.feed(b"film")
        if is_sent:
            upload.feed(b"-last")
            upload.finish()
        transfer = client.start(
            _transfer_types.UpstreamRequest(
                f"{ip}:{port}",
                "PUT",
                "/",
                [b"Expect:", b"Request-Id: a1"],
                upload,
                length,
                5.0,
                "a1",
            )
        )
        while not transfer.ended:
            await transfer.wait(1 << 20)
        client.close()
        server.close()
        return transfer

    transfer = asyncio.run(main())
    if is_sent:
        assert transfer.failure is None
    else:
        assert transfer.failure.kind is KIND.BROKEN
        assert "being sent" in transfer.failure.text


# Guards against a reset that looks like the end of an answer: after the close
# of the other side, reading finds the end whatever comes later.
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
def test_a_reset_after_the_close_is_seen(resets):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        connection = socket.create_connection(listener.getsockname())
        with connection:
            upstream, _ = listener.accept()
            upstream.shutdown(socket.SHUT_WR)
            if resets:
                upstream.close()
                connection.send(b"film")
            user = mock.Mock(was_reset=False, has_input=True)
            _connection_rules.observe_input(connection.fileno(), True, user)
            assert user.was_reset == resets
            assert connection.recv(1) == b""
            upstream.close()


# Guards against a new connection for each request after an answer in chunks,
# and against bytes of no answer that are read as the next one.
@pytest.mark.parametrize(
    ("name", "connections"), [("trailers", 1), ("bytes-after-chunks", 3)]
)
def test_a_connection_is_reused_unless_bytes_follow_the_chunks(
    name, connections
):
    data, body = broken_answers.SOUND[name]

    async def script(_request, writer, _reader):
        writer.write(data.replace(broken_answers.ECHO, b"Request-Id: a1\r\n"))
        await writer.drain()

    async def main():
        client = raw_peers.create_client()
        async with raw_peers.RawUpstream(script) as upstream:
            for _ in range(3):
                transfer, received = await _transfer(client, upstream, "/")
                assert transfer.failure is None and received == body
            client.close()
            assert upstream.connections == connections

    asyncio.run(main())
