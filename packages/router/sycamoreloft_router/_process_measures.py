"""Metrics of the process as a whole, updated before metrics are rendered."""

import pathlib
import resource

from sycamoreloft_router import _logs, _metrics

_STATM = pathlib.Path("/proc/self/statm")


def update(metrics: _metrics.Metrics) -> None:
    """Updates the metrics of memory and logging."""
    metrics.set("sycamoreloft_resident_bytes", value=float(read_memory()))
    metrics.set(
        "sycamoreloft_log_lines_suppressed_total",
        value=float(_logs.LIMITER.suppressed_total),
    )
    metrics.set("sycamoreloft_log_seconds_total", value=_logs.LOG_TIME.seconds)


def read_memory() -> int:
    """Returns the resident memory of the process, in bytes.

    Returns the peak size on systems that do not report the current size.
    """
    try:
        pages = int(_STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    return pages * resource.getpagesize()
