"""What a host knows of the others by gossip (section 8 of the design)."""

import collections
from collections import abc
import dataclasses
import random
import typing

from sycamoreloft_decisions import _member_entries

#: Seconds without progress after which a member is suspected.
SUSPICION_S = 2.0

#: Seconds without progress after which a member of an own failure domain is
#: forgotten.
REMOVAL_S = 60.0

#: The same for members of other domains. News of them travels through members
#: drawn from all: at 4,100 hosts and 16 heartbeats a second it takes minutes.
FAR_REMOVAL_S = 900.0

#: Members in the answer to a host that asks for all; about 300 KB.
LISTED_MEMBERS = 1_000

#: Members drawn for a digest to another failure domain.
DRAWN = 32

#: Members without progress for longer are not passed on, so that a member
#: which some hosts have forgotten does not come back from others.
RECENT_S = 10.0

#: Bytes of the entries of a digest.
DIGEST_BYTES = 1024

#: Heartbeats of other hosts in a digest. With two digests in each half second
#: they cost 1 KB/s, a third of the budget of a host.
HEARTBEATS = 8

#: Seconds for which a changed entry is sent to every target; five rounds.
CHANGED_S = 2.5

#: Seconds between two entries that are sent without a change, in turn, so
#: that hosts which missed a change learn it.
TURN_S = 1.0

#: Incarnations of one host that are remembered after they were replaced.
INCARNATIONS = 4


Entry = _member_entries.Entry
Heartbeat = _member_entries.Heartbeat
estimate_size = _member_entries.estimate_size

EntryType = typing.TypeVar("EntryType", bound=Entry)


@dataclasses.dataclass(frozen=True, slots=True)
class HolderLocation(typing.Generic[EntryType]):
    """Where the holder of a group is."""

    #: Entry of the holder.
    entry: EntryType
    #: Epoch that it announces.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Sign of life of a member, to be passed on."""

    #: Name of the host.
    host: str
    #: Random identifier of the process.
    incarnation: str
    #: Latest counter that was heard.
    counter: int


@dataclasses.dataclass(frozen=True, slots=True)
class Digest(typing.Generic[EntryType]):
    """What to send to one target, besides the own heartbeat."""

    #: Heartbeats of other hosts.
    heartbeats: abc.Sequence[Progress]
    #: Entries, the own one first if it is among them.
    entries: abc.Sequence[EntryType]


@dataclasses.dataclass(slots=True)
class _Member(typing.Generic[EntryType]):
    """A known host."""

    entry: EntryType
    progress_at: float
    changed_at: float
    counter: int = -1
    replaced: list[str] = dataclasses.field(default_factory=list)
    beat_sent_at: float = -1.0
    sent_at: float = -1.0
    removed: bool = False


