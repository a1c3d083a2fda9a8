"""The socket for datagrams between hosts."""

import asyncio
from collections import abc
import logging
import typing

from sycamoreloft_router import _datagram_codec, _datagrams, _logs

_LOGGER = logging.getLogger(__name__)

#: Minimum seconds between two log lines about malformed datagrams with the same
#: peer and kind of error.
LOG_INTERVAL_S = 1.0

#: Maximum number of pairs of peer and kind of error for which the time of the
#: next log line is stored.
MAXIMUM_LOGGED_SOURCES = 1_000


class DatagramSender(typing.Protocol):
    """Sends datagrams to other hosts."""

    async def open(self) -> None:
        """Prepares for sending; messages sent earlier are dropped."""

    def send(
        self, message: _datagrams.Datagram, *addresses: _datagrams.Address
    ) -> None:
        """Sends a message to hosts; it may be lost."""

    def close(self) -> None:
        """Stops sending; messages sent later are dropped."""


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    Args:
        address: Address to bind, as "ip:port".
        on_message: Called with each message and its sender.
    """

    def __init__(
        self,
        address: str,
        on_message: abc.Callable[
            [_datagrams.Datagram, _datagrams.Address], None
        ],
    ) -> None:
        self._address = address
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self._next_log_at: dict[tuple[str, str], float] = {}

    async def open(self) -> None:
        """Binds the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=parse_address(self._address)
        )

    def send(
        self, message: _datagrams.Datagram, *addresses: _datagrams.Address
    ) -> None:
        """Sends a message to hosts; it may be lost."""
        if self._transport is None or self._transport.is_closing():
            return
        data = _datagram_codec.encode(message)
        if len(data) > _datagrams.MAXIMUM_DATAGRAM_BYTES:
            _logs.log_event(
                _LOGGER,
                logging.ERROR,
                "datagram-too-long",
                peers=len(addresses),
                kind=type(message).__name__,
                bytes=len(data),
            )
            return
        for address in addresses:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Decodes a datagram and passes it on; a malformed one is ignored."""
        try:
            message = _datagram_codec.decode(data)
        except _datagram_codec.DatagramError as error:
            self._log_ignored(str(addr[0]), error, len(data))
            return
        self._on_message(message, (str(addr[0]), int(addr[1])))

    def _log_ignored(
        self, peer: str, error: _datagram_codec.DatagramError, size: int
    ) -> None:
        """Logs a malformed datagram, limited by `LOG_INTERVAL_S`."""
        now = asyncio.get_running_loop().time()
        source = (peer, error.kind)
        if now < self._next_log_at.get(source, now):
            return
        if len(self._next_log_at) >= MAXIMUM_LOGGED_SOURCES:
            self._next_log_at.clear()
        self._next_log_at[source] = now + LOG_INTERVAL_S
        _logs.log_event(
            _LOGGER,
            logging.WARNING,
            "datagram-ignored",
            peer=peer,
            kind=error.kind,
            reason=error.reason,
            bytes=size,
        )

    def error_received(self, exc: Exception) -> None:
        """Logs an error of the socket, such as an unreachable host."""
        _logs.log_event(
            _LOGGER, logging.DEBUG, "datagram-failed", error=str(exc)
        )


def parse_address(address: str) -> _datagrams.Address:
    """Parses an address of the form "ip:port"."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
