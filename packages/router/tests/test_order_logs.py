"""Log lines about orders and changes of owner.

The lines of simulated hosts are compared with the grants that the simulated
upstreams received.
"""

import asyncio

import key_world
import pytest
import virtual_time

import sycamoreloft_direct
from sycamoreloft_router import _logs, _order_logs, _renewal_rounds

#: Seconds until all keys are held after the start.
SETTLE_S = 6.0

#: Seconds after which the line of a round of renewals has been written.
ROUND_S = 3.0

#: Events that are logged about orders, owners and coordinators.
EVENTS = (
    "grant-accepted",
    "grant-failed",
    "release-answered",
    "release-failed",
    "owner-changed",
    "keys-moved",
    "coordinator-began",
    "coordinator-ended",
    "epoch-followed",
)


@pytest.fixture
def run_in_world():
    """Runs a scenario in a simulation once all keys are held."""

    def run_scenario(scenario, **options):
        async def main():
            world = key_world.World(1, **options)
            await asyncio.sleep(SETTLE_S)
            await scenario(world)

        virtual_time.run(main())

    return run_scenario


def find_coordinator(world):
    return next(
        host
        for host in world.hosts.values()
        if host.coordinator_role.is_coordinator
    )


def list_granted(world):
    """Lists the upstreams and fencing tokens of all grants that arrived."""
    return {
        (upstream.name, fence)
        for upstream in world.all_runs
        for _, _, fence in upstream.granted
    }


def list_first_granted(world):
    """Lists the upstreams and the lowest token of each range they got."""
    fences = {}
    for upstream in world.all_runs:
        for first, last, fence in upstream.granted:
            fences.setdefault((upstream.name, first, last), fence)
    return {(name, fence) for (name, _, _), fence in fences.items()}


def list_renewed(lines):
    """Lists the upstreams and tokens of the renewals that lines name."""
    return {
        (name, line["fence"]) for line in lines for name in line["upstreams"]
    }


def make_keys_hot(world):
    async def request():
        while True:
            for host in world.hosts.values():
                for number in range(60):
                    host.coordinator_role.observe_request(
                        key_world.SERVICE, number * 9
                    )
            await asyncio.sleep(0.1)

    return world.loop.create_task(request())


# Guards against a log line for each renewal.
def test_renewals_leave_no_lines(run_in_world, recorder):
    async def scenario(world):
        recorder.lines.clear()
        await asyncio.sleep(20.0)
        assert not recorder.list(*EVENTS)

    run_in_world(scenario)


# Guards against lines of rounds that are as many as renewals, or that do not
# count each renewal once.
def test_renewals_leave_one_line_a_round(run_in_world, recorder):
    async def scenario(world):
        before = sum(len(upstream.granted) for upstream in world.all_runs)
        recorder.lines.clear()
        await asyncio.sleep(20.0)
        after = sum(len(upstream.granted) for upstream in world.all_runs)
        lines = recorder.list("leases-renewed")
        renew_s = sycamoreloft_direct.LeaseTimes().renew_s
        assert 0.8 * 20.0 / renew_s < len(lines) <= 20.0 / renew_s + 1
        assert len({line["fence"] for line in lines}) == len(lines)
        ranges = len(world.upstreams)
        for line in lines:
            assert line["renewals"] == line["accepted"] == ranges
            assert line["open"] == line["upstreams_left_out"] == 0
            assert line["upstreams"] == sorted(world.upstreams)
            assert renew_s <= line["began_ago_s"] < 1.1
            assert line["epoch"] == 1
        count = ranges * len(lines)
        assert after - before - ranges <= count <= after - before + ranges

    run_in_world(scenario)


# Guards against tokens of the last rounds that are missing in the logs, if the
# coordinator ends or no owner answers any more.
@pytest.mark.parametrize("ends", [True, False])
def test_the_last_round_leaves_a_line(run_in_world, recorder, ends):
    async def scenario(world):
        if ends:
            await find_coordinator(world).coordinator_role.stop()
        else:
            for host in world.hosts.values():
                host.unreachable = set(world.upstreams)
        granted = list_granted(world)
        await asyncio.sleep(ROUND_S)
        seen = list_renewed(recorder.list("leases-renewed")) | {
            (line["upstream"], line["fence"])
            for line in recorder.list("grant-accepted")
        }
        assert granted <= seen

    run_in_world(scenario)


# Guards against lists of upstreams that make lines long without a bound.
def test_the_line_of_a_round_lists_a_limited_number_of_upstreams(recorder):
    rounds = _renewal_rounds.RenewalRounds(1)
    count = _renewal_rounds.MAXIMUM_LISTED + 50
    for number in range(count):
        order = sycamoreloft_direct.SendGrant(
            number + 1,
            sycamoreloft_direct.UpstreamRun(f"u{number}", 1),
            key_world.SERVICE,
            number,
            number,
            7,
            3.0,
            "",
            is_renewal=True,
        )
        rounds.begin(order, 1.0)
        rounds.finish(order, is_accepted=True)
    rounds.close(2.0)
    (line,) = recorder.list("leases-renewed")
    assert line["accepted"] == line["renewals"] == count
    assert len(line["upstreams"]) == _renewal_rounds.MAXIMUM_LISTED
    assert line["upstreams_left_out"] == 50


