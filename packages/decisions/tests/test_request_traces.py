"""Tests of figures that simulated request traces must reach."""

import pytest

from sycamoreloft_proof import _overload_trace, _quarantine_trace


@pytest.mark.parametrize("keyed", [False, True])
def test_goodput_survives_three_times_the_capacity(keyed):
    """Guards against work on requests that finish after their deadline."""
    assert _overload_trace.measure_overload(keyed).ratio >= 0.9


@pytest.mark.parametrize(
    "measure",
    [_overload_trace.measure_retries, _overload_trace.measure_keyed_retries],
)
def test_retries_add_at_most_a_tenth_when_half_of_the_upstreams_fail(measure):
    """Guards against retries that make an outage worse."""
    figures = measure()
    assert figures.asks_per_request <= 1.1
    assert figures.sends_per_request <= 1.1


def test_a_slow_instance_gets_little_work():
    """Guards against choosing upstreams regardless of load and latency."""
    figures = _overload_trace.measure_choice()
    assert figures.two_random.p99_s < figures.rotation.p99_s / 2
    assert figures.two_random.goodput_per_s > figures.rotation.goodput_per_s


@pytest.mark.parametrize(("seed", "copies"), [(1, 1), (2, 9)])
def test_crashing_request_costs_two_upstreams_and_no_other_request(
    seed, copies
):
    """Guards against a third loss, and against refusing similar requests."""
    figures = _quarantine_trace.measure_quarantine(
        _quarantine_trace.Scenario(seed=seed, copies=copies, seconds=10.0)
    )
    assert max(figures.losses.values()) <= 2
    assert figures.crashing_refusals > 100
    assert (figures.look_alikes > 100, figures.bystanders > 0) == (True, True)
    assert figures.innocent_refusals == 0
    assert figures.innocent_completions == figures.innocent_requests
