"""Tests of the fair queue."""

import pytest

from sycamoreloft_decisions import _fair_queue


@pytest.fixture
def queue():
    return _fair_queue.FairQueue()


def take(queue, count):
    return [queue.pop() for _ in range(count)]


def test_a_flood_of_one_caller_does_not_delay_another(queue):
    """Guards against one caller that fills the queue first."""
    for number in range(20):
        queue.push(("f", "s", "loud"), f"loud{number}")
    queue.push(("f", "s", "calm"), "calm0")
    assert "calm0" in take(queue, 2)


def test_services_share_alike_whatever_their_number_of_callers(queue):
    """Guards against a service that gains share by more callers."""
    for number in range(12):
        queue.push(("f", "many", f"c{number}"), f"many{number}")
        queue.push(("f", "one", "c"), f"one{number}")
    taken = take(queue, 12)
    assert sum(item.startswith("one") for item in taken) == 6


def test_costly_requests_get_fewer_turns(queue):
    """Guards against counting a long upload like a short post."""
    for number in range(30):
        queue.push(("f", "long", "c"), f"long{number}", 4.0)
        queue.push(("f", "short", "c"), f"short{number}", 1.0)
    taken = take(queue, 20)
    assert 3 <= sum(item.startswith("long") for item in taken) <= 5


def test_unacceptable_items_stay_and_do_not_block_others(queue):
    """Guards against a request for another upstream that blocks the lane."""
    queue.push(("f", "s", "a"), "x")
    queue.push(("f", "s", "b"), "y")
    assert queue.pop(lambda item: item == "y") == "y"
    assert queue.pop(lambda item: item == "y") is None
    assert take(queue, 2) == ["x", None]


def test_remove_and_evict_keep_the_size(queue):
    """Guards against a size that drifts from the contents."""
    for number in range(4):
        queue.push(("f", "s", "loud"), number)
    queue.push(("f", "s", "calm"), 9)
    assert queue.evict() == 3
    queue.remove(("f", "s", "loud"), 0)
    assert (len(queue), sorted(queue)) == (3, [1, 2, 9])
    assert (sorted(take(queue, 3)), len(queue)) == ([1, 2, 9], 0)
    assert queue.evict() is None


def test_position_counts_rival_flows_and_not_their_backlog(queue):
    """Guards against refusing a calm caller because of a loud one."""
    for number in range(50):
        queue.push(("f", "s", "loud"), number)
    assert queue.count_ahead(("f", "s", "calm")) == 1
    assert queue.count_ahead(("f", "s", "loud")) == 50
