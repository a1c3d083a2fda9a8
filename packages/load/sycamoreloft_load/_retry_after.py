"""Chooses when refused callers return, by the rate at which work is done."""

import collections
import dataclasses
import random

#: Seconds over which the rate of a service is measured, and the number of
#: answers in that time from which on the rate counts as known.
WINDOW_S = 5
MINIMUM_ANSWERS = 4

#: Shortest time after which a caller returns, in seconds.
MINIMUM_RETRY_S = 0.15

#: Share of the time left to a caller's deadline up to which it accepts a time
#: to wait.
ACCEPTED_SHARE = 1 / 3

#: Share of the time to wait that is random in addition, so that callers that
#: were refused together do not return together.
JITTER_SHARE = 0.5

#: Maximum number of callers that are remembered until their return.
MAXIMUM_CALLERS = 1024


@dataclasses.dataclass(slots=True)
class _ServiceRate:
    """Answers of one service on this host."""

    #: Second and number of answers, the oldest first.
    answers: collections.deque[list[int]]
    #: When the last caller that was refused returns, in seconds.
    returns_at: float = 0.0


class RetryTimes:
    """Chooses the times after which the callers of one host return.

    Args:
        generator: Source of randomness.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._rates: dict[str, _ServiceRate] = {}
        #: When refused callers return, and how many requests they were refused,
        #: by address and kind.
        self._callers: dict[tuple[str, str], tuple[float, int]] = {}

    def record_answer(self, service: str, now: float) -> None:
        """Counts an answer of a service."""
        rate = self._rates.get(service)
        if rate is None:
            rate = _ServiceRate(collections.deque(maxlen=WINDOW_S))
            self._rates[service] = rate
        second = int(now)
        if rate.answers and rate.answers[-1][0] >= second:
            rate.answers[-1][1] += 1
        else:
            rate.answers.append([second, 1])

    def compute_rate(self, service: str, now: float) -> float:
        """Returns the answers of a service in a second; 0 if unknown."""
        rate = self._rates.get(service)
        if rate is None:
            return 0.0
        oldest = int(now) - WINDOW_S
        answers = sum(
            count for second, count in rate.answers if second > oldest
        )
        return answers / WINDOW_S if answers >= MINIMUM_ANSWERS else 0.0

    def choose_s(
        self, service: str, waiting: int, deadline: float, now: float
    ) -> float | None:
        """Draws the time after which a refused caller returns.

        Each refused caller gets a place after those that wait and those that
        were refused before, one for each answer.

        Args:
            service: Name of the service.
            waiting: Number of requests for it that wait at this host.
            deadline: Deadline of the request, in seconds.
            now: Time, in seconds.

        Returns:
            The time, in seconds; None if the rate is unknown.
        """
        rate_per_s = self.compute_rate(service, now)
        if not rate_per_s:
            return None
        rate = self._rates[service]
        accepted_s = max(0.0, deadline - now) * ACCEPTED_SHARE
        first_at = now + max(MINIMUM_RETRY_S, waiting / rate_per_s)
        returns_at = max(first_at, rate.returns_at + 1.0 / rate_per_s)
        # Beyond what callers accept there is no order to keep: without this
        # bound, the places of callers that gave up would delay all later ones.
        rate.returns_at = min(returns_at, now + accepted_s)
        retry_s = returns_at - now
        retry_s += self._generator.uniform(0.0, JITTER_SHARE * retry_s)
        if retry_s > accepted_s:
            retry_s = accepted_s * self._generator.uniform(
                1.0 - JITTER_SHARE, 1.0
            )
        return max(retry_s, MINIMUM_RETRY_S)

    def record_refusal(self, caller: str, kind: str, returns_at: float) -> None:
        """Remembers when a refused caller was told to return."""
        _, count = self._callers.pop((caller, kind), (0.0, 0))
        self._callers[caller, kind] = returns_at, count + 1
        if len(self._callers) > MAXIMUM_CALLERS:
            del self._callers[next(iter(self._callers))]

    def is_early(self, caller: str, kind: str, now: float) -> bool:
        """Returns whether a caller returned before the time it was told."""
        return now < self._callers.get((caller, kind), (now, 0))[0]

    def take_return(self, caller: str, kind: str, now: float) -> bool:
        """Returns whether a request repeats one that was refused.

        Callers give repeats new identifiers, so each refusal makes one later
        request of the caller count as a repeat.
        """
        returns_at, count = self._callers.get((caller, kind), (0.0, 0))
        if count and now < returns_at + WINDOW_S:
            self._callers[caller, kind] = returns_at, count - 1
            return True
        return False
