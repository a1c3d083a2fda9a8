"""A host that chooses upstreams itself, with all its parts."""

import asyncio
from collections import abc
import dataclasses
import logging
import random
import typing

from tornado import httpserver, netutil

import sycamoreloft_direct
from sycamoreloft_router import (
    _answer_heads,
    _caller_connections,
    _caller_server,
    _connection_rules,
    _coordinator_role,
    _datagrams,
    _direct_ports,
    _direct_run,
    _direct_services,
    _direct_views,
    _freshness,
    _key_directory,
    _logs,
    _metrics,
    _probe_server,
    _process_measures,
    _settings_watch,
    _store_availability,
    _supervisor,
    _table_follower,
    _ticks,
    _upstream_client,
)

_LOGGER = logging.getLogger(__name__)

#: Seconds between two looks at what time alone changes, at least and at most.
SWEEP_S = 0.2
LONGEST_SWEEP_S = 1.0

#: Seconds after a request to stop in which the load balancer notices that the
#: host is not ready: two misses of a probe each second, and one to spare.
UNREADY_S = 2.6

#: Seconds that are left of the grace period when the host ends.
GRACE_RESERVE_S = 0.4

#: Seconds within which an upstream accepts a connection; one inside a region
#: takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.3

#: Seconds for which an idle connection to an upstream is reused. Upstreams
#: close theirs after a few seconds more.
IDLE_CONNECTION_S = 8

#: Seconds without an acknowledgement after which a connection is given up.
SILENCE_S = 2.0

#: Connections of this host to one upstream. Upstreams accept some hundreds
#: from all hosts together.
CONNECTIONS_PER_UPSTREAM = 10

#: Share of the drain bound for which the owner of keys gets requests after it
#: was seen to leave. The rest is for hearing of it, and for the way.
LEAVING_SHARE = 0.4

#: Share of the platform's retry budget that hosts use. Their window counts
#: whole seconds, one of which may be missing; and an upstream that repeats a
#: call of its own draws on the same budget.
BUDGET_SHARE = 0.75

#: Share of the slack of that budget that hosts use. The rest is for the time
#: until a host hears how many hosts there are.
SLACK_SHARE = 0.4

#: Calls to the store of each host that a change brings: one for each table.
READS_OF_A_CHANGE = 2

#: Share of the store's rate of reads that hosts use after a change.
READ_SHARE = 0.5

#: Longest time by which a host calls the store later than it might, in
#: seconds: with what it collects, and with the time for which a leaving owner
#: still gets requests, it stays below the bound of 2 s.
LONGEST_SPREAD_S = 0.6

