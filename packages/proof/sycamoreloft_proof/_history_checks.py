"""Checks a history against the conditions of section 1.1 of the design."""

import collections
from collections import abc
import heapq
import math

from sycamoreloft_proof import _history, _ownership_checks

#: A leaving upstream receives no new requests after this time (section 1.1 of
#: the design).
LEAVING_BOUND_S = 3.0
#: All ready routers apply an accepted file within this time (section 1.6 of
#: the design).
IN_FORCE_BOUND_S = 7.0

_Events = abc.Sequence[_history.Event]
_Violations = abc.Iterator[_history.Violation]


def check_history(
    events: abc.Iterable[_history.Event],
) -> list[_history.Violation]:
    """Returns all violations that the events show, ordered by time.

    Args:
        events: Events of one complete test run, from all sources, in any
            order.
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


def _group_runs_by_request(
    events: _Events,
) -> dict[str, list[_history.RunStarted]]:
    """Returns the runs, grouped by request."""
    runs = collections.defaultdict(list)
    for event in events:
        if isinstance(event, _history.RunStarted):
            runs[event.request].append(event)
    return dict(runs)


def _list_at_most_once_operations(
    events: _Events,
) -> dict[str, tuple[str, str]]:
    """Returns fleet and idempotency key of at-most-once requests."""
    return {
        event.request: (event.fleet, event.idempotency_key)
        for event in events
        if isinstance(event, _history.RequestSent) and event.at_most_once
    }


def _check_answers(events: _Events) -> _Violations:
    """Checks each answer against the runs that the upstreams logged."""
    runs = _group_runs_by_request(events)
    operations = _list_at_most_once_operations(events)
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
        # A retried operation gets the result of its first run, so it needs no
        # run of its own.
        elif not ran and operations.get(event.request) not in ran_operations:
            yield _history.Violation(
                _history.Condition.OWN_WHOLE_ANSWER,
                event.at,
                f"{event.request} was answered completed, but no upstream"
                " ran it",
            )


def _check_at_most_once(events: _Events) -> _Violations:
    """Finds at-most-once operations that ran more than once."""
    operations = _list_at_most_once_operations(events)
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
    """Finds requests that a leaving upstream received after the bound."""
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
    """Returns requests whose answer an upstream damaged or never finished."""
    requests = {}
    for event in events:
        if isinstance(event, _history.RunStarted):
            requests[event.run] = event.request
        elif isinstance(event, _history.RunEnded) and not event.broken:
            requests.pop(event.run, None)
    return set(requests.values())


def _list_planned_stops(
    events: _Events,
) -> dict[str, list[tuple[float, float]]]:
    """Returns start and end of each planned stop, by router."""
    stops: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
    for event in events:
        if isinstance(event, _history.StopBegan):
            stops[event.router].append((event.at, math.inf))
        elif isinstance(event, _history.StopEnded) and stops[event.router]:
            began, _ = stops[event.router].pop()
            stops[event.router].append((began, event.at))
    return dict(stops)


def _check_planned_stops(events: _Events) -> _Violations:
    """Finds requests that were cut during a planned stop of their router."""
    stops = _list_planned_stops(events)
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
                    f" the start of the planned stop of {request.router},"
                    " was cut",
                )


def _check_files(events: _Events) -> _Violations:
    """Finds routers that apply a file too late or return to an older one."""
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
    """Finds upstreams that had more requests than slots.

    Cancelled requests are not counted, because an upstream may learn of a
    cancellation only after the next request has arrived.
    """
    ends = {
        event.run: event
        for event in events
        if isinstance(event, _history.RunEnded)
    }
    slots: dict[str, int] = {}
    end_times: dict[str, list[float]] = collections.defaultdict(list)
    arrivals = []
    for event in events:
        if isinstance(event, _history.UpstreamStarted):
            slots[event.upstream] = event.slots
        elif isinstance(event, _history.RunStarted):
            arrivals.append(event)
    for event in sorted(arrivals, key=lambda arrival: arrival.arrived_at):
        end = ends.get(event.run)
        # A run without an end was lost when its process ended.
        if end is None or end.cancelled:
            continue
        running = end_times[event.upstream]
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
