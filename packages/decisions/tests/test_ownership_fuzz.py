"""Fuzzes `GroupHolder` on several hosts against an independent oracle."""

import dataclasses

import hypothesis
from hypothesis import stateful, strategies
import pytest

import sycamoreloft_config
from sycamoreloft_decisions import (
    _authority,
    _grants,
    _holding,
    _move_steps,
    _timing,
)
from sycamoreloft_proof import (
    _ownership_fakes,
    _ownership_oracle,
    _ownership_world,
)

HOSTS = ("h0", "h1", "h2", "h3")
UPSTREAMS = ("u0", "u1", "u2", "u3")
NODES = (*HOSTS, *UPSTREAMS, "store")
# Repeated faults of the same upstream find more violations than faults that are
# spread evenly, so half of the choices select one upstream of each example.
NAMES = strategies.sampled_from(("focus",) * 4 + UPSTREAMS)
#: Maximum time in which a group recovers from any faults: the offline limit,
#: the expiry of grants, and the silence after which hosts take over a group.
RECOVERY_S = 11.0
SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
    database=None,
)


def make_generation(offline_limit_s, number=1, **changes):
    upstreams = {
        name: sycamoreloft_config.Upstream(
            name,
            "board",
            "d",
            "127.0.0.1:1",
            4,
            checks_fences=name != "u3",
        )
        for name in UPSTREAMS
    }
    for name, fields in changes.items():
        upstreams[name] = dataclasses.replace(upstreams[name], **fields)
    fleet = sycamoreloft_config.Fleet(
        "f",
        sycamoreloft_config.Weights(),
        offline_limit_s,
        600.0,
        {"d": sycamoreloft_config.FailureDomain("d")},
        {"board": sycamoreloft_config.Service("board", True, 8)},
        upstreams,
    )
    return sycamoreloft_config.Generation(number, {"f": fleet})


def make_world(seed, offline_limit_s=6.0):
    return _ownership_world.OwnershipWorld(
        make_generation(offline_limit_s),
        sycamoreloft_config.GroupName("f", "d", 0),
        HOSTS,
        seed,
    )


class SplitMachine(stateful.RuleBasedStateMachine):
    """Splits the group while units move and links are slow."""

    #: Whether an example ends with a check that service returns.
    checks_recovery = True

    @stateful.initialize(
        seed=strategies.integers(0, 2**16),
        focus=strategies.sampled_from(UPSTREAMS),
    )
    def begin(self, seed, focus):
        self.world = make_world(seed)
        self.focus = focus
        self.number = 1
        self.world.run(1.5)

    def choose(self, name):
        return self.focus if name == "focus" else name

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 0.7, 1.1, 2.5]))
    def let_time_pass(self, seconds):
        self.let_time_pass_with_requests(seconds)

    def let_time_pass_with_requests(self, seconds):
        for step in range(int(seconds / 0.05)):
            for host in HOSTS:
                self.world.send_request(host, "board", f"key-{step % 12}")
            self.world.run(0.05)

    @stateful.rule(
        names=strategies.sampled_from(
            [(), (), ("focus",), ("focus",), ("u0", "u3")]
        ),
        with_standby=strategies.booleans(),
        seconds=strategies.sampled_from([0.5, 1.9, 3.5]),
    )
    def cut_off_holder(self, names, with_standby, seconds):
        self.world.cut_off_holder(set(map(self.choose, names)), with_standby)
        self.world.run(seconds)

    @stateful.rule()
    def cut_off_holder_with_slow_answers(self):
        """Delays promises to the holder, then disconnects it."""
        self.world.heal()
        self.world.run(1.0)
        link = (self.world.find_standby(), self.world.find_holder())
        self.world.link_delays[link] = 0.58
        self.world.run(0.6)
        self.world.cut_off_holder({self.focus}, with_standby=False)
        self.world.run(2.5)

    @stateful.rule(is_restarted=strategies.booleans())
    def split_and_leave(self, is_restarted):
        """Moves units while the replaced holder continues to act."""
        self.world.heal()
        self.set_leaving(self.focus, False)
        self.world.run(1.0)
        self.world.cut_off_holder(set(), with_standby=True)
        self.world.run(3.2)
        self.set_leaving(self.focus, True)
        if is_restarted:
            self.world.restart_upstream(self.focus)
        self.world.run(0.5)

    @stateful.rule(
        delay=strategies.sampled_from([0.2, 0.45]),
        is_answer=strategies.booleans(),
    )
    def slow_promises(self, delay, is_answer):
        """Delays either the requests for promises or the answers."""
        link = (self.world.find_holder(), self.world.find_standby())
        self.world.link_delays[link[::-1] if is_answer else link] = delay
        self.world.run(0.6)

    @stateful.rule(
        name=NAMES,
        delay=strategies.sampled_from([0.2, 1.0]),
    )
    def slow_grants(self, name, delay):
        for host in HOSTS:
            self.world.link_delays[host, self.choose(name)] = delay
        self.world.run(0.4)

    @stateful.rule(name=NAMES)
    def restart_upstream(self, name):
        self.world.restart_upstream(self.choose(name))

    @stateful.rule(
        name=NAMES,
        is_leaving=strategies.booleans(),
    )
    def change_file(self, name, is_leaving):
        self.set_leaving(self.choose(name), is_leaving)

    def set_leaving(self, name, is_leaving):
        """Changes the generation on every host that can reach the store."""
        self.number += 1
        changes = {name: {"leaving": is_leaving}}
        self.world.change_generation(
            make_generation(6.0, self.number, **changes)
        )
        self.world.run(0.5)

    @stateful.rule()
    def join_network(self):
        self.world.cuts.clear()
        self.world.link_delays.clear()

    def teardown(self):
        """Checks that acknowledged owners survive and service returns."""
        if not hasattr(self, "world"):
            return
        self.world.run(1.0)
        self.world.oracle.check_survival(self.world.list_fences())
        if not self.checks_recovery:
            return
        self.world.recover()
        self.set_leaving(self.focus, False)
        self.world.run(RECOVERY_S)
        assert not self.world.list_unserved()


