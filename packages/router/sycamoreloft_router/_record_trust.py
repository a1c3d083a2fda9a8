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


def judge_map(
    stored: StoredRecords, heard: sycamoreloft_direct.KeyMap
) -> JudgedMap:
    """Chooses between the recorded map and the one that this host has heard.

    Args:
        stored: The records of the store.
        heard: The latest map that this host has heard or read.
    """
    if not _may_be_outdated(stored, heard):
        return JudgedMap(stored.key_map, _TRUST.RECORDED)
    era = sycamoreloft_direct.limit_era(stored.era)
    # A map of a later era can only come from a forged datagram.
    is_possible = sycamoreloft_direct.find_era(heard.epoch) <= era
    if (
        is_possible
        and heard.epoch > 0
        and heard.version >= stored.key_map.version
    ):
        return JudgedMap(heard, _TRUST.VOUCHED)
    return JudgedMap(stored.key_map, _TRUST.UNVOUCHED)


def compute_next_epoch(stored: StoredRecords, judged: JudgedMap) -> int:
    """Returns the epoch of a coordinator that starts from a judged map."""
    lease_epoch = stored.lease.epoch if stored.lease is not None else 0
    return sycamoreloft_direct.compute_next_epoch(
        (lease_epoch, stored.key_map.epoch, judged.key_map.epoch), stored.era
    )


def _may_be_outdated(
    stored: StoredRecords, heard: sycamoreloft_direct.KeyMap
) -> bool:
    """Returns whether owners may have changed after the recorded map."""
    if stored.era == _direct_ports.UNKNOWN_ERA:
        # This store does not say that it was restored.
        return False
    if stored.lease is None:
        was_restored = stored.era > sycamoreloft_direct.FIRST_ERA
        return was_restored or heard.epoch > 0
    era = sycamoreloft_direct.limit_era(stored.era)
    return (
        stored.lease.is_map_uncertain
        or stored.lease.epoch != stored.key_map.epoch
        or sycamoreloft_direct.find_era(stored.lease.epoch) < era
    )
