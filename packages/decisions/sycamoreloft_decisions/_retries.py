"""The delay before a retry."""

import random

#: Delay before the first retry, in seconds; each further one is twice as long.
FIRST_DELAY_S = 0.010

#: Longest delay before a retry, in seconds.
LONGEST_DELAY_S = 1.0

#: Least time that must be left after the delay, in seconds: a request costs
#: at least a round trip to the holder and one to the upstream.
LEAST_LEFT_S = 0.010


def compute_backoff(
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
