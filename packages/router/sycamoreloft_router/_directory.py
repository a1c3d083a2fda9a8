"""Gossip with other hosts: membership, group holders, newer generations."""

import asyncio
from collections import abc
import dataclasses
import logging
import random
import time
import typing

from returns import pipeline

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_decisions import membership
from sycamoreloft_router import (
    _configuration,
    _group_tree,
    _peer_links,
    _store_client,
)
import sycamoreloft_wire

_LOGGER = logging.getLogger(__name__)

#: Mean time between two gossip rounds, in seconds.
GOSSIP_INTERVAL_S = 0.5

#: Number of gossip rounds between two reads of the platform's host list.
HOST_LIST_ROUNDS = 20

#: Number of gossip rounds between two removals of silent members.
EXPIRY_ROUNDS = 10

#: Number of full member lists that a host pulls after its start. A second one
#: is needed because the first may come from a host that has just started, too.
INITIAL_PULLS = 2

#: Number of gossip rounds between two later pulls of all members; one minute.
PULL_ROUNDS = 120

#: Maximum number of hosts to which a change is announced at once; other hosts
#: learn of it by gossip.
MAXIMUM_ANNOUNCED_HOSTS = 64

#: Timeout of a request for members or for a generation, in seconds.
FETCH_TIMEOUT_S = 2.0


