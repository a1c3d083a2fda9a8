"""Limits the requests that all hosts together send to a cold upstream.

Hosts share the limit of a cold run without messages. Each host draws random
send times for the run, as a Poisson process with an equal share of a common
rate, and sends only at these times. The sum over all hosts is a Poisson process
as well, however the hosts are partitioned, so that the rate can be chosen from
the tail of the Poisson distribution.
"""

import collections
from collections import abc
import dataclasses
import math
import random

import sycamoreloft_direct

#: Probability that the requests of one second exceed the bound.
EXCESS_PROBABILITY = 1e-6

#: Seconds for which a send time may be used. A host of the usual size gets two
#: to four requests a second for a service, and would miss most send times that
#: ended sooner; a longer time lowers the rate that the bound allows.
EXPIRY_S = 0.5

#: Allowance for the different times that requests take to an upstream, in
#: seconds.
TRANSIT_S = 0.1

#: Seconds after an upstream became cold in which nothing is sent to it. The
#: requests that were sent before count in the first of them, and other hosts
#: may hear of the change a second later.
HOLD_OFF_S = 2.0

#: Maximum difference of the clocks of an upstream and of this host, in seconds.
CLOCK_MARGIN_S = 5.0

#: Seconds after the first number of hosts before it is used: a coordinator that
#: has just started counts the hosts whose reports arrived, one every 0.25 s.
COUNT_SETTLING_S = 3.0

#: Seconds after the first read of the table in which upstreams may be starting
#: together with this host, as long as it has handled no request.
COMMON_START_S = 10.0

#: Maximum age of the upstreams in that read, in seconds. An older one shows
#: that other hosts may have traffic.
COMMON_START_AGE_S = 30.0

#: Number of hosts that is assumed while it is unknown and all upstreams of a
#: service are cold: the number that the product is designed for.
ASSUMED_HOSTS = 4_100

#: Maximum number of cold runs that are remembered without an entry.
MAXIMUM_REMEMBERED_RUNS = 4_096

#: Identifier of an upstream, and start of its run.
RunKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUpBounds:
    """What the requests to a cold upstream may add up to in one second."""

    #: Factor of the rate that the upstream tolerates.
    overage: float = 1.5
    #: Number of requests in addition.
    slack: float = 8.0


def compute_safe_rate(rate: float, bounds: WarmUpBounds) -> float:
    """Returns the rate of send times of all hosts together.

    The requests of a second were sent at send times of a longer period, which
    the expiry and the way to the upstream add to. It is the highest rate, up to
    the tolerated one, at which more send times than the bound fall into that
    period with at most `EXCESS_PROBABILITY`.

    Args:
        rate: Requests a second that a cold upstream tolerates.
        bounds: Bound on the requests of one second.
    """
    maximum = math.floor(rate * bounds.overage + bounds.slack)
    period_s = 1.0 + EXPIRY_S + TRANSIT_S
    low, high = 0.0, rate
    if compute_poisson_tail(high * period_s, maximum) <= EXCESS_PROBABILITY:
        return rate
    for _ in range(50):
        middle = (low + high) / 2
        tail = compute_poisson_tail(middle * period_s, maximum)
        if tail <= EXCESS_PROBABILITY:
            low = middle
        else:
            high = middle
    return low


def compute_poisson_tail(mean: float, maximum: int) -> float:
    """Returns the probability that a Poisson variable exceeds a number."""
    if mean <= 0.0:
        return 0.0
    if maximum < mean:
        return 1.0
    count = maximum + 1
    term = math.exp(count * math.log(mean) - mean - math.lgamma(count + 1))
    total = 0.0
    while term > total * 1e-12:
        total += term
        count += 1
        term *= mean / count
    return total


@dataclasses.dataclass(slots=True)
class _Run:
    """What is known of one run of an upstream; times are in seconds."""

    key: RunKey
    entry: sycamoreloft_direct.Upstream
    #: When this host saw the run start or become cold; infinite if it did not.
    began_at: float = math.inf
    #: Age of the run when it was first seen; 0 if it is unknown.
    age_s: float = 0.0
    #: Time until which the entry says that the run is cold.
    said_until: float = -math.inf
    #: Time until which the run is cold.
    until: float = -math.inf
    #: Time before which nothing is sent.
    hold_until: float = -math.inf
    #: Rate of the send times of this host; None before the first draw.
    rate: float | None = None
    #: The next send time.
    next_at: float = math.inf
    #: Send times that have come and are not used.
    ready: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    #: Send times of requests that are about to be sent.
    reserved: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


