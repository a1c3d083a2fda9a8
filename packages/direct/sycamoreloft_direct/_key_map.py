"""Which upstream owns each key of a sharded service."""

import bisect
from collections import abc
import dataclasses
import typing

import msgpack

from sycamoreloft_direct import _model

#: Exceptions that decoding malformed bytes may raise.
DECODING_ERRORS = (
    ValueError,
    TypeError,
    IndexError,
    AttributeError,
    OverflowError,
    RecursionError,
    msgpack.UnpackException,
)

#: Maximum epoch or revision of a map of keys.
MAXIMUM_EPOCH_OR_REVISION = (1 << 31) - 1

#: Maximum start time of an upstream, in milliseconds since 1970; larger ones
#: cannot be encoded.
_MAXIMUM_STARTED_MS = (1 << 63) - 1


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRange:
    """A range of consecutive keys with the same owner."""

    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Run of the upstream that owns the keys; None if they have no owner.
    owner: _model.UpstreamRun | None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceKeys:
    """Ownership of all keys of one service."""

    #: Name of the service.
    service: str
    #: Ranges in ascending order, which cover every key exactly once.
    ranges: tuple[KeyRange, ...]

    def find(self, key: int) -> KeyRange:
        """Returns the range that contains a key."""
        return self.ranges[self._find_index(key)]

    def assign(
        self, first: int, last: int, owner: _model.UpstreamRun | None
    ) -> "ServiceKeys":
        """Returns the ownership after one range has changed its owner.

        Only the ranges that overlap the change, and their neighbours, are
        created anew. Copying all would be slow: maps have many ranges, and
        every host applies every change.
        """
        low = self._find_index(first)
        high = self._find_index(last)
        head, tail = self.ranges[low], self.ranges[high]
        changed = [KeyRange(first, last, owner)]
        if head.first < first:
            changed.insert(0, KeyRange(head.first, first - 1, head.owner))
        elif low > 0:
            low -= 1
            changed.insert(0, self.ranges[low])
        if last < tail.last:
            changed.append(KeyRange(last + 1, tail.last, tail.owner))
        elif high + 1 < len(self.ranges):
            high += 1
            changed.append(self.ranges[high])
        return ServiceKeys(
            self.service,
            (
                *self.ranges[:low],
                *_merge_neighbours(changed),
                *self.ranges[high + 1 :],
            ),
        )

    def _find_index(self, key: int) -> int:
        return bisect.bisect_right(self.ranges, key, key=_get_first) - 1


@dataclasses.dataclass(frozen=True, slots=True)
class KeyMap:
    """Ownership of the keys of all sharded services."""

    #: Epoch of the coordinator that wrote the map. Each new coordinator
    #: increments it, so that its fencing tokens exceed all earlier ones.
    epoch: int
    #: Number of the map within the epoch, counted from its first change.
    revision: int
    #: Ownership by name of the service.
    services: abc.Mapping[str, ServiceKeys]

    @property
    def version(self) -> tuple[int, int]:
        """Epoch and revision. A newer map has a greater version."""
        return (self.epoch, self.revision)

    def find_owner(self, service: str, key: int) -> _model.UpstreamRun | None:
        """Returns the owner of a key, or None if it has none."""
        keys = self.services.get(service)
        return keys.find(key).owner if keys is not None else None


def create_unowned(service: str) -> ServiceKeys:
    """Returns the ownership of a service whose keys have no owner yet."""
    return ServiceKeys(service, (KeyRange(0, _model.KEY_COUNT - 1, None),))


def encode_key_map(key_map: KeyMap) -> bytes:
    """Encodes a map for the store and for other hosts."""
    runs: dict[_model.UpstreamRun, int] = {}
    services = {}
    for keys in key_map.services.values():
        rows = []
        for key_range in keys.ranges:
            number = -1
            if key_range.owner is not None:
                number = runs.setdefault(key_range.owner, len(runs))
            rows.append((key_range.first, number))
        services[keys.service] = rows
    return bytes(
        msgpack.packb(
            (
                key_map.epoch,
                key_map.revision,
                [(run.id, run.started_ms) for run in runs],
                services,
            )
        )
    )


def decode_key_map(data: bytes) -> KeyMap:
    """Decodes a map from the store or from another host.

    Raises:
        ValueError: The bytes are malformed.
    """
    try:
        epoch, revision, pairs, services = msgpack.unpackb(data)
        runs = [decode_run(*pair) for pair in pairs]
        return KeyMap(
            check_integer(epoch, MAXIMUM_EPOCH_OR_REVISION),
            check_integer(revision, MAXIMUM_EPOCH_OR_REVISION),
            {
                str(name): ServiceKeys(str(name), _decode_ranges(rows, runs))
                for name, rows in services.items()
            },
        )
    except DECODING_ERRORS as error:
        raise ValueError(f"not an encoded map of keys: {error}") from error


def decode_run(
    upstream_id: typing.Any, started_ms: typing.Any
) -> _model.UpstreamRun:
    """Checks the fields of a run of an upstream.

    Raises:
        ValueError: A field has the wrong type or is out of range.
    """
    if not isinstance(upstream_id, str):
        raise ValueError(f"{upstream_id!r:.40} is not an identifier")
    return _model.UpstreamRun(
        upstream_id, check_integer(started_ms, _MAXIMUM_STARTED_MS)
    )


def check_integer(value: typing.Any, maximum: int) -> int:
    """Returns the value if it is an integer from 0 to a maximum.

    Raises:
        ValueError: It is not.
    """
    if (
        not isinstance(value, int)
        or isinstance(value, bool)
        or not 0 <= value <= maximum
    ):
        raise ValueError(f"{value!r:.40} is not an integer from 0 to {maximum}")
    return value


def _decode_ranges(
    rows: typing.Any, runs: abc.Sequence[_model.UpstreamRun]
) -> tuple[KeyRange, ...]:
    firsts = [check_integer(first, _model.KEY_COUNT - 1) for first, _ in rows]
    ends = [*firsts[1:], _model.KEY_COUNT]
    is_sorted = all(
        first < end for first, end in zip(firsts, ends, strict=True)
    )
    if not firsts or firsts[0] != 0 or not is_sorted:
        raise ValueError("the ranges do not cover every key exactly once")
    return tuple(
        KeyRange(first, end - 1, _find_run(runs, number))
        for first, end, (_, number) in zip(firsts, ends, rows, strict=True)
    )


def _find_run(
    runs: abc.Sequence[_model.UpstreamRun], number: int
) -> _model.UpstreamRun | None:
    if number < -1:
        raise ValueError(f"an owner has the invalid number {number}")
    return runs[number] if number >= 0 else None


def _merge_neighbours(ranges: abc.Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    merged: list[KeyRange] = []
    for key_range in ranges:
        if merged and merged[-1].owner == key_range.owner:
            merged[-1] = KeyRange(
                merged[-1].first, key_range.last, key_range.owner
            )
        else:
            merged.append(key_range)
    return tuple(merged)


def _get_first(key_range: KeyRange) -> int:
    return key_range.first
