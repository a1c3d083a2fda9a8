"""Retry budgets of one host."""

import collections

#: Retries for a service that a host allows before it knows how many hosts
#: there are. That takes about a second after its start.
FIRST_RESERVE = 1.0


class RetryBudget:
    """Allows retries up to a share of the recent requests."""

    def __init__(
        self, share: float = 0.1, window_s: int = 10, reserve: float = 3
    ) -> None:
        """Starts an empty budget.

        Args:
            share: Retries as a share of first attempts.
            window_s: Whole seconds that count as recent.
            reserve: Retries allowed in a window with few requests, so that a
                host with little traffic can retry at all.
        """
        self._share = share
        self._window_s = window_s
        self._reserve = reserve
        self._requests: collections.deque[list[int]] = collections.deque()
        self._retries: collections.deque[list[int]] = collections.deque()

    def change_reserve(self, reserve: float) -> None:
        """Changes the retries allowed in a window with few requests."""
        self._reserve = reserve

    def record_request(self, now: float) -> None:
        """Counts the first attempt of a request."""
        # A host whose requests do not fail never takes a retry, so that the
        # old counts have to go here as well.
        _forget_until(self._requests, int(now) - self._window_s)
        _count(self._requests, now)

    def try_spend(self, now: float) -> bool:
        """Takes one retry from the budget; False if it is used up."""
        if self.count_left(now) < 1:
            return False
        _count(self._retries, now)
        return True

    def count_left(self, now: float) -> float:
        """Returns how many retries are allowed at present."""
        oldest = int(now) - self._window_s
        requests = _sum_since(self._requests, oldest)
        retries = _sum_since(self._retries, oldest)
        return max(self._share * requests, self._reserve) - retries


class ServiceRetryBudgets:
    """Retry budgets of one host, one for each service.

    The limit holds for each service and for all hosts together. Each host
    retries in proportion to its own requests, so that the sum keeps the limit
    without a word between the hosts, whichever of them come and go. What is
    allowed besides is divided by the number of hosts.

    Args:
        share: Retries as a share of the requests for a service.
        window_s: Whole seconds that count as recent.
        slack: Retries for a service allowed besides, for all hosts together.
    """

    def __init__(self, share: float, window_s: int, slack: float) -> None:
        self._share = share
        self._window_s = window_s
        self._slack = slack
        #: Most hosts ever noted, 0 before the first note.
        self.host_count = 0
        self._budgets: dict[str, RetryBudget] = {}

    def update_host_count(self, count: int) -> None:
        """Notes how many hosts there are; the most ever noted counts."""
        if count <= self.host_count:
            return
        self.host_count = count
        for budget in self._budgets.values():
            budget.change_reserve(self._slack / count)

    def set_limits(self, share: float, window_s: int, slack: float) -> None:
        """Changes the limits, if they are others; counting starts anew."""
        if (share, window_s, slack) == (
            self._share,
            self._window_s,
            self._slack,
        ):
            return
        self._share, self._window_s, self._slack = share, window_s, slack
        self._budgets.clear()

    def record_request(self, service: str, now: float) -> None:
        """Counts the first attempt of a request."""
        self._find(service).record_request(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Takes one retry from a budget; False if it is used up."""
        return self._find(service).try_spend(now)

    def list_remaining(self, now: float) -> dict[str, float]:
        """Returns how many retries are allowed at present, by service."""
        return {
            service: budget.count_left(now)
            for service, budget in self._budgets.items()
        }

    def _find(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            reserve = FIRST_RESERVE
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
    """Sums the counts after the second `oldest`, and forgets earlier ones."""
    _forget_until(counts, oldest)
    return sum(count for _, count in counts)


def _forget_until(counts: collections.deque[list[int]], oldest: int) -> None:
    """Forgets the counts up to the second `oldest`."""
    while counts and counts[0][0] <= oldest:
        counts.popleft()
