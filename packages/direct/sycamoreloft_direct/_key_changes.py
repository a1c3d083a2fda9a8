"""Differences between two versions of the key map.

The size of a map grows with the number of upstreams, and each change is sent
to every host. Sending whole maps would saturate the sender's link at a few
changes per second, so only the differences are sent.
"""

from collections import abc
import dataclasses
import typing

import msgpack

from sycamoreloft_direct import _key_map, _model


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanges:
    """Ranges whose owner differs between two maps."""

    #: Epoch and revision of the map that the changes apply to.
    base: tuple[int, int]
    #: Epoch and revision of the map after the changes.
    version: tuple[int, int]
    #: Changed ranges by service, each with its new owner.
    ranges: abc.Mapping[str, tuple[_key_map.KeyRange, ...]]


def compute_changes(
    old: _key_map.KeyMap, new: _key_map.KeyMap
) -> KeyChanges | None:
    """Returns the changes; None if the maps have different services."""
    if old.services.keys() != new.services.keys():
        return None
    ranges = {
        name: _find_changed_ranges(old.services[name], keys)
        for name, keys in new.services.items()
        if old.services[name] != keys
    }
    return KeyChanges(old.version, new.version, ranges)


def apply_changes(old: _key_map.KeyMap, changes: KeyChanges) -> _key_map.KeyMap:
    """Returns the map after the changes.

    Raises:
        ValueError: The changes apply to another version of the map.
    """
    if old.version != changes.base:
        raise ValueError(
            f"the changes apply to map version {changes.base},"
            f" not to version {old.version}"
        )
    services = dict(old.services)
    for name, ranges in changes.ranges.items():
        keys = services.get(name)
        if keys is None:
            raise ValueError(f"the map has no service {name}")
        for key_range in ranges:
            keys = keys.assign(key_range.first, key_range.last, key_range.owner)
        services[name] = keys
    return _key_map.KeyMap(*changes.version, services)


def encode_changes(changes: KeyChanges) -> bytes:
    """Encodes changes for other hosts."""
    return bytes(
        msgpack.packb(
            (
                changes.base,
                changes.version,
                {
                    name: [_encode_range(key_range) for key_range in ranges]
                    for name, ranges in changes.ranges.items()
                },
            )
        )
    )


def decode_changes(data: bytes) -> KeyChanges:
    """Decodes changes that another host has sent.

    Raises:
        ValueError: The bytes are malformed.
    """
    try:
        base, version, ranges = msgpack.unpackb(data)
        return KeyChanges(
            _decode_version(*base),
            _decode_version(*version),
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
    """Compares two lists of ranges in one pass; both cover all keys."""
    changed: list[_key_map.KeyRange] = []
    index = 0
    for key_range in new.ranges:
        first = key_range.first
        while first <= key_range.last:
            old_range = old.ranges[index]
            last = min(key_range.last, old_range.last)
            if old_range.owner != key_range.owner:
                changed.append(_key_map.KeyRange(first, last, key_range.owner))
            if old_range.last <= key_range.last:
                index += 1
            first = last + 1
    return tuple(changed)


def _encode_range(key_range: _key_map.KeyRange) -> tuple[int, int, str, int]:
    owner = key_range.owner
    if owner is None:
        return (key_range.first, key_range.last, "", 0)
    return (key_range.first, key_range.last, owner.id, owner.started_ms)


def _decode_version(epoch: typing.Any, revision: typing.Any) -> tuple[int, int]:
    maximum = _key_map.MAXIMUM_EPOCH_OR_REVISION
    return (
        _key_map.check_integer(epoch, maximum),
        _key_map.check_integer(revision, maximum),
    )


def _decode_range(
    first: typing.Any,
    last: typing.Any,
    upstream: typing.Any,
    started_ms: typing.Any,
) -> _key_map.KeyRange:
    owner = _key_map.decode_run(upstream, started_ms)
    last_key = _key_map.check_integer(last, _model.KEY_COUNT - 1)
    return _key_map.KeyRange(
        _key_map.check_integer(first, last_key),
        last_key,
        owner if owner.id else None,
    )
