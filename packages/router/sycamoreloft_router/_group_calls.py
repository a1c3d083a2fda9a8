"""Calls of one group to the store, to upstreams and to other hosts.

Each call ends with one event for the group holder machine.
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

#: Time to wait for a promise or a step-down, in seconds.
PEER_TIMEOUT_S = 0.4

#: Key of the row that names the accepted and the pending generation.
HEAD_KEY = "config/head"

Feed = abc.Callable[[sycamoreloft_decisions.Event], None]


class HostDirectory(typing.Protocol):
    """What the group needs to know of other hosts."""

    def find_peer_address(self, host: str) -> str | None:
        """Returns the peer address of a host."""

    def observe_members(
        self, group: sycamoreloft_config.GroupName
    ) -> sycamoreloft_decisions.MembersObserved:
        """Returns what gossip says of the hosts of the group's domain."""

    def announce_change(self) -> None:
        """Tells other hosts that the groups of this host changed."""

    def share_suspects(self, message: sycamoreloft_wire.SuspectNotice) -> None:
        """Passes suspects to the other holders of the fleet's groups."""


class HeadSource(typing.Protocol):
    """What the group needs to know of `config/head`."""

    def observe_head(self, row: _store_client.StoredRow | None) -> None:
        """Takes a newer version of the row."""

    def find_head_version(self) -> int | None:
        """Returns the version whose generations this host applies.

        None while files of the latest version are still being fetched.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class GroupEnvironment:
    """What all groups of one host share."""

    #: Name of this host.
    host: str
    #: Random identifier of this process.
    incarnation: str
    #: The store.
    store: _store_client.StoreClient
    #: Connections to other hosts.
    links: _peer_links.PeerLinks
    #: Sends grants.
    grants: _grant_client.GrantClient
    #: Other hosts.
    directory: HostDirectory
    #: The configuration row.
    head: HeadSource
    #: The wait of merged services for their aliases.
    aliases: _alias_releases.AliasReleases


class GroupCalls:
    """Performs the calls of one group.

    Args:
        environment: What all groups of the host share.
        group: The group.
        feed: Takes the events that the calls end with.
        observe_grant: Takes each upstream's answer, for the permit desk.
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
        found = dict(rows.unwrap())
        self._environment.head.observe_head(found.pop(HEAD_KEY, None))
        stored = found.pop(command.row_key, None)
        row = None
        if stored is not None:
            row = sycamoreloft_decisions.decode_group_row(stored.value)
        self._recorded_epoch = row.epoch if row else 0
        tables = sycamoreloft_decisions.decode_tables(
            {key: item.value for key, item in found.items()}
        )
        self._feed(
            sycamoreloft_decisions.RowsRead(
                command.call, row, stored.version if stored else 0, tables
            )
        )

    async def write_rows(
        self, command: sycamoreloft_decisions.WriteRows
    ) -> None:
        """Writes rows; taking a group also depends on the configuration.

        A holder must know the generations in force when it takes a group,
        or it could serve an older one than its predecessor has staged.
        """
        conditions = {command.row_key: command.row_version}
        if command.row.epoch != self._recorded_epoch:
            version = self._environment.head.find_head_version()
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
        """Sends a grant to an upstream that a generation describes."""
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
        """Asks the standby for a promise."""
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
        """Asks an earlier holder to stop acting."""
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
