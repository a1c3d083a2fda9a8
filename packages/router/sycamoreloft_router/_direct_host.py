"""The process of a direct host, which chooses upstreams itself."""

import asyncio
from collections import abc
import dataclasses
import logging
import random
import typing

from tornado import httpserver

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _caller_server,
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
    _exchange_chain,
    _host_freshness,
    _host_gauges,
    _key_directory,
    _logs,
    _metrics,
    _probe_server,
    _relay_exchange,
    _settings_watch,
    _store_availability,
    _store_eras,
    _supervisor,
    _table_follower,
    _ticks,
    _upstream_client,
    _upstream_notices,
)
from sycamoreloft_router.load import (
    _admission_gate,
    _load_exchange,
    _pace_reports,
    _pool_updates,
)

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

#: Share of that delay for hosts that lose the coordinator: they call the store
#: for one table only, and have waited for a heartbeat before.
RETURN_SPREAD_SHARE = 0.5


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
        self._pace_reports = _pace_reports.PaceReports(self._pool, metrics)
        self._upstreams = _direct_views.UpstreamView(
            settings.reuse_after_s, self._update_pool
        )
        self._pool_updates = _pool_updates.PoolUpdates(
            self._pool,
            self._upstreams,
            self._loop.time,
            lambda: self._loop.call_soon(client.withdraw_unsent),
        )
        self._pool_updates.apply_settings(settings)
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
            self._replace_states,
            self._change_states,
            self._choose_spread_s,
            self._observe_era,
        )
        #: Follows the table of upstreams.
        self.upstream_follower = _table_follower.TableFollower(
            "upstreams",
            platform.upstreams,
            self._replace_upstreams,
            self._apply_upstream_changes,
            lambda: 0.0 if self._relay.is_source else self._choose_spread_s(),
            self._observe_era,
        )
        freshness = _host_freshness.HostFreshness(
            self._states,
            self.state_follower,
            self.upstream_follower,
            self._update_host_count,
            self._record_store_age,
        )
        self._relay = _relay_exchange.RelayExchange(
            _direct_peers.PeerSocket(
                settings.peer_address, self._receive_datagram
            ),
            self.upstream_follower,
            settings,
            freshness.read_versions,
            lambda: self._directory.key_map.epoch,
            lambda: self._role.is_coordinator,
            lambda: RETURN_SPREAD_SHARE * self._choose_spread_s(),
            metrics,
            generator.getrandbits(32),
        )
        self._loads = _load_exchange.LoadExchange(
            self._relay,
            self._pool,
            self._upstreams,
            settings.link_mbps,
            metrics,
            self._loop.time,
        )
        self._departures = _departure_exchange.DepartureExchange(
            self._loads,
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
            self._pool_updates,
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
            rules=_direct_limits.build_connection_rules(
                settings, platform.headers.request_id
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
            _direct_execution.DirectPath(self._services),
            client,
            _direct_limits.build_caller_limits(settings),
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
            **{
                name: getattr(settings, name)
                for name in _direct_limits.RELOADABLE
            },
        )
        self._services.leaving_s = settings.drain_s * LEAVING_SHARE
        self._upstreams.keep_s = settings.reuse_after_s
        self._pool_updates.apply_settings(settings)
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
        self._http_servers = [
            _probe_server.listen(
                address, lambda: self.is_ready, self._render_metrics
            )
            for address in (
                self._settings.readiness_address,
                self._settings.metrics_address,
            )
        ]
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
            self._pace_reports.update(self._loop.time())

    def _schedule_sweep(self, now: float) -> None:
        if self._upstreams.compute_next_expiry() < now + MAXIMUM_SWEEP_S:
            self._sweep_timer.wake()

    def _render_metrics(self) -> bytes:
        """Updates the gauges that are set only here; renders all metrics."""
        metrics, now = self._metrics, self._loop.time()
        _host_gauges.update(
            metrics,
            now,
            self._role,
            self._directory,
            self._upstreams,
            self.state_follower,
            self.upstream_follower,
        )
        self._server.update_metrics()
        self._pool_updates.record_metrics(metrics)
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
        self._pool_updates.update_host_count(count)

    def _replace_states(self, values: abc.Mapping[str, object]) -> None:
        self._pool_updates.evacuations.replace_all(values)
        self._apply_states(values)

    def _change_states(self, values: abc.Mapping[str, object]) -> None:
        self._pool_updates.evacuations.apply_changes(values)
        self._apply_states(values)

    def _apply_states(self, values: abc.Mapping[str, object]) -> None:
        self._states.apply_entries(values)
        state = self._states.state
        if state is not None:
            self._pool_updates.apply_state(state)
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
        self._relay.record_read()

    def _apply_upstream_changes(
        self, values: abc.Mapping[str, typing.Any]
    ) -> None:
        now = self._loop.time()
        self._upstreams.apply_changes(values, now)
        self._schedule_sweep(now)
        self._relay.record_changes(values)

    def _receive_datagram(
        self, message: _datagrams.Datagram, sender: _datagrams.Address
    ) -> None:
        _exchange_chain.receive(
            (self._crashes, self._departures, self._loads, self._relay),
            self._role.receive,
            message,
            sender,
        )

    def _update_pool(self) -> None:
        self._pool_updates.update()
        self._loads.forget_runs()
