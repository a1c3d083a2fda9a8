"""Runs every stateful fuzzer of the repository with new seeds.

Run by `make fuzz SECONDS=60 SEED=1`. The tests run the same state machines
with fixed seeds. This program runs the tests and records their machines, so a
new fuzzer needs no registration.
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

#: Small, because fuzzers run in turn every few seconds, and reproducing a
#: failure repeats its whole run.
HISTORIES_PER_RUN = 10

#: A test file that contains one of these names runs a state machine.
_MARKS = ("run_state_machine_as_test", "run_histories")

#: Tests of this program; running them from here would recurse endlessly.
_OWN_TESTS = "test_fuzz.py"

#: Part of the names of tests whose machines contain a planted fault and must
#: fail.
_PLANTED = "finds"

Machine = type[stateful.RuleBasedStateMachine]


@dataclasses.dataclass(frozen=True, slots=True)
class Fuzzer:
    """A state machine with the settings of its test."""

    #: Name as "test file.machine".
    name: str
    #: Class of the state machine.
    machine: Machine
    #: Hypothesis settings of its test; `run_fuzzer` overrides some.
    settings: hypothesis.settings


class _Recorder:
    """Pytest plugin that records state machines instead of running them."""

    def __init__(self) -> None:
        self.found: dict[str, Fuzzer] = {}
        self._file = ""

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Deselects the tests of planted faults."""
        items[:] = [item for item in items if _PLANTED not in item.name]

    def pytest_runtest_setup(self, item: pytest.Item) -> None:
        """Records the file of the test that runs next."""
        self._file = item.path.stem

    def record(self, machine: Machine, *, settings: typing.Any = None) -> None:
        """Replaces `run_state_machine_as_test` and records its machine."""
        name = f"{self._file}.{machine.__name__}"
        self.found[name] = Fuzzer(
            name, machine, settings or machine.TestCase.settings
        )


def find_files(root: pathlib.Path) -> abc.Sequence[pathlib.Path]:
    """Returns the test files that run state machines."""
    return [
        path
        for path in sorted(root.glob("packages/*/tests/test_*.py"))
        if path.name != _OWN_TESTS
        and any(mark in path.read_text() for mark in _MARKS)
    ]


def collect_fuzzers(
    files: abc.Sequence[pathlib.Path],
) -> abc.Sequence[Fuzzer]:
    """Returns the fuzzers of the test files, ordered by name.

    Raises:
        RuntimeError: Pytest could not collect the files.
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
    """Derives the seed of one numbered run of a fuzzer."""
    text = f"{seed}/{name}/{number}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:4])


def run_fuzzer(fuzzer: Fuzzer, run_seed: int) -> str:
    """Runs the histories of one seed.

    Returns:
        The traceback with the failing history, "" if no history failed.
    """
    # Hypothesis stores the seed in the class, so each run needs a new class.
    machine = type(fuzzer.machine.__name__, (fuzzer.machine,), {})
    settings = hypothesis.settings(
        fuzzer.settings,
        max_examples=HISTORIES_PER_RUN,
        derandomize=False,
        database=None,
        deadline=None,
        print_blob=False,
        # No shrinking: it can take minutes, and the printed command reproduces
        # the failure.
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
    """Returns the command that reproduces one run."""
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
        fuzzers: Fuzzers to run.
        seed: Seed from which the seeds of the runs are derived.
        has_time: Returns whether another run may start.
        run_seed: Seed of a single run to reproduce, None for new seeds.

    Returns:
        Exit code: 0 if no history failed, else 1.
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
        print(f"{name:45} {count:5} runs of {HISTORIES_PER_RUN} histories")
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
    """Restarts this program with hash randomization disabled.

    Sets have a fixed order then, so a seed reproduces a history exactly.
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
