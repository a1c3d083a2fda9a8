"""How connections to other processes are made, kept and given up."""

import dataclasses
import select
import socket
import struct

from sycamoreloft_router import _answer_heads

#: Seconds for which an idle connection is reused. Upstreams that close idle
#: connections earlier would turn the next request into an unknown outcome.
IDLE_CONNECTION_S = 15

#: Connections whose sockets are remembered; those that were not used for
#: longest are forgotten.
MAXIMUM_SOCKETS = 4096

#: Seconds within which a connection must be made; a connection inside a
#: region takes about 1 ms.
CONNECT_TIMEOUT_S = 1.0

#: Addresses and ports of the peer and of this host, as libcurl tells them.
Endpoints = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionRules:
    """How connections to upstreams are made and kept."""

    #: What the upstreams' protocol says of answers.
    answers: _answer_heads.AnswerRules = _answer_heads.AnswerRules()
    #: Seconds within which a connection must be made.
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    #: Whole seconds for which an idle connection is reused.
    idle_connection_s: int = IDLE_CONNECTION_S
    #: Whether an upstream counts as repeating the identifier of the attempt
    #: until it answers without it: its first connection is kept as well.
    assumes_echo: bool = False
    #: Seconds after which a peer that acknowledges nothing is given up; 0
    #: leaves that to the deadline of the request.
    ack_timeout_s: float = 0.0
    #: Whether closing a connection drops what was not delivered.
    resets_on_close: bool = False


class KeptSockets:
    """Tells whether a kept connection has bytes that nobody asked for.

    libcurl looks at a connection again only if it was idle for a while. A
    second answer to the request before would be read as the answer to the
    next one, and the end of the connection as an unknown outcome.
    """

    def __init__(self) -> None:
        # A connection that ends stays here until its addresses come again
        # or it is forgotten; nobody asks for it meanwhile.
        self._descriptors: dict[Endpoints, int] = {}

    def add(self, endpoints: Endpoints, descriptor: int) -> None:
        """Notes the socket of a new connection."""
        self._descriptors.pop(endpoints, None)
        self._descriptors[endpoints] = descriptor
        if len(self._descriptors) > MAXIMUM_SOCKETS:
            del self._descriptors[next(iter(self._descriptors))]

    def is_readable(self, endpoints: Endpoints) -> bool:
        """Tells whether there are bytes, or the peer closed."""
        descriptor = self._descriptors.pop(endpoints, None)
        if descriptor is None:
            return False
        self._descriptors[endpoints] = descriptor
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))


def set_options(descriptor: int, rules: ConnectionRules) -> None:
    """Sets the options of a new socket.

    If closing a connection drops what was not delivered, a request that was
    given up does not arrive when a partition heals. That holds only if this
    process closes the connection, and not the system because of silence.

    Args:
        descriptor: The socket.
        rules: How its connection is kept and given up.
    """
    if not (rules.ack_timeout_s or rules.resets_on_close):
        return
    # Without these arguments it would ask the system for each of them.
    connection = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
        fileno=descriptor,
    )
    try:
        if rules.resets_on_close:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        if rules.ack_timeout_s:
            _limit_silence(connection, rules.ack_timeout_s)
    finally:
        connection.detach()


def _limit_silence(connection: socket.socket, seconds: float) -> None:
    """Lets the system close a connection whose peer acknowledges nothing."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, int(seconds / 2))),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, max(1, int(seconds / 2))),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            round(seconds * 1000),
        ),
    )
    for level, option, value in options:
        connection.setsockopt(level, option, value)
