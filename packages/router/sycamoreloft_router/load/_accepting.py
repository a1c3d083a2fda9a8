"""Accepts connections, also at the limit of open files."""

import asyncio
from collections import abc
import errno
import logging
import socket
import typing

from sycamoreloft_router import _logs

_LOGGER = logging.getLogger(__name__)

#: Errors of the system that end when other connections are closed.
_EXHAUSTED = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)

#: Seconds without accepting after such an error. The listening socket stays
#: readable, so that the event loop would otherwise try again at once.
PAUSE_S = 0.1

#: Maximum number of connections accepted in one iteration of the event loop.
BATCH = 64


class Acceptor:
    """Accepts the connections of one listening socket.

    Args:
        listener: The listening socket; it must not block.
        on_connection: Called with each new connection and its address.
        on_exhausted: Called when the system allows no further connection; may
            close one.
    """

    def __init__(
        self,
        listener: socket.socket,
        on_connection: abc.Callable[[socket.socket, typing.Any], None],
        on_exhausted: abc.Callable[[], None],
    ) -> None:
        self._listener = listener
        self._on_connection = on_connection
        self._on_exhausted = on_exhausted
        self._loop = asyncio.get_running_loop()
        self._pause: asyncio.TimerHandle | None = None
        self._start()

    def stop(self) -> None:
        """Stops accepting connections."""
        if self._pause is not None:
            self._pause.cancel()
        self._loop.remove_reader(self._listener)

    def _start(self) -> None:
        self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        for _ in range(BATCH):
            try:
                connection, address = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in _EXHAUSTED:
                    raise
                self._wait(error)
                return
            connection.setblocking(False)
            self._on_connection(connection, address)

    def _wait(self, error: OSError) -> None:
        _logs.log_event(
            _LOGGER, logging.ERROR, "no-connection-accepted", error=str(error)
        )
        self._loop.remove_reader(self._listener)
        self._pause = self._loop.call_later(PAUSE_S, self._start)
        self._on_exhausted()
