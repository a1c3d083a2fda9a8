"""Detects requests that crash the upstreams that run them.

When an upstream crashes, the connections of all its requests break, not only
that of the request that caused the crash. Other requests are answered when
callers repeat them, but the crashing request never is. A request is therefore
stopped (rejected without being sent) once it came several times, one after the
other, and each time its connection broke without an answer. Hosts report such
crashes to the coordinator, which tells all hosts which requests are suspected
and which are stopped.
"""

from collections import abc
import dataclasses
import math
import random
import typing

#: Number of crashes, one after the other, after which a request is stopped. The
#: requirement is that one request crashes at most three upstreams.
CRASHES_BEFORE_STOP = 3

#: Number of crashes from which on all hosts watch for an answer to a request.
CRASHES_TO_SUSPECT = 2

#: Seconds for which a crash counts. A caller may send a request again at any
#: time, so this is far longer than deadlines.
CRASH_MEMORY_S = 3_600.0

#: Seconds for which a request is stopped.
STOP_DURATION_S = 600.0

#: Seconds for which a request counts as suspected after the coordinator last
#: named it, which it does with each heartbeat.
SUSPICION_S = 3.0

#: Number of times that a crash is reported to the coordinator, since datagrams
#: get lost.
REPORT_COUNT = 8

#: Seconds for which an answer is reported to the coordinator.
ANSWER_REPORT_S = 2.0

#: Maximum number of requests that are remembered. Old requests with one crash
#: are dropped before others.
MAXIMUM_REQUESTS = 256

#: Maximum number of requests that are stopped; each heartbeat names them.
MAXIMUM_STOPPED = 128

#: Maximum number of crashes that are remembered for each request.
MAXIMUM_CRASHES = 8

#: Maximum number of requests in a datagram, and of requests that are saved, so
#: that they fit a record of the store.
MAXIMUM_REPORTED = 64
MAXIMUM_SAVED = 128

#: Maximum number of crashes that no longer count, and are remembered so that a
#: repeated report does not count them again.
MAXIMUM_FORGIVEN = 4_096

