"""Reports how many upstreams are held back by their pace."""

import logging
import math

import sycamoreloft_load
from sycamoreloft_router import _logs, _metrics

_LOGGER = logging.getLogger(__name__)

#: Minimum time between two lines, in seconds. Under overload, the number of
#: refused upstreams changes several times a second.
LINE_INTERVAL_S = 5.0


class PaceReports:
    """Reports the paces of a pool as metrics and log lines.

    Args:
        pool: The upstreams.
        metrics: Metrics of the process.
    """

    def __init__(
        self, pool: sycamoreloft_load.UpstreamPool, metrics: _metrics.Metrics
    ) -> None:
        self._pool = pool
        self._metrics = metrics
        self._services: set[str] = set()
        self._logged: dict[str, int] = {}
        self._logged_at = -math.inf

    def update(self, now: float) -> None:
        """Updates the metrics, and logs numbers that changed.

        Args:
            now: Time of the event loop, in seconds.
        """
        counts = self._pool.count_paced(now)
        self._services |= counts.keys()
        for service in self._services:
            self._metrics.set(
                "sycamoreloft_upstreams_paced",
                service,
                value=float(counts.get(service, 0)),
            )
        if counts == self._logged or now - self._logged_at < LINE_INTERVAL_S:
            return
        self._logged, self._logged_at = counts, now
        _logs.log_event(
            _LOGGER, logging.INFO, "upstreams-paced", services=counts
        )
