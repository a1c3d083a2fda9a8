"""Tests of the processes of a driver."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from sycamoreloft_proof import _processes

SLEEP = [sys.executable, "-c", "import time; time.sleep(600)"]
#: Starts a child, prints its id and sleeps.
DRIVER = """
import pathlib, sys, time
from sycamoreloft_proof import _processes
with _processes.ProcessGroup(pathlib.Path(sys.argv[1])) as group:
    print(group.start("child", sys.argv[2:]).process.pid, flush=True)
    time.sleep(600)
"""


def read_process_state(pid):
    """Returns the state letter of a process, "" if it is gone."""
    try:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except FileNotFoundError:
        return ""
    return text.rpartition(")")[2].split()[0]


def wait_for(condition):
    """Waits for a condition for at most ten seconds."""
    for _ in range(1000):
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError("the condition did not come true")


@pytest.fixture
def group(tmp_path):
    """Returns a process group that is ended after the test."""
    with _processes.ProcessGroup(tmp_path) as processes:
        yield processes


@pytest.mark.parametrize("stopped", [False, True])
def test_children_end_with_a_killed_driver(tmp_path, stopped):
    """Guards against processes, also frozen ones, that outlive the driver."""
    driver = subprocess.Popen(
        [sys.executable, "-c", DRIVER, str(tmp_path), *SLEEP],
        stdout=subprocess.PIPE,
    )
    child = int(driver.stdout.readline())
    assert read_process_state(child) in "SRD"
    if stopped:
        os.kill(child, signal.SIGSTOP)
        wait_for(lambda: read_process_state(child) == "T")
    driver.kill()
    driver.wait()
    wait_for(lambda: read_process_state(child) in ("", "Z"))


def test_group_ends_its_children(tmp_path):
    """Guards against children that stay when a driver fails."""
    with (
        pytest.raises(ValueError, match="driver"),
        _processes.ProcessGroup(tmp_path) as processes,
    ):
        child = processes.start("child", SLEEP)
        child.freeze()
        raise ValueError("driver")
    assert child.process.returncode == -signal.SIGKILL


def test_freeze_and_resume(group):
    """Guards against a freeze that the process does not notice."""
    child = group.start("child", SLEEP)
    child.freeze()
    wait_for(lambda: read_process_state(child.process.pid) == "T")
    child.resume()
    wait_for(lambda: read_process_state(child.process.pid) in "SR")
    child.terminate()
    assert asyncio.run(child.wait_ended(10)) == -signal.SIGTERM
    # Signals to a process that has ended reach nobody.
    child.kill()


def test_failed_start_shows_what_the_child_printed(group):
    """Guards against a driver that waits for a process which has ended."""
    ports = _processes.find_free_ports(1)
    child = group.start(
        "child", [sys.executable, "-c", "raise SystemExit('no slot')"], ports
    )
    with pytest.raises(_processes.ProcessError, match="no slot"):
        asyncio.run(child.wait_listening(10))


def test_listening_child_is_ready(group):
    """Guards against requests that come before the port is open."""
    ports = _processes.find_free_ports(2)
    assert len(set(ports)) == 2
    code = (
        "import socket, time; "
        f"held = [socket.create_server(('127.0.0.1', p)) for p in {ports}]; "
        "time.sleep(600)"
    )
    child = group.start("child", [sys.executable, "-c", code], ports)
    asyncio.run(child.wait_listening(10))
    assert child.running
