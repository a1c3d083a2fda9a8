"""Reports for how long a coordinator withheld the keys of an outdated map."""

import sycamoreloft_direct
from sycamoreloft_router import (
    _acquired_records,
    _coordinator_logs,
    _metrics,
)


class MapCheckReport:
    """Reports the end of a map check once.

    Args:
        check: The check.
        acquired: The records that the coordinator wrote.
        metrics: Metrics of the process.
        now: Time on the boot clock, in seconds.
    """

    def __init__(
        self,
        check: sycamoreloft_direct.MapCheck,
        acquired: _acquired_records.AcquiredRecords,
        metrics: _metrics.Metrics,
        now: float,
    ) -> None:
        self._check = check
        self._acquired = acquired
        self._metrics = metrics
        self._began_at = now
        self._is_due = check.is_open

    def report_end(self, now: float) -> None:
        """Reports the end of the check if it has just ended.

        Args:
            now: Time on the boot clock, in seconds.
        """
        if not self._is_due or self._check.is_open:
            return
        self._is_due = False
        waited_s = now - self._began_at
        trust = self._acquired.trust
        self._metrics.observe(
            "sycamoreloft_keys_withheld_seconds", waited_s, trust.value
        )
        _coordinator_logs.log_checked_map(
            self._acquired.lease.epoch, trust, waited_s, self._check.unanswered
        )
