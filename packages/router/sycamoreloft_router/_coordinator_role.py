"""Part of a host that follows the coordinator, or acts as it."""

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
    _followed_coordinator,
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

# The logger keeps the module's former name: readers of logs filter by it.
_LOGGER = logging.getLogger("sycamoreloft_router._coordinator_duty")

#: Seconds between two checks for due work while this host is the coordinator.
TICK_S = 0.05

#: Seconds between two heartbeats of the coordinator.
HEARTBEAT_INTERVAL_S = 0.4

#: Seconds between two reports of a host to the coordinator.
REPORT_INTERVAL_S = 0.25

#: Seconds without a heartbeat after which a host tries to become the
#: coordinator.
LOST_AFTER_S = 1.1

#: Product of a host's delay before it tries to become the coordinator, in
#: seconds, and its bandwidth, in Mbit/s. The coordinator sends to every host
#: and to every owner of keys, so hosts with wide links go first.
ELECTION_DELAY_S_MBPS = 5.0

#: Upper bound of that delay, in seconds.
MAXIMUM_ELECTION_DELAY_S = 0.5

#: Upper bound of a random additional delay, in seconds, so that hosts with
#: equal links do not read the store at the same moment.
MAXIMUM_ELECTION_JITTER_S = 0.2

#: Seconds since the store last answered the coordinator after which hosts that
#: reach the store try to replace it: its lease has expired by then.
BLIND_COORDINATOR_S = 2.5

#: Factor for the retry delay of a host that does not reach the store either,
#: while the coordinator still renews key leases.
BLIND_RETRY_FACTOR = 4.0

#: Bounds of the random delay between two elections of a host, in seconds, so
#: that hosts that lost the coordinator together do not read the store together.
MINIMUM_RETRY_S = 0.25
MAXIMUM_RETRY_S = 1.2


