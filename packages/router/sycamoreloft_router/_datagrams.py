"""Datagrams between hosts, such as heartbeats of the coordinator.

Datagrams carry only hints and copies of what the store holds. The store alone
decides which host is the coordinator.
"""

from collections import abc
import dataclasses

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import _key_directory

#: Longest datagram that is sent, in bytes.
MAXIMUM_DATAGRAM_BYTES = 60_000

#: Maximum number of hosts in one introduction, so that it fits a datagram.
HOSTS_PER_INTRODUCTION = 1_000

#: Maximum number of moving ranges in a heartbeat, so that it fits a datagram.
MAXIMUM_MOVING_RANGES = 1_000

#: Maximum length of the encoded map changes in a heartbeat, in bytes.
MAXIMUM_CHANGES_BYTES = 16_384

#: Length of one part of a compressed map, in bytes.
MAP_PART_BYTES = 16_384

#: Maximum number of parts of one map.
MAXIMUM_MAP_PARTS = 256

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class SeenVersions:
    """Versions of the platform's tables that a host has read.

    A host that learns of a newer version reads the table again, because its
    own call for changes may hang.
    """

    #: Version of the newest row of a desired state.
    state: int = 0
    #: Version of the newest row of an upstream.
    upstreams: int = 0
    #: Eras of the store in which these rows were read; see
    #: `_direct_ports.TableEntries.era`. They may differ, because the tables
    #: are read one after the other.
    state_era: int = 0
    upstreams_era: int = 0
    #: Version of the desired state in force; 0 before the first one. A restored
    #: store may give an older one to a host that starts.
    desired_state: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent by the coordinator to the other hosts while it is alive."""

    #: Epoch of the coordinator.
    epoch: int
    #: Revision of the map of keys in the store.
    revision: int
    #: Whether the coordinator has resigned and is about to stop.
    is_leaving: bool
    #: Keys that are moving to another owner.
    moving: tuple[_key_directory.MovingKeys, ...]
    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    #: Number of hosts that the coordinator knows, including itself.
    hosts: int = 0
    #: Seconds since the store last answered the coordinator.
    store_age_s: float = 3600.0
    #: Fingerprints of requests that crash upstreams and must not be sent.
    stopped: tuple[int, ...] = ()
    #: Encoded changes since the receiver's map; empty if its map is current, or
    #: if it needs the whole map, which is sent in parts.
    key_changes: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Sent by a host to the coordinator: load, answers and crashes."""

    #: Name of the sender.
    host: str
    #: Epoch and revision of the map that the sender has.
    epoch: int
    revision: int
    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    #: Number of requests by service and key since the previous report.
    requests: abc.Mapping[str, abc.Mapping[int, int]]
    #: Number of answers and the sum of their times in seconds, by upstream.
    answers: abc.Mapping[str, tuple[int, float]]
    #: Number of crashes by fingerprint of the request. Earlier releases send
    #: it; this one uses `CrashNews` instead.
    crashes: abc.Mapping[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction:
    """Sent by a superseded coordinator to its successor: the known hosts.

    Hosts that do not reach the store cannot learn of the successor otherwise.
    """

    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    #: Addresses of the hosts that reported to the sender.
    hosts: tuple[Address, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MapPart:
    """A part of the map of keys, for a host that needs the whole map."""

    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    #: Epoch and revision of the map.
    epoch: int
    revision: int
    #: Index of the part, from 0, and the number of parts.
    index: int
    count: int
    #: Bytes of the compressed map.
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Departures:
    """Upstreams that leave or left, for a host that has not read of them."""

    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    #: At most `sycamoreloft_direct.MAXIMUM_TOLD_DEPARTURES`.
    departures: tuple[sycamoreloft_direct.Departure, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNews:
    """Sent beside a report if the sender knows of new crashes or answers."""

    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    #: Crashes of upstreams, and answers to suspected requests.
    report: sycamoreloft_direct.CrashReport


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSuspects:
    """Sent beside a heartbeat while requests are suspected of crashes."""

    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    #: Fingerprints of the requests for whose answers to watch.
    requests: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRequest:
    """Asks the coordinator to pass on changes of the table of upstreams."""

    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    #: Number that the offer repeats.
    number: int
    #: Failure domain of the sender.
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class RelayOffer:
    """Answers a `RelayRequest`."""

    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    offer: sycamoreloft_direct.Offer


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedChanges:
    """Changes of the table of upstreams, for a host that lacks them."""

    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    changes: sycamoreloft_direct.TableChanges


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedLoads:
    """Sent beside a report: loads that upstreams reported to the sender."""

    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    loads: tuple[sycamoreloft_load.SharedLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoads:
    """Sent beside a heartbeat: loads of upstreams with more work than slots."""

    #: Versions of the platform's tables that the sender has read.
    seen: SeenVersions
    loads: tuple[sycamoreloft_load.SharedLoad, ...]


Datagram = (
    Heartbeat
    | Report
    | Introduction
    | MapPart
    | Departures
    | CrashNews
    | CrashSuspects
    | RelayRequest
    | RelayOffer
    | RelayedChanges
    | ObservedLoads
    | UpstreamLoads
)


def summarize_requests(
    keys: abc.Iterable[tuple[str, int]],
) -> dict[str, dict[int, int]]:
    """Counts requests by service and key."""
    counts: dict[str, dict[int, int]] = {}
    for service, key in keys:
        by_key = counts.setdefault(service, {})
        by_key[key] = by_key.get(key, 0) + 1
    return counts