_Entry = typing.TypeVar("_Entry")


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An attempt whose connection broke before any answer.

    Times are seconds on the clock of the host that uses the object.
    """

    #: Random number that identifies the crash in repeated reports.
    number: int
    #: When the attempt began.
    started_at: float
    #: When its connection broke.
    ended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A crash as another host tells of it, without a shared clock."""

    #: Random number that identifies the crash in repeated reports.
    number: int
    #: Seconds from the begin of the attempt to the report.
    started_ago_s: float
    #: Seconds from the break of its connection to the report.
    ended_ago_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """What a host tells the coordinator of crashes."""

    #: Crashes by request.
    crashes: abc.Mapping[int, tuple[ReportedCrash, ...]]
    #: Requests that were answered, so that earlier crashes do not count.
    answered: tuple[int, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not self.crashes and not self.answered


class CrashGuard:
    """Tracks crashing and stopped requests on one host.

    On the coordinator, it also has the crashes that the other hosts report.

    Args:
        generator: Draws the numbers of crashes; None for a new one.
    """

    def __init__(self, generator: random.Random | None = None) -> None:
        self._generator = generator or random.Random()
        #: Crashes by request and number, of the requests touched last at the
        #: end.
        self._crashes: dict[int, dict[int, Crash]] = {}
        #: Time until which each request is stopped.
        self._stopped: dict[int, float] = {}
        #: Time until which each request counts as suspected.
        self._suspected: dict[int, float] = {}
        #: Numbers of crashes that no longer count.
        self._forgiven: dict[int, None] = {}
        #: Number of reports still to be made of a request's crashes.
        self._crash_reports: dict[int, int] = {}
        #: Time until which the answer to a request is reported.
        self._answers: dict[int, float] = {}
        #: Increases with each change that is worth saving.
        self.revision = 0

    @property
    def is_idle(self) -> bool:
        """Whether this host knows of no crash and stops no request."""
        return not (self._crashes or self._stopped or self._suspected)

    # What this host sees.

    def record_crash(
        self, requests: abc.Iterable[int], started_at: float, now: float
    ) -> None:
        """Records that the connection of an attempt broke before any answer.

        Args:
            requests: Identities of the request that may be to blame; see
                `identify_request` and `AnsweredPaths`.
            started_at: When the attempt began, in seconds.
            now: Time, in seconds.
        """
        for request in requests:
            # An answer may clear one identity of the request and not the other.
            number = self._generator.getrandbits(63)
            self._add(request, Crash(number, started_at, now), now)
            self._crash_reports[request] = REPORT_COUNT
        _drop_oldest(self._crash_reports, MAXIMUM_REQUESTS)

    def record_answer(self, requests: abc.Iterable[int], now: float) -> None:
        """Records that a request was answered, which clears it everywhere."""
        for request in requests:
            if request in self._crashes or request in self._suspected:
                self._clear(request)
                self._answers[request] = now + ANSWER_REPORT_S
        _drop_oldest(self._answers, MAXIMUM_REPORTED)

    def is_stopped(self, requests: abc.Iterable[int], now: float) -> bool:
        """Returns whether a request must not be sent.

        Args:
            requests: Identities of the request.
            now: Time, in seconds.
        """
        return any(now < self._stopped.get(item, now) for item in requests)

    def count_crashes(self, request: int, now: float) -> int:
        """Counts the known crashes that came one after the other.

        Copies of a request that are at an upstream at once are all broken by
        one crash, so only an attempt that began after an earlier crash counts.
        """
        count, ended_at = 0, -math.inf
        crashes = self._crashes.get(request, {}).values()
        for crash in sorted(crashes, key=lambda item: item.ended_at):
            is_recent = now < crash.ended_at + CRASH_MEMORY_S
            if is_recent and crash.started_at >= ended_at:
                count += 1
                ended_at = crash.ended_at
        return count

    # What hosts tell each other.

    def take_report(self, now: float) -> CrashReport:
        """Returns what is to be reported to the coordinator now."""
        self._forget(now)
        crashes = {
            request: _describe(self._crashes[request].values(), now)
            for request in _take_turn(self._crash_reports)
            if request in self._crashes
        }
        return CrashReport(crashes, tuple(self._answers))

    def describe_all(self, now: float) -> CrashReport:
        """Returns the crashes of the requests that crashed most often."""
        self._forget(now)
        requests = sorted(
            self._crashes,
            key=lambda request: self.count_crashes(request, now),
            reverse=True,
        )
        return CrashReport(
            {
                request: _describe(self._crashes[request].values(), now)
                for request in requests[:MAXIMUM_SAVED]
            }
        )

    def repeat_reports(self) -> None:
        """Reports all known crashes again, to another coordinator."""
        self._crash_reports = dict.fromkeys(self._crashes, REPORT_COUNT)

    def merge(
        self, report: CrashReport, reported_at: float, now: float
    ) -> list[int]:
        """Adds what another host reports.

        Args:
            report: The report.
            reported_at: When it was made, in seconds.
            now: Time, in seconds.

        Returns:
            The requests that are stopped because of it.
        """
        for request in report.answered:
            self._clear(request)
        known = set(self.list_stopped(now))
        for request, crashes in report.crashes.items():
            for crash in crashes:
                self._add(
                    request,
                    Crash(
                        crash.number,
                        reported_at - crash.started_ago_s,
                        reported_at - crash.ended_ago_s,
                    ),
                    now,
                )
        return [request for request in self._stopped if request not in known]

    def list_suspected(self, now: float) -> tuple[int, ...]:
        """Returns the requests for whose answers all hosts should watch."""
        self._forget(now)
        suspected = tuple(
            request
            for request in self._crashes
            if self.count_crashes(request, now) >= CRASHES_TO_SUSPECT
        )
        return suspected[-MAXIMUM_REPORTED:]

    def add_suspected(self, requests: abc.Iterable[int], now: float) -> None:
        """Watches for answers to requests that the coordinator suspects."""
        for request in requests:
            self._suspected[request] = now + SUSPICION_S
        _drop_oldest(self._suspected, MAXIMUM_REQUESTS)

    def list_stopped(self, now: float) -> tuple[int, ...]:
        """Returns the requests that are stopped."""
        _drop_expired(self._stopped, now)
        return tuple(self._stopped)

    def add_stopped(self, requests: abc.Iterable[int], now: float) -> None:
        """Stops the requests that the coordinator has listed as stopped."""
        _drop_expired(self._stopped, now)
        for request in requests:
            if request not in self._stopped:
                self._stop(request, now)

    def _add(self, request: int, crash: Crash, now: float) -> None:
        if crash.number in self._forgiven:
            return
        crashes = self._crashes.pop(request, {})
        if not any(_is_same_crash(crash, known) for known in crashes.values()):
            crashes[crash.number] = crash
            self.revision += 1
        _drop_oldest(crashes, MAXIMUM_CRASHES)
        self._crashes[request] = crashes
        if len(self._crashes) > MAXIMUM_REQUESTS:
            self._drop_request()
        if self.count_crashes(request, now) >= CRASHES_BEFORE_STOP:
            self._stop(request, now)

    def _drop_request(self) -> None:
        """Drops the request that is the least likely to be crashing.

        It is chosen from the half that was touched least recently, so that a
        full memory has room for a request that crashes now.
        """
        older = list(self._crashes)[: MAXIMUM_REQUESTS // 2]
        single = (item for item in older if len(self._crashes[item]) == 1)
        del self._crashes[next(single, older[0])]

    def _clear(self, request: int) -> None:
        crashes = self._crashes.pop(request, {})
        if len(crashes) >= CRASHES_TO_SUSPECT:
            self.revision += 1
        self._forgiven.update(dict.fromkeys(crashes))
        _drop_oldest(self._forgiven, MAXIMUM_FORGIVEN)
        self._suspected.pop(request, None)
        self._crash_reports.pop(request, None)

    def _forget(self, now: float) -> None:
        """Drops what no longer counts."""
        _drop_expired(self._stopped, now)
        _drop_expired(self._suspected, now)
        # A later crash must not be cleared by an answer from before.
        _drop_expired(self._answers, now)
        for request, crashes in list(self._crashes.items()):
            if all(
                now >= crash.ended_at + CRASH_MEMORY_S
                for crash in crashes.values()
            ):
                del self._crashes[request]

    def _stop(self, request: int, now: float) -> None:
        self._stopped.pop(request, None)
        self._stopped[request] = now + STOP_DURATION_S
        _drop_oldest(self._stopped, MAXIMUM_STOPPED)


def _is_same_crash(crash: Crash, other: Crash) -> bool:
    """Returns whether two copies of a request were broken at once."""
    return (
        crash.started_at < other.ended_at and other.started_at < crash.ended_at
    )


def _describe(
    crashes: abc.Iterable[Crash], now: float
) -> tuple[ReportedCrash, ...]:
    return tuple(
        ReportedCrash(
            crash.number,
            max(0.0, now - crash.started_at),
            max(0.0, now - crash.ended_at),
        )
        for crash in crashes
    )


def _take_turn(counts: dict[int, int]) -> list[int]:
    """Returns some of the keys, and counts each of them down."""
    requests = list(counts)[:MAXIMUM_REPORTED]
    for request in requests:
        counts[request] -= 1
        if not counts[request]:
            del counts[request]
    return requests


def _drop_expired(until: dict[int, float], now: float) -> None:
    for request in [item for item, end in until.items() if now >= end]:
        del until[request]


def _drop_oldest(entries: dict[int, _Entry], maximum: int) -> None:
    while len(entries) > maximum:
        del entries[next(iter(entries))]
