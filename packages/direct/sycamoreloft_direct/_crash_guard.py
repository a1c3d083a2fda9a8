"""Finds requests that crash the upstreams which begin to run them.

A connection that breaks takes all requests of the upstream with it, the
innocent ones too. These are answered when they come again; the one that
crashes upstreams never is. So a request is stopped once its connections broke
a few times without an answer, counted over all hosts: each tells the
coordinator what it saw, and the coordinator tells all what is stopped.
"""

from collections import abc
import hashlib
import typing

#: Broken connections after which a request is stopped; the users allow the
#: request to crash three upstreams.
CRASHES_TO_STOP = 3

#: Seconds for which a broken connection counts. A caller's repetitions come
#: within its time budget, which is shorter.
EVIDENCE_S = 30.0

#: Seconds for which a request is stopped.
STOP_S = 600.0

#: Requests that are remembered of each host, and stopped at most. The newest
#: stay: what was not seen for longest is the least likely to come again.
MAXIMUM_REQUESTS = 128


def identify_request(method: str, target: str, caller: str, body: bytes) -> int:
    """Returns a number that the same request has whenever it comes again.

    Args:
        method: HTTP method.
        target: Path and query.
        caller: Address of the caller.
        body: The body, or what is known of it.
    """
    digest = hashlib.blake2b(body, digest_size=8)
    for part in (method, target, caller):
        digest.update(b"\0" + part.encode("utf-8", "replace"))
    return int.from_bytes(digest.digest())


class CrashGuard:
    """What one host knows of such requests."""

    def __init__(self) -> None:
        self._own: dict[int, list[float]] = {}
        self._told: dict[str, tuple[abc.Mapping[int, int], float]] = {}
        self._stopped: dict[int, float] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no request is under suspicion on this host or stopped."""
        return not self._own and not self._stopped

    def record_crash(self, request: int, now: float) -> None:
        """Notes that a connection broke before any answer."""
        times = self._own.pop(request, [])
        self._own[request] = [*times, now]
        _drop_oldest(self._own)
        if len(self._list_recent(request, now)) >= CRASHES_TO_STOP:
            self._stop(request, now)

    def record_answer(self, request: int) -> None:
        """Notes that a request was answered; it is innocent."""
        self._own.pop(request, None)

    def is_stopped(self, request: int, now: float) -> bool:
        """Tells whether a request must not be sent."""
        return now < self._stopped.get(request, now)

    def list_own_crashes(self, now: float) -> dict[int, int]:
        """Returns the recent crashes that this host saw, by request."""
        counts = {}
        for request in list(self._own):
            count = len(self._list_recent(request, now))
            if count:
                counts[request] = count
            else:
                del self._own[request]
        return counts

    def record_report(
        self, host: str, crashes: abc.Mapping[int, int], now: float
    ) -> None:
        """Takes what another host saw; for the coordinator.

        Args:
            host: Name of the host.
            crashes: Its recent crashes by request; replaces what it told
                before.
            now: Time, in seconds.
        """
        self._told.pop(host, None)
        if crashes:
            self._told[host] = (crashes, now)
        for request in crashes:
            if self._count(request, now) >= CRASHES_TO_STOP:
                self._stop(request, now)

    def list_stopped(self, now: float) -> tuple[int, ...]:
        """Returns the requests that are stopped."""
        for request, until in list(self._stopped.items()):
            if now >= until:
                del self._stopped[request]
        return tuple(self._stopped)

    def add_stopped(self, requests: abc.Iterable[int], now: float) -> None:
        """Takes the requests that the coordinator stops."""
        for request in requests:
            if request not in self._stopped:
                self._stop(request, now)

    def _stop(self, request: int, now: float) -> None:
        self._stopped.pop(request, None)
        self._stopped[request] = now + STOP_S
        _drop_oldest(self._stopped)

    def _list_recent(self, request: int, now: float) -> list[float]:
        return [
            time
            for time in self._own.get(request, ())
            if now < time + EVIDENCE_S
        ]

    def _count(self, request: int, now: float) -> int:
        return len(self._list_recent(request, now)) + sum(
            crashes.get(request, 0)
            for crashes, told_at in self._told.values()
            if now < told_at + EVIDENCE_S
        )


def _drop_oldest(entries: abc.MutableMapping[int, typing.Any]) -> None:
    while len(entries) > MAXIMUM_REQUESTS:
        del entries[next(iter(entries))]
