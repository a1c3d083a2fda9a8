"""Tests of the benchmarks' registry, targets and output."""

import importlib
import json

import pytest

from sycamoreloft_proof import (
    _bench_registry,
    _bench_soak,
    _history,
    _summary,
    bench,
    soak,
)


@pytest.mark.parametrize(
    ("value", "target", "comparison", "is_ok"),
    [
        (0.8, 0.7, ">=", True),
        (0.6, 0.7, ">=", False),
        (0.6, 0.7, "<=", True),
        (0.8, 0.7, "<=", False),
        (0.8, None, "<=", True),
        (None, None, "<=", False),
    ],
)
def test_measure_compares_with_its_target(value, target, comparison, is_ok):
    """Guards against a missed target that is reported as met."""
    measure = _bench_registry.Measure("m", value, "ms", target, comparison)
    assert json.loads(measure.encode()) == {
        "name": "m",
        "value": value,
        "unit": "ms",
        "target": target,
        "ok": is_ok,
    }


def test_failed_benchmark_is_reported_and_fails(monkeypatch, tmp_path, capsys):
    """Guards against a benchmark that raises but is not reported."""

    def fail():
        raise RuntimeError("no upstream")

    measure = _bench_registry.Measure("good", 1.0, "s", 2.0)
    benchmarks = {"bad": fail, "good": lambda: [measure]}
    monkeypatch.setattr(_bench_registry, "BENCHMARKS", benchmarks)
    monkeypatch.setattr(bench, "MODULES", ())
    monkeypatch.setattr(bench, "RESULTS", tmp_path / "bench" / "results.jsonl")
    assert bench.main([]) == 1
    lines = bench.RESULTS.read_text().splitlines()
    assert lines == capsys.readouterr().out.splitlines()
    assert [json.loads(line)["ok"] for line in lines] == [False, True]
    assert bench.main(["good"]) == 0
    assert bench.main(["unknown"]) == 2


def test_listed_modules_register_their_benchmarks():
    """Guards against a benchmark that no listed module registers any more."""
    for module in bench.MODULES:
        importlib.import_module(module)
    assert {
        "forward_throughput",
        "overload",
        "claims",
        "recovery",
        "control",
        "soak",
    } <= set(_bench_registry.BENCHMARKS)


def test_benchmark_of_decisions_has_each_measure_once():
    """Guards against a missing measure and against duplicate names."""
    importlib.import_module("sycamoreloft_proof._bench_decisions")
    names = [
        measure.name
        for benchmark in ("overload", "retries", "choice", "quarantine")
        for measure in _bench_registry.BENCHMARKS[benchmark]()
    ]
    assert len(set(names)) == len(names)
    assert {
        "goodput_at_3x_ratio",
        "retry_amplification",
        "p2c_p99_ratio",
        "crash_request_upstreams_lost",
        "bystanders_refused",
    } <= set(names)


def test_soak_that_breaks_an_invariant_misses_its_target(monkeypatch):
    """Guards against violations for which no measure misses its target."""
    summary = _summary.Summary(
        requests_sent=60_000,
        whole_answers=0,
        did_not_run=0,
        unknown=0,
        runs=0,
        partitions_moved=0,
        hot_keys_placed=0,
        violations={_history.Condition.SLOTS: 1},
        reasons={},
    )
    result = soak.SoakResult(summary, {}, (), 1.0, 0)
    monkeypatch.setattr(soak, "run_soak", lambda *_, **__: result)
    measures = {
        measure.name: measure.is_ok for measure in _bench_soak.bench_soak()
    }
    assert measures == {
        "wrong_answers": True,
        "repeated_runs": True,
        "false_did_not_run": True,
        "slots_exceeded": False,
        "soak_requests": True,
    }
