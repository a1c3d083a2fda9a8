"""Datagrams between hosts: heartbeats of the coordinator, reports to it.

The datagrams carry hints and copies only. What a host acts on alone, such as
being the coordinator, it learns from the store.
"""

from collections import abc
import dataclasses

from sycamoreloft_router import _key_directory

#: Longest datagram that is sent, in bytes.
MAXIMUM_DATAGRAM_BYTES = 60_000

#: Hosts that one introduction names at most, so that it fits a datagram.
HOSTS_PER_INTRODUCTION = 1_000

#: Moving ranges that a heartbeat names at most, so that it fits a datagram.
MOST_MOVING = 1_000

#: Longest changes of a map that a heartbeat carries, in bytes.
MOST_CHANGES_BYTES = 16_384

#: Encoded bytes of a map in one part of it.
MAP_PART_BYTES = 16_384

#: Parts that one map has at most.
MOST_MAP_PARTS = 256

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class SeenVersions:
    """How new a host's copies of the platform's tables are.

    A host that hears of a newer version reads the table again: its own call
    that waits for changes may hang.
    """

    #: Version of the newest row of a desired state.
    state: int = 0
    #: Version of the newest row of an upstream.
    upstreams: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """The coordinator tells the other hosts that it is alive."""

    #: Epoch of the coordinator.
    epoch: int
    #: Revision of the recorded map.
    revision: int
    #: Whether the coordinator is about to stop.
    is_leaving: bool
    #: Keys that are being moved.
    moving: tuple[_key_directory.MovingKeys, ...]
    #: What the sender has read of the platform's tables.
    seen: SeenVersions
    #: Hosts that the coordinator knows, itself among them.
    hosts: int = 0
    #: Seconds since the store answered the coordinator.
    store_age_s: float = 3600.0
    #: Requests that crash upstreams and must not be sent.
    stopped: tuple[int, ...] = ()
    #: What changed since the receiver's map, encoded; empty if it needs
    #: nothing or the whole map, which comes in parts.
    key_changes: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A host tells the coordinator what it observed."""

    #: Name of the host.
    host: str
    #: Epoch and revision of the map that the host has.
    epoch: int
    revision: int
    #: What the sender has read of the platform's tables.
    seen: SeenVersions
    #: Requests by service and key.
    requests: abc.Mapping[str, abc.Mapping[int, int]]
    #: Answers and their summed time in seconds, by upstream.
    answers: abc.Mapping[str, tuple[int, float]]
    #: Recent connections that broke before an answer, by request.
    crashes: abc.Mapping[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction:
    """A coordinator that was replaced tells its successor of the hosts.

    Hosts that do not reach the store hear of the successor in no other way.
    """

    #: What the sender has read of the platform's tables.
    seen: SeenVersions
    #: Addresses of the hosts that reported to the sender.
    hosts: tuple[Address, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MapPart:
    """A part of the map of keys, for a host that needs the whole map."""

    #: What the sender has read of the platform's tables.
    seen: SeenVersions
    #: Epoch and revision of the map.
    epoch: int
    revision: int
    #: Number of the part, from 0, and of all parts.
    index: int
    count: int
    #: Bytes of the encoded map.
    data: bytes


Datagram = Heartbeat | Report | Introduction | MapPart


def summarize_requests(
    keys: abc.Iterable[tuple[str, int]],
) -> dict[str, dict[int, int]]:
    """Counts requests by service and key."""
    counts: dict[str, dict[int, int]] = {}
    for service, key in keys:
        by_key = counts.setdefault(service, {})
        by_key[key] = by_key.get(key, 0) + 1
    return counts
