"""Passes what a host reads from the store to the decisions under load."""

from collections import abc
import dataclasses
import time

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import _direct_ports, _direct_views, _metrics


class PoolUpdates:
    """Updates the pool, and lists upstreams for the coordinator.

    Implements `_direct_views.UpstreamSource`.

    Args:
        pool: The upstreams that the host chooses from.
        upstreams: Upstreams that discovery lists.
        read_clock: Returns the time of the event loop, in seconds.
        on_cold: Called when an upstream became cold, to withdraw the requests
            that wait for a connection to it.
        read_wall_clock: Returns the time since 1970, in seconds.
    """

    def __init__(
        self,
        pool: sycamoreloft_load.UpstreamPool,
        upstreams: _direct_views.UpstreamView,
        read_clock: abc.Callable[[], float],
        on_cold: abc.Callable[[], object],
        read_wall_clock: abc.Callable[[], float] = time.time,
    ) -> None:
        self._pool = pool
        self._upstreams = upstreams
        self._read_clock = read_clock
        self._on_cold = on_cold
        self._read_wall_clock = read_wall_clock
        self._services: abc.Mapping[str, sycamoreloft_direct.Service] = {}

    def update(self) -> None:
        """Passes the entries of upstreams to the pool."""
        now, upstreams = self._read_clock(), self._upstreams.list_all()
        has_new = self._pool.warm_up.update(
            upstreams, now, self._read_wall_clock()
        )
        self._pool.update(upstreams, now)
        if has_new:
            self._on_cold()

    def apply_settings(self, settings: _direct_ports.HostSettings) -> None:
        """Applies the bounds of the settings."""
        self._pool.warm_up.set_bounds(
            sycamoreloft_load.WarmUpBounds(
                settings.warm_up_overage, settings.warm_up_slack
            )
        )

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

    def list_all(self) -> list[sycamoreloft_direct.Upstream]:
        """Returns all upstreams, cold ones with the rate that they tolerate."""
        now = self._read_clock()
        return [
            self._add_rate(upstream, now)
            for upstream in self._upstreams.list_all()
        ]

    def find(
        self, run: sycamoreloft_direct.UpstreamRun
    ) -> sycamoreloft_direct.Upstream | None:
        """Returns the entry of a run."""
        return self._upstreams.find(run)

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
