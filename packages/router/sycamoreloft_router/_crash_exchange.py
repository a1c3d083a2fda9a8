"""Tells the coordinator of crashes of upstreams, and hosts of suspects.

Crashes accompany the reports to the coordinator, and the requests that it
suspects accompany its heartbeats. The heartbeats themselves name the requests
that are stopped.
"""

import asyncio
import logging

import sycamoreloft_direct
from sycamoreloft_router import (
    _crash_record,
    _datagrams,
    _direct_peers,
    _exchange_chain,
    _logs,
)

_LOGGER = logging.getLogger(__name__)

_Receiver = _exchange_chain.Receiver


class CrashExchange:
    """Sends datagrams, with news of crashes beside them.

    Implements `_direct_peers.DatagramSender`.

    Args:
        socket: Sends the datagrams.
        guard: Counts crashes of upstreams by request.
        record: Saves the crashes that the coordinator knows of.
    """

    def __init__(
        self,
        socket: _direct_peers.DatagramSender,
        guard: sycamoreloft_direct.CrashGuard,
        record: _crash_record.CrashRecord,
    ) -> None:
        self._socket = socket
        self._guard = guard
        self._record = record
        self._coordinator: _datagrams.Address | None = None

    async def open(self) -> None:
        """See `_direct_peers.DatagramSender`."""
        await self._socket.open()

    def close(self) -> None:
        """See `_direct_peers.DatagramSender`."""
        self._socket.close()

    def send(
        self, message: _datagrams.Datagram, *addresses: _datagrams.Address
    ) -> None:
        """Sends a message, and what is new about crashes."""
        self._socket.send(message, *addresses)
        if isinstance(message, _datagrams.Report):
            self._send_news(message, *addresses)
        elif isinstance(message, _datagrams.Heartbeat):
            self._coordinator = None
            self._record.request_save()
            self._send_suspects(message, *addresses)

    def _send_news(
        self, message: _datagrams.Report, address: _datagrams.Address
    ) -> None:
        """Sends the crashes and answers that the coordinator has to know."""
        if address != self._coordinator:
            self._coordinator = address
            self._guard.repeat_reports()
        report = self._guard.take_report(_read_clock())
        if not report.is_empty:
            self._socket.send(
                _datagrams.CrashNews(message.seen, report), address
            )

    def _send_suspects(
        self, message: _datagrams.Heartbeat, *addresses: _datagrams.Address
    ) -> None:
        if self._guard.is_idle:
            return
        suspected = self._guard.list_suspected(_read_clock())
        if suspected:
            self._socket.send(
                _datagrams.CrashSuspects(message.seen, suspected), *addresses
            )

    def receive(
        self,
        message: _datagrams.Datagram,
        sender: _datagrams.Address,
        forward: _Receiver,
    ) -> None:
        """Applies news of crashes, and forwards other messages.

        Args:
            message: The message.
            sender: Address of the host that sent it.
            forward: Receives messages that are not about crashes.
        """
        if isinstance(message, _datagrams.CrashNews):
            now = _read_clock()
            for request in self._guard.merge(message.report, now, now):
                _logs.log_event(
                    _LOGGER,
                    logging.WARNING,
                    "request-quarantined",
                    fingerprint=f"{request:016x}",
                    crashes=self._guard.count_crashes(request, now),
                    peer=f"{sender[0]}:{sender[1]}",
                )
        elif isinstance(message, _datagrams.CrashSuspects):
            self._guard.add_suspected(message.requests, _read_clock())
        else:
            forward(message, sender)


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
