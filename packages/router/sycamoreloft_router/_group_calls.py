"""Calls of one group to the store, to upstreams and to other hosts.

The result of each call becomes one event for the group's state machine. An
unanswered request for a promise or a step-down produces no event.
"""

from collections import abc
import dataclasses
import typing

from returns import pipeline

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_router import (
    _alias_releases,
    _grant_client,
    _peer_links,
    _store_client,
)
import sycamoreloft_wire

#: Timeout of a promise or step-down request to another host, in seconds.
PEER_TIMEOUT_S = 0.4

#: Key of the table row that names the accepted and the pending generation.
HEAD_KEY = "config/head"

#: Passes an event to the state machine of a group.
Feed = abc.Callable[[sycamoreloft_decisions.Event], None]


class HostDirectory(typing.Protocol):
    """Other hosts: their addresses, their state and messages to them."""

    def find_peer_address(self, host: str) -> str | None:
        """Returns the peer address of a host, None if it is not known."""

    def observe_members(
        self, group: sycamoreloft_config.GroupName
    ) -> sycamoreloft_decisions.MembersObserved:
        """Returns the gossip state of the hosts in the group's domain."""

    def announce_change(self) -> None:
        """Announces to other hosts that the groups of this host changed."""

    def share_suspects(self, message: sycamoreloft_wire.SuspectNotice) -> None:
        """Sends suspects to the other holders of the fleet's groups."""


