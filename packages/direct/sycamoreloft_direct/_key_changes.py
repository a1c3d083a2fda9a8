"""What turns one map of keys into a later one.

A map grows with the number of upstreams, and a change of it goes to every
host. Sent whole, a few changes a second fill the link of the sender.
"""

from collections import abc
import dataclasses

import msgpack

from sycamoreloft_direct import _key_map, _nodes


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanges:
    """Ranges whose owner differs between two maps."""

    #: Epoch and revision of the map that they apply to.
    base_version: tuple[int, int]
    #: Epoch and revision of the map that they lead to.
    version: tuple[int, int]
    #: Changed ranges by service.
    ranges: abc.Mapping[str, tuple[_key_map.KeyRange, ...]]


def compute_changes(
    old: _key_map.KeyMap, new: _key_map.KeyMap
) -> KeyChanges | None:
    """Returns what changed, or None if the services are others."""
    if old.services.keys() != new.services.keys():
        return None
    ranges = {
        name: _find_changed_ranges(old.services[name], keys)
        for name, keys in new.services.items()
        if old.services[name] != keys
    }
    return KeyChanges(old.version, new.version, ranges)


def apply_changes(old: _key_map.KeyMap, changes: KeyChanges) -> _key_map.KeyMap:
    """Returns the later map.

    Raises:
        ValueError: The changes are for another map.
    """
    if old.version != changes.base_version:
        raise ValueError(
            f"the changes apply to map version {changes.base_version},"
            f" not to version {old.version}"
        )
    services = dict(old.services)
    for name, ranges in changes.ranges.items():
        keys = services.get(name)
        if keys is None:
            raise ValueError(f"the map has no service {name}")
        for item in ranges:
            keys = keys.assign(item.first, item.last, item.owner)
        services[name] = keys
    return _key_map.KeyMap(*changes.version, services)


def encode_changes(changes: KeyChanges) -> bytes:
    """Encodes changes for other hosts."""
    return bytes(
        msgpack.packb(
            (
                changes.base_version,
                changes.version,
                {
                    name: [_encode_range(item) for item in ranges]
                    for name, ranges in changes.ranges.items()
                },
            )
        )
    )


def decode_changes(data: bytes) -> KeyChanges:
    """Decodes changes.

    Raises:
        ValueError: The bytes are no encoded changes.
    """
    try:
        base_version, version, ranges = msgpack.unpackb(data)
        return KeyChanges(
            (int(base_version[0]), int(base_version[1])),
            (int(version[0]), int(version[1])),
            {
                name: tuple(_decode_range(*row) for row in rows)
                for name, rows in ranges.items()
            },
        )
    except _key_map.DECODING_ERRORS as error:
        raise ValueError(f"not encoded changes of keys: {error}") from error


def _find_changed_ranges(
    old: _key_map.ServiceKeys, new: _key_map.ServiceKeys
) -> tuple[_key_map.KeyRange, ...]:
    """Walks both lists of ranges, which cover the same keys."""
    changed: list[_key_map.KeyRange] = []
    index = 0
    for item in new.ranges:
        first = item.first
        while first <= item.last:
            known = old.ranges[index]
            last = min(item.last, known.last)
            if known.owner != item.owner:
                changed.append(_key_map.KeyRange(first, last, item.owner))
            if known.last <= item.last:
                index += 1
            first = last + 1
    return tuple(changed)


def _encode_range(item: _key_map.KeyRange) -> tuple[int, int, str, int]:
    owner = item.owner
    if owner is None:
        return (item.first, item.last, "", 0)
    return (item.first, item.last, owner.id, owner.started_ms)


def _decode_range(
    first: int, last: int, upstream: str, started_ms: int
) -> _key_map.KeyRange:
    if not 0 <= first <= last < _nodes.KEY_COUNT:
        raise ValueError(f"keys {first} to {last} do not exist")
    owner = _nodes.UpstreamRun(upstream, started_ms) if upstream else None
    return _key_map.KeyRange(first, last, owner)
