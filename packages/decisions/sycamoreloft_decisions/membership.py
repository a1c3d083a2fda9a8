"""Gossip membership of the hosts (section 8 of the design)."""

import collections
from collections import abc
import dataclasses
import random
import typing

from sycamoreloft_decisions import _member_entries

#: Time without progress after which a member is suspected.
SUSPICION_S = 2.0

#: Time without progress after which a member that shares a failure domain with
#: this host is removed.
REMOVAL_S = 60.0

#: Time without progress after which any other member is removed. Their relayed
#: heartbeats are sampled from all members, so that at 4,100 hosts and 16
#: heartbeats per second it takes minutes until a member is included.
REMOTE_REMOVAL_S = 900.0

#: Maximum number of members in the answer to a host that requests all of them;
#: about 300 KB.
MAXIMUM_LISTED_MEMBERS = 1_000

#: Maximum number of members that are considered for the heartbeats in a digest
#: to another failure domain.
MAXIMUM_SAMPLED_MEMBERS = 32

#: Time without progress after which a member is no longer relayed, so that a
#: member which some hosts have removed does not return from other hosts.
MAXIMUM_RELAY_SILENCE_S = 10.0

#: Maximum encoded size of the entries in a digest.
MAXIMUM_DIGEST_BYTES = 1024

#: Maximum number of heartbeats of other hosts in a digest. With two digests
#: every half second they cost 1 KB/s, a third of the budget of a host.
MAXIMUM_DIGEST_HEARTBEATS = 8

#: Time for which a changed entry is sent to every target; five gossip rounds.
CHANGE_RELAY_S = 2.5

#: Time between two entries that are sent although they have not changed, so
#: that hosts which missed a change receive it later.
REFRESH_INTERVAL_S = 1.0

#: Maximum number of replaced incarnations that are remembered for each host.
MAXIMUM_REPLACED_INCARNATIONS = 4


Entry = _member_entries.Entry
Heartbeat = _member_entries.Heartbeat
estimate_size = _member_entries.estimate_size

EntryType = typing.TypeVar("EntryType", bound=Entry)


@dataclasses.dataclass(frozen=True, slots=True)
class HolderLocation(typing.Generic[EntryType]):
    """The host that announces to hold a group."""

    #: Entry of the holder.
    entry: EntryType
    #: Epoch of the group that the holder announces.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedHeartbeat:
    """The latest known heartbeat of a member, to be relayed."""

    host: str
    #: Random identifier of the process.
    incarnation: str
    #: Highest heartbeat counter that was received from the process.
    counter: int


@dataclasses.dataclass(frozen=True, slots=True)
class Digest(typing.Generic[EntryType]):
    """Content of a gossip message to one target, without the own heartbeat."""

    #: Heartbeats of other hosts.
    heartbeats: abc.Sequence[RelayedHeartbeat]
    #: Member entries; the own entry is first if it is contained.
    entries: abc.Sequence[EntryType]


@dataclasses.dataclass(slots=True)
class _Member(typing.Generic[EntryType]):
    """Another host; times are readings of this host's clock."""

    entry: EntryType
    progress_at: float
    changed_at: float
    counter: int = -1
    replaced: list[str] = dataclasses.field(default_factory=list)
    heartbeat_sent_at: float = -1.0
    sent_at: float = -1.0
    removed: bool = False


