"""Server for messages of other hosts."""

import asyncio
from collections import abc
import logging
import os
import ssl
import typing

from returns import pipeline
from tornado import iostream, tcpserver

from sycamoreloft_router import _logs, _peer_links, _traffic
import sycamoreloft_wire

_LOGGER = logging.getLogger(__name__)

#: Timeout of the handshake of an accepted connection, in seconds.
HANDSHAKE_TIMEOUT_S = 2.0

#: Sends the answer to a message; does nothing if the sender expects none.
Reply = abc.Callable[[sycamoreloft_wire.Message], None]


class MessageHandler(typing.Protocol):
    """Handles messages of other hosts."""

    def handle_message(
        self,
        sender: str,
        message: sycamoreloft_wire.Message,
        reply: Reply,
    ) -> None:
        """Handles a message of another host.

        Args:
            sender: Name of the host that sent the message.
            message: The message.
            reply: Sends the answer. It may be called at most once, also after
                this method has returned.
        """


class PeerServer(tcpserver.TCPServer):
    """Accepts connections of hosts that prove knowledge of a shared key.

    Args:
        identity: Name and keys of this host.
        handler: Handles the messages that other hosts send.
        server_tls: TLS settings of accepted connections, None for plain TCP.
    """

    def __init__(
        self,
        identity: _peer_links.PeerIdentity,
        handler: MessageHandler,
        server_tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(ssl_options=server_tls)
        self._identity = identity
        self._handler = handler
        self._streams: set[iostream.IOStream] = set()
        #: Bytes of messages received and answers sent.
        self.traffic = _traffic.Traffic()

    async def handle_stream(
        self, stream: iostream.IOStream, address: typing.Any
    ) -> None:
        """Serves one connection until it closes."""
        stream.set_nodelay(True)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                sender = await self._authenticate(stream)
        except (
            TimeoutError,
            ValueError,
            iostream.StreamClosedError,
            sycamoreloft_wire.FrameTooLong,
        ) as error:
            _logs.log_event(
                _LOGGER,
                logging.WARNING,
                "peer-refused",
                peer=str(address[0]),
                error=str(error),
            )
            stream.close()
            return
        self._streams.add(stream)
        try:
            await self._serve(stream, sender)
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _authenticate(self, stream: iostream.IOStream) -> str:
        keys = self._identity.keys
        hello = sycamoreloft_wire.decode_client_hello(
            await _peer_links.read_frame(stream)
        )
        if not pipeline.is_successful(hello):
            raise ValueError(str(hello.failure()))
        answer = sycamoreloft_wire.answer_hello(
            keys,
            hello.unwrap(),
            self._identity.host,
            os.urandom(sycamoreloft_wire.NONCE_BYTES),
        )
        if not pipeline.is_successful(answer):
            raise ValueError(str(answer.failure()))
        await _peer_links.write_frame(
            stream, sycamoreloft_wire.encode_hello(answer.unwrap())
        )
        proof = sycamoreloft_wire.decode_client_proof(
            await _peer_links.read_frame(stream)
        )
        if not pipeline.is_successful(
            proof
        ) or not sycamoreloft_wire.verify_client(
            keys, hello.unwrap(), answer.unwrap(), proof.unwrap()
        ):
            raise ValueError(
                f"host {hello.unwrap().host!r} did not prove the peer key;"
                " check that its secret is the same on both hosts"
            )
        return hello.unwrap().host

    async def _serve(self, stream: iostream.IOStream, sender: str) -> None:
        decoder = sycamoreloft_wire.FrameDecoder()
        try:
            while True:
                data = await stream.read_bytes(
                    _peer_links.MAXIMUM_READ_BYTES, partial=True
                )
                self.traffic.received += len(data)
                for frame in decoder.feed(data):
                    if not self._dispatch(stream, sender, frame):
                        return
        except iostream.StreamClosedError:
            return
        except sycamoreloft_wire.FrameTooLong as error:
            _log_bad_frame(sender, str(error))

    def _dispatch(
        self, stream: iostream.IOStream, sender: str, frame: bytes
    ) -> bool:
        """Decodes one message and passes it to the handler.

        Returns:
            Whether the connection is still usable.
        """
        envelope = sycamoreloft_wire.decode_message(frame)
        if not pipeline.is_successful(envelope):
            _log_bad_frame(sender, str(envelope.failure()))
            return False
        correlation_id = envelope.unwrap().correlation_id

        def reply(message: sycamoreloft_wire.Message) -> None:
            if correlation_id and not stream.closed():
                content = sycamoreloft_wire.encode_message(
                    correlation_id, message
                )
                self.traffic.sent += len(content) + 4
                future = stream.write(sycamoreloft_wire.encode_frame(content))
                future.add_done_callback(lambda done: done.exception())

        self._handler.handle_message(sender, envelope.unwrap().message, reply)
        return True

    def close_connections(self) -> None:
        """Closes all accepted connections."""
        for stream in list(self._streams):
            stream.close()


def _log_bad_frame(sender: str, error: str) -> None:
    _logs.log_event(
        _LOGGER,
        logging.WARNING,
        "peer-bad-frame",
        peer=sender,
        error=error,
    )
