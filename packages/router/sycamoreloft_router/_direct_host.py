"""The process of a direct host, which chooses upstreams itself."""

import asyncio
from collections import abc
import dataclasses
import logging
import random
import typing

from tornado import httpserver, netutil

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _answer_heads,
    _caller_connections,
    _caller_server,
    _connection_rules,
    _coordinator_role,
    _crash_exchange,
    _crash_record,
    _datagrams,
    _departure_exchange,
    _direct_execution,
    _direct_limits,
    _direct_peers,
    _direct_ports,
    _direct_services,
    _direct_views,
    _host_freshness,
    _key_directory,
    _logs,
    _metrics,
    _probe_server,
    _process_measures,
    _settings_watch,
    _store_availability,
    _store_eras,
    _supervisor,
    _table_follower,
    _ticks,
    _upstream_client,
    _upstream_notices,
)
from sycamoreloft_router.load import _admission_gate

_LOGGER = logging.getLogger(__name__)

#: Bounds of the time between two sweeps of expired entries, in seconds.
MINIMUM_SWEEP_S = 0.2
MAXIMUM_SWEEP_S = 1.0

#: Seconds after a stop request within which the load balancer notices that the
#: host is not ready: it needs two failed probes, one each second; the rest is
#: a margin.
UNREADY_NOTICE_S = 2.6

#: Seconds before the end of the grace period at which the host stops waiting
#: for requests.
GRACE_RESERVE_S = 0.4

#: Timeout of a connection to an upstream, in seconds; a connection within a
#: region takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.3

#: Seconds for which an idle connection to an upstream may be reused. Upstreams
#: close idle connections a few seconds later.
IDLE_CONNECTION_TIMEOUT_S = 8

#: Seconds without a TCP acknowledgement after which a connection is closed.
ACK_TIMEOUT_S = 2.0

#: Maximum number of connections of this host to one upstream. An upstream
#: accepts some hundreds of connections from all hosts together.
CONNECTIONS_PER_UPSTREAM = 10

#: Share of the drain time for which a leaving owner still gets requests for
#: its keys. The rest covers the delay until a host learns that the upstream
#: leaves, and the transfer of the last requests.
LEAVING_SHARE = 0.4

#: Calls to the store that each host makes after a change: one for each table.
READS_PER_CHANGE = 2

#: Share of the store's limit on reads that hosts use after a change.
STORE_READ_SHARE = 0.5

#: Upper bound of the random delay of a call to the store after a change, in
#: seconds. Together with the collection of changes and the time for which a
#: leaving owner still gets requests, it stays below the drain time of 2 s.
MAXIMUM_SPREAD_S = 0.6

#: Names of the settings that a running host can change; the others need a
#: restart.
RELOADABLE = frozenset(
    (
        "drain_s",
        "grace_s",
        "reuse_after_s",
        "store_reads_per_s",
        "retry_share",
        "retry_slack",
        "retry_window_s",
    )
)


