"""Detects requests that crash the upstreams that run them.

When an upstream crashes, the connections of all its requests break, not only
that of the request that caused the crash. Other requests are answered when
callers repeat them, but the crashing request never is. A request is therefore
stopped (rejected without being sent) once its connections broke several times
without an answer. Crashes are counted over all hosts: each host reports its
own to the coordinator, which distributes the list of stopped requests.
"""

from collections import abc
import hashlib
import typing

#: Number of broken connections after which a request is stopped. The
#: requirement is that one request crashes at most three upstreams.
CRASHES_BEFORE_STOP = 3

#: Seconds for which a broken connection counts as evidence. Callers repeat a
#: request within their time budget, which is shorter.
CRASH_WINDOW_S = 30.0

#: Seconds for which a request is stopped.
STOP_DURATION_S = 600.0

#: Maximum number of requests that are remembered for each host, and maximum
#: number that are stopped. The oldest entries are dropped first, because a
#: request that was not seen for a long time is the least likely to come again.
MAXIMUM_REQUESTS = 128


def identify_request(method: str, target: str, caller: str, body: bytes) -> int:
    """Returns a number that is equal for all repetitions of a request.

    Args:
        method: HTTP method.
        target: Path and query.
        caller: Address of the caller.
        body: The body, or the part of it that has been received.
    """
    digest = hashlib.blake2b(body, digest_size=8)
    for part in (method, target, caller):
        digest.update(b"\0" + part.encode("utf-8", "replace"))
    return int.from_bytes(digest.digest())


class CrashGuard:
    """Tracks crashing and stopped requests on one host.

    On the coordinator, it also merges the reports of the other hosts.
    """

    def __init__(self) -> None:
        self._own_crashes: dict[int, list[float]] = {}
        self._reports: dict[str, tuple[abc.Mapping[int, int], float]] = {}
        self._stopped: dict[int, float] = {}

    @property
    def is_idle(self) -> bool:
        """Whether this host has recorded no crash and stops no request."""
        return not self._own_crashes and not self._stopped

    def record_crash(self, request: int, now: float) -> None:
        """Records that a request's connection broke before any answer."""
        times = self._own_crashes.pop(request, [])
        self._own_crashes[request] = [*times, now]
        _drop_oldest(self._own_crashes)
        if len(self._list_recent(request, now)) >= CRASHES_BEFORE_STOP:
            self._stop(request, now)

    def record_answer(self, request: int) -> None:
        """Records that a request was answered, which clears it."""
        self._own_crashes.pop(request, None)

    def is_stopped(self, request: int, now: float) -> bool:
        """Returns whether a request must not be sent."""
        return now < self._stopped.get(request, now)

    def list_own_crashes(self, now: float) -> dict[int, int]:
        """Returns the recent crashes seen by this host, counted by request."""
        counts = {}
        for request in list(self._own_crashes):
            count = len(self._list_recent(request, now))
            if count:
                counts[request] = count
            else:
                del self._own_crashes[request]
        return counts

    def record_report(
        self, host: str, crashes: abc.Mapping[int, int], now: float
    ) -> None:
        """Records the crashes that another host reports to the coordinator.

        Args:
            host: Name of the reporting host.
            crashes: Its recent crashes, counted by request. They replace
                those of its previous report.
            now: Time, in seconds.
        """
        self._reports.pop(host, None)
        if crashes:
            self._reports[host] = (crashes, now)
        for request in crashes:
            if self._count(request, now) >= CRASHES_BEFORE_STOP:
                self._stop(request, now)

    def list_stopped(self, now: float) -> tuple[int, ...]:
        """Returns the requests that are stopped."""
        for request, until in list(self._stopped.items()):
            if now >= until:
                del self._stopped[request]
        return tuple(self._stopped)

    def add_stopped(self, requests: abc.Iterable[int], now: float) -> None:
        """Stops the requests that the coordinator has listed as stopped."""
        for request in requests:
            if request not in self._stopped:
                self._stop(request, now)

    def _stop(self, request: int, now: float) -> None:
        self._stopped.pop(request, None)
        self._stopped[request] = now + STOP_DURATION_S
        _drop_oldest(self._stopped)

    def _list_recent(self, request: int, now: float) -> list[float]:
        return [
            time
            for time in self._own_crashes.get(request, ())
            if now < time + CRASH_WINDOW_S
        ]

    def _count(self, request: int, now: float) -> int:
        return len(self._list_recent(request, now)) + sum(
            crashes.get(request, 0)
            for crashes, reported_at in self._reports.values()
            if now < reported_at + CRASH_WINDOW_S
        )


def _drop_oldest(entries: abc.MutableMapping[int, typing.Any]) -> None:
    while len(entries) > MAXIMUM_REQUESTS:
        del entries[next(iter(entries))]
