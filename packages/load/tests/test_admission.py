"""Admission under the loads that its tests name."""

import dataclasses

import admission_world
import pytest

from sycamoreloft_load import _admission, _waiting_line


def run(load, **changes):
    return admission_world.World(1).run(load, seconds=8.0, **changes)


# Overload at 1.5, 3 and 10 times the capacity: guards against goodput that
# falls, urgent requests behind others, and long waits before a refusal.
@pytest.mark.parametrize("load", [1.5, 3.0, 10.0])
def test_overload_keeps_goodput_and_serves_urgent_requests_best(load):
    full, overloaded = run(1.0), run(load)
    assert overloaded.useful_s >= 0.95 * full.useful_s
    served = [overloaded.get_served(kind) for kind in ("orders", "reads")]
    assert served[0] >= served[1]
    # A decision is made within 5 ms of the end of the hold.
    assert overloaded.longest_hold < 0.125 + 0.005 / 0.41


# Overload at 3 times the capacity: guards against a kind that starves.
def test_a_quarter_of_each_kind_is_sent():
    counts = run(3.0).counts
    for kind in admission_world.KINDS:
        assert counts[kind]["sent"] >= 0.25 * counts[kind]["new"]


# A burst of history reads: guards against urgent requests that wait behind it.
def test_a_burst_of_one_kind_spares_the_urgent_one():
    world = admission_world.World(2)
    for _ in range(150):
        world.at(3.0, world.arrive, "reads")
    world.run(0.5, seconds=8.0)
    assert world.get_served("orders") > 0.9


# A hot key: guards against a queue for one upstream that delays the others.
def test_a_hot_key_costs_only_its_own_upstream():
    world = admission_world.World(3)
    draw = world.choose_upstream
    world.choose_upstream = lambda: (
        0 if world.generator.random() < 0.3 else draw()
    )
    world.run(0.8, seconds=8.0)
    assert world.useful_s > 0.75 * run(0.8).useful_s
    for kind in admission_world.KINDS:
        others = [
            world.counts[kind, number]
            for number in range(1, len(world.upstreams))
        ]
        new = sum(counts["new"] for counts in others)
        assert sum(counts["good"] for counts in others) > 0.85 * new
    assert world.get_served("orders") >= world.get_served("reads")


# A storm of repeats: guards against callers that gain by returning early.
def test_a_storm_of_repeats_keeps_goodput():
    world = admission_world.World(4)
    world.patience = 0.1
    world.run(3.0, seconds=6.0)
    polite = admission_world.World(4).run(3.0, seconds=6.0)
    assert world.useful_s >= 0.95 * polite.useful_s


# A lost failure domain: guards against refusals that go on after its return.
def test_a_failure_domain_that_returns_is_used_again():
    world = admission_world.World(5)

    def lose(is_lost):
        for upstream in world.upstreams[:2]:
            upstream.is_lost = is_lost

    def forget():
        world.counts.clear()

    world.at(2.0, lose, True)
    world.at(4.0, lose, False)
    world.at(6.0, forget)
    world.run(0.6, seconds=10.0)
    assert world.get_served("orders") > 0.9


def build_demand(kind="reads", arrived_at=0.0, **changes):
    demand = _admission.Demand(
        "s",
        admission_world.KINDS[kind],
        arrived_at,
        arrived_at + admission_world.DEADLINE_S[kind],
        arrived_at + 0.125 * admission_world.KINDS[kind].latency_target_s,
        kind == "reads",
    )
    return dataclasses.replace(demand, **changes)


# Guards against a change of behavior where upstreams report no load.
def test_without_knowledge_every_request_is_sent():
    admission = _admission.Admission()
    admission.set_kinds({"s": admission_world.KINDS.values()})
    candidate = _admission.Candidate(None, 4, 1.0)
    assert admission.decide(build_demand(), candidate, 3.9) == _admission.SEND


# Guards against a request that is sent into an upstream known to be full though
# it must not run twice, and against a long hold of the others.
def test_a_full_upstream():
    admission = _admission.Admission()
    candidate = _admission.Candidate(None, 4, 0.4, False, 0.05)
    order, read = build_demand("orders"), build_demand()
    refuse, wait = _admission.Verdict.REFUSE, _admission.Verdict.WAIT
    assert admission.decide(order, candidate, 0.0).verdict is refuse
    decision = admission.decide(read, candidate, 0.0)
    assert (decision.verdict, decision.check_at) == (wait, 0.05)
    assert admission.decide(read, candidate, 0.32).verdict is refuse


def test_a_request_that_would_miss_its_deadline_is_refused_at_once():
    admission = _admission.Admission()
    candidate = _admission.Candidate(60.0, 4, 0.4)
    decision = admission.decide(build_demand(), candidate, 0.0)
    assert decision.reason == "past-deadline"


# Guards against a less urgent request that takes the place of another, and
# against callers that gain a place by returning at once.
def test_the_line_is_ordered_and_bounded():
    line = _waiting_line.WaitingLine(_admission.Admission(), maximum=3)
    demands = [
        build_demand(is_repeat=True),
        build_demand(),
        build_demand("orders", 0.1),
        build_demand(arrived_at=1.0),
    ]
    tickets = [_waiting_line.Ticket(item, ("u", 1)) for item in demands]
    assert [line.add(ticket, 0.0) for ticket in tickets] == [
        *[None] * 3,
        tickets[0],
    ]
    ordered = line.list_waiting(("u", 1), 0.0)
    assert ordered == [tickets[2], tickets[1], tickets[3]]
    assert line.is_overtaken(build_demand(arrived_at=2.0), ("u", 1), 0.0)
    assert not line.is_overtaken(build_demand("orders"), ("u", 1), 0.0)
    for ticket in tickets:
        line.remove(ticket)
    assert len(line) == 0 and not line.count("s")


def test_a_share_is_counted_over_five_seconds():
    shares = _admission.KindShares()
    for _ in range(8):
        shares.record_arrival("s", "reads", 1.0)
    shares.record_sent("s", "reads", 1.0)
    assert shares.needs_more("s", "reads", 2.0)
    shares.record_sent("s", "reads", 2.0)
    assert not shares.needs_more("s", "reads", 2.0)
    assert not shares.needs_more("s", "reads", 20.0)
