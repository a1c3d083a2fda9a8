"""Becomes the coordinator when there is none, and does its work."""

import asyncio
from collections import abc
import logging
import random

import sycamoreloft_direct
from sycamoreloft_router import (
    _coordinator_election,
    _coordinator_lease,
    _coordinator_logs,
    _datagrams,
    _direct_peers,
    _direct_ports,
    _direct_views,
    _freshness,
    _host_reports,
    _host_roster,
    _key_directory,
    _logs,
    _map_parts,
    _metrics,
    _tenure,
    _ticks,
)

_LOGGER = logging.getLogger(__name__)

#: Seconds between two looks at what is due.
TICK_S = 0.05

#: Seconds between two heartbeats.
HEARTBEAT_S = 0.4

#: Seconds between two reports of a host.
REPORT_S = 0.25

#: Seconds without a heartbeat after which a host asks the store.
HEARTBEAT_LOST_S = 1.1

#: Time by which a host waits longer before it asks, in seconds times its
#: bandwidth in megabits a second. The coordinator talks to every host and to
#: every owner of keys, so hosts with wide links go first.
YIELD_S_MBPS = 5.0

#: Longest such time, in seconds.
LONGEST_YIELD_S = 0.5

#: Longest random time besides, in seconds: hosts with links alike do not ask
#: together.
ASK_JITTER_S = 0.2

#: Seconds since the store answered the coordinator from which on hosts that
#: reach the store take its place: its lease has ended by then.
BLIND_COORDINATOR_S = 2.5

#: Factor for the time until a host asks again that did not reach the store
#: itself, while the coordinator still renews the leases of keys.
BLIND_ASK_FACTOR = 4.0

#: Seconds between two such questions, at least and at most: hosts that lost
#: the coordinator together do not ask together.
LEAST_ASK_S = 0.25
MOST_ASK_S = 1.2


