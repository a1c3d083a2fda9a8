"""Tests of the delay before a retry."""

import random

from sycamoreloft_decisions import _retries


def test_backoff_grows_has_jitter_and_stays_inside_the_deadline():
    """Guards against synchronized retries, and retries after the deadline."""
    generator = random.Random(1)
    for attempt in range(1, 12):
        longest = min(0.01 * 2 ** (attempt - 1), 1.0)
        delays = {
            _retries.compute_backoff(attempt, 0.0, 60.0, generator)
            for _ in range(20)
        }
        assert len(delays) == 20
        assert all(longest / 2 <= delay <= longest for delay in delays)
    assert _retries.compute_backoff(8, 9.5, 10.0, generator) is None
