"""Departures of upstreams that hosts tell each other."""

import sycamoreloft_direct
from sycamoreloft_direct import _departures

ANNOUNCED = sycamoreloft_direct.ANNOUNCED


def build(name="u1", version=None, is_final=True):
    return sycamoreloft_direct.Departure(
        sycamoreloft_direct.UpstreamRun(name, 1),
        is_final,
        version or sycamoreloft_direct.TableVersion(1, 7),
    )


def list_unknown(log, era, version, now=0.0, includes_heard=True):
    seen = sycamoreloft_direct.TableVersion(era, version)
    return log.list_unknown(seen, now, includes_heard=includes_heard)


# Guards against datagrams to hosts that have read of the departure.
def test_only_hosts_with_an_older_version_are_told():
    log = sycamoreloft_direct.DepartureLog()
    assert log.add(build(), 0.0)
    assert not log.add(build(), 1.0)
    assert list_unknown(log, 1, 6) == (build(),)
    assert list_unknown(log, 1, 7) == ()


# Guards against versions of a restored store that look newer.
def test_a_later_era_is_newer_whatever_its_versions():
    log = sycamoreloft_direct.DepartureLog()
    log.add(build(), 0.0)
    assert list_unknown(log, 0, 900) == (build(),)
    assert list_unknown(log, 2, 1) == ()


def test_an_announcement_is_told_to_all_for_a_time():
    log = sycamoreloft_direct.DepartureLog()
    log.add(build(version=ANNOUNCED), 1.0)
    until = 1.0 + _departures.ANNOUNCEMENT_S
    assert list_unknown(log, 9, 9, until - 0.1)
    assert not list_unknown(log, 9, 9, until)


def test_the_table_confirms_an_announcement():
    log = sycamoreloft_direct.DepartureLog()
    log.add(build(version=ANNOUNCED), 0.0)
    assert not log.add(build(), 1.0)
    assert list_unknown(log, 1, 6, 99.0) == (build(),)


# Guards against hosts that tell the coordinator what it told them.
def test_what_others_told_is_left_out_on_request():
    log = sycamoreloft_direct.DepartureLog()
    log.add(build(), 0.0, is_heard=True)
    assert list_unknown(log, 1, 6, includes_heard=False) == ()


def test_a_run_whose_entry_returned_is_not_told_as_missing():
    log = sycamoreloft_direct.DepartureLog()
    log.add(build(is_final=False), 0.0)
    log.remove_missing(build().run)
    assert list_unknown(log, 1, 6) == ()


def test_memory_and_messages_are_bounded():
    log = sycamoreloft_direct.DepartureLog()
    for number in range(_departures.MAXIMUM_DEPARTURES + 9):
        log.add(build(f"u{number}"), 0.0)
    told = list_unknown(log, 1, 6)
    assert len(told) == sycamoreloft_direct.MAXIMUM_TOLD_DEPARTURES
    assert told[-1].run.id == f"u{_departures.MAXIMUM_DEPARTURES + 8}"
