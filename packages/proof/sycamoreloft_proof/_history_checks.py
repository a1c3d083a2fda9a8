"""Checks a history against the conditions of section 1.1."""

import collections
from collections import abc
import heapq
import math

from sycamoreloft_proof import _history, _ownership_checks

#: Time after which a leaving upstream receives no new work (section 1.1).
LEAVING_BOUND_S = 3.0
#: Time within which an accepted file is in force everywhere (section 1.6).
IN_FORCE_BOUND_S = 7.0

_Events = abc.Sequence[_history.Event]
_Violations = abc.Iterator[_history.Violation]


def check_history(
    events: abc.Iterable[_history.Event],
) -> list[_history.Violation]:
    """Lists every violation that the events show, in order of time.

    Args:
        events: Events of one whole run, from all sources, in any order.
    """
    ordered = sorted(events, key=lambda event: event.at)
    intervals = _ownership_checks.find_intervals(ordered)
    violations = [
        *_ownership_checks.check_overlaps(intervals),
        *_ownership_checks.check_fences(intervals),
        *_ownership_checks.check_runs(ordered, intervals),
        *_ownership_checks.check_stored_assignments(ordered, intervals),
        *_check_answers(ordered),
        *_check_at_most_once(ordered),
        *_check_leaving(ordered),
        *_check_planned_stops(ordered),
        *_check_files(ordered),
        *_check_slots(ordered),
    ]
    return sorted(violations, key=lambda violation: violation.at)


def _find_runs(
    events: _Events,
) -> dict[str, list[_history.RunStarted]]:
    """Returns the runs by the request that they ran."""
    runs = collections.defaultdict(list)
    for event in events:
        if isinstance(event, _history.RunStarted):
            runs[event.request].append(event)
    return dict(runs)


def _find_operations(events: _Events) -> dict[str, tuple[str, str]]:
    """Returns the identities of at-most-once operations by request."""
    return {
        event.request: (event.fleet, event.idempotency_key)
        for event in events
        if isinstance(event, _history.RequestSent) and event.at_most_once
    }


def _check_answers(events: _Events) -> _Violations:
    """Compares each answer with what the upstreams ran."""
    runs = _find_runs(events)
    operations = _find_operations(events)
    ran_operations = {operations[name] for name in runs if name in operations}
    for event in events:
        if not isinstance(event, _history.AnswerReceived):
            continue
        ran = runs.get(event.request, [])
        if event.outcome == _history.Outcome.DID_NOT_RUN and ran:
            yield _history.Violation(
                _history.Condition.DID_NOT_RUN,
                event.at,
                f"{event.request} was answered did-not-run"
                f" ({event.status} {event.reason}), but {ran[0].upstream}"
                f" ran it {event.at - ran[0].at:.3f} s before",
            )
        if event.outcome != _history.Outcome.COMPLETED:
            continue
        if event.echo_expected and not event.echo_matches:
            yield _history.Violation(
                _history.Condition.OWN_WHOLE_ANSWER,
                event.at,
                f"{event.request} was answered with other content"
                f" (status {event.status})",
            )
        elif event.ending != _history.Ending.WHOLE:
            yield _history.Violation(
                _history.Condition.OWN_WHOLE_ANSWER,
                event.at,
                f"{event.request} counts as completed, but its answer"
                f" ended as {event.ending}",
            )
        # A repeated operation is answered with what its first run brought.
        elif not ran and operations.get(event.request) not in ran_operations:
            yield _history.Violation(
                _history.Condition.OWN_WHOLE_ANSWER,
                event.at,
                f"{event.request} was answered completed, but no upstream"
                " ran it",
            )


def _check_at_most_once(events: _Events) -> _Violations:
    """Counts the runs of each operation that must not be repeated."""
    operations = _find_operations(events)
    first_runs: dict[tuple[str, str], _history.RunStarted] = {}
    for event in events:
        if not isinstance(event, _history.RunStarted):
            continue
        operation = operations.get(event.request)
        if operation is None:
            continue
        first = first_runs.setdefault(operation, event)
        if first is not event:
            yield _history.Violation(
                _history.Condition.AT_MOST_ONCE,
                event.at,
                f"operation {operation} ran on {first.upstream} as"
                f" {first.request} and on {event.upstream} as"
                f" {event.request}",
            )


def _check_leaving(events: _Events) -> _Violations:
    """Finds requests that came to an upstream long after it was leaving."""
    leaving_since: dict[str, float] = {}
    for event in events:
        if isinstance(event, _history.FileAccepted):
            leaving_since = {
                upstream: leaving_since.get(upstream, event.at)
                for upstream in event.leaving
            }
        elif isinstance(event, _history.RunStarted):
            since = leaving_since.get(event.upstream, math.inf)
            if event.arrived_at > since + LEAVING_BOUND_S:
                yield _history.Violation(
                    _history.Condition.LEAVING,
                    event.at,
                    f"{event.upstream} received {event.request}"
                    f" {event.arrived_at - since:.3f} s after it was leaving",
                )