class CoordinatorRole:
    """Runs beside the requests of a host.

    Args:
        settings: Settings of the host.
        platform: The platform.
        states: Desired state.
        upstreams: Upstreams.
        directory: Map of keys that requests use.
        metrics: Metrics of the process.
        times: Durations of key leases.
        freshness: Tells and hears how new the copies of tables are.
        clock: Clock that also runs while the host is suspended, in seconds.
        socket: Sends datagrams; None for a socket of the settings' address.
        generator: Source of random choices.
        guard: Requests that crash upstreams.
    """

    def __init__(
        self,
        settings: _direct_ports.HostSettings,
        platform: _direct_ports.Platform,
        states: _direct_views.StateView,
        upstreams: _direct_views.UpstreamView,
        directory: _key_directory.KeyDirectory,
        metrics: _metrics.Metrics,
        times: sycamoreloft_direct.LeaseTimes | None = None,
        freshness: _freshness.Freshness | None = None,
        clock: abc.Callable[[], float] = _coordinator_lease.read_boot_clock,
        socket: _direct_peers.Sender | None = None,
        generator: random.Random | None = None,
        guard: sycamoreloft_direct.CrashGuard | None = None,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._states = states
        self._upstreams = upstreams
        self._directory = directory
        self._metrics = metrics
        self._times = times or sycamoreloft_direct.LeaseTimes()
        self._clock = clock
        freshness = freshness or _freshness.Freshness()
        self._seen = freshness.read
        self._on_seen = freshness.hear
        self._on_hosts = freshness.hear_hosts
        self._on_store_age = freshness.hear_store
        self._generator = generator or random.Random()
        self._guard = guard or sycamoreloft_direct.CrashGuard()
        self._socket = socket or _direct_peers.PeerSocket(
            settings.peer_address, self.receive
        )
        self._tenure: _tenure.Tenure | None = None
        self._yield_s = min(
            LONGEST_YIELD_S, YIELD_S_MBPS / max(settings.link_mbps, 0.1)
        )
        self._assembler = _map_parts.MapAssembler()
        self._roster = _host_roster.HostRoster(self._socket, directory)
        self._bid = _coordinator_election.CoordinatorElection(
            settings,
            platform.records,
            self._times.blind_s,
            self._yield_s,
            clock,
        )
        self._coordinator_address: _datagrams.Address | None = None
        self._followed = _coordinator_logs.FollowedCoordinator()
        self._heard_at = -1e9
        self._blind_heard_at = -1e9
        self._ask_at = self._clock() + self._yield_s
        self._beat_at = 0.0
        self._report_at = 0.0
        self._ticks = _ticks.TickTimer(TICK_S)
        self._reports = _host_reports.HostReports(
            settings.name, directory, self._seen, self._guard
        )
        self._is_stopping = False
        self._moving: tuple[_key_directory.MovingKeys, ...] = ()

    @property
    def is_coordinator(self) -> bool:
        """Whether this host acts as the coordinator."""
        return self._tenure is not None

    def count_unheld_keys(self) -> int:
        """Counts the keys that no upstream is known to hold.

        Returns:
            The number; 0 if this host is not the coordinator.
        """
        return self._tenure.count_unheld_keys() if self._tenure else 0

    def observe_request(self, service: str, key: int) -> None:
        """Counts a request for a key."""
        self._reports.observe_request(service, key)

    def observe_answer(self, upstream: str, seconds: float) -> None:
        """Counts an answer of an upstream that owns keys."""
        self._reports.observe_answer(upstream, seconds)

    def observe_replacement(self, run: sycamoreloft_direct.UpstreamRun) -> None:
        """Takes that another upstream answers at the address of a run.

        Addresses are assigned again after their upstreams have ended. Only
        what this host saw itself counts: a datagram could be forged.
        """
        if self._tenure is not None:
            self._tenure.end_run(run)
            _logs.log_event(
                _LOGGER, logging.INFO, "upstream-replaced", upstream=run.id
            )

    async def open(self) -> None:
        """Opens the socket for datagrams."""
        await self._socket.open()

    async def run(self) -> None:
        """Does what is due until it is cancelled."""
        while True:
            await self.step()
            await self._ticks.sleep(self._find_due() - self._clock())

    def _find_due(self) -> float:
        """Returns when something is due, unless a datagram changes it."""
        if self._tenure is not None:
            return 0.0
        lost_at = self._heard_at + HEARTBEAT_LOST_S + self._yield_s
        return min(self._report_at, max(lost_at, self._ask_at))

    def _report_soon(self) -> None:
        self._report_at = 0.0
        self._ticks.wake()

    async def stop(self) -> None:
        """Gives the duty up, so that another host takes it at once."""
        self._is_stopping = True
        tenure = self._tenure
        if tenure is None:
            return
        self._tenure = None
        await tenure.resign()
        beat = _datagrams.Heartbeat(
            tenure.epoch, tenure.key_map.revision, True, (), self._seen()
        )
        self._roster.tell_leaving(beat)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    async def step(self) -> None:
        """Does what is due now."""
        now = self._clock()
        if now >= self._report_at:
            self._report_at = now + REPORT_S
            self._report()
        if self._tenure is not None:
            self._act(self._tenure, now)
        elif (
            not self._is_stopping
            and self._has_sharded()
            and now > self._heard_at + HEARTBEAT_LOST_S + self._yield_s
            and now >= self._ask_at
        ):
            hears_blind = now <= self._blind_heard_at + HEARTBEAT_LOST_S
            pause_s = await self._ask(hears_blind)
            self._ask_at = self._clock() + pause_s

    def _has_sharded(self) -> bool:
        return bool(self._list_sharded())

    def _list_sharded(self) -> set[str]:
        state = self._states.state
        if state is None:
            return set()
        return {
            name
            for name, service in state.services.items()
            if service.is_sharded
        }

    # Becoming the coordinator.

    async def _ask(self, hears_blind: bool) -> float:
        """Asks the store who is the coordinator, and takes over if nobody.

        Args:
            hears_blind: Whether a coordinator is there that the store does
                not answer.

        Returns:
            Seconds until this host may ask again.
        """
        heard = self._directory.key_map.version
        outcome = await self._bid.make(hears_blind)
        pause_s = self._generator.uniform(LEAST_ASK_S, MOST_ASK_S)
        if isinstance(outcome, _coordinator_election.Unreached):
            return pause_s * BLIND_ASK_FACTOR if hears_blind else pause_s
        if outcome.key_map.epoch < heard[0]:
            _coordinator_logs.log_unconfirmed(heard[0], outcome.key_map.epoch)
            self._directory.replace(outcome.key_map)
        self._directory.take(outcome.key_map)
        if isinstance(outcome, _coordinator_election.Won):
            self._begin(outcome)
            if self._is_stopping:
                # The stop came while the store was asked.
                await self.stop()
            return pause_s
        if outcome.peer_address:
            self._coordinator_address = _direct_peers.parse_address(
                outcome.peer_address
            )
            self._report()
        if outcome.wait_s:
            # All hosts see the same end; those with wide links come first.
            jitter_s = self._generator.uniform(0.0, ASK_JITTER_S)
            return outcome.wait_s + jitter_s
        return pause_s

    def _begin(self, won: _coordinator_election.Won) -> None:
        """Begins to act as the coordinator."""
        taken, before = won.taken, won.before
        self._tenure = _tenure.Tenure(
            self._platform,
            self._upstreams,
            self._metrics,
            taken,
            self._times,
            self._clock,
            self._take_map,
        )
        self._coordinator_address = None
        if before is not None and not before.is_resigned:
            # It may be there still, and know hosts that miss the store.
            self._roster.add(
                (_direct_peers.parse_address(before.peer_address),),
                self._clock(),
            )
        self._directory.take(taken.key_map)
        self._beat_at = 0.0
        _coordinator_logs.log_beginning(won, self._settings.peer_address)

    def _take_map(self, key_map: sycamoreloft_direct.KeyMap) -> None:
        self._directory.take(key_map)
        self._beat_at = 0.0

    def _act(self, tenure: _tenure.Tenure, now: float) -> None:
        """Acts as the coordinator, and tells the other hosts."""
        try:
            tenure.act(now, self._list_sharded())
        except Exception as error:  # noqa: BLE001
            # It would go on renewing its lease, and no leases of keys.
            tenure.fail(error)
        if tenure.is_over:
            self._tenure = None
            return
        moving = tuple(
            _key_directory.MovingKeys(service, item.first, item.last)
            for service, item in tenure.list_moving()
        )
        if moving != self._moving or now >= self._beat_at:
            self._moving = moving
            self._beat(tenure, now)

    def _beat(self, tenure: _tenure.Tenure, now: float) -> None:
        self._beat_at = now + HEARTBEAT_S
        key_map = tenure.key_map
        order = key_map.version
        # Hints only: requests for further moving keys wait at their owners.
        moving = self._moving[: _datagrams.MOST_MOVING]
        loop_time = asyncio.get_running_loop().time()
        self._directory.take_notice(key_map.epoch, self._moving, loop_time)
        count = len(self._roster.addresses) + 1
        store_age_s = tenure.read_store_age(now)
        self._on_hosts(count)
        self._on_store_age(store_age_s)
        beat = _datagrams.Heartbeat(
            *order,
            False,
            moving,
            self._seen(),
            count,
            store_age_s,
            self._guard.list_stopped(loop_time),
        )
        self._roster.tell(beat, now)

    # Datagrams.

    def receive(
        self, message: _datagrams.Datagram, sender: _datagrams.Address
    ) -> None:
        """Takes a datagram of another host."""
        self._on_seen(message.seen)
        if isinstance(message, _datagrams.Report):
            self._receive_report(message, sender)
        elif isinstance(message, _datagrams.Introduction):
            self._receive_introduction(message)
        elif isinstance(message, _datagrams.MapPart):
            self._receive_map_part(message, sender)
        elif message.epoch >= self._directory.key_map.epoch:
            self._receive_heartbeat(message, sender)

    def _receive_heartbeat(
        self,
        message: _datagrams.Heartbeat,
        sender: _datagrams.Address,
    ) -> None:
        if self._tenure is not None:
            if message.epoch <= self._tenure.epoch:
                return
            if self._tenure.is_confirmed(self._clock()):
                # Nobody can have taken the duty yet, as far as is known.
                self._tenure.doubt(self._clock())
                return
            self._yield_to(sender)
        if message.is_leaving:
            self._heard_at = -1e9
            self._ask_at = self._clock() + self._yield_s
            self._coordinator_address = None
            self._ticks.wake()
            return
        try:
            is_newer = self._take_owners(message)
        except ValueError as error:
            # The coordinator does not know that this host has started anew,
            # or took another map; the report tells it.
            is_newer = True
            _coordinator_logs.log_ignored_changes(sender, error)
        if is_newer:
            self._report_soon()
        if message.store_age_s > BLIND_COORDINATOR_S:
            self._blind_heard_at = self._clock()
        else:
            self._heard_at = self._clock()
        self._followed.note(message.epoch, sender, self._clock())
        self._coordinator_address = sender
        self._on_hosts(message.hosts)
        self._on_store_age(message.store_age_s)
        loop_time = asyncio.get_running_loop().time()
        self._guard.add_stopped(message.stopped, loop_time)
        self._directory.take_notice(message.epoch, message.moving, loop_time)

    def _receive_map_part(
        self, part: _datagrams.MapPart, sender: _datagrams.Address
    ) -> None:
        """Takes a part of the map of the coordinator."""
        order = (part.epoch, part.revision)
        if self._tenure is not None or order <= self._directory.key_map.version:
            return
        try:
            key_map = self._assembler.add(part)
        except ValueError as error:
            _coordinator_logs.log_ignored_changes(sender, error)
            return
        if key_map is not None and self._directory.take(key_map):
            self._report_soon()

    def _yield_to(self, successor: _datagrams.Address) -> None:
        """Ends the own duty because another host has it by now."""
        if self._tenure is not None:
            self._tenure.end("superseded")
            self._tenure = None
        hosts = tuple(
            item for item in self._roster.addresses if item != successor
        )
        self._roster.clear()
        step = _datagrams.HOSTS_PER_INTRODUCTION
        for start in range(0, len(hosts), step):
            part = hosts[start : start + step]
            self._socket.send(
                _datagrams.Introduction(self._seen(), part), successor
            )

    def _receive_introduction(self, message: _datagrams.Introduction) -> None:
        """Tells hosts of another coordinator that this host replaced it."""
        if self._tenure is None:
            return
        self._roster.add(message.hosts, self._clock())
        self._beat_at = 0.0

    def _take_owners(self, message: _datagrams.Heartbeat) -> bool:
        """Takes the changes of a heartbeat; tells whether the map is newer.

        Raises:
            ValueError: It is malformed, or changes another map.
        """
        if not message.key_changes:
            return False
        return self._directory.take_changes(message.key_changes)

    def _receive_report(
        self, message: _datagrams.Report, sender: _datagrams.Address
    ) -> None:
        tenure = self._tenure
        if tenure is None:
            return
        order = (message.epoch, message.revision)
        if self._roster.note_report(sender, order, self._clock()):
            self._beat_at = 0.0
        tenure.take_observations(message)
        self._guard.record_report(
            message.host, message.crashes, asyncio.get_running_loop().time()
        )

    def _report(self) -> None:
        report = self._reports.take()
        if self._tenure is not None:
            self._tenure.take_observations(report)
        elif self._coordinator_address is not None:
            self._socket.send(report, self._coordinator_address)
