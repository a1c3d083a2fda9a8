"""Concurrency limit of one upstream, from the latency that hosts observe."""

#: Latency relative to the usual one at which the limit is lowered. Ordinary
#: variation of the mean over about eight requests stays below twice.
SLOW_RATIO = 2.0

#: Factor by which the limit is lowered, at most once for each round of
#: requests, so that one slow round is not punished several times.
DECREASE = 0.75

#: Weight of a new sample in the recent latency.
RECENT_WEIGHT = 0.125

#: Weights by which the usual latency follows the recent one. It falls quickly
#: and rises slowly, so that an overloaded upstream does not appear usual.
USUAL_FALL = 0.05
USUAL_RISE = 0.0005

#: Samples needed before the limit is lowered.
LEAST_SAMPLES = 16


class ConcurrencyLimit:
    """Additive increase and multiplicative decrease between 1 and `slots`."""

    __slots__ = (
        "_since_decrease",
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
        self._since_decrease = 0

    def resize(self, slots: int) -> None:
        """Changes the slots; the limit keeps its distance to them."""
        self.limit = min(max(1.0, self.limit + slots - self.slots), slots)
        self.slots = slots

    def observe(self, latency_s: float) -> None:
        """Counts a completed request."""
        self._since_decrease += 1
        self.samples += 1
        if self.samples == 1:
            self.recent_s = self.usual_s = latency_s
        else:
            self.recent_s += RECENT_WEIGHT * (latency_s - self.recent_s)
            difference = self.recent_s - self.usual_s
            self.usual_s += difference * (
                USUAL_FALL if difference < 0 else USUAL_RISE
            )
        if (
            self.recent_s > SLOW_RATIO * self.usual_s
            and self.samples >= LEAST_SAMPLES
        ):
            self.decrease()
        elif self.limit < self.slots:
            self.limit = min(self.limit + 1.0 / self.limit, self.slots)

    def decrease(self) -> None:
        """Lowers the limit, also when the upstream sheds load."""
        if self._since_decrease >= self.limit:
            self.limit = max(1.0, self.limit * DECREASE)
            self._since_decrease = 0
