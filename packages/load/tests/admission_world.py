"""Hosts and upstreams under load, on a simulated clock."""

import collections
import dataclasses
import heapq
import itertools
import random

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_load import _admission, _retry_after, _waiting_line

#: Slots of an upstream, and requests that wait there before it refuses more.
SLOTS = 4
QUEUE = 16

#: Age of the backlogs that hosts know, in seconds.
REPORT_AGE_S = 0.1

KINDS = {
    "orders": _admission.Kind("orders", 0, 0.41),
    "reads": _admission.Kind("reads", 2, 2.5),
}
WORK_S = {"orders": 0.141, "reads": 0.443}
DEADLINE_S = {"orders": 2.5, "reads": 4.0}


@dataclasses.dataclass(eq=False)
class Upstream:
    """An upstream that serves requests in the order of their arrival."""

    running: int = 0
    waiting: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    reported: int = 0
    is_lost: bool = False

    @property
    def backlog(self):
        return self.running + len(self.waiting)


class Host:
    """The decisions of one host."""

    def __init__(self, generator):
        self.admission = _admission.Admission()
        self.admission.set_kinds({"s": KINDS.values()})
        self.line = _waiting_line.WaitingLine(self.admission)
        self.retry_times = _retry_after.RetryTimes(generator)
        #: Requests sent to each upstream since its last report.
        self.sent = collections.Counter()


