"""What a host observes of requests, until it reports to the coordinator."""

import asyncio
from collections import abc

import sycamoreloft_direct
from sycamoreloft_router import _datagrams, _key_directory


class HostReports:
    """Collects observations and makes reports of them.

    Args:
        host: Name of this host.
        directory: The map of keys that this host knows.
        seen: Returns what this host has read of the platform's tables.
        guard: Requests that crash upstreams.
    """

    def __init__(
        self,
        host: str,
        directory: _key_directory.KeyDirectory,
        seen: abc.Callable[[], _datagrams.SeenVersions],
        guard: sycamoreloft_direct.CrashGuard,
    ) -> None:
        self._host = host
        self._directory = directory
        self._seen = seen
        self._guard = guard
        self._requests: list[tuple[str, int]] = []
        self._answers: dict[str, tuple[int, float]] = {}

    def observe_request(self, service: str, key: int) -> None:
        """Counts a request for a key."""
        self._requests.append((service, key))

    def observe_answer(self, upstream: str, seconds: float) -> None:
        """Counts an answer of an upstream that owns keys."""
        count, total = self._answers.get(upstream, (0, 0.0))
        self._answers[upstream] = (count + 1, total + seconds)

    def take(self) -> _datagrams.Report:
        """Returns a report of what was observed since the last one."""
        report = _datagrams.Report(
            self._host,
            *self._directory.key_map.version,
            self._seen(),
            _datagrams.summarize_requests(self._requests),
            self._answers,
            self._guard.list_own_crashes(asyncio.get_running_loop().time()),
        )
        self._requests = []
        self._answers = {}
        return report
