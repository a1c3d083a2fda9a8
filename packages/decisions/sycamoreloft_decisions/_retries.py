"""Exponential backoff with jitter for retries."""

import random

#: Maximum delay before the first retry, in seconds. It doubles with each
#: further retry.
FIRST_DELAY_S = 0.010

#: Maximum delay before any retry, in seconds.
MAXIMUM_DELAY_S = 1.0

#: Minimum time that must be left after the delay, in seconds. A request takes
#: at least one round trip to the holder and one to the upstream.
MINIMUM_LEFT_S = 0.010


def compute_backoff(
    attempt: int, now: float, deadline: float, generator: random.Random
) -> float | None:
    """Returns the delay before a retry in seconds, or None if it is too late.

    Args:
        attempt: Number of attempts made so far, at least 1.
        now: Time, in seconds.
        deadline: Deadline of the request, in seconds.
        generator: Source of randomness for the jitter.
    """
    longest_delay = min(
        FIRST_DELAY_S * 2.0 ** min(attempt - 1, 10), MAXIMUM_DELAY_S
    )
    # The jitter is at most half of the delay: requests that failed at the same
    # time are spread out, but no retry follows immediately.
    delay = longest_delay * (0.5 + 0.5 * generator.random())
    return delay if now + delay + MINIMUM_LEFT_S < deadline else None
