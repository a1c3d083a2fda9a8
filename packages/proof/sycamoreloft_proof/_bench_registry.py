"""Registry of the benchmark's measures."""

from collections import abc
import dataclasses
import json
import operator

#: Comparisons of a value with its target, by the sign in the output.
_COMPARISONS: abc.Mapping[str, abc.Callable[[float, float], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Measure:
    """One measured value and its target."""

    #: Stable name.
    name: str
    #: Value, or None if the run failed.
    value: float | None
    #: Unit, such as "ms".
    unit: str
    #: Target, or None for a value that is only reported.
    target: float | None = None
    #: ">=" or "<=": how the value has to compare with the target.
    comparison: str = "<="

    @property
    def is_ok(self) -> bool:
        """Whether the value was measured and meets the target."""
        if self.value is None:
            return False
        if self.target is None:
            return True
        return _COMPARISONS[self.comparison](self.value, self.target)

    def encode(self) -> str:
        """Encodes the measure as one line of JSON."""
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


#: Runs one benchmark.
Benchmark = abc.Callable[[], abc.Sequence[Measure]]

#: All benchmarks by name, in the order of their registration.
BENCHMARKS: dict[str, Benchmark] = {}


def register(name: str) -> abc.Callable[[Benchmark], Benchmark]:
    """Registers a function as a benchmark.

    Args:
        name: Name for the command line; also the name of the failed measure
            if the function raises.
    """

    def add(benchmark: Benchmark) -> Benchmark:
        if name in BENCHMARKS:
            raise ValueError(f"two benchmarks have the name {name!r}")
        BENCHMARKS[name] = benchmark
        return benchmark

    return add
