"""The records that a host wrote when it became the coordinator."""

import dataclasses

import sycamoreloft_direct
from sycamoreloft_router import _coordinator_lease, _direct_ports


@dataclasses.dataclass(frozen=True, slots=True)
class AcquiredRecords:
    """The records that a host wrote when it became the coordinator."""

    #: Lease of this host.
    lease: _coordinator_lease.Lease
    #: The map of keys, with the epoch of this host.
    key_map: sycamoreloft_direct.KeyMap
    #: Version of both records.
    version: int
    #: Relates the store's clock to the boot clock, by the read before the
    #: write.
    reference: _coordinator_lease.ClockReference
    #: When the write was sent, on the boot clock.
    sent_at: float
    #: Era of the store.
    era: int = _direct_ports.UNKNOWN_ERA
    #: How sure it is that the map names the latest owners.
    trust: sycamoreloft_direct.MapTrust = sycamoreloft_direct.MapTrust.RECORDED
