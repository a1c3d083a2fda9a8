"""Checks who owned which key, by the upstreams' own acceptance."""

import collections
from collections import abc
import dataclasses
import functools
import itertools

from sycamoreloft_proof import _history

#: A partition number or a hot key, inside a service ("fleet/service").
_Subject = tuple[str, int | str]


@dataclasses.dataclass(slots=True)
class _Segment:
    """Time for which one upstream held the same content of one group."""

    start: float
    end: float
    upstream: str
    fences: abc.Mapping[_Subject, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Interval:
    """Time for which one upstream held one subject."""

    start: float
    end: float
    upstream: str
    fence: int


def _flatten(grant: _history.GrantAccepted) -> dict[_Subject, int]:
    """Returns the fences of a grant that states its content."""
    fences: dict[_Subject, int] = {}
    for service, partitions in (grant.partitions or {}).items():
        fences.update(((service, n), f) for n, f in partitions.items())
    for service, keys in (grant.hot_keys or {}).items():
        fences.update(((service, key), f) for key, f in keys.items())
    return fences


class _Segments:
    """Builds the segments of all upstreams from events in order of time."""

    def __init__(self) -> None:
        self.finished: list[_Segment] = []
        self._open: dict[tuple[str, str], _Segment] = {}

    @functools.singledispatchmethod
    def add(self, event: object) -> None:
        """Adds one event; others than those below change nothing."""

    @add.register
    def _add_grant(self, event: _history.GrantAccepted) -> None:
        place = (event.upstream, event.group)
        known = self._open.get(place)
        unchanged = event.partitions is None or event.hot_keys is None
        if known and unchanged and event.at <= known.end:
            known.end = event.until
            return
        fences = known.fences if known and unchanged else _flatten(event)
        self._close(place, event.at)
        self._open[place] = _Segment(
            event.at, event.until, event.upstream, fences
        )

    @add.register
    def _add_end(
        self, event: _history.UpstreamEnded | _history.UpstreamStarted
    ) -> None:
        for place in list(self._open):
            if place[0] == event.upstream:
                self._close(place, event.at)

    def _close(self, place: tuple[str, str], at: float) -> None:
        segment = self._open.pop(place, None)
        if segment is not None:
            segment.end = min(segment.end, at)
            if segment.start < segment.end:
                self.finished.append(segment)

    def finish(self) -> list[_Segment]:
        """Returns all segments; the open ones last until they expire."""
        for place, segment in list(self._open.items()):
            self._close(place, segment.end)
        return self.finished


def find_intervals(
    events: abc.Iterable[_history.Event],
) -> dict[_Subject, list[_Interval]]:
    """Returns when each partition and hot key was held, in order of time."""
    segments = _Segments()
    for event in events:
        segments.add(event)
    intervals: dict[_Subject, list[_Interval]] = collections.defaultdict(list)
    for segment in sorted(segments.finish(), key=lambda item: item.start):
        for subject, fence in segment.fences.items():
            intervals[subject].append(
                _Interval(segment.start, segment.end, segment.upstream, fence)
            )
    return dict(intervals)


def count_moved_keys(events: abc.Iterable[_history.Event]) -> tuple[int, int]:
    """Counts partitions that changed owner, and hot keys placed apart."""
    intervals = find_intervals(events)
    moved = sum(
        first.upstream != second.upstream
        for subject, held in intervals.items()
        if isinstance(subject[1], int)
        for first, second in itertools.pairwise(held)
    )
    return moved, sum(isinstance(subject[1], str) for subject in intervals)


def check_overlaps(
    intervals: abc.Mapping[_Subject, abc.Sequence[_Interval]],
) -> abc.Iterator[_history.Violation]:
    """Finds subjects that two upstreams held at one moment."""
    for subject, held in intervals.items():
        latest = held[0]
        for interval in held[1:]:
            if (
                interval.upstream != latest.upstream
                and interval.start < latest.end
            ):
                yield _history.Violation(
                    _history.Condition.ONE_OWNER,
                    interval.start,
                    f"{subject}: {interval.upstream} accepted fence"
                    f" {interval.fence} while {latest.upstream} held fence"
                    f" {latest.fence} for another"
                    f" {latest.end - interval.start:.3f} s",
                )
            if interval.end > latest.end:
                latest = interval


def check_fences(
    intervals: abc.Mapping[_Subject, abc.Sequence[_Interval]],
) -> abc.Iterator[_history.Violation]:
    """Finds partitions whose fence fell or named two upstreams.

    Either means that an acknowledged assignment was lost. Hot keys are left
    out: placing a hot key, removing it and placing it again may begin anew.
    """
    for subject, held in intervals.items():
        if isinstance(subject[1], str):
            continue
        for first, second in itertools.pairwise(held):
            moved = first.upstream != second.upstream
            if second.fence < first.fence or (
                moved and second.fence == first.fence
            ):
                yield _history.Violation(
                    _history.Condition.ASSIGNMENT_SURVIVES,
                    second.start,
                    f"{subject}: {second.upstream} accepted fence"
                    f" {second.fence} after {first.upstream} held"
                    f" {first.fence}",
                )


def check_runs(
    events: abc.Iterable[_history.Event],
    intervals: abc.Mapping[_Subject, abc.Sequence[_Interval]],
) -> abc.Iterator[_history.Violation]:
    """Finds runs of a key that the upstream did not own alone."""
    for event in events:
        if not isinstance(event, _history.RunStarted) or event.partition < 0:
            continue
        hot = _find_holders(intervals, (event.service, event.key), event.at)
        held = _find_holders(
            intervals, (event.service, event.partition), event.at
        )
        # A hot key's own entry takes precedence over its partition.
        owners = hot or held
        if event.upstream not in owners:
            yield _history.Violation(
                _history.Condition.ONE_OWNER,
                event.at,
                f"{event.upstream} ran {event.request} of"
                f" {event.service}/{event.key} (partition"
                f" {event.partition}), owned by {sorted(owners)}",
            )


def _find_holders(
    intervals: abc.Mapping[_Subject, abc.Sequence[_Interval]],
    subject: _Subject,
    at: float,
) -> set[str]:
    return {
        item.upstream
        for item in intervals.get(subject, ())
        if item.start <= at < item.end
    }


def check_stored_assignments(
    events: abc.Sequence[_history.Event],
    intervals: abc.Mapping[_Subject, abc.Sequence[_Interval]],
) -> abc.Iterator[_history.Violation]:
    """Compares what the store recorded over time and with the grants."""
    latest: dict[_Subject, tuple[str, int]] = {}
    for event in events:
        if not isinstance(event, _history.AssignmentsRead):
            continue
        for subject, (upstream, fence) in event.owners.items():
            known = latest.get(subject, (upstream, fence))
            if isinstance(subject[1], int) and (
                fence < known[1] or (fence == known[1] and upstream != known[0])
            ):
                yield _history.Violation(
                    _history.Condition.ASSIGNMENT_SURVIVES,
                    event.at,
                    f"{subject}: the store recorded {known}, later"
                    f" {(upstream, fence)}",
                )
            for item in intervals.get(subject, ()):
                # The store must record a grant before it is sent.
                forgotten = item.start <= event.at and item.fence > fence
                other = item.fence == fence and item.upstream != upstream
                if forgotten or other:
                    yield _history.Violation(
                        _history.Condition.ASSIGNMENT_SURVIVES,
                        item.start,
                        f"{subject}: {item.upstream} was granted fence"
                        f" {item.fence}, but the store recorded"
                        f" {(upstream, fence)} at {event.at:.3f}",
                    )
        latest.update(event.owners)
