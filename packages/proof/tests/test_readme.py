"""Runs the commands that the README shows for a start by hand."""

import os
import pathlib
import re
import shutil
import subprocess
import sys

import pytest

from sycamoreloft_proof import _processes

ROOT = pathlib.Path(__file__).parents[3]

#: Ports in the README and in the examples.
PORTS = ("7400", "7401", "7402", "7500", "9001")

#: Tries until the router, which starts meanwhile, answers.
TRIES = 40


def read_commands():
    """Returns the commands of the section, without `make install`."""
    section = (ROOT / "README.md").read_text().split("## By hand")[1]
    block = section.split("```")[1]
    return [line for line in block.strip().splitlines() if "make" not in line]


@pytest.fixture
def workplace(tmp_path):
    """A folder with the examples, and a function that frees its ports."""
    numbers = map(str, _processes.find_free_ports(len(PORTS)))
    free = dict(zip(PORTS, numbers, strict=True))

    def replace(text):
        return re.sub(
            r"\b(" + "|".join(PORTS) + r")\b", lambda m: free[m[0]], text
        )

    (tmp_path / "examples").mkdir()
    for name in ("first.toml", "router.toml"):
        text = (ROOT / "examples" / name).read_text()
        (tmp_path / "examples" / name).write_text(replace(text))
    return tmp_path, replace


def run_foreground(command, folder, environment):
    """Runs a command until it succeeds; the processes may still start."""
    for _ in range(TRIES):
        done = subprocess.run(
            command,
            shell=True,
            cwd=folder,
            env=environment,
            capture_output=True,
            text=True,
            timeout=30,
        )
        # Without --fail, curl succeeds with any status of a router that is
        # still taking its groups.
        refused = "curl" in command and "200 OK" not in done.stdout
        if done.returncode == 0 and not refused:
            return done.stdout
    raise AssertionError(f"{command}: {done.stdout} {done.stderr}")


def test_the_commands_of_the_readme_work(workplace):
    """Guards against a first start that fails as the page describes it."""
    if shutil.which("curl") is None:
        pytest.fail("the README's last command needs curl; install it")
    folder, replace = workplace
    environment = dict(os.environ)
    outputs = []
    with _processes.ProcessGroup(folder) as group:
        for line in read_commands():
            command = replace(line).replace(
                ".venv/bin/", f"{pathlib.Path(sys.executable).parent}/"
            )
            if command.endswith("&"):
                words = command.rstrip("& ").split()
                words = [
                    str(folder / word) if word.startswith("examples/") else word
                    for word in words
                ]
                name = f"child-{len(outputs)}-{len(words)}"
                group.start(name, words, [])
            elif command.startswith("export "):
                pairs = command.removeprefix("export ").split()
                environment.update(pair.split("=", 1) for pair in pairs)
            else:
                outputs.append(run_foreground(command, folder, environment))
    assert "Sycamoreloft-Outcome: completed" in outputs[-1]
