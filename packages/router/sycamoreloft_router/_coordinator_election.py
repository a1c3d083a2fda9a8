"""Asks the store who is the coordinator, and takes the duty if nobody is."""

from collections import abc
import dataclasses
import logging

import sycamoreloft_direct
from sycamoreloft_router import (
    _coordinator_lease,
    _direct_ports,
    _logs,
    _tenure,
)

_LOGGER = logging.getLogger(__name__)

#: Seconds for which a host watches the ended lease of a coordinator that
#: still sends heartbeats: if the store was away for all, the coordinator
#: renews the lease within this time.
CONFIRM_BLIND_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Unreached:
    """The store did not answer, or its records cannot be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deferred:
    """The duty is another host's, or may be."""

    #: The map of keys as it is recorded.
    key_map: sycamoreloft_direct.KeyMap
    #: Address of the coordinator, as "ip:port"; empty if it is not sure.
    peer_address: str = ""
    #: Seconds until the duty may be nobody's; 0 if that is not known.
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """This host is the coordinator now."""

    #: The map of keys as it was recorded before.
    key_map: sycamoreloft_direct.KeyMap
    #: The records that it wrote.
    taken: _tenure.TakenRecords
    #: Lease of the coordinator before, None for the first one.
    before: _coordinator_lease.Lease | None


Outcome = Unreached | Deferred | Won


class CoordinatorElection:
    """Bids for the duty, and remembers which ended lease it watches.

    Args:
        settings: Settings of the host.
        records: Records of the store.
        blind_s: Seconds for which a coordinator renews leases of keys without
            the store.
        yield_s: Seconds for which this host leaves an ended lease to others.
        clock: Clock that also runs while the host is suspended, in seconds.
    """

    def __init__(
        self,
        settings: _direct_ports.HostSettings,
        records: _direct_ports.RecordStore,
        blind_s: float,
        yield_s: float,
        clock: abc.Callable[[], float],
    ) -> None:
        self._settings = settings
        self._records = records
        self._blind_s = blind_s
        self._yield_s = yield_s
        self._clock = clock
        self._ended_version = -1
        self._ended_since = 0.0
        #: Epoch of the last bid that was not seen to win; nobody acts in it.
        self._unwon_epoch = 0

    async def make(self, hears_blind: bool) -> Outcome:
        """Asks the store, and takes the duty if it is nobody's.

        Args:
            hears_blind: Whether a coordinator is there that the store does
                not answer.
        """
        now = self._clock()
        records = await self._records.read()
        if isinstance(records, _direct_ports.ReadProblem):
            return Unreached()
        lease_record = records.records.get(_coordinator_lease.LEASE_KEY)
        map_record = records.records.get(_coordinator_lease.MAP_KEY)
        key_map = sycamoreloft_direct.KeyMap(0, 0, {})
        lease: _coordinator_lease.Lease | None = None
        try:
            if map_record is not None:
                key_map = sycamoreloft_direct.decode_key_map(map_record.value)
            if lease_record is not None:
                lease = _coordinator_lease.decode_lease(lease_record.value)
        except ValueError as error:
            # Who has the duty or the keys is not known: to take them could
            # give keys a second owner.
            _logs.log_event(
                _LOGGER, logging.ERROR, "record-malformed", error=str(error)
            )
            return Unreached()
        if lease_record is not None and lease is not None:
            wait_s = lease.expires_at + self._yield_s - records.clock_s
            if wait_s > 0 and lease.peer_address != self._settings.peer_address:
                return Deferred(key_map, lease.peer_address, wait_s)
            watch_s = self._find_watch_s(lease_record.version, now)
            if hears_blind and watch_s > 0:
                return Deferred(key_map, wait_s=watch_s)
        versions = {
            _coordinator_lease.LEASE_KEY: lease_record.version
            if lease_record
            else 0,
            _coordinator_lease.MAP_KEY: map_record.version if map_record else 0,
        }
        reference = _coordinator_lease.ClockReference(now, records.clock_s)
        return await self._take(reference, lease, key_map, versions)

    def _find_watch_s(self, version: int, now: float) -> float:
        """Returns for how much longer an ended lease is to be watched."""
        if version != self._ended_version:
            self._ended_version = version
            self._ended_since = now
        return self._ended_since + CONFIRM_BLIND_S - now

    async def _take(
        self,
        reference: _coordinator_lease.ClockReference,
        before: _coordinator_lease.Lease | None,
        key_map: sycamoreloft_direct.KeyMap,
        versions: abc.Mapping[str, int],
    ) -> Outcome:
        epoch = max(before.epoch if before else 0, key_map.epoch) + 1
        sent_at = self._clock()
        earlier_until = self._find_earlier_until(before)
        lease = _coordinator_lease.Lease(
            self._settings.name,
            self._settings.peer_address,
            epoch,
            reference.estimate(sent_at) + _coordinator_lease.LEASE_S,
            earlier_until,
        )
        self._unwon_epoch = epoch
        new_map = dataclasses.replace(key_map, epoch=epoch, revision=1)
        outcome = await self._records.write(
            {
                _coordinator_lease.LEASE_KEY: _coordinator_lease.encode_lease(
                    lease
                ),
                # Writing the map as well makes writes of an earlier
                # coordinator fail that are still on their way.
                _coordinator_lease.MAP_KEY: sycamoreloft_direct.encode_key_map(
                    new_map
                ),
            },
            versions,
        )
        if outcome.result is not _direct_ports.WriteResult.WRITTEN:
            return Deferred(key_map)
        self._unwon_epoch = 0
        return Won(
            key_map,
            _tenure.TakenRecords(
                lease, new_map, outcome.version, reference, sent_at
            ),
            before,
        )

    def _find_earlier_until(
        self, lease: _coordinator_lease.Lease | None
    ) -> float:
        """Returns until when, on the store's clock, others may renew keys."""
        if lease is None:
            return 0.0
        is_own = lease.peer_address == self._settings.peer_address
        if lease.is_resigned or (is_own and lease.epoch == self._unwon_epoch):
            return lease.earlier_until
        # That also holds for an earlier process of this host: it has ended,
        # but a cut may hold up what it sent.
        return max(lease.earlier_until, lease.expires_at + self._blind_s)
