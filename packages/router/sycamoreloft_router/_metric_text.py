"""Renders metrics in the Prometheus text format.

The library is slow to import, and the metrics of many processes are never
read, so `_metrics` imports this module only when it renders them.
"""

from collections import abc
import itertools
import typing

from aioprometheus import collectors, formats, histogram

from sycamoreloft_router import _metrics

_COLLECTORS: abc.Mapping[_metrics.Kind, typing.Any] = {
    _metrics.Kind.COUNTER: collectors.Counter,
    _metrics.Kind.GAUGE: collectors.Gauge,
    _metrics.Kind.HISTOGRAM: collectors.Histogram,
}


def render(
    values: abc.Mapping[tuple[str, ...], float],
    histograms: abc.Mapping[tuple[str, ...], _metrics.TimeHistogram],
) -> bytes:
    """Renders metrics.

    Args:
        values: Counters and gauges, by name and label values.
        histograms: Histograms, by name and label values.
    """
    registry = collectors.Registry()
    definitions = {item.name: item for item in _metrics.DEFINITIONS}
    collectors_by_name = {
        item.name: _COLLECTORS[item.kind](
            item.name, item.help, registry=registry
        )
        for item in _metrics.DEFINITIONS
    }
    for (name, *labels), value in values.items():
        pairs = dict(zip(definitions[name].labels, labels, strict=True))
        collectors_by_name[name].set_value(pairs, value)
    for (name, *labels), item in histograms.items():
        pairs = dict(zip(definitions[name].labels, labels, strict=True))
        collectors_by_name[name].set_value(pairs, _convert(item))
    return bytes(formats.text.TextFormatter().marshall(registry))


def _convert(item: _metrics.TimeHistogram) -> histogram.Histogram:
    """Converts to a histogram of the library, whose counts are cumulative."""
    target = histogram.Histogram(*_metrics.TIME_BUCKETS)
    cumulative = list(itertools.accumulate(item.counts))
    target.buckets.update(zip(_metrics.TIME_BUCKETS, cumulative, strict=True))
    target.sum = item.total
    target.observations = cumulative[-1]
    return target
