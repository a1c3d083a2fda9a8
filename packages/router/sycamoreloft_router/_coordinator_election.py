"""Election of the coordinator through a lease record in the store."""

from collections import abc
import dataclasses
import logging

import sycamoreloft_direct
from sycamoreloft_router import (
    _acquired_records,
    _coordinator_lease,
    _direct_ports,
    _logs,
    _record_trust,
)

# The logger keeps the module's former name: readers of logs filter by it.
_LOGGER = logging.getLogger("sycamoreloft_router._coordinator_bid")

#: Seconds for which a host leaves an expired lease alone while the coordinator
#: still sends heartbeats. After an outage of the store for all hosts, the
#: coordinator renews the lease within this time.
BLIND_CONFIRMATION_S = 2.0

#: Maximum seconds for which a host waits for the end of a lease before it reads
#: the record again: no host writes a lease that lasts for longer.
MAXIMUM_WAIT_S = 2 * _coordinator_lease.LEASE_S


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not answer, or its records are malformed."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotElected:
    """Another host holds the coordinator lease, or may be about to."""

    #: The latest known map of keys.
    key_map: sycamoreloft_direct.KeyMap
    #: Address of the coordinator, as "ip:port"; empty if unknown.
    peer_address: str = ""
    #: Seconds until the lease may be free; 0 if unknown.
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Elected:
    """This host has become the coordinator."""

    #: The map of keys from which this host starts, and how sure it is.
    judged: _record_trust.JudgedMap
    #: The records that this host wrote to become the coordinator.
    acquired: _acquired_records.AcquiredRecords
    #: The records that the store held before the election.
    stored: _record_trust.StoredRecords
    #: Seconds since this host found the records outdated; 0 if they are not.
    #: During that time it usually does not bid, so that hosts with a later map
    #: can be elected.
    found_ago_s: float = 0.0

    @property
    def key_map(self) -> sycamoreloft_direct.KeyMap:
        """The map of keys from which this host starts."""
        return self.judged.key_map

    @property
    def before(self) -> _coordinator_lease.Lease | None:
        """Lease of the previous coordinator; None for the first coordinator."""
        return self.stored.lease


ElectionResult = StoreUnavailable | NotElected | Elected


