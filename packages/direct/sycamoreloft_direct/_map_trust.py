"""Withholds keys while the map of keys may be older than what was granted.

A store that was restored from an older copy names owners of some seconds ago.
Keys that have moved since are held by upstreams that its map does not name. A
coordinator that starts from such a map therefore has each upstream release the
keys that the map does not assign to it. The release carries a fencing token of
the new epoch, so the upstream holds no such key afterwards, and refuses earlier
grants of them. Keys that the map assigns to the upstream are not released: they
remain in service.
"""

from collections import abc
import dataclasses
import enum

from sycamoreloft_direct import (
    _key_commands,
    _key_segments,
    _model,
    _revocations,
)

#: Maximum wait for upstreams that do not release keys, in seconds, where a host
#: has heard the latest map. Such an upstream matters only if keys moved to it
#: in the last moments of the earlier coordinator.
VOUCHED_WAIT_S = 1.0


class MapTrust(enum.Enum):
    """How sure it is that a map names the latest owners of keys."""

    #: The store has recorded the map, and was not restored since.
    RECORDED = "recorded"
    #: The store was restored, and a live host has heard the map from the
    #: earlier coordinator.
    VOUCHED = "vouched"
    #: The store was restored, and no live host is known to have heard its
    #: latest map.
    UNVOUCHED = "unvouched"


@dataclasses.dataclass(frozen=True, slots=True)
class Withholding:
    """Limits of the time in which a coordinator grants no keys."""

    #: Until when to wait even if all listed upstreams have answered, in
    #: seconds. Upstreams that are not listed may hold keys.
    at_least_until: float
    #: Until when to wait for upstreams that do not answer, in seconds.
    at_most_until: float


def compute_withholding(
    trust: MapTrust,
    now: float,
    earlier_until: float,
    times: _key_commands.LeaseTimes,
) -> Withholding:
    """Returns how long a coordinator withholds keys after its election.

    Args:
        trust: How sure it is that the map is the latest.
        now: Time of the election, in seconds.
        earlier_until: Time until which an earlier coordinator may renew
            leases.
        times: Durations of leases.
    """
    if trust is MapTrust.RECORDED:
        return Withholding(now, now)
    if trust is MapTrust.VOUCHED:
        return Withholding(now, now + VOUCHED_WAIT_S)
    longest_s = times.grant_travel_s + times.hold_s * (1 + times.drift)
    return Withholding(now + longest_s, max(now, earlier_until) + longest_s)


class MapCheck:
    """Determines when the keys of an adopted map may be granted.

    Args:
        trust: How sure it is that the map is the latest.
        withholding: Limits of the wait.
    """

    def __init__(self, trust: MapTrust, withholding: Withholding) -> None:
        self._needs_releases = trust is not MapTrust.RECORDED
        self._withholding = withholding
        #: Whether keys are withheld at present.
        self.is_open = self._needs_releases
        #: Upstreams that have not released the keys that the map does not
        #: assign to them; unchanged once the check has ended.
        self.unanswered: abc.Sequence[_model.UpstreamRun] = ()

    def update(
        self, now: float, unanswered: abc.Sequence[_model.UpstreamRun]
    ) -> bool:
        """Returns whether keys are withheld.

        Args:
            now: Time, in seconds.
            unanswered: Upstreams that have not released all keys that they
                must release.
        """
        if not self.is_open:
            return False
        self.unanswered = unanswered
        limits = self._withholding
        if now >= limits.at_most_until or (
            now >= limits.at_least_until and not unanswered
        ):
            self.is_open = False
        return self.is_open

    def revoke_foreign_keys(
        self,
        revocations: _revocations.Revocations,
        segments: abc.Iterable[_key_segments.Segment],
        upstreams: abc.Iterable[_model.Upstream],
        now: float,
    ) -> None:
        """Revokes from upstreams the keys that the map does not assign to them.

        Args:
            revocations: Receives the keys to release.
            segments: Ranges of keys with their owners.
            upstreams: Upstreams that are listed for the first time.
            now: Time, in seconds.
        """
        if not self._needs_releases:
            return
        segments = sorted(segments, key=lambda segment: segment.first)
        for upstream in sorted(upstreams, key=lambda item: item.run):
            for keys in list_foreign_keys(segments, upstream):
                revocations.add(upstream.run, keys, now, owns_nothing=False)


def list_foreign_keys(
    segments: abc.Iterable[_key_segments.Segment], upstream: _model.Upstream
) -> list[_revocations.LostKeys]:
    """Returns the ranges of a service that an upstream does not own.

    Args:
        segments: Ranges of keys, in ascending order of their first key.
        upstream: The upstream.
    """
    foreign = []
    first = 0
    for segment in segments:
        if segment.service != upstream.service or segment.owner != upstream.run:
            continue
        if first < segment.first:
            foreign.append(
                _revocations.LostKeys(
                    upstream.service, first, segment.first - 1
                )
            )
        first = segment.last + 1
    if first < _model.KEY_COUNT:
        foreign.append(
            _revocations.LostKeys(upstream.service, first, _model.KEY_COUNT - 1)
        )
    return foreign
