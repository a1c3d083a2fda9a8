"""Retry budget of one host."""

import random


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

    def record_request(self, now: float) -> None:
        """Counts the first attempt of a request."""
        raise NotImplementedError

    def take(self, now: float) -> bool:
        """Takes one retry from the budget; False if it is used up."""
        raise NotImplementedError


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
    raise NotImplementedError
