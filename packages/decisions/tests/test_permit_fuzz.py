"""Tests of permits and the quarantine with random histories."""

import collections
import random

import pytest

import sycamoreloft_config
from sycamoreloft_decisions import _permit_events as events
from sycamoreloft_decisions import _permits
from sycamoreloft_proof import _random_histories, _request_oracle

SLOTS = {"a": 2, "b": 1}
VALIDITY_S = 1.0
#: Partitions by candidates; a request for either upstream is unkeyed.
PARTITIONS = {("a",): 1, ("b",): 2, ("a", "b"): -1}


class Host:
    """A host that requests permits.

    Its two queues of messages, to and from the holder, keep their order.
    """

    def __init__(self, name, epoch):
        self.name = name
        self.epoch = epoch
        self.to_issuer = collections.deque()
        self.to_host = collections.deque()
        self.requested = {}
        self.held = {}
        self.running = {}
        self.valid_from = -10.0
        self.renewed_at = {}


class PermitMachine(_random_histories.Machine):
    """Hosts, holders and upstreams with delays, pauses and losses."""

    actions = {
        "ask": 6,
        "deliver_everything": 5,
        "deliver_to_issuer": 3,
        "deliver_to_host": 3,
        "start": 6,
        "finish": 3,
        "report": 3,
        "advance": 4,
        "tick": 3,
        "restart_upstream": 1,
        "take_over": 1,
        "find_holder": 2,
        "lose_host": 1,
        "hold": 1,
        "release": 1,
    }
    takeover_waits = True

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.oracle = _request_oracle.SlotOracle(SLOTS)
        self.epoch = 1
        self.count = 0
        self.issued = 0
        self.drained = 0
        self.partitions = {}
        self.hosts = [Host(f"h{number}", 1) for number in range(3)]
        self.lost_hosts = []
        self.create_issuer(fresh=True)

    def create_issuer(self, fresh):
        self.opened_at = self.now
        self.issuer = _permits.PermitIssuer(
            random.Random(5), self.now, fresh=fresh
        )
        for name, slots in SLOTS.items():
            self.send(events.UpstreamAvailable(name, slots))

    def send(self, event):
        for command in self.issuer.handle(event, self.now):
            if isinstance(command, events.IssuePermit):
                for host in self.hosts:
                    if host.name == command.host:
                        host.to_host.append((self.epoch, command))
            elif isinstance(command, events.PartitionDrained):
                self.drained += 1
                permits = {
                    permit
                    for permit, partition in self.partitions.items()
                    if partition == command.partition
                }
                self.oracle.check_drained(permits, self.now)

    def ask(self, generator):
        host = _random_histories.choose(self.hosts, generator)
        self.count += 1
        permit = f"{host.name}/{self.count}"
        patience_s = generator.choice([0.5, 2.0, 5.0])
        candidates = generator.choice(list(PARTITIONS))
        self.partitions[permit] = PARTITIONS[candidates]
        requested = events.PermitRequested(
            permit=permit,
            host=host.name,
            fleet="sledworks",
            service="tally-board",
            key="",
            partition=PARTITIONS[candidates],
            fingerprint=self.count.to_bytes(16, "big"),
            caller="c",
            priority=sycamoreloft_config.Priority.NORMAL,
            deadline=self.now + patience_s,
            candidates=candidates,
        )
        host.requested[permit] = (self.now, requested.deadline)
        host.to_issuer.append(requested)

    def report(self, generator):
        self.report_host(_random_histories.choose(self.hosts, generator))

    def report_host(self, host):
        # A host discards a permit that lapsed before it was used.
        usable = {
            permit: upstream
            for permit, upstream in host.held.items()
            if host.requested[permit][0] > self.now
        }
        used = [
            events.ReportedPermit(
                permit,
                upstream,
                "sledworks",
                "tally-board",
                self.partitions[permit],
                b"f" * 16,
                None,
                host.renewed_at[permit] + VALIDITY_S > self.now,
            )
            for permit, upstream in (usable | host.running).items()
        ]
        host.to_issuer.append((self.now, used))

    def deliver_to_issuer(self, generator):
        ready = [h for h in self.hosts if h.to_issuer and h.epoch == self.epoch]
        host = _random_histories.choose(ready, generator)
        if host is None:
            return
        message = host.to_issuer.popleft()
        if not isinstance(message, tuple):
            self.send(message)
            return
        sent_at, used = message
        self.send(events.PermitsReported(host.name, used))
        if self.now < self.opened_at + VALIDITY_S:
            for item in used:
                if item.unlapsed:
                    self.oracle.renew(item.permit, self.epoch)
        permits = [item.permit for item in used]
        host.to_host.append((self.epoch, (sent_at, permits)))

    def deliver_to_host(self, generator):
        host = _random_histories.choose(
            [h for h in self.hosts if h.to_host], generator
        )
        if host is None:
            return
        epoch, message = host.to_host.popleft()
        if isinstance(message, tuple):
            sent_at, permits = message
            if epoch == host.epoch:
                host.valid_from = max(host.valid_from, sent_at)
                host.renewed_at.update(dict.fromkeys(permits, sent_at))
            return
        permit = message.permit
        requested_at, deadline = host.requested.pop(permit, (-10.0, -10.0))
        valid_from = max(requested_at, host.valid_from)
        usable_until = min(valid_from + VALIDITY_S, deadline)
        if epoch != host.epoch or usable_until <= self.now:
            host.to_issuer.append(events.PermitReturned(permit, "did-not-run"))
            return
        self.issued += 1
        host.held[permit] = message.upstream
        host.renewed_at[permit] = valid_from
        host.requested[permit] = (usable_until, deadline)
        self.oracle.receive(permit, message.upstream, usable_until, epoch)

    def deliver_everything(self, generator):
        """Delivers all messages, so that histories make progress."""
        while any(h.to_issuer and h.epoch == self.epoch for h in self.hosts):
            self.deliver_to_issuer(generator)
        while any(h.to_host for h in self.hosts):
            self.deliver_to_host(generator)

    def start(self, generator):
        host = _random_histories.choose(
            [host for host in self.hosts if host.held], generator
        )
        permit = (
            _random_histories.choose(host.held, generator) if host else None
        )
        if permit is not None and host.requested[permit][0] > self.now:
            host.running[permit] = host.held.pop(permit)
            self.oracle.start(permit, self.now)

    def finish(self, generator):
        busy = [host for host in self.hosts if host.held or host.running]
        host = _random_histories.choose(busy, generator)
        if host is None:
            return
        permit = _random_histories.choose(host.running or host.held, generator)
        ran = host.running.pop(permit, None)
        host.held.pop(permit, None)
        self.oracle.end(permit)
        outcome = "completed" if ran else "did-not-run"
        host.to_issuer.append(events.PermitReturned(permit, outcome, 0.01))

    def advance(self, generator):
        self.now += generator.choice([0.02, 0.1, 0.3, 1.0])
        for host in self.hosts + self.lost_hosts:
            for permit in host.running:
                if host.requested[permit][1] <= self.now:
                    self.oracle.end(permit)

    def tick(self, generator):
        self.send(events.PermitTick())

    def restart_upstream(self, generator):
        name = _random_histories.choose(SLOTS, generator)
        self.oracle.crash(name)
        self.send(events.UpstreamLost(name, ended=True))
        self.send(events.UpstreamAvailable(name, SLOTS[name], cold=True))

    def take_over(self, generator):
        self.epoch = self.oracle.change_holder()
        self.create_issuer(fresh=not self.takeover_waits)

    def hold(self, generator):
        number = generator.choice([1, 2])
        self.send(events.PartitionPaused("sledworks", "tally-board", number))

    def release(self, generator):
        number = generator.choice([1, 2])
        self.send(events.PartitionResumed("sledworks", "tally-board", number))

    def find_holder(self, generator):
        late = [host for host in self.hosts if host.epoch != self.epoch]
        host = _random_histories.choose(late, generator)
        if host is not None:
            host.epoch = self.epoch
            host.to_issuer.clear()
            host.valid_from = -10.0
            self.report_host(host)

    def lose_host(self, generator):
        lost = _random_histories.choose(self.hosts, generator)
        for permit in lost.held:
            self.oracle.end(permit)
        self.count += 1
        number = self.hosts.index(lost)
        self.hosts[number] = Host(f"h{number}-{self.count}", self.epoch)
        # The upstream continues to run the requests until their deadlines.
        self.lost_hosts.append(lost)

    def check(self):
        self.oracle.check(self.now)


