"""Benchmarks of the decision logic on traces that use a virtual clock."""

from collections import abc

from sycamoreloft_proof import (
    _bench_registry,
    _overload_trace,
    _placement_traces,
    _quarantine_trace,
)

#: Minimum goodput at three times the capacity, as a share of the goodput at
#: capacity: goodput must not collapse under overload (docs/design.md 7.5).
GOODPUT_RATIO_TARGET = 0.9

#: Maximum number of sends to upstreams per request that arrived. The retry
#: budget is 10 % of recent requests (docs/design.md 7.3).
RETRY_AMPLIFICATION_TARGET = 1.1

#: Maximum number of upstream crashes in one failure domain that a request which
#: crashes its upstream may cause (docs/design.md 7.6).
CRASH_LOSSES_TARGET = 2.0

#: Maximum number of innocent requests refused as quarantined. A suspect is
#: refused only after its upstream was lost twice (docs/design.md 7.6).
BYSTANDERS_REFUSED_TARGET = 0.0

#: Seeds of the placement traces. Each figure is reported as its mean over them.
PLACEMENT_SEEDS = (1, 2)

#: Reported fields of `_placement_traces.Figures`, with their units.
_PLACEMENT_UNITS = {
    "imbalance": "ratio",
    "churn_ratio": "ratio",
    "unavailable_key_seconds": "key-s",
}


@_bench_registry.register("overload")
def bench_overload() -> abc.Sequence[_bench_registry.Measure]:
    """Compares the goodput under overload with the goodput at capacity."""
    return [
        _bench_registry.Measure(
            f"goodput_at_3x_ratio{suffix}",
            _overload_trace.measure_overload(keyed).ratio,
            "ratio",
            GOODPUT_RATIO_TARGET,
            ">=",
        )
        for suffix, keyed in (("", False), ("_keyed", True))
    ]


@_bench_registry.register("retries")
def bench_retries() -> abc.Sequence[_bench_registry.Measure]:
    """Measures retries while half of the upstreams refuse connections."""
    return [
        _bench_registry.Measure(
            f"retry_amplification{suffix}",
            figures.sends_per_request,
            "ratio",
            RETRY_AMPLIFICATION_TARGET,
        )
        for suffix, figures in (
            ("", _overload_trace.measure_retries()),
            ("_keyed", _overload_trace.measure_keyed_retries()),
        )
    ]


@_bench_registry.register("choice")
def bench_choice() -> abc.Sequence[_bench_registry.Measure]:
    """Compares the best of two random upstreams with round robin."""
    figures = _overload_trace.measure_choice()
    return [
        _bench_registry.Measure(
            "p2c_p99_ratio",
            figures.two_random.p99_s / figures.rotation.p99_s,
            "ratio",
        )
    ]


@_bench_registry.register("quarantine")
def bench_quarantine() -> abc.Sequence[_bench_registry.Measure]:
    """Measures the damage of a crashing request that is sent repeatedly."""
    figures = _quarantine_trace.measure_quarantine()
    return [
        _bench_registry.Measure(
            "crash_request_upstreams_lost",
            max(figures.losses.values(), default=0),
            "upstreams",
            CRASH_LOSSES_TARGET,
        ),
        _bench_registry.Measure(
            "bystanders_refused",
            figures.innocent_refusals,
            "requests",
            BYSTANDERS_REFUSED_TARGET,
        ),
    ]


@_bench_registry.register("placement")
def bench_placement() -> abc.Sequence[_bench_registry.Measure]:
    """Compares the router's placement with two simpler placement methods.

    Consistent hashing and never moving keys run on the same traces. The figures
    have no target because the two fleets weigh them differently.
    """
    measures = []
    for shape in (_placement_traces.SLEDWORKS, _placement_traces.ISUKU):
        runs = [
            _placement_traces.compare_placements(shape, seed)
            for seed in PLACEMENT_SEEDS
        ]
        for figure, unit in _PLACEMENT_UNITS.items():
            for method in runs[0]:
                values = [getattr(run[method], figure) for run in runs]
                measures.append(
                    _bench_registry.Measure(
                        f"{figure}_{shape.name}_{method.replace(' ', '_')}",
                        sum(values) / len(values),
                        unit,
                    )
                )
    return measures