class OwnershipMachine(SplitMachine):
    """Injects all faults in any order."""

    @stateful.rule()
    def let_the_offline_limit_pass(self):
        self.world.run(8.0)

    @stateful.rule(name=NAMES)
    def crash_upstream(self, name):
        self.world.crash_upstream(self.choose(name))

    @stateful.rule(
        name=NAMES,
        seconds=strategies.sampled_from([0.3, 1.3, 4.0]),
    )
    def freeze_upstream(self, name, seconds):
        self.world.freeze_upstream(self.choose(name), seconds)

    @stateful.rule(seconds=strategies.sampled_from([0.2, 0.7, 1.5, 4.0]))
    def pause_holder(self, seconds):
        if self.world.find_holder():
            self.world.pause_host(self.world.find_holder(), seconds)

    @stateful.rule(
        name=strategies.sampled_from(HOSTS),
        seconds=strategies.sampled_from([0.2, 0.7, 2.5]),
    )
    def pause_host(self, name, seconds):
        self.world.pause_host(name, seconds)

    @stateful.rule()
    def kill_holder(self):
        if self.world.find_holder():
            self.world.kill_host(self.world.find_holder())

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def restart_host(self, name):
        self.world.restart_host(name)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def stop_host(self, name):
        self.world.stop_host(name)

    @stateful.rule(
        left=strategies.sampled_from(HOSTS),
        right=strategies.sampled_from(NODES),
    )
    def cut_link(self, left, right):
        if left != right:
            self.world.cuts.add(frozenset((left, right)))

    @stateful.rule(names=strategies.sets(strategies.sampled_from(NODES)))
    def cut_network(self, names):
        for left in names:
            for right in set(NODES) - names:
                self.world.cuts.add(frozenset((left, right)))

    @stateful.rule(
        share=strategies.sampled_from([0.0, 0.2, 0.5]),
        delay=strategies.sampled_from([0.002, 0.2, 0.4, 1.0]),
        send_delay=strategies.sampled_from([0.001, 0.1, 1.0]),
    )
    def disturb_network(self, share, delay, send_delay):
        self.world.drop_share = share
        self.world.maximum_delay_s = delay
        self.world.send_delay_s = send_delay

    @stateful.rule(
        is_down=strategies.booleans(),
        delay=strategies.sampled_from([0.005, 0.3, 1.5]),
        share=strategies.sampled_from([0.0, 0.5, 1.0]),
    )
    def disturb_store(self, is_down, delay, share):
        self.world.store.is_down = is_down
        self.world.store.maximum_delay_s = delay
        self.world.store.lost_answer_share = share

    @stateful.rule(is_hot=strategies.booleans())
    def change_load(self, is_hot):
        """Makes keys of one upstream hot, so that they are split off."""
        usual = 20 if is_hot else 400
        counts = {f"other-{index}": usual for index in range(40)}
        if is_hot:
            keys = [f"key-{index}" for index in range(12)]
            owned = [
                key
                for key in keys
                if self.world.find_owner("board", key) == self.focus
            ]
            counts |= dict.fromkeys(owned[:3], 250)
        for _ in range(4):
            self.world.observe_keys("board", counts)
            self.let_time_pass_with_requests(0.5)

    @stateful.rule()
    def heal(self):
        self.world.heal()
        self.world.run(1.0)


