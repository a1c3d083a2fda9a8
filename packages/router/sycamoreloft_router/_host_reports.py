"""Collects what a host observes of requests, and builds reports."""

from collections import abc

from sycamoreloft_router import _datagrams, _key_directory


class HostReports:
    """Collects observations between two reports to the coordinator.

    Args:
        host: Name of this host.
        directory: The map of keys that this host knows.
        read_versions: Returns the versions of the platform's tables that this
            host has read.
    """

    def __init__(
        self,
        host: str,
        directory: _key_directory.KeyDirectory,
        read_versions: abc.Callable[[], _datagrams.SeenVersions],
    ) -> None:
        self._host = host
        self._directory = directory
        self._read_versions = read_versions
        self._requests: list[tuple[str, int]] = []
        self._answers: dict[str, tuple[int, float]] = {}

    def observe_request(self, service: str, key: int) -> None:
        """Counts a request for a key."""
        self._requests.append((service, key))

    def observe_answer(self, upstream: str, seconds: float) -> None:
        """Records an answer of an upstream that owns keys.

        Args:
            upstream: Identifier of the upstream.
            seconds: Time from the request to the answer.
        """
        count, total = self._answers.get(upstream, (0, 0.0))
        self._answers[upstream] = (count + 1, total + seconds)

    def create_report(self) -> _datagrams.Report:
        """Creates a report of the observations since the last report."""
        report = _datagrams.Report(
            self._host,
            *self._directory.key_map.version,
            self._read_versions(),
            _datagrams.summarize_requests(self._requests),
            self._answers,
        )
        self._requests = []
        self._answers = {}
        return report
