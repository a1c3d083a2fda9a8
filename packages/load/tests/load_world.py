"""Simulated hosts and upstreams, on a simulated clock."""

import heapq
import itertools
import random

import sycamoreloft_direct
import sycamoreloft_load

RESULT = sycamoreloft_load.AttemptResult
WORK_S = 0.2
SLOTS, QUEUE = 4, 16


class World:
    """Hosts that send requests without keys to the upstreams of one service.

    Upstreams work on 4 requests, queue 16, and refuse more. `percent` is how
    long work takes at each.
    """

    def __init__(
        self, hosts, percent, reports, seed=1, warm_up_s=0.0, domains="abc"
    ):
        self.generator = random.Random(seed)
        self.percent, self.reports = list(percent), reports
        self.now, self.events, self.order = 0.0, [], itertools.count()
        self.entries = [
            sycamoreloft_direct.Upstream(
                f"u{n}",
                1,
                f"u{n}:1",
                "s",
                domains[n % len(domains)],
                SLOTS,
                False,
                warm_up_s,
            )
            for n in range(len(self.percent))
        ]
        self.pools = [
            sycamoreloft_load.UpstreamPool(
                domains[n % len(domains)], random.Random(seed + n)
            )
            for n in range(hosts)
        ]
        for pool in self.pools:
            pool.update(self.entries, 0.0)
        self.running = [0] * len(self.percent)
        self.queues = [[] for _ in self.percent]
        self.served = [0] * len(self.percent)
        self.latencies, self.unserved = [], 0

    def run(self, rate, seconds, on_tick=None):
        """Sends requests at a rate; calls `on_tick` every 0.1 s."""
        end, tick = self.now + seconds, self.now
        self.latencies, self.served = [], [0] * len(self.percent)
        arrival = self.now
        while True:
            due = min(
                arrival, tick, self.events[0][0] if self.events else arrival
            )
            if due >= end:
                break
            self.now = due
            if due == tick:
                tick += 0.1
                if on_tick:
                    on_tick(self)
            elif due == arrival:
                arrival += self.generator.expovariate(rate)
                self._send(self.generator.choice(self.pools), due, [])
            else:
                heapq.heappop(self.events)[2]()
        self.now = end

    def _send(self, pool, began_at, tried):
        record = pool.choose("s", self.now, False, tried)
        if record is None or len(tried) == 3:
            self.unserved += 1
            return
        number, attempt = int(record.entry.id[1:]), object()
        pool.begin(record, attempt, self.now)
        if self.running[number] < SLOTS:
            self._start(number, pool, record, attempt, began_at)
        elif len(self.queues[number]) < QUEUE:
            self.queues[number].append((pool, record, attempt, began_at))
        else:
            self._report(number, pool, record)
            pool.finish(record, attempt, RESULT.REFUSED, self.now)
            self._send(pool, began_at, [*tried, record.entry.id])

    def _start(self, number, pool, record, attempt, began_at):
        self.running[number] += 1
        work_s = WORK_S * self.percent[number] / 100
        work_s *= self.generator.uniform(0.5, 1.5)

        def end():
            self.running[number] -= 1
            self.served[number] += 1
            if self.queues[number]:
                self._start(number, *self.queues[number].pop(0))
            self._report(number, pool, record)
            pool.finish(record, attempt, RESULT.ANSWERED, self.now)
            self.latencies.append(self.now - began_at)

        event = self.now + work_s, next(self.order), end
        heapq.heappush(self.events, event)

    def _report(self, number, pool, record):
        if self.reports:
            load = sycamoreloft_load.ReportedLoad(
                self.running[number],
                len(self.queues[number]),
                SLOTS,
                self.percent[number],
            )
            pool.record_load(record.entry.run, load, self.now, is_heard=True)

    def share_loads(self):
        """Passes loads between hosts, as the datagrams do."""
        for pool in self.pools:
            for heard in pool.take_loads(self.now):
                for other in self.pools:
                    other.record_load(
                        heard.run, heard.load, self.now - heard.age_s
                    )
