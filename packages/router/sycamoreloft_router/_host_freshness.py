"""Connects the coordinator role with the tables of a direct host."""

import asyncio
from collections import abc

from sycamoreloft_router import (
    _datagrams,
    _direct_ports,
    _direct_views,
    _freshness,
    _table_follower,
)


class HostFreshness(_freshness.Freshness):
    """Provides the table versions of a host and passes on those of others.

    Args:
        states: The desired state.
        state_follower: Follower of the table of desired states.
        upstream_follower: Follower of the table of upstreams.
        on_host_count: Called with the number of hosts that the coordinator
            knows.
        on_store_age: Called with the seconds since the store last answered
            the coordinator.
    """

    def __init__(
        self,
        states: _direct_views.StateView,
        state_follower: _table_follower.TableFollower,
        upstream_follower: _table_follower.TableFollower,
        on_host_count: abc.Callable[[int], None],
        on_store_age: abc.Callable[[float], None],
    ) -> None:
        self._states = states
        self._state_follower = state_follower
        self._upstream_follower = upstream_follower
        self._on_host_count = on_host_count
        self._on_store_age = on_store_age

    def read_versions(self) -> _datagrams.SeenVersions:
        """Returns the versions of the tables that this host has read."""
        return _datagrams.SeenVersions(
            self._state_follower.newest,
            self._upstream_follower.newest,
            self._state_follower.era or _direct_ports.UNKNOWN_ERA,
            self._upstream_follower.era or _direct_ports.UNKNOWN_ERA,
            self._states.version,
        )

    def observe_peer(self, seen: _datagrams.SeenVersions) -> None:
        """Handles the versions that another host has read."""
        self._states.observe_peer(
            seen.desired_state, asyncio.get_running_loop().time()
        )
        self._state_follower.observe_peer(seen.state, seen.state_era)
        self._upstream_follower.observe_peer(seen.upstreams, seen.upstreams_era)

    def observe_host_count(self, count: int) -> None:
        """Handles the number of hosts that the coordinator knows."""
        self._on_host_count(count)

    def observe_store_age(self, store_age_s: float) -> None:
        """Handles the seconds since the store last answered the coordinator."""
        self._on_store_age(store_age_s)
