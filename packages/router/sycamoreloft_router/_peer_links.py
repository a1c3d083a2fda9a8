"""Authenticated connections to other hosts."""

import asyncio
from collections import abc
import dataclasses
import logging
import os
import ssl
import time

from returns import pipeline, result
from tornado import iostream, tcpclient

from sycamoreloft_router import _logs, _traffic
import sycamoreloft_wire

_LOGGER = logging.getLogger(__name__)

#: Time for connecting and the handshake, in seconds.
CONNECT_TIMEOUT_S = 1.0

#: Delay after a failed connection, in seconds; it doubles each time.
FIRST_BACKOFF_S = 0.05

#: Longest delay between two connections, in seconds.
LONGEST_BACKOFF_S = 1.0

#: Bytes read at once.
READ_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class PeerError:
    """A call to another host failed."""

    #: What happened.
    text: str
    #: Whether the message may have reached the other host.
    sent: bool

    def __str__(self) -> str:
        return self.text


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIdentity:
    """How a host presents itself to other hosts."""

    #: Name of the host.
    host: str
    #: Keys; the first one that both sides have is used.
    keys: abc.Sequence[sycamoreloft_wire.SharedKey]
    #: TLS settings for outgoing connections, or none for plain TCP.
    client_tls: ssl.SSLContext | None = None


