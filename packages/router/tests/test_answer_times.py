"""Speeds of upstreams with few and long requests."""

import random

from sycamoreloft_router import _answer_times

#: Work of a request at the usual speed, in seconds.
WORK_S = 0.4


def test_few_answers_tell_fast_upstreams_from_slow_ones():
    """Guards against speeds that the first answer determines for long.

    Twelve answers are what an upstream of four slots gives in some seconds.
    """
    generator = random.Random(5)
    speeds = {f"u{number}": (0.7, 0.7, 1.6)[number % 3] for number in range(12)}
    times = _answer_times.AnswerTimes()
    for _ in range(12):
        for upstream, speed in speeds.items():
            work_s = WORK_S * generator.uniform(0.6, 1.4)
            times.record_mean(upstream, work_s / speed)
    learned = times.compute_speeds()
    slow = [learned[name] for name, speed in speeds.items() if speed < 1]
    fast = [learned[name] for name, speed in speeds.items() if speed > 1]
    assert min(fast) > 1.5 * max(slow)
    assert 0.4 < times.mean_s < 0.6
