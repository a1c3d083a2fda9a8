"""Estimates relative speeds of upstreams from their answer times."""

#: Mean answer time that is assumed before the first observation, in seconds.
INITIAL_ANSWER_S = 0.1

#: Weight of a new observation in the exponential moving average of an
#: upstream. The reports of all hosts together bring some tens of observations
#: per upstream and second.
SMOOTHING_FACTOR = 0.02

#: Bounds of the relative speed of an upstream, where 1 is the mean speed.
MINIMUM_SPEED, MAXIMUM_SPEED = 0.3, 2.5


class AnswerTimes:
    """Keeps moving averages of the answer times of upstreams."""

    def __init__(self) -> None:
        #: Moving average of the answer times of all upstreams, in seconds.
        self.mean_s = INITIAL_ANSWER_S
        self._times: dict[str, float] = {}

    def record_mean(self, upstream: str, mean_s: float) -> None:
        """Records a mean of answer times.

        Args:
            upstream: Identifier of the upstream.
            mean_s: Mean of some of its answer times, in seconds.
        """
        known = self._times.get(upstream, mean_s)
        self._times[upstream] = known + SMOOTHING_FACTOR * (mean_s - known)
        self.mean_s += SMOOTHING_FACTOR / 10 * (mean_s - self.mean_s)

    def compute_speeds(self) -> dict[str, float]:
        """Returns the relative speeds of upstreams by identifier."""
        return {
            upstream: min(
                MAXIMUM_SPEED,
                max(MINIMUM_SPEED, self.mean_s / max(mean_s, 0.001)),
            )
            for upstream, mean_s in self._times.items()
        }
