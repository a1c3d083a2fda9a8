"""Runs every stateful fuzzer of the repository with fresh seeds.

Run by `make fuzz SECONDS=60 SEED=1`. The tests run the same machines with
fixed seeds; this program finds the machines by recording what the tests run,
so a new fuzzer needs no entry here.
"""

import argparse
from collections import abc
import dataclasses
import hashlib
import os
import pathlib
import sys
import time
import traceback
import typing

import hypothesis
from hypothesis import stateful
import pytest

#: Histories of one run. All fuzzers take their turn every few seconds, and a
#: run is repeated as a whole.
HISTORIES = 10

#: Words by which a test file is known to run a state machine.
_MARKS = ("run_state_machine_as_test", "run_histories")

#: The tests of this program, which would run it again without end.
_OWN_TESTS = "test_fuzz.py"

#: Tests of planted faults, which have to fail, have this word in their names.
_PLANTED = "finds"

Machine = type[stateful.RuleBasedStateMachine]


@dataclasses.dataclass(frozen=True, slots=True)
class Fuzzer:
    """A state machine with the settings of its test."""

    #: Name of the test file and of the machine.
    name: str
    #: The machine.
    machine: Machine
    #: Settings that its test uses.
    settings: hypothesis.settings


class _Recorder:
    """Plugin that records machines instead of running them."""

    def __init__(self) -> None:
        self.found: dict[str, Fuzzer] = {}
        self._file = ""

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Leaves the tests of planted faults out."""
        items[:] = [item for item in items if _PLANTED not in item.name]

    def pytest_runtest_setup(self, item: pytest.Item) -> None:
        """Notes the file of the test that runs next."""
        self._file = item.path.stem

    def record(self, machine: Machine, *, settings: typing.Any = None) -> None:
        """Takes the place of `run_state_machine_as_test`."""
        name = f"{self._file}.{machine.__name__}"
        self.found[name] = Fuzzer(
            name, machine, settings or machine.TestCase.settings
        )


def find_files(root: pathlib.Path) -> abc.Sequence[pathlib.Path]:
    """Lists the test files that run state machines."""
    return [
        path
        for path in sorted(root.glob("packages/*/tests/test_*.py"))
        if path.name != _OWN_TESTS
        and any(mark in path.read_text() for mark in _MARKS)
    ]


def collect_fuzzers(
    files: abc.Sequence[pathlib.Path],
) -> abc.Sequence[Fuzzer]:
    """Returns the fuzzers of some test files, in a fixed order.

    Raises:
        RuntimeError: A file cannot be read as a test file.
    """
    if not files:
        return []
    recorder = _Recorder()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(stateful, "run_state_machine_as_test", recorder.record)
        code = pytest.main(
            [
                *map(str, files),
                "-qq",
                "--no-header",
                "--no-summary",
                "--import-mode=importlib",
                "-p",
                "no:cacheprovider",
            ],
            plugins=[recorder],
        )
    if code not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED):
        raise RuntimeError("pytest could not read the files; run `make test`")
    return [recorder.found[name] for name in sorted(recorder.found)]


def choose_seed(seed: int, name: str, number: int) -> int:
    """Returns the seed of the numbered run of a fuzzer."""
    text = f"{seed}/{name}/{number}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:4])


def run_fuzzer(fuzzer: Fuzzer, run_seed: int) -> str:
    """Runs histories of one seed.

    Returns:
        The violation with the history that shows it, empty if there is none.
    """
    # The seed is kept in the class, so each run gets its own.
    machine = type(fuzzer.machine.__name__, (fuzzer.machine,), {})
    settings = hypothesis.settings(
        fuzzer.settings,
        max_examples=HISTORIES,
        derandomize=False,
        database=None,
        deadline=None,
        print_blob=False,
        # Shrinking can take minutes, and the command repeats the failure.
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    try:
        stateful.run_state_machine_as_test(  # type: ignore[no-untyped-call]
            hypothesis.seed(run_seed)(machine), settings=settings
        )
    except Exception as error:
        return "".join(traceback.format_exception(error))
    return ""


def format_command(fuzzer: Fuzzer, run_seed: int) -> str:
    """Returns the command that repeats exactly one run."""
    return (
        "python -m sycamoreloft_proof.fuzz"
        f" --only {fuzzer.name} --run-seed {run_seed}"
    )


def run_turns(
    fuzzers: abc.Sequence[Fuzzer],
    seed: int,
    has_time: abc.Callable[[], bool],
    run_seed: int | None = None,
) -> int:
    """Runs fuzzers in turn, each at least once, and prints the result.

    Args:
        fuzzers: The fuzzers.
        seed: Seed from which those of the runs are derived.
        has_time: Tells whether another run may begin.
        run_seed: Seed of a single run to repeat, None for fresh ones.

    Returns:
        Exit code: 0 if no promise was broken, else 1.
    """
    counts = dict.fromkeys((fuzzer.name for fuzzer in fuzzers), 0)
    number = 0
    while number == 0 or (run_seed is None and has_time()):
        for fuzzer in fuzzers:
            if number and not has_time():
                break
            used = run_seed
            if used is None:
                used = choose_seed(seed, fuzzer.name, number)
            violation = run_fuzzer(fuzzer, used)
            counts[fuzzer.name] += 1
            if violation:
                print(violation)
                print(f"FAILED: {fuzzer.name}, run seed {used}")
                print(f"repeat with: {format_command(fuzzer, used)}")
                _print_counts(counts)
                return 1
        number += 1
    _print_counts(counts)
    return 0


def _print_counts(counts: abc.Mapping[str, int]) -> None:
    for name, count in counts.items():
        print(f"{name:45} {count:5} runs of {HISTORIES} histories")
    print(f"{sum(counts.values())} runs in all", flush=True)


def _parse_arguments(arguments: abc.Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="sycamoreloft_proof.fuzz", description=__doc__
    )
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", help="name of the fuzzer to run")
    parser.add_argument("--run-seed", type=int, help="seed of a run to repeat")
    chosen = parser.parse_args(arguments)
    if chosen.run_seed is not None and not chosen.only:
        parser.error("--run-seed repeats one fuzzer; name it with --only")
    return chosen


def main(arguments: abc.Sequence[str]) -> int:
    """Runs the fuzzers that the arguments name; returns the exit code."""
    chosen = _parse_arguments(arguments)
    fuzzers = collect_fuzzers(find_files(pathlib.Path.cwd()))
    names = [fuzzer.name for fuzzer in fuzzers]
    if chosen.only:
        fuzzers = [item for item in fuzzers if item.name == chosen.only]
    if not fuzzers:
        print(
            f"no such fuzzer; run at the root of the repository, known: {names}"
        )
        return 2
    print(f"seed {chosen.seed}: {', '.join(item.name for item in fuzzers)}")
    end = time.monotonic() + chosen.seconds
    return run_turns(
        fuzzers,
        chosen.seed,
        lambda: time.monotonic() < end,
        chosen.run_seed,
    )


def _fix_hashes() -> None:
    """Starts this program afresh with a fixed order of sets.

    Otherwise a seed would not repeat a history exactly.
    """
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.execve(
            sys.executable,
            [sys.executable, "-m", "sycamoreloft_proof.fuzz", *sys.argv[1:]],
            os.environ | {"PYTHONHASHSEED": "0"},
        )


if __name__ == "__main__":
    _fix_hashes()
    sys.exit(main(sys.argv[1:]))
