"""Concurrency limit of one upstream, from the latency that hosts observe."""

#: Latency relative to the usual one at which the limit is lowered. With
#: exponential service times, the mean over `STEADY_SAMPLES` requests stays
#: below twice the usual latency.
SLOW_RATIO = 2.0

#: Factor by which the limit is lowered, at most once for each round of
#: requests, so that one slow round is not punished several times.
DECREASE = 0.75

#: Weight of a new sample in the recent latency, for choices and estimates.
RECENT_WEIGHT = 0.125

#: Samples in the steady latency, which lowers the limit.
STEADY_SAMPLES = 32

#: Weights by which the usual latency follows the steady one. It falls faster
#: than it rises, so that an overloaded upstream does not appear usual.
USUAL_FALL = 0.02
USUAL_RISE = 0.001

#: Weight by which the usual latency follows while the limit is 1: latency
#: that remains then does not come from concurrency. Without this, one fast
#: sample at the start kept the limit at 1 for good.
UNLOADED_WEIGHT = 0.05


class ConcurrencyLimit:
    """Additive increase and multiplicative decrease between 1 and `slots`."""

    __slots__ = (
        "_since_decrease",
        "_steady_s",
        "limit",
        "recent_s",
        "samples",
        "slots",
        "usual_s",
    )

    def __init__(self, slots: int, cold: bool) -> None:
        """Starts at the full limit, or at 1 for a cold upstream."""
        #: Requests that the upstream runs at once.
        self.slots = slots
        #: Requests that it may be given at once, fractional.
        self.limit = 1.0 if cold else float(slots)
        #: Mean latency of recent requests, in seconds; 0 without a sample.
        self.recent_s = 0.0
        #: Latency that counts as normal, in seconds; 0 without a sample.
        self.usual_s = 0.0
        #: Number of samples since the start of the upstream.
        self.samples = 0
        self._steady_s = 0.0
        self._since_decrease = 0

    def resize(self, slots: int) -> None:
        """Changes the slots; the limit keeps its distance to them."""
        self.limit = min(max(1.0, self.limit + slots - self.slots), slots)
        self.slots = slots

    def observe(self, latency_s: float) -> None:
        """Counts a request that ended after some time."""
        self._since_decrease += 1
        self.samples += 1
        if self.samples <= STEADY_SAMPLES:
            # Until there are enough samples, all count alike.
            weight = 1.0 / self.samples
            self.recent_s += max(weight, RECENT_WEIGHT) * (
                latency_s - self.recent_s
            )
            self._steady_s += weight * (latency_s - self._steady_s)
            self.usual_s = self._steady_s
            self._increase()
            return
        self.recent_s += RECENT_WEIGHT * (latency_s - self.recent_s)
        self._steady_s += (latency_s - self._steady_s) / STEADY_SAMPLES
        difference = self._steady_s - self.usual_s
        if self._steady_s > SLOW_RATIO * self.usual_s:
            if self.limit <= 1.0:
                self.usual_s += UNLOADED_WEIGHT * difference
            self.decrease()
            return
        self.usual_s += difference * (
            USUAL_FALL if difference < 0 else USUAL_RISE
        )
        self._increase()

    def decrease(self) -> None:
        """Lowers the limit, also when the upstream sheds load."""
        if self._since_decrease >= self.limit:
            self.limit = max(1.0, self.limit * DECREASE)
            self._since_decrease = 0

    def _increase(self) -> None:
        if self.limit < self.slots:
            self.limit = min(self.limit + 1.0 / self.limit, self.slots)