class World:
    """Offers a load of both kinds, and counts what becomes of it."""

    def __init__(self, seed, hosts=3, upstreams=6):
        self.generator = random.Random(seed)
        self.hosts = [Host(self.generator) for _ in range(hosts)]
        self.upstreams = [Upstream() for _ in range(upstreams)]
        self.now = 0.0
        self._events = []
        self._order = itertools.count()
        #: Requests by kind: new, served within the target, late, refused.
        self.counts = collections.defaultdict(collections.Counter)
        #: Work on requests that were answered in time, in seconds.
        self.useful_s = 0.0
        #: Longest time for which a refused request was held, over its target.
        self.longest_hold = 0.0
        self.retries = []
        #: Share of the time to wait after which refused callers return.
        self.patience = 1.0
        self.choose_upstream = lambda: self.generator.randrange(upstreams)

    def at(self, when, call, *arguments):
        heapq.heappush(self._events, (when, next(self._order), call, arguments))

    def run(self, load, seconds=20.0, shares=(0.25, 0.75), repeats=True):
        """Offers a multiple of what the upstreams can do."""
        self.repeats = repeats
        work_s = sum(
            share * WORK_S[kind]
            for share, kind in zip(shares, KINDS, strict=True)
        )
        rate = load * len(self.upstreams) * SLOTS / work_s
        self.at(REPORT_AGE_S, self._report)
        when = 0.0
        while when < seconds:
            when += self.generator.expovariate(rate)
            kind = self.generator.choices(list(KINDS), shares)[0]
            self.at(when, self.arrive, kind)
        while self._events and self._events[0][0] < seconds:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        return self

    def _report(self):
        for upstream in self.upstreams:
            upstream.reported = upstream.backlog
        for host in self.hosts:
            host.sent.clear()
        self.at(self.now + REPORT_AGE_S, self._report)

    def arrive(self, kind, deadline=None, caller="", host=None, number=-1):
        host = host or self.generator.choice(self.hosts)
        if number < 0:
            number = self.choose_upstream()
        if deadline is None:
            self.counts[kind]["new"] += 1
            self.counts[kind, number]["new"] += 1
            deadline = self.now + DEADLINE_S[kind]
        caller = caller or f"caller-{self.generator.random()}"
        demand = _admission.Demand(
            "s",
            KINDS[kind],
            self.now,
            deadline,
            self.now + 0.125 * KINDS[kind].latency_target_s,
            kind == "reads",
            host.retry_times.is_early(caller, kind, self.now),
        )
        if not host.retry_times.take_return(caller, kind, self.now):
            host.admission.shares.record_arrival("s", kind, self.now)
        ticket = _waiting_line.Ticket(demand, ("u", number))
        self.check(host, ticket, caller)

    def describe(self, host, number):
        return _admission.Candidate(
            self.upstreams[number].reported + host.sent[number],
            SLOTS,
            host.admission.get_mean_work_s("s"),
        )

    def check(self, host, ticket, caller):
        demand, number = ticket.demand, ticket.run[1]
        decision = host.admission.decide(
            demand,
            self.describe(host, number),
            self.now,
        )
        if decision.verdict is _admission.Verdict.WAIT:
            host.line.remove(ticket)
            if host.line.add(ticket, self.now) is not None:
                self.refuse(host, ticket, caller)
                return
            when = max(decision.check_at, self.now + 0.005)
            self.at(when, self.check, host, ticket, caller)
            return
        host.line.remove(ticket)
        upstream = self.upstreams[number]
        if (
            decision.verdict is _admission.Verdict.REFUSE
            or upstream.is_lost
            or upstream.backlog >= SLOTS + QUEUE
        ):
            self.refuse(host, ticket, caller)
            return
        host.admission.shares.record_sent("s", demand.kind.name, self.now)
        self.counts[demand.kind.name]["sent"] += 1
        host.sent[number] += 1
        upstream.waiting.append((host, demand, self.now))
        self._start(upstream)

    def _start(self, upstream):
        while upstream.waiting and upstream.running < SLOTS:
            host, demand, sent_at = upstream.waiting.popleft()
            upstream.running += 1
            wait_s = self.now - sent_at
            mean_s = WORK_S[demand.kind.name]
            work_s = mean_s * self.generator.uniform(0.7, 1.3)
            self.at(
                self.now + work_s,
                self._end,
                upstream,
                host,
                demand,
                work_s,
                wait_s,
            )

    def _end(self, upstream, host, demand, work_s, wait_s):
        upstream.running -= 1
        host.admission.record_answer(demand, work_s + wait_s, wait_s)
        host.retry_times.record_answer("s", self.now)
        counts = self.counts[demand.kind.name]
        if self.now <= demand.arrived_at + demand.kind.latency_target_s:
            counts["good"] += 1
            number = self.upstreams.index(upstream)
            self.counts[demand.kind.name, number]["good"] += 1
        if self.now <= demand.deadline:
            self.useful_s += work_s
        self._start(upstream)

    def refuse(self, host, ticket, caller):
        demand = ticket.demand
        kind = demand.kind.name
        self.counts[kind]["refused"] += 1
        self.longest_hold = max(
            self.longest_hold,
            (self.now - demand.arrived_at) / demand.kind.latency_target_s,
        )
        retry_s = host.retry_times.choose_s(
            "s", host.line.count("s"), demand.deadline, self.now
        )
        if retry_s is None:
            return
        self.retries.append(retry_s)
        accepted_s = max(0.0, demand.deadline - self.now) / 3
        assert retry_s <= max(accepted_s, _retry_after.MINIMUM_RETRY_S)
        if retry_s > accepted_s:
            return
        host.retry_times.record_refusal(caller, kind, self.now + retry_s)
        if self.repeats:
            returns_at = self.now + retry_s * self.patience
            self.at(
                returns_at,
                self.arrive,
                kind,
                demand.deadline,
                caller,
                host,
                ticket.run[1],
            )

    def get_served(self, kind):
        """Returns the share of a kind that was answered within its target."""
        return self.counts[kind]["good"] / self.counts[kind]["new"]


def build_record(name, slots=SLOTS):
    """Returns the record of an upstream without requests."""
    entry = sycamoreloft_direct.Upstream(
        name, 1, f"{name}:1", "s", "z", slots, False
    )
    return sycamoreloft_load.UpstreamRecord(entry, 0.0)