class CoordinatorRole:
    """Elects and follows the coordinator, and acts as it when elected.

    Args:
        settings: Settings of the host.
        platform: The platform.
        states: Desired state that names the sharded services.
        upstreams: Upstreams that may own keys.
        directory: Map of keys; updated from the store and from heartbeats.
        metrics: Metrics of the process.
        socket: Sends datagrams.
        times: Durations of key leases; None for the defaults.
        freshness: Provides the table versions of this host for datagrams, and
            receives those of other hosts; None ignores them.
        clock: Clock that also runs while the host is suspended, in seconds.
        generator: Source of random choices; None for a new one.
        guard: Counts crashes of upstreams by request; None for a new one.
    """

    def __init__(
        self,
        settings: _direct_ports.HostSettings,
        platform: _direct_ports.Platform,
        states: _direct_views.StateView,
        upstreams: _direct_views.UpstreamSource,
        directory: _key_directory.KeyDirectory,
        metrics: _metrics.Metrics,
        socket: _direct_peers.DatagramSender,
        times: sycamoreloft_direct.LeaseTimes | None = None,
        freshness: _freshness.Freshness | None = None,
        clock: abc.Callable[[], float] = _coordinator_lease.read_boot_clock,
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
        self._read_seen = freshness.read_versions
        self._observe_peer = freshness.observe_peer
        self._observe_host_count = freshness.observe_host_count
        self._observe_store_age = freshness.observe_store_age
        self._generator = generator or random.Random()
        self._crash_guard = guard or sycamoreloft_direct.CrashGuard()
        self._socket = socket
        self._tenure: _tenure.Tenure | None = None
        self._election_delay_s = min(
            MAXIMUM_ELECTION_DELAY_S,
            ELECTION_DELAY_S_MBPS / max(settings.link_mbps, 0.1),
        )
        self._assembler = _map_parts.MapAssembler()
        self._roster = _host_roster.HostRoster(self._socket, directory)
        self._election = _coordinator_election.CoordinatorElection(
            settings,
            platform.records,
            self._times.blind_s,
            self._election_delay_s,
            clock,
        )
        self._coordinator_address: _datagrams.Address | None = None
        self._followed = _followed_coordinator.FollowedCoordinator()
        self._heartbeat_at = -1e9
        self._blind_heartbeat_at = -1e9
        self._next_election_at = self._clock() + self._election_delay_s
        self._next_heartbeat_at = 0.0
        self._next_report_at = 0.0
        self._ticks = _ticks.TickTimer(TICK_S)
        self._reports = _host_reports.HostReports(
            settings.name, directory, self._read_seen
        )
        self._is_stopping = False
        self._moving_keys: tuple[_key_directory.MovingKeys, ...] = ()

    @property
    def is_coordinator(self) -> bool:
        """Whether this host is the coordinator."""
        return self._tenure is not None

    def count_unheld_keys(self) -> int:
        """Counts the keys that no upstream is known to hold.

        Returns:
            Number of keys; 0 if this host is not the coordinator.
        """
        return self._tenure.count_unheld_keys() if self._tenure else 0

    def observe_request(self, service: str, key: int) -> None:
        """Counts a request for a key."""
        self._reports.observe_request(service, key)

    def observe_answer(self, upstream: str, seconds: float) -> None:
        """Records an answer of an upstream that owns keys.

        Args:
            upstream: Identifier of the upstream.
            seconds: Time from the request to the answer.
        """
        self._reports.observe_answer(upstream, seconds)

    def observe_replacement(self, run: sycamoreloft_direct.UpstreamRun) -> None:
        """Ends a run because another upstream answered at its address.

        The platform assigns an address to another upstream only after the
        previous one has ended. Other hosts do not report replacements, since
        a datagram could be forged.
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
        """Does due work until cancelled."""
        while True:
            await self.step()
            await self._ticks.sleep(self._compute_due_at() - self._clock())

    def _compute_due_at(self) -> float:
        """Returns when `step` has work to do, unless a datagram arrives."""
        if self._tenure is not None:
            return 0.0
        lost_at = self._heartbeat_at + LOST_AFTER_S + self._election_delay_s
        return min(self._next_report_at, max(lost_at, self._next_election_at))

    def _request_report(self) -> None:
        self._next_report_at = 0.0
        self._ticks.wake()

    async def stop(self) -> None:
        """Resigns as the coordinator, so that another host takes over."""
        self._is_stopping = True
        tenure = self._tenure
        if tenure is None:
            return
        self._tenure = None
        await tenure.resign()
        heartbeat = _datagrams.Heartbeat(
            tenure.epoch, tenure.key_map.revision, True, (), self._read_seen()
        )
        self._roster.send_leaving(heartbeat)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    async def step(self) -> None:
        """Does the work that is due now."""
        now = self._clock()
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_S
            self._send_report()
        if self._tenure is not None:
            self._advance_tenure(self._tenure, now)
        elif (
            not self._is_stopping
            # Also without sharded services: hosts learn from the coordinator
            # which requests crash upstreams, and how many hosts share the
            # retry budgets.
            and self._states.state is not None
            and now > self._heartbeat_at + LOST_AFTER_S + self._election_delay_s
            and now >= self._next_election_at
        ):
            has_blind_peer = now <= self._blind_heartbeat_at + LOST_AFTER_S
            pause_s = await self._attempt_election(has_blind_peer)
            self._next_election_at = self._clock() + pause_s

    def _list_sharded_services(self) -> set[str]:
        state = self._states.state
        if state is None:
            return set()
        return {
            name
            for name, service in state.services.items()
            if service.is_sharded
        }

    # Election.

    async def _attempt_election(self, has_blind_peer: bool) -> float:
        """Tries to become the coordinator.

        Args:
            has_blind_peer: Whether this host receives heartbeats of a
                coordinator that does not reach the store.

        Returns:
            Seconds until the next attempt.
        """
        known = self._directory.key_map
        heard = self._followed.describe_map(known, self._clock())
        outcome = await self._election.attempt(has_blind_peer, heard)
        pause_s = self._generator.uniform(MINIMUM_RETRY_S, MAXIMUM_RETRY_S)
        if isinstance(outcome, _coordinator_election.StoreUnavailable):
            return pause_s * BLIND_RETRY_FACTOR if has_blind_peer else pause_s
        if outcome.key_map.epoch < known.epoch:
            _coordinator_logs.log_unconfirmed_epoch(
                known.epoch, outcome.key_map.epoch
            )
            self._directory.replace(outcome.key_map)
        self._directory.update(outcome.key_map)
        if isinstance(outcome, _coordinator_election.Elected):
            self._start_tenure(outcome)
            if self._is_stopping:
                # The stop was requested during the calls to the store.
                await self.stop()
            return pause_s
        if outcome.peer_address:
            self._coordinator_address = _direct_peers.parse_address(
                outcome.peer_address
            )
            self._send_report()
        if outcome.wait_s:
            # All hosts wait for the end of the same lease.
            jitter_s = self._generator.uniform(0.0, MAXIMUM_ELECTION_JITTER_S)
            return outcome.wait_s + jitter_s
        return pause_s

    def _start_tenure(self, elected: _coordinator_election.Elected) -> None:
        """Starts the tenure of this host as the coordinator."""
        acquired, before = elected.acquired, elected.before
        self._tenure = _tenure.Tenure(
            self._platform,
            self._upstreams,
            self._metrics,
            acquired,
            self._times,
            self._clock,
            self._apply_recorded_map,
        )
        self._coordinator_address = None
        if before is not None and not before.is_resigned:
            # The previous coordinator may be alive and know hosts that do not
            # reach the store. It answers a heartbeat with their addresses.
            self._roster.add(
                (_direct_peers.parse_address(before.peer_address),),
                self._clock(),
            )
        self._directory.update(acquired.key_map)
        self._next_heartbeat_at = 0.0
        _coordinator_logs.log_tenure_start(elected, self._settings.peer_address)

    def _apply_recorded_map(self, key_map: sycamoreloft_direct.KeyMap) -> None:
        self._directory.update(key_map)
        self._next_heartbeat_at = 0.0

    def _advance_tenure(self, tenure: _tenure.Tenure, now: float) -> None:
        """Advances the tenure, and sends a heartbeat if one is due."""
        try:
            tenure.tick(now, self._list_sharded_services())
        except Exception as error:  # noqa: BLE001
            # Otherwise this host would go on renewing the coordinator lease
            # but no key leases.
            tenure.fail(error)
        self._followed.observe_own_tenure(tenure.key_map.version, now)
        if tenure.is_over:
            self._tenure = None
            return
        moving = tuple(
            _key_directory.MovingKeys(service, key_range.first, key_range.last)
            for service, key_range in tenure.list_moving()
        )
        if moving != self._moving_keys or now >= self._next_heartbeat_at:
            self._moving_keys = moving
            self._send_heartbeat(tenure, now)

    def _send_heartbeat(self, tenure: _tenure.Tenure, now: float) -> None:
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        key_map = tenure.key_map
        version = key_map.version
        # These are hints: requests for moving keys beyond the maximum wait at
        # their owners instead.
        moving = self._moving_keys[: _datagrams.MAXIMUM_MOVING_RANGES]
        loop_time = asyncio.get_running_loop().time()
        self._directory.set_moving(key_map.epoch, self._moving_keys, loop_time)
        count = len(self._roster.addresses) + 1
        store_age_s = tenure.read_store_age(now)
        self._observe_host_count(count)
        self._observe_store_age(store_age_s)
        heartbeat = _datagrams.Heartbeat(
            *version,
            False,
            moving,
            self._read_seen(),
            count,
            store_age_s,
            self._crash_guard.list_stopped(loop_time),
        )
        self._roster.send_heartbeat(heartbeat, now)

    # Datagrams.

    def receive(
        self, message: _datagrams.Datagram, sender: _datagrams.Address
    ) -> None:
        """Handles a datagram of another host."""
        self._observe_peer(message.seen)
        if isinstance(message, _datagrams.Report):
            self._receive_report(message, sender)
        elif isinstance(message, _datagrams.Introduction):
            self._receive_introduction(message)
        elif isinstance(message, _datagrams.MapPart):
            self._receive_map_part(message, sender)
        elif isinstance(message, _datagrams.Heartbeat):
            self._receive_heartbeat(message, sender)

    def _receive_heartbeat(
        self,
        message: _datagrams.Heartbeat,
        sender: _datagrams.Address,
    ) -> None:
        if message.epoch < self._directory.key_map.epoch:
            return
        if self._tenure is not None:
            if message.epoch <= self._tenure.epoch:
                return
            if self._tenure.is_lease_valid(self._clock()):
                # As far as this host knows, no other host can be the
                # coordinator while the own lease is valid. The store decides.
                self._tenure.renew_soon(self._clock())
                return
            self._yield_to_successor(sender)
        if message.is_leaving:
            self._heartbeat_at = -1e9
            self._next_election_at = self._clock() + self._election_delay_s
            self._coordinator_address = None
            self._ticks.wake()
            return
        try:
            is_newer = self._apply_key_changes(message)
        except ValueError as error:
            # The coordinator does not know yet that this host restarted or
            # has another map; the next report says so.
            is_newer = True
            _coordinator_logs.log_ignored_changes(sender, error)
        if is_newer:
            self._request_report()
        if message.store_age_s > BLIND_COORDINATOR_S:
            self._blind_heartbeat_at = self._clock()
        else:
            self._heartbeat_at = self._clock()
        self._followed.observe_heartbeat(message, sender, self._clock())
        self._coordinator_address = sender
        self._observe_host_count(message.hosts)
        self._observe_store_age(message.store_age_s)
        loop_time = asyncio.get_running_loop().time()
        self._crash_guard.add_stopped(message.stopped, loop_time)
        self._directory.set_moving(message.epoch, message.moving, loop_time)

    def _receive_map_part(
        self, part: _datagrams.MapPart, sender: _datagrams.Address
    ) -> None:
        """Adds a part of the coordinator's map of keys."""
        version = (part.epoch, part.revision)
        if (
            self._tenure is not None
            or version <= self._directory.key_map.version
        ):
            return
        try:
            key_map = self._assembler.add(part)
        except ValueError as error:
            _coordinator_logs.log_ignored_changes(sender, error)
            return
        if key_map is not None and self._directory.update(key_map):
            self._request_report()

    def _yield_to_successor(self, successor: _datagrams.Address) -> None:
        """Ends the own tenure, and sends the known hosts to the successor."""
        if self._tenure is not None:
            self._tenure.end("superseded")
            self._tenure = None
        hosts = tuple(
            host for host in self._roster.addresses if host != successor
        )
        self._roster.clear()
        step = _datagrams.HOSTS_PER_INTRODUCTION
        for start in range(0, len(hosts), step):
            part = hosts[start : start + step]
            self._socket.send(
                _datagrams.Introduction(self._read_seen(), part), successor
            )

    def _receive_introduction(self, message: _datagrams.Introduction) -> None:
        """Adds hosts of the previous coordinator, and sends a heartbeat."""
        if self._tenure is None:
            return
        self._roster.add(message.hosts, self._clock())
        self._next_heartbeat_at = 0.0

    def _apply_key_changes(self, message: _datagrams.Heartbeat) -> bool:
        """Applies the key changes of a heartbeat.

        Returns:
            Whether the map is newer than before.

        Raises:
            ValueError: The changes are malformed, or based on a map that this
                host does not have.
        """
        if not message.key_changes:
            return False
        return self._directory.apply_encoded_changes(message.key_changes)

    def _receive_report(
        self, message: _datagrams.Report, sender: _datagrams.Address
    ) -> None:
        tenure = self._tenure
        if tenure is None:
            return
        version = (message.epoch, message.revision)
        if self._roster.add_report(sender, version, self._clock()):
            self._next_heartbeat_at = 0.0
        tenure.record_observations(message)

    def _send_report(self) -> None:
        report = self._reports.create_report()
        if self._tenure is not None:
            self._tenure.record_observations(report)
        elif self._coordinator_address is not None:
            self._socket.send(report, self._coordinator_address)
