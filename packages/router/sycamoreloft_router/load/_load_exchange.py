"""Tells the coordinator of loads of upstreams, and hosts of overloaded ones.

Loads accompany the reports to the coordinator and its heartbeats. Nothing is
sent where upstreams report no load.
"""

from collections import abc

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _datagrams,
    _direct_peers,
    _direct_views,
    _exchange_chain,
    _metrics,
)

#: Minimum seconds between two messages with loads to a host. Heartbeats are
#: more frequent while keys move.
SHARE_INTERVAL_S = 0.38


class LoadExchange:
    """Sends datagrams, with loads beside them.

    Implements `_direct_peers.DatagramSender`.

    Args:
        socket: Sends the datagrams.
        pool: Keeps the loads that this host knows.
        upstreams: Upstreams that this host may use.
        link_mbps: Bandwidth of this host's link, in Mbit/s.
        metrics: Metrics of the process.
        clock: Clock of the pool, in seconds.
    """

    def __init__(
        self,
        socket: _direct_peers.DatagramSender,
        pool: sycamoreloft_load.UpstreamPool,
        upstreams: _direct_views.UpstreamView,
        link_mbps: float,
        metrics: _metrics.Metrics,
        clock: abc.Callable[[], float],
    ) -> None:
        self._socket = socket
        self._pool = pool
        self._upstreams = upstreams
        self._link_mbps = link_mbps
        self._metrics = metrics
        self._clock = clock
        self._teller = sycamoreloft_load.LoadTeller()
        self._shared = sycamoreloft_load.SharedLoads()
        #: Address of the coordinator; None while this host acts as it.
        self._coordinator: _datagrams.Address | None = None
        #: Number of hosts that the coordinator knows.
        self._hosts = 0
        self._runs: dict[int, sycamoreloft_direct.UpstreamRun] = {}
        self._chosen: tuple[sycamoreloft_load.SharedLoad, ...] = ()
        self._next_choice_at = 0.0
        #: Hosts that have got the chosen loads.
        self._served: set[_datagrams.Address] = set()

    async def open(self) -> None:
        """See `_direct_peers.DatagramSender`."""
        await self._socket.open()

    def close(self) -> None:
        """See `_direct_peers.DatagramSender`."""
        self._socket.close()

    def forget_runs(self) -> None:
        """Handles a change of the upstreams that this host may use."""
        self._runs = {}

    def send(
        self, message: _datagrams.Datagram, *addresses: _datagrams.Address
    ) -> None:
        """Sends a message, and loads that its receivers may not know."""
        self._socket.send(message, *addresses)
        if isinstance(message, _datagrams.Report):
            self._tell_loads(message, *addresses)
        elif isinstance(message, _datagrams.Heartbeat):
            self._share_loads(message, *addresses)

    def _tell_loads(
        self, message: _datagrams.Report, address: _datagrams.Address
    ) -> None:
        """Tells the coordinator of loads that this host heard."""
        self._coordinator = address
        now = self._clock()
        loads = self._teller.select(
            self._pool.take_loads(now), self._hosts, now
        )
        if loads:
            self._send(
                "told",
                _datagrams.ObservedLoads(message.seen, tuple(loads)),
                address,
            )

    def _share_loads(
        self, message: _datagrams.Heartbeat, *addresses: _datagrams.Address
    ) -> None:
        """Sends hosts the loads of overloaded upstreams.

        One heartbeat is sent in several parts, to hosts with different maps.
        """
        self._coordinator = None
        now = self._clock()
        if now >= self._next_choice_at:
            self._next_choice_at = now + SHARE_INTERVAL_S
            self._served.clear()
            self._shared.add(
                (
                    sycamoreloft_load.SharedLoad(
                        sycamoreloft_load.compute_run_number(item.run),
                        item.load,
                        item.age_s,
                    )
                    for item in self._pool.take_loads(now)
                ),
                now,
            )
            limit = sycamoreloft_load.compute_message_limit(
                message.hosts, self._link_mbps, SHARE_INTERVAL_S
            )
            self._chosen = self._shared.choose(limit, now)
        receivers = [item for item in addresses if item not in self._served]
        if self._chosen and receivers:
            self._served.update(receivers)
            self._send(
                "shared",
                _datagrams.UpstreamLoads(message.seen, self._chosen),
                *receivers,
            )

    def _send(
        self,
        direction: str,
        message: _datagrams.ObservedLoads | _datagrams.UpstreamLoads,
        *addresses: _datagrams.Address,
    ) -> None:
        self._socket.send(message, *addresses)
        self._metrics.count(
            "sycamoreloft_shared_loads_total",
            direction,
            amount=len(message.loads) * len(addresses),
        )

    def receive(
        self,
        message: _datagrams.Datagram,
        sender: _datagrams.Address,
        forward: _exchange_chain.Receiver,
    ) -> None:
        """Records loads, and forwards other messages.

        Args:
            message: The message.
            sender: Address of the host that sent it.
            forward: Receives messages that carry no loads.
        """
        if isinstance(message, _datagrams.ObservedLoads):
            if self._coordinator is None:
                self._shared.add(message.loads, self._clock())
                self._record(message.loads)
        elif isinstance(message, _datagrams.UpstreamLoads):
            if sender == self._coordinator:
                self._record(message.loads)
        else:
            if isinstance(message, _datagrams.Heartbeat):
                self._hosts = message.hosts
            forward(message, sender)

    def _record(
        self, loads: abc.Iterable[sycamoreloft_load.SharedLoad]
    ) -> None:
        """Passes loads that other hosts heard to the pool."""
        if not self._runs:
            self._runs = sycamoreloft_load.index_runs(
                upstream.run for upstream in self._upstreams.list_all()
            )
        now = self._clock()
        recorded = 0
        for item in loads:
            run = self._runs.get(item.run_number)
            if run is not None:
                recorded += self._pool.record_load(
                    run, item.load, now - item.age_s
                )
        self._metrics.count(
            "sycamoreloft_shared_loads_total", "recorded", amount=recorded
        )
