"""State of the upstreams of a group, and the choice between them."""

from collections import abc
import random

from sycamoreloft_decisions import _concurrency

#: Failures in a row after which an upstream is ejected for a while.
EJECTION_FAILURES = 5

#: Seconds of the first ejection; each further one is twice as long.
EJECTION_S = 5.0

#: Longest ejection, in seconds.
LONGEST_EJECTION_S = 60.0

#: Ejections in a row that are counted; more of them made the computation of
#: the duration overflow.
MOST_EJECTIONS = 10

#: Seconds after which the latency of an idle upstream is no longer trusted,
#: so that an upstream that was slow once is tried again.
STALE_S = 5.0


class UpstreamState:
    """What the desk knows of one upstream."""

    __slots__ = (
        "_accounted",
        "_ejections",
        "_failures",
        "available",
        "capacity",
        "ejected_until",
        "in_use",
        "limiter",
        "name",
        "observed_at",
        "queue",
        "recovering",
        "slots",
    )

    def __init__(self, name: str, recovering: bool) -> None:
        """Starts without slots; `recovering` as after a takeover."""
        #: Name of the upstream.
        self.name = name
        #: Requests that it runs at once.
        self.slots = 0
        #: Requests that may be queued for it.
        self.queue = 0
        #: Whether it may get new permits.
        self.available = False
        #: Permits that have not ended.
        self.in_use = 0
        #: Permits that may be in use at once.
        self.capacity = 0
        #: Whether an earlier holder may have issued permits for it that no
        #: host has reported yet.
        self.recovering = recovering
        #: Limit below the slots.
        self.limiter = _concurrency.ConcurrencyLimit(0, False)
        #: Time until which other upstreams are preferred.
        self.ejected_until = 0.0
        #: Time of the last completed request.
        self.observed_at = 0.0
        self._accounted = 0
        self._failures = 0
        self._ejections = 0

    def open(self, slots: int, queue: int, cold: bool) -> None:
        """Makes the upstream available with the given limits."""
        if cold or not self.slots:
            self.limiter = _concurrency.ConcurrencyLimit(slots, cold)
        elif slots != self.slots:
            self.limiter.resize(slots)
        self.slots = slots
        self.queue = queue or 2 * slots
        self.available = True
        self.update_capacity()

    def account(self, unlapsed: bool) -> None:
        """Counts a permit of an earlier holder that a host reported."""
        self.in_use += 1
        self._accounted += unlapsed
        self.update_capacity()

    def update_capacity(self) -> None:
        """Computes the capacity after one of its parts changed."""
        capacity = int(self.limiter.limit)
        if self.recovering:
            # Only a slot whose unlapsed permit was reported, and then
            # returned, is known to be free.
            capacity = min(capacity, self._accounted)
        self.capacity = min(capacity, self.slots)

    def is_free(self) -> bool:
        """Tells whether a permit can be issued now."""
        return self.available and self.in_use < self.capacity

    def observe_success(self, latency_s: float, now: float) -> bool:
        """Counts a completed request; returns whether the capacity changed."""
        self._failures = 0
        if self.ejected_until <= now:
            self._ejections = 0
        self.observed_at = now
        self.limiter.observe(latency_s)
        if int(self.limiter.limit) == self.capacity:
            return False
        self.update_capacity()
        return True

    def observe_unfinished(self, latency_s: float) -> None:
        """Counts a request that was given up after some time.

        Its service time would have been longer, so it is a sample only if it
        is above the mean.
        """
        if latency_s > self.limiter.recent_s > 0:
            self.limiter.observe(latency_s)
            self.update_capacity()

    def observe_failure(self, now: float) -> None:
        """Counts a refusal or a lost connection."""
        self.limiter.decrease()
        self.update_capacity()
        self._failures += 1
        # A keyed upstream is used while it is ejected, which must not make
        # its ejection longer.
        if self._failures < EJECTION_FAILURES or self.ejected_until > now:
            return
        # One more failure after the ejection is enough for the next one.
        self._failures = EJECTION_FAILURES - 1
        duration_s = min(EJECTION_S * 2.0**self._ejections, LONGEST_EJECTION_S)
        self._ejections = min(self._ejections + 1, MOST_EJECTIONS)
        self.ejected_until = now + duration_s

    def compute_score(self, now: float) -> float:
        """Returns the expected delay of one more request; less is better."""
        if self.in_use == 0 and self.observed_at + STALE_S < now:
            return 0.0
        return (self.in_use + 1) * self.limiter.recent_s


def choose_upstream(
    candidates: abc.Sequence[UpstreamState],
    generator: random.Random,
    now: float,
) -> UpstreamState | None:
    """Chooses a free upstream: the better one of two random candidates.

    Ejected upstreams are used only when no other one is available; ejection
    therefore never empties the set. They are not used when the others are
    full, because an upstream that fails fast would attract what overflows.
    """
    count = len(candidates)
    if count == 1:
        only = candidates[0]
        return only if only.is_free() else None
    if count == 0:
        return None
    first_index = int(generator.random() * count)
    second_index = int(generator.random() * (count - 1))
    if second_index >= first_index:
        second_index += 1
    first = candidates[first_index]
    second = candidates[second_index]
    if (
        first.is_free()
        and second.is_free()
        and first.ejected_until <= now
        and second.ejected_until <= now
    ):
        if second.compute_score(now) < first.compute_score(now):
            return second
        return first
    return _choose_best(candidates, now)


def _choose_best(
    candidates: abc.Sequence[UpstreamState], now: float
) -> UpstreamState | None:
    usable = [upstream for upstream in candidates if upstream.available]
    healthy = [each for each in usable if each.ejected_until <= now]
    return min(
        (each for each in healthy or usable if each.is_free()),
        key=lambda upstream: upstream.compute_score(now),
        default=None,
    )
