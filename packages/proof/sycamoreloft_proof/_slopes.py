"""Measures costs at several sizes and fits straight lines through them."""

from collections import abc
import dataclasses
import gc
import time
import tracemalloc

import numpy


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A fitted line: cost = fixed + per_unit * size."""

    #: Name of the cost.
    name: str
    #: Unit of the cost, such as "s/s" for processor seconds a second.
    unit: str
    #: What the size counts.
    size_of: str
    #: Measured sizes.
    sizes: abc.Sequence[float]
    #: Cost at each size.
    values: abc.Sequence[float]
    #: Cost at size 0.
    fixed: float
    #: Cost of each further unit of size.
    per_unit: float
    #: Largest distance of a value from the line, relative to the largest
    #: value.
    error: float

    def predict(self, size: float) -> float:
        """Returns the cost at a size."""
        return self.fixed + self.per_unit * size


def fit_slope(
    name: str,
    unit: str,
    size_of: str,
    sizes: abc.Sequence[float],
    values: abc.Sequence[float],
) -> Slope:
    """Fits a line by least squares."""
    per_unit, fixed = numpy.polyfit(sizes, values, 1)
    distances = [
        abs(value - (fixed + per_unit * size))
        for size, value in zip(sizes, values, strict=True)
    ]
    error = max(distances) / max(max(map(abs, values)), 1e-12)
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
    run: abc.Callable[[], object], repetitions: int, rounds: int = 5
) -> float:
    """Returns the processor seconds of one call, the best of some rounds."""
    best = float("inf")
    for _ in range(rounds):
        gc.collect()
        started = time.process_time()
        for _ in range(repetitions):
            run()
        best = min(best, (time.process_time() - started) / repetitions)
    return best


def measure_memory(build: abc.Callable[[], object]) -> float:
    """Returns the bytes that what `build` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(after - before)