#: Settings that a running host takes; the others need a restart.
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
        self._book = sycamoreloft_direct.UpstreamPool(
            settings.failure_domain, generator
        )
        self._upstreams = _direct_views.UpstreamView(
            settings.reuse_after_s, self._update_book
        )
        self._sweeps = _ticks.TickTimer(SWEEP_S)
        self._directory = _key_directory.KeyDirectory()
        self._witness = _store_availability.StoreAvailability()
        #: Requests that crash upstreams.
        self.crash_guard = sycamoreloft_direct.CrashGuard()
        self._role = _coordinator_role.CoordinatorRole(
            settings,
            platform,
            self._states,
            self._upstreams,
            self._directory,
            metrics,
            times=_choose_times(settings),
            freshness=_HostFreshness(self),
            guard=self.crash_guard,
        )
        #: Follows the desired state.
        self.state_follower = _table_follower.TableFollower(
            "states",
            platform.states,
            self._take_states,
            self._take_states,
            self._choose_spread_s,
        )
        #: Follows the upstreams.
        self.upstream_follower = _table_follower.TableFollower(
            "upstreams",
            platform.upstreams,
            self._take_all_upstreams,
            self._take_upstreams,
            self._choose_spread_s,
        )
        client = _upstream_client.UpstreamClient(
            force_instance=True,
            connections_per_upstream=CONNECTIONS_PER_UPSTREAM,
            rules=_connection_rules.ConnectionRules(
                _answer_heads.AnswerRules(
                    platform.headers.request_id.lower().encode("latin1"), True
                ),
                CONNECT_TIMEOUT_S,
                IDLE_CONNECTION_S,
                True,
                SILENCE_S,
                resets_on_close=True,
            ),
        )
        self._budgets = sycamoreloft_direct.ServiceRetryBudgets(
            *_choose_budget(settings)
        )
        self._services = _direct_services.DirectServices(
            settings.name,
            self._states,
            self._upstreams,
            self._book,
            self._directory,
            settings.drain_s * LEAVING_SHARE,
            self._role,
            self._budgets,
            self.crash_guard,
            client,
            platform.headers,
            metrics,
            self._loop,
            generator,
        )
        self._server = _caller_server.CallerServer(
            _direct_run.DirectPath(self._services), client
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
        """Hosts that there were at most, as the coordinators told; 0 before."""
        return self._budgets.host_count

    def apply_settings(self, settings: _direct_ports.HostSettings) -> None:
        """Puts the reloadable ones of changed settings into force."""
        self._settings = dataclasses.replace(
            self._settings,
            **{name: getattr(settings, name) for name in RELOADABLE},
        )
        self._services.leaving_s = settings.drain_s * LEAVING_SHARE
        self._upstreams.keep_s = settings.reuse_after_s
        self._budgets.set_limits(*_choose_budget(settings))

    async def run(
        self,
        stop_requested: asyncio.Event,
        watch: _settings_watch.SettingsWatcher[typing.Any] | None = None,
    ) -> None:
        """Serves until a stop is requested, then drains.

        Args:
            stop_requested: Set to request a stop.
            watch: Takes changed settings, if they can change.

        Raises:
            OSError: A port is in use.
            SupervisorFailed: A task that the process needs keeps failing.
        """
        await self._start(watch)
        failure = self._loop.create_task(self._supervisor.wait_for_failure())
        stop = self._loop.create_task(stop_requested.wait())
        await asyncio.wait((failure, stop), return_when=asyncio.FIRST_COMPLETED)
        stop.cancel()
        if failure.done():
            failure.result()
        failure.cancel()
        await self._stop()

    async def _start(
        self, watch: _settings_watch.SettingsWatcher[typing.Any] | None
    ) -> None:
        await self._role.open()
        self._server.listen(self._settings.caller_address)
        self._listen(self._settings.readiness_address)
        self._listen(self._settings.metrics_address)
        for name, run in (
            ("states", self.state_follower.run),
            ("upstreams", self.upstream_follower.run),
            ("coordinator", self._role.run),
            ("sweep", self._sweep),
        ):
            # What makes one of them fail, a row of the store for example,
            # reaches every host: all would end. Requests go on without it.
            self._supervisor.start(
                _supervisor.ChildSpecification(name, run, always_restarts=True)
            )
        if watch is not None:
            self._supervisor.start(
                _supervisor.ChildSpecification(
                    "settings", watch.run, always_restarts=True
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
        await self._role.stop()
        await asyncio.sleep(started + UNREADY_S - self._loop.time())
        left = started + self._settings.grace_s - self._loop.time()
        cut_off = await self._server.drain(max(0.1, left - GRACE_RESERVE_S))
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
            lag_s = await self._sweeps.sleep(
                min(
                    self._upstreams.find_due() - self._loop.time(),
                    LONGEST_SWEEP_S,
                )
            )
            self._metrics.observe("sycamoreloft_loop_lag_seconds", lag_s)
            self._upstreams.sweep(self._loop.time())

    def _plan_sweep(self, now: float) -> None:
        if self._upstreams.find_due() < now + LONGEST_SWEEP_S:
            self._sweeps.wake()

    def _render_metrics(self) -> bytes:
        """Renders all metrics, and sets before what is read only then."""
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
        for service, left in self._budgets.list_remaining(now).items():
            metrics.set("sycamoreloft_retries_left", service, value=left)
        return metrics.render()

    def _choose_spread_s(self) -> float:
        """Draws how much later than others this host calls the store."""
        reads_per_s = max(self._settings.store_reads_per_s, 1.0)
        needed_s = READS_OF_A_CHANGE * self.known_host_count / reads_per_s
        return self._services.generator.uniform(
            0.0, min(needed_s / READ_SHARE, LONGEST_SPREAD_S)
        )

    def note_store(self, answered_ago_s: float) -> None:
        """Notes that the store answered the coordinator some time ago."""
        if self._witness.hear(answered_ago_s, self._loop.time()):
            _logs.log_event(_LOGGER, logging.INFO, "store-back")
            self.state_follower.ask_again()
            self.upstream_follower.ask_again()

    def note_hosts(self, count: int) -> None:
        """Notes how many hosts there are."""
        self._budgets.update_host_count(count)

    def _take_states(self, values: abc.Mapping[str, object]) -> None:
        self._states.take(values)
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

    def _take_all_upstreams(self, values: abc.Mapping[str, object]) -> None:
        returned_at = self.upstream_follower.returned_at
        if returned_at:
            self._upstreams.extend_grace(
                self._witness.find_return(returned_at)
                + _direct_views.RETURN_GRACE_S
            )
        now = self._loop.time()
        self._upstreams.take_all(values, now)
        self._plan_sweep(now)

    def _take_upstreams(self, values: abc.Mapping[str, object]) -> None:
        now = self._loop.time()
        self._upstreams.take_changes(values, now)
        self._plan_sweep(now)

    def _update_book(self) -> None:
        self._book.update(self._upstreams.list_all(), self._loop.time())


def _choose_times(
    settings: _direct_ports.HostSettings,
) -> sycamoreloft_direct.LeaseTimes:
    """Returns durations of leases that upstreams accept."""
    times = sycamoreloft_direct.LeaseTimes()
    return dataclasses.replace(
        times, hold_s=min(times.hold_s, settings.longest_hold_s)
    )


def _choose_budget(
    settings: _direct_ports.HostSettings,
) -> tuple[float, int, float]:
    """Returns the share, window and slack of the retry budgets."""
    return (
        settings.retry_share * BUDGET_SHARE,
        int(settings.retry_window_s),
        settings.retry_slack * SLACK_SHARE,
    )


class _HostFreshness(_freshness.Freshness):
    """Versions of the tables that a host follows."""

    def __init__(self, host: DirectHost) -> None:
        self._host = host

    def read(self) -> _datagrams.SeenVersions:
        return _datagrams.SeenVersions(
            self._host.state_follower.newest,
            self._host.upstream_follower.newest,
        )

    def hear(self, seen: _datagrams.SeenVersions) -> None:
        self._host.state_follower.hear(seen.state)
        self._host.upstream_follower.hear(seen.upstreams)

    def hear_hosts(self, count: int) -> None:
        self._host.note_hosts(count)

    def hear_store(self, answered_ago_s: float) -> None:
        self._host.note_store(answered_ago_s)
