"""Runs the benchmark: `python -m sycamoreloft_proof.bench [NAME ...]`.

Prints one JSON object a line and writes the same lines to
bench/results.jsonl. Exits with 1 if a measure misses its target or fails.
A module adds benchmarks with `_bench_registry.register` and is listed in
`MODULES`.
"""

from collections import abc
import importlib
import pathlib
import sys
import traceback

from sycamoreloft_proof import _bench_registry

#: Modules that register benchmarks.
MODULES = (
    "sycamoreloft_proof._bench_forward",
    "sycamoreloft_proof._bench_decisions",
    "sycamoreloft_proof._bench_claims",
    "sycamoreloft_proof._bench_recovery",
    "sycamoreloft_proof._bench_control",
    "sycamoreloft_proof._bench_soak",
)

#: File that gets the results, below the working directory.
RESULTS = pathlib.Path("bench/results.jsonl")


def run_benchmark(name: str) -> abc.Sequence[_bench_registry.Measure]:
    """Runs one benchmark; a failure becomes a measure without a value."""
    try:
        return _bench_registry.BENCHMARKS[name]()
    except Exception:
        traceback.print_exc()
        return [_bench_registry.Measure(name, None, "")]


def main(names: abc.Sequence[str]) -> int:
    """Runs benchmarks and prints their measures.

    Args:
        names: Names of benchmarks, empty for all.

    Returns:
        The exit code.
    """
    for module in MODULES:
        importlib.import_module(module)
    unknown = sorted(set(names) - set(_bench_registry.BENCHMARKS))
    if unknown:
        known = ", ".join(_bench_registry.BENCHMARKS)
        print(
            f"no benchmark {', '.join(unknown)}; choose from {known}",
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
