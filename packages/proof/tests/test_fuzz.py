"""Tests of the program that runs all fuzzers with fresh seeds."""

import pathlib

import pytest

from sycamoreloft_proof import fuzz

ROOT = pathlib.Path(__file__).parents[3]

FILE = """
import hypothesis
from hypothesis import stateful, strategies

SETTINGS = hypothesis.settings(derandomize=True, max_examples=1)


class Counter(stateful.RuleBasedStateMachine):
    @stateful.rule(number=strategies.integers(0, 10_000))
    def take(self, number):
        assert number < LIMIT, f"took {number}"


class Planted(Counter):
    pass


def test_counter():
    stateful.run_state_machine_as_test(Counter, settings=SETTINGS)


def test_fuzzer_finds_planted_fault():
    stateful.run_state_machine_as_test(Planted, settings=SETTINGS)
"""


@pytest.fixture
def write_fuzzer(tmp_path, monkeypatch):
    """Makes a repository with one fuzzer and returns to its root."""

    def write(limit):
        folder = tmp_path / "packages" / "x" / "tests"
        folder.mkdir(parents=True, exist_ok=True)
        text = f"LIMIT = {limit}\n{FILE}"
        (folder / f"test_counter_{limit}.py").write_text(text)
        monkeypatch.chdir(tmp_path)

    return write


def test_every_fuzzer_of_the_repository_is_found():
    """Guards against a fuzzer that runs with fixed seeds only."""
    files = {path.stem for path in fuzz.find_files(ROOT)}
    assert files >= {
        "test_acceptance",
        "test_ownership_fuzz",
        "test_permit_fuzz",
        "test_request_fuzz",
    }
    found = fuzz.collect_fuzzers(fuzz.find_files(ROOT))
    assert {item.name for item in found} >= {
        "test_acceptance.World",
        "test_ownership_fuzz.OwnershipMachine",
        "test_ownership_fuzz.SplitMachine",
        "test_permit_fuzz.BystanderMachine",
        "test_permit_fuzz.LossMachine",
        "test_permit_fuzz.PermitMachine",
        "test_request_fuzz.ClaimMachine",
    }
    names = "".join(item.name for item in found)
    assert "TakeoverWithoutWaiting" not in names


def test_runs_without_a_violation_succeed(write_fuzzer, capsys):
    """Guards against a run that tests nothing or reports a false failure."""
    write_fuzzer(10_001)
    assert fuzz.main(["--seconds", "0"]) == 0
    text = capsys.readouterr().out
    assert "test_counter_10001.Counter" in text
    assert "1 runs in all" in text
    assert "Planted" not in text


def test_a_violation_is_repeated_by_the_printed_command(write_fuzzer, capsys):
    """Guards against a failure that nobody can look into."""
    write_fuzzer(9_000)
    assert fuzz.main(["--seconds", "20", "--seed", "3"]) == 1
    first = capsys.readouterr().out
    assert "AssertionError: took " in first
    assert "state.take(number=" in first
    (command,) = [
        line.partition("sycamoreloft_proof.fuzz ")[2].split()
        for line in first.splitlines()
        if line.startswith("repeat with: ")
    ]
    assert fuzz.main(command) == 1
    second = capsys.readouterr().out
    shown = [
        [line for line in text.splitlines() if "took" in line or "take" in line]
        for text in (first, second)
    ]
    assert shown[0] == shown[1]


def test_other_seeds_make_other_runs():
    """Guards against runs that repeat the same histories for ever."""
    seeds = {
        fuzz.choose_seed(seed, name, number)
        for seed in (1, 2)
        for name in ("a", "b")
        for number in (0, 1)
    }
    assert len(seeds) == 8


@pytest.mark.parametrize("arguments", [["--run-seed", "1"], ["--seed", "x"]])
def test_wrong_arguments_are_refused(arguments):
    """Guards against a repetition of another failure than was meant."""
    with pytest.raises(SystemExit) as caught:
        fuzz.main(arguments)
    assert caught.value.code == 2


def test_an_unknown_fuzzer_is_named(write_fuzzer, capsys):
    """Guards against a misspelt name that passes as a success."""
    write_fuzzer(10_001)
    assert fuzz.main(["--only", "other"]) == 2
    assert "test_counter_10001.Counter" in capsys.readouterr().out
