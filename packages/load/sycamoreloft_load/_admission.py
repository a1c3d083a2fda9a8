"""Decides whether a request is sent now, waits at the host, or is refused.

Only services whose upstreams report load or reset when full are affected: the
backlog of any other upstream is unknown, and it always has room.
"""

import collections
from collections import abc
import dataclasses
import enum

#: Weight of a new observation in the mean work time of a kind.
WORK_TIME_GAIN = 0.15

#: Minimum share of a latency that counts as work.
MINIMUM_WORK_SHARE = 0.25

#: Share of the latency target that is assumed as the work time of a kind
#: before its first answer.
ASSUMED_WORK_SHARE = 0.5

#: Share of what remains of a more urgent kind's latency target after its work
#: that a less urgent request may use up as wait at an upstream. The other half
#: covers requests that other hosts send at the same time.
SPARE_SHARE = 0.5

#: Share of its latency target for which a request may wait that is refused in
#: the end. A longer wait harms callers more than it helps them.
MAXIMUM_HOLD_SHARE = 0.125

#: Seconds over which the share of a kind is counted, and the share that is sent
#: in any case: no kind starves beside more urgent ones.
SHARE_WINDOW_S = 5
MINIMUM_SHARE = 0.25

#: Service and name of the kind.
_KindKey = tuple[str, str]


class Verdict(enum.Enum):
    """What happens to a request now."""

    #: It is sent.
    SEND = "send"
    #: It waits at this host.
    WAIT = "wait"
    #: It is refused; nothing is sent.
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of requests of one service: those of one route."""

    #: Name of the route.
    name: str
    #: Priority; 0 is served first.
    priority: int
    #: Time within which an answer is most useful, in seconds.
    latency_target_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """A request that is to be sent to an upstream."""

    #: Name of the service.
    service: str
    #: Kind of the request.
    kind: Kind
    #: When it arrived, in seconds.
    arrived_at: float
    #: When it must be answered, in seconds.
    deadline: float
    #: Until when it may wait if it ends refused, in seconds.
    give_up_at: float
    #: Whether it may run more than once.
    is_idempotent: bool
    #: Whether its caller returned before the time that it was told.
    is_repeat: bool = False
    #: Size of the received part of its body, in bytes.
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """What is known of the upstream for a request."""

    #: Estimated number of its running and waiting requests; None if unknown.
    backlog: float | None
    #: Number of requests that it handles concurrently.
    slots: int
    #: Mean time of its work on a request, in seconds.
    work_s: float
    #: Whether it is not known to be full.
    has_room: bool = True
    #: Seconds for which it still counts as full.
    full_s: float = 0.0

    @property
    def wait_s(self) -> float:
        """Expected wait for a slot, in seconds; 0 if nothing is known."""
        if self.backlog is None:
            return 0.0
        slots = max(1, self.slots)
        return max(0.0, self.backlog + 1 - slots) / slots * self.work_s


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The verdict on a request, with its reason."""

    verdict: Verdict
    #: Why the request waits or is refused; empty if it is sent.
    reason: str = ""
    #: When to decide again at the latest, for a request that waits, in seconds.
    check_at: float = 0.0


SEND = Decision(Verdict.SEND)


class KindShares:
    """Requests of each kind that arrived and were sent in the last seconds."""

    def __init__(self) -> None:
        #: By kind: second, arrived and sent requests; the oldest first.
        self._counts: dict[_KindKey, collections.deque[list[int]]] = {}

    def record_arrival(self, service: str, kind: str, now: float) -> None:
        """Counts a request that arrived."""
        self._get_latest(service, kind, now)[1] += 1

    def record_sent(self, service: str, kind: str, now: float) -> None:
        """Counts a request that was sent to an upstream."""
        self._get_latest(service, kind, now)[2] += 1

    def needs_more(self, service: str, kind: str, now: float) -> bool:
        """Returns whether less than the minimum share of a kind was sent."""
        arrived = sent = 0
        oldest = int(now) - SHARE_WINDOW_S
        for second, arrivals, sends in self._counts.get((service, kind), ()):
            if second > oldest:
                arrived += arrivals
                sent += sends
        return sent < MINIMUM_SHARE * arrived

    def _get_latest(self, service: str, kind: str, now: float) -> list[int]:
        counts = self._counts.setdefault(
            (service, kind), collections.deque(maxlen=SHARE_WINDOW_S)
        )
        second = int(now)
        if not counts or counts[-1][0] < second:
            counts.append([second, 0, 0])
        return counts[-1]


