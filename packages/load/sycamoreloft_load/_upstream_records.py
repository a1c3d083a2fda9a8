"""Observations of this host about one run of an upstream."""

import dataclasses
import enum
import math

import sycamoreloft_direct
from sycamoreloft_load import _pace, _reported_loads

#: An upstream is considered stalled if its oldest request is older than this
#: multiple of its mean latency and it has answered nothing since.
STALL_FACTOR = 5.0

#: Minimum age of the oldest request of a stalled upstream, in seconds.
MINIMUM_STALL_S = 0.6

#: Adjustments to the share of requests that an owner of keys gets: each request
#: without an answer multiplies the share, and each answer adds to it. Refused
#: requests don't change it, because a refusal is quick and shows that the
#: request did not run.
SHARE_BACK_OFF = 0.85
SHARE_RECOVERY = 0.02

#: Minimum of this share.
MINIMUM_SHARE = 0.2


class AttemptResult(enum.Enum):
    """Result of sending a request to an upstream."""

    #: The upstream answered the request.
    ANSWERED = "answered"
    #: The upstream answered with an error of its own.
    FAILED = "failed"
    #: The upstream refused the request, which did not run.
    REFUSED = "refused"
    #: Another upstream answered at the address. The request did not run.
    REPLACED = "replaced"
    #: The upstream stopped accepting requests before this one was sent.
    WITHDRAWN = "withdrawn"
    #: No connection could be made.
    UNREACHABLE = "unreachable"
    #: The connection broke, or the answer was malformed.
    BROKEN = "broken"
    #: The upstream reset the connection before any byte of an answer, as
    #: some upstreams do when they are full.
    RESET = "reset"
    #: No answer arrived in time.
    SILENT = "silent"
    #: The attempt ended early, for example because the caller disconnected.
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True)
class UpstreamRecord:
    """Observations of this host about one run of an upstream.

    Times are seconds on the clock of this host.
    """

    #: The entry in service discovery.
    entry: sycamoreloft_direct.Upstream
    #: When this host first saw the entry.
    seen_at: float
    #: When this host first saw that the upstream is draining; infinite if it
    #: is not.
    leaving_since: float = math.inf
    #: Start times of the requests in flight, by attempt, oldest first.
    in_flight: dict[object, float] = dataclasses.field(default_factory=dict)
    #: Moving average of the latency, in seconds.
    latency_s: float = _reported_loads.DEFAULT_LATENCY_S
    #: Number of answers in that average.
    answers: int = 0
    #: Moving average of the share of failed attempts.
    failure_share: float = 0.0
    #: Number of successive unreachable, broken or silent attempts.
    failures: int = 0
    #: Time until which the upstream is ejected.
    ejected_until: float = 0.0
    #: Time until which another upstream is assumed to use the address.
    replaced_until: float = 0.0
    #: Time until which the upstream wants no requests from this host.
    paused_until: float = 0.0
    #: Duration of the last ejection, in seconds; 0 after an answer.
    ejection_s: float = 0.0
    #: When the upstream last answered or refused a request.
    answered_at: float = 0.0
    #: Share of the requests for its keys that is sent to the upstream.
    share: float = 1.0
    #: Pace after a start or a setback; None if there is no limit.
    pace: _pace.Pace | None = None
    #: The latest load that the upstream reported, or None.
    report: _reported_loads.LoadReport | None = None


def is_stalled(record: UpstreamRecord, now: float) -> bool:
    """Returns whether an upstream stopped answering its requests."""
    if not record.in_flight:
        return False
    oldest = next(iter(record.in_flight.values()))
    limit = max(MINIMUM_STALL_S, STALL_FACTOR * record.latency_s)
    return now - max(oldest, record.answered_at) > limit


def update_entry(
    record: UpstreamRecord, entry: sycamoreloft_direct.Upstream, now: float
) -> None:
    """Replaces the entry of a run."""
    if entry.address != record.entry.address:
        record.replaced_until = 0.0
    if entry.warm_up_s and not record.entry.warm_up_s:
        # The run became cold again.
        record.pace = _pace.begin(now, entry.warm_up_s)
    record.entry = entry
    update_leaving_since(record, now)


def update_leaving_since(record: UpstreamRecord, now: float) -> None:
    """Sets since when a run is draining."""
    if not record.entry.is_draining:
        record.leaving_since = math.inf
    elif record.leaving_since > now:
        record.leaving_since = now


def adjust_share(share: float, result: AttemptResult) -> float:
    """Returns the share of an owner of keys after an attempt."""
    if result is AttemptResult.SILENT:
        return max(MINIMUM_SHARE, share * SHARE_BACK_OFF)
    if result is AttemptResult.ANSWERED:
        return min(1.0, share + SHARE_RECOVERY)
    return share
