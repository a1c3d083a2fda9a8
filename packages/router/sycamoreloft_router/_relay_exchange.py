"""Passes changes of the table of upstreams from the coordinator to hosts.

The changes accompany the heartbeats of the coordinator role. A host that is
passed all changes makes no calls to the store for them.
"""

import asyncio
from collections import abc
import logging

import sycamoreloft_direct
from sycamoreloft_router import (
    _coordinator_lease,
    _datagrams,
    _direct_peers,
    _direct_ports,
    _exchange_chain,
    _logs,
    _metrics,
    _table_follower,
)

_LOGGER = logging.getLogger(__name__)

#: Minimum seconds between two searches for hosts that lack changes, apart from
#: the one after each change. Heartbeats are more frequent while keys move.
SEARCH_INTERVAL_S = 0.2

#: Seconds added to the delay of a timer, so that a deadline has passed when it
#: fires.
TIMER_MARGIN_S = 0.002

_Receiver = _exchange_chain.Receiver


class RelayExchange:
    """Sends datagrams, with changes of the table beside them.

    Implements `_direct_peers.DatagramSender`.

    Args:
        socket: Sends the datagrams.
        follower: Follows the table of upstreams.
        settings: Settings of the host.
        read_versions: Returns the versions of the platform's tables that this
            host has read.
        read_epoch: Returns the epoch of the newest map of keys; heartbeats of
            earlier coordinators are ignored.
        is_coordinator: Returns whether this host is the coordinator.
        choose_delay_s: Returns a random delay of the first call to the store
            of a host that is no longer passed changes, in seconds.
        metrics: Metrics of the process.
        first_number: Number of the first request to a coordinator.
        clock: Clock that also runs while the host is suspended, in seconds.
    """

    def __init__(
        self,
        socket: _direct_peers.DatagramSender,
        follower: _table_follower.TableFollower,
        settings: _direct_ports.HostSettings,
        read_versions: abc.Callable[[], _datagrams.SeenVersions],
        read_epoch: abc.Callable[[], int],
        is_coordinator: abc.Callable[[], bool],
        choose_delay_s: abc.Callable[[], float],
        metrics: _metrics.Metrics,
        first_number: int = 0,
        clock: abc.Callable[[], float] = _coordinator_lease.read_boot_clock,
    ) -> None:
        self._socket = socket
        self._follower = follower
        self._settings = settings
        self._read_versions = read_versions
        self._read_epoch = read_epoch
        self._is_coordinator = is_coordinator
        self._choose_delay_s = choose_delay_s
        self._metrics = metrics
        self._clock = clock
        self._relay = sycamoreloft_direct.TableRelay(
            settings.relay_minimum_hosts, first_number
        )
        self._log = sycamoreloft_direct.TableLog()
        self._witnesses = sycamoreloft_direct.WitnessRoster()
        #: Number of hosts that the coordinator knows.
        self._hosts = 0
        #: Epoch of the last heartbeat that this host sent.
        self._epoch = 0
        self._next_search_at = 0.0
        self._cause: sycamoreloft_direct.FollowCause | None = (
            sycamoreloft_direct.FollowCause.UNREAD
        )
        #: Newest version because of which the whole table was read.
        self._read_base = sycamoreloft_direct.TableVersion(0, 0)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    @property
    def is_relayed(self) -> bool:
        """Whether this host is passed the changes of the table."""
        return self._cause is None

    @property
    def is_source(self) -> bool:
        """Whether this host follows the table for others."""
        return (
            self._hosts >= self._settings.relay_minimum_hosts
            and self._cause
            in (
                sycamoreloft_direct.FollowCause.COORDINATOR,
                sycamoreloft_direct.FollowCause.WITNESS,
            )
        )

    async def open(self) -> None:
        """See `_direct_peers.DatagramSender`."""
        await self._socket.open()

    def close(self) -> None:
        """See `_direct_peers.DatagramSender`."""
        if self._timer is not None:
            self._timer.cancel()
        self._socket.close()

    def send(
        self, message: _datagrams.Datagram, *addresses: _datagrams.Address
    ) -> None:
        """Sends a message, and what hosts lack of the table."""
        self._socket.send(message, *addresses)
        if isinstance(message, _datagrams.Heartbeat):
            self._hosts = 0 if message.is_leaving else message.hosts
            self._epoch = message.epoch
            now = self._clock()
            if now >= self._next_search_at:
                self._next_search_at = now + SEARCH_INTERVAL_S
                self._witnesses.update(_get_version(message.seen), now)
                self._send_changes(message.seen)
            self._update()
        elif isinstance(message, _datagrams.Report):
            for address in addresses:
                self._send_request(message.seen, address)
            self._update()

    # The coordinator's part.

    def record_read(self) -> None:
        """Records that the follower read the whole table."""
        self._log.restart(self._follower.known_version)
        if self._may_offer():
            # A host that is current by its version may lack removals.
            notice = sycamoreloft_direct.TableChanges(
                self._log.era, self._log.base, self._log.base, {}
            )
            self._socket.send(
                _datagrams.RelayedChanges(self._read_versions(), notice),
                *self._witnesses.members,
            )
        self._update()

    def record_changes(
        self,
        values: abc.Mapping[str, sycamoreloft_direct.Upstream | None],
    ) -> None:
        """Records changes of the table, and passes them on.

        Args:
            values: Changed entries by identifier; None for a removed one.
        """
        self._log.add(
            self._follower.newest, self._follower.known_version.version, values
        )
        self._send_changes(self._read_versions())
        self._update()

    def _may_offer(self) -> bool:
        return (
            self._is_coordinator()
            and self._hosts >= self._settings.relay_minimum_hosts
            and self._log.era != sycamoreloft_direct.UNREAD_ERA
            and self._log.era == self._follower.known_version.era
            and not self._is_restore_hidden()
        )

    def _is_restore_hidden(self) -> bool:
        """Returns whether other hosts could not tell that a restore happened.

        Versions of a restored store that names no era may have two meanings.
        """
        return (
            self._follower.era == _direct_ports.UNKNOWN_ERA
            and self._follower.restored_at > 0.0
        )

    def _send_changes(self, seen: _datagrams.SeenVersions) -> None:
        """Sends to each host the changes that it lacks."""
        if not self._may_offer():
            return
        lacking = self._witnesses.list_lacking(
            _get_version(seen), self._clock()
        )
        for newest, addresses in lacking.items():
            for changes in self._log.list_since(newest):
                self._socket.send(
                    _datagrams.RelayedChanges(seen, changes), *addresses
                )
                self._metrics.count(
                    "sycamoreloft_relayed_changes_total",
                    "sent",
                    amount=len(addresses),
                )

    def _answer_request(
        self, message: _datagrams.RelayRequest, sender: _datagrams.Address
    ) -> None:
        if not self._may_offer() or not self._witnesses.add_request(
            sender,
            message.failure_domain,
            _get_version(message.seen),
            self._clock(),
        ):
            return
        known = self._follower.known_version
        offer = sycamoreloft_direct.Offer(
            self._epoch,
            message.number,
            sender in self._witnesses.witnesses,
            sycamoreloft_direct.TableVersion(self._log.era, self._log.base),
            self._log.head,
            known.version,
        )
        self._socket.send(
            _datagrams.RelayOffer(self._read_versions(), offer), sender
        )

    # The part of the other hosts.

    def _send_request(
        self, seen: _datagrams.SeenVersions, address: _datagrams.Address
    ) -> None:
        number = self._relay.take_request(address, self._clock())
        if number is not None:
            self._socket.send(
                _datagrams.RelayRequest(
                    seen, number, self._settings.failure_domain
                ),
                address,
            )

    def receive(
        self,
        message: _datagrams.Datagram,
        sender: _datagrams.Address,
        forward: _Receiver,
    ) -> None:
        """Applies changes of the table, and forwards other messages.

        Args:
            message: The message.
            sender: Address of the host that sent it.
            forward: Receives messages that are not about passing changes on.
        """
        if isinstance(message, _datagrams.RelayRequest):
            self._answer_request(message, sender)
        elif isinstance(message, _datagrams.RelayOffer):
            self._receive_offer(message.offer, sender)
        elif isinstance(message, _datagrams.RelayedChanges):
            self._receive_changes(message.changes, sender)
        else:
            if isinstance(message, _datagrams.Heartbeat):
                self._receive_heartbeat(message, sender)
            elif isinstance(message, _datagrams.Report):
                self._witnesses.add_report(
                    sender, _get_version(message.seen), self._clock()
                )
            forward(message, sender)

    def _receive_heartbeat(
        self, message: _datagrams.Heartbeat, sender: _datagrams.Address
    ) -> None:
        if self._is_coordinator() or message.epoch < self._read_epoch():
            return
        if message.is_leaving:
            self._relay.observe_leave()
        else:
            self._hosts = message.hosts
            self._relay.observe_heartbeat(
                sycamoreloft_direct.CoordinatorState(
                    sender,
                    message.epoch,
                    message.hosts,
                    message.store_age_s,
                    _get_version(message.seen),
                ),
                self._follower.known_version,
                self._clock(),
            )
        self._update()

    def _receive_offer(
        self, offer: sycamoreloft_direct.Offer, sender: _datagrams.Address
    ) -> None:
        if (
            self._relay.observe_offer(sender, offer, self._clock())
            and offer.base.era == self._follower.era
        ):
            self._follower.skip_unchanged(offer.head, offer.version)
        self._update()

    def _receive_changes(
        self,
        changes: sycamoreloft_direct.TableChanges,
        sender: _datagrams.Address,
    ) -> None:
        if self._cause is not None or sender != self._relay.coordinator:
            return
        if self._follower.apply_relayed(changes):
            if changes.values:
                self._metrics.count(
                    "sycamoreloft_relayed_changes_total", "applied"
                )
        elif changes.era == self._follower.era:
            self._relay.observe_base(
                sycamoreloft_direct.TableVersion(changes.era, changes.before)
            )
        self._update()

    def _update(self) -> None:
        """Follows the store, or stops following it, as the relay decides."""
        now = self._clock()
        known = self._follower.known_version
        cause = self._relay.find_cause(
            known, now, is_coordinator=self._is_coordinator()
        )
        offer = self._relay.offer
        if (
            cause is sycamoreloft_direct.FollowCause.GAP
            and offer is not None
            and self._read_base < offer.base
        ):
            # The coordinator read the whole table, perhaps after an outage of
            # the store: entries that the table lacks may return.
            self._read_base = offer.base
            self._follower.restart_call()
        if cause is not self._cause:
            self._record_cause(cause)
        is_common = cause in sycamoreloft_direct.COMMON_CAUSES
        self._follower.set_relayed(
            cause is None, self._choose_delay_s() if is_common else 0.0
        )
        if cause is None:
            self._schedule(self._relay.compute_next_check(), now)

    def _record_cause(
        self, cause: sycamoreloft_direct.FollowCause | None
    ) -> None:
        if self._cause is None and cause is not None:
            self._metrics.count("sycamoreloft_relay_ends_total", cause.value)
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "table-source-changed",
            table="upstreams",
            source="store" if cause is not None else "coordinator",
            cause=cause.value if cause is not None else "offer",
            version=self._follower.known_version.version,
            era=self._follower.known_version.era,
        )
        self._cause = cause
        self._metrics.set(
            "sycamoreloft_table_relayed", value=float(cause is None)
        )

    def _schedule(self, due_at: float, now: float) -> None:
        """Calls `_update` at a time, unless it is called earlier already."""
        if self._timer is not None:
            if self._timer_at <= due_at:
                return
            self._timer.cancel()
        self._timer_at = due_at
        self._timer = asyncio.get_running_loop().call_later(
            max(0.0, due_at - now) + TIMER_MARGIN_S, self._handle_timer
        )

    def _handle_timer(self) -> None:
        self._timer = None
        self._update()


def _get_version(
    seen: _datagrams.SeenVersions,
) -> sycamoreloft_direct.TableVersion:
    return sycamoreloft_direct.TableVersion(seen.upstreams_era, seen.upstreams)