class Admission:
    """Decides on the requests of one host."""

    def __init__(self) -> None:
        self._kinds: dict[str, tuple[Kind, ...]] = {}
        #: Mean work time by service and name of the kind, in seconds.
        self._work_times: dict[tuple[str, str], float] = {}
        #: The same by service, over the requests of all kinds.
        self._service_times: dict[str, float] = {}
        #: Requests that arrived and were sent, by service and kind.
        self.shares = KindShares()

    def set_kinds(self, kinds: abc.Mapping[str, abc.Iterable[Kind]]) -> None:
        """Replaces the kinds of requests of each service."""
        self._kinds = {name: tuple(items) for name, items in kinds.items()}
        # Work times of kinds that were removed must not pile up.
        listed = {
            (name, kind.name)
            for name, items in self._kinds.items()
            for kind in items
        }
        for key in self._work_times.keys() - listed:
            del self._work_times[key]
        for service in self._service_times.keys() - self._kinds.keys():
            del self._service_times[service]

    def record_answer(
        self, demand: Demand, latency_s: float, wait_s: float
    ) -> None:
        """Records the time that an upstream took for a request.

        Args:
            demand: The request.
            latency_s: Time from sending it to the answer, in seconds.
            wait_s: Wait that was expected when it was sent, in seconds.
        """
        key = (demand.service, demand.kind.name)
        # The estimate of the wait may exceed the latency.
        work_s = max(latency_s - wait_s, MINIMUM_WORK_SHARE * latency_s)
        known_s = self._work_times.setdefault(key, work_s)
        self._work_times[key] = known_s + WORK_TIME_GAIN * (work_s - known_s)
        mean_s = self._service_times.setdefault(demand.service, work_s)
        self._service_times[demand.service] = mean_s + WORK_TIME_GAIN * (
            work_s - mean_s
        )

    def get_work_s(self, service: str, kind: Kind) -> float:
        """Returns the mean work time of a kind, in seconds."""
        return self._work_times.get(
            (service, kind.name), ASSUMED_WORK_SHARE * kind.latency_target_s
        )

    def get_mean_work_s(self, service: str) -> float:
        """Returns the mean work time of a service's requests, in seconds."""
        known_s = self._service_times.get(service)
        if known_s is not None:
            return known_s
        kinds = self._kinds.get(service, ())
        if not kinds:
            return 0.0
        return sum(self.get_work_s(service, kind) for kind in kinds) / len(
            kinds
        )

    def compute_allowed_wait_s(self, demand: Demand, slots: int) -> float:
        """Returns up to which wait at an upstream a request may be sent there.

        Beyond it, the request would miss its own latency target or make more
        urgent ones miss theirs. Its own target counts because requests that
        are answered late delay all later ones: without that, all requests of
        the most urgent kind miss their target when it is overloaded itself.
        More urgent requests come behind this one, so that its own work counts.

        Args:
            demand: The request.
            slots: Number of slots of the upstream.

        Returns:
            The time, in seconds.
        """
        own_work_s = self.get_work_s(demand.service, demand.kind) / max(
            1, slots
        )
        urgent = (
            max(
                0.0,
                SPARE_SHARE * self._compute_spare_s(demand.service, kind)
                - own_work_s,
            )
            for kind in self._kinds.get(demand.service, ())
            if kind.priority < demand.kind.priority
        )
        own_s = self._compute_spare_s(demand.service, demand.kind)
        return min((own_s, *urgent))

    def _compute_spare_s(self, service: str, kind: Kind) -> float:
        """Returns what remains of a kind's latency target after its work."""
        return max(0.0, kind.latency_target_s - self.get_work_s(service, kind))

    def decide(
        self,
        demand: Demand,
        candidate: Candidate,
        now: float,
        is_stopping: bool = False,
    ) -> Decision:
        """Decides on a request.

        Args:
            demand: The request.
            candidate: The upstream that would get it.
            now: Time, in seconds.
            is_stopping: Whether the host stops, so that nothing waits longer
                than necessary.
        """
        if not candidate.has_room:
            return _decide_without_room(demand, candidate, now)
        if candidate.backlog is None:
            return SEND
        wait_s = candidate.wait_s
        work_s = self.get_work_s(demand.service, demand.kind)
        if now + wait_s + work_s > demand.deadline:
            return Decision(Verdict.REFUSE, "past-deadline")
        allowed_s = self.compute_allowed_wait_s(demand, candidate.slots)
        excess_s = wait_s - allowed_s
        if excess_s <= 0.0 or is_stopping:
            return SEND
        if now < demand.give_up_at:
            check_at = min(demand.give_up_at, now + excess_s)
            return Decision(Verdict.WAIT, "backlog", check_at)
        # The whole spare time of the more urgent kinds, but no more: else the
        # share of a kind that is offered far too often would displace them.
        if wait_s <= allowed_s / SPARE_SHARE and self.shares.needs_more(
            demand.service, demand.kind.name, now
        ):
            return SEND
        return Decision(Verdict.REFUSE, "backlog")


def _decide_without_room(
    demand: Demand, candidate: Candidate, now: float
) -> Decision:
    if not demand.is_idempotent or now >= demand.give_up_at:
        return Decision(Verdict.REFUSE, "upstream-full")
    check_at = demand.give_up_at
    if candidate.full_s > 0.0:
        check_at = min(check_at, now + candidate.full_s)
    return Decision(Verdict.WAIT, "upstream-full", check_at)