class DirectHost:
    """Runs the process of a direct host.

    Args:
        settings: Settings of the host.
        platform: The platform.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        settings: _direct_ports.HostSettings,
        platform: _direct_ports.Platform,
        metrics: _metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._is_stopping = False
        generator = random.Random()
        self._states = _direct_views.StateView()
        self._pool = sycamoreloft_load.UpstreamPool(
            settings.failure_domain, generator
        )
        self._upstreams = _direct_views.UpstreamView(
            settings.reuse_after_s, self._update_pool
        )
        notices = _upstream_notices.UpstreamNotices(
            platform.read_notice,
            self._upstreams,
            self._pool,
            metrics,
            self._loop.time,
            # Answers are read within callbacks of libcurl, which allows no
            # changes to its transfers there.
            lambda: self._loop.call_soon(client.withdraw_unsent),
        )
        self._sweep_timer = _ticks.TickTimer(MINIMUM_SWEEP_S)
        self._directory = _key_directory.KeyDirectory()
        self._availability = _store_availability.StoreAvailability()
        #: Counts crashes of upstreams by request, and stops such requests.
        self.crash_guard = sycamoreloft_direct.CrashGuard()
        #: Follows the table of desired states.
        self.state_follower = _table_follower.TableFollower(
            "states",
            platform.states,
            self._apply_states,
            self._apply_states,
            self._choose_spread_s,
            self._observe_era,
        )
        #: Follows the table of upstreams.
        self.upstream_follower = _table_follower.TableFollower(
            "upstreams",
            platform.upstreams,
            self._replace_upstreams,
            self._apply_upstream_changes,
            self._choose_spread_s,
            self._observe_era,
        )
        freshness = _host_freshness.HostFreshness(
            self._states,
            self.state_follower,
            self.upstream_follower,
            self._update_host_count,
            self._record_store_age,
        )
        self._departures = _departure_exchange.DepartureExchange(
            _direct_peers.PeerSocket(
                settings.peer_address, self._receive_datagram
            ),
            self._upstreams,
            freshness.read_versions,
        )
        self._upstreams.recorder = self._departures
        self._crash_record = _crash_record.CrashRecord(
            _store_eras.EraObservingRecords(
                platform.records, self._observe_era
            ),
            self.crash_guard,
        )
        self._crashes = _crash_exchange.CrashExchange(
            self._departures, self.crash_guard, self._crash_record
        )
        self._role = _coordinator_role.CoordinatorRole(
            settings,
            dataclasses.replace(
                platform,
                records=self._crash_record,
                orders=_upstream_notices.ObservedOrders(
                    platform.orders,
                    notices,
                    lambda run: self._role.observe_replacement(run),
                ),
            ),
            self._states,
            self._upstreams,
            self._directory,
            metrics,
            socket=self._crashes,
            times=_direct_limits.build_lease_times(settings),
            freshness=freshness,
            guard=self.crash_guard,
        )
        client = _upstream_client.UpstreamClient(
            force_instance=True,
            connections_per_upstream=CONNECTIONS_PER_UPSTREAM,
            rules=_connection_rules.ConnectionRules(
                _answer_heads.AnswerRules(
                    platform.headers.request_id.lower().encode("latin1"), True
                ),
                CONNECT_TIMEOUT_S,
                IDLE_CONNECTION_TIMEOUT_S,
                True,
                ACK_TIMEOUT_S,
                resets_on_close=True,
            ),
        )
        self._budgets = sycamoreloft_direct.ServiceRetryBudgets(
            *_direct_limits.compute_retry_limits(settings)
        )
        self._services = _direct_services.DirectServices(
            settings.name,
            self._states,
            self._upstreams,
            self._pool,
            self._directory,
            settings.drain_s * LEAVING_SHARE,
            self._role,
            self._budgets,
            self.crash_guard,
            sycamoreloft_direct.AnsweredPaths(),
            client,
            platform.headers,
            notices,
            metrics,
            self._loop,
            generator,
            _admission_gate.create_gate(
                self._states, self._pool, generator, metrics
            ),
        )
        self._server = _caller_server.CallerServer(
            _direct_execution.DirectPath(self._services), client
        )
        self._supervisor = _supervisor.Supervisor()
        self._http_servers: list[httpserver.HTTPServer] = []

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections."""
        return (
            not self._is_stopping
            and self._states.state is not None
            and bool(self._upstreams.list_all())
        )

    @property
    def known_host_count(self) -> int:
        """Highest number of hosts in a heartbeat; 0 before the first one."""
        return self._budgets.host_count

    def apply_settings(self, settings: _direct_ports.HostSettings) -> None:
        """Applies the reloadable settings, and ignores the others."""
        self._settings = dataclasses.replace(
            self._settings,
            **{name: getattr(settings, name) for name in RELOADABLE},
        )
        self._services.leaving_s = settings.drain_s * LEAVING_SHARE
        self._upstreams.keep_s = settings.reuse_after_s
        self._budgets.set_limits(*_direct_limits.compute_retry_limits(settings))

    async def run(
        self,
        stop_requested: asyncio.Event,
        watcher: _settings_watch.SettingsWatcher[typing.Any] | None = None,
    ) -> None:
        """Serves until a stop is requested, then drains.

        Args:
            stop_requested: Set to request a stop.
            watcher: Reloads changed settings; None if settings cannot change.

        Raises:
            OSError: A port of the settings is in use.
            SupervisorFailed: A task that the process needs keeps failing.
        """
        await self._start(watcher)
        failure = self._loop.create_task(self._supervisor.wait_for_failure())
        stop = self._loop.create_task(stop_requested.wait())
        await asyncio.wait((failure, stop), return_when=asyncio.FIRST_COMPLETED)
        stop.cancel()
        if failure.done():
            failure.result()
        failure.cancel()
        await self._stop()

    async def _start(
        self, watcher: _settings_watch.SettingsWatcher[typing.Any] | None
    ) -> None:
        await self._role.open()
        self._server.listen(self._settings.caller_address)
        self._listen(self._settings.readiness_address)
        self._listen(self._settings.metrics_address)
        for name, run in (
            ("states", self.state_follower.run),
            ("upstreams", self.upstream_follower.run),
            ("coordinator", self._role.run),
            ("crash-record", self._crash_record.run),
            ("sweep", self._sweep),
        ):
            # These tasks are restarted without limit. The cause of a failure,
            # such as a row of the store, reaches every host: otherwise all
            # hosts would end. Requests are served without the task meanwhile.
            self._supervisor.start(
                _supervisor.ChildSpecification(name, run, always_restarts=True)
            )
        if watcher is not None:
            self._supervisor.start(
                _supervisor.ChildSpecification(
                    "settings", watcher.run, always_restarts=True
                )
            )
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "host-started",
            host=self._settings.name,
            failure_domain=self._settings.failure_domain,
        )

    async def _stop(self) -> None:
        started = self._loop.time()
        self._is_stopping = True
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "host-stopping",
            requests=self._server.count_requests(),
        )
        self._server.announce_stop()
        self._services.gate.stop()
        await self._role.stop()
        await asyncio.sleep(started + UNREADY_NOTICE_S - self._loop.time())
        remaining_s = started + self._settings.grace_s - self._loop.time()
        cut_off = await self._server.drain(
            max(0.1, remaining_s - GRACE_RESERVE_S)
        )
        await self._supervisor.stop_all()
        self._role.close()
        for server in self._http_servers:
            server.stop()
        _logs.log_event(_LOGGER, logging.INFO, "host-stopped", requests=cut_off)

    def _listen(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        server = _probe_server.create_server(
            lambda: self.is_ready, self._render_metrics
        )
        server.add_sockets(
            netutil.bind_sockets(
                int(port), ip, backlog=_caller_connections.MAXIMUM_PENDING
            )
        )
        self._http_servers.append(server)

    async def _sweep(self) -> None:
        while True:
            lag_s = await self._sweep_timer.sleep(
                min(
                    self._upstreams.compute_next_expiry() - self._loop.time(),
                    MAXIMUM_SWEEP_S,
                )
            )
            self._metrics.observe("sycamoreloft_loop_lag_seconds", lag_s)
            self._upstreams.sweep(self._loop.time())
            self._states.sweep(self._loop.time())

    def _schedule_sweep(self, now: float) -> None:
        if self._upstreams.compute_next_expiry() < now + MAXIMUM_SWEEP_S:
            self._sweep_timer.wake()

    def _render_metrics(self) -> bytes:
        """Updates the gauges that are set only here; renders all metrics."""
        metrics, now = self._metrics, self._loop.time()
        _process_measures.update(metrics)
        metrics.set(
            "sycamoreloft_is_coordinator",
            value=float(self._role.is_coordinator),
        )
        metrics.set(
            "sycamoreloft_keys_without_owner",
            value=float(self._role.count_unheld_keys()),
        )
        metrics.set(
            "sycamoreloft_key_map_revision",
            value=float(self._directory.key_map.revision),
        )
        metrics.set(
            "sycamoreloft_upstreams_listed",
            value=float(len(self._upstreams.list_all())),
        )
        for table, follower in (
            ("states", self.state_follower),
            ("upstreams", self.upstream_follower),
        ):
            metrics.set(
                "sycamoreloft_store_silence_seconds",
                table,
                value=now - follower.answered_at,
            )
            metrics.set(
                "sycamoreloft_store_era", table, value=float(follower.era or 0)
            )
        for service, remaining in self._budgets.list_remaining(now).items():
            metrics.set("sycamoreloft_retries_left", service, value=remaining)
        return metrics.render()

    def _choose_spread_s(self) -> float:
        """Draws a random delay before a call to the store, in seconds."""
        reads_per_s = max(self._settings.store_reads_per_s, 1.0)
        needed_s = READS_PER_CHANGE * self.known_host_count / reads_per_s
        return self._services.generator.uniform(
            0.0, min(needed_s / STORE_READ_SHARE, MAXIMUM_SPREAD_S)
        )

    def _record_store_age(self, store_age_s: float) -> None:
        """Records the store age of the coordinator's heartbeat.

        Args:
            store_age_s: Seconds since the store last answered the coordinator.
        """
        if self._availability.observe_store_age(store_age_s, self._loop.time()):
            _logs.log_event(_LOGGER, logging.INFO, "store-back")
            self.state_follower.restart_call()
            self.upstream_follower.restart_call()

    def _observe_era(self, era: int) -> None:
        """Records the era of any answer of the store."""
        self.state_follower.observe_era(era)
        self.upstream_follower.observe_era(era)

    def _update_host_count(self, count: int) -> None:
        """Records how many hosts the coordinator knows."""
        self._budgets.update_host_count(count)

    def _apply_states(self, values: abc.Mapping[str, object]) -> None:
        self._states.apply_entries(values)
        state = self._states.state
        if state is not None:
            self._server.limit_callers(
                state.bounds.header_bytes,
                state.bounds.body_bytes,
                state.bounds.idle_s,
            )
            self._metrics.set(
                "sycamoreloft_desired_state_version",
                value=float(state.version),
            )

    def _replace_upstreams(self, values: abc.Mapping[str, object]) -> None:
        returned_at = self.upstream_follower.returned_at
        if returned_at:
            self._upstreams.extend_grace(
                self._availability.compute_return_time(returned_at)
                + _direct_views.RETURN_GRACE_S
            )
        restored_at = self.upstream_follower.restored_at
        if restored_at:
            self._upstreams.record_restore(restored_at)
        now = self._loop.time()
        self._upstreams.replace_all(values, now)
        self._schedule_sweep(now)

    def _apply_upstream_changes(self, values: abc.Mapping[str, object]) -> None:
        now = self._loop.time()
        self._upstreams.apply_changes(values, now)
        self._schedule_sweep(now)

    def _receive_datagram(
        self, message: _datagrams.Datagram, sender: _datagrams.Address
    ) -> None:
        self._crashes.receive(message, sender, self._receive_other)

    def _receive_other(
        self, message: _datagrams.Datagram, sender: _datagrams.Address
    ) -> None:
        self._departures.receive(message, sender, self._role.receive)

    def _update_pool(self) -> None:
        self._pool.update(self._upstreams.list_all(), self._loop.time())
