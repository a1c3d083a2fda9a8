"""The benchmark's registry and output."""

import json

import pytest

from sycamoreloft_proof import _bench_registry, bench


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
    """Guards against a missed target that looks met."""
    measure = _bench_registry.Measure("m", value, "ms", target, comparison)
    assert json.loads(measure.encode()) == {
        "name": "m",
        "value": value,
        "unit": "ms",
        "target": target,
        "ok": is_ok,
    }


def test_failed_benchmark_is_reported_and_fails(monkeypatch, tmp_path, capsys):
    """Guards against a benchmark that raises and is left out."""

    def fail():
        raise RuntimeError("no upstream")

    measure = _bench_registry.Measure("good", 1.0, "s", 2.0)
    known = {"bad": fail, "good": lambda: [measure]}
    monkeypatch.setattr(_bench_registry, "BENCHMARKS", known)
    monkeypatch.setattr(bench, "MODULES", ())
    monkeypatch.setattr(bench, "RESULTS", tmp_path / "bench" / "results.jsonl")
    assert bench.main([]) == 1
    lines = bench.RESULTS.read_text().splitlines()
    assert lines == capsys.readouterr().out.splitlines()
    assert [json.loads(line)["ok"] for line in lines] == [False, True]
    assert bench.main(["good"]) == 0
    assert bench.main(["unknown"]) == 2
