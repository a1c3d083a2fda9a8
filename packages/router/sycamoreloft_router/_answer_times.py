"""Estimates relative speeds of upstreams from their answer times."""

#: Mean answer time that is assumed before the first observation, in seconds.
INITIAL_ANSWER_S = 0.1

#: Least weight of a new observation in the exponential moving average of an
#: upstream. The first observations weigh more, as in a plain mean: an upstream
#: with a few long requests a second would otherwise keep for half a minute the
#: speed that its first answer suggested.
SMOOTHING_FACTOR = 0.02

#: The same for the average over all upstreams.
MEAN_SMOOTHING_FACTOR = SMOOTHING_FACTOR / 10

#: Bounds of the relative speed of an upstream, where 1 is the mean speed.
MINIMUM_SPEED, MAXIMUM_SPEED = 0.3, 2.5


class AnswerTimes:
    """Keeps moving averages of the answer times of upstreams."""

    def __init__(self) -> None:
        #: Moving average of the answer times of all upstreams, in seconds.
        self.mean_s = INITIAL_ANSWER_S
        self._count = 0
        self._times: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record_mean(self, upstream: str, mean_s: float) -> None:
        """Records a mean of answer times.

        Args:
            upstream: Identifier of the upstream.
            mean_s: Mean of some of its answer times, in seconds.
        """
        self._count += 1
        count = self._counts.get(upstream, 0) + 1
        self._counts[upstream] = count
        known = self._times.get(upstream, mean_s)
        gain = max(SMOOTHING_FACTOR, 1 / count)
        self._times[upstream] = known + gain * (mean_s - known)
        gain = max(MEAN_SMOOTHING_FACTOR, 1 / self._count)
        self.mean_s += gain * (mean_s - self.mean_s)

    def compute_speeds(self) -> dict[str, float]:
        """Returns the relative speeds of upstreams by identifier."""
        return {
            upstream: min(
                MAXIMUM_SPEED,
                max(MINIMUM_SPEED, self.mean_s / max(mean_s, 0.001)),
            )
            for upstream, mean_s in self._times.items()
        }
