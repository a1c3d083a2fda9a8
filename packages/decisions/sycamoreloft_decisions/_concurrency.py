"""Concurrency limit of one upstream, derived from the observed latency.

Three means of the latency are computed: the recent one over a few samples, the
steady one over `STEADY_SAMPLES` samples, and a slow baseline that represents
the latency without overload.
"""

#: Ratio of the steady latency to the baseline above which the limit is
#: lowered. With exponentially distributed service times, the mean over
#: `STEADY_SAMPLES` requests stays below twice the baseline.
SLOW_RATIO = 2.0

#: Factor that lowers the limit. It is applied at most once for each round of
#: concurrent requests, so that one slow round does not lower it several times.
DECREASE_FACTOR = 0.75

#: Weight of a new sample in the recent latency, which is used to choose
#: upstreams and to estimate waiting times.
RECENT_WEIGHT = 0.125

#: Number of samples in the steady latency, which determines when the limit is
#: lowered.
STEADY_SAMPLES = 32

#: Weights by which the baseline follows the steady latency. It falls faster
#: than it rises, so that the latency of an overload does not become the
#: baseline.
BASELINE_FALL_WEIGHT = 0.02
BASELINE_RISE_WEIGHT = 0.001

#: The same weight for a rise while the limit is 1, when the latency cannot be
#: due to concurrency. Without it, a single fast sample at the start kept the
#: limit at 1 forever.
UNLOADED_BASELINE_WEIGHT = 0.05


class ConcurrencyLimit:
    """Limit between 1 and `slots` that adapts to the latency.

    It increases additively and decreases multiplicatively.
    """

    __slots__ = (
        "_since_decrease",
        "_steady_s",
        "limit",
        "recent_s",
        "samples",
        "slots",
        "baseline_s",
    )

    def __init__(self, slots: int, cold: bool) -> None:
        """Starts with the limit at `slots`, or at 1 for a cold upstream."""
        #: Number of requests that the upstream can run concurrently.
        self.slots = slots
        #: Number of requests that may be sent to it concurrently; may be a
        #: fraction.
        self.limit = 1.0 if cold else float(slots)
        #: Mean latency of recent requests, in seconds; 0 before any sample.
        self.recent_s = 0.0
        #: Latency without overload, in seconds; 0 before any sample.
        self.baseline_s = 0.0
        #: Number of samples since the start of the upstream.
        self.samples = 0
        self._steady_s = 0.0
        self._since_decrease = 0

    def resize(self, slots: int) -> None:
        """Changes the slots, and the limit by the same amount."""
        self.limit = min(max(1.0, self.limit + slots - self.slots), slots)
        self.slots = slots

    def observe(self, latency_s: float) -> None:
        """Adds the latency of a request as a sample."""
        self._since_decrease += 1
        self.samples += 1
        if self.samples <= STEADY_SAMPLES:
            # Until there are enough samples, all have the same weight.
            weight = 1.0 / self.samples
            self.recent_s += max(weight, RECENT_WEIGHT) * (
                latency_s - self.recent_s
            )
            self._steady_s += weight * (latency_s - self._steady_s)
            self.baseline_s = self._steady_s
            self._increase()
            return
        self.recent_s += RECENT_WEIGHT * (latency_s - self.recent_s)
        self._steady_s += (latency_s - self._steady_s) / STEADY_SAMPLES
        difference = self._steady_s - self.baseline_s
        if self._steady_s > SLOW_RATIO * self.baseline_s:
            if self.limit <= 1.0:
                self.baseline_s += UNLOADED_BASELINE_WEIGHT * difference
            self.decrease()
            return
        self.baseline_s += difference * (
            BASELINE_FALL_WEIGHT if difference < 0 else BASELINE_RISE_WEIGHT
        )
        self._increase()

    def decrease(self) -> None:
        """Lowers the limit at most once per round.

        It is lowered for high latency, or if a request was refused or lost.
        """
        if self._since_decrease >= self.limit:
            self.limit = max(1.0, self.limit * DECREASE_FACTOR)
            self._since_decrease = 0

    def _increase(self) -> None:
        if self.limit < self.slots:
            self.limit = min(self.limit + 1.0 / self.limit, self.slots)