class WarmUpLimits:
    """Decides when this host may send to cold upstreams.

    Without a rate in the desired state, no upstream of a service is limited.

    Args:
        generator: Source of randomness.
        evacuated: Failure domains whose upstreams get no requests.
    """

    def __init__(
        self, generator: random.Random, evacuated: abc.Container[str] = ()
    ) -> None:
        self._generator = generator
        self._evacuated = evacuated
        self._bounds = WarmUpBounds()
        self._services: abc.Mapping[str, sycamoreloft_direct.Service] = {}
        #: Rates of the send times of all hosts, of the limited services.
        self._safe_rates: dict[str, float] = {}
        self._runs: dict[RunKey, _Run] = {}
        #: Listed runs by service.
        self._listed: dict[str, list[_Run]] = {}
        #: Runs of limited services that are cold or were until recently.
        self._cold: dict[str, dict[RunKey, _Run]] = {}
        self._has_read = False
        #: Time until which upstreams may be starting without traffic.
        self._common_until = math.inf
        self._has_traffic = False
        self._host_count = 0
        self._count_heard_at = math.inf

    def set_bounds(self, bounds: WarmUpBounds) -> None:
        """Replaces the bound on the requests of a second."""
        if bounds != self._bounds:
            self._bounds = bounds
            self.set_services(self._services, -math.inf)

    def set_services(
        self,
        services: abc.Mapping[str, sycamoreloft_direct.Service],
        now: float,
    ) -> None:
        """Replaces the services of the desired state."""
        self._services = services
        self._safe_rates = {
            name: compute_safe_rate(service.warm_up_rate, self._bounds)
            for name, service in services.items()
            if service.warm_up_rate > 0.0
        }
        self._select_cold(now)

    def update_host_count(self, count: int, now: float) -> None:
        """Records the highest number of hosts of which this host heard."""
        if count > 0:
            self._count_heard_at = min(self._count_heard_at, now)
            self._host_count = max(self._host_count, count)

    def update(
        self,
        upstreams: abc.Iterable[sycamoreloft_direct.Upstream],
        now: float,
        wall_clock_s: float,
    ) -> bool:
        """Replaces the entries of service discovery.

        Args:
            upstreams: The entries.
            now: Time, in seconds.
            wall_clock_s: Seconds since 1970.

        Returns:
            Whether a limited upstream became cold.
        """
        cold = {key for runs in self._cold.values() for key in runs}
        self._listed = {}
        listed: dict[RunKey, _Run] = {}
        for entry in upstreams:
            key = entry.key
            run = self._runs.get(key)
            if run is None:
                run = self._create_run(key, entry, now, wall_clock_s)
            elif run.entry is not entry:
                self._update_entry(run, entry, now)
            listed[key] = run
            self._listed.setdefault(entry.service, []).append(run)
        remembered = [
            (key, run)
            for key, run in self._runs.items()
            if key not in listed and self._compute_until(run) > now
        ]
        self._runs = dict(remembered[-MAXIMUM_REMEMBERED_RUNS:]) | listed
        self._has_read = True
        if listed and self._common_until == math.inf:
            is_start = all(
                _compute_age_s(run.entry, wall_clock_s) <= COMMON_START_AGE_S
                for run in listed.values()
            )
            self._common_until = now + (COMMON_START_S if is_start else 0.0)
        self._select_cold(now)
        return any(
            key not in cold for runs in self._cold.values() for key in runs
        )

    def list_cold(
        self, service: str, now: float
    ) -> abc.Mapping[RunKey, object]:
        """Returns the cold runs of a service; empty without a limit."""
        self._has_traffic = True
        cold = self._cold.get(service)
        if not cold:
            return {}
        if any(run.until <= now for run in cold.values()):
            cold = {key: run for key, run in cold.items() if run.until > now}
            self._cold[service] = cold
        return cold

    def count_cold(self, now: float) -> int:
        """Returns the number of upstreams that are limited now."""
        return sum(
            run.until > now
            for runs in self._cold.values()
            for run in runs.values()
        )

    def list_ready(self, service: str, now: float) -> list[RunKey]:
        """Returns the cold runs of a service with a send time now."""
        ready = []
        cold = self.list_cold(service, now)
        rate = self._compute_rate(service, now) if cold else 0.0
        for key in cold:
            run = self._runs[key]
            # Most runs have no send time: this is called for each request.
            if run.ready or run.next_at <= now or run.rate != rate:
                self._draw(run, now, rate)
            if run.ready:
                ready.append(key)
        return ready

    def compute_cold_s(self, key: RunKey, now: float) -> float:
        """Returns for how long a run stays cold; 0 if it is not limited."""
        run = self._find_cold(key, now)
        return run.until - now if run is not None else 0.0

    def compute_service_cold_s(self, service: str, now: float) -> float:
        """Returns for how long all upstreams stay cold; 0 if one is warm."""
        cold = self.list_cold(service, now)
        if not cold or self._has_warm(service, now):
            return 0.0
        return min(
            (
                self._runs[key].until - now
                for key in cold
                if self._is_usable(self._runs[key])
            ),
            default=0.0,
        )

    def reserve(self, key: RunKey, now: float) -> bool:
        """Reserves a send time for a request that is about to be sent.

        Returns:
            Whether the request may be sent; always so to a warm run.
        """
        self._has_traffic = True
        run = self._find_cold(key, now)
        if run is None:
            return True
        self._draw(run, now)
        if not run.ready:
            return False
        run.reserved.append(run.ready.popleft())
        return True

    def may_send(self, key: RunKey, now: float) -> bool:
        """Returns whether `claim` would allow a request."""
        run = self._find_cold(key, now)
        if run is None:
            return True
        self._draw(run, now)
        return bool(run.reserved or run.ready)

    def claim(self, key: RunKey, now: float) -> bool:
        """Uses up a send time, right before a request is sent.

        Send times are not bound to requests: one that a request reserved and
        did not use by now serves another.

        Returns:
            Whether the request may be sent; always so to a warm run.
        """
        run = self._find_cold(key, now)
        if run is None:
            return True
        self._draw(run, now)
        for times in (run.reserved, run.ready):
            if times:
                times.popleft()
                return True
        return False

    def _create_run(
        self,
        key: RunKey,
        entry: sycamoreloft_direct.Upstream,
        now: float,
        wall_clock_s: float,
    ) -> _Run:
        run = _Run(key, entry)
        if entry.warm_up_s > 0.0:
            run.said_until = now + entry.warm_up_s
        # Without traffic all upstreams may be starting together; their entries
        # tell whether they are cold.
        if self._has_read and (self._has_traffic or now >= self._common_until):
            run.began_at = now
            run.hold_until = now + HOLD_OFF_S
            if entry.started_ms > 0:
                run.age_s = _compute_age_s(entry, wall_clock_s)
        return run

    def _update_entry(
        self, run: _Run, entry: sycamoreloft_direct.Upstream, now: float
    ) -> None:
        run.entry = entry
        if entry.warm_up_s <= 0.0:
            return
        if self._compute_until(run) <= now:
            run.began_at = now
            run.age_s = 0.0
            run.hold_until = now + HOLD_OFF_S
            run.rate = None
            run.ready.clear()
            run.reserved.clear()
        run.said_until = max(run.said_until, now + entry.warm_up_s)

    def _compute_until(self, run: _Run) -> float:
        """Returns until when a run is cold; minus infinity without a limit."""
        if run.entry.service not in self._safe_rates:
            return -math.inf
        warm_up_s = self._services[run.entry.service].warm_up_s
        if run.began_at == math.inf or run.age_s > warm_up_s + CLOCK_MARGIN_S:
            return run.said_until
        return max(run.said_until, run.began_at + warm_up_s)

    def _select_cold(self, now: float) -> None:
        """Selects the cold runs again."""
        self._cold = {}
        for key, run in self._runs.items():
            run.until = self._compute_until(run)
            if run.until > now:
                self._cold.setdefault(run.entry.service, {})[key] = run

    def _find_cold(self, key: RunKey, now: float) -> _Run | None:
        run = self._runs.get(key)
        return run if run is not None and run.until > now else None

    def _has_warm(self, service: str, now: float) -> bool:
        return any(
            run.until <= now and self._is_usable(run)
            for run in self._listed.get(service, ())
        )

    def _is_usable(self, run: _Run) -> bool:
        return (
            not run.entry.is_draining
            and run.entry.failure_domain not in self._evacuated
        )

    def _compute_rate(self, service: str, now: float) -> float:
        """Returns the rate of the send times of this host for a cold run."""
        safe_rate = self._safe_rates[service]
        if now - self._count_heard_at >= COUNT_SETTLING_S:
            return safe_rate / self._host_count
        if self._has_warm(service, now):
            return 0.0
        return safe_rate / max(ASSUMED_HOSTS, self._host_count)

    def _draw(self, run: _Run, now: float, rate: float | None = None) -> None:
        """Draws the send times until now, and drops those that expired.

        Args:
            run: The run.
            now: Time, in seconds.
            rate: Rate of the send times; None if it is not computed yet.
        """
        if rate is None:
            rate = self._compute_rate(run.entry.service, now)
        oldest = now - EXPIRY_S
        if rate != run.rate:
            # The wait for the next time has no memory, so it may be drawn
            # again at any moment.
            run.rate = rate
            run.next_at = max(now, run.hold_until) + self._draw_gap_s(rate)
        elif run.next_at < oldest:
            run.next_at = oldest + self._draw_gap_s(rate)
        while run.next_at <= now:
            run.ready.append(run.next_at)
            run.next_at += self._draw_gap_s(rate)
        for times in (run.ready, run.reserved):
            while times and times[0] < oldest:
                times.popleft()

    def _draw_gap_s(self, rate: float) -> float:
        return self._generator.expovariate(rate) if rate > 0.0 else math.inf


def _compute_age_s(
    entry: sycamoreloft_direct.Upstream, wall_clock_s: float
) -> float:
    """Returns the seconds since the start of a run, by its own clock."""
    return wall_clock_s - entry.started_ms / 1000
