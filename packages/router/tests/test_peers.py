"""Tests of the connections between hosts."""

import asyncio
import contextlib
import logging
import socket

import pytest
from returns import pipeline
from tornado import testing

from sycamoreloft_router import _peer_links, _peer_server
import sycamoreloft_wire

KEY = sycamoreloft_wire.SharedKey("k1", b"secret")


class EchoHandler:
    """Answers each claim request with its attempt; records all messages."""

    def __init__(self):
        self.received = []

    def handle_message(self, sender, message, reply):
        self.received.append((sender, message))
        if isinstance(message, sycamoreloft_wire.ClaimRequest):
            reply(sycamoreloft_wire.ClaimAnswer(message.attempt))


def make_claim(attempt):
    return sycamoreloft_wire.ClaimRequest("g", 1, b"i", b"f", attempt)


@contextlib.asynccontextmanager
async def open_peers(client_key=KEY):
    """Opens a server; yields its handler, its address and links to it."""
    handler = EchoHandler()
    server = _peer_server.PeerServer(
        _peer_links.PeerIdentity("server", [KEY]), handler
    )
    server.listen(0, "127.0.0.1")
    port = next(iter(server._sockets.values())).getsockname()[1]
    links = _peer_links.PeerLinks(
        _peer_links.PeerIdentity("client", [client_key])
    )
    try:
        yield handler, f"127.0.0.1:{port}", links
    finally:
        links.close()
        server.stop()
        server.close_connections()


def test_each_answer_reaches_its_own_call():
    """Guards against an answer that reaches another call."""

    async def run():
        async with open_peers() as (handler, address, links):
            answers = await asyncio.gather(
                *(
                    links.call(address, make_claim(str(number)), 5)
                    for number in range(50)
                )
            )
            verdicts = [answer.unwrap().verdict for answer in answers]
            assert verdicts == [str(number) for number in range(50)]
            assert {sender for sender, _ in handler.received} == {"client"}

    asyncio.run(run())


def test_a_host_with_a_wrong_secret_is_refused():
    """Guards against messages of a process that does not know the peer key."""

    async def run():
        forged = sycamoreloft_wire.SharedKey("k1", b"guess")
        async with open_peers(forged) as (handler, address, links):
            answer = await links.call(address, make_claim("1"), 5)
            assert not answer.failure().sent
            assert handler.received == []

    asyncio.run(run())


def test_an_unanswered_call_is_reported_as_sent():
    """Guards against reporting a message that arrived as not sent."""

    async def run():
        async with open_peers() as (_, address, links):
            message = sycamoreloft_wire.Acknowledgement()
            answer = await links.call(address, message, 0.05)
            assert answer.failure().sent

    asyncio.run(run())


@pytest.mark.parametrize(
    "data", [b"\xff\xff\xff\xff", b"\0\0\0\4junk", b"GET / HTTP/1.1\r\n\r\n"]
)
def test_invalid_data_closes_only_its_connection(data):
    """Guards against invalid data that affects other connections."""

    async def run():
        async with open_peers() as (_, address, links):
            ip, port = address.split(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(data)
            assert await reader.read() == b""
            writer.close()
            answer = await links.call(address, make_claim("1"), 5)
            assert pipeline.is_successful(answer)

    asyncio.run(run())


def test_a_refused_connection_fails_at_once_as_not_sent():
    """Guards against waiting for the timeout if a host is gone."""

    async def run():
        with socket.socket() as closed:
            # Nobody else can listen there as long as the socket is bound.
            closed.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{closed.getsockname()[1]}"
            links = _peer_links.PeerLinks(_peer_links.PeerIdentity("c", [KEY]))
            answer = await links.call(address, make_claim("1"), 60)
        assert not answer.failure().sent
        links.close()

    asyncio.run(run())


def test_a_lost_peer_is_logged_once_at_its_loss_and_at_its_return(
    caplog, monkeypatch
):
    """Guards against a log line for each retry while a host is gone."""
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(_peer_links, "INITIAL_BACKOFF_S", 0.0)
    monkeypatch.setattr(_peer_links, "MAXIMUM_BACKOFF_S", 0.0)

    async def run():
        async with open_peers() as (handler, address, links):
            away = testing.bind_unused_port()
            away[0].close()
            link = links._get_link(address)
            link._address = f"127.0.0.1:{away[1]}"
            for _ in range(5):
                assert not await links.post(address, make_claim("a"))
            link._address = address
            for _ in range(3):
                assert await links.post(address, make_claim("a"))

    asyncio.run(run())
    assert [
        record.message
        for record in caplog.records
        if record.message.startswith("peer-")
    ] == ["peer-unreachable", "peer-regained"]