class Directory:
    """Exchanges gossip with other hosts and looks up what they announce.

    Args:
        settings: Settings of the process.
        incarnation: Random identifier of this process.
        links: Connections to other hosts.
        store: Client of the platform, for its host list.
        configuration: Generations that this host applies; receives newer ones
            from other hosts.
    """

    def __init__(
        self,
        settings: sycamoreloft_config.Settings,
        incarnation: str,
        links: _peer_links.PeerLinks,
        store: _store_client.StoreClient,
        configuration: _configuration.ConfigurationManager,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._links = links
        self._store = store
        self._configuration = configuration
        self._groups: _group_tree.GroupTree | None = None
        self._leaving = False
        self._heartbeat_counter = 0
        self._version = 0
        self._rounds = 0
        self._pulls = 0
        self._contacts: set[str] = set(settings.seeds)
        self._fetch_task: asyncio.Task[None] | None = None
        self._post_tasks: set[asyncio.Task[bool]] = set()
        self._random = random.Random()
        self._entry = self._make_entry()
        self._membership = membership.Membership(
            self._entry, self._random, _compute_entry_bytes
        )

    def set_groups(self, groups: _group_tree.GroupTree) -> None:
        """Sets the groups whose epochs this host announces.

        The groups need this directory themselves, so that they are not yet
        known to its constructor.
        """
        self._groups = groups

    def _make_entry(self) -> sycamoreloft_wire.MemberEntry:
        settings = self._settings
        return sycamoreloft_wire.MemberEntry(
            host=settings.host,
            incarnation=self._incarnation,
            version=self._version,
            peer_address=settings.peer_address,
            caller_address=settings.caller_address,
            admin_address=settings.admin_address,
            failure_domains=dict(settings.failure_domains),
            leaving=self._leaving,
            groups=self._groups.list_held() if self._groups else {},
            generation=self._configuration.accepted.number,
        )

    # Gossip.

    async def run_gossip(self) -> None:
        """Sends digests to a few hosts each round until it is cancelled."""
        while True:
            self._rounds += 1
            if self._rounds % HOST_LIST_ROUNDS == 1:
                await self._read_host_list()
            self._pull_members()
            now = time.monotonic()
            if self._rounds % EXPIRY_ROUNDS == 0:
                self._membership.expire(now)
            self._announce(
                self._membership.choose_targets(), self._choose_contacts()
            )
            await asyncio.sleep(
                GOSSIP_INTERVAL_S * self._random.uniform(0.9, 1.1)
            )

    def _choose_contacts(self) -> list[str]:
        """Returns the address of one random contact that is not a member."""
        known = {
            entry.peer_address
            for entry in self._membership.list_other_members()
        }
        contacts = self._contacts - known - {self._settings.peer_address}
        return [self._random.choice(sorted(contacts))] if contacts else []

    def _announce(
        self,
        targets: abc.Iterable[sycamoreloft_wire.MemberEntry],
        contacts: abc.Iterable[str] = (),
    ) -> None:
        """Sends a digest with this host's present entry to other hosts.

        Args:
            targets: Members that receive a digest.
            contacts: Peer addresses of further hosts that are not members.
        """
        now = time.monotonic()
        self._heartbeat_counter += 1
        entry = self._update_entry(now)
        if entry.generation > 0:
            # Only holders poll the store for generations. A host without any
            # generation polls as well, because after a restart of all hosts
            # no holder exists that it could fetch one from.
            self._configuration.observe_groups(frozenset(entry.groups))
        for target in targets:
            digest = self._make_digest(now, target)
            self._post(target.peer_address, digest)
        for address in contacts:
            self._post(address, self._make_digest(now, None))

    def _update_entry(self, now: float) -> sycamoreloft_wire.MemberEntry:
        """Returns this host's entry, with a new version if it has changed."""
        entry = self._make_entry()
        if entry != self._entry:
            self._version += 1
            self._entry = entry = dataclasses.replace(
                entry, version=self._version
            )
        self._membership.update_own_entry(entry, now)
        return entry

    def _make_digest(
        self, now: float, target: sycamoreloft_wire.MemberEntry | None
    ) -> sycamoreloft_wire.GossipDigest:
        return self._encode(self._membership.build_digest(now, target))

    def build_full_digest(self) -> sycamoreloft_wire.GossipDigest:
        """Returns a digest of all members, for a host that pulls them."""
        return self._encode(
            self._membership.build_full_digest(time.monotonic())
        )

    def _encode(
        self, digest: membership.Digest[sycamoreloft_wire.MemberEntry]
    ) -> sycamoreloft_wire.GossipDigest:
        """Encodes a digest, with this host's heartbeat as the first one."""
        own = sycamoreloft_wire.Heartbeat(
            self._settings.host, self._incarnation, self._heartbeat_counter
        )
        others = [
            sycamoreloft_wire.Heartbeat(
                item.host, item.incarnation, item.counter
            )
            for item in digest.heartbeats
        ]
        return sycamoreloft_wire.GossipDigest([own, *others], digest.entries)

    def _pull_members(self) -> None:
        """Pulls all members from a random host, at the start and each minute.

        The periodic pulls recover entries that were lost with a digest.
        """
        is_due = self._rounds % PULL_ROUNDS == 0
        if self._pulls >= INITIAL_PULLS and not is_due:
            return
        addresses = self._contacts | {
            entry.peer_address
            for entry in self._membership.list_other_members()
        }
        addresses.discard(self._settings.peer_address)
        if addresses:
            address = self._random.choice(sorted(addresses))
            task = asyncio.get_running_loop().create_task(self._pull(address))
            self._post_tasks.add(task)
            task.add_done_callback(self._post_tasks.discard)

    async def _pull(self, address: str) -> bool:
        answer = await self._links.call(
            address, sycamoreloft_wire.MembersRequest(), FETCH_TIMEOUT_S
        )
        message = answer.value_or(None)
        if isinstance(message, sycamoreloft_wire.GossipDigest):
            self._pulls += 1
            self.merge_digest(message)
        return True

    def _post(self, address: str, message: sycamoreloft_wire.Message) -> None:
        if self._links.try_post(address, message):
            return
        task = asyncio.get_running_loop().create_task(
            self._links.post(address, message)
        )
        self._post_tasks.add(task)
        task.add_done_callback(self._post_tasks.discard)

    async def _read_host_list(self) -> None:
        hosts = await self._store.list_hosts()
        if pipeline.is_successful(hosts):
            self._contacts.update(
                host.peer_address for host in hosts.unwrap() if not host.leaving
            )

    def merge_digest(self, message: sycamoreloft_wire.GossipDigest) -> None:
        """Merges a digest; fetches files if it names a newer generation."""
        now = time.monotonic()
        self._membership.merge(message.heartbeats, message.entries, now)
        newest = self._membership.highest_generation
        if newest > self._configuration.accepted.number:
            self._start_fetch()

    def announce_change(self) -> None:
        """Announces at once to some hosts that this host's groups changed.

        Requests of callers wait for the new holder, so that the change must
        not wait for the next rounds. Hosts beyond the limit learn of it by
        gossip.
        """
        members = self._membership.list_other_members()
        self._random.shuffle(members)
        self._announce(members[:MAXIMUM_ANNOUNCED_HOSTS])

    def announce_leaving(self) -> None:
        """Announces to other hosts that this host is stopping."""
        self._leaving = True
        self.announce_change()

    # Generations.

    def _start_fetch(self) -> None:
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.get_running_loop().create_task(
                self.fetch_generation()
            )

    async def fetch_generation(self) -> None:
        """Fetches the files of a newer generation from a host that has it."""
        known = self._configuration.accepted.number
        sources = [
            entry
            for entry in self._membership.list_other_members()
            if entry.generation > known
        ]
        if not sources:
            return
        source = self._random.choice(sources)
        answer = await self._links.call(
            source.peer_address,
            sycamoreloft_wire.GenerationRequest(known),
            FETCH_TIMEOUT_S,
        )
        message = answer.value_or(None)
        if isinstance(message, sycamoreloft_wire.GenerationAnswer):
            await self._configuration.apply_answer(message)

    # Locations.

    def find_holder(self, group: str) -> str | None:
        """Returns the name of the host that holds a group, None if unknown."""
        location = self._membership.locate_group(group)
        return location.entry.host if location else None

    def find_holder_address(self, group: str) -> str | None:
        """Returns the peer address of a group's holder, None if unknown."""
        location = self._membership.locate_group(group)
        return location.entry.peer_address if location else None

    def find_peer_address(self, host: str) -> str | None:
        """Returns the peer address of a host, None if it is not a member."""
        entry = self._membership.get_entry(host)
        return entry.peer_address if entry else None

    def observe_members(
        self, group: sycamoreloft_config.GroupName
    ) -> sycamoreloft_decisions.MembersObserved:
        """Returns the gossip state of the hosts in the group's domain.

        It consists of the time at which gossip last showed progress of each
        host that is not leaving, and of the epochs that hosts announce for
        the group.
        """
        now = time.monotonic()
        last_progress: dict[str, float] = {}
        announced_epochs: dict[str, int] = {}
        name = str(group)
        if not self._leaving:
            last_progress[self._settings.host] = now
        for entry in self._membership.list_domain_members():
            if entry.failure_domains.get(group.fleet) != group.failure_domain:
                continue
            if not entry.leaving:
                silence = self._membership.measure_silence(entry.host, now)
                last_progress[entry.host] = now - silence
            if name in entry.groups:
                announced_epochs[entry.host] = entry.groups[name]
        return sycamoreloft_decisions.MembersObserved(
            last_progress, announced_epochs
        )

    def share_suspects(self, message: sycamoreloft_wire.SuspectNotice) -> None:
        """Sends suspects to all hosts that may have to issue permits for them.

        These are the holders of the fleet's groups, and the hosts of this
        host's failure domain, since each of them may take over a group at any
        moment.
        """
        own_domain = self._settings.failure_domains.get(message.fleet)
        prefix = f"{message.fleet}/"
        for entry in self._membership.list_other_members():
            shares_domain = (
                entry.failure_domains.get(message.fleet) == own_domain
            )
            if shares_domain or any(
                name.startswith(prefix) for name in entry.groups
            ):
                self._post(entry.peer_address, message)
        if self._groups is not None:
            self._groups.observe_suspects(message)

    def count_hosts(self) -> int:
        """Returns the number of members, this host included."""
        return 1 + len(self._membership.list_other_members())

    def list_states(self) -> list[dict[str, typing.Any]]:
        """Returns the other members for the state dump."""
        now = time.monotonic()
        return [
            {
                "host": entry.host,
                "leaving": entry.leaving,
                "generation": entry.generation,
                "groups": dict(entry.groups),
                "silent_s": round(
                    self._membership.measure_silence(entry.host, now), 3
                ),
            }
            for entry in self._membership.list_other_members()
        ]


def _compute_entry_bytes(entry: sycamoreloft_wire.MemberEntry) -> int:
    """Returns the encoded size of an entry, in bytes."""
    digest = sycamoreloft_wire.GossipDigest((), (entry,))
    return len(sycamoreloft_wire.encode_message(0, digest))
