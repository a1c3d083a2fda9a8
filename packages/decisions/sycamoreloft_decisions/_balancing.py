"""State of the upstreams of a group, and the choice among them."""

from collections import abc
import random

from sycamoreloft_decisions import _concurrency

#: Number of successive failures after which an upstream is ejected for a time.
FAILURES_TO_EJECT = 5

#: Duration of the first ejection, in seconds. It doubles with each further
#: one.
FIRST_EJECTION_S = 5.0

#: Maximum duration of an ejection, in seconds.
MAXIMUM_EJECTION_S = 60.0

#: Maximum number of successive ejections that are counted. Without this limit,
#: the computation of the duration overflowed.
MAXIMUM_COUNTED_EJECTIONS = 10

#: Seconds after which the observed latency of an idle upstream is ignored, so
#: that an upstream that was slow in the past is tried again.
STALE_LATENCY_S = 5.0


class UpstreamState:
    """State of one upstream at the permit issuer."""

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
        """Creates an unavailable upstream without slots.

        Args:
            name: Name of the upstream.
            recovering: Whether this holder is recovering after a takeover.
        """
        self.name = name
        #: Number of requests that the upstream can run concurrently.
        self.slots = 0
        #: Maximum number of requests that are queued for it.
        self.queue = 0
        #: Whether it may get new permits.
        self.available = False
        #: Number of its permits that have not ended.
        self.in_use = 0
        #: Maximum number of permits that may be in use.
        self.capacity = 0
        #: Whether an earlier holder may have issued permits for it that no
        #: host has reported yet.
        self.recovering = recovering
        #: Concurrency limit, which may be below the slots.
        self.limiter = _concurrency.ConcurrencyLimit(0, False)
        #: Time until which other upstreams are preferred, in seconds.
        self.ejected_until = 0.0
        #: When a request last completed, in seconds.
        self.observed_at = 0.0
        self._accounted = 0
        self._failures = 0
        self._ejections = 0

    def mark_available(self, slots: int, queue: int, cold: bool) -> None:
        """Makes the upstream available with the given limits.

        Args:
            slots: Number of requests that it can run concurrently.
            queue: Maximum number of queued requests; 0 for twice the slots.
            cold: Whether it has just started.
        """
        if cold or not self.slots:
            self.limiter = _concurrency.ConcurrencyLimit(slots, cold)
        elif slots != self.slots:
            self.limiter.resize(slots)
        self.slots = slots
        self.queue = queue or 2 * slots
        self.available = True
        self.update_capacity()

    def add_reported_permit(self, unlapsed: bool) -> None:
        """Counts a permit that an earlier holder issued and a host reported.

        Args:
            unlapsed: Whether the permit cannot have lapsed, as in
                `ReportedPermit`.
        """
        self.in_use += 1
        self._accounted += unlapsed
        self.update_capacity()

    def update_capacity(self) -> None:
        """Recomputes the capacity after one of its inputs changed."""
        capacity = int(self.limiter.limit)
        if self.recovering:
            # A slot is known to be free only if its unlapsed permit was
            # reported and then returned.
            capacity = min(capacity, self._accounted)
        self.capacity = min(capacity, self.slots)

    def is_free(self) -> bool:
        """Returns whether a permit can be issued now."""
        return self.available and self.in_use < self.capacity

    def observe_success(self, latency_s: float, now: float) -> bool:
        """Records a completed request; returns whether the capacity changed."""
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
        """Records a request that was abandoned after some time.

        Its latency would have been at least as long, so the time is used as a
        sample only if it exceeds the recent mean.
        """
        if latency_s > self.limiter.recent_s > 0:
            self.limiter.observe(latency_s)
            self.update_capacity()

    def observe_failure(self, now: float) -> None:
        """Records a refused request or a lost connection."""
        self.limiter.decrease()
        self.update_capacity()
        self._failures += 1
        # Owners of keys get requests even while they are ejected. Failures of
        # these must not extend the ejection.
        if self._failures < FAILURES_TO_EJECT or self.ejected_until > now:
            return
        # After the ejection, a single failure causes the next one.
        self._failures = FAILURES_TO_EJECT - 1
        duration_s = min(
            FIRST_EJECTION_S * 2.0**self._ejections, MAXIMUM_EJECTION_S
        )
        self._ejections = min(self._ejections + 1, MAXIMUM_COUNTED_EJECTIONS)
        self.ejected_until = now + duration_s

    def compute_score(self, now: float) -> float:
        """Returns the expected latency of one more request, in seconds."""
        if self.in_use == 0 and self.observed_at + STALE_LATENCY_S < now:
            return 0.0
        return (self.in_use + 1) * self.limiter.recent_s


def choose_upstream(
    candidates: abc.Sequence[UpstreamState],
    generator: random.Random,
    now: float,
) -> UpstreamState | None:
    """Chooses the better of two random candidates that have a free slot.

    Ejected upstreams are chosen only if no other upstream is available, so
    that ejections never leave a service without upstreams. They are not chosen
    when the others are merely full: an upstream that fails quickly would
    otherwise attract all excess requests.

    Returns:
        The upstream, or None if no suitable one has a free slot.
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
