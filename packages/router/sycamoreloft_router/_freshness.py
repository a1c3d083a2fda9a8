"""Interface for the table versions that hosts exchange in datagrams."""

from sycamoreloft_router import _datagrams


class Freshness:
    """Provides own table versions and receives those of other hosts.

    This base class has no tables, and ignores what it receives.
    """

    def read_versions(self) -> _datagrams.SeenVersions:
        """Returns the versions of the tables that this host has read."""
        return _datagrams.SeenVersions()

    def observe_peer(self, seen: _datagrams.SeenVersions) -> None:
        """Handles the versions that another host has read."""

    def observe_host_count(self, count: int) -> None:
        """Handles the number of hosts that the coordinator knows."""

    def observe_store_age(self, store_age_s: float) -> None:
        """Handles the seconds since the store last answered the coordinator."""