# Guards against first grants and tokens in force that are missing in the logs.
def test_first_grants_name_token_run_and_times(run_in_world, recorder):
    async def scenario(world):
        granted = list_granted(world)
        await asyncio.sleep(ROUND_S)
        lines = recorder.list("grant-accepted")
        seen = {(line["upstream"], line["fence"]) for line in lines}
        assert seen == list_first_granted(world)
        assert len(lines) == len(seen)
        renewed = list_renewed(recorder.list("leases-renewed"))
        assert granted <= seen | renewed <= list_granted(world)
        for line in lines:
            upstream = world.upstreams[line["upstream"]]
            assert line["started_ms"] == upstream.started_ms
            assert line["address"] == f"{upstream.name}:1"
            assert line["hold_s"] == 3.0
            assert 0.0 <= line["wait_s"] < 0.3
            assert 0.0 < line["call_s"] < 0.7
            assert line["epoch"] == 1
            assert line["result"] == "accepted"
            assert line["store_age_s"] < 2.0
            assert not line["tenure_over"]
        assert len({line["order"] for line in lines}) == len(lines)

    run_in_world(scenario)


# Guards against logs that do not show why the keys of a lost owner were given
# to another one.
def test_keys_of_a_silent_owner_name_the_grant_that_was_waited_for(
    run_in_world, recorder
):
    async def scenario(world):
        lost = world.upstreams["u1"]
        fences = {
            line["fence"]
            for line in recorder.list("grant-accepted")
            if line["upstream"] == lost.name
        }
        for host in world.hosts.values():
            host.unreachable = {lost.name}
        await asyncio.sleep(3.0)
        failed = recorder.list("grant-failed")
        assert failed
        for line in failed:
            assert line["upstream"] == lost.name
            assert line["result"] == "unknown"
            assert line["call_s"] == pytest.approx(0.5, abs=0.01)
        assert find_coordinator(world).coordinator_role.count_unheld_keys() > 0
        await asyncio.sleep(2.5)
        changes = recorder.list("owner-changed")
        changes = [line for line in changes if line["cause"] != "unowned"]
        assert changes
        for line in changes:
            assert line["cause"] == "lease-over"
            assert line["level"] == "warning"
            assert line["old_upstream"] == lost.name != line["upstream"]
            assert (line["upstream"], line["fence"]) in list_granted(world)
            assert line["lease_over_s"] >= 0.0
            claim = line["claims"][0]
            assert claim["upstream"] == lost.name
            assert claim["state"] == "counted"
            assert claim["over_s"] == line["lease_over_s"]
            assert claim["closed_ago_s"] > claim["over_s"]
            tokens = {item["fence"] for item in line["claims"]}
            assert tokens & (fences | {item["fence"] for item in failed})
        count = find_coordinator(world).coordinator_role._metrics.read(
            "sycamoreloft_owner_changes_total", "lease-over"
        )
        assert count == len(changes)
        assert find_coordinator(world).coordinator_role.count_unheld_keys() == 0

    run_in_world(scenario)


# Guards against planned moves whose lines cannot be linked by fencing tokens.
def test_a_move_is_logged_with_its_tokens(run_in_world, recorder):
    async def scenario(world):
        load = make_keys_hot(world)
        await asyncio.sleep(6.0)
        load.cancel()
        moves = recorder.list("keys-moved")
        assert moves
        released = {
            (line["upstream"], line["fence"])
            for line in recorder.list("release-answered")
        }
        granted = {
            (line["upstream"], line["fence"])
            for line in recorder.list("grant-accepted")
        }
        for line in moves[:-5]:
            assert line["cause"] == "released"
            assert (line["old_upstream"], line["old_fence"]) in released
            assert line["refused_fence"] == line["old_fence"]
            assert (line["upstream"], line["fence"]) in granted
            states = {item["state"] for item in line["claims"]}
            assert states <= {"refused"}

    run_in_world(scenario)


# Guards against logs from which the successor's wait after a change of the
# coordinator cannot be recomputed.
def test_loss_of_a_coordinator_is_logged_with_times(run_in_world, recorder):
    async def scenario(world):
        lost = find_coordinator(world)
        (first,) = recorder.list("coordinator-began")
        assert first["before"] == ""
        assert first["before_expires_at"] is None
        recorder.lines.clear()
        lost.cut_from_store = True
        for host in world.hosts.values():
            host.unreachable = {"u1"}
        await asyncio.sleep(8.0)
        (began,) = recorder.list("coordinator-began")
        assert began["before"] == lost.name
        assert began["before_epoch"] == first["epoch"] == began["epoch"] - 1
        assert not began["before_resigned"]
        assert not began["before_own_address"]
        assert began["before_expires_at"] < began["store_clock_s"]
        blind_s = sycamoreloft_direct.LeaseTimes().blind_s
        assert began["earlier_until"] == pytest.approx(
            began["before_expires_at"] + blind_s, abs=0.002
        )
        assert began["earlier_s"] == pytest.approx(
            began["earlier_until"] - began["store_clock_s"], abs=0.002
        )
        (ended,) = recorder.list("coordinator-ended")
        assert ended["reason"] == "superseded"
        assert ended["epoch"] == first["epoch"]
        assert ended["lease_s"] < 0.0
        assert ended["orders"] >= 0
        assert 0.0 <= ended["last_arrival_s"] < 1.0
        followed = recorder.list("epoch-followed")
        assert len(followed) == len(world.hosts) - 1
        others = [line for line in followed if line["peer_before"]]
        assert others
        for line in others:
            assert line["peer_before"] == lost.name
            assert line["epoch_before"] == first["epoch"]
            assert line["epoch"] == began["epoch"]
            assert 0.0 < line["heard_ago_s"] < 8.0

    run_in_world(scenario)


