"""Composition of one router process."""

import asyncio
import functools
import logging
import os
import time
import typing

import sycamoreloft_config
from sycamoreloft_router import (
    _admin,
    _alias_releases,
    _backend,
    _configuration,
    _connection_share,
    _directory,
    _grant_client,
    _group_calls,
    _group_tree,
    _holder_calls,
    _logs,
    _metrics,
    _names,
    _peer_links,
    _peer_server,
    _permit_server,
    _permit_source,
    _store_client,
    _supervisor,
    _tls,
)
import sycamoreloft_wire

_LOGGER = logging.getLogger(__name__)

#: Time between two computations of this host's share of connections, in
#: seconds.
SHARE_INTERVAL_S = 5.0

#: Maximum time that a stop waits for groups to be handed over, in seconds.
MAXIMUM_HAND_OVER_S = 1.5


class Host:
    """Builds, runs and stops all parts of one router process.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, settings: sycamoreloft_config.Settings) -> None:
        self._settings = settings
        self._incarnation = os.urandom(8).hex()
        self._ready = False
        self._started = time.monotonic()
        self._supervisor = _supervisor.Supervisor()
        self._metrics = _metrics.Metrics()
        self._build_platform()
        self._build_peers()
        self._build_groups()
        self._build_servers()

    def _build_platform(self) -> None:
        settings = self._settings
        self._store = _store_client.StoreClient(
            _store_client.StoreAddresses(
                settings.table_url,
                settings.object_store_url,
                settings.host_list_url,
            ),
            settings.host,
        )
        self._grants = _grant_client.GrantClient(settings.grant_key)

    def _build_peers(self) -> None:
        settings = self._settings
        identity = _peer_links.PeerIdentity(
            settings.host,
            [
                sycamoreloft_wire.SharedKey(key.id, key.secret.encode())
                for key in settings.peer_keys
            ],
            _tls.make_client_context(settings.peer_tls),
        )
        self._links = _peer_links.PeerLinks(identity)
        self._peer_server = _peer_server.PeerServer(
            identity, self, _tls.make_server_context(settings.peer_tls)
        )
        self._configuration = _configuration.ConfigurationManager(
            settings.host, self._store, self
        )
        self._directory = _directory.Directory(
            settings,
            self._incarnation,
            self._links,
            self._store,
            self._configuration,
        )

    def _build_groups(self) -> None:
        self._aliases = _alias_releases.AliasReleases(self._store)
        environment = _group_calls.GroupEnvironment(
            self._settings.host,
            self._incarnation,
            self._store,
            self._links,
            self._grants,
            self._directory,
            self._configuration,
            self._aliases,
        )
        self._groups = _group_tree.GroupTree(
            environment, self._settings.failure_domains, self._supervisor
        )
        self._directory.set_groups(self._groups)
        self._calls = _holder_calls.HolderCalls(
            self._groups.runtimes, self._directory, self._links
        )
        self._permits = _permit_source.HolderPermitSource(
            self._settings.host, self._calls
        )
        self._claims = _permit_source.HolderClaimSource(self._calls)
        self._names = _names.NameResolver(
            self._configuration,
            self._directory,
            self._settings.failure_domains,
        )

    def _build_servers(self) -> None:
        self._caller_server = _permit_server.create_server(
            self._settings.host,
            self._incarnation,
            self._names,
            self._names,
            self._permits,
            self._claims,
            metrics=self._metrics,
        )
        self._backend = _backend.RouterBackend(
            self._configuration,
            self._names,
            self._groups,
            self._directory,
            self._metrics,
            self.dump_state,
            lambda: self._ready and self._configuration.accepted.number > 0,
        )
        self._admin_server = _admin.make_admin_server(
            self._backend,
            self._settings.admin_tokens,
            _tls.make_server_context(self._settings.admin_tls),
        )

    def apply_generations(
        self,
        accepted: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        """Passes a change of the generations to all parts."""
        self._names.apply_generation(accepted)
        # Precedes the groups, so that no group serves a merged service before
        # its aliases are released.
        self._aliases.apply_generations(accepted, pending)
        self._groups.apply_generations(accepted, pending)

    async def run(self, stop_requested: asyncio.Event) -> None:
        """Serves until a stop is requested, then stops gracefully.

        Raises:
            SupervisorFailed: A task that the process needs keeps failing.
        """
        self._listen()
        self._start_tasks()
        self._ready = True
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "host-started",
            host=self._settings.host,
            incarnation=self._incarnation,
        )
        failure = asyncio.ensure_future(self._supervisor.wait_for_failure())
        stop = asyncio.ensure_future(stop_requested.wait())
        done, _ = await asyncio.wait(
            {failure, stop}, return_when=asyncio.FIRST_COMPLETED
        )
        if failure in done:
            stop.cancel()
            await failure
        failure.cancel()
        await self._stop()

    def _listen(self) -> None:
        settings = self._settings
        ip, port = settings.peer_address.rsplit(":", 1)
        self._peer_server.listen(int(port), ip)
        ip, port = settings.admin_address.rsplit(":", 1)
        self._admin_server.listen(int(port), ip)
        self._caller_server.listen(
            settings.caller_address,
            _tls.make_server_context(settings.caller_tls),
        )

    def _start_tasks(self) -> None:
        for name, run in (
            ("acceptance ticks", self._configuration.run_ticks),
            ("acceptance commands", self._configuration.run_commands),
            ("gossip", self._directory.run_gossip),
            ("permit reports", self._permits.run_reports),
            ("connection shares", self._share_connections),
        ):
            self._supervisor.start(_supervisor.ChildSpecification(name, run))

    async def _share_connections(self) -> None:
        """Adapts the connection limits to the number of hosts periodically."""
        while True:
            share = _connection_share.compute_share(
                self._configuration.accepted, self._directory.count_hosts()
            )
            self._caller_server.limit_connections(
                share.connections, share.keeps_idle
            )
            await asyncio.sleep(SHARE_INTERVAL_S)

    async def _stop(self) -> None:
        """Stops gracefully.

        Waits until the load balancer has stopped sending callers, then hands
        the groups over, then waits for the requests in flight.
        """
        settings = self._settings
        deadline = time.monotonic() + settings.stop_bound_s
        self._ready = False
        self._directory.announce_leaving()
        _logs.log_event(_LOGGER, logging.INFO, "stop-announced")
        await asyncio.sleep(settings.stop_announce_s)
        self._caller_server.stop_accepting()
        self._groups.request_stop()
        hand_over_by = min(time.monotonic() + MAXIMUM_HAND_OVER_S, deadline)
        while self._groups.list_held() and time.monotonic() < hand_over_by:
            await asyncio.sleep(0.02)
        aborted_requests = await self._caller_server.drain(
            max(deadline - time.monotonic(), 0.1)
        )
        level = logging.WARNING if aborted_requests else logging.INFO
        _logs.log_event(
            _LOGGER, level, "host-stopped", requests_cut=aborted_requests
        )
        await self._supervisor.stop_all()
        self._admin_server.stop()
        self._peer_server.stop()
        self._peer_server.close_connections()
        self._links.close()
        self._store.close()
        self._grants.close()

    def dump_state(self) -> dict[str, typing.Any]:
        """Returns the state of the process, ready for JSON."""
        return {
            "host": self._settings.host,
            "incarnation": self._incarnation,
            "uptime_s": round(time.monotonic() - self._started, 3),
            "ready": self._ready,
            "accepted_generation": self._configuration.accepted.number,
            "requests_in_flight": self._caller_server.count_requests(),
            "permits_in_use": self._permits.count_permits(),
            "store_calls": dict(self._store.call_counts),
            "control_bytes": {
                name: [traffic.sent, traffic.received]
                for name, traffic in (
                    ("peer_calls", self._links.traffic),
                    ("peer_server", self._peer_server.traffic),
                    ("grants", self._grants.traffic),
                    ("store", self._store.traffic),
                )
            },
            "unreleased_aliases": self._aliases.list_waiting(),
            "members": self._directory.list_states(),
            "groups": [
                runtime.dump_state()
                for runtime in self._groups.runtimes.values()
            ],
            "tasks": [
                {
                    "name": state.name,
                    "status": state.status,
                    "restarts": state.restarts,
                    "last_failure": state.last_failure,
                }
                for state in self._supervisor.list_states()
            ],
        }

    def handle_message(
        self,
        sender: str,
        message: sycamoreloft_wire.Message,
        reply: _peer_server.Reply,
    ) -> None:
        """Handles a message of another host; see `_peer_server`."""
        self._dispatch(message, sender, reply)

    @functools.singledispatchmethod
    def _dispatch(
        self,
        message: sycamoreloft_wire.Message,
        sender: str,
        reply: _peer_server.Reply,
    ) -> None:
        """Passes a message for a group's holder to the group's runtime.

        Refuses a request if this host does not take part in the group.
        """
        group = getattr(message, "group", None)
        runtime = self._groups.runtimes.get(group or "")
        if runtime is not None:
            _holder_calls.deliver(message, runtime, reply)
        elif isinstance(message, sycamoreloft_wire.PermitRequest):
            reply(
                sycamoreloft_wire.PermitRefusal(message.permit, "no-holder", 50)
            )
        elif isinstance(message, sycamoreloft_wire.ClaimRequest):
            reply(sycamoreloft_wire.ClaimAnswer("unavailable"))

    @_dispatch.register
    def _(
        self,
        message: sycamoreloft_wire.GossipDigest,
        sender: str,
        reply: _peer_server.Reply,
    ) -> None:
        self._directory.merge_digest(message)

    @_dispatch.register
    def _(
        self,
        message: sycamoreloft_wire.MembersRequest,
        sender: str,
        reply: _peer_server.Reply,
    ) -> None:
        reply(self._directory.build_full_digest())

    @_dispatch.register
    def _(
        self,
        message: sycamoreloft_wire.GenerationRequest,
        sender: str,
        reply: _peer_server.Reply,
    ) -> None:
        accepted = self._configuration.accepted
        texts = self._configuration.accepted_texts
        newer = accepted.number > message.known_generation
        reply(
            sycamoreloft_wire.GenerationAnswer(
                accepted.number, dict(texts) if newer else {}
            )
        )

    @_dispatch.register
    def _(
        self,
        message: sycamoreloft_wire.PromiseRequest,
        sender: str,
        reply: _peer_server.Reply,
    ) -> None:
        runtime = self._groups.runtimes.get(message.group)
        if runtime is not None:
            runtime.handle_promise_request(sender, message, reply)

    @_dispatch.register
    def _(
        self,
        message: sycamoreloft_wire.StepDownRequest,
        sender: str,
        reply: _peer_server.Reply,
    ) -> None:
        runtime = self._groups.runtimes.get(message.group)
        if runtime is not None:
            runtime.handle_step_down_request(message, reply)

    @_dispatch.register
    def _(
        self,
        message: sycamoreloft_wire.SuspectNotice,
        sender: str,
        reply: _peer_server.Reply,
    ) -> None:
        self._groups.observe_suspects(message)
