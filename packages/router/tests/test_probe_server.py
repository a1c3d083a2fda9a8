"""Answers to readiness probes and to reads of metrics."""

import asyncio

import pytest
from tornado import netutil

from sycamoreloft_router import _probe_server


async def send_requests(port, *requests):
    """Sends requests on one connection.

    Returns:
        Status and body of each answer.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    answers = []
    for request in requests:
        writer.write(f"{request} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.partition("content-length: ")[2].split("\r\n")[0])
        body = await reader.readexactly(length)
        answers.append((int(head.split(" ")[1]), body))
    writer.close()
    return answers


# Guards against wrong answers to the load balancer and missing metrics.
@pytest.mark.parametrize(("is_ready", "status"), [(True, 200), (False, 503)])
def test_probes_and_metrics_are_answered_on_one_connection(is_ready, status):
    async def main():
        server = _probe_server.create_server(lambda: is_ready, lambda: b"m 1\n")
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        try:
            return await send_requests(
                sockets[0].getsockname()[1],
                "GET /",
                "GET /metrics",
                "GET /any?x=1",
                "POST /metrics",
                "GET /",
            )
        finally:
            server.stop()

    assert asyncio.run(main()) == [
        (status, b""),
        (200, b"m 1\n"),
        (status, b""),
        (405, b""),
        (status, b""),
    ]


# Guards against a port of probes that takes the descriptors of the host, or
# that idle connections keep from answering.
def test_idle_connections_do_not_keep_a_probe_from_its_answer():
    async def main():
        server = _probe_server.create_server(lambda: True, lambda: b"")
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        opened = [
            await asyncio.open_connection("127.0.0.1", port)
            for _ in range(_probe_server.MAXIMUM_CONNECTIONS + 20)
        ]
        try:
            return (
                await send_requests(port, "GET /"),
                len(server._connections) <= _probe_server.MAXIMUM_CONNECTIONS,
                await opened[0][0].read(),
            )
        finally:
            server.stop()
            await server.close_all_connections()
            for _, writer in opened:
                writer.close()

    assert asyncio.run(main()) == ([(200, b"")], True, b"")
