"""Rows of the store's table that record a group's holder and assignments."""

from collections import abc
import dataclasses
import typing

import sycamoreloft_config

#: Number of partitions that are recorded in one row. A move rewrites a whole
#: row, so this bounds the bytes of a write; a service with 65,536 partitions
#: has 64 rows.
PARTITIONS_PER_ROW = 1_024

#: Last segment of the table key of the row that records hot keys.
HOT_KEYS_ROW = "hot"


@dataclasses.dataclass(frozen=True, slots=True)
class EarlierHolder:
    """A former holder that is not known to have stopped acting."""

    #: Epoch in which the host held the group.
    epoch: int
    host: str
    #: Offline limit that the holder recorded and obeys, in seconds.
    offline_limit_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRow:
    """The row that records which host may act for a group."""

    group: sycamoreloft_config.GroupName
    #: Increases by one with each takeover.
    epoch: int
    #: Host that holds the group; empty after a planned handover.
    holder: str
    #: Random identifier of the holder's process. It distinguishes the row from
    #: one that an earlier process of the same host wrote.
    incarnation: str
    #: Host that must promise not to take over while the holder acts; empty if
    #: there is no standby.
    standby: str = ""
    #: Latest generation that the holder has staged; 0 for none.
    staged: int = 0
    #: Increases with each write of the row in the same epoch.
    heartbeat: int = 0
    #: Time after the last write for which the holder may act, in seconds. It is
    #: recorded because a holder that cannot reach the store obeys the limit
    #: that it knew, not that of a later generation.
    offline_limit_s: float = 3_900.0
    #: Former holders that are not known to have stopped. A standby may rely
    #: on an expired promise alone only if there are none: the promise proves
    #: that the holder which requested it has stopped, but no earlier one.
    earlier: abc.Sequence[EarlierHolder] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The recorded owner of a partition or hot key."""

    #: Upstream name in the configuration.
    upstream: str
    #: Fencing token; higher in each later record of the unit.
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class AssignmentTable:
    """The recorded owners of one group's units."""

    #: Owners of partitions, by service and partition number.
    partitions: abc.Mapping[str, abc.Mapping[int, Assignment]]
    #: Owners of separately placed hot keys, by service and key.
    hot_keys: abc.Mapping[str, abc.Mapping[str, Assignment]]


#: The table of a group without any record.
EMPTY_TABLE = AssignmentTable({}, {})


def format_group_key(group: sycamoreloft_config.GroupName) -> str:
    """Returns the table key of a group row."""
    return f"group/{group}"


def format_assignment_prefix(group: sycamoreloft_config.GroupName) -> str:
    """Returns the table key prefix of a group's assignment rows."""
    return f"assign/{group}/"


def format_fleet_prefix(fleet: str) -> str:
    """Returns the table key prefix of a whole fleet's assignment rows."""
    return f"assign/{fleet}/"


def format_partition_key(
    group: sycamoreloft_config.GroupName, service: str, partition: int
) -> str:
    """Returns the table key of the row that records a partition's owner."""
    prefix = format_assignment_prefix(group)
    return f"{prefix}{service}/{partition // PARTITIONS_PER_ROW}"


def format_hot_keys_key(
    group: sycamoreloft_config.GroupName, service: str
) -> str:
    """Returns the table key of the row that records a service's hot keys."""
    return f"{format_assignment_prefix(group)}{service}/{HOT_KEYS_ROW}"


def encode_group_row(row: GroupRow) -> dict[str, typing.Any]:
    """Encodes a group row as a JSON object."""
    return {
        "group": str(row.group),
        "epoch": row.epoch,
        "holder": row.holder,
        "incarnation": row.incarnation,
        "standby": row.standby,
        "staged": row.staged,
        "heartbeat": row.heartbeat,
        "offline_limit_s": row.offline_limit_s,
        "earlier": [
            [former.epoch, former.host, former.offline_limit_s]
            for former in row.earlier
        ],
    }


def decode_group_row(value: abc.Mapping[str, typing.Any]) -> GroupRow:
    """Decodes a group row from its JSON object."""
    return GroupRow(
        group=sycamoreloft_config.parse_group_name(value["group"]),
        epoch=value["epoch"],
        holder=value["holder"],
        incarnation=value["incarnation"],
        standby=value["standby"],
        staged=value["staged"],
        heartbeat=value["heartbeat"],
        offline_limit_s=value["offline_limit_s"],
        earlier=tuple(
            EarlierHolder(epoch, host, limit)
            for epoch, host, limit in value["earlier"]
        ),
    )


def encode_table(
    group: sycamoreloft_config.GroupName, table: AssignmentTable
) -> dict[str, dict[str, typing.Any]]:
    """Encodes a table as rows: JSON objects by table key."""
    rows: dict[str, dict[str, typing.Any]] = {}
    for service, owners in table.partitions.items():
        chunks: dict[str, dict[int, Assignment]] = {}
        for partition, assignment in owners.items():
            key = format_partition_key(group, service, partition)
            chunks.setdefault(key, {})[partition] = assignment
        for key, chunk in chunks.items():
            rows[key] = encode_chunk(chunk)
    for service, keys in table.hot_keys.items():
        if keys:
            rows[format_hot_keys_key(group, service)] = encode_chunk(keys)
    return rows


def encode_chunk(
    owners: abc.Mapping[typing.Any, Assignment],
) -> dict[str, typing.Any]:
    """Encodes one row, which has the owners of some partitions or hot keys.

    The row has three parallel lists: the upstreams, and for each upstream the
    partition numbers (or keys) that it owns and their fences.

    Args:
        owners: Owners by partition number or by hot key.
    """
    by_upstream: dict[str, tuple[list[typing.Any], list[int]]] = {}
    for unit in sorted(owners):
        names, fences = by_upstream.setdefault(owners[unit].upstream, ([], []))
        names.append(unit)
        fences.append(owners[unit].fence)
    return {
        "upstreams": list(by_upstream),
        "units": [names for names, _ in by_upstream.values()],
        "fences": [fences for _, fences in by_upstream.values()],
    }


def decode_chunk(
    value: abc.Mapping[str, typing.Any],
) -> dict[typing.Any, Assignment]:
    """Decodes one row to owners by partition number or hot key."""
    return {
        unit: Assignment(upstream, fence)
        for upstream, units, fences in zip(
            value["upstreams"], value["units"], value["fences"], strict=True
        )
        for unit, fence in zip(units, fences, strict=True)
    }


def decode_tables(
    rows: abc.Mapping[str, abc.Mapping[str, typing.Any]],
) -> dict[sycamoreloft_config.GroupName, AssignmentTable]:
    """Decodes assignment rows of any number of groups.

    Args:
        rows: Rows by table key.
    """
    partitions: dict[sycamoreloft_config.GroupName, typing.Any] = {}
    hot_keys: dict[sycamoreloft_config.GroupName, typing.Any] = {}
    for key, value in rows.items():
        _, fleet, domain, index, service, chunk = key.split("/")
        group = sycamoreloft_config.GroupName(fleet, domain, int(index))
        target = hot_keys if chunk == HOT_KEYS_ROW else partitions
        owners = target.setdefault(group, {}).setdefault(service, {})
        owners.update(decode_chunk(value))
    return {
        group: AssignmentTable(
            partitions.get(group, {}), hot_keys.get(group, {})
        )
        for group in partitions.keys() | hot_keys.keys()
    }
