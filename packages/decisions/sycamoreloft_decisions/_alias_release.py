"""Delays a canonical service until the partitions of its aliases are released.

A merge file makes the keys of an alias keys of its canonical service. Upstreams
of the alias may own such keys until the holders of the alias's groups have
deleted their records. Until then, no permit of the canonical service is issued,
because a key could otherwise have two owners.
"""

from collections import abc
import dataclasses
import functools
import itertools
import typing

import sycamoreloft_config
from sycamoreloft_decisions import _ownership, _rows, _timing

#: Minimum time between two reads of the assignment rows by one host.
ALIAS_READ_INTERVAL_S = 1.0

_Reference: typing.TypeAlias = sycamoreloft_config.ServiceReference


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAliasRows:
    """Read the assignment rows of fleets with aliases not known as released."""

    #: Identifier that the answer repeats.
    call: int
    #: Table key prefixes of the rows; one for each fleet.
    prefixes: abc.Sequence[str]


@dataclasses.dataclass(frozen=True, slots=True)
class AliasRowsRead:
    """Answer to `ReadAliasRows`; all rows are from one consistent snapshot."""

    #: Identifier of the `ReadAliasRows` command.
    call: int
    #: Assignments by group.
    tables: abc.Mapping[sycamoreloft_config.GroupName, _rows.AssignmentTable]


AliasEvent = (
    _ownership.GenerationChanged
    | AliasRowsRead
    | _ownership.ReadFailed
    | _ownership.Tick
)


class AliasRelease:
    """State machine that decides which canonical services may be served.

    Only a `Tick` event starts a read. The runtime delivers them only while
    this host holds a group, so other hosts never read.
    """

    def __init__(self) -> None:
        self._calls = itertools.count(1)
        self._generation_number = 0
        self._canonicals: dict[_Reference, _Reference] = {}
        self._accepted: sycamoreloft_config.Generation | None = None
        self._pending: sycamoreloft_config.Generation | None = None
        # Released aliases. Their value has the groups that still record owners
        # but are in lost failure domains, so that these records were ignored.
        self._released: dict[
            _Reference, frozenset[sycamoreloft_config.GroupName]
        ] = {}
        self._waiting: dict[tuple[str, str], list[str]] = {}
        # Identifier and send time of the read in flight.
        self._read: tuple[int, float] | None = None
        self._next_read_at = 0.0

    def is_released(self, fleet: str, service: str) -> bool:
        """Returns whether all aliases of a canonical service are released.

        Args:
            fleet: Fleet of the canonical service.
            service: Name of the canonical service.
        """
        return (fleet, service) not in self._waiting

    def list_waiting(self) -> abc.Mapping[str, abc.Sequence[str]]:
        """Returns the aliases that are not released, by canonical service.

        Services are named as "fleet/service".
        """
        return {
            f"{fleet}/{service}": tuple(aliases)
            for (fleet, service), aliases in self._waiting.items()
        }

    @functools.singledispatchmethod
    def handle(
        self, event: AliasEvent, now: float
    ) -> abc.Sequence[ReadAliasRows]:
        """Handles an event and returns reads to perform.

        Args:
            event: The event.
            now: Clock reading in seconds.
        """
        raise TypeError(f"unknown event {event!r}")

    @handle.register
    def _(
        self, event: _ownership.GenerationChanged, now: float
    ) -> abc.Sequence[ReadAliasRows]:
        accepted = event.generation
        if accepted.number != self._generation_number:
            canonicals = _map_aliases(accepted)
            # If this host has missed a generation, partitions may have been
            # assigned to an alias in between.
            is_next = accepted.number == self._generation_number + 1
            self._released = {
                alias: lost_groups
                for alias, lost_groups in self._released.items()
                if is_next
                and alias in canonicals
                and _are_declared_lost(accepted, lost_groups)
            }
            self._canonicals = canonicals
            self._generation_number = accepted.number
            # A read that was sent under an earlier generation proves nothing:
            # holders may have assigned partitions by it after the read.
            self._read = None
        self._accepted, self._pending = accepted, event.pending
        self._update_waiting()
        return ()

    @handle.register
    def _(
        self, event: AliasRowsRead, now: float
    ) -> abc.Sequence[ReadAliasRows]:
        if self._finish_read(event.call) and self._accepted is not None:
            for alias in self._canonicals.keys() - self._released.keys():
                groups = _list_recording_groups(alias, event.tables)
                if _are_declared_lost(self._accepted, groups):
                    self._released[alias] = groups
            self._update_waiting()
        return ()

    @handle.register
    def _(
        self, event: _ownership.ReadFailed, now: float
    ) -> abc.Sequence[ReadAliasRows]:
        self._finish_read(event.call)
        return ()

    @handle.register
    def _(
        self, event: _ownership.Tick, now: float
    ) -> abc.Sequence[ReadAliasRows]:
        if self._read and now >= self._read[1] + _timing.TABLE_TIMEOUT_S:
            self._read = None
        unreleased = self._canonicals.keys() - self._released.keys()
        if not unreleased or self._read or now < self._next_read_at:
            return ()
        self._read = (next(self._calls), now)
        self._next_read_at = now + ALIAS_READ_INTERVAL_S
        fleets = sorted({alias.fleet for alias in unreleased})
        return (
            ReadAliasRows(
                self._read[0],
                tuple(_rows.format_fleet_prefix(fleet) for fleet in fleets),
            ),
        )

    def _finish_read(self, call: int) -> bool:
        if self._read is None or self._read[0] != call:
            return False
        self._read = None
        return True

    def _update_waiting(self) -> None:
        """Computes the aliases for which canonical services must wait.

        If a pending generation declares a lost domain as running again, the
        service waits from then on, before the generation is accepted: the
        holder in that domain starts with the records that were ignored.
        """
        self._waiting = {}
        for alias, canonical in sorted(self._canonicals.items()):
            lost_groups = self._released.get(alias)
            if lost_groups is not None and (
                self._pending is None
                or _are_declared_lost(self._pending, lost_groups)
            ):
                continue
            key = (canonical.fleet, canonical.service)
            self._waiting.setdefault(key, []).append(str(alias))


def _map_aliases(
    generation: sycamoreloft_config.Generation,
) -> dict[_Reference, _Reference]:
    """Returns the canonical service of each alias of a keyed service."""
    canonicals = {}
    for name, canonical_name in generation.merge.service_canonicals.items():
        alias = _Reference(*name.split("/"))
        canonical = _Reference(*canonical_name.split("/"))
        if generation.fleets[canonical.fleet].services[canonical.service].keyed:
            canonicals[alias] = canonical
    return canonicals


def _list_recording_groups(
    alias: _Reference,
    tables: abc.Mapping[sycamoreloft_config.GroupName, _rows.AssignmentTable],
) -> frozenset[sycamoreloft_config.GroupName]:
    """Returns the groups that record owners of partitions of an alias."""
    return frozenset(
        group
        for group, table in tables.items()
        if group.fleet == alias.fleet
        and (
            table.partitions.get(alias.service)
            or table.hot_keys.get(alias.service)
        )
    )


def _are_declared_lost(
    generation: sycamoreloft_config.Generation,
    groups: abc.Iterable[sycamoreloft_config.GroupName],
) -> bool:
    """Returns whether all groups are in failure domains declared lost."""
    for group in groups:
        fleet = generation.fleets.get(group.fleet)
        domain = fleet and fleet.failure_domains.get(group.failure_domain)
        if not domain or not domain.lost:
            return False
    return True
