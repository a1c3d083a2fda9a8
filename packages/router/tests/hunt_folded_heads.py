"""Counts folded heads that pass: hunt_folded_heads.py ANSWERS UPLOADS.

An upstream, which is a process of its own, answers uploads before it has read
them, with a head in which a line begins with a blank. ANSWERS is the number of
answers, UPLOADS that of uploads at a time. No seed fixes the moments at which
bytes arrive.
"""

import asyncio
import contextlib
import multiprocessing
import socket
import sys
import threading

import raw_peers

from sycamoreloft_router import _body_streams, _transfer_types

ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nX-Note: 1\r\n esponse-Signature: 3e"
    b"\r\nContent-Length: 4\r\n\r\ndone"
)

#: Lengths of an upload and of the parts in which it is fed, in bytes.
UPLOAD_BYTES = 2_000_000
PART_BYTES = 20_000

#: Bytes of the upload that the upstream reads before it answers.
READ_BYTES = 100_000


def answer_early(connection):
    """Answers one upload, and reads on until the client closes."""
    with connection, contextlib.suppress(OSError):
        read = 0
        while read < READ_BYTES:
            read += len(connection.recv(16_384))
        connection.sendall(ANSWER)
        while connection.recv(65_536):
            pass


def serve(listener):
    """Serves connections until the process is ended."""
    while True:
        connection, _ = listener.accept()
        threading.Thread(
            target=answer_early, args=(connection,), daemon=True
        ).start()


async def upload(client, address):
    """Uploads once; returns whether the answer passed."""
    body = _body_streams.UploadBuffer()
    transfer = client.start(
        _transfer_types.UpstreamRequest(
            address,
            "PUT",
            "/",
            [b"Expect:", b"Request-Id: a1"],
            body,
            UPLOAD_BYTES,
            5.0,
            "a1",
            needs_new_connection=True,
        )
    )
    for _ in range(0, UPLOAD_BYTES, PART_BYTES):
        if transfer.ended:
            break
        body.feed(b"u" * PART_BYTES)
        await asyncio.sleep(0)
    body.finish()
    while not transfer.ended:
        await transfer.wait(1 << 20)
    return transfer.failure is None


async def main():
    """Prints how many answers passed."""
    count, uploads = int(sys.argv[1]), int(sys.argv[2])
    with socket.create_server(("127.0.0.1", 0), backlog=256) as listener:
        ip, port = listener.getsockname()
        address = f"{ip}:{port}"
        process = multiprocessing.Process(target=serve, args=(listener,))
        process.daemon = True
        process.start()
        client = raw_peers.create_client()
        passed = 0
        for _ in range(0, count, uploads):
            found = [upload(client, address) for _ in range(uploads)]
            passed += sum(await asyncio.gather(*found))
        client.close()
        process.terminate()
    print("answers", count, "uploads", uploads, "passed", passed, flush=True)


if __name__ == "__main__":
    asyncio.run(main())
