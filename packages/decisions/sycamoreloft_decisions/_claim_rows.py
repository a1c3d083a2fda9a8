"""Derives the state of each request id from the stored claim rows."""

from collections import abc

from sycamoreloft_decisions import _claim_events


def reduce_entries(
    entries: abc.Iterable[_claim_events.ClaimEntry],
) -> list[_claim_events.ClaimEntry]:
    """Returns one entry for each request id that may have run.

    The result does not depend on the order of the entries, because the rows of
    different groups and epochs have no common order. A request id is free only
    if all attempts that claimed it are known not to have run. A completed
    attempt takes precedence over one with an unknown outcome.
    """
    attempts: dict[bytes, dict[str, _claim_events.ClaimEntry]] = {}
    for entry in entries:
        known = attempts.setdefault(entry.id_hash, {})
        if entry.outcome or entry.attempt not in known:
            earlier = known.get(entry.attempt)
            if earlier is None or earlier.outcome != "completed":
                known[entry.attempt] = entry
    reduced = []
    for known in attempts.values():
        left = [
            entry for entry in known.values() if entry.outcome != "did-not-run"
        ]
        if left:
            reduced.append(
                max(left, key=lambda entry: entry.outcome == "completed")
            )
    return reduced
