"""Runs the benchmarks: `python -m sycamoreloft_proof.bench [NAME ...]`.

Prints each measure as one line of JSON and writes the same lines to
bench/results.jsonl. The exit code is 1 if a benchmark fails or a measure misses
its target. A module adds benchmarks with `_bench_registry.register` and must be
listed in `MODULES`.
"""

from collections import abc
import importlib
import pathlib
import sys
import traceback

from sycamoreloft_proof import _bench_registry

#: Modules that register benchmarks when they are imported.
MODULES = (
    "sycamoreloft_proof._bench_forward",
    "sycamoreloft_proof._bench_decisions",
    "sycamoreloft_proof._bench_claims",
    "sycamoreloft_proof._bench_recovery",
    "sycamoreloft_proof._bench_control",
    "sycamoreloft_proof._bench_soak",
)

#: Results file, relative to the working directory. Each run replaces it.
RESULTS = pathlib.Path("bench/results.jsonl")


def run_benchmark(name: str) -> abc.Sequence[_bench_registry.Measure]:
    """Runs one benchmark.

    Returns:
        The measures, or one measure without a value if the benchmark raised.
    """
    try:
        return _bench_registry.BENCHMARKS[name]()
    except Exception:
        traceback.print_exc()
        return [_bench_registry.Measure(name, None, "")]


def main(names: abc.Sequence[str]) -> int:
    """Runs benchmarks, prints their measures and writes the results file.

    Args:
        names: Names of the benchmarks to run; empty for all.

    Returns:
        The exit code: 0 if all measures are ok, 1 if not, 2 for an unknown
        name.
    """
    for module in MODULES:
        importlib.import_module(module)
    unknown = sorted(set(names) - set(_bench_registry.BENCHMARKS))
    if unknown:
        known = ", ".join(_bench_registry.BENCHMARKS)
        print(
            f"unknown benchmark {', '.join(unknown)}; choose from {known}",
            file=sys.stderr,
        )
        return 2
    lines = []
    is_ok = True
    for name in names or list(_bench_registry.BENCHMARKS):
        for measure in run_benchmark(name):
            is_ok = is_ok and measure.is_ok
            lines.append(measure.encode())
            print(lines[-1], flush=True)
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text("\n".join(lines) + "\n")
    return 0 if is_ok else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
