"""Rows of the table that record a group: its holder and its assignments."""

from collections import abc
import dataclasses
import typing

import sycamoreloft_config

#: Partitions recorded in one row. A move rewrites one row, so the number
#: bounds the bytes of a write; a read of 65,536 partitions takes 64 rows.
PARTITIONS_PER_ROW = 1_024

#: Last part of the key of the row that holds the hot keys of a service.
HOT_KEYS_ROW = "hot"


@dataclasses.dataclass(frozen=True, slots=True)
class EarlierHolder:
    """A former holder that is not known to have stopped acting."""

    #: Epoch in which it held the group.
    epoch: int
    #: Name of the host.
    host: str
    #: Offline limit that it follows, in seconds.
    offline_limit_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRow:
    """The row that records who may act for a group."""

    #: The group.
    group: sycamoreloft_config.GroupName
    #: Grows by one with each change of the holder.
    epoch: int
    #: Host that holds the group, empty after it handed the group over.
    holder: str
    #: Random identifier of the holder's process. Tells a restarted host that
    #: the row was written by its earlier process.
    incarnation: str
    #: Host that must promise not to take the group, empty for none.
    standby: str = ""
    #: Latest generation that the holder has staged.
    staged: int = 0
    #: Grows with each write of the row in an epoch.
    heartbeat: int = 0
    #: Seconds after the last write for which the holder may act. Recorded
    #: because a holder that is cut off follows the file that it knew.
    offline_limit_s: float = 3_900.0
    #: Former holders not known to have stopped. A standby may rely on an
    #: expired promise only if there are none: the promise says nothing of
    #: the holders before the one that asked for it.
    earlier: abc.Sequence[EarlierHolder] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Owner of a partition or of a hot key."""

    #: Name of the upstream.
    upstream: str
    #: Fencing token; grows with each change of the owner.
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class AssignmentTable:
    """The recorded owners of one group."""

    #: Owners by service and partition number.
    partitions: abc.Mapping[str, abc.Mapping[int, Assignment]]
    #: Owners of individually placed keys by service and key.
    hot_keys: abc.Mapping[str, abc.Mapping[str, Assignment]]


#: The table of a group that records nothing yet.
EMPTY_TABLE = AssignmentTable({}, {})


def format_group_key(group: sycamoreloft_config.GroupName) -> str:
    """Returns the table key of a group row."""
    return f"group/{group}"


def format_assignment_prefix(group: sycamoreloft_config.GroupName) -> str:
    """Returns the prefix of the table keys of a group's assignments."""
    return f"assign/{group}/"


def format_fleet_prefix(fleet: str) -> str:
    """Returns the prefix of the assignment rows of all groups of a fleet."""
    return f"assign/{fleet}/"


def format_partition_key(
    group: sycamoreloft_config.GroupName, service: str, partition: int
) -> str:
    """Returns the table key of the row that records a partition."""
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
    """Encodes a table as JSON objects by table key."""
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
    """Encodes the owners of one row.

    The row lists each upstream once, followed by the numbers (or keys) and
    fences that it owns, in three parallel lists.
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
    """Decodes the owners of one row."""
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
    """Decodes assignment rows of any number of groups by their table keys."""
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
