"""Tests of the fair queue."""

import pytest

from sycamoreloft_decisions import _fair_queue


@pytest.fixture
def queue():
    return _fair_queue.FairQueue()


def pop_items(queue, count):
    return [queue.pop() for _ in range(count)]


def test_a_flood_from_one_caller_does_not_delay_another_caller(queue):
    """Guards against a caller that gets ahead by filling the queue first."""
    for number in range(20):
        queue.push(("f", "s", "loud"), f"loud{number}")
    queue.push(("f", "s", "calm"), "calm0")
    assert "calm0" in pop_items(queue, 2)


def test_services_get_equal_shares_whatever_their_number_of_callers(queue):
    """Guards against a service that gets a larger share by more callers."""
    for number in range(12):
        queue.push(("f", "many", f"c{number}"), f"many{number}")
        queue.push(("f", "one", "c"), f"one{number}")
    items = pop_items(queue, 12)
    assert sum(item.startswith("one") for item in items) == 6


def test_flows_with_costly_items_get_fewer_turns(queue):
    """Guards against charging a long upload like a short request."""
    for number in range(30):
        queue.push(("f", "long", "c"), f"long{number}", 4.0)
        queue.push(("f", "short", "c"), f"short{number}", 1.0)
    items = pop_items(queue, 20)
    assert 3 <= sum(item.startswith("long") for item in items) <= 5


def test_unacceptable_items_stay_and_do_not_block_others(queue):
    """Guards against a request for another upstream that blocks the queue."""
    queue.push(("f", "s", "a"), "x")
    queue.push(("f", "s", "b"), "y")
    assert queue.pop(lambda item: item == "y") == "y"
    assert queue.pop(lambda item: item == "y") is None
    assert pop_items(queue, 2) == ["x", None]


def test_remove_and_evict_keep_the_size(queue):
    """Guards against a size that differs from the number of items."""
    for number in range(4):
        queue.push(("f", "s", "loud"), number)
    queue.push(("f", "s", "calm"), 9)
    assert queue.evict() == 3
    queue.remove(("f", "s", "loud"), 0)
    assert (len(queue), sorted(queue)) == (3, [1, 2, 9])
    assert (sorted(pop_items(queue, 3)), len(queue)) == ([1, 2, 9], 0)
    assert queue.evict() is None


def test_estimate_counts_competing_flows_but_not_their_backlog(queue):
    """Guards against refusing a caller because of the load of another."""
    for number in range(50):
        queue.push(("f", "s", "loud"), number)
    assert queue.count_ahead(("f", "s", "calm")) == 1
    assert queue.count_ahead(("f", "s", "loud")) == 50
