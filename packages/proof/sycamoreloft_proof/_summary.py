"""Counts and tables that the demo and the soak print about a history."""

import collections
from collections import abc
import dataclasses

from sycamoreloft_proof import _history, _ownership_checks


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Counts of one test run."""

    #: Requests that callers sent, retries included.
    requests_sent: int
    #: Requests answered as completed, retries of finished operations included.
    whole_answers: int
    #: Requests whose reported outcome is did-not-run.
    did_not_run: int
    #: Requests whose caller does not know whether they ran.
    unknown: int
    #: Requests that upstreams started to process.
    runs: int
    #: Changes of owner, summed over all partitions.
    partitions_moved: int
    #: Hot keys that got an assignment apart from their partition.
    hot_keys_placed: int
    #: Violations by condition.
    violations: abc.Mapping[_history.Condition, int]
    #: Requests that were not completed, by outcome and reason.
    reasons: abc.Mapping[str, int]

    @property
    def wrong_answers(self) -> int:
        """Answers with content of another request or without all content."""
        return self.violations.get(_history.Condition.OWN_WHOLE_ANSWER, 0)

    @property
    def repeated_runs(self) -> int:
        """Runs of an operation that had already run."""
        return self.violations.get(_history.Condition.AT_MOST_ONCE, 0)

    @property
    def false_did_not_run(self) -> int:
        """Requests that ran although their outcome was did-not-run."""
        return self.violations.get(_history.Condition.DID_NOT_RUN, 0)

    @property
    def slots_exceeded(self) -> int:
        """Requests that reached an upstream without a free slot."""
        return self.violations.get(_history.Condition.SLOTS, 0)


def summarize(
    events: abc.Iterable[_history.Event],
    violations: abc.Iterable[_history.Violation],
) -> Summary:
    """Counts the events and violations of a history."""
    ordered = sorted(events, key=lambda event: event.at)
    kinds = collections.Counter(type(event) for event in ordered)
    outcomes = collections.Counter(
        event.outcome
        for event in ordered
        if isinstance(event, _history.AnswerReceived)
    )
    reasons = collections.Counter(
        f"{event.outcome}: {event.reason or event.ending}"
        for event in ordered
        if isinstance(event, _history.AnswerReceived)
        and event.outcome != _history.Outcome.COMPLETED
    )
    moved, hot_keys = _ownership_checks.count_moved_keys(ordered)
    return Summary(
        requests_sent=kinds[_history.RequestSent],
        whole_answers=outcomes[_history.Outcome.COMPLETED],
        did_not_run=outcomes[_history.Outcome.DID_NOT_RUN],
        unknown=outcomes[_history.Outcome.UNKNOWN],
        runs=kinds[_history.RunStarted],
        partitions_moved=moved,
        hot_keys_placed=hot_keys,
        violations=dict(
            collections.Counter(item.condition for item in violations)
        ),
        reasons=dict(reasons.most_common()),
    )


def describe_violations(
    violations: abc.Iterable[_history.Violation], examples: int = 3
) -> str:
    """Formats the number and first few violations of each condition.

    One fault may violate a condition hundreds of times; the limit keeps the
    other conditions visible.
    """
    by_condition = collections.defaultdict(list)
    for violation in violations:
        by_condition[violation.condition].append(violation.detail)
    return "".join(
        f"violated {len(details)} times: {condition}\n"
        + "".join(f"  {detail}\n" for detail in details[:examples])
        for condition, details in by_condition.items()
    )


def format_table(rows: abc.Iterable[tuple[str, object]]) -> str:
    """Formats pairs of name and value as aligned lines."""
    listed = [(name, str(value)) for name, value in rows]
    name_width = max(len(name) for name, _ in listed)
    value_width = max(len(value) for _, value in listed)
    return "\n".join(
        f"  {name:<{name_width}}  {value:>{value_width}}"
        for name, value in listed
    )


def list_rows(summary: Summary) -> list[tuple[str, object]]:
    """Returns the rows that the tables of demo and soak share."""
    return [
        ("requests sent", summary.requests_sent),
        ("whole answers", summary.whole_answers),
        ("did not run", summary.did_not_run),
        ("unknown", summary.unknown),
        ("runs on upstreams", summary.runs),
        ("wrong answers", summary.wrong_answers),
        ("repeated runs", summary.repeated_runs),
        ("false did-not-run", summary.false_did_not_run),
        ("slots exceeded", summary.slots_exceeded),
        ("partitions moved", summary.partitions_moved),
        ("hot keys placed apart", summary.hot_keys_placed),
        *((f"  {name[:60]}", n) for name, n in summary.reasons.items()),
    ]
