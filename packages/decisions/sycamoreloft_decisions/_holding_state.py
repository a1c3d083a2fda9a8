"""What a holder knows in one epoch."""

import collections.abc
import dataclasses
import itertools
import math

import sycamoreloft_config
from sycamoreloft_decisions import (
    _authority,
    _explanations,
    _grants,
    _loads,
    _moves,
    _owners,
    _ownership,
    _placement_groups,
    _rows,
    _timing,
)


@dataclasses.dataclass(slots=True)
class HoldingState:
    """State of one epoch, shared by planning and the steps of moves."""

    #: Name of this host.
    host: str
    #: The group.
    group: sycamoreloft_config.GroupName
    #: The accepted generation.
    generation: sycamoreloft_config.Generation
    #: The pending generation.
    pending: sycamoreloft_config.Generation | None
    #: Division of partitions among groups in the accepted generation.
    directory: _placement_groups.PartitionDirectory
    #: The same in the pending generation.
    pending_directory: _placement_groups.PartitionDirectory | None
    #: Right to act.
    authority: _authority.Authority
    #: Recorded owners.
    owners: _owners.OwnerBook
    #: Numbers for calls.
    calls: "itertools.count[int]"
    #: Sentences for operators.
    explanations: _explanations.Explanations
    #: Time at which the group was taken.
    taken_at: float
    #: Former holders not known to have stopped.
    earlier: list[_rows.EarlierHolder]
    #: Time at which their grants have certainly ended.
    earlier_end: float
    #: The same by the offline limit alone.
    offline_end: float
    #: Moves under way.
    moves: _moves.MoveBook = dataclasses.field(default_factory=_moves.MoveBook)
    #: Grants by upstream, also of upstreams that can no longer be reached but
    #: are recorded as owners.
    books: dict[str, _grants.GrantBook] = dataclasses.field(
        default_factory=dict
    )
    #: Upstreams of the group in the accepted generation that are not lost.
    upstreams: dict[str, sycamoreloft_config.Upstream] = dataclasses.field(
        default_factory=dict
    )
    #: Observed loads by service.
    loads: dict[str, _loads.ServiceLoads] = dataclasses.field(
        default_factory=dict
    )
    #: Partitions of this group that have no recorded owner.
    unassigned: set[_ownership.Unit] = dataclasses.field(default_factory=set)
    #: Whether the records of the other groups were read under the accepted
    #: generation. Those read before the group was taken may be older.
    is_foreign_known: bool = False

    def get_fleet(self) -> sycamoreloft_config.Fleet | None:
        """Returns the group's fleet, None if no file declares it now."""
        return self.generation.fleets.get(self.group.fleet)

    def is_group_declared(self) -> bool:
        """Tells whether the accepted files have the group, and not as lost."""
        fleet = self.get_fleet()
        if fleet is None:
            return False
        domain = fleet.failure_domains.get(self.group.failure_domain)
        return (
            domain is not None
            and not domain.lost
            and self.group.index < domain.groups
        )

    def get_offline_limit(self) -> float:
        """Returns the lower offline limit of the files in force."""
        limits = [
            item.fleets[self.group.fleet].offline_limit_s
            for item in (self.generation, self.pending)
            if item is not None and self.group.fleet in item.fleets
        ]
        return min(limits, default=math.inf)

    def is_generation_current(self) -> bool:
        """Tells whether this host knows the generation that was staged.

        A generation that a predecessor staged may be in force already, and
        its partitions may have an owner in another group.
        """
        known = self.pending or self.generation
        return known.number >= self.authority.get_row().staged

    def get_earlier_end(self) -> float:
        """Returns when all grants of earlier holders have certainly ended."""
        return min(self.earlier_end, self.offline_end)

    def is_vouched_lost(self, upstream: str) -> bool:
        """Tells whether a file declares that an upstream no longer runs."""
        fleet = self.get_fleet()
        found = fleet.upstreams.get(upstream) if fleet else None
        return found is not None and found.lost

    def is_leaving(self, upstream: str) -> bool:
        """Tells whether an upstream must get no new work."""
        found = self.upstreams.get(upstream)
        book = self.books.get(upstream)
        return (found is not None and found.leaving) or (
            book is not None and book.draining
        )

    def is_usable(self, upstream: str, service: str, now: float) -> bool:
        """Tells whether an upstream can be given units of a service."""
        found = self.upstreams.get(upstream)
        return (
            found is not None
            and found.service == service
            and not self.is_leaving(upstream)
            and self.books[upstream].has_answered()
            and self.books[upstream].is_reachable(now)
        )

    def is_settled(self, now: float) -> bool:
        """Tells whether every upstream has had its time to answer.

        Before that, the first upstreams to answer would be given the units of
        all others.
        """
        return all(
            book.has_answered() or not book.is_reachable(now)
            for book in self.books.values()
        )

    def get_loads(self, service: str) -> _loads.ServiceLoads:
        """Returns the observed loads of a service."""
        if service not in self.loads:
            fleet = self.get_fleet()
            found = fleet.services.get(service) if fleet else None
            count = found.partitions if found else 1
            self.loads[service] = _loads.ServiceLoads(
                self.group.fleet, service, count, self.taken_at
            )
        return self.loads[service]

    def find_unassigned(self) -> None:
        """Lists the partitions of this group that have no recorded owner."""
        self.unassigned = set()
        fleet = self.get_fleet()
        if fleet is None:
            return
        for service in fleet.services.values():
            if not service.keyed:
                continue
            for partition in range(service.partitions):
                unit = _ownership.Unit(service.name, partition)
                if self.owners.get(unit) is None and self.belongs(unit):
                    self.unassigned.add(unit)

    def belongs(self, unit: _ownership.Unit) -> bool:
        """Tells whether a unit belongs to this group."""
        found = self.directory.get_group(
            self.group.fleet, unit.service, unit.partition
        )
        return found == self.group

    def belongs_in_pending(self, unit: _ownership.Unit) -> bool:
        """Tells whether the pending generation leaves a unit here."""
        if self.pending_directory is None:
            return True
        found = self.pending_directory.get_group(
            self.group.fleet, unit.service, unit.partition
        )
        return found == self.group

    def refresh_books(self, now: float) -> None:
        """Makes a grant book for each upstream and each recorded owner."""
        fleet = self.get_fleet()
        listed = (
            sycamoreloft_config.list_group_upstreams(fleet, self.group)
            if fleet and self.is_group_declared()
            else []
        )
        self.upstreams = {item.name: item for item in listed if not item.lost}
        names = [*self.upstreams, *self.owners.list_upstreams()]
        for name in names:
            if name in self.books:
                continue
            upstream = self.upstreams.get(name)
            book = _grants.GrantBook(
                name,
                upstream is not None and upstream.checks_fences,
                self.authority.get_row().epoch,
                self.calls,
                now,
            )
            owned = {
                unit: assignment.fence
                for unit, assignment in self.owners.list_all().items()
                if assignment.upstream == name
            }
            book.change(owned, ())
            self.books[name] = book

    def explain(self, sentence: str) -> _ownership.RecordDecision:
        """Keeps the sentence of a decision."""
        self.explanations.add(sentence)
        return _ownership.RecordDecision(sentence)

    def list_grants(
        self, now: float
    ) -> "collections.abc.Iterable[_ownership.SendGrant]":
        """Sends the grants that are due."""
        may_act = self.authority.may_act(now)
        for name in self.upstreams:
            yield from self.books[name].tick(now, may_act)

    def update_earlier(self, now: float) -> None:
        """Forgets earlier holders that the offline limit has stopped."""
        if self.earlier and now >= self.offline_end:
            self.earlier.clear()
            self.earlier_end = min(self.earlier_end, self.offline_end)

    def note_stopped(self, host: str, now: float) -> None:
        """Notes that an earlier holder has stopped acting."""
        left = [item for item in self.earlier if item.host != host]
        if len(left) == len(self.earlier):
            return
        self.earlier[:] = left
        if not left:
            self.earlier_end = now + _timing.GRANT_CERTAIN_END_S
