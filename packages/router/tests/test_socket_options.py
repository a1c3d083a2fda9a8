"""Tests of socket options, and of the number of system calls for them."""

import asyncio
import contextlib
import socket
import struct

import pytest
import raw_peers
from tornado import iostream

from sycamoreloft_router import (
    _caller_streams,
    _connection_rules,
    _transfer_types,
)


@pytest.fixture
def connection():
    """A connected socket on the loopback interface."""
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as client,
        contextlib.closing(server.accept()[0]),
    ):
        yield client


def test_the_limits_of_a_silence_leave_the_socket_open(connection):
    """Guards against a lost peer whose connection stays open for ever."""
    rules = _connection_rules.ConnectionRules(ack_timeout_s=2.0)
    _connection_rules.set_socket_options(connection.fileno(), rules)
    options = [
        connection.getsockopt(socket.IPPROTO_TCP, option)
        for option in (
            socket.TCP_USER_TIMEOUT,
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_KEEPCNT,
        )
    ]
    assert options == [2000, 1, 1, 1]
    assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1


# Guards against requests that arrive after they were abandoned: data of a
# connection that the operating system gives up can still be delivered, data of
# a connection that this process resets cannot.
def test_only_this_process_gives_up_a_connection_that_drops(connection):
    rules = _connection_rules.ConnectionRules(resets_on_close=True)
    _connection_rules.set_socket_options(connection.fileno(), rules)
    linger = connection.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
    assert struct.unpack("ii", linger) == (1, 0)
    assert not connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert not connection.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
    )


def test_answers_are_sent_without_delay_by_one_call(connection, monkeypatch):
    """Guards against repeated system calls for each answer."""
    connection.setblocking(False)
    calls = []
    set_option = iostream.IOStream.set_nodelay

    def count_call(stream, value):
        calls.append(value)
        set_option(stream, value)

    monkeypatch.setattr(iostream.IOStream, "set_nodelay", count_call)

    async def main():
        stream = _caller_streams.CallerStream(connection)
        for _ in range(3):
            for value in (True, False):
                stream.set_nodelay(value)
                assert connection.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY
                )
        stream.close()

    asyncio.run(main())
    assert calls == [True]


def test_a_transfer_begins_in_the_turn_of_its_start(run):
    """Guards against a needless iteration of the event loop per request."""

    async def script(_request, writer, _reader):
        writer.write(raw_peers.answer(b"x"))
        await writer.drain()
        return True

    async def scenario(client):
        async with raw_peers.RawUpstream(script) as upstream:
            transfer = client.start(
                _transfer_types.UpstreamRequest(
                    upstream.address, "GET", "/", [], None, 0, 5.0, "a1"
                )
            )
            assert transfer.opened_socket
            await transfer.wait(1)
            assert transfer.read_available() == b"x"

    run(scenario)
