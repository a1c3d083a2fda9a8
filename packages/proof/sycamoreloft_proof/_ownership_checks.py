"""Checks the ownership of keys by the grants that upstreams accepted."""

import collections
from collections import abc
import dataclasses
import functools
import itertools

from sycamoreloft_proof import _history

#: A partition number or a hot key, inside a service ("fleet/service").
_Unit = tuple[str, int | str]


@dataclasses.dataclass(slots=True)
class _Segment:
    """Interval in which one upstream held unchanged fences of one group."""

    start: float
    end: float
    upstream: str
    fences: abc.Mapping[_Unit, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Interval:
    """Interval in which one upstream held one partition or hot key."""

    start: float
    end: float
    upstream: str
    fence: int


def _flatten(grant: _history.GrantAccepted) -> dict[_Unit, int]:
    """Returns the fences of a grant that states its content."""
    fences: dict[_Unit, int] = {}
    for service, partitions in (grant.partitions or {}).items():
        fences.update(((service, n), f) for n, f in partitions.items())
    for service, keys in (grant.hot_keys or {}).items():
        fences.update(((service, key), f) for key, f in keys.items())
    return fences


class _Segments:
    """Builds the segments of all upstreams from events ordered by time."""

    def __init__(self) -> None:
        self.finished: list[_Segment] = []
        self._open: dict[tuple[str, str], _Segment] = {}

    @functools.singledispatchmethod
    def add(self, event: object) -> None:
        """Adds one event; types without a handler below are ignored."""

    @add.register
    def _add_grant(self, event: _history.GrantAccepted) -> None:
        source = (event.upstream, event.group)
        known = self._open.get(source)
        unchanged = event.partitions is None or event.hot_keys is None
        if known and unchanged and event.at <= known.end:
            known.end = event.until
            return
        fences = known.fences if known and unchanged else _flatten(event)
        self._close(source, event.at)
        self._open[source] = _Segment(
            event.at, event.until, event.upstream, fences
        )

    @add.register
    def _add_end(
        self, event: _history.UpstreamEnded | _history.UpstreamStarted
    ) -> None:
        for source in list(self._open):
            if source[0] == event.upstream:
                self._close(source, event.at)

    def _close(self, source: tuple[str, str], at: float) -> None:
        segment = self._open.pop(source, None)
        if segment is not None:
            segment.end = min(segment.end, at)
            if segment.start < segment.end:
                self.finished.append(segment)

    def finish(self) -> list[_Segment]:
        """Returns all segments; open ones end when their grant expires."""
        for source, segment in list(self._open.items()):
            self._close(source, segment.end)
        return self.finished


def find_intervals(
    events: abc.Iterable[_history.Event],
) -> dict[_Unit, list[_Interval]]:
    """Returns the intervals of each partition and hot key, ordered by time."""
    segments = _Segments()
    for event in events:
        segments.add(event)
    intervals: dict[_Unit, list[_Interval]] = collections.defaultdict(list)
    for segment in sorted(segments.finish(), key=lambda item: item.start):
        for unit, fence in segment.fences.items():
            intervals[unit].append(
                _Interval(segment.start, segment.end, segment.upstream, fence)
            )
    return dict(intervals)


def count_moved_keys(events: abc.Iterable[_history.Event]) -> tuple[int, int]:
    """Counts moves of partitions, and hot keys with an own assignment."""
    intervals = find_intervals(events)
    moved = sum(
        first.upstream != second.upstream
        for unit, held in intervals.items()
        if isinstance(unit[1], int)
        for first, second in itertools.pairwise(held)
    )
    return moved, sum(isinstance(unit[1], str) for unit in intervals)


def check_overlaps(
    intervals: abc.Mapping[_Unit, abc.Sequence[_Interval]],
) -> abc.Iterator[_history.Violation]:
    """Finds partitions and hot keys that two upstreams held concurrently."""
    for unit, held in intervals.items():
        latest = held[0]
        for interval in held[1:]:
            if (
                interval.upstream != latest.upstream
                and interval.start < latest.end
            ):
                yield _history.Violation(
                    _history.Condition.ONE_OWNER,
                    interval.start,
                    f"{unit}: {interval.upstream} accepted fence"
                    f" {interval.fence} while {latest.upstream} held fence"
                    f" {latest.fence} for another"
                    f" {latest.end - interval.start:.3f} s",
                )
            if interval.end > latest.end:
                latest = interval


def check_fences(
    intervals: abc.Mapping[_Unit, abc.Sequence[_Interval]],
) -> abc.Iterator[_history.Violation]:
    """Finds partitions whose fence fell or was granted to two upstreams.

    Both mean that an acknowledged assignment was lost. Hot keys are not
    checked: if one is removed and placed again, its fences may restart.
    """
    for unit, held in intervals.items():
        if isinstance(unit[1], str):
            continue
        for first, second in itertools.pairwise(held):
            moved = first.upstream != second.upstream
            if second.fence < first.fence or (
                moved and second.fence == first.fence
            ):
                yield _history.Violation(
                    _history.Condition.ASSIGNMENT_SURVIVES,
                    second.start,
                    f"{unit}: {second.upstream} accepted fence"
                    f" {second.fence} after {first.upstream} held"
                    f" {first.fence}",
                )


def check_runs(
    events: abc.Iterable[_history.Event],
    intervals: abc.Mapping[_Unit, abc.Sequence[_Interval]],
) -> abc.Iterator[_history.Violation]:
    """Finds runs on an upstream that did not own the key."""
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
    intervals: abc.Mapping[_Unit, abc.Sequence[_Interval]],
    unit: _Unit,
    at: float,
) -> set[str]:
    return {
        item.upstream
        for item in intervals.get(unit, ())
        if item.start <= at < item.end
    }


def check_stored_assignments(
    events: abc.Sequence[_history.Event],
    intervals: abc.Mapping[_Unit, abc.Sequence[_Interval]],
) -> abc.Iterator[_history.Violation]:
    """Finds stored assignments that were lost or contradict a grant."""
    latest: dict[_Unit, tuple[str, int]] = {}
    for event in events:
        if not isinstance(event, _history.AssignmentsRead):
            continue
        for unit, (upstream, fence) in event.owners.items():
            known = latest.get(unit, (upstream, fence))
            if isinstance(unit[1], int) and (
                fence < known[1] or (fence == known[1] and upstream != known[0])
            ):
                yield _history.Violation(
                    _history.Condition.ASSIGNMENT_SURVIVES,
                    event.at,
                    f"{unit}: the store recorded {known}, later"
                    f" {(upstream, fence)}",
                )
            for item in intervals.get(unit, ()):
                # The store must record a grant before it is sent.
                forgotten = item.start <= event.at and item.fence > fence
                other = item.fence == fence and item.upstream != upstream
                if forgotten or other:
                    yield _history.Violation(
                        _history.Condition.ASSIGNMENT_SURVIVES,
                        item.start,
                        f"{unit}: {item.upstream} was granted fence"
                        f" {item.fence}, but the store recorded"
                        f" {(upstream, fence)} at {event.at:.3f}",
                    )
        latest.update(event.owners)