class Membership(typing.Generic[EntryType]):
    """Known hosts, the groups that they hold and the newest generation."""

    def __init__(
        self,
        own: EntryType,
        generator: random.Random,
        measure: abc.Callable[[EntryType], int] | None = None,
    ) -> None:
        """Creates a membership that contains only this host.

        Args:
            own: Entry of this host.
            generator: Source of the random choices.
            measure: Returns the encoded size of an entry in bytes; by default
                an upper bound is estimated.
        """
        self._own = own
        self._generator = generator
        self._measure = measure or estimate_size
        self._members: dict[str, _Member[EntryType]] = {}
        # Members that share a failure domain with this host. A round visits
        # only these, so its cost does not grow with the number of all hosts.
        self._domain_members: dict[str, _Member[EntryType]] = {}
        # Epochs by host, for each group. The holder of a group is looked up for
        # each request, which must not visit all members.
        self._holders: dict[str, dict[str, int]] = {}
        self._update_holders(own.host, {}, own.groups)
        self._generation = own.generation
        self._changed_at = 0.0
        self._refresh_queue: collections.deque[str] = collections.deque()
        self._refreshed_at = -REFRESH_INTERVAL_S
        self._sample_queue: list[str] = []
        self._domain_target_queue: list[str] = []
        self._target_queue: list[str] = []

    @property
    def highest_generation(self) -> int:
        """Highest accepted generation that any host has announced."""
        return self._generation

    def update_own_entry(self, own: EntryType, now: float) -> None:
        """Replaces the own entry; a changed one must have a higher version."""
        if own.version != self._own.version:
            self._changed_at = now
        self._update_holders(own.host, self._own.groups, own.groups)
        self._own = own
        self._generation = max(self._generation, own.generation)

    def merge(
        self,
        heartbeats: abc.Sequence[Heartbeat],
        entries: abc.Sequence[EntryType],
        now: float,
    ) -> None:
        """Merges a received digest; the first heartbeat is the sender's."""
        sender = heartbeats[0].host if heartbeats else ""
        for entry in entries:
            if entry.host != self._own.host:
                self._merge_entry(entry, entry.host == sender, now)
        for heartbeat in heartbeats:
            member = self._members.get(heartbeat.host)
            if (
                member is not None
                and heartbeat.incarnation == member.entry.incarnation
                and heartbeat.counter > member.counter
            ):
                member.counter = heartbeat.counter
                member.progress_at = now
                member.removed = False

    def record_contact(self, host: str, incarnation: str, now: float) -> None:
        """Records an authenticated message of a host as progress.

        Heartbeats in gossip alone do not reach every member within
        `SUSPICION_S`.
        """
        member = self._members.get(host)
        if member is not None and member.entry.incarnation == incarnation:
            member.progress_at = now
            member.removed = False

    def choose_targets(self) -> list[EntryType]:
        """Chooses the members that receive the next digests.

        The first target shares a failure domain with this host, if possible:
        the hosts of a domain watch each other for takeovers, so they need more
        recent information. Targets are chosen in shuffled rounds, because
        independent choices can leave out a member for a long time. Suspected
        members are chosen, too: they may only have been disconnected.
        """
        chosen: list[EntryType] = []
        for queue, members in (
            (self._domain_target_queue, self._domain_members),
            (self._target_queue, self._members),
        ):
            target = self._pop_target(queue, members, chosen)
            if target is not None:
                chosen.append(target)
        return chosen

    def _pop_target(
        self,
        queue: list[str],
        members: abc.Mapping[str, _Member[EntryType]],
        chosen: abc.Sequence[EntryType],
    ) -> EntryType | None:
        for _ in range(2):
            while queue:
                entry = self.get_entry(queue.pop())
                if entry is not None and entry not in chosen:
                    return entry
            queue[:] = sorted(members)
            self._generator.shuffle(queue)
        return None

    def build_digest(
        self, now: float, target: EntryType | None = None
    ) -> Digest[EntryType]:
        """Builds a digest, to which the caller adds the own heartbeat.

        Args:
            now: Clock reading in seconds.
            target: Receiver; None for a host that is not a member yet.
        """
        heartbeats: list[RelayedHeartbeat] = []
        if target is not None:
            heartbeats = self._choose_heartbeats(now, target)
        entries: list[EntryType] = []
        remaining_bytes = MAXIMUM_DIGEST_BYTES
        if target is None or now < self._changed_at + CHANGE_RELAY_S:
            entries.append(self._own)
            remaining_bytes -= self._measure(self._own)
        for member in self._choose_members(now, target):
            size = self._measure(member.entry)
            if size <= remaining_bytes:
                remaining_bytes -= size
                member.sent_at = now
                entries.append(member.entry)
        return Digest(heartbeats, entries)

    def build_full_digest(self, now: float) -> Digest[EntryType]:
        """Builds the digest for a host that requests all members.

        A host that has just started would otherwise receive one entry per
        second from each sender, and would know no holder for many seconds.
        Holders come first, then members that share a failure domain.
        """
        members = sorted(
            (member for member in self._members.values() if not member.removed),
            key=lambda member: (
                not member.entry.groups,
                member.entry.host not in self._domain_members,
            ),
        )[:MAXIMUM_LISTED_MEMBERS]
        heartbeats = [
            RelayedHeartbeat(
                member.entry.host, member.entry.incarnation, member.counter
            )
            for member in members
            if member.counter >= 0
            and member.progress_at + MAXIMUM_RELAY_SILENCE_S > now
        ]
        entries = [member.entry for member in members]
        return Digest(heartbeats, [self._own, *entries])

    def _choose_heartbeats(
        self, now: float, target: EntryType
    ) -> list[RelayedHeartbeat]:
        """Chooses the heartbeats to relay, least recently relayed ones first.

        A target in the same failure domain receives heartbeats of that domain,
        whose hosts watch each other. Other targets receive heartbeats of any
        members, so that these are not removed elsewhere.
        """
        members = self._domain_members.values()
        if not self._is_in_own_domain(target):
            members = self._sample_members().values()
        recent = [
            member
            for member in members
            if member.progress_at + MAXIMUM_RELAY_SILENCE_S > now
            and member.entry.host != target.host
            and member.counter >= 0
        ]
        recent.sort(key=lambda member: member.heartbeat_sent_at)
        chosen = recent[:MAXIMUM_DIGEST_HEARTBEATS]
        for member in chosen:
            member.heartbeat_sent_at = now
        return [
            RelayedHeartbeat(
                member.entry.host, member.entry.incarnation, member.counter
            )
            for member in chosen
        ]

    def _sample_members(self) -> dict[str, _Member[EntryType]]:
        """Returns a random sample, so that a round does not visit all members.

        The samples of successive rounds together contain every member.
        """
        if not self._sample_queue:
            self._sample_queue.extend(self._members)
            self._generator.shuffle(self._sample_queue)
        hosts, self._sample_queue = (
            self._sample_queue[:MAXIMUM_SAMPLED_MEMBERS],
            self._sample_queue[MAXIMUM_SAMPLED_MEMBERS:],
        )
        return {
            host: self._members[host] for host in hosts if host in self._members
        }

    def _choose_members(
        self, now: float, target: EntryType | None
    ) -> list[_Member[EntryType]]:
        """Chooses the members whose entries a digest may contain.

        These are recently changed members that share a failure domain with
        this host, and every `REFRESH_INTERVAL_S` one other member.
        """
        chosen = [
            member
            for member in self._domain_members.values()
            if member.changed_at + CHANGE_RELAY_S > now
            and member.sent_at < member.changed_at + CHANGE_RELAY_S / 2
        ]
        if now >= self._refreshed_at + REFRESH_INTERVAL_S:
            self._refreshed_at = now
            member = self._pop_refresh_member(now)
            if member is not None and member not in chosen:
                chosen.append(member)
        return [
            member
            for member in chosen
            if not member.removed
            and (target is None or member.entry.host != target.host)
        ]

    def _pop_refresh_member(self, now: float) -> _Member[EntryType] | None:
        """Returns the next member with recent progress in a round over all."""
        for _ in range(len(self._refresh_queue) or 1):
            if not self._refresh_queue:
                self._refresh_queue.extend(sorted(self._members))
            if not self._refresh_queue:
                return None
            member = self._members.get(self._refresh_queue.popleft())
            if (
                member is not None
                and member.progress_at + MAXIMUM_RELAY_SILENCE_S > now
            ):
                return member
        return None

    def expire(self, now: float) -> None:
        """Removes members that have made no progress for a long time.

        Their heartbeat counters are kept twice as long, so that a delayed
        digest does not add a removed member again.
        """
        for host, member in list(self._members.items()):
            limit = (
                REMOVAL_S if host in self._domain_members else REMOTE_REMOVAL_S
            )
            member.removed = member.progress_at + limit <= now
            if member.progress_at + 2 * limit <= now:
                del self._members[host]
                self._domain_members.pop(host, None)
                self._update_holders(host, member.entry.groups, {})

    def list_other_members(self) -> list[EntryType]:
        """Lists the entries of all members except this host."""
        return [
            member.entry
            for member in self._members.values()
            if not member.removed
        ]

    def list_domain_members(self) -> list[EntryType]:
        """Lists the entries of members that share a failure domain."""
        return [
            member.entry
            for member in self._domain_members.values()
            if not member.removed
        ]

    def list_live(self, now: float) -> list[EntryType]:
        """Lists the entries of this host and of members not suspected."""
        return [self._own] + [
            member.entry
            for member in self._members.values()
            if member.progress_at + SUSPICION_S > now
        ]

    def get_entry(self, host: str) -> EntryType | None:
        """Returns the entry of a host, None if it is not a member."""
        if host == self._own.host:
            return self._own
        member = self._members.get(host)
        return None if member is None or member.removed else member.entry

    def is_suspected(self, host: str, now: float) -> bool:
        """Returns whether a host is unknown or made no recent progress."""
        return self.measure_silence(host, now) >= SUSPICION_S

    def measure_silence(self, host: str, now: float) -> float:
        """Returns the time since a host's last progress, in seconds."""
        if host == self._own.host:
            return 0.0
        member = self._members.get(host)
        return float("inf") if member is None else now - member.progress_at

    def locate_group(self, group: str) -> HolderLocation[EntryType] | None:
        """Returns the member that announces the highest epoch of a group."""
        best: HolderLocation[EntryType] | None = None
        for host, epoch in self._holders.get(group, {}).items():
            entry = self.get_entry(host)
            if entry is not None and (best is None or epoch > best.epoch):
                best = HolderLocation(entry, epoch)
        return best

    def _merge_entry(
        self, entry: EntryType, first_hand: bool, now: float
    ) -> None:
        self._generation = max(self._generation, entry.generation)
        member = self._members.get(entry.host)
        if member is None:
            self._add(_Member(entry, now, now))
        elif entry.incarnation == member.entry.incarnation:
            if entry.version > member.entry.version:
                self._update_holders(
                    entry.host, member.entry.groups, entry.groups
                )
                member.entry = entry
                member.changed_at = now
        # Incarnations are random and have no order. Another incarnation counts
        # as newer if the host itself announces it, or if the known one makes
        # no progress.
        elif entry.incarnation not in member.replaced and (
            first_hand or member.progress_at + SUSPICION_S <= now
        ):
            replaced = [*member.replaced, member.entry.incarnation]
            self._add(
                _Member(
                    entry,
                    now,
                    now,
                    replaced=replaced[-MAXIMUM_REPLACED_INCARNATIONS:],
                )
            )

    def _update_holders(
        self,
        host: str,
        before: abc.Mapping[str, int],
        after: abc.Mapping[str, int],
    ) -> None:
        for group in before:
            holders = self._holders.get(group, {})
            holders.pop(host, None)
            if not holders:
                self._holders.pop(group, None)
        for group, epoch in after.items():
            self._holders.setdefault(group, {})[host] = epoch

    def _add(self, member: _Member[EntryType]) -> None:
        previous = self._members.get(member.entry.host)
        before = previous.entry.groups if previous is not None else {}
        self._update_holders(member.entry.host, before, member.entry.groups)
        self._members[member.entry.host] = member
        if self._is_in_own_domain(member.entry):
            self._domain_members[member.entry.host] = member
        else:
            self._domain_members.pop(member.entry.host, None)

    def _is_in_own_domain(self, entry: EntryType) -> bool:
        return _share_domain(entry, self._own)


def _share_domain(first: Entry, second: Entry) -> bool:
    other = second.failure_domains
    return any(
        other.get(fleet) == domain
        for fleet, domain in first.failure_domains.items()
    )
