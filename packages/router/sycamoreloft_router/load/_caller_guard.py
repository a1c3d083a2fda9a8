"""Applies the limits on callers to their connections."""

import asyncio
from collections import abc
import logging
import socket
import typing

from tornado import iostream

import sycamoreloft_load
from sycamoreloft_router import (
    _answers,
    _body_streams,
    _logs,
    _metrics,
)
from sycamoreloft_router.load import _socket_buffers

_LOGGER = logging.getLogger(__name__)

#: Bytes of a request besides its body: parsed headers and the objects that
#: serve it, the receive buffer of libcurl, and a part of the answer.
REQUEST_BYTES = 24_576 + 16_384 + 65_536

#: Size of the buffer in which libcurl sends a body. 150 requests with bodies of
#: 50 KB and answers of 120 KB grew a process by 44 MB while it did not count.
SEND_BUFFER_BYTES = 65_536

#: Bytes of a request with a body that is streamed: its first part, the buffers
#: of the router and of libcurl, the system's receive buffer on the side of the
#: caller, and its send buffer on the side of the upstream.
STREAMED_BODY_BYTES = (
    4 * _body_streams.PREFIX_BYTES
    + _body_streams.BUFFER_BYTES
    + _socket_buffers.TOTAL_BYTES
)

#: Bytes of a streamed answer besides the part that waits: its next part, and
#: the system's receive buffer on the side of the upstream.
STREAMED_ANSWER_BYTES = (
    _body_streams.BUFFER_BYTES + 2 * _socket_buffers.RECEIVE_BYTES
)

#: Answer to a request for whose body there is no room.
_NO_ROOM = _answers.Refusal(
    503,
    "host-memory-full",
    "the requests and answers of callers hold as much memory as they may",
    "read the answers, and send the request again",
    retry_after_ms=1_000,
)


class GuardedConnection(typing.Protocol):
    """A connection that the guard may close."""

    stream: iostream.IOStream


class CallerGuard:
    """Counts what connections of callers hold, and closes some at a limit.

    Args:
        quotas: The limits.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        quotas: sycamoreloft_load.CallerQuotas,
        metrics: _metrics.Metrics,
    ) -> None:
        self._ledger = sycamoreloft_load.CallerLedger(quotas)
        self._metrics = metrics

    def prepare(self, listener: socket.socket) -> None:
        """Limits the system's buffers of the connections of a listener."""
        if self._ledger.quotas.limits_memory:
            _socket_buffers.limit(listener)

    def open(
        self, connection: GuardedConnection, address: str
    ) -> sycamoreloft_load.Account:
        """Counts a new connection; it, or another one, may be closed."""
        ledger = self._ledger
        account = ledger.open(address, connection)
        surplus = ledger.choose_surplus(account)
        if surplus is not None:
            is_caller_limit = (
                len(account.caller.accounts)
                > ledger.quotas.connections_per_caller
            )
            self._close(
                "caller-connections" if is_caller_limit else "connections",
                [surplus],
            )
        return account

    def close(self, account: sycamoreloft_load.Account) -> None:
        """Forgets a closed connection."""
        self._ledger.close(account)

    def record_exhaustion(self) -> None:
        """Closes connections that run no request, to free descriptors."""
        self._close("open-files", self._ledger.record_exhaustion())

    def admit(
        self, account: sycamoreloft_load.Account, length: int
    ) -> _answers.Refusal | None:
        """Admits a request whose head has arrived.

        Args:
            account: Account of its connection.
            length: Length of its body, in bytes; -1 if unknown.

        Returns:
            None, or the answer to a request that is refused.
        """
        size = REQUEST_BYTES
        if length > _body_streams.PREFIX_BYTES:
            size += STREAMED_BODY_BYTES
        elif length != 0:
            # The body and its first part are two copies. A body of unknown
            # length counts as a streamed one when it turns out to be long.
            body_bytes = length if length > 0 else _body_streams.PREFIX_BYTES
            size += SEND_BUFFER_BYTES + 2 * body_bytes
        return self._admit_bytes(account, size)

    def admit_stream(
        self, account: sycamoreloft_load.Account, length: int
    ) -> _answers.Refusal | None:
        """Admits the rest of a long body whose first part has arrived.

        Args:
            account: Account of its connection.
            length: Length of the body, in bytes; -1 if unknown.

        Returns:
            None, or the answer to a request that is refused.
        """
        if length >= 0:
            return None
        return self._admit_bytes(account, STREAMED_BODY_BYTES)

    def _admit_bytes(
        self, account: sycamoreloft_load.Account, size: int
    ) -> _answers.Refusal | None:
        ledger = self._ledger
        if ledger.admit(account, size):
            return None
        self._close("held-bytes", ledger.list_excess(size))
        if ledger.admit(account, size):
            return None
        self._record("refused-requests", account)
        return _NO_ROOM

    def hold_answer(
        self,
        account: sycamoreloft_load.Account,
        stream: iostream.IOStream,
        is_streamed: bool,
    ) -> None:
        """Counts an answer, if its caller has not read all of it.

        The connection, or others, may be closed.

        Args:
            account: Account of the connection.
            stream: Stream of the connection, to which a part was written.
            is_streamed: Whether further parts may arrive from the upstream.
        """
        if not stream.writing():
            return
        ledger = self._ledger
        # Requests that were sent ahead wait in the read buffer.
        ledger.hold_answer(
            account,
            len(stream._write_buffer)
            + stream._read_buffer_size
            + _socket_buffers.TOTAL_BYTES
            + (STREAMED_ANSWER_BYTES if is_streamed else 0),
        )
        if ledger.exceeds_bytes(account):
            self._close("held-bytes", ledger.list_excess())

    def release_answer(self, account: sycamoreloft_load.Account) -> None:
        """Counts that the caller has read what was written."""
        if account.answer_bytes:
            self._ledger.hold_answer(account, 0)

    def release(self, account: sycamoreloft_load.Account) -> None:
        """Counts the end of a request."""
        self._ledger.release(account)

    def close_stalled(self, timeout_s: float) -> None:
        """Closes connections whose answer was not read for some time."""
        self._close(
            "stalled-reader",
            self._ledger.list_stalled(
                asyncio.get_running_loop().time(),
                timeout_s,
                lambda account: _read_stream(account)._total_write_done_index,
            ),
        )

    def update_metrics(self) -> None:
        """Updates the gauges, before metrics are rendered."""
        self._metrics.set(
            "sycamoreloft_caller_connections",
            value=float(self._ledger.connection_count),
        )
        self._metrics.set(
            "sycamoreloft_caller_held_bytes",
            value=float(self._ledger.held_bytes),
        )

    def _close(
        self, limit: str, accounts: abc.Iterable[sycamoreloft_load.Account]
    ) -> None:
        for account in accounts:
            self._record(limit, account)
            _read_stream(account).close()
            # The connection itself ends in a later iteration of the event
            # loop, and its bytes must not count until then.
            self._ledger.close(account)

    def _record(self, limit: str, account: sycamoreloft_load.Account) -> None:
        self._metrics.count("sycamoreloft_caller_limits_total", limit)
        _logs.log_event(
            _LOGGER,
            logging.WARNING,
            "caller-limit-reached",
            limit=limit,
            caller=account.caller.address,
            caller_connections=len(account.caller.accounts),
            caller_bytes=account.caller.held_bytes,
            connections=self._ledger.connection_count,
            held_bytes=self._ledger.held_bytes,
        )


def _read_stream(account: sycamoreloft_load.Account) -> iostream.IOStream:
    return typing.cast(GuardedConnection, account.connection).stream
