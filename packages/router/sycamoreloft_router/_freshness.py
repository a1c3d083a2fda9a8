"""How new a host's copies of the platform's tables are."""

from sycamoreloft_router import _datagrams


class Freshness:
    """How new this host's copies of the platform's tables are."""

    def read(self) -> _datagrams.SeenVersions:
        """Returns the versions that this host has."""
        return _datagrams.SeenVersions()

    def hear(self, seen: _datagrams.SeenVersions) -> None:
        """Takes the versions that another host has."""

    def hear_hosts(self, count: int) -> None:
        """Takes how many hosts the coordinator knows."""

    def hear_store(self, answered_ago_s: float) -> None:
        """Takes how long ago the store answered the coordinator."""