def _find_faulty_requests(events: _Events) -> set[str]:
    """Returns requests whose answer an upstream broke or never finished."""
    requests = {}
    for event in events:
        if isinstance(event, _history.RunStarted):
            requests[event.run] = event.request
        elif isinstance(event, _history.RunEnded) and not event.broken:
            requests.pop(event.run, None)
    return set(requests.values())


def _find_stops(
    events: _Events,
) -> dict[str, list[tuple[float, float]]]:
    """Returns the begin and end of each planned stop by router."""
    stops: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
    for event in events:
        if isinstance(event, _history.StopBegan):
            stops[event.router].append((event.at, math.inf))
        elif isinstance(event, _history.StopEnded) and stops[event.router]:
            began, _ = stops[event.router].pop()
            stops[event.router].append((began, event.at))
    return dict(stops)


def _check_planned_stops(events: _Events) -> _Violations:
    """Finds requests that were cut while their router stopped as planned."""
    stops = _find_stops(events)
    faulty = _find_faulty_requests(events)
    sent: dict[str, _history.RequestSent] = {}
    for event in events:
        if isinstance(event, _history.RequestSent):
            sent[event.request] = event
        elif isinstance(event, _history.StopEnded) and event.exit_code != 0:
            yield _history.Violation(
                _history.Condition.PLANNED_STOP,
                event.at,
                f"{event.router} ended with exit code {event.exit_code}",
            )
        if (
            not isinstance(event, _history.AnswerReceived)
            or event.ending != _history.Ending.CUT
            or event.request not in sent
            or event.request in faulty
        ):
            continue
        request = sent[event.request]
        for began, ended in stops.get(request.router, ()):
            if event.at >= began and request.at <= ended:
                yield _history.Violation(
                    _history.Condition.PLANNED_STOP,
                    event.at,
                    f"{event.request}, sent {request.at - began:+.3f} s from"
                    f" the begin of the planned stop of {request.router},"
                    " was cut",
                )


def _check_files(events: _Events) -> _Violations:
    """Finds hosts that lag behind an accepted file or go back."""
    accepted: list[_history.FileAccepted] = []
    read: dict[str, _history.GenerationRead] = {}
    for event in events:
        if isinstance(event, _history.FileAccepted):
            accepted.append(event)
        if not isinstance(event, _history.GenerationRead):
            continue
        known = read.get(event.router)
        if known is not None and event.generation < known.generation:
            yield _history.Violation(
                _history.Condition.FILE_IN_FORCE,
                event.at,
                f"{event.router} went back from generation"
                f" {known.generation} to {event.generation}",
            )
        read[event.router] = event
        for file in accepted:
            late = event.asked_at > file.at + IN_FORCE_BOUND_S
            if late and event.generation < file.generation:
                yield _history.Violation(
                    _history.Condition.FILE_IN_FORCE,
                    event.at,
                    f"{event.router} has generation {event.generation}"
                    f" {event.asked_at - file.at:.3f} s after generation"
                    f" {file.generation} was accepted",
                )


def _check_slots(events: _Events) -> _Violations:
    """Finds moments with more requests in hand than the upstream has slots.

    Cancelled requests are left out, because an upstream may learn of a
    cancellation after the next request has arrived.
    """
    ends = {
        event.run: event
        for event in events
        if isinstance(event, _history.RunEnded)
    }
    slots: dict[str, int] = {}
    in_hand: dict[str, list[float]] = collections.defaultdict(list)
    arrivals = []
    for event in events:
        if isinstance(event, _history.UpstreamStarted):
            slots[event.upstream] = event.slots
        elif isinstance(event, _history.RunStarted):
            arrivals.append(event)
    for event in sorted(arrivals, key=lambda item: item.arrived_at):
        end = ends.get(event.run)
        # A run without an end was lost with its process.
        if end is None or end.cancelled:
            continue
        running = in_hand[event.upstream]
        while running and running[0] <= event.arrived_at:
            heapq.heappop(running)
        heapq.heappush(running, end.at)
        if len(running) > slots.get(event.upstream, math.inf):
            yield _history.Violation(
                _history.Condition.SLOTS,
                event.arrived_at,
                f"{event.upstream} had {len(running)} requests in hand when"
                f" {event.request} arrived, with {slots[event.upstream]}"
                " slots",
            )
