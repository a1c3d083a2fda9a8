"""Recorded owners of one group and the encoding of their rows."""

from collections import abc
import typing

import sycamoreloft_config
from sycamoreloft_decisions import _ownership, _rows

#: New owners by unit; None deletes the record of the unit.
Changes = abc.Mapping[_ownership.Unit, _rows.Assignment | None]


class OwnerRecords:
    """The owners of one group's units as the store has recorded them.

    Args:
        group: The group.
        tables: Assignments of all groups of the fleet.
        generation: The accepted generation. It gives the number of
            partitions, to which hot keys are hashed, and the lost domains.
    """

    def __init__(
        self,
        group: sycamoreloft_config.GroupName,
        tables: abc.Mapping[
            sycamoreloft_config.GroupName, _rows.AssignmentTable
        ],
        generation: sycamoreloft_config.Generation,
    ) -> None:
        self._group = group
        self._generation = generation
        self._owners: dict[_ownership.Unit, _rows.Assignment] = {}
        self._by_upstream: dict[str, set[_ownership.Unit]] = {}
        self._rows: dict[str, dict[typing.Any, _rows.Assignment]] = {}
        self._last_fence = 0
        # Records of other groups: the group and the fence of each unit.
        self._foreign_records: dict[
            _ownership.Unit, tuple[sycamoreloft_config.GroupName, int]
        ] = {}
        self._foreign_partitions: set[tuple[str, int]] = set()
        own = tables.get(group, _rows.EMPTY_TABLE)
        self.apply(self._list_units(own))
        self.set_foreign_records(tables, generation)

    def set_foreign_records(
        self,
        tables: abc.Mapping[
            sycamoreloft_config.GroupName, _rows.AssignmentTable
        ],
        generation: sycamoreloft_config.Generation,
    ) -> None:
        """Replaces what is known of the records of other groups.

        Records of groups in a failure domain that is declared lost are
        ignored, since their owners no longer run.
        """
        self._generation = generation
        fleet = generation.fleets.get(self._group.fleet)
        self._foreign_records = {}
        self._foreign_partitions = set()
        for group, table in tables.items():
            if group == self._group:
                continue
            units = self._list_units(table)
            fences = [record.fence for record in units.values()]
            self._last_fence = max([self._last_fence, *fences])
            domain = fleet and fleet.failure_domains.get(group.failure_domain)
            if domain and domain.lost:
                continue
            for unit, assignment in units.items():
                self._foreign_records[unit] = (group, assignment.fence)
                self._foreign_partitions.add((unit.service, unit.partition))

    def list_superseded(self) -> list[_ownership.Unit]:
        """Lists units of this group that another group has recorded since.

        Another group takes them over while this group's failure domain is
        declared lost. The later of the two records has the higher fence.
        """
        return [
            unit
            for unit, (_, fence) in self._foreign_records.items()
            if unit in self._owners and self._owners[unit].fence < fence
        ]

    def has_foreign_record(self, unit: _ownership.Unit) -> bool:
        """Returns whether another group has recorded the unit's partition.

        A record of any hot key of the partition counts as well.
        """
        return (unit.service, unit.partition) in self._foreign_partitions

    def get(self, unit: _ownership.Unit) -> _rows.Assignment | None:
        """Returns the recorded owner of a unit, None if there is none."""
        return self._owners.get(unit)

    def list_upstreams(self) -> list[str]:
        """Lists the upstreams that own at least one unit."""
        return [name for name, units in self._by_upstream.items() if units]

    def list_owned(self, upstream: str) -> abc.Set[_ownership.Unit]:
        """Returns the units that an upstream owns."""
        return self._by_upstream.get(upstream, set())

    def get_records(self) -> abc.Mapping[_ownership.Unit, _rows.Assignment]:
        """Returns the recorded owners by unit."""
        return self._owners

    def allocate_fence(self) -> int:
        """Returns a fence higher than all recorded ones of the fleet."""
        self._last_fence += 1
        return self._last_fence

    def build_puts(self, changes: Changes) -> dict[str, dict[str, typing.Any]]:
        """Encodes each row that the changes affect, with all its owners."""
        rows: dict[str, dict[typing.Any, _rows.Assignment]] = {}
        for unit, assignment in changes.items():
            key = self._format_row_key(unit)
            if key not in rows:
                rows[key] = dict(self._rows.get(key, {}))
            name: typing.Any = unit.key or unit.partition
            if assignment is None:
                rows[key].pop(name, None)
            else:
                rows[key][name] = assignment
        return {key: _rows.encode_chunk(row) for key, row in rows.items()}

    def apply(self, changes: Changes) -> None:
        """Applies changes that the store has committed."""
        for unit, assignment in changes.items():
            old = self._owners.pop(unit, None)
            row = self._rows.setdefault(self._format_row_key(unit), {})
            row.pop(unit.key or unit.partition, None)
            if old:
                self._by_upstream[old.upstream].discard(unit)
            if assignment is None:
                continue
            self._owners[unit] = assignment
            row[unit.key or unit.partition] = assignment
            owned = self._by_upstream.setdefault(assignment.upstream, set())
            owned.add(unit)
            self._last_fence = max(self._last_fence, assignment.fence)

    def _format_row_key(self, unit: _ownership.Unit) -> str:
        if unit.key:
            return _rows.format_hot_keys_key(self._group, unit.service)
        return _rows.format_partition_key(
            self._group, unit.service, unit.partition
        )

    def _list_units(
        self, table: _rows.AssignmentTable
    ) -> dict[_ownership.Unit, _rows.Assignment]:
        units = {
            _ownership.Unit(service, partition): assignment
            for service, owners in table.partitions.items()
            for partition, assignment in owners.items()
        }
        for service, keys in table.hot_keys.items():
            for key, assignment in keys.items():
                units[self.make_hot_unit(service, key)] = assignment
        return units

    def make_hot_unit(self, service: str, key: str) -> _ownership.Unit:
        """Builds the unit of a hot key from the partition that it hashes to."""
        fleet = self._generation.fleets.get(self._group.fleet)
        definition = fleet.services.get(service) if fleet else None
        count = definition.partitions if definition else 1
        partition = sycamoreloft_config.compute_partition(
            self._group.fleet, service, key, count
        )
        return _ownership.Unit(service, partition, key)
