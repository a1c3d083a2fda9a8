"""Checks from what upstreams saw that hosts obey their announcements."""

import collections
from collections import abc

#: Seconds after the answer of an upstream within which requests may still
#: arrive that were sent before the host knew of it.
PAUSE_GRACE_S = 0.5

#: Maximum number of requests from one host that may reach an upstream from
#: then on to the end of its pause.
PAUSE_ARRIVALS = 2

#: Name of a host, and run of an upstream.
_Pair = tuple[str, abc.Hashable]


class NoticeOracle:
    """Records announcements and arrivals; see `list_problems`.

    All times are in seconds on one clock.

    Args:
        drain_s: Seconds after an announced shutdown from which on no request
            that a caller sent may reach the run.
    """

    def __init__(self, drain_s: float) -> None:
        self._drain_s = drain_s
        self._pauses: dict[_Pair, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self._announced_at: dict[_Pair, float] = {}
        self._arrivals: dict[_Pair, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )

    def record_pause(
        self, host: str, run: abc.Hashable, now: float, pause_s: float
    ) -> None:
        """Records that a run asked a host for a pause, when it answered."""
        self._pauses[host, run].append((now, now + pause_s))

    def record_announcement(
        self, host: str, run: abc.Hashable, now: float
    ) -> None:
        """Records that a host received an answer of a leaving run."""
        self._announced_at.setdefault((host, run), now)

    def record_arrival(
        self, host: str, run: abc.Hashable, now: float, sent_at: float
    ) -> None:
        """Records a request at a run that its caller sent at a given time."""
        self._arrivals[host, run].append((now, sent_at))

    def count_pauses(self) -> int:
        """Returns how many answers asked for a pause."""
        return sum(len(pauses) for pauses in self._pauses.values())

    def count_announcements(self) -> int:
        """Returns how many runs announced their shutdown, for each host."""
        return len(self._announced_at)

    def list_problems(self) -> list[str]:
        """Describes the arrivals that should not have been."""
        return [
            *self._list_late_arrivals(),
            *(
                problem
                for (host, run), pauses in self._pauses.items()
                for began_at, until in pauses
                for problem in self._check_pause(host, run, began_at, until)
            ),
        ]

    def _check_pause(
        self, host: str, run: abc.Hashable, began_at: float, until: float
    ) -> list[str]:
        times = [
            now
            for now, _ in self._arrivals[host, run]
            if began_at + PAUSE_GRACE_S < now < until
        ]
        if len(times) <= PAUSE_ARRIVALS:
            return []
        return [
            f"pause: {len(times)} requests of {host} reached {run} from"
            f" {began_at:.3f} to {until:.3f}: {times[:5]}"
        ]

    def _list_late_arrivals(self) -> list[str]:
        return [
            f"leaving: a request of {host} sent at {sent_at:.3f} reached {run}"
            f" at {now:.3f}, announced at {announced_at:.3f}"
            for (host, run), announced_at in self._announced_at.items()
            for now, sent_at in self._arrivals[host, run]
            if sent_at > announced_at + self._drain_s
        ]
