"""Retry budget of one host, and the delay before a retry."""

import collections
import random

#: Delay before the first retry, in seconds; each further one is twice as long.
FIRST_DELAY_S = 0.010

#: Longest delay before a retry, in seconds.
LONGEST_DELAY_S = 1.0

#: Least time that must be left after the delay, in seconds: a request costs
#: at least a round trip to the holder and one to the upstream.
LEAST_LEFT_S = 0.010


class RetryBudget:
    """Allows retries up to a share of the recent requests."""

    def __init__(
        self, share: float = 0.1, window_s: int = 10, reserve: int = 3
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

    def record_request(self, now: float) -> None:
        """Counts the first attempt of a request."""
        # A host whose requests do not fail never takes a retry, so that the
        # old counts have to go here as well.
        _forget_until(self._requests, int(now) - self._window_s)
        _count(self._requests, now)

    def take(self, now: float) -> bool:
        """Takes one retry from the budget; False if it is used up."""
        oldest = int(now) - self._window_s
        requests = _sum_since(self._requests, oldest)
        retries = _sum_since(self._retries, oldest)
        if retries + 1 > max(self._share * requests, self._reserve):
            return False
        _count(self._retries, now)
        return True


def choose_backoff(
    attempt: int, now: float, deadline: float, generator: random.Random
) -> float | None:
    """Returns the seconds to wait before a retry, None if it is too late.

    Args:
        attempt: Number of attempts made so far, at least 1.
        now: Time.
        deadline: Deadline of the request.
        generator: Source of the jitter.
    """
    longest = min(FIRST_DELAY_S * 2.0 ** min(attempt - 1, 10), LONGEST_DELAY_S)
    # Between half of the delay and all of it: clients that failed together
    # spread out, and no retry follows at once.
    delay = longest * (0.5 + 0.5 * generator.random())
    return delay if now + delay + LEAST_LEFT_S < deadline else None


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
