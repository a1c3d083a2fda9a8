"""Decides which map of keys a new coordinator starts from, and how sure it is.

What the store acknowledged is no proof once it was restored from an older copy.
The map and the lease of a coordinator name its era by their epochs, and are
written together, so records of an earlier era, or of different epochs, may be
outdated. The hosts that followed the earlier coordinator then know better: each
keeps the latest map that it heard in heartbeats.
"""

import dataclasses

import sycamoreloft_direct
from sycamoreloft_router import _coordinator_lease, _direct_ports

_TRUST = sycamoreloft_direct.MapTrust

#: Maximum time since the last heartbeat, in seconds, after which a host still
#: vouches for its map. A coordinator that is cut off from the store, and so
#: changes no owners, goes on for 12 s.
MAXIMUM_HEARD_AGE_S = 15.0

#: Maximum time since the last heartbeat, in seconds, of a host that is likely
#: to have heard the last change of owners. It covers a short outage of the
#: store and the time after which a coordinator counts as lost.
RECENT_HEARD_AGE_S = 6.0

#: Seconds for which a host leaves the lease of a restored store to the earlier
#: coordinator. It learns of the restore when it renews its lease, and knows
#: every change of owners.
COORDINATOR_PRECEDENCE_S = 0.7

#: Seconds for which a host that may not know the latest map leaves the lease of
#: a restored store to hosts that do. They try again within `MAXIMUM_RETRY_S` of
#: the coordinator's role.
HEARD_PRECEDENCE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeardMap:
    """The latest map of keys that a host knows."""

    #: The map; epoch and revision 0 if there is none.
    key_map: sycamoreloft_direct.KeyMap
    #: Seconds since a coordinator confirmed that this is its latest map;
    #: infinite if none did.
    age_s: float = float("inf")
    #: Whether this host itself was that coordinator.
    is_own: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecords:
    """The decoded records of the store at one moment."""

    #: Lease of the latest coordinator; None if there is none.
    lease: _coordinator_lease.Lease | None
    #: The map of keys; epoch and revision 0 if there is none.
    key_map: sycamoreloft_direct.KeyMap
    #: Era of the store.
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class JudgedMap:
    """The map from which a new coordinator starts."""

    #: The map.
    key_map: sycamoreloft_direct.KeyMap
    #: How sure it is that it names the latest owners.
    trust: sycamoreloft_direct.MapTrust
    #: What this host knew, whether it is used or not.
    heard: HeardMap
    #: Seconds for which to leave the lease to hosts that may know more, from
    #: the moment at which this host found that the store was restored.
    precedence_s: float = 0.0


def judge_map(stored: StoredRecords, heard: HeardMap) -> JudgedMap:
    """Chooses between the recorded map and the one that this host has heard.

    Args:
        stored: The records of the store.
        heard: The latest map that this host knows.
    """
    if not _may_be_outdated(stored, heard):
        return JudgedMap(stored.key_map, _TRUST.RECORDED, heard)
    if not _can_vouch(stored, heard):
        return JudgedMap(
            stored.key_map, _TRUST.UNVOUCHED, heard, HEARD_PRECEDENCE_S
        )
    precedence_s = HEARD_PRECEDENCE_S
    if heard.is_own:
        precedence_s = 0.0
    elif heard.age_s <= RECENT_HEARD_AGE_S:
        precedence_s = COORDINATOR_PRECEDENCE_S
    return JudgedMap(heard.key_map, _TRUST.VOUCHED, heard, precedence_s)


def compute_next_epoch(stored: StoredRecords, judged: JudgedMap) -> int:
    """Returns the epoch of a coordinator that starts from a judged map."""
    lease_epoch = stored.lease.epoch if stored.lease is not None else 0
    return sycamoreloft_direct.compute_next_epoch(
        (lease_epoch, stored.key_map.epoch, judged.key_map.epoch), stored.era
    )


def _can_vouch(stored: StoredRecords, heard: HeardMap) -> bool:
    """Returns whether a host has heard the latest map, as far as it knows."""
    key_map = heard.key_map
    # A map of a later era can only come from a forged datagram.
    is_possible = sycamoreloft_direct.find_era(
        key_map.epoch
    ) <= sycamoreloft_direct.limit_era(stored.era)
    return (
        is_possible
        and key_map.version >= stored.key_map.version
        and heard.age_s <= MAXIMUM_HEARD_AGE_S
    )


def _may_be_outdated(stored: StoredRecords, heard: HeardMap) -> bool:
    """Returns whether owners may have changed after the recorded map."""
    if stored.era == _direct_ports.UNKNOWN_ERA:
        # This store does not say that it was restored.
        return False
    if stored.lease is None:
        was_restored = stored.era > sycamoreloft_direct.FIRST_ERA
        return was_restored or heard.key_map.epoch > 0
    era = sycamoreloft_direct.limit_era(stored.era)
    return (
        stored.lease.is_map_uncertain
        or stored.lease.epoch != stored.key_map.epoch
        or sycamoreloft_direct.find_era(stored.lease.epoch) < era
    )
