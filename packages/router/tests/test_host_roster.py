"""Heartbeats and maps that the coordinator sends to many hosts."""

import dataclasses

import pytest

import sycamoreloft_direct
from sycamoreloft_router import _datagrams, _host_roster, _key_directory

SERVICE = "boards"
HOSTS = 195
HEARTBEAT = _datagrams.Heartbeat(1, 3, False, (), _datagrams.SeenVersions())


@dataclasses.dataclass
class RecordingSocket:
    """Records each message and its receivers."""

    sent: list = dataclasses.field(default_factory=list)

    def send(self, message, *addresses):
        self.sent.append((message, addresses))


@pytest.fixture
def socket():
    return RecordingSocket()


@pytest.fixture
def roster(socket):
    """A roster whose directory keeps the maps of the revisions 1 to 3."""
    directory = _key_directory.KeyDirectory()
    keys = sycamoreloft_direct.create_unowned(SERVICE)
    for revision in range(1, 4):
        owner = sycamoreloft_direct.UpstreamRun(f"u{revision}", 1)
        keys = keys.assign(0, 9, owner)
        directory.update(
            sycamoreloft_direct.KeyMap(1, revision, {SERVICE: keys})
        )
    return _host_roster.HostRoster(socket, directory)


def add_hosts(roster, version, count=HOSTS, offset=0):
    for number in range(offset, offset + count):
        address = (f"10.0.{number // 256}.{number % 256}", 7500)
        roster.add_report(address, version, 0.0)


# Guards against encoding a heartbeat separately for each host.
def test_hosts_with_the_same_map_get_one_message(roster, socket):
    add_hosts(roster, (1, 3))
    roster.send_heartbeat(HEARTBEAT, 1.0)
    assert [len(addresses) for _, addresses in socket.sent] == [HOSTS]


def test_hosts_that_are_behind_get_what_they_lack(roster, socket):
    add_hosts(roster, (1, 3))
    add_hosts(roster, (1, 2), 5, HOSTS)
    roster.send_heartbeat(HEARTBEAT, 1.0)
    counts = {
        bool(message.key_changes): len(addresses)
        for message, addresses in socket.sent
    }
    assert counts == {False: HOSTS, True: 5}


# Guards against sending the whole map with each heartbeat to a host that has
# just started.
def test_a_host_that_starts_gets_the_whole_map_once_in_a_while(roster, socket):
    add_hosts(roster, _host_roster.NO_MAP, 30)
    for step in range(8):
        roster.send_heartbeat(HEARTBEAT, 1.0 + step * 0.05)
    parts = [
        message
        for message, _ in socket.sent
        if isinstance(message, _datagrams.MapPart)
    ]
    assert len(parts) == 1


def test_hosts_that_report_no_more_are_forgotten(roster, socket):
    add_hosts(roster, (1, 3), 3)
    roster.send_heartbeat(HEARTBEAT, _host_roster.HOST_TIMEOUT_S + 0.1)
    assert not roster.addresses
    assert not socket.sent
