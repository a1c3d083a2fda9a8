"""Chooses upstreams by the latencies and failures that this host observed."""

from collections import abc
import random

import sycamoreloft_direct
from sycamoreloft_load import (
    _attempt_results,
    _evacuations,
    _remembered_runs,
    _upstream_records,
    _warm_up_limits,
)

_RESULT = _attempt_results.AttemptResult

#: Weight of a new observation in a moving average.
MOVING_AVERAGE_GAIN = 0.15

#: Minimum latency in seconds, and minimum share of successes, that the weight
#: of an upstream is computed with.
MINIMUM_LATENCY_S = 0.001
MINIMUM_SUCCESS_SHARE = 0.05

#: Number of successive failures after which an upstream is ejected, so that it
#: gets hardly any requests for a time.
FAILURES_TO_EJECT = 2

#: Duration of the first ejection, in seconds. It doubles with each further
#: one.
FIRST_EJECTION_S = 1.0

#: Maximum duration of an ejection, in seconds.
MAXIMUM_EJECTION_S = 4.0

#: Factor of the weight of upstreams in the failure domain of this host.
LOCAL_PREFERENCE = 2.0

#: The same for requests with large bodies, which cost more to send between
#: failure domains.
LOCAL_UPLOAD_PREFERENCE = 6.0

#: An upstream is considered stalled if its oldest request is older than this
#: multiple of its mean latency and it has answered nothing since.
STALL_FACTOR = 5.0

#: Minimum age of the oldest request of a stalled upstream, in seconds.
MINIMUM_STALL_S = 0.6

#: Seconds for which an upstream is not used after another upstream answered at
#: its address. Its outdated entry expires in service discovery meanwhile.
REPLACED_ADDRESS_S = 4.0

#: Factor of the weight of an upstream that is stalled or ejected. The number of
#: its slots is ignored.
AVOIDED_WEIGHT = 0.001

#: Factor of the weight while an upstream warms up.
WARM_UP_WEIGHT = 0.5

#: Seconds for which a refused request lowers the weight of an upstream.
REFUSAL_MEMORY_S = 0.5

#: Factor of the weight of an upstream during this time.
REFUSAL_WEIGHT = 0.3


