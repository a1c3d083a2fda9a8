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

#: Timeout of a connection attempt, handshake included, in seconds.
CONNECT_TIMEOUT_S = 1.0

#: Delay after the first failed connection attempt, in seconds. It doubles with
#: each further failure.
INITIAL_BACKOFF_S = 0.05

#: Maximum delay between two connection attempts, in seconds.
MAXIMUM_BACKOFF_S = 1.0

#: Maximum number of bytes that one read returns.
MAXIMUM_READ_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class PeerError:
    """Why a call to another host failed."""

    #: Description of the failure, for logs.
    text: str
    #: Whether the message may have reached the other host.
    sent: bool

    def __str__(self) -> str:
        return self.text


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Name and keys with which a host authenticates to other hosts."""

    #: Name of this host, which other hosts take as the sender of its messages.
    host: str
    #: Keys that this host knows; the first one that both hosts know is used.
    keys: abc.Sequence[sycamoreloft_wire.SharedKey]
    #: TLS settings of outgoing connections, None for plain TCP.
    client_tls: ssl.SSLContext | None = None


class _Link:
    """Connection to one address, opened on demand and again after a loss."""

    def __init__(
        self, address: str, identity: PeerIdentity, traffic: _traffic.Traffic
    ) -> None:
        self._address = address
        self._traffic = traffic
        self._identity = identity
        self._stream: iostream.IOStream | None = None
        self._connect_task: asyncio.Task[bool] | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._calls: dict[
            int,
            asyncio.Future[result.Result[sycamoreloft_wire.Message, PeerError]],
        ] = {}
        self._latest_correlation_id = 0
        self._backoff_s = INITIAL_BACKOFF_S
        self._retry_at = 0.0
        self._is_failing = False

    async def open(self) -> bool:
        """Opens the connection unless it is open already.

        Returns:
            Whether the connection is open; False also during the delay after
            a failed attempt.
        """
        if self._stream is not None:
            return True
        if time.monotonic() < self._retry_at:
            return False
        if self._connect_task is None:
            self._connect_task = asyncio.get_running_loop().create_task(
                self._connect()
            )
        return await asyncio.shield(self._connect_task)

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
            self._retry_at = time.monotonic() + self._backoff_s
            self._backoff_s = min(self._backoff_s * 2, MAXIMUM_BACKOFF_S)
            self._log_first_failure(str(error))
            return False
        finally:
            self._connect_task = None
        self._backoff_s = INITIAL_BACKOFF_S
        self._log_recovery()
        self._stream = stream
        self._read_task = asyncio.get_running_loop().create_task(
            self._read(stream)
        )
        return True

    def _log_first_failure(self, error: str) -> None:
        """Logs the first of several consecutive failures."""
        if not self._is_failing:
            self._is_failing = True
            _logs.log_event(
                _LOGGER,
                logging.INFO,
                "peer-unreachable",
                peer=self._address,
                error=error,
            )

    def _log_recovery(self) -> None:
        if self._is_failing:
            self._is_failing = False
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
                data = await stream.read_bytes(MAXIMUM_READ_BYTES, partial=True)
                self._traffic.received += len(data)
                for frame in decoder.feed(data):
                    self._resolve_call(frame)
        except iostream.StreamClosedError:
            pass
        except sycamoreloft_wire.FrameTooLong as error:
            text = str(error)
        finally:
            self.close(text)

    def _resolve_call(self, frame: bytes) -> None:
        envelope = sycamoreloft_wire.decode_message(frame).value_or(None)
        if envelope is None:
            return
        future = self._calls.pop(envelope.correlation_id, None)
        if future is not None and not future.done():
            future.set_result(result.Success(envelope.message))

    def close(self, text: str) -> None:
        """Closes the connection and fails the calls that wait for answers.

        Args:
            text: Description of the reason, for the errors of these calls.
        """
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        calls, self._calls = self._calls, {}
        for future in calls.values():
            if not future.done():
                future.set_result(result.Failure(PeerError(text, sent=True)))

    def post(self, message: sycamoreloft_wire.Message) -> bool:
        """Sends a message without an answer if the connection is open.

        Returns:
            Whether the message was sent.
        """
        if self._stream is None:
            return False
        self._write(0, message)
        return True

    def _write(
        self, correlation_id: int, message: sycamoreloft_wire.Message
    ) -> None:
        assert self._stream is not None
        content = sycamoreloft_wire.encode_message(correlation_id, message)
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
        self._latest_correlation_id += 1
        correlation_id = self._latest_correlation_id
        loop = asyncio.get_running_loop()
        future: asyncio.Future[
            result.Result[sycamoreloft_wire.Message, PeerError]
        ] = loop.create_future()
        self._calls[correlation_id] = future
        try:
            self._write(correlation_id, message)
        except iostream.StreamClosedError:
            self._calls.pop(correlation_id, None)
            return result.Failure(PeerError("connection closed", sent=False))
        remaining_s = max(timeout_s - (time.monotonic() - started), 0.0)
        timer = loop.call_later(
            remaining_s, self._fail_with_timeout, correlation_id
        )
        try:
            return await future
        finally:
            timer.cancel()
            self._calls.pop(correlation_id, None)

    def _fail_with_timeout(self, correlation_id: int) -> None:
        future = self._calls.pop(correlation_id, None)
        if future is not None and not future.done():
            future.set_result(
                result.Failure(
                    PeerError(f"no answer from {self._address}", sent=True)
                )
            )


class PeerLinks:
    """Connections to other hosts, one for each address.

    Args:
        identity: Name and keys of this host.
    """

    def __init__(self, identity: PeerIdentity) -> None:
        self._identity = identity
        self._links: dict[str, _Link] = {}
        #: Bytes of messages sent and answers received.
        self.traffic = _traffic.Traffic()

    def _get_link(self, address: str) -> _Link:
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
            message: Message to send.
            timeout_s: Timeout in seconds, connecting included.

        Returns:
            The answer, or why the call failed.
        """
        return await self._get_link(address).call(message, timeout_s)

    def try_post(
        self, address: str, message: sycamoreloft_wire.Message
    ) -> bool:
        """Sends a message without an answer if the connection is open.

        Returns:
            Whether the message was sent.
        """
        link = self._links.get(address)
        try:
            return link is not None and link.post(message)
        except iostream.StreamClosedError:
            return False

    async def post(
        self, address: str, message: sycamoreloft_wire.Message
    ) -> bool:
        """Sends a message without an answer; opens the connection if needed.

        Returns:
            Whether the message was sent.
        """
        link = self._get_link(address)
        if not await link.open():
            return False
        try:
            return link.post(message)
        except iostream.StreamClosedError:
            return False

    def close_link(self, address: str) -> None:
        """Closes the connection to a host that has left."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close("the host has left")

    def close(self) -> None:
        """Closes all connections."""
        for address in list(self._links):
            self.close_link(address)


async def write_frame(stream: iostream.IOStream, content: bytes) -> None:
    """Writes one frame of the handshake."""
    await stream.write(sycamoreloft_wire.encode_frame(content))


async def read_frame(stream: iostream.IOStream) -> bytes:
    """Reads one frame of the handshake.

    Raises:
        FrameTooLong: The frame is longer than 4 KiB.
    """
    length = int.from_bytes(await stream.read_bytes(4), "big")
    if length > 4096:
        raise sycamoreloft_wire.FrameTooLong("handshake frame is too long")
    return await stream.read_bytes(length)