class _Link:
    """One connection to one address, opened when it is needed."""

    def __init__(
        self, address: str, identity: PeerIdentity, traffic: _traffic.Traffic
    ) -> None:
        self._address = address
        self._traffic = traffic
        self._identity = identity
        self._stream: iostream.IOStream | None = None
        self._opening: asyncio.Task[bool] | None = None
        self._reader: asyncio.Task[None] | None = None
        self._calls: dict[
            int,
            asyncio.Future[result.Result[sycamoreloft_wire.Message, PeerError]],
        ] = {}
        self._correlation = 0
        self._backoff = FIRST_BACKOFF_S
        self._closed_until = 0.0
        self._is_lost = False

    async def open(self) -> bool:
        """Opens the connection unless it is open; tells whether it is."""
        if self._stream is not None:
            return True
        if time.monotonic() < self._closed_until:
            return False
        if self._opening is None:
            self._opening = asyncio.get_running_loop().create_task(
                self._connect()
            )
        return await asyncio.shield(self._opening)

    async def _connect(self) -> bool:
        stream: iostream.IOStream | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                ip, port = self._address.rsplit(":", 1)
                stream = await tcpclient.TCPClient().connect(
                    ip, int(port), ssl_options=self._identity.client_tls
                )
                stream.set_nodelay(True)
                await self._authenticate(stream)
        except (
            OSError,
            TimeoutError,
            ValueError,
            iostream.StreamClosedError,
            sycamoreloft_wire.FrameTooLong,
        ) as error:
            if stream is not None:
                stream.close()
            self._closed_until = time.monotonic() + self._backoff
            self._backoff = min(self._backoff * 2, LONGEST_BACKOFF_S)
            self._note_loss(str(error))
            return False
        finally:
            self._opening = None
        self._backoff = FIRST_BACKOFF_S
        self._note_return()
        self._stream = stream
        self._reader = asyncio.get_running_loop().create_task(
            self._read(stream)
        )
        return True

    def _note_loss(self, error: str) -> None:
        """Logs the first of the failures in a row."""
        if not self._is_lost:
            self._is_lost = True
            _logs.log_event(
                _LOGGER,
                logging.INFO,
                "peer-unreachable",
                peer=self._address,
                error=error,
            )

    def _note_return(self) -> None:
        if self._is_lost:
            self._is_lost = False
            _logs.log_event(
                _LOGGER, logging.INFO, "peer-regained", peer=self._address
            )

    async def _authenticate(self, stream: iostream.IOStream) -> None:
        keys = self._identity.keys
        hello = sycamoreloft_wire.ClientHello(
            self._identity.host,
            tuple(key.key_id for key in keys),
            os.urandom(sycamoreloft_wire.NONCE_BYTES),
        )
        await write_frame(stream, sycamoreloft_wire.encode_hello(hello))
        data = await read_frame(stream)
        proof = sycamoreloft_wire.decode_server_hello(data).bind(
            lambda answer: sycamoreloft_wire.prove_client(keys, hello, answer)
        )
        if not pipeline.is_successful(proof):
            raise ValueError(str(proof.failure()))
        await write_frame(
            stream, sycamoreloft_wire.encode_hello(proof.unwrap())
        )

    async def _read(self, stream: iostream.IOStream) -> None:
        decoder = sycamoreloft_wire.FrameDecoder()
        text = "the peer closed the connection"
        try:
            while True:
                data = await stream.read_bytes(READ_BYTES, partial=True)
                self._traffic.received += len(data)
                for frame in decoder.feed(data):
                    self._settle(frame)
        except iostream.StreamClosedError:
            pass
        except sycamoreloft_wire.FrameTooLong as error:
            text = str(error)
        finally:
            self.close(text)

    def _settle(self, frame: bytes) -> None:
        envelope = sycamoreloft_wire.decode_message(frame).value_or(None)
        if envelope is None:
            return
        future = self._calls.pop(envelope.correlation_id, None)
        if future is not None and not future.done():
            future.set_result(result.Success(envelope.message))

    def close(self, text: str) -> None:
        """Closes the connection; calls that wait for answers fail."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        calls, self._calls = self._calls, {}
        for future in calls.values():
            if not future.done():
                future.set_result(result.Failure(PeerError(text, sent=True)))

    def post(self, message: sycamoreloft_wire.Message) -> bool:
        """Sends a message that has no answer; tells whether it was sent."""
        if self._stream is None:
            return False
        self._write(0, message)
        return True

    def _write(
        self, correlation: int, message: sycamoreloft_wire.Message
    ) -> None:
        assert self._stream is not None
        content = sycamoreloft_wire.encode_message(correlation, message)
        self._traffic.sent += len(content) + 4
        future = self._stream.write(sycamoreloft_wire.encode_frame(content))
        future.add_done_callback(lambda done: done.exception())

    async def call(
        self, message: sycamoreloft_wire.Message, timeout_s: float
    ) -> result.Result[sycamoreloft_wire.Message, PeerError]:
        """Sends a message and waits for its answer."""
        started = time.monotonic()
        if self._stream is None and not await self.open():
            return result.Failure(
                PeerError(f"no connection to {self._address}", sent=False)
            )
        self._correlation += 1
        correlation = self._correlation
        loop = asyncio.get_running_loop()
        future: asyncio.Future[
            result.Result[sycamoreloft_wire.Message, PeerError]
        ] = loop.create_future()
        self._calls[correlation] = future
        try:
            self._write(correlation, message)
        except iostream.StreamClosedError:
            self._calls.pop(correlation, None)
            return result.Failure(PeerError("connection closed", sent=False))
        left = max(timeout_s - (time.monotonic() - started), 0.0)
        timer = loop.call_later(left, self._expire, correlation)
        try:
            return await future
        finally:
            timer.cancel()
            self._calls.pop(correlation, None)

    def _expire(self, correlation: int) -> None:
        future = self._calls.pop(correlation, None)
        if future is not None and not future.done():
            future.set_result(
                result.Failure(
                    PeerError(f"no answer from {self._address}", sent=True)
                )
            )


class PeerLinks:
    """Connections to other hosts by address."""

    def __init__(self, identity: PeerIdentity) -> None:
        self._identity = identity
        self._links: dict[str, _Link] = {}
        #: Bytes of messages sent and answers received.
        self.traffic = _traffic.Traffic()

    def _find(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(
                address, self._identity, self.traffic
            )
        return link

    async def call(
        self,
        address: str,
        message: sycamoreloft_wire.Message,
        timeout_s: float,
    ) -> result.Result[sycamoreloft_wire.Message, PeerError]:
        """Sends a message to the host at an address and waits for the answer.

        Args:
            address: Peer address of the host, as "ip:port".
            message: The message.
            timeout_s: Time to wait in seconds, connecting included.

        Returns:
            The answer, or why there is none.
        """
        return await self._find(address).call(message, timeout_s)

    def try_post(
        self, address: str, message: sycamoreloft_wire.Message
    ) -> bool:
        """Sends a message if the connection is open; tells whether it was."""
        link = self._links.get(address)
        try:
            return link is not None and link.post(message)
        except iostream.StreamClosedError:
            return False

    async def post(
        self, address: str, message: sycamoreloft_wire.Message
    ) -> bool:
        """Sends a message that has no answer; tells whether it was sent."""
        link = self._find(address)
        if not await link.open():
            return False
        try:
            return link.post(message)
        except iostream.StreamClosedError:
            return False

    def forget(self, address: str) -> None:
        """Closes the connection to a host that has left."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close("the host has left")

    def close(self) -> None:
        """Closes all connections."""
        for address in list(self._links):
            self.forget(address)


async def write_frame(stream: iostream.IOStream, content: bytes) -> None:
    """Writes one frame of the handshake."""
    await stream.write(sycamoreloft_wire.encode_frame(content))


async def read_frame(stream: iostream.IOStream) -> bytes:
    """Reads one frame of the handshake, at most 4 KiB long."""
    length = int.from_bytes(await stream.read_bytes(4), "big")
    if length > 4096:
        raise sycamoreloft_wire.FrameTooLong("handshake frame is too long")
    return await stream.read_bytes(length)