class HeadSource(typing.Protocol):
    """The latest known version of the row `config/head`."""

    def observe_head(self, row: _store_client.StoredRow | None) -> None:
        """Records the row as it was read; None if it does not exist."""

    def get_applied_head_version(self) -> int | None:
        """Returns the version of the row whose generations this host applies.

        Returns:
            The version, or None while this host still fetches the files that
            the latest known version names.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class GroupEnvironment:
    """Parts of a host that all of its groups share."""

    #: Name of this host, as the group rows record it.
    host: str
    #: Random identifier of this process, another one after each restart.
    incarnation: str
    #: Client of the table that holds group rows, assignments and claims.
    store: _store_client.StoreClient
    #: Connections to other hosts.
    links: _peer_links.PeerLinks
    #: Sends grants to upstreams.
    grants: _grant_client.GrantClient
    #: Addresses and state of other hosts, from gossip.
    directory: HostDirectory
    #: Row that names the accepted and the pending generation.
    head: HeadSource
    #: Merged services that wait until their aliases are released.
    aliases: _alias_releases.AliasReleases


class GroupCalls:
    """Performs the calls that the state machine of one group commands.

    Args:
        environment: Parts that all groups of the host share.
        group: Group in whose name the calls are made.
        feed: Receives the event that results from a call.
        observe_grant: Receives each answer of an upstream to a grant, for
            the permit issuer.
    """

    def __init__(
        self,
        environment: GroupEnvironment,
        group: sycamoreloft_config.GroupName,
        feed: Feed,
        observe_grant: abc.Callable[
            [
                sycamoreloft_config.Upstream,
                sycamoreloft_decisions.GrantAnswered,
            ],
            None,
        ],
    ) -> None:
        self._environment = environment
        self._group = group
        self._feed = feed
        self._observe_grant = observe_grant
        self._recorded_epoch = 0

    async def read_rows(self, command: sycamoreloft_decisions.ReadRows) -> None:
        """Reads the group row, the head and the fleet's assignments."""
        rows = await self._environment.store.read(
            [command.row_key, HEAD_KEY], [command.assignment_prefix]
        )
        if not pipeline.is_successful(rows):
            self._feed(sycamoreloft_decisions.ReadFailed(command.call))
            return
        stored_rows = dict(rows.unwrap())
        self._environment.head.observe_head(stored_rows.pop(HEAD_KEY, None))
        stored = stored_rows.pop(command.row_key, None)
        row = None
        if stored is not None:
            row = sycamoreloft_decisions.decode_group_row(stored.value)
        self._recorded_epoch = row.epoch if row else 0
        tables = sycamoreloft_decisions.decode_tables(
            {key: item.value for key, item in stored_rows.items()}
        )
        self._feed(
            sycamoreloft_decisions.RowsRead(
                command.call, row, stored.version if stored else 0, tables
            )
        )

    async def write_rows(
        self, command: sycamoreloft_decisions.WriteRows
    ) -> None:
        """Writes the group row and assignments under their conditions.

        A write that changes the epoch takes over the group; it also depends
        on the version of `config/head`. Without this condition, the new
        holder could serve an older generation than its predecessor staged.
        """
        conditions = {command.row_key: command.row_version}
        if command.row.epoch != self._recorded_epoch:
            version = self._environment.head.get_applied_head_version()
            if version is None:
                self._feed(sycamoreloft_decisions.WriteRefused(command.call))
                return
            conditions[HEAD_KEY] = version
        value = sycamoreloft_decisions.encode_group_row(command.row)
        written = await self._environment.store.transact(
            conditions, {command.row_key: value, **command.puts}
        )
        if pipeline.is_successful(written):
            self._recorded_epoch = command.row.epoch
            self._feed(
                sycamoreloft_decisions.WriteStored(
                    command.call, written.unwrap()[command.row_key]
                )
            )
        elif isinstance(written.failure(), _store_client.StoreConflict):
            self._feed(sycamoreloft_decisions.WriteRefused(command.call))
        else:
            self._feed(sycamoreloft_decisions.WriteOutcomeUnknown(command.call))

    async def send_grant(
        self,
        upstream: sycamoreloft_config.Upstream | None,
        command: sycamoreloft_decisions.SendGrant,
    ) -> None:
        """Sends a grant to an upstream.

        Args:
            upstream: The upstream, None if no generation contains it; the
                grant then fails.
            command: Content of the grant.
        """
        reply = None
        if upstream is not None:
            reply = await self._environment.grants.send_grant(
                upstream.address, self._group, command
            )
        if reply is None or upstream is None:
            self._feed(
                sycamoreloft_decisions.GrantFailed(
                    command.upstream, command.call
                )
            )
            return
        answer = sycamoreloft_decisions.GrantAnswered(
            command.upstream,
            command.call,
            reply.accepted,
            reply.incarnation,
            reply.clock_reading,
            reply.highest_epoch,
            reply.version,
            reply.draining,
        )
        self._feed(answer)
        self._observe_grant(upstream, answer)

    async def request_promise(
        self, command: sycamoreloft_decisions.RequestPromise
    ) -> None:
        """Requests a promise from the standby."""
        answer = await self._call_host(
            command.host,
            sycamoreloft_wire.PromiseRequest(
                str(self._group), command.epoch, command.duration_ms
            ),
        )
        if isinstance(answer, sycamoreloft_wire.PromiseAnswer):
            self._feed(
                sycamoreloft_decisions.PromiseAnswered(
                    command.call, command.host, answer.promised, answer.final
                )
            )

    async def request_step_down(
        self, command: sycamoreloft_decisions.RequestStepDown
    ) -> None:
        """Requests that an earlier holder stops issuing permits and grants."""
        answer = await self._call_host(
            command.host,
            sycamoreloft_wire.StepDownRequest(str(self._group), command.epoch),
        )
        if isinstance(answer, sycamoreloft_wire.StepDownAnswer):
            self._feed(
                sycamoreloft_decisions.StepDownAnswered(
                    command.host, command.epoch, answer.stopped
                )
            )

    async def _call_host(
        self, host: str, message: sycamoreloft_wire.Message
    ) -> sycamoreloft_wire.Message | None:
        address = self._environment.directory.find_peer_address(host)
        if address is None:
            return None
        answer = await self._environment.links.call(
            address, message, PEER_TIMEOUT_S
        )
        return answer.value_or(None)
