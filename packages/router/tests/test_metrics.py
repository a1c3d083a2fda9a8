"""Tests of the metrics: rendering, limits and documentation."""

import pathlib

from sycamoreloft_router import _metrics


def test_renders_counters_gauges_and_histograms():
    """Guards against values that are missing from the rendered metrics."""
    metrics = _metrics.Metrics()
    metrics.count("sycamoreloft_requests_total", "completed", "", amount=2)
    metrics.set("sycamoreloft_groups_held", value=3)
    metrics.observe("sycamoreloft_request_seconds", 0.002)
    for _ in range(2):
        lines = metrics.render().decode().splitlines()
        assert (
            'sycamoreloft_requests_total{outcome="completed",reason=""} 2.0'
            in lines
        )
        assert "sycamoreloft_groups_held 3" in lines
        assert "sycamoreloft_retries_total 0.0" in lines
        assert 'sycamoreloft_request_seconds_bucket{le="0.0025"} 1.0' in lines
        assert "sycamoreloft_request_seconds_count 1.0" in lines


def test_bounds_the_number_of_series():
    """Guards against label values that fill the memory."""
    metrics = _metrics.Metrics()
    for number in range(_metrics.MAXIMUM_SERIES + 100):
        metrics.count("sycamoreloft_upstream_failures_total", f"k{number}")
    name = "sycamoreloft_upstream_failures_total"
    assert metrics.read(name, "other") > 100
    assert len(metrics._values) <= _metrics.MAXIMUM_SERIES + 1


def test_every_metric_is_documented():
    """Guards against metrics that operators cannot look up."""
    page = pathlib.Path(__file__).parents[3] / "docs" / "metrics.md"
    text = page.read_text()
    for definition in _metrics.DEFINITIONS:
        assert f"| `{definition.name}` |" in text
        for label in definition.labels:
            assert f"`{label}`" in text