class TakeoverWithoutWaiting(PermitMachine):
    """Fault: a new holder issues permits for slots that may be in use."""

    takeover_waits = False


def test_no_upstream_ever_has_more_permits_than_slots():
    """Guards against exceeding the slots of an upstream.

    The histories contain takeovers, pauses, losses and late reports.
    """
    _random_histories.run_histories(PermitMachine, 150, 20)


def test_fuzzer_finds_a_takeover_without_waiting():
    """Guards against a fuzzer that does not detect early reuse of slots."""
    with pytest.raises(_request_oracle.OracleError):
        _random_histories.run_histories(
            TakeoverWithoutWaiting, 60, 20, shrink=False
        )


class LossMachine(_random_histories.Machine):
    """A caller repeats a request that crashes each upstream that runs it."""

    actions = {
        "ask_crasher": 3,
        "ask_innocent": 4,
        "progress": 10,
        "return_broken": 4,
        "notice": 2,
        "restart": 1,
        "advance": 3,
    }
    names = ("a", "b", "c", "d", "e")
    repeats_early = True
    freezes = True

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.count = 0
        self.completed = 0
        self.oracle = _request_oracle.LossOracle()
        self.issuer = _permits.PermitIssuer(random.Random(2), 0.0, fresh=True)
        self.open = {}
        self.broken = {}
        self.down = {}
        self.issued_at = {}
        self.waiting = {}
        for name in self.names:
            self.send(events.UpstreamAvailable(name, 2))

    def send(self, event):
        for command in self.issuer.handle(event, self.now):
            if isinstance(command, events.IssuePermit):
                fingerprint = self.waiting.pop(command.permit)
                self.open[command.permit] = (fingerprint, command.upstream)
                self.issued_at[command.permit] = self.now
            elif isinstance(command, events.RefusePermit):
                fingerprint = self.waiting.pop(command.permit)
                if command.reason is events.RefusalReason.QUARANTINED:
                    self.check_refusal(fingerprint)

    def check_refusal(self, fingerprint):
        """Accepts all refusals.

        If copies are in flight concurrently, it cannot be determined which
        request caused a loss.
        """

    def ask(self, fingerprint):
        self.count += 1
        permit = f"p{self.count}"
        self.waiting[permit] = fingerprint
        self.send(
            events.PermitRequested(
                permit=permit,
                host="h",
                fleet="sledworks",
                service="paddock-ledger",
                key="",
                partition=-1,
                fingerprint=fingerprint,
                caller="c",
                priority=sycamoreloft_config.Priority.NORMAL,
                deadline=self.now + 10.0,
                candidates=self.names,
            )
        )

    def ask_crasher(self, generator):
        known = [*self.open.values(), *self.broken.values()]
        busy = b"crash" in self.waiting.values() or any(
            item[0] == b"crash" for item in known
        )
        if self.repeats_early or not busy:
            self.ask(b"crash")

    def ask_innocent(self, generator):
        self.ask(b"%d" % self.count)

    def progress(self, generator):
        """Makes a request arrive at its upstream, and complete or crash it."""
        permit = _random_histories.choose(self.open, generator)
        if permit is None:
            return
        fingerprint, upstream = self.open[permit]
        lapsed = self.issued_at[permit] + VALIDITY_S <= self.now
        if lapsed or upstream in self.down:
            # The host does not send, or the upstream refuses the connection.
            del self.open[permit]
            self.send(
                events.PermitReturned(
                    permit, "did-not-run", connection_lost=not lapsed
                )
            )
        elif fingerprint == b"crash":
            self.oracle.record_loss(fingerprint)
            self.down[upstream] = self.now
            frozen = self.freezes and generator.random() < 0.3
            for name, item in list(self.open.items()):
                if item[1] == upstream:
                    del self.open[name]
                    self.broken[name] = (item[0], not frozen)
        else:
            del self.open[permit]
            self.completed += 1
            self.send(events.PermitReturned(permit, "completed", 0.01))

    def return_broken(self, generator):
        permit = _random_histories.choose(self.broken, generator)
        if permit is not None:
            fingerprint, lost = self.broken.pop(permit)
            self.send(
                events.PermitReturned(
                    permit, "unknown", 0.01, connection_lost=lost
                )
            )
            if fingerprint != b"crash" or generator.random() < 0.5:
                self.ask(fingerprint)

    def notice(self, generator):
        name = _random_histories.choose(self.down, generator)
        if name is not None:
            self.send(events.UpstreamLost(name, ended=False))

    def restart(self, generator):
        # A restart takes longer than the validity of a permit.
        name = _random_histories.choose(self.down, generator)
        if name and self.down[name] + VALIDITY_S < self.now:
            del self.down[name]
            self.send(events.UpstreamLost(name, ended=True))
            self.send(events.UpstreamAvailable(name, 2, cold=True))

    def advance(self, generator):
        self.now += generator.choice([0.05, 0.3])
        for name, at in self.down.items():
            # The holder detects a loss within the validity of a permit.
            if at + VALIDITY_S <= self.now:
                self.send(events.UpstreamLost(name, ended=False))
        self.send(events.PermitTick())


class BystanderMachine(LossMachine):
    """The caller repeats its request only after its connection broke.

    Harmless requests must not be refused then.
    """

    repeats_early = False
    freezes = False

    def check_refusal(self, fingerprint):
        self.oracle.refuse(fingerprint, fingerprint == b"crash")


class SecondLossCleared(LossMachine):
    """Fault: the quarantine clears the crashing request at random times."""

    actions = LossMachine.actions | {"forgive": 2}

    def forgive(self, generator):
        self.issuer._quarantine.record_completion(b"crash")


@pytest.mark.parametrize("machine", [LossMachine, BystanderMachine])
def test_at_most_two_upstreams_are_lost_to_one_request(machine):
    """Guards against a third loss, and against refusing harmless requests."""
    _random_histories.run_histories(machine, 150, 20)


def test_fuzzer_finds_a_quarantine_that_clears_guilty_requests():
    """Guards against a fuzzer that does not detect a third loss."""
    with pytest.raises(_request_oracle.OracleError):
        _random_histories.run_histories(
            SecondLossCleared, 100, 20, shrink=False
        )
