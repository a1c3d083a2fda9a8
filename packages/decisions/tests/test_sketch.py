"""Tests of the sketch of frequent keys."""

import random

from sycamoreloft_decisions import _sketch


def test_frequent_keys_are_found_among_many():
    """Guards against rare keys that replace a hot key in the sketch."""
    source = random.Random(5)
    sketch = _sketch.SpaceSavingSketch(64)
    for index in range(20_000):
        sketch.add(f"rare-{source.randrange(10_000)}")
        if index % 20 == 0:
            sketch.add(f"hot-{index % 3}")
    largest = [key for key, _ in sketch.list_largest()[:3]]
    assert sorted(largest) == ["hot-0", "hot-1", "hot-2"]


def test_certain_count_never_exceeds_the_true_one():
    """Guards against a rare key that seems hot because it took over a count."""
    source = random.Random(6)
    sketch = _sketch.SpaceSavingSketch(8)
    true_counts = {}
    for _ in range(5_000):
        key = f"k{int(source.expovariate(0.1))}"
        true_counts[key] = true_counts.get(key, 0) + 1
        sketch.add(key)
        assert sketch.get_certain_count(key) <= true_counts[key]
    sketch.scale(0.5)
    assert sketch.get_certain_count("k0") <= true_counts["k0"] / 2
