"""Tests of the retry budgets."""

import pickle

import pytest

from sycamoreloft_direct import _retry_budgets


@pytest.fixture
def budget():
    return _retry_budgets.RetryBudget()


def test_retries_are_a_tenth_of_recent_requests(budget):
    """Guards against retries that make an overload worse."""
    for _ in range(1000):
        budget.record_request(5.0)
    assert sum(budget.try_spend(5.5) for _ in range(500)) == 100
    assert not budget.try_spend(14.9)


def test_old_requests_and_retries_no_longer_count(budget):
    """Guards against a budget that accumulates over quiet hours."""
    for _ in range(1000):
        budget.record_request(5.0)
    assert sum(budget.try_spend(16.0) for _ in range(500)) == 3
    assert sum(budget.try_spend(27.0) for _ in range(500)) == 3


def test_requests_without_retries_use_bounded_memory(budget):
    """Guards against memory that grows while no request fails."""
    for second in range(100):
        budget.record_request(float(second))
    size = len(pickle.dumps(budget))
    for second in range(100, 200):
        budget.record_request(float(second))
    assert len(pickle.dumps(budget)) == size


def test_each_service_has_a_budget_of_its_own():
    budgets = _retry_budgets.ServiceRetryBudgets(0.2, 10, 0.0)
    for _ in range(1_000):
        budgets.record_request("busy", 1.0)
    for _ in range(100):
        budgets.record_request("calm", 1.0)
    assert sum(budgets.try_spend("calm", 2.0) for _ in range(500)) == 20
    assert sum(budgets.try_spend("busy", 2.0) for _ in range(500)) == 200


def test_hosts_divide_the_slack_of_a_service():
    hosts = [
        _retry_budgets.ServiceRetryBudgets(0.2, 10, 56.0) for _ in range(25)
    ]
    for budgets in hosts:
        budgets.record_request("calm", 1.0)
        assert budgets.try_spend("calm", 1.0)
        assert not budgets.try_spend("calm", 1.0)
        budgets.update_host_count(25)
        budgets.update_host_count(3)
    further = sum(b.try_spend("calm", 2.0) for b in hosts for _ in range(20))
    assert 25 <= 25 + further <= 56 + 25 * 0.2
