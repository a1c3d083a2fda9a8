"""Applies the operator's evacuations of failure domains."""

from collections import abc
import logging
import math

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import _logs

_LOGGER = logging.getLogger(__name__)


class EvacuationRows:
    """The evacuations in the table of desired states.

    Args:
        evacuations: Receives the evacuated failure domains.
        read_clock: Returns the time of the event loop, in seconds.
        on_change: Called when the set of evacuations changed.
    """

    def __init__(
        self,
        evacuations: sycamoreloft_load.Evacuations,
        read_clock: abc.Callable[[], float],
        on_change: abc.Callable[[], object],
    ) -> None:
        self._evacuations = evacuations
        self._read_clock = read_clock
        self._on_change = on_change
        #: Evacuated failure domains by the key of the row.
        self._domains: dict[str, str] = {}
        self._has_read = False

    def replace_all(self, values: abc.Mapping[str, object]) -> None:
        """Applies all entries of the table."""
        self._replace(
            {
                key: value.failure_domain
                for key, value in values.items()
                if isinstance(value, sycamoreloft_direct.Evacuation)
            }
        )
        self._has_read = True

    def apply_changes(self, values: abc.Mapping[str, object]) -> None:
        """Applies changed entries of the table; None removes an entry."""
        domains = dict(self._domains)
        for key, value in values.items():
            domains.pop(key, None)
            if isinstance(value, sycamoreloft_direct.Evacuation):
                domains[key] = value.failure_domain
        self._replace(domains)

    def log_events(
        self, upstreams: abc.Sequence[sycamoreloft_direct.Upstream]
    ) -> None:
        """Logs the evacuations that began or ended since the last call.

        Args:
            upstreams: All upstreams. Before the first ones are read, no failure
                domain is known, and nothing is logged.
        """
        if not upstreams:
            return
        known = {upstream.failure_domain for upstream in upstreams}
        for event in self._evacuations.list_events(known):
            is_unknown = (
                event.change
                is sycamoreloft_load.EvacuationChange.UNKNOWN_DOMAIN
            )
            _logs.log_event(
                _LOGGER,
                logging.WARNING if is_unknown else logging.INFO,
                event.change.value,
                failure_domain=event.failure_domain,
                upstreams=sum(
                    item.failure_domain == event.failure_domain
                    for item in upstreams
                ),
            )

    def _replace(self, domains: dict[str, str]) -> None:
        if domains == self._domains:
            return
        self._domains = domains
        # An evacuation that is older than this process may have been in force
        # for long, so that the owners of keys get no further time.
        since = self._read_clock() if self._has_read else -math.inf
        self._evacuations.replace(domains.values(), since)
        self._on_change()
