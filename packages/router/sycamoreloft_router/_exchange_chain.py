"""Passes a datagram through the exchanges of a host."""

from collections import abc
import typing

from sycamoreloft_router import _datagrams

Receiver = abc.Callable[[_datagrams.Datagram, _datagrams.Address], None]


class Exchange(typing.Protocol):
    """Handles some kinds of datagrams, and forwards the others."""

    def receive(
        self,
        message: _datagrams.Datagram,
        sender: _datagrams.Address,
        forward: Receiver,
    ) -> None:
        """Handles or forwards a message.

        Args:
            message: The message.
            sender: Address of the host that sent it.
            forward: Receives messages of other kinds.
        """


def receive(
    exchanges: abc.Sequence[Exchange],
    last: Receiver,
    message: _datagrams.Datagram,
    sender: _datagrams.Address,
) -> None:
    """Passes a message to the exchanges in order.

    Args:
        exchanges: The exchanges.
        last: Receives messages that all exchanges forward.
        message: The message.
        sender: Address of the host that sent it.
    """
    if not exchanges:
        last(message, sender)
        return
    exchanges[0].receive(
        message,
        sender,
        lambda forwarded, origin: receive(
            exchanges[1:], last, forwarded, origin
        ),
    )