# Guards against logs that do not show which orders were in flight when a
# coordinator resigned.
def test_a_resignation_is_logged_with_orders_in_flight(run_in_world, recorder):
    async def scenario(world):
        first = find_coordinator(world)
        # Calls take up to 0.84 s. A coordinator that stops waits for 0.5 s, and
        # cancels calls that take longer.
        world.slow_share = 1.0
        while not first.coordinator_role._tenure._latest_arrivals:
            await asyncio.sleep(0.01)
        await first.coordinator_role.stop()
        (resigned,) = recorder.list("coordinator-resigned")
        assert resigned["reason"] == "stopping"
        assert resigned["result"] == "written"
        recorder.lines.clear()
        await asyncio.sleep(resigned["last_arrival_s"])
        assert resigned["orders"] > 0
        assert not recorder.list("grant-accepted", "grant-failed")
        first.kill()
        world.end_faults()
        await asyncio.sleep(3.0)
        (began,) = recorder.list("coordinator-began")
        assert began["before"] == first.name
        assert began["before_resigned"]

    run_in_world(scenario)


# Guards against a loss of many owners that floods the log, and against
# building fields of lines that the rate limit suppresses.
def test_lines_of_many_changes_are_bounded(recorder):
    described = []

    def list_claims(change):
        described.append(change)
        run = sycamoreloft_direct.UpstreamRun("u0", 1)
        counted = sycamoreloft_direct.ClaimState.COUNTED
        return [
            sycamoreloft_direct.LeaseClaim(
                0, 9, fence, run, False, 1.0, 2.0, counted
            )
            for fence in range(50)
        ]

    for number in range(10_000):
        run = sycamoreloft_direct.UpstreamRun(f"u{number}", 1)
        change = sycamoreloft_direct.OwnerChange(
            key_world.SERVICE,
            number,
            number,
            run,
            run,
            sycamoreloft_direct.ChangeCause.LEASE_OVER,
            1,
            2,
            0,
            2.0,
        )
        _order_logs.log_owner_change(change, list_claims, 1, 5.0)
    lines = recorder.list("owner-changed")
    assert len(described) == len(lines)
    assert _logs.BURST_LINES <= len(lines) < _logs.BURST_LINES * 2
    assert lines[0]["claims_left_out"] == 50 - _order_logs.MAXIMUM_LOGGED_CLAIMS
    assert len(lines[0]["claims"]) == _order_logs.MAXIMUM_LOGGED_CLAIMS
    assert _logs.LIMITER.suppressed_total == 10_000 - len(lines)


# Guards against an infinite end of an open call, which JSON cannot represent.
def test_an_open_call_has_no_end(recorder):
    run = sycamoreloft_direct.UpstreamRun("u0", 1)
    change = sycamoreloft_direct.OwnerChange(
        key_world.SERVICE,
        0,
        9,
        run,
        sycamoreloft_direct.UpstreamRun("u0", 2),
        sycamoreloft_direct.ChangeCause.FOLLOWER,
        1,
        2,
        0,
        0.0,
    )
    claim = sycamoreloft_direct.LeaseClaim(
        0,
        9,
        1,
        run,
        False,
        None,
        float("inf"),
        sycamoreloft_direct.ClaimState.COUNTED,
    )
    _order_logs.log_owner_change(change, lambda _: [claim], 1, 5.0)
    (line,) = recorder.list("owner-changed")
    assert line["lease_over_s"] is None
    assert line["claims"][0]["closed_ago_s"] is None
    assert line["claims"][0]["over_s"] is None


# Guards against retried revocations that use up the rate limit of other orders.
def test_revocations_have_events_of_their_own(run_in_world, recorder):
    async def scenario(world):
        name = min(world.upstreams)
        for host in world.hosts.values():
            host.unreachable = {name}
        await asyncio.sleep(7.0)
        tries = recorder.list("revocation-failed")
        assert {line["upstream"] for line in tries} == {name}
        recorder.lines.clear()
        world.end_faults()
        await asyncio.sleep(2.0)
        (answered,) = recorder.list("revocation-answered")
        assert answered["upstream"] == name

    run_in_world(scenario)
