"""What a host knows of the others by gossip (section 8 of the design)."""

from collections import abc
import dataclasses
import heapq
import random
import typing

#: Seconds without progress after which a member is suspected.
SUSPICION_S = 2.0

#: Seconds without progress after which a member is forgotten.
REMOVAL_S = 60.0

#: Entries without progress for longer are not passed on, so that a member
#: which some hosts have forgotten does not come back from others.
RECENT_S = 10.0

#: Bytes of a digest.
DIGEST_BYTES = 1024

#: Incarnations of one host whose counters are remembered.
INCARNATIONS = 4


class Entry(typing.Protocol):
    """Fields of a member entry; `sycamoreloft_wire.MemberEntry` has them."""

    @property
    def host(self) -> str:
        """Name of the host."""

    @property
    def incarnation(self) -> str:
        """Random identifier of the process."""

    @property
    def counter(self) -> int:
        """Grows with each gossip round of the process."""

    @property
    def peer_address(self) -> str:
        """Address for other hosts."""

    @property
    def caller_address(self) -> str:
        """Address for callers."""

    @property
    def admin_address(self) -> str:
        """Address for operators."""

    @property
    def failure_domains(self) -> abc.Mapping[str, str]:
        """Failure domains of the host by fleet name."""

    @property
    def leaving(self) -> bool:
        """Whether the host is stopping."""

    @property
    def groups(self) -> abc.Mapping[str, int]:
        """Epochs by group that the host holds."""

    @property
    def generation(self) -> int:
        """Accepted generation that the host applies."""


EntryType = typing.TypeVar("EntryType", bound=Entry)


@dataclasses.dataclass(frozen=True, slots=True)
class Location(typing.Generic[EntryType]):
    """Where the holder of a group is."""

    #: Entry of the holder.
    entry: EntryType
    #: Epoch that it announces.
    epoch: int


@dataclasses.dataclass(slots=True)
class _Member(typing.Generic[EntryType]):
    """A known host."""

    entry: EntryType
    progress_at: float
    counters: dict[str, int]
    sent_at: float = 0.0
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
        self._generation = own.generation
        self._near_round: list[str] = []
        self._round: list[str] = []

    @property
    def highest_generation(self) -> int:
        """Highest accepted generation that any host announced."""
        return self._generation

    def update_own(self, own: EntryType) -> None:
        """Replaces the own entry, which has the next counter."""
        self._own = own
        self._generation = max(self._generation, own.generation)

    def merge(self, entries: abc.Sequence[EntryType], now: float) -> None:
        """Takes a digest; the first entry is the sender's own."""
        for position, entry in enumerate(entries):
            if entry.host != self._own.host:
                self._merge_entry(entry, position == 0, now)

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
        near = {
            entry.host for entry in self.list_known() if self._is_near(entry)
        }
        for waiting, hosts in (
            (self._near_round, near),
            (self._round, set(self._members)),
        ):
            target = self._take_target(waiting, hosts, chosen)
            if target is not None:
                chosen.append(target)
        return chosen

    def _take_target(
        self,
        waiting: list[str],
        hosts: set[str],
        chosen: abc.Sequence[EntryType],
    ) -> EntryType | None:
        if not hosts.intersection(waiting):
            waiting[:] = sorted(hosts)
            self._generator.shuffle(waiting)
        while waiting:
            entry = self.find(waiting.pop())
            if entry is not None and entry not in chosen:
                return entry
        return None

    def choose_digest(
        self, now: float, target: EntryType | None = None
    ) -> list[EntryType]:
        """Chooses the entries to send, the own one first.

        Args:
            now: Time.
            target: Receiver; entries of its failure domains go first.
        """
        recent = [
            member
            for member in self._members.values()
            if not member.removed
            and member.progress_at + RECENT_S > now
            and (target is None or member.entry.host != target.host)
        ]
        # An entry that was sent since its last progress goes after all others.
        ordered = heapq.nsmallest(
            32,
            recent,
            key=lambda member: (
                target is not None and not _share_domain(member.entry, target),
                member.sent_at >= member.progress_at,
                member.sent_at,
                -member.progress_at,
            ),
        )
        digest = [self._own]
        left = DIGEST_BYTES - self._measure(self._own)
        for member in ordered:
            size = self._measure(member.entry)
            if size <= left:
                left -= size
                member.sent_at = now
                digest.append(member.entry)
        return digest

    def expire(self, now: float) -> None:
        """Forgets members that have made no progress for a long time.

        Counters are kept twice as long, so that a delayed digest does not
        bring a forgotten member back.
        """
        for host, member in list(self._members.items()):
            member.removed = member.progress_at + REMOVAL_S <= now
            if member.progress_at + 2 * REMOVAL_S <= now:
                del self._members[host]

    def list_known(self) -> list[EntryType]:
        """Lists the entries of all members but the own one."""
        return [
            member.entry
            for member in self._members.values()
            if not member.removed
        ]

    def list_live(self, now: float) -> list[EntryType]:
        """Lists the own entry and those of members that are not suspected."""
        return [self._own] + [
            member.entry
            for member in self._members.values()
            if member.progress_at + SUSPICION_S > now
        ]

    def find(self, host: str) -> EntryType | None:
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

    def locate_group(self, group: str) -> Location[EntryType] | None:
        """Returns the holder of a group with the highest announced epoch."""
        best: Location[EntryType] | None = None
        for entry in (self._own, *self.list_known()):
            epoch = entry.groups.get(group)
            if epoch is not None and (best is None or epoch > best.epoch):
                best = Location(entry, epoch)
        return best

    def _merge_entry(
        self, entry: EntryType, first_hand: bool, now: float
    ) -> None:
        self._generation = max(self._generation, entry.generation)
        member = self._members.get(entry.host)
        if member is None:
            counters = {entry.incarnation: entry.counter}
            self._members[entry.host] = _Member(entry, now, counters)
            return
        if entry.counter <= member.counters.get(entry.incarnation, -1):
            return
        member.counters[entry.incarnation] = entry.counter
        while len(member.counters) > INCARNATIONS:
            del member.counters[next(iter(member.counters))]
        # Incarnations are random and have no order. Another one is the newer
        # one if the host itself says so, or if the known one has stopped.
        if (
            entry.incarnation == member.entry.incarnation
            or first_hand
            or member.progress_at + SUSPICION_S <= now
        ):
            member.entry = entry
            member.progress_at = now
            member.removed = False

    def _is_near(self, entry: EntryType) -> bool:
        return _share_domain(entry, self._own)


def estimate_size(entry: Entry) -> int:
    """Estimates the encoded size of an entry from above, in bytes.

    Each text and number has at most 5 bytes of overhead in msgpack, and a
    counter, generation or epoch has at most 9 bytes.
    """
    texts = [
        entry.host,
        entry.incarnation,
        entry.peer_address,
        entry.caller_address,
        entry.admin_address,
        *entry.failure_domains.keys(),
        *entry.failure_domains.values(),
        *entry.groups.keys(),
    ]
    numbers = 2 + len(entry.groups)
    return 16 + 9 * numbers + sum(len(text.encode()) + 2 for text in texts)


def _share_domain(first: Entry, second: Entry) -> bool:
    other = second.failure_domains
    return any(
        other.get(fleet) == domain
        for fleet, domain in first.failure_domains.items()
    )