def run_fuzz(machine, examples, steps):
    settings = hypothesis.settings(
        SETTINGS, max_examples=examples, stateful_step_count=steps
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


def test_ownership_never_overlaps():
    """Guards against two upstreams that accept one partition at once."""
    run_fuzz(OwnershipMachine, 20, 25)


def test_ownership_never_overlaps_when_the_group_is_split():
    """Guards against two holders whose grants are both accepted."""
    run_fuzz(SplitMachine, 25, 10)


def choose_rules(machine, *names):
    """Restricts a machine to some rules, so that few examples reach a fault."""
    every = [
        name
        for name in dir(machine)
        if getattr(getattr(machine, name), "hypothesis_stateful_rule", None)
    ]
    changes = dict.fromkeys(set(every) - set(names))
    changes["checks_recovery"] = False
    return type("ChosenMachine", (machine,), changes)


def find_violation(machine, seed):
    """Runs the fuzz without shrinking and returns the violation it finds."""
    settings = hypothesis.settings(
        SETTINGS,
        max_examples=150,
        stateful_step_count=3,
        derandomize=False,
        phases=(hypothesis.Phase.generate,),
    )
    seeded = hypothesis.seed(seed)(machine)
    with pytest.raises(_ownership_oracle.OwnershipViolation) as caught:
        stateful.run_state_machine_as_test(seeded, settings=settings)
    return str(caught.value)


def test_fuzz_finds_a_skipped_fence_check(monkeypatch):
    """Guards against a fuzz that misses upstreams without fence checks."""
    accept = _ownership_fakes.FakeUpstream._accept

    def accept_any_epoch(self, call, clock):
        self.checks_fences = False
        return accept(self, call, clock)

    monkeypatch.setattr(
        _ownership_fakes.FakeUpstream, "_accept", accept_any_epoch
    )
    machine = choose_rules(SplitMachine, "split_and_leave")
    assert "accepts" in find_violation(machine, 0)


def test_fuzz_finds_grants_without_a_clock_reading(monkeypatch):
    """Guards against a fuzz that misses grants counted from their arrival."""
    monkeypatch.setattr(
        _ownership_fakes.FakeUpstream, "counts_from_arrival", True
    )
    machine = choose_rules(
        SplitMachine, "cut_off_holder", "slow_grants", "change_file"
    )
    assert "accepts" in find_violation(machine, 1)


def test_fuzz_finds_a_shortened_wait(monkeypatch):
    """Guards against a fuzz that misses a wait shorter than a grant."""
    monkeypatch.setattr(_timing, "GRANT_CERTAIN_END_S", 0.5)
    machine = choose_rules(SplitMachine, "cut_off_holder_with_slow_answers")
    assert "accepts" in find_violation(machine, 2)


def test_fuzz_finds_a_grant_before_the_record(monkeypatch):
    """Guards against a fuzz that misses grants without a committed record."""
    start_write = _holding.Holding._start_write

    def start_and_apply(self, now):
        commands = start_write(self, now)
        if commands and self._batch.moves:
            _move_steps.apply_batch(self._state, self._batch)
        return commands

    monkeypatch.setattr(_holding.Holding, "_start_write", start_and_apply)
    machine = choose_rules(SplitMachine, "let_time_pass", "change_file")
    assert "never recorded" in find_violation(machine, 0)


def test_fuzz_finds_a_promise_counted_from_the_answer(monkeypatch):
    """Guards against a fuzz that misses promises counted for too long."""
    record_promise = _authority.Authority.record_promise

    def record_late_promise(self, event, now):
        peer = self._peers.get(event.host)
        if peer and event.call in peer.requests:
            peer.requests[event.call] = now
        record_promise(self, event, now)

    monkeypatch.setattr(
        _authority.Authority, "record_promise", record_late_promise
    )
    machine = choose_rules(SplitMachine, "cut_off_holder_with_slow_answers")
    assert "accepts" in find_violation(machine, 0)


def test_fuzz_finds_a_missing_confirmation(monkeypatch):
    """Guards against a fuzz that misses grants to an unconfirmed incarnation.

    A restarted upstream has forgotten the highest epoch, so it accepts grants
    of a holder that was replaced.
    """
    reset = _grants.UpstreamGrants._reset_for_incarnation

    def reset_and_confirm(self, incarnation):
        reset(self, incarnation)
        self._is_confirmed = True

    monkeypatch.setattr(
        _grants.UpstreamGrants, "_reset_for_incarnation", reset_and_confirm
    )
    machine = choose_rules(SplitMachine, "split_and_leave")
    assert "accepts" in find_violation(machine, 0)


def test_fuzz_finds_trust_in_an_upstream_without_fences(monkeypatch):
    """Guards against a fuzz that misses moves without waiting for the grant.

    An upstream that checks no fences may still run requests for a unit that it
    has acknowledged as removed.
    """
    create = _grants.UpstreamGrants.__init__

    def create_trusting(self, upstream, checks_fences, *rest):
        create(self, upstream, True, *rest)

    monkeypatch.setattr(_grants.UpstreamGrants, "__init__", create_trusting)
    machine = choose_rules(SplitMachine, "split_and_leave")
    assert "accepts" in find_violation(machine, 0)