class CoordinatorElection:
    """Acquires the coordinator lease for this host when it is free.

    Args:
        settings: Settings of the host.
        records: Record store that holds the lease and the map of keys.
        blind_s: Seconds for which a coordinator that is cut off from the store
            goes on renewing key leases.
        election_delay_s: Seconds after the end of a lease for which this host
            lets other hosts acquire it first.
        clock: Clock that also runs while the host is suspended, in seconds.
    """

    def __init__(
        self,
        settings: _direct_ports.HostSettings,
        records: _direct_ports.RecordStore,
        blind_s: float,
        election_delay_s: float,
        clock: abc.Callable[[], float],
    ) -> None:
        self._settings = settings
        self._records = records
        self._blind_s = blind_s
        self._election_delay_s = election_delay_s
        self._clock = clock
        self._expired_version = -1
        self._expired_since = 0.0
        self._outdated_era = -1
        self._outdated_since = 0.0
        self._precedence_s = 0.0
        #: Epoch of the last write that was not confirmed, 0 for none. This
        #: host sends no orders in that epoch.
        self._unconfirmed_epoch = 0

    async def attempt(
        self, has_blind_peer: bool, heard: _record_trust.HeardMap
    ) -> ElectionResult:
        """Reads the store, and acquires the lease if it is free.

        Args:
            has_blind_peer: Whether this host receives heartbeats of a
                coordinator that does not reach the store.
            heard: The latest map of keys that this host knows.
        """
        now = self._clock()
        records = await self._records.read()
        if isinstance(records, _direct_ports.ReadProblem):
            return StoreUnavailable()
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
            # Without knowing the coordinator and the owners of keys, a new
            # coordinator could give keys a second owner.
            _logs.log_event(
                _LOGGER, logging.ERROR, "record-malformed", error=str(error)
            )
            return StoreUnavailable()
        stored = _record_trust.StoredRecords(lease, key_map, records.era)
        judged = _record_trust.judge_map(stored, heard)
        if lease_record is not None and lease is not None:
            wait_s = min(
                lease.expires_at + self._election_delay_s - records.clock_s,
                MAXIMUM_WAIT_S + self._election_delay_s,
            )
            if wait_s > 0 and lease.peer_address != self._settings.peer_address:
                return NotElected(judged.key_map, lease.peer_address, wait_s)
            remaining_watch_s = self._compute_remaining_watch_s(
                lease_record.version, now
            )
            if has_blind_peer and remaining_watch_s > 0:
                return NotElected(judged.key_map, wait_s=remaining_watch_s)
        if judged.trust is not sycamoreloft_direct.MapTrust.RECORDED:
            wait_s = self._compute_precedence_s(records.era, now, judged)
            if wait_s > 0:
                return NotElected(judged.key_map, wait_s=wait_s)
        versions = {
            _coordinator_lease.LEASE_KEY: lease_record.version
            if lease_record
            else 0,
            _coordinator_lease.MAP_KEY: map_record.version if map_record else 0,
        }
        reference = _coordinator_lease.ClockReference(now, records.clock_s)
        return await self._acquire(reference, stored, judged, versions)

    def _compute_remaining_watch_s(self, version: int, now: float) -> float:
        """Returns for how many more seconds to leave an expired lease alone.

        Args:
            version: Version of the lease record.
            now: Time on the boot clock, in seconds.
        """
        if version != self._expired_version:
            self._expired_version = version
            self._expired_since = now
        return self._expired_since + BLIND_CONFIRMATION_S - now

    def _compute_precedence_s(
        self, era: int, now: float, judged: _record_trust.JudgedMap
    ) -> float:
        """Returns for how many more seconds to leave the lease to others.

        Args:
            era: Era of the store.
            now: Time on the boot clock, in seconds.
            judged: The map from which this host would start.
        """
        if era != self._outdated_era:
            self._outdated_era = era
            self._outdated_since = now
            self._precedence_s = judged.precedence_s
        # What this host heard grows older while it waits, but that says nothing
        # about whether others know more.
        self._precedence_s = min(self._precedence_s, judged.precedence_s)
        return self._outdated_since + self._precedence_s - now

    async def _acquire(
        self,
        reference: _coordinator_lease.ClockReference,
        stored: _record_trust.StoredRecords,
        judged: _record_trust.JudgedMap,
        versions: abc.Mapping[str, int],
    ) -> ElectionResult:
        before, key_map = stored.lease, judged.key_map
        epoch = _record_trust.compute_next_epoch(stored, judged)
        sent_at = self._clock()
        earlier_until = self._compute_earlier_until(before)
        is_recorded = judged.trust is sycamoreloft_direct.MapTrust.RECORDED
        if not is_recorded:
            # The latest lease may be lost. Its coordinator wrote it before the
            # store was restored, so it ends no later than one written now.
            earlier_until = max(
                earlier_until,
                reference.estimate(sent_at)
                + _coordinator_lease.LEASE_S
                + self._blind_s,
            )
        lease = _coordinator_lease.Lease(
            self._settings.name,
            self._settings.peer_address,
            epoch,
            reference.estimate(sent_at) + _coordinator_lease.LEASE_S,
            earlier_until,
            is_map_uncertain=not is_recorded,
        )
        self._unconfirmed_epoch = epoch
        new_map = dataclasses.replace(key_map, epoch=epoch, revision=1)
        outcome = await self._records.write(
            {
                _coordinator_lease.LEASE_KEY: _coordinator_lease.encode_lease(
                    lease
                ),
                # Changing the version of the map makes delayed writes of an
                # earlier coordinator fail.
                _coordinator_lease.MAP_KEY: sycamoreloft_direct.encode_key_map(
                    new_map
                ),
            },
            versions,
        )
        if (
            outcome.result is not _direct_ports.WriteResult.WRITTEN
            # The store was restored since the read. The versions that it
            # assigned again may match by accident.
            or outcome.era != stored.era
        ):
            return NotElected(key_map)
        self._unconfirmed_epoch = 0
        return Elected(
            judged,
            _acquired_records.AcquiredRecords(
                lease,
                new_map,
                outcome.version,
                reference,
                sent_at,
                stored.era,
                judged.trust,
            ),
            stored,
            0.0 if is_recorded else sent_at - self._outdated_since,
        )

    def _compute_earlier_until(
        self, lease: _coordinator_lease.Lease | None
    ) -> float:
        """Returns until when earlier coordinators may renew key leases.

        Args:
            lease: Lease of the previous coordinator; None if there was none.

        Returns:
            Time on the store's clock, in seconds.
        """
        if lease is None:
            return 0.0
        is_own = lease.peer_address == self._settings.peer_address
        if lease.is_resigned or (
            is_own and lease.epoch == self._unconfirmed_epoch
        ):
            return lease.earlier_until
        # This includes an earlier process of this host: it has ended, but a
        # network partition may delay the grants that it sent.
        return max(lease.earlier_until, lease.expires_at + self._blind_s)
