"""Limits the system's buffers of connections."""

import socket

#: Sizes of the buffers. The system would let each grow to some megabytes, and
#: takes twice the size.
RECEIVE_BYTES = 131_072
SEND_BYTES = 65_536

#: Maximum memory of the system for the two buffers of a connection, in bytes.
TOTAL_BYTES = 2 * (RECEIVE_BYTES + SEND_BYTES)


def limit(connection: socket.socket) -> None:
    """Limits the buffers of a socket, and of those that it accepts."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
