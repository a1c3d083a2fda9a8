"""State of a group's holder in one epoch."""

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
    """State of one epoch, which the planning and the moves share.

    Times are readings of this host's clock in seconds.
    """

    #: Name of this host, which is the holder.
    host: str
    group: sycamoreloft_config.GroupName
    #: The accepted generation.
    generation: sycamoreloft_config.Generation
    #: The pending generation; None if there is none.
    pending: sycamoreloft_config.Generation | None
    #: Group of each partition in the accepted generation.
    directory: _placement_groups.PartitionDirectory
    #: Group of each partition in the pending generation.
    pending_directory: _placement_groups.PartitionDirectory | None
    authority: _authority.Authority
    #: Owners whose records the store has committed.
    owners: _owners.OwnerRecords
    #: Source of identifiers for commands.
    calls: "itertools.count[int]"
    #: Latest decisions, for operators.
    explanations: _explanations.Explanations
    #: When the epoch began.
    taken_over_at: float
    #: Former holders that are not known to have stopped.
    earlier: list[_rows.EarlierHolder]
    #: When all grants of former holders have certainly expired; infinite while
    #: `earlier` is not empty.
    earlier_end: float
    #: When these grants have expired at the latest, because the offline limit
    #: has stopped the former holders.
    offline_end: float
    moves: _moves.ActiveMoves = dataclasses.field(
        default_factory=_moves.ActiveMoves
    )
    #: Grants of the group's upstreams, and of other upstreams that are still
    #: recorded as owners, by upstream name.
    grants_by_upstream: dict[str, _grants.UpstreamGrants] = dataclasses.field(
        default_factory=dict
    )
    #: Upstreams of the group in the accepted generation that are not declared
    #: lost, by name.
    upstreams: dict[str, sycamoreloft_config.Upstream] = dataclasses.field(
        default_factory=dict
    )
    #: Observed loads by service name.
    loads: dict[str, _loads.ServiceLoads] = dataclasses.field(
        default_factory=dict
    )
    #: Partitions of this group without a recorded owner.
    unassigned: set[_ownership.Unit] = dataclasses.field(default_factory=set)
    #: Whether the records of other groups were read since the accepted
    #: generation came into force. Those that the takeover read may be older.
    are_foreign_records_current: bool = False

    def get_fleet(self) -> sycamoreloft_config.Fleet | None:
        """Returns the group's fleet, None if no accepted file declares it."""
        return self.generation.fleets.get(self.group.fleet)

    def is_group_declared(self) -> bool:
        """Returns whether the accepted files declare the group as running."""
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
        """Returns the offline limit, in seconds.

        While a generation is pending, its limit counts if it is lower. The
        limit is infinite if no file declares the fleet.
        """
        limits = [
            item.fleets[self.group.fleet].offline_limit_s
            for item in (self.generation, self.pending)
            if item is not None and self.group.fleet in item.fleets
        ]
        return min(limits, default=math.inf)

    def is_generation_current(self) -> bool:
        """Returns whether this host knows the latest staged generation.

        A generation that an earlier holder staged may have been accepted
        since, and another group may have assigned partitions by it.
        """
        known = self.pending or self.generation
        return known.number >= self.authority.get_row().staged

    def get_earlier_end(self) -> float:
        """Returns when all grants of former holders have certainly expired."""
        return min(self.earlier_end, self.offline_end)

    def is_declared_lost(self, upstream: str) -> bool:
        """Returns whether an accepted file declares an upstream lost."""
        fleet = self.get_fleet()
        definition = fleet.upstreams.get(upstream) if fleet else None
        return definition is not None and definition.lost

    def is_leaving(self, upstream: str) -> bool:
        """Returns whether an upstream must not receive new work.

        Either the configuration declares it leaving, or it reports that it is
        draining.
        """
        definition = self.upstreams.get(upstream)
        grants = self.grants_by_upstream.get(upstream)
        return (definition is not None and definition.leaving) or (
            grants is not None and grants.draining
        )

    def is_usable(self, upstream: str, service: str, now: float) -> bool:
        """Returns whether units of a service can be assigned to an upstream."""
        definition = self.upstreams.get(upstream)
        return (
            definition is not None
            and definition.service == service
            and not self.is_leaving(upstream)
            and self.grants_by_upstream[upstream].has_answered()
            and self.grants_by_upstream[upstream].is_reachable(now)
        )

    def is_first_contact_over(self, now: float) -> bool:
        """Returns whether each upstream has answered or had time to do so.

        Units are only assigned after that: otherwise the first upstreams to
        answer would receive the units of all others.
        """
        return all(
            grants.has_answered() or not grants.is_reachable(now)
            for grants in self.grants_by_upstream.values()
        )

    def get_loads(self, service: str) -> _loads.ServiceLoads:
        """Returns the observed loads of a service."""
        if service not in self.loads:
            fleet = self.get_fleet()
            definition = fleet.services.get(service) if fleet else None
            count = definition.partitions if definition else 1
            self.loads[service] = _loads.ServiceLoads(
                self.group.fleet, service, count, self.taken_over_at
            )
        return self.loads[service]

    def update_unassigned(self) -> None:
        """Computes `unassigned` from the records and the generation."""
        self.unassigned = set()
        fleet = self.get_fleet()
        if fleet is None:
            return
        for service in fleet.services.values():
            if not service.keyed:
                continue
            for partition in range(service.partitions):
                unit = _ownership.Unit(service.name, partition)
                if self.owners.get(unit) is None and self.belongs_to_group(
                    unit
                ):
                    self.unassigned.add(unit)

    def belongs_to_group(self, unit: _ownership.Unit) -> bool:
        """Returns whether a unit belongs to this group in `generation`."""
        owner_group = self.directory.get_group(
            self.group.fleet, unit.service, unit.partition
        )
        return owner_group == self.group

    def belongs_in_pending_generation(self, unit: _ownership.Unit) -> bool:
        """Returns whether a unit belongs to this group in `pending`."""
        if self.pending_directory is None:
            return True
        owner_group = self.pending_directory.get_group(
            self.group.fleet, unit.service, unit.partition
        )
        return owner_group == self.group

    def update_grants(self, now: float) -> None:
        """Adds grants for new upstreams and recorded owners without grants."""
        fleet = self.get_fleet()
        listed = (
            sycamoreloft_config.list_group_upstreams(fleet, self.group)
            if fleet and self.is_group_declared()
            else []
        )
        self.upstreams = {item.name: item for item in listed if not item.lost}
        names = [*self.upstreams, *self.owners.list_upstreams()]
        for name in names:
            if name in self.grants_by_upstream:
                continue
            upstream = self.upstreams.get(name)
            grants = _grants.UpstreamGrants(
                name,
                upstream is not None and upstream.checks_fences,
                self.authority.get_row().epoch,
                self.calls,
                now,
            )
            owned = {
                unit: assignment.fence
                for unit, assignment in self.owners.get_records().items()
                if assignment.upstream == name
            }
            grants.update_content(owned, ())
            self.grants_by_upstream[name] = grants

    def explain(self, sentence: str) -> _ownership.RecordDecision:
        """Adds a decision to the explanations."""
        self.explanations.add(sentence)
        return _ownership.RecordDecision(sentence)

    def send_due_grants(
        self, now: float
    ) -> "collections.abc.Iterable[_ownership.SendGrant]":
        """Returns the grants that must be sent now."""
        may_act = self.authority.may_act(now)
        for name in self.upstreams:
            yield from self.grants_by_upstream[name].tick(now, may_act)

    def expire_earlier(self, now: float) -> None:
        """Removes earlier holders that the offline limit has stopped."""
        if self.earlier and now >= self.offline_end:
            self.earlier.clear()
            self.earlier_end = min(self.earlier_end, self.offline_end)

    def record_stopped(self, host: str, now: float) -> None:
        """Records that an earlier holder confirmed that it has stopped."""
        remaining = [item for item in self.earlier if item.host != host]
        if len(remaining) == len(self.earlier):
            return
        self.earlier[:] = remaining
        if not remaining:
            self.earlier_end = now + _timing.GRANT_CERTAIN_END_S
