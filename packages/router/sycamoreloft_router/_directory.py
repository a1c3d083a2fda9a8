"""Other hosts: gossip, locations of groups, newer generations."""

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

#: Time between two gossip rounds, in seconds.
GOSSIP_S = 0.5

#: Gossip rounds between two reads of the platform's host list.
LIST_ROUNDS = 20

#: Gossip rounds between two searches for members that have gone.
EXPIRY_ROUNDS = 10

#: Answered requests for all members after the start; a second one, since the
#: first may have reached a host that has just started as well.
FIRST_PULLS = 2

#: Gossip rounds between two later requests for all members; a minute.
PULL_ROUNDS = 120

#: Hosts that are told at once of a change; others learn it by gossip.
MAXIMUM_ANNOUNCEMENTS = 64

#: Time to wait for the answer to a generation request, in seconds.
FETCH_TIMEOUT_S = 2.0


class Directory:
    """Keeps what this host knows of other hosts.

    Args:
        settings: Settings of the process.
        incarnation: Random identifier of this process.
        links: Connections to other hosts.
        store: The store, for the platform's host list.
        configuration: The generations.
    """

    def __init__(
        self,
        settings: sycamoreloft_config.Settings,
        incarnation: str,
        links: _peer_links.PeerLinks,
        store: _store_client.StoreClient,
        configuration: _configuration.ConfigurationKeeper,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._links = links
        self._store = store
        self._configuration = configuration
        self._groups: _group_tree.GroupTree | None = None
        self._leaving = False
        self._counter = 0
        self._version = 0
        self._rounds = 0
        self._pulls = 0
        self._contacts: set[str] = set(settings.seeds)
        self._fetching: asyncio.Task[None] | None = None
        self._posts: set[asyncio.Task[bool]] = set()
        self._random = random.Random()
        self._entry = self._make_entry()
        self._membership = membership.Membership(
            self._entry, self._random, _measure_entry
        )

    def follow_groups(self, groups: _group_tree.GroupTree) -> None:
        """Takes the groups whose epochs this host announces."""
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
        """Sends a digest twice a second until it is cancelled."""
        while True:
            self._rounds += 1
            if self._rounds % LIST_ROUNDS == 1:
                await self._read_host_list()
            self._pull_members()
            now = time.monotonic()
            if self._rounds % EXPIRY_ROUNDS == 0:
                self._membership.expire(now)
            self._announce(
                self._membership.choose_targets(), self._choose_strangers()
            )
            await asyncio.sleep(GOSSIP_S * self._random.uniform(0.9, 1.1))

    def _choose_strangers(self) -> list[str]:
        """Returns the address of one contact that is not a member yet."""
        known = {
            entry.peer_address
            for entry in self._membership.list_other_members()
        }
        strangers = self._contacts - known - {self._settings.peer_address}
        return [self._random.choice(sorted(strangers))] if strangers else []

    def _announce(
        self,
        targets: abc.Iterable[sycamoreloft_wire.MemberEntry],
        strangers: abc.Iterable[str] = (),
    ) -> None:
        """Sends this host's present entry and some others to hosts."""
        now = time.monotonic()
        self._counter += 1
        entry = self._update_entry(now)
        if entry.generation > 0:
            # A host without any generation reads the store until it has one:
            # after a restart of all hosts there is no holder to ask.
            self._configuration.observe_groups(frozenset(entry.groups))
        for target in targets:
            digest = self._make_digest(now, target)
            self._post(target.peer_address, digest)
        for address in strangers:
            self._post(address, self._make_digest(now, None))

    def _update_entry(self, now: float) -> sycamoreloft_wire.MemberEntry:
        """Returns the own entry, with a new version if it has changed."""
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

    def list_members(self) -> sycamoreloft_wire.GossipDigest:
        """Returns all members for a host that asks for them."""
        return self._encode(
            self._membership.build_full_digest(time.monotonic())
        )

    def _encode(
        self, digest: membership.Digest[sycamoreloft_wire.MemberEntry]
    ) -> sycamoreloft_wire.GossipDigest:
        """Puts the own heartbeat before what a digest contains."""
        own = sycamoreloft_wire.Heartbeat(
            self._settings.host, self._incarnation, self._counter
        )
        others = [
            sycamoreloft_wire.Heartbeat(
                item.host, item.incarnation, item.counter
            )
            for item in digest.heartbeats
        ]
        return sycamoreloft_wire.GossipDigest([own, *others], digest.entries)

    def _pull_members(self) -> None:
        """Asks a random host for all members, at the start and now and then.

        The later calls repair what was lost with a dropped digest.
        """
        is_due = self._rounds % PULL_ROUNDS == 0
        if self._pulls >= FIRST_PULLS and not is_due:
            return
        addresses = self._contacts | {
            entry.peer_address
            for entry in self._membership.list_other_members()
        }
        addresses.discard(self._settings.peer_address)
        if addresses:
            address = self._random.choice(sorted(addresses))
            task = asyncio.get_running_loop().create_task(self._pull(address))
            self._posts.add(task)
            task.add_done_callback(self._posts.discard)

    async def _pull(self, address: str) -> bool:
        answer = await self._links.call(
            address, sycamoreloft_wire.MembersRequest(), FETCH_TIMEOUT_S
        )
        message = answer.value_or(None)
        if isinstance(message, sycamoreloft_wire.GossipDigest):
            self._pulls += 1
            self.take_digest(message)
        return True

    def _post(self, address: str, message: sycamoreloft_wire.Message) -> None:
        if self._links.try_post(address, message):
            return
        task = asyncio.get_running_loop().create_task(
            self._links.post(address, message)
        )
        self._posts.add(task)
        task.add_done_callback(self._posts.discard)

    async def _read_host_list(self) -> None:
        hosts = await self._store.list_hosts()
        if pipeline.is_successful(hosts):
            self._contacts.update(
                host.peer_address for host in hosts.unwrap() if not host.leaving
            )

    def take_digest(self, message: sycamoreloft_wire.GossipDigest) -> None:
        """Takes the entries of another host."""
        now = time.monotonic()
        self._membership.merge(message.heartbeats, message.entries, now)
        newest = self._membership.highest_generation
        if newest > self._configuration.accepted.number:
            self._start_fetch()

    def announce_change(self) -> None:
        """Tells some hosts at once that this host's groups changed.

        Callers wait for the new holder, so the news does not wait for the
        next rounds. Hosts beyond the bound learn it by gossip.
        """
        members = self._membership.list_other_members()
        self._random.shuffle(members)
        self._announce(members[:MAXIMUM_ANNOUNCEMENTS])

    def announce_leaving(self) -> None:
        """Tells other hosts that this one is stopping."""
        self._leaving = True
        self.announce_change()

    # Generations.

    def _start_fetch(self) -> None:
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.get_running_loop().create_task(
                self.fetch_generation()
            )

    async def fetch_generation(self) -> None:
        """Asks a host that has a newer generation for its files."""
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
            await self._configuration.adopt_answer(message)

    # Locations.

    def find_holder(self, group: str) -> str | None:
        """Returns the name of the host that holds a group."""
        location = self._membership.locate_group(group)
        return location.entry.host if location else None

    def find_holder_address(self, group: str) -> str | None:
        """Returns the peer address of a group's holder, None if unknown."""
        location = self._membership.locate_group(group)
        return location.entry.peer_address if location else None

    def find_peer_address(self, host: str) -> str | None:
        """Returns the peer address of a host."""
        entry = self._membership.get_entry(host)
        return entry.peer_address if entry else None

    def observe_members(
        self, group: sycamoreloft_config.GroupName
    ) -> sycamoreloft_decisions.MembersObserved:
        """Returns what gossip says of the hosts of the group's domain."""
        now = time.monotonic()
        heard: dict[str, float] = {}
        claims: dict[str, int] = {}
        name = str(group)
        if not self._leaving:
            heard[self._settings.host] = now
        for entry in self._membership.list_domain_members():
            if entry.failure_domains.get(group.fleet) != group.failure_domain:
                continue
            if not entry.leaving:
                silence = self._membership.measure_silence(entry.host, now)
                heard[entry.host] = now - silence
            if name in entry.groups:
                claims[entry.host] = entry.groups[name]
        return sycamoreloft_decisions.MembersObserved(heard, claims)

    def share_suspects(self, message: sycamoreloft_wire.SuspectNotice) -> None:
        """Passes suspects to all hosts that may decide about them.

        These are the holders of the fleet's groups, and the hosts of the own
        failure domain, of which one may take a group at any moment.
        """
        own_domain = self._settings.failure_domains.get(message.fleet)
        prefix = f"{message.fleet}/"
        for entry in self._membership.list_other_members():
            is_near = entry.failure_domains.get(message.fleet) == own_domain
            if is_near or any(name.startswith(prefix) for name in entry.groups):
                self._post(entry.peer_address, message)
        if self._groups is not None:
            self._groups.observe_suspects(message)

    def count_hosts(self) -> int:
        """Returns the number of known hosts, this one included."""
        return 1 + len(self._membership.list_other_members())

    def list_states(self) -> list[dict[str, typing.Any]]:
        """Returns the known hosts for the state dump."""
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


def _measure_entry(entry: sycamoreloft_wire.MemberEntry) -> int:
    """Returns the bytes of an entry on the wire."""
    digest = sycamoreloft_wire.GossipDigest((), (entry,))
    return len(sycamoreloft_wire.encode_message(0, digest))
