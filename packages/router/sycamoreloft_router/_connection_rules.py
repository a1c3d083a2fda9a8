"""Rules for opening, reusing and closing connections to other processes."""

import dataclasses
import fcntl
import select
import socket
import struct
import sys
import termios
import typing

from sycamoreloft_router import _answer_heads
from sycamoreloft_router.load import _socket_buffers

#: Maximum idle time of a connection that is reused, in seconds. An upstream
#: that closes idle connections earlier would give the next request an unknown
#: outcome.
IDLE_CONNECTION_S = 15

#: Maximum number of connections whose sockets are tracked; the least recently
#: used ones are dropped first.
MAXIMUM_SOCKETS = 4096

#: Maximum time to open a connection, in seconds. Inside a region, opening one
#: takes about 1 ms.
CONNECT_TIMEOUT_S = 1.0

#: State of a TCP socket without a connection (TCP_CLOSE of Linux). After an
#: orderly close by the peer, a socket is in another state.
_TCP_CLOSE = 7

#: IP addresses and ports of the peer and of this host, as libcurl reports them.
Endpoints = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionRules:
    """Rules for connections to upstreams."""

    #: Rules for the answers on the connections.
    answers: _answer_heads.AnswerRules = _answer_heads.AnswerRules()
    #: Maximum time to open a connection, in seconds.
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    #: Maximum idle time of a connection that is reused, in whole seconds.
    idle_connection_s: int = IDLE_CONNECTION_S
    #: Whether an upstream is assumed to repeat the identifier of the attempt
    #: before its first answer, so that its first connection is reused, too.
    assumes_echo: bool = False
    #: Time without a TCP acknowledgement after which the operating system
    #: closes a connection, in seconds. 0 disables it; the deadline of the
    #: request then bounds the wait.
    ack_timeout_s: float = 0.0
    #: Whether closing a connection resets it and drops undelivered data, so
    #: that an abandoned request cannot arrive later.
    resets_on_close: bool = False
    #: Maximum number of connections to all upstreams together; 0 for no limit.
    total_connections: int = 0
    #: Whether the system's buffers of a connection are limited.
    limits_buffers: bool = False


class SocketUser(typing.Protocol):
    """A request that was sent on a connection."""

    #: Descriptor of the connection's socket; -1 before the request is sent.
    descriptor: int
    #: Whether the request has ended.
    ended: bool
    #: Whether a byte of an answer arrived, or the peer closed the connection.
    has_input: bool
    #: Whether the connection was reset.
    was_reset: bool

    @property
    def is_observed(self) -> bool:
        """Whether the input of the connection is still to be observed."""

    @property
    def is_head_open(self) -> bool:
        """Whether the head of the answer has not arrived completely."""

    def observe_head(self, data: bytes) -> None:
        """Records bytes of the head that have arrived."""


class PooledSockets:
    """Sockets of pooled connections, to check for unexpected input.

    libcurl checks a pooled connection before its reuse only if the connection
    was idle for a while. Without this check, a second answer to the previous
    request would be read as the answer to the next one, and a connection that
    the peer has closed would give the next request an unknown outcome.
    """

    def __init__(self) -> None:
        # A closed connection stays in the table until its addresses are used
        # again or it is the least recently used one. It is never looked up in
        # between, because libcurl does not reuse it.
        self._descriptors: dict[Endpoints, int] = {}
        #: The latest user of each socket, by descriptor.
        self.users: dict[int, SocketUser] = {}

    def add(self, endpoints: Endpoints, descriptor: int) -> None:
        """Records the socket of a new connection."""
        self._descriptors.pop(endpoints, None)
        self._descriptors[endpoints] = descriptor
        if len(self._descriptors) > MAXIMUM_SOCKETS:
            del self._descriptors[next(iter(self._descriptors))]

    def set_user(self, endpoints: Endpoints, user: SocketUser) -> None:
        """Records that a request is about to be sent on a connection."""
        descriptor = self._descriptors.get(endpoints)
        if descriptor is not None:
            user.descriptor = descriptor
            self.users[descriptor] = user

    def is_readable(self, endpoints: Endpoints) -> bool:
        """Returns whether the peer has sent bytes or closed the connection."""
        descriptor = self._descriptors.pop(endpoints, None)
        if descriptor is None:
            return False
        self._descriptors[endpoints] = descriptor
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))


def observe_input(descriptor: int, is_readable: bool, user: SocketUser) -> None:
    """Records the input that libcurl is about to read, or a reset.

    No system call takes bytes or the error from the socket.

    Args:
        descriptor: File descriptor of the socket.
        is_readable: Whether the socket was reported as readable.
        user: The request that was sent on the connection.
    """
    queued = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4))
    size = int.from_bytes(queued, sys.byteorder)
    connection = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
        fileno=descriptor,
    )
    try:
        if size:
            user.has_input = True
            if user.is_head_open:
                size = min(size, _answer_heads.MAXIMUM_HEAD_BYTES)
                user.observe_head(connection.recv(size, socket.MSG_PEEK))
        elif _is_closed(connection):
            user.was_reset = True
        elif is_readable:
            user.has_input = True
    finally:
        connection.detach()


def _is_closed(connection: socket.socket) -> bool:
    """Returns whether a socket has no connection any more."""
    state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return state == _TCP_CLOSE


def set_socket_options(descriptor: int, rules: ConnectionRules) -> None:
    """Sets the options of a new socket.

    If closing a connection drops undelivered data, an abandoned request does
    not arrive when a network partition heals. This holds only if this process
    closes the connection, not if the operating system does after the
    acknowledgement timeout.

    Args:
        descriptor: File descriptor of the socket.
        rules: Rules for its connection.
    """
    if not (
        rules.ack_timeout_s or rules.resets_on_close or rules.limits_buffers
    ):
        return
    # Each argument that is left out would cost a system call.
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
        if rules.limits_buffers:
            _socket_buffers.limit(connection)
        if rules.ack_timeout_s:
            _set_ack_timeout(connection, rules.ack_timeout_s)
    finally:
        connection.detach()


def _set_ack_timeout(connection: socket.socket, seconds: float) -> None:
    """Makes the system close a connection that gets no acknowledgement.

    Args:
        connection: The connection.
        seconds: Time without an acknowledgement.
    """
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
