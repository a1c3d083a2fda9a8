"""Tests how connections are accepted at the limit of open files."""

import asyncio
import errno
import socket

from sycamoreloft_router.load import _accepting


class FullListener:
    """A listening socket that has no descriptor for some connections."""

    def __init__(self, listener, failures):
        self._listener = listener
        self._failures = failures
        self.attempts = 0

    def fileno(self):
        """Returns the descriptor."""
        return self._listener.fileno()

    def accept(self):
        """Accepts a connection."""
        self.attempts += 1
        if self.attempts <= self._failures:
            raise OSError(errno.EMFILE, "Too many open files")
        return self._listener.accept()


def test_accepting_goes_on_after_the_limit_of_open_files(monkeypatch):
    """Guards against a loop that spins on EMFILE, or that stops accepting."""
    monkeypatch.setattr(_accepting, "PAUSE_S", 0.001)

    async def main():
        accepted, exhausted = [], []
        done = asyncio.Event()

        def on_connection(connection, address):
            accepted.append(connection)
            done.set()

        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            full = FullListener(listener, 3)
            acceptor = _accepting.Acceptor(
                full, on_connection, lambda: exhausted.append(1)
            )
            with socket.create_connection(listener.getsockname()):
                async with asyncio.timeout(10):
                    await done.wait()
                acceptor.stop()
                accepted.pop().close()
        assert len(exhausted) == 3

    asyncio.run(main())
