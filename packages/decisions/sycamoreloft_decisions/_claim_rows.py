"""What the stored rows say of each request id."""

from collections import abc

from sycamoreloft_decisions import _claim_events


def reduce_entries(
    entries: abc.Iterable[_claim_events.ClaimEntry],
) -> list[_claim_events.ClaimEntry]:
    """Returns one entry for each id that may have run.

    The order of the rows does not matter, because rows of several groups and
    epochs have no common order. An id is free only if every attempt that
    claimed it is known not to have run. A completed attempt is preferred over
    one of which nothing is known.
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
