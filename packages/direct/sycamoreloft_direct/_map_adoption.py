"""State of a coordinator's key ranges at its start, from the recorded map."""

from sycamoreloft_direct import _key_map, _key_segments, _lease_ends


def adopt_map(
    key_map: _key_map.KeyMap,
    table: _key_segments.SegmentTable,
    leases: _lease_ends.LeaseEnds,
    highest_fence: int,
    now: float,
    earlier_until: float,
) -> None:
    """Adds the ranges of a map to a table.

    Args:
        key_map: The map.
        table: Receives the ranges.
        leases: Receives the grants that earlier coordinators may have sent.
        highest_fence: Highest token that these grants may have.
        now: Time, in seconds.
        earlier_until: Time until which an earlier coordinator may still renew
            the leases of the owners.
    """
    for keys in key_map.services.values():
        for key_range in keys.ranges:
            # Keys without an owner need no wait: if an owner lost them, the
            # earlier coordinator waited for its lease before recording the
            # loss.
            segment = _key_segments.Segment(
                keys.service,
                key_range.first,
                key_range.last,
                _key_segments.Phase.VACANT,
            )
            if key_range.owner is not None:
                segment.phase = _key_segments.Phase.HELD
                segment.owner = key_range.owner
                # Assume that the earlier coordinator granted the keys.
                segment.is_accepted = True
                segment.fence = table.create_fence()
                segment.due_at = now
                leases.assume_earlier_grants(
                    keys.service,
                    key_range.first,
                    key_range.last,
                    key_range.owner,
                    highest_fence,
                    earlier_until,
                )
            table.add(segment)
