"""Relative speeds of upstreams, learned from the times of their answers."""

#: Answer time of a request that is assumed at first, in seconds.
FIRST_ANSWER_S = 0.1

#: Share of a new observation in the moving averages of answer times. Reports
#: of all hosts together bring some tens for each upstream in a second.
ANSWER_GAIN = 0.02

#: Bounds of the relative speed of an upstream.
LEAST_SPEED, MOST_SPEED = 0.3, 2.5


class AnswerTimes:
    """Keeps moving averages of answer times."""

    def __init__(self) -> None:
        #: Answer time of a request at any upstream, in seconds.
        self.mean_s = FIRST_ANSWER_S
        self._times: dict[str, float] = {}

    def record_mean(self, upstream: str, mean_s: float) -> None:
        """Takes the mean of some answer times of an upstream."""
        known = self._times.get(upstream, mean_s)
        self._times[upstream] = known + ANSWER_GAIN * (mean_s - known)
        self.mean_s += ANSWER_GAIN / 10 * (mean_s - self.mean_s)

    def compute_speeds(self) -> dict[str, float]:
        """Returns the relative speeds of upstreams by identifier."""
        return {
            upstream: min(
                MOST_SPEED, max(LEAST_SPEED, self.mean_s / max(mean_s, 0.001))
            )
            for upstream, mean_s in self._times.items()
        }
