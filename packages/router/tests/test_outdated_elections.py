"""Elections after the store was restored from an older copy."""

import asyncio

import pytest

import sycamoreloft_direct
from sycamoreloft_router import (
    _coordinator_election,
    _coordinator_lease,
    _direct_ports,
    _record_trust,
)

MAP = sycamoreloft_direct.KeyMap(3, 9, {})
WRITE = _direct_ports.WriteResult

#: Era of the store after its first restore.
SECOND_ERA = 2


class RestoredStore:
    """A store with the records of an earlier era, whose leases are over."""

    def __init__(self):
        self.write_era = SECOND_ERA
        lease = _coordinator_lease.Lease("h", "10.0.0.2:1", 3, 0.0)
        key_map = sycamoreloft_direct.KeyMap(3, 5, {})
        self.records = {
            _coordinator_lease.LEASE_KEY: _direct_ports.Record(
                _coordinator_lease.encode_lease(lease), 7
            ),
            _coordinator_lease.MAP_KEY: _direct_ports.Record(
                sycamoreloft_direct.encode_key_map(key_map), 8
            ),
        }

    async def read(self):
        return _direct_ports.RecordSnapshot(self.records, 100.0, SECOND_ERA)

    async def write(self, values, expected):
        del values, expected
        return _direct_ports.WriteOutcome(
            WRITE.WRITTEN, 9, 100.0, self.write_era
        )


class Candidate:
    """A host that takes part in elections."""

    def __init__(self):
        self.now = 50.0
        self.store = RestoredStore()
        self.election = _coordinator_election.CoordinatorElection(
            _direct_ports.HostSettings(
                "h1", "z", "", "", "", "10.0.0.1:1", 6, 2, 2, 10, 0.2
            ),
            self.store,
            12.0,
            0.0,
            lambda: self.now,
        )

    def attempt(self, age_s, is_own=False):
        heard = _record_trust.HeardMap(MAP, age_s, is_own)
        return asyncio.run(self.election.attempt(False, heard))


@pytest.fixture
def candidate():
    return Candidate()


# Guards against keys that are out of service for longer than needed: a host
# that heard the coordinator recently does not wait longer because of its wait.
def test_a_host_that_heard_the_map_recently_waits_once(candidate):
    age_s = _record_trust.RECENT_HEARD_AGE_S - 0.1
    outcome = candidate.attempt(age_s)
    assert isinstance(outcome, _coordinator_election.NotElected)
    assert outcome.wait_s == pytest.approx(
        _record_trust.COORDINATOR_PRECEDENCE_S
    )
    assert outcome.key_map is MAP
    candidate.now += outcome.wait_s + 0.01
    outcome = candidate.attempt(age_s + outcome.wait_s)
    assert isinstance(outcome, _coordinator_election.Elected)
    assert outcome.key_map is MAP
    assert outcome.acquired.lease.is_map_uncertain


# Guards against a change of the coordinator where it knows all owners.
def test_the_earlier_coordinator_is_elected_at_once(candidate):
    outcome = candidate.attempt(0.0, is_own=True)
    assert isinstance(outcome, _coordinator_election.Elected)


# Guards against a delayed election that matches versions which a restored store
# assigned again.
def test_write_that_another_era_answers_elects_nobody(candidate):
    candidate.store.write_era = SECOND_ERA + 1
    outcome = candidate.attempt(0.0, is_own=True)
    assert isinstance(outcome, _coordinator_election.NotElected)
