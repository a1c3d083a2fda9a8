"""Fuzzes the group holder of several hosts against an independent oracle."""

import dataclasses

import hypothesis
from hypothesis import stateful, strategies

import sycamoreloft_config
from sycamoreloft_proof import _ownership_world

HOSTS = ("h0", "h1", "h2", "h3")
UPSTREAMS = ("u0", "u1", "u2", "u3")
NODES = (*HOSTS, *UPSTREAMS, "store")
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


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Injects faults in any order while requests go on."""

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed):
        self.world = make_world(seed)
        self.number = 1
        self.world.run(1.5)

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 0.7, 1.1, 2.5]))
    def let_time_pass(self, seconds):
        for step in range(int(seconds / 0.05)):
            for host in HOSTS:
                self.world.send_request(host, "board", f"key-{step % 12}")
            self.world.run(0.05)

    @stateful.rule()
    def let_the_offline_limit_pass(self):
        self.world.run(8.0)

    @stateful.rule(name=strategies.sampled_from(UPSTREAMS))
    def restart_upstream(self, name):
        self.world.restart_upstream(name)

    @stateful.rule(name=strategies.sampled_from(UPSTREAMS))
    def crash_upstream(self, name):
        self.world.crash_upstream(name)

    @stateful.rule(
        name=strategies.sampled_from(UPSTREAMS),
        seconds=strategies.sampled_from([0.3, 1.3, 4.0]),
    )
    def freeze_upstream(self, name, seconds):
        self.world.freeze_upstream(name, seconds)

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

    @stateful.rule()
    def cut_holder_from_other_hosts(self):
        holder = self.world.find_holder()
        for name in HOSTS:
            if holder and name != holder:
                self.world.cuts.add(frozenset((holder, name)))

    @stateful.rule()
    def join_network(self):
        self.world.cuts.clear()

    @stateful.rule(
        share=strategies.sampled_from([0.0, 0.2, 0.5]),
        delay=strategies.sampled_from([0.002, 0.2, 1.0]),
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

    @stateful.rule(
        name=strategies.sampled_from(UPSTREAMS),
        is_leaving=strategies.booleans(),
    )
    def change_file(self, name, is_leaving):
        self.number += 1
        self.world.change_generation(
            make_generation(6.0, self.number, **{name: {"leaving": is_leaving}})
        )

    @stateful.rule()
    def make_key_hot(self):
        self.world.observe_keys("board", {"key-3": 400, "key-5": 100})

    @stateful.rule()
    def heal(self):
        self.world.heal()
        self.world.run(1.0)

    def teardown(self):
        if hasattr(self, "world"):
            self.world.run(1.0)
            self.world.oracle.check_survival(self.world.list_fences())


def run_fuzz(settings=SETTINGS):
    stateful.run_state_machine_as_test(OwnershipMachine, settings=settings)


def test_ownership_never_overlaps():
    """Guards against two upstreams that accept one partition at once."""
    run_fuzz()
