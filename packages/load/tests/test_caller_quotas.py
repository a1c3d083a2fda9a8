"""Tests the limits on what callers hold."""

import random
import sys

import pytest

import sycamoreloft_load


def build_ledger(**quotas):
    return sycamoreloft_load.CallerLedger(
        sycamoreloft_load.CallerQuotas(**quotas)
    )


@pytest.mark.parametrize(
    ("memory_mb", "descriptors"),
    [(152, 1_535), (552, 10_250), (152, 10_250), (50, 300)],
)
def test_limits_fit_the_host_and_an_ordinary_caller(memory_mb, descriptors):
    """Guards against limits beyond the host, and against useless ones."""
    quotas = sycamoreloft_load.compute_quotas(memory_mb * 1e6, descriptors)
    assert quotas.connections >= 16 and quotas.upstream_connections >= 16
    assert quotas.held_bytes_per_caller * 0.75 > 2_000_000
    if descriptors > 1_000:
        used = quotas.connections + quotas.upstream_connections
        assert used <= descriptors - 400
        assert quotas.connections_per_caller >= 300
        heads = quotas.connections * 81_920
        assert 48e6 + heads + quotas.held_bytes <= 0.9 * memory_mb * 1e6


def test_an_unknown_host_has_no_limits():
    """Guards against limits in deployments that name none."""
    assert sycamoreloft_load.compute_quotas(0, 0) == (
        sycamoreloft_load.CallerQuotas()
    )
    ledger = build_ledger()
    account = ledger.open("a", None)
    assert ledger.choose_surplus(account) is None
    assert ledger.admit(account, sys.maxsize // 2)


def test_surplus_connections_are_taken_from_the_heaviest_caller():
    """Guards against one address that takes all connections."""
    ledger = build_ledger(connections=4, connections_per_caller=3)
    heavy = [ledger.open("heavy", number) for number in range(3)]
    assert ledger.choose_surplus(ledger.open("light", 3)) is None
    assert ledger.admit(heavy[0], 10)
    assert ledger.choose_surplus(ledger.open("other", 4)) is heavy[1]
    ledger.close(heavy[1])
    # The fourth connection of an address replaces one of its own.
    ledger.open("heavy", 5)
    newest = ledger.open("heavy", 6)
    assert ledger.choose_surplus(newest) is heavy[2]
    for account in heavy[2].caller.accounts:
        ledger.admit(account, 10)
    # All others of the address run a request.
    assert ledger.choose_surplus(newest) is newest
    ledger.close(newest)
    last = ledger.open("last", 7)
    assert ledger.choose_surplus(last).caller.address == "light"


def test_the_limit_of_connections_falls_when_descriptors_run_out():
    """Guards against callers that take each descriptor that becomes free."""
    ledger = build_ledger()
    accounts = [ledger.open("a", number) for number in range(300)]
    ledger.admit(accounts[0], 1)
    for account in ledger.record_exhaustion():
        assert account is not accounts[0]
        ledger.close(account)
    assert ledger.connection_count == ledger.quotas.connections == 270
    assert ledger.choose_surplus(ledger.open("b", 300)) is accounts[31]
    for account in accounts[1:200]:
        ledger.close(account)
    # A few connections are not the cause; one of them makes room.
    assert len(list(ledger.record_exhaustion())) == 1
    assert ledger.quotas.connections == 128


def test_bytes_are_freed_from_unread_answers_of_the_heaviest_caller():
    """Guards against a host that closes callers which read their answers."""
    ledger = build_ledger(held_bytes=1_000, held_bytes_per_caller=800)
    reading, light = ledger.open("a", 0), ledger.open("b", 1)
    small, large = ledger.open("c", 2), ledger.open("c", 3)
    assert ledger.admit(reading, 100)
    ledger.hold_answer(light, 150)
    ledger.hold_answer(small, 200)
    ledger.hold_answer(large, 300)
    assert not ledger.admit(reading, 10)
    assert ledger.list_excess(10) == [large]
    ledger.hold_answer(small, 600)
    assert ledger.exceeds_bytes(small)
    assert ledger.list_excess() == [small]
    ledger.close(small)
    assert ledger.list_excess() == []


def test_nothing_is_counted_after_a_connection_closed():
    """Guards against bytes that stay counted, which end in refusing all."""
    generator = random.Random(5)
    ledger = build_ledger(held_bytes=10_000, held_bytes_per_caller=8_000)
    accounts = []
    for number in range(2_000):
        accounts.append(ledger.open(f"a{number % 7}", number))
        account = generator.choice(accounts)
        ledger.admit(account, generator.randrange(500))
        ledger.hold_answer(account, generator.randrange(500))
        action = generator.choice((ledger.close, ledger.release))
        action(generator.choice(accounts))
        for surplus in ledger.list_excess():
            ledger.close(surplus)
        assert not ledger.exceeds_bytes(account)
    for account in accounts:
        ledger.close(account)
        ledger.hold_answer(account, 7)
    assert (ledger.held_bytes, ledger.connection_count) == (0, 0)


def test_only_readers_without_progress_are_stalled():
    """Guards against closing callers that read slowly."""
    ledger = build_ledger()
    slow, stalled = ledger.open("a", 0), ledger.open("a", 1)
    progress = {slow: 0, stalled: 0}
    for account in progress:
        ledger.hold_answer(account, 10)
    for now in range(0, 20, 5):
        progress[slow] += 1
        found = ledger.list_stalled(now, 15.0, progress.get)
        assert found == ([stalled] if now == 15 else [])
