"""Budgets that limit how many requests one host retries."""

import collections

#: Retries for a service that a host allows in each window until it knows how
#: many hosts there are, which takes about a second after its start.
INITIAL_RESERVE = 1.0


class RetryBudget:
    """Limits retries to a share of the recent requests."""

    def __init__(
        self, share: float = 0.1, window_s: int = 10, reserve: float = 3
    ) -> None:
        """Starts an empty budget.

        Args:
            share: Retries as a share of first attempts.
            window_s: Length of the sliding window, in whole seconds.
            reserve: Minimum number of retries allowed in a window, so that a
                host with little traffic can retry at all.
        """
        self._share = share
        self._window_s = window_s
        self._reserve = reserve
        self._requests: collections.deque[list[int]] = collections.deque()
        self._retries: collections.deque[list[int]] = collections.deque()

    def change_reserve(self, reserve: float) -> None:
        """Changes the minimum number of retries allowed in a window."""
        self._reserve = reserve

    def record_request(self, now: float) -> None:
        """Counts the first attempt of a request."""
        # Old counts must be dropped here too: a host whose requests do not
        # fail never spends a retry, and its counts would grow without limit.
        _forget_until(self._requests, int(now) - self._window_s)
        _count(self._requests, now)

    def try_spend(self, now: float) -> bool:
        """Spends one retry; returns False if the budget is used up."""
        if self.count_remaining(now) < 1:
            return False
        _count(self._retries, now)
        return True

    def count_remaining(self, now: float) -> float:
        """Returns how many retries the budget still allows."""
        oldest = int(now) - self._window_s
        requests = _sum_since(self._requests, oldest)
        retries = _sum_since(self._retries, oldest)
        return max(self._share * requests, self._reserve) - retries


class ServiceRetryBudgets:
    """Retry budgets of one host, one for each service.

    The limit of a service applies to all hosts together. Each host limits its
    retries to the same share of its own requests, so the sum stays within the
    limit without coordination, even when hosts come and go. The slack is
    divided by the number of hosts.

    Args:
        share: Retries as a share of the requests for a service.
        window_s: Length of the sliding window, in whole seconds.
        slack: Minimum number of retries that all hosts together may send for
            a service in a window.
    """

    def __init__(self, share: float, window_s: int, slack: float) -> None:
        self._share = share
        self._window_s = window_s
        self._slack = slack
        #: Highest number of hosts ever reported; 0 before the first report.
        self.host_count = 0
        self._budgets: dict[str, RetryBudget] = {}

    def update_host_count(self, count: int) -> None:
        """Sets the number of hosts that share the slack, if it is higher."""
        if count <= self.host_count:
            return
        self.host_count = count
        for budget in self._budgets.values():
            budget.change_reserve(self._slack / count)

    def set_limits(self, share: float, window_s: int, slack: float) -> None:
        """Replaces the limits; if they changed, all counts are reset."""
        if (share, window_s, slack) == (
            self._share,
            self._window_s,
            self._slack,
        ):
            return
        self._share, self._window_s, self._slack = share, window_s, slack
        self._budgets.clear()

    def record_request(self, service: str, now: float) -> None:
        """Counts the first attempt of a request for a service."""
        self._get_budget(service).record_request(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Spends one retry of a service; returns False if none is left."""
        return self._get_budget(service).try_spend(now)

    def list_remaining(self, now: float) -> dict[str, float]:
        """Returns how many retries each service's budget still allows."""
        return {
            service: budget.count_remaining(now)
            for service, budget in self._budgets.items()
        }

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            reserve = INITIAL_RESERVE
            if self.host_count:
                reserve = self._slack / self.host_count
            budget = RetryBudget(self._share, self._window_s, reserve)
            self._budgets[service] = budget
        return budget


def _count(counts: collections.deque[list[int]], now: float) -> None:
    second = int(now)
    if counts and counts[-1][0] >= second:
        counts[-1][1] += 1
    else:
        counts.append([second, 1])


def _sum_since(counts: collections.deque[list[int]], oldest: int) -> int:
    """Sums the counts after the second `oldest` and drops earlier ones."""
    _forget_until(counts, oldest)
    return sum(count for _, count in counts)


def _forget_until(counts: collections.deque[list[int]], oldest: int) -> None:
    """Drops the counts up to and including the second `oldest`."""
    while counts and counts[0][0] <= oldest:
        counts.popleft()
