"""Decisions on which hosts follow the table of upstreams at the store."""

import dataclasses

import pytest

import sycamoreloft_direct

COORDINATOR = ("10.0.0.1", 1)
VERSION = sycamoreloft_direct.TableVersion
CAUSE = sycamoreloft_direct.FollowCause
STATE = sycamoreloft_direct.CoordinatorState(
    COORDINATOR, 1, 50, 0.3, VERSION(1, 9)
)
OFFER = sycamoreloft_direct.Offer(1, 1, False, VERSION(1, 5), 9, 9)


def build_relay(offer=OFFER, answered_at=10.1):
    """Returns the relay of a host that has got an offer."""
    relay = sycamoreloft_direct.TableRelay(40)
    relay.observe_heartbeat(STATE, VERSION(1, 9), 10.0)
    assert relay.take_request(COORDINATOR, 10.0) == 1
    relay.observe_offer(COORDINATOR, offer, answered_at)
    return relay


def find_cause(relay, now=10.1, own=(1, 9), is_coordinator=False):
    return relay.find_cause(VERSION(*own), now, is_coordinator=is_coordinator)


@pytest.mark.parametrize(
    ("cause", "fields", "own"),
    [
        (None, {}, (1, 9)),
        (CAUSE.UNREAD, {}, (sycamoreloft_direct.UNREAD_ERA, 0)),
        (CAUSE.FEW_HOSTS, {"hosts": 39}, (1, 9)),
        (CAUSE.STORE, {"store_age_s": 1.01}, (1, 9)),
        (CAUSE.ERA, {"version": VERSION(2, 3)}, (1, 9)),
        (CAUSE.ERA, {}, (2, 3)),
        (CAUSE.GAP, {}, (1, 4)),
        (CAUSE.NO_OFFER, {"epoch": 2}, (1, 9)),
    ],
)
def test_a_host_follows_the_store_when_it_has_to(cause, fields, own):
    """Guards against a host that waits for changes that do not come."""
    relay = build_relay()
    state = dataclasses.replace(STATE, **fields)
    relay.observe_heartbeat(state, VERSION(*own), 10.1)
    assert find_cause(relay, own=own) is cause


def test_an_offer_counts_only_if_it_answers_in_time():
    """Guards against offers from before a freeze, and on a slow link."""
    assert find_cause(build_relay()) is None
    for offer, answered_at in (
        (OFFER, 10.6),
        (dataclasses.replace(OFFER, number=2), 10.1),
        (dataclasses.replace(OFFER, epoch=2), 10.1),
    ):
        relay = build_relay(offer, answered_at)
        assert find_cause(relay, answered_at) is CAUSE.NO_OFFER
    witness = dataclasses.replace(OFFER, is_witness=True)
    assert find_cause(build_relay(witness)) is CAUSE.WITNESS


def test_silence_and_late_changes_are_noticed_in_time():
    """Guards against hosts that rely on a coordinator that has failed."""
    relay = build_relay()
    assert relay.compute_next_check() == pytest.approx(10.9)
    assert find_cause(relay, 10.89) is None
    assert find_cause(relay, 10.9) is CAUSE.SILENT
    relay = build_relay()
    newer = dataclasses.replace(STATE, version=VERSION(1, 11))
    relay.observe_heartbeat(newer, VERSION(1, 9), 10.4)
    assert find_cause(relay, 10.89) is None
    assert find_cause(relay, 10.9) is CAUSE.LATE
    assert find_cause(relay, 10.91, own=(1, 11)) is None


def test_a_coordinator_that_does_not_answer_is_asked_less_often():
    """Guards against a log line of an earlier release for each request."""
    relay = sycamoreloft_direct.TableRelay(40)
    asked = []
    for step in range(400):
        now = 10.0 + step / 4
        relay.observe_heartbeat(STATE, VERSION(1, 9), now)
        if relay.take_request(COORDINATOR, now) is not None:
            asked.append(now - 10.0)
    assert asked == [0, 2, 4, 6, 10, 18, 34, 50, 66, 82, 98]


def test_each_domain_has_one_witness_that_is_alive_and_current():
    """Guards against a witness that has gone or that the store refuses."""
    roster = sycamoreloft_direct.WitnessRoster()
    hosts = [("10.0.0.2", port) for port in range(6)]

    def report(now, version, *silent):
        for host in hosts:
            if host not in silent:
                roster.add_report(host, VERSION(1, version), now)
        roster.update(VERSION(1, 7), now)

    for host in hosts:
        roster.add_request(host, f"z{host[1] % 2}", VERSION(1, 7), 0.0)
    report(0.2, 7)
    assert roster.witnesses == set(hosts[:2])
    report(1.3, 7, hosts[0])
    assert roster.witnesses == {hosts[1], hosts[2]}
    report(1.5, 7)
    assert roster.witnesses == {hosts[1], hosts[2]}, "a witness is kept"
    for step in range(6):
        roster.add_report(hosts[1], VERSION(1, 6), 2.0 + step / 2)
        report(2.0 + step / 2, 7, hosts[1])
    assert roster.witnesses == {hosts[2], hosts[3]}


def test_changes_are_kept_without_a_gap():
    """Guards against entries that a host takes for current over a gap."""
    log = sycamoreloft_direct.TableLog()
    log.restart(VERSION(1, 5))
    log.add(7, 8, {"a": None})
    log.add(9, 9, {"a": None, "b": None})
    [both] = log.list_since(5)
    assert (both.before, both.after, set(both.values)) == (5, 9, {"a", "b"})
    [last] = log.list_since(7)
    assert (last.before, last.after) == (7, 9)
    assert log.list_since(9) == ()
    for version in range(10, 1_200):
        log.add(version, version, {f"u{version}": None})
    assert log.base > 9
    parts = log.list_since(9)
    assert len(parts) > 1 and parts[0].before == log.base
    assert [p.after for p in parts[:-1]] == [p.before for p in parts[1:]]
    log.add(2_000, 2_000, {f"{number:0200}": None for number in range(90)})
    assert (log.base, log.list_since(9)) == (2_000, ())