class Membership(typing.Generic[EntryType]):
    """Members, locations of groups and the newest generation."""

    def __init__(
        self,
        own: EntryType,
        generator: random.Random,
        measure: abc.Callable[[EntryType], int] | None = None,
    ) -> None:
        """Starts with the own entry only.

        Args:
            own: Entry of this host.
            generator: Source of the random choices.
            measure: Returns the encoded size of an entry in bytes; by
                default an estimate from above.
        """
        self._own = own
        self._generator = generator
        self._measure = measure or estimate_size
        self._members: dict[str, _Member[EntryType]] = {}
        # Members of the own failure domains. Only these are visited in each
        # round, so that its cost does not grow with the whole fleet.
        self._near: dict[str, _Member[EntryType]] = {}
        # Epochs by host for each group. A host locates a group for each
        # request, which must not visit all members.
        self._holders: dict[str, dict[str, int]] = {}
        self._index(own.host, {}, own.groups)
        self._generation = own.generation
        self._changed_at = 0.0
        self._turns: collections.deque[str] = collections.deque()
        self._turn_at = -TURN_S
        self._drawn: list[str] = []
        self._near_round: list[str] = []
        self._round: list[str] = []

    @property
    def highest_generation(self) -> int:
        """Highest accepted generation that any host announced."""
        return self._generation

    def update_own_entry(self, own: EntryType, now: float) -> None:
        """Replaces the own entry, which has the next version if it differs."""
        if own.version != self._own.version:
            self._changed_at = now
        self._index(own.host, self._own.groups, own.groups)
        self._own = own
        self._generation = max(self._generation, own.generation)

    def merge(
        self,
        heartbeats: abc.Sequence[Heartbeat],
        entries: abc.Sequence[EntryType],
        now: float,
    ) -> None:
        """Takes a digest; the first heartbeat is the sender's."""
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
        """Counts any authenticated message of a host as a sign of life.

        Gossip alone does not refresh every member within `SUSPICION_S`.
        """
        member = self._members.get(host)
        if member is not None and member.entry.incarnation == incarnation:
            member.progress_at = now
            member.removed = False

    def choose_targets(self) -> list[EntryType]:
        """Chooses the members to which the next digest is sent.

        The first one is of an own failure domain if there is one: the hosts
        of a domain watch each other for takeovers, so they need fresher news.
        Members are taken in shuffled rounds, because independent choices can
        leave one out for long. Suspected members are chosen as well, for they
        may only have been cut off.
        """
        chosen: list[EntryType] = []
        for waiting, members in (
            (self._near_round, self._near),
            (self._round, self._members),
        ):
            target = self._take_target(waiting, members, chosen)
            if target is not None:
                chosen.append(target)
        return chosen

    def _take_target(
        self,
        waiting: list[str],
        members: abc.Mapping[str, _Member[EntryType]],
        chosen: abc.Sequence[EntryType],
    ) -> EntryType | None:
        for _ in range(2):
            while waiting:
                entry = self.get_entry(waiting.pop())
                if entry is not None and entry not in chosen:
                    return entry
            waiting[:] = sorted(members)
            self._generator.shuffle(waiting)
        return None

    def build_digest(
        self, now: float, target: EntryType | None = None
    ) -> Digest[EntryType]:
        """Chooses what to send besides the own heartbeat.

        Args:
            now: Time.
            target: Receiver; None for a host that is not known yet.
        """
        heartbeats: list[Progress] = []
        if target is not None:
            heartbeats = self._choose_heartbeats(now, target)
        entries: list[EntryType] = []
        left = DIGEST_BYTES
        if target is None or now < self._changed_at + CHANGED_S:
            entries.append(self._own)
            left -= self._measure(self._own)
        for member in self._choose_members(now, target):
            size = self._measure(member.entry)
            if size <= left:
                left -= size
                member.sent_at = now
                entries.append(member.entry)
        return Digest(heartbeats, entries)

    def build_full_digest(self, now: float) -> Digest[EntryType]:
        """Lists members for a host that asks for all of them.

        A host that has just started would otherwise learn one entry a second
        from each sender, and know no holder of a group for many seconds.
        Holders and members of the own domains go first.
        """
        members = sorted(
            (member for member in self._members.values() if not member.removed),
            key=lambda member: (
                not member.entry.groups,
                member.entry.host not in self._near,
            ),
        )[:LISTED_MEMBERS]
        heartbeats = [
            Progress(
                member.entry.host, member.entry.incarnation, member.counter
            )
            for member in members
            if member.counter >= 0 and member.progress_at + RECENT_S > now
        ]
        entries = [member.entry for member in members]
        return Digest(heartbeats, [self._own, *entries])

    def _choose_heartbeats(
        self, now: float, target: EntryType
    ) -> list[Progress]:
        """Chooses members to report, in turn.

        A target of an own domain is told of that domain, whose hosts watch
        each other. Others are told of any members, so that these are not
        forgotten.
        """
        members = self._near.values()
        if not self._is_near(target):
            members = self._draw_members().values()
        recent = [
            member
            for member in members
            if member.progress_at + RECENT_S > now
            and member.entry.host != target.host
            and member.counter >= 0
        ]
        recent.sort(key=lambda member: member.beat_sent_at)
        chosen = recent[:HEARTBEATS]
        for member in chosen:
            member.beat_sent_at = now
        return [
            Progress(
                member.entry.host, member.entry.incarnation, member.counter
            )
            for member in chosen
        ]

    def _draw_members(self) -> dict[str, _Member[EntryType]]:
        """Draws a few members, so that a round does not visit all."""
        if not self._drawn:
            self._drawn.extend(self._members)
            self._generator.shuffle(self._drawn)
        hosts, self._drawn = self._drawn[:DRAWN], self._drawn[DRAWN:]
        return {
            host: self._members[host] for host in hosts if host in self._members
        }

    def _choose_members(
        self, now: float, target: EntryType | None
    ) -> list[_Member[EntryType]]:
        """Chooses changed members, and one in turn now and then."""
        chosen = [
            member
            for member in self._near.values()
            if member.changed_at + CHANGED_S > now
            and member.sent_at < member.changed_at + CHANGED_S / 2
        ]
        if now >= self._turn_at + TURN_S:
            self._turn_at = now
            member = self._take_turn(now)
            if member is not None and member not in chosen:
                chosen.append(member)
        return [
            member
            for member in chosen
            if not member.removed
            and (target is None or member.entry.host != target.host)
        ]

    def _take_turn(self, now: float) -> _Member[EntryType] | None:
        """Returns the next recent member of a round over all members."""
        for _ in range(len(self._turns) or 1):
            if not self._turns:
                self._turns.extend(sorted(self._members))
            if not self._turns:
                return None
            member = self._members.get(self._turns.popleft())
            if member is not None and member.progress_at + RECENT_S > now:
                return member
        return None

    def expire(self, now: float) -> None:
        """Forgets members that have made no progress for a long time.

        Counters are kept twice as long, so that a delayed digest does not
        bring a forgotten member back.
        """
        for host, member in list(self._members.items()):
            limit = REMOVAL_S if host in self._near else FAR_REMOVAL_S
            member.removed = member.progress_at + limit <= now
            if member.progress_at + 2 * limit <= now:
                del self._members[host]
                self._near.pop(host, None)
                self._index(host, member.entry.groups, {})

    def list_other_members(self) -> list[EntryType]:
        """Lists the entries of all members but the own one."""
        return [
            member.entry
            for member in self._members.values()
            if not member.removed
        ]

    def list_domain_members(self) -> list[EntryType]:
        """Lists the entries of members that share a failure domain."""
        return [
            member.entry for member in self._near.values() if not member.removed
        ]

    def list_live(self, now: float) -> list[EntryType]:
        """Lists the own entry and those of members that are not suspected."""
        return [self._own] + [
            member.entry
            for member in self._members.values()
            if member.progress_at + SUSPICION_S > now
        ]

    def get_entry(self, host: str) -> EntryType | None:
        """Returns the entry of a host, if it is known."""
        if host == self._own.host:
            return self._own
        member = self._members.get(host)
        return None if member is None or member.removed else member.entry

    def is_suspected(self, host: str, now: float) -> bool:
        """Tells whether a host is unknown or has made no progress lately."""
        return self.measure_silence(host, now) >= SUSPICION_S

    def measure_silence(self, host: str, now: float) -> float:
        """Returns the seconds since a host's last progress."""
        if host == self._own.host:
            return 0.0
        member = self._members.get(host)
        return float("inf") if member is None else now - member.progress_at

    def locate_group(self, group: str) -> HolderLocation[EntryType] | None:
        """Returns the holder of a group with the highest announced epoch."""
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
                self._index(entry.host, member.entry.groups, entry.groups)
                member.entry = entry
                member.changed_at = now
        # Incarnations are random and have no order. Another one is the newer
        # one if the host itself says so, or if the known one has stopped.
        elif entry.incarnation not in member.replaced and (
            first_hand or member.progress_at + SUSPICION_S <= now
        ):
            replaced = [*member.replaced, member.entry.incarnation]
            self._add(
                _Member(entry, now, now, replaced=replaced[-INCARNATIONS:])
            )

    def _index(
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
        known = self._members.get(member.entry.host)
        before = known.entry.groups if known is not None else {}
        self._index(member.entry.host, before, member.entry.groups)
        self._members[member.entry.host] = member
        if self._is_near(member.entry):
            self._near[member.entry.host] = member
        else:
            self._near.pop(member.entry.host, None)

    def _is_near(self, entry: EntryType) -> bool:
        return _share_domain(entry, self._own)


def _share_domain(first: Entry, second: Entry) -> bool:
    other = second.failure_domains
    return any(
        other.get(fleet) == domain
        for fleet, domain in first.failure_domains.items()
    )
