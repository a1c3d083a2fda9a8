"""Benchmark that counts invariant violations of real processes with faults."""

from collections import abc
import pathlib
import tempfile

from sycamoreloft_proof import _bench_registry, soak

#: Number of requests to send, the minimum for checking invariants 3 to 5 of
#: docs/design.md 1.1.
REQUESTS = 50_000

#: Number of callers of each fleet, and their mean pause between two operations.
#: With 40 callers, 43,000 requests took 240 s, which is too long; 100 callers
#: sent 52,800 in 104 s.
CALLERS = 100
PAUSE_S = 0.02

#: Maximum duration of the traffic, in seconds. The other benchmarks took about
#: 410 s, and all benchmarks together must end within 10 minutes.
MAXIMUM_TRAFFIC_S = 130.0

#: Maximum number of violations of each invariant (docs/design.md 1.1, 3 to 5
#: and 7.5).
VIOLATIONS_TARGET = 0.0


@_bench_registry.register("soak")
def bench_soak() -> abc.Sequence[_bench_registry.Measure]:
    """Runs the soak test and counts the violations of each invariant."""
    with tempfile.TemporaryDirectory(prefix="sycamoreloft-soak-") as name:
        result = soak.run_soak(
            pathlib.Path(name),
            REQUESTS,
            callers=CALLERS,
            pause_s=PAUSE_S,
            longest_s=MAXIMUM_TRAFFIC_S,
        )
    measures = [
        _bench_registry.Measure(kind, count, "requests", VIOLATIONS_TARGET)
        for kind, count in (
            ("wrong_answers", result.wrong_answers),
            ("repeated_runs", result.repeated_runs),
            ("false_did_not_run", result.false_did_not_run),
            ("slots_exceeded", result.slots_exceeded),
        )
    ]
    return [
        *measures,
        # The counts above are meaningful only if enough requests were sent.
        _bench_registry.Measure(
            "soak_requests",
            result.summary.requests_sent,
            "requests",
            REQUESTS,
            ">=",
        ),
    ]
