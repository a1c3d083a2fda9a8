"""Passes what a host reads from the store to the decisions under load."""

from collections import abc
import dataclasses
import time

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import _direct_ports, _direct_views, _metrics
from sycamoreloft_router.load import _evacuation_rows


class PoolUpdates:
    """Updates the pool, and lists upstreams for the coordinator.

    Implements `_direct_views.UpstreamSource`.

    Args:
        pool: The upstreams that the host chooses from.
        upstreams: Upstreams that discovery lists.
        read_clock: Returns the time of the event loop, in seconds.
        on_limit: Called when an upstream became cold or was evacuated, to
            withdraw the requests that wait for a connection to it.
        read_wall_clock: Returns the time since 1970, in seconds.
    """

    def __init__(
        self,
        pool: sycamoreloft_load.UpstreamPool,
        upstreams: _direct_views.UpstreamView,
        read_clock: abc.Callable[[], float],
        on_limit: abc.Callable[[], object],
        read_wall_clock: abc.Callable[[], float] = time.time,
    ) -> None:
        self._pool = pool
        self._upstreams = upstreams
        self._read_clock = read_clock
        self._on_limit = on_limit
        self._read_wall_clock = read_wall_clock
        #: The operator's evacuations.
        self.evacuations = _evacuation_rows.EvacuationRows(
            pool.evacuations, read_clock, self._apply_evacuations
        )
        self._services: abc.Mapping[str, sycamoreloft_direct.Service] = {}

    def update(self) -> None:
        """Passes the entries of upstreams to the pool."""
        now, upstreams = self._read_clock(), self._upstreams.list_all()
        has_new = self._pool.warm_up.update(
            upstreams, now, self._read_wall_clock()
        )
        self._pool.update(upstreams, now)
        self.evacuations.log_events(upstreams)
        if has_new:
            self._on_limit()

    def apply_settings(self, settings: _direct_ports.HostSettings) -> None:
        """Applies the bounds of the settings."""
        self._pool.warm_up.set_bounds(
            sycamoreloft_load.WarmUpBounds(
                settings.warm_up_overage, settings.warm_up_slack
            )
        )
        self._pool.evacuations.bound_s = settings.evacuate_s

    def apply_state(self, state: sycamoreloft_direct.DesiredState) -> None:
        """Applies the services of the desired state."""
        self._services = state.services
        self._pool.warm_up.set_services(state.services, self._read_clock())

    def update_host_count(self, count: int) -> None:
        """Records the number of hosts that share the limits."""
        self._pool.warm_up.update_host_count(count, self._read_clock())

    def record_metrics(self, metrics: _metrics.Metrics) -> None:
        """Updates the gauges of what this host knows of upstreams."""
        cold = self._pool.warm_up.count_cold(self._read_clock())
        metrics.set("sycamoreloft_upstreams_cold", value=float(cold))
        metrics.set(
            "sycamoreloft_evacuations", value=float(len(self._pool.evacuations))
        )

    def list_all(self) -> list[sycamoreloft_direct.Upstream]:
        """Returns all upstreams as the coordinator should plan with them.

        Cold ones have the rate that they tolerate, and evacuated ones are
        draining: they lose their keys in the same way.
        """
        now, evacuations = self._read_clock(), self._pool.evacuations
        upstreams = [
            self._add_rate(upstream, now)
            for upstream in self._upstreams.list_all()
        ]
        if not evacuations:
            return upstreams
        return [
            dataclasses.replace(upstream, is_draining=True)
            if upstream.failure_domain in evacuations
            else upstream
            for upstream in upstreams
        ]

    def find(
        self, run: sycamoreloft_direct.UpstreamRun
    ) -> sycamoreloft_direct.Upstream | None:
        """Returns the entry of a run."""
        return self._upstreams.find(run)

    def _apply_evacuations(self) -> None:
        self.evacuations.log_events(self._upstreams.list_all())
        self._on_limit()

    def _add_rate(
        self, upstream: sycamoreloft_direct.Upstream, now: float
    ) -> sycamoreloft_direct.Upstream:
        service = self._services.get(upstream.service)
        if (
            service is None
            or not service.warm_up_rate
            or not self._pool.warm_up.compute_cold_s(upstream.key, now)
        ):
            return upstream
        return dataclasses.replace(upstream, warm_up_rate=service.warm_up_rate)
