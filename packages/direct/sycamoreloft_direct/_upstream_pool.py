"""Chooses an upstream by what this host has observed of each."""

from collections import abc
import dataclasses
import enum
import math
import random

from sycamoreloft_direct import _nodes

#: Share of a new observation in a moving average.
GAIN = 0.15

#: Time of an answer that is assumed of an unknown upstream, in seconds.
DEFAULT_LATENCY_S = 0.15

#: Least time of an answer, and least share of successes, that a choice is
#: made by.
LEAST_LATENCY_S = 0.001
LEAST_SUCCESS = 0.05

#: Failures in a row after which an upstream is left out for a time.
FAILURES_TO_EJECT = 2

#: Seconds for which an upstream is left out the first time; doubles.
FIRST_EJECTION_S = 1.0

#: Longest ejection, in seconds.
LONGEST_EJECTION_S = 4.0

#: Preference for the own failure domain, as a factor of the weight.
LOCAL_PREFERENCE = 2.0

#: The same for large bodies, whose bytes between domains cost more.
LOCAL_UPLOAD_PREFERENCE = 6.0

#: An upstream whose oldest request is older than this many of its usual
#: answer times, and which answered nothing since, is thought to hang.
STALL_FACTOR = 5.0

#: Least age of that request, in seconds.
MINIMUM_STALL_S = 0.6

#: Seconds for which an address that answered as another upstream is not used.
#: The other one keeps it; the entry that names the former one lapses.
REPLACED_S = 4.0

#: Factor of the weight of an upstream that hangs or is ejected.
AVOIDED = 0.001

#: Factor of the weight while an upstream warms up.
WARM_UP_WEIGHT = 0.5

#: Seconds for which a refusal lowers the weight of an upstream.
SHED_MEMORY_S = 0.5

#: Factor of the weight during this time.
SHED_WEIGHT = 0.3


#: Factor of the share of requests that an owner of keys gets after a silence,
#: and what each answer adds. An owner that refuses what it cannot queue needs
#: no such share: its refusals are quick, and tell that nothing ran.
SHARE_BACK_OFF = 0.85
SHARE_RECOVERY = 0.02

#: Least share.
LEAST_SHARE = 0.2


class AttemptResult(enum.Enum):
    """How an attempt at an upstream ended."""

    #: The upstream answered the request.
    ANSWERED = "answered"
    #: The upstream answered with a failure of its own.
    FAILED = "failed"
    #: The upstream refused; the request did not run.
    REFUSED = "refused"
    #: Another upstream answered at the address; the request did not run.
    REPLACED = "replaced"
    #: No connection could be made.
    UNREACHABLE = "unreachable"
    #: The connection broke, or the answer was no valid one.
    BROKEN = "broken"
    #: No answer came in time.
    SILENT = "silent"
    #: The caller left, or the attempt was ended for another reason.
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True)
class UpstreamRecord:
    """What this host knows of one run of an upstream."""

    #: The entry in service discovery.
    entry: _nodes.Upstream
    #: When the entry was first seen.
    seen_at: float
    #: When the upstream was first seen to leave; infinite if it does not.
    leaving_since: float = math.inf
    #: Start times of the requests in flight, by attempt.
    in_flight: dict[object, float] = dataclasses.field(default_factory=dict)
    #: Moving average of the time of an answer, in seconds.
    latency_s: float = DEFAULT_LATENCY_S
    #: Answers that the average is made of.
    answers: int = 0
    #: Moving average of the share of failed attempts.
    failure_share: float = 0.0
    #: Unreachable, broken or silent attempts in a row.
    failures: int = 0
    #: Time until which the upstream is left out.
    ejected_until: float = 0.0
    #: Time until which another upstream is taken to have the address.
    replaced_until: float = 0.0
    #: Length of the last ejection, in seconds.
    ejection_s: float = 0.0
    #: When the upstream answered anything last.
    answered_at: float = 0.0
    #: Share of the requests for its keys that the upstream gets at present.
    share: float = 1.0
    #: When the upstream refused a request last.
    refused_at: float = -1e9


