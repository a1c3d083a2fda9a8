"""Registry of the benchmarks and the measures that they return."""

from collections import abc
import dataclasses
import json
import operator

#: Comparison of a value (first) with its target (second), by operator sign.
_COMPARISONS: abc.Mapping[str, abc.Callable[[float, float], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Measure:
    """A measured value and its target."""

    #: Name in the output; it stays the same so that runs can be compared.
    name: str
    #: Measured value, or None if the benchmark failed.
    value: float | None
    #: Unit of the value and the target, such as "ms".
    unit: str
    #: Bound for the value, or None if the value is only reported.
    target: float | None = None
    #: Whether the target is a minimum (">=") or a maximum ("<=").
    comparison: str = "<="

    @property
    def is_ok(self) -> bool:
        """Whether there is a value and it meets the target, if any."""
        if self.value is None:
            return False
        if self.target is None:
            return True
        return _COMPARISONS[self.comparison](self.value, self.target)

    def encode(self) -> str:
        """Returns the measure as one line of JSON, rounded to 4 decimals."""
        value = None if self.value is None else round(self.value, 4)
        return json.dumps(
            {
                "name": self.name,
                "value": value,
                "unit": self.unit,
                "target": self.target,
                "ok": self.is_ok,
            }
        )


#: Function that runs a benchmark and returns its measures.
Benchmark = abc.Callable[[], abc.Sequence[Measure]]

#: Registered benchmarks by name, in the order of registration.
BENCHMARKS: dict[str, Benchmark] = {}


def register(name: str) -> abc.Callable[[Benchmark], Benchmark]:
    """Returns a decorator that registers a function as a benchmark.

    Args:
        name: Name on the command line. If the function raises, the measure
            without a value that stands for it has this name too.

    Raises:
        ValueError: A benchmark with the name is registered already.
    """

    def add(benchmark: Benchmark) -> Benchmark:
        if name in BENCHMARKS:
            raise ValueError(f"a benchmark is already registered as {name!r}")
        BENCHMARKS[name] = benchmark
        return benchmark

    return add
