"""Observations of a host about the runs of upstreams."""

import dataclasses
import math

import sycamoreloft_direct

#: Latency that is assumed for an upstream without answers if no upstream of
#: its service has answered yet, in seconds.
DEFAULT_LATENCY_S = 0.15


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
    latency_s: float = DEFAULT_LATENCY_S
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
    #: When the upstream last refused a request.
    refused_at: float = -1e9


def update_entry(
    record: UpstreamRecord, entry: sycamoreloft_direct.Upstream, now: float
) -> None:
    """Replaces the entry of a run."""
    if entry.address != record.entry.address:
        record.replaced_until = 0.0
    record.entry = entry
    update_leaving_since(record, now)


def update_leaving_since(record: UpstreamRecord, now: float) -> None:
    """Sets since when a run is draining."""
    if not record.entry.is_draining:
        record.leaving_since = math.inf
    elif record.leaving_since > now:
        record.leaving_since = now