class UpstreamPool:
    """The upstreams of all services, with the observations of this host.

    Args:
        failure_domain: Failure domain of this host.
        generator: Source of randomness.
    """

    def __init__(self, failure_domain: str, generator: random.Random) -> None:
        self._failure_domain = failure_domain
        self._generator = generator
        #: Records by identifier and start time, since hashing an `UpstreamRun`
        #: is much slower.
        self._records: dict[
            tuple[str, int], _upstream_records.UpstreamRecord
        ] = {}
        self._by_service: dict[str, list[_upstream_records.UpstreamRecord]] = {}
        #: Moving average of the latency of each service, in seconds.
        self._service_latencies: dict[str, float] = {}
        self._remembered = _remembered_runs.RememberedRuns()
        #: Failure domains whose upstreams get no requests.
        self.evacuations = _evacuations.Evacuations()
        #: Limits on the requests to cold upstreams.
        self.warm_up = _warm_up_limits.WarmUpLimits(generator, self.evacuations)

    def update(
        self, upstreams: abc.Iterable[sycamoreloft_direct.Upstream], now: float
    ) -> None:
        """Replaces the entries of service discovery.

        An entry that is the same object as before is skipped quickly: updates
        are frequent, but change few entries.
        """
        records: dict[tuple[str, int], _upstream_records.UpstreamRecord] = {}
        by_service: dict[str, list[_upstream_records.UpstreamRecord]] = {}
        for entry in upstreams:
            key = (entry.id, entry.started_ms)
            record = self._records.get(key)
            if record is None:
                record = self._create_record(key, entry, now)
            elif record.entry is not entry:
                _upstream_records.update_entry(record, entry, now)
            records[key] = record
            by_service.setdefault(entry.service, []).append(record)
        for key in self._records.keys() - records.keys():
            self._remember(key, self._records[key], now)
        self._records = records
        self._by_service = by_service
        for service in self._service_latencies.keys() - by_service.keys():
            del self._service_latencies[service]

    def _create_record(
        self,
        key: tuple[str, int],
        entry: sycamoreloft_direct.Upstream,
        now: float,
    ) -> _upstream_records.UpstreamRecord:
        """Creates a record with what is remembered of its run."""
        record = _upstream_records.UpstreamRecord(entry, now)
        record.paused_until = self._remembered.take_pause(key)
        record.leaving_since = self._remembered.take_leaving(key)
        _upstream_records.update_leaving_since(record, now)
        return record

    def _remember(
        self,
        key: tuple[str, int],
        record: _upstream_records.UpstreamRecord,
        now: float,
    ) -> None:
        """Keeps what must still hold if the missing entry returns."""
        if record.paused_until > now:
            self._remembered.add_pause(key, record.paused_until)
        if record.leaving_since <= now:
            self._remembered.add_leaving(key, record.leaving_since)

    def find(
        self, run: sycamoreloft_direct.UpstreamRun
    ) -> _upstream_records.UpstreamRecord | None:
        """Returns the record of a run, or None if it is not listed."""
        return self._records.get((run.id, run.started_ms))

    def choose(
        self,
        service: str,
        now: float,
        is_upload: bool,
        excluded: abc.Container[str] = (),
    ) -> _upstream_records.UpstreamRecord | None:
        """Chooses an upstream for a request without a key.

        Draws two upstreams by weight and returns the less busy one. Hosts
        don't know what other hosts send, so if each chose the best upstream,
        all would choose the same one.

        Args:
            service: Name of the service.
            now: Time, in seconds.
            is_upload: Whether the request has a large body.
            excluded: Identifiers of upstreams not to choose.

        Returns:
            The record of the upstream, or None if there is none to choose.
        """
        evacuated = self.evacuations
        cold = self.warm_up.list_cold(service, now)
        if cold:
            record = self._take_cold(service, now, excluded)
            if record is not None:
                return record
        candidates: list[_upstream_records.UpstreamRecord] = []
        weights: list[float] = []
        # An upstream that looked slow before its first answer would never be
        # chosen beside faster ones.
        unknown_latency_s = self._service_latencies.get(
            service, _upstream_records.DEFAULT_LATENCY_S
        )
        for record in self._by_service.get(service, ()):
            entry = record.entry
            if (
                not entry.is_draining
                and now >= record.replaced_until
                and now >= record.paused_until
                and entry.id not in excluded
                and not (cold and entry.key in cold)
                and not (evacuated and entry.failure_domain in evacuated)
            ):
                candidates.append(record)
                latency_s = (
                    record.latency_s if record.answers else unknown_latency_s
                )
                weights.append(
                    self._compute_weight(record, latency_s, now, is_upload)
                )
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

    def _take_cold(
        self, service: str, now: float, excluded: abc.Container[str]
    ) -> _upstream_records.UpstreamRecord | None:
        """Returns a cold upstream that this host may send to now, or None.

        It goes before the warm ones: its send times are rare, and would end
        unused if it were drawn by its weight.
        """
        for key in self.warm_up.list_ready(service, now):
            record = self._records.get(key)
            if (
                record is not None
                and not record.entry.is_draining
                and key[0] not in excluded
                and now >= max(record.replaced_until, record.paused_until)
                and record.entry.failure_domain not in self.evacuations
                and not self.is_avoided(record, now)
                and self.warm_up.reserve(key, now)
            ):
                return record
        return None

    def record_pause(
        self,
        run: sycamoreloft_direct.UpstreamRun,
        pause_s: float,
        now: float,
        answered_ms: int,
    ) -> bool:
        """Records that an upstream wants no requests for a time.

        A shorter time in a later answer does not end an earlier pause.

        Args:
            run: Run of the upstream.
            pause_s: Duration of the pause, in seconds.
            now: Time, in seconds.
            answered_ms: Time of the answer, in milliseconds since 1970.

        Returns:
            Whether the upstream did not pause before.
        """
        self._remembered.record_answer(run.id, now + pause_s, answered_ms)
        record = self.find(run) or self._find_later_run(run)
        if record is None or record.entry.started_ms > max(
            run.started_ms, answered_ms
        ):
            # The answer of this run arrived while its entry is missing.
            self._remembered.add_pause((run.id, run.started_ms), now + pause_s)
            return False
        is_first = record.paused_until <= now
        record.paused_until = max(record.paused_until, now + pause_s)
        return is_first

    def _find_later_run(
        self, run: sycamoreloft_direct.UpstreamRun
    ) -> _upstream_records.UpstreamRecord | None:
        """Returns the record of a later run with the same identifier.

        A request that was sent to the earlier run may be answered by the later
        one.
        """
        for (upstream_id, started_ms), record in self._records.items():
            if upstream_id == run.id and started_ms > run.started_ms:
                return record
        return None

    def compute_pause_s(
        self, record: _upstream_records.UpstreamRecord, now: float
    ) -> float:
        """Returns for how long an upstream wants no requests; 0 for none."""
        return max(0.0, record.paused_until - now)

    def compute_service_pause_s(self, service: str, now: float) -> float:
        """Returns for how long no upstream of a service wants requests.

        Returns:
            Seconds until the first pause ends; 0 if an upstream does not
            pause, or if there is none.
        """
        return min(
            (
                self.compute_pause_s(record, now)
                for record in self._by_service.get(service, ())
                if not record.entry.is_draining and now >= record.replaced_until
            ),
            default=0.0,
        )

    def may_send(
        self,
        record: _upstream_records.UpstreamRecord,
        now: float,
        leaving_s: float,
        has_key: bool = True,
    ) -> bool:
        """Returns whether a request may be sent that was assigned earlier.

        Args:
            record: Upstream that was chosen for the request.
            now: Time, in seconds.
            leaving_s: Seconds for which an upstream that is shutting down gets
                such requests.
            has_key: Whether the request is for a key.
        """
        current = self._find_current(record)
        return (
            now >= current.paused_until
            and now - current.leaving_since < leaving_s
            and self.evacuations.may_send(
                current.entry.failure_domain, now, has_key=has_key
            )
            and self.warm_up.may_send(current.entry.key, now)
        )

    def claim_send(
        self, record: _upstream_records.UpstreamRecord, now: float
    ) -> bool:
        """Returns whether a request may be sent now; counts it if so."""
        return self.warm_up.claim(self._find_current(record).entry.key, now)

    def _find_current(
        self, record: _upstream_records.UpstreamRecord
    ) -> _upstream_records.UpstreamRecord:
        """Returns the record that replaced another, maybe of a later run."""
        run = record.entry.run
        return self.find(run) or self._find_later_run(run) or record

    def is_service_evacuated(self, service: str) -> bool:
        """Returns whether only evacuated upstreams of a service are left."""
        domains = {
            record.entry.failure_domain
            for record in self._by_service.get(service, ())
            if not record.entry.is_draining
        }
        return bool(domains) and all(
            domain in self.evacuations for domain in domains
        )

    def is_replaced(
        self, record: _upstream_records.UpstreamRecord, now: float
    ) -> bool:
        """Returns whether another upstream is assumed to use the address."""
        return now < record.replaced_until

    def is_avoided(
        self, record: _upstream_records.UpstreamRecord, now: float
    ) -> bool:
        """Returns whether an upstream is ejected or stalled."""
        return now < record.ejected_until or _is_stalled(record, now)

    def admit(self, record: _upstream_records.UpstreamRecord) -> bool:
        """Decides at random whether the owner of a key gets a request.

        An owner that silently drops requests when it is overloaded would
        otherwise hold each of them until its deadline.
        """
        return record.share >= 1.0 or self._generator.random() < record.share

    def begin(
        self,
        record: _upstream_records.UpstreamRecord,
        attempt: object,
        now: float,
    ) -> None:
        """Records that an attempt begins to send a request."""
        record.in_flight[attempt] = now

    def finish(
        self,
        record: _upstream_records.UpstreamRecord,
        attempt: object,
        result: _attempt_results.AttemptResult,
        now: float,
    ) -> None:
        """Records the result of an attempt."""
        started_at = record.in_flight.pop(attempt, now)
        if result in (_RESULT.CANCELLED, _RESULT.WITHDRAWN):
            return
        if result is _RESULT.REPLACED:
            record.replaced_until = now + REPLACED_ADDRESS_S
            return
        record.share = _attempt_results.adjust_share(record.share, result)
        if result is _RESULT.REFUSED:
            record.refused_at = now
            record.answered_at = now
            record.failures = 0
            return
        is_bad = result is not _RESULT.ANSWERED
        if result is not _RESULT.UNREACHABLE:
            # This share is for upstreams that fail some of the requests that
            # they accept. An unreachable upstream accepts none; it is ejected,
            # and keeps its share for the time after.
            record.failure_share += MOVING_AVERAGE_GAIN * (
                is_bad - record.failure_share
            )
        if result in (_RESULT.ANSWERED, _RESULT.FAILED):
            record.answered_at = now
            record.failures = 0
            record.ejection_s = 0.0
            record.ejected_until = 0.0
            if not is_bad:
                self._record_latency(record, now - started_at)
            return
        record.failures += 1
        if (
            record.failures >= FAILURES_TO_EJECT
            or result is _RESULT.UNREACHABLE
        ):
            record.ejection_s = min(
                MAXIMUM_EJECTION_S,
                max(FIRST_EJECTION_S, record.ejection_s * 2),
            )
            record.ejected_until = now + record.ejection_s

    def _record_latency(
        self, record: _upstream_records.UpstreamRecord, seconds: float
    ) -> None:
        record.answers += 1
        gain = max(MOVING_AVERAGE_GAIN, 1 / record.answers)
        record.latency_s += gain * (seconds - record.latency_s)
        service = record.entry.service
        mean_s = self._service_latencies.setdefault(service, seconds)
        self._service_latencies[service] = mean_s + MOVING_AVERAGE_GAIN * (
            seconds - mean_s
        )

    def _compute_weight(
        self,
        record: _upstream_records.UpstreamRecord,
        latency_s: float,
        now: float,
        is_upload: bool,
    ) -> float:
        # This runs for each upstream of the service at every request, so
        # factors that do not apply must cost almost nothing.
        entry = record.entry
        slots = entry.slots if entry.slots > 1 else 1
        weight = slots / (
            latency_s if latency_s > MINIMUM_LATENCY_S else MINIMUM_LATENCY_S
        )
        if entry.failure_domain == self._failure_domain:
            weight *= LOCAL_UPLOAD_PREFERENCE if is_upload else LOCAL_PREFERENCE
        if record.failure_share:
            weight *= (
                max(1.0 - record.failure_share, MINIMUM_SUCCESS_SHARE) ** 2
            )
        if entry.warm_up_s > now - record.seen_at:
            weight *= WARM_UP_WEIGHT
        if now - record.refused_at < REFUSAL_MEMORY_S:
            weight *= REFUSAL_WEIGHT
        if now < record.ejected_until or (
            record.in_flight and _is_stalled(record, now)
        ):
            # The slots of an upstream that does not answer are of no use.
            weight *= AVOIDED_WEIGHT / slots
        return weight


def _is_stalled(record: _upstream_records.UpstreamRecord, now: float) -> bool:
    if not record.in_flight:
        return False
    oldest = next(iter(record.in_flight.values()))
    limit = max(MINIMUM_STALL_S, STALL_FACTOR * record.latency_s)
    return now - max(oldest, record.answered_at) > limit