class UpstreamPool:
    """Records of all upstreams of all services.

    Args:
        failure_domain: Failure domain of this host.
        generator: Source of the random choices.
    """

    def __init__(self, failure_domain: str, generator: random.Random) -> None:
        self._failure_domain = failure_domain
        self._generator = generator
        #: Records by identifier and start: hashing a run is much slower.
        self._records: dict[tuple[str, int], UpstreamRecord] = {}
        self._by_service: dict[str, list[UpstreamRecord]] = {}

    def update(
        self, upstreams: abc.Iterable[_nodes.Upstream], now: float
    ) -> None:
        """Takes the present entries of service discovery.

        An entry that is the same object as before has not changed, and costs
        next to nothing: tables change often, and few of their rows do.
        """
        records: dict[tuple[str, int], UpstreamRecord] = {}
        by_service: dict[str, list[UpstreamRecord]] = {}
        for entry in upstreams:
            key = (entry.id, entry.started_ms)
            record = self._records.get(key)
            if record is None:
                record = UpstreamRecord(entry, now)
                _note_leaving(record, now)
            elif record.entry is not entry:
                _change_entry(record, entry, now)
            records[key] = record
            by_service.setdefault(entry.service, []).append(record)
        self._records = records
        self._by_service = by_service

    def find(self, run: _nodes.UpstreamRun) -> UpstreamRecord | None:
        """Returns the record of a run, or None if it is not listed."""
        return self._records.get((run.id, run.started_ms))

    def choose(
        self,
        service: str,
        now: float,
        is_upload: bool,
        excluded: abc.Container[str] = (),
    ) -> UpstreamRecord | None:
        """Chooses an upstream for a request without a key.

        Draws two by weight and takes the less busy one: without knowing what
        other hosts send, always taking the best would make all of them
        choose the same.

        Args:
            service: Name of the service.
            now: Time, in seconds.
            is_upload: Whether the request has a large body.
            excluded: Identifiers of upstreams not to choose.
        """
        candidates: list[UpstreamRecord] = []
        weights: list[float] = []
        for record in self._by_service.get(service, ()):
            entry = record.entry
            if (
                not entry.is_draining
                and now >= record.replaced_until
                and entry.id not in excluded
            ):
                candidates.append(record)
                weights.append(self._weigh(record, now, is_upload))
        if not candidates:
            return None
        first, second = self._generator.choices(
            range(len(candidates)), weights, k=2
        )
        best = min(
            (first, second),
            key=lambda index: (
                (len(candidates[index].in_flight) + 1) / weights[index]
            ),
        )
        return candidates[best]

    def is_replaced(self, record: UpstreamRecord, now: float) -> bool:
        """Tells whether another upstream has the address."""
        return now < record.replaced_until

    def is_avoided(self, record: UpstreamRecord, now: float) -> bool:
        """Tells whether an upstream is ejected or seems to hang."""
        return now < record.ejected_until or _is_stalled(record, now)

    def admit(self, record: UpstreamRecord) -> bool:
        """Draws whether the owner of a key gets the next request.

        An owner that never answers what it cannot queue would keep the
        request until its deadline.
        """
        return record.share >= 1.0 or self._generator.random() < record.share

    def begin(
        self, record: UpstreamRecord, attempt: object, now: float
    ) -> None:
        """Notes that a request is sent."""
        record.in_flight[attempt] = now

    def finish(
        self,
        record: UpstreamRecord,
        attempt: object,
        result: AttemptResult,
        now: float,
    ) -> None:
        """Notes how a request ended."""
        started_at = record.in_flight.pop(attempt, now)
        if result is AttemptResult.CANCELLED:
            return
        if result is AttemptResult.REPLACED:
            record.replaced_until = now + REPLACED_S
            return
        _adapt_share(record, result)
        if result is AttemptResult.REFUSED:
            record.refused_at = now
            record.answered_at = now
            record.failures = 0
            return
        is_bad = result is not AttemptResult.ANSWERED
        if result is not AttemptResult.UNREACHABLE:
            # The share is for upstreams that fail part of what they take; one
            # that took nothing is left out for a time, and then begins anew.
            record.failure_share += GAIN * (is_bad - record.failure_share)
        if result in (AttemptResult.ANSWERED, AttemptResult.FAILED):
            record.answered_at = now
            record.failures = 0
            record.ejection_s = 0.0
            record.ejected_until = 0.0
            if not is_bad:
                self._learn_latency(record, now - started_at)
            return
        record.failures += 1
        if (
            record.failures >= FAILURES_TO_EJECT
            or result is AttemptResult.UNREACHABLE
        ):
            record.ejection_s = min(
                LONGEST_EJECTION_S,
                max(FIRST_EJECTION_S, record.ejection_s * 2),
            )
            record.ejected_until = now + record.ejection_s

    def _learn_latency(self, record: UpstreamRecord, seconds: float) -> None:
        record.answers += 1
        gain = max(GAIN, 1 / record.answers)
        record.latency_s += gain * (seconds - record.latency_s)

    def _weigh(
        self, record: UpstreamRecord, now: float, is_upload: bool
    ) -> float:
        # It runs for every upstream of the service with each request, so that
        # what does not apply must cost next to nothing.
        entry, latency_s = record.entry, record.latency_s
        weight = (entry.slots if entry.slots > 1 else 1) / (
            latency_s if latency_s > LEAST_LATENCY_S else LEAST_LATENCY_S
        )
        if entry.failure_domain == self._failure_domain:
            weight *= LOCAL_UPLOAD_PREFERENCE if is_upload else LOCAL_PREFERENCE
        if record.failure_share:
            weight *= max(1.0 - record.failure_share, LEAST_SUCCESS) ** 2
        if entry.warm_up_s > now - record.seen_at:
            weight *= WARM_UP_WEIGHT
        if now - record.refused_at < SHED_MEMORY_S:
            weight *= SHED_WEIGHT
        if now < record.ejected_until or (
            record.in_flight and _is_stalled(record, now)
        ):
            weight *= AVOIDED
        return weight


def _change_entry(
    record: UpstreamRecord, entry: _nodes.Upstream, now: float
) -> None:
    if entry.address != record.entry.address:
        record.replaced_until = 0.0
    record.entry = entry
    _note_leaving(record, now)


def _note_leaving(record: UpstreamRecord, now: float) -> None:
    if not record.entry.is_draining:
        record.leaving_since = math.inf
    elif record.leaving_since > now:
        record.leaving_since = now


def _is_stalled(record: UpstreamRecord, now: float) -> bool:
    if not record.in_flight:
        return False
    oldest = next(iter(record.in_flight.values()))
    limit = max(MINIMUM_STALL_S, STALL_FACTOR * record.latency_s)
    return now - max(oldest, record.answered_at) > limit


def _adapt_share(record: UpstreamRecord, result: AttemptResult) -> None:
    if result is AttemptResult.SILENT:
        record.share = max(LEAST_SHARE, record.share * SHARE_BACK_OFF)
    elif result is AttemptResult.ANSWERED:
        record.share = min(1.0, record.share + SHARE_RECOVERY)
