"""Log lines and the metric of a coordinator after a restore of the store."""

import asyncio

import key_world
import pytest
import virtual_time

from sycamoreloft_router import _record_trust

#: Seconds until all keys are held after the start.
START_S = 6.0

#: Seconds within which an added upstream gets keys.
MOVE_S = 4.0

#: Seconds within which a new coordinator grants keys, whatever it knows.
CHECK_S = 30.0

METRIC = "sycamoreloft_keys_withheld_seconds"


@pytest.fixture
def run_restored(recorder):
    """Moves keys, restores the store to before that, and runs on.

    The scenario returns the lines of the metric of the coordinator at its end.
    """

    def run_scenario(prepare):
        async def main():
            world = key_world.World(1)
            await asyncio.sleep(START_S)
            world.start_upstream("n0")
            await asyncio.sleep(MOVE_S)
            recorder.lines.clear()
            world.store.restore(MOVE_S + 0.5)
            prepare(world)
            await asyncio.sleep(CHECK_S)
            return render_metric(world)

        return virtual_time.run(main())

    return run_scenario


def find_coordinator(world):
    (host,) = [
        host
        for host in world.hosts.values()
        if host.coordinator_role.is_coordinator and not host.task.done()
    ]
    return host


def keep_all(world):
    del world


def kill_coordinator(world):
    find_coordinator(world).kill()


def restart_all(world):
    for host in world.hosts.values():
        host.kill()
        host.start()


def render_metric(world):
    """Returns the lines of the metric of the coordinator."""
    metrics = find_coordinator(world).coordinator_role._metrics
    return [
        line
        for line in metrics.render().decode().splitlines()
        if line.startswith(METRIC)
    ]


# Guards against a restore that the lines of its coordinators do not show: the
# era, the versions that went back, and who vouched for which map.
@pytest.mark.parametrize(
    ("prepare", "vouched_by", "shortest_s", "longest_s"),
    [
        (keep_all, "own-tenure", 0.0, 0.0),
        (
            kill_coordinator,
            "heartbeats",
            _record_trust.COORDINATOR_PRECEDENCE_S,
            _record_trust.HEARD_PRECEDENCE_S,
        ),
    ],
)
def test_lines_name_the_era_the_lost_changes_and_the_witness(
    run_restored, recorder, prepare, vouched_by, shortest_s, longest_s
):
    run_restored(prepare)
    (began,) = recorder.list("coordinator-began")
    (outdated,) = recorder.list("key-map-outdated")
    assert began["era"] == outdated["era"] == 2
    assert began["epoch"] == outdated["epoch"]
    assert outdated["recorded"] < outdated["used"]
    assert outdated["trust"] == "vouched"
    assert outdated["vouched_by"] == vouched_by
    assert 0.0 <= outdated["heard_ago_s"] < START_S
    assert shortest_s <= outdated["found_ago_s"] <= longest_s + 0.1


# Guards against the end of a tenure whose line does not tell of the restore.
def test_the_end_of_the_earlier_tenure_names_its_era(run_restored, recorder):
    run_restored(keep_all)
    (ended,) = recorder.list("coordinator-ended")
    assert ended["reason"] == "store-restored"
    assert ended["era"] == 1


# Guards against a line that names a witness where there was none.
def test_lines_without_a_witness(run_restored, recorder):
    run_restored(restart_all)
    (outdated,) = recorder.list("key-map-outdated")
    assert outdated["trust"] == "unvouched"
    assert outdated["recorded"] == outdated["used"]
    assert outdated["vouched_by"] == ""
    assert outdated["heard_ago_s"] is None
    assert outdated["found_ago_s"] >= _record_trust.HEARD_PRECEDENCE_S
    (checked,) = recorder.list("key-map-checked")
    assert checked["trust"] == "unvouched"
    # The longest lease, its travel, and the wait at a full upstream.
    assert checked["waited_s"] == pytest.approx(5.5, abs=0.1)
    assert checked["unanswered"] == []


# Guards against a wait of all keys for an upstream that no line names.
def test_the_check_names_upstreams_that_do_not_answer(run_restored, recorder):
    def silence(world):
        world.upstreams["u1"].up = False
        kill_coordinator(world)

    run_restored(silence)
    (checked,) = recorder.list("key-map-checked")
    assert checked["trust"] == "vouched"
    assert checked["waited_s"] == pytest.approx(1.0, abs=0.1)
    assert checked["unanswered"] == ["u1"]
    assert checked["unanswered_left_out"] == 0


# Guards against a metric that differs from the line, or has samples without a
# restore.
def test_the_metric_counts_the_wait_of_each_check(run_restored, recorder):
    rendered = run_restored(kill_coordinator)
    (checked,) = recorder.list("key-map-checked")
    lines = dict(line.rsplit(" ", 1) for line in rendered)
    assert float(lines[f'{METRIC}_count{{trust="vouched"}}']) == 1
    assert float(lines[f'{METRIC}_sum{{trust="vouched"}}']) == pytest.approx(
        checked["waited_s"], abs=0.001
    )


# Guards against lines and samples of a restore where the store lost nothing.
def test_a_change_of_the_coordinator_alone_leaves_no_such_lines(recorder):
    async def main():
        world = key_world.World(1)
        await asyncio.sleep(START_S)
        kill_coordinator(world)
        await asyncio.sleep(CHECK_S)
        return render_metric(world)

    rendered = virtual_time.run(main())
    assert len(recorder.list("coordinator-began")) == 2
    assert not recorder.list("key-map-outdated", "key-map-checked")
    assert not rendered
