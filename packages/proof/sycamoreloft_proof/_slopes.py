"""Measures costs at several sizes and fits straight lines to them."""

from collections import abc
import dataclasses
import gc
import time
import tracemalloc

import numpy


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A fitted line: cost = fixed + per_unit * size."""

    #: Name of the cost, also the name of its plot file.
    name: str
    #: Unit of the cost, such as "s/s" for processor seconds per second.
    unit: str
    #: What the sizes count, such as "hosts".
    size_of: str
    #: Sizes at which the cost was measured.
    sizes: abc.Sequence[float]
    #: Measured cost at each of `sizes`.
    values: abc.Sequence[float]
    #: Cost at size 0 according to the fit.
    fixed: float
    #: Increase of the cost per unit of size.
    per_unit: float
    #: Largest absolute residual, relative to the largest absolute value.
    error: float

    def predict(self, size: float) -> float:
        """Returns the cost at a size according to the fit."""
        return self.fixed + self.per_unit * size


def fit_slope(
    name: str,
    unit: str,
    size_of: str,
    sizes: abc.Sequence[float],
    values: abc.Sequence[float],
) -> Slope:
    """Fits a line to measured costs by least squares."""
    per_unit, fixed = numpy.polyfit(sizes, values, 1)
    residuals = [
        abs(value - (fixed + per_unit * size))
        for size, value in zip(sizes, values, strict=True)
    ]
    error = max(residuals) / max(max(map(abs, values)), 1e-12)
    return Slope(
        name,
        unit,
        size_of,
        tuple(sizes),
        tuple(values),
        float(fixed),
        float(per_unit),
        float(error),
    )


def measure_time(
    function: abc.Callable[[], object], repetitions: int, rounds: int = 5
) -> float:
    """Measures the processor time of a function.

    Args:
        function: Function to call.
        repetitions: Number of calls in each round.
        rounds: Number of rounds.

    Returns:
        The mean processor seconds per call in the fastest round.
    """
    best = float("inf")
    for _ in range(rounds):
        gc.collect()
        started_at = time.process_time()
        for _ in range(repetitions):
            function()
        best = min(best, (time.process_time() - started_at) / repetitions)
    return best


def measure_memory(build: abc.Callable[[], object]) -> float:
    """Returns the memory that the result of `build` occupies, in bytes."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return float(after - before)
