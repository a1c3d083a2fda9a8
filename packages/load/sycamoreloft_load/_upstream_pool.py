"""Chooses upstreams by the latencies and failures that this host observed."""

from collections import abc
import random
import typing

import sycamoreloft_direct
from sycamoreloft_load import (
    _choice,
    _evacuations,
    _pace,
    _remembered_runs,
    _reported_loads,
    _upstream_records,
    _warm_up_limits,
)

_RESULT = _upstream_records.AttemptResult
_Record: typing.TypeAlias = _upstream_records.UpstreamRecord

#: Weight of a new observation in a moving average.
MOVING_AVERAGE_GAIN = 0.15

#: Number of successive failures after which an upstream is ejected, so that it
#: gets hardly any requests for a time.
FAILURES_TO_EJECT = 2

#: Duration of the first ejection, in seconds. It doubles with each further
#: one.
FIRST_EJECTION_S = 1.0

#: Maximum duration of an ejection, in seconds.
MAXIMUM_EJECTION_S = 4.0

#: Seconds for which an upstream is not used after another upstream answered at
#: its address. Its outdated entry expires in service discovery meanwhile.
REPLACED_ADDRESS_S = 4.0


class UpstreamPool:
    """The upstreams of all services, with the observations of this host.

    Args:
        failure_domain: Failure domain of this host.
        generator: Source of randomness.
    """

    def __init__(self, failure_domain: str, generator: random.Random) -> None:
        self._loads = _reported_loads.ServiceLoads()
        self._choice = _choice.Choice(failure_domain, generator, self._loads)
        self._generator = generator
        #: Records by identifier and start time, since hashing an `UpstreamRun`
        #: is much slower.
        self._records: dict[tuple[str, int], _Record] = {}
        self._by_service: dict[str, list[_Record]] = {}
        #: Moving average of the latency of each service, in seconds.
        self._service_latencies: dict[str, float] = {}
        self._remembered = _remembered_runs.RememberedRuns()
        #: Records of the runs whose latest report this host heard itself, and
        #: that `take_loads` has not returned yet.
        self._heard: dict[tuple[str, int], _Record] = {}
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
        records: dict[tuple[str, int], _Record] = {}
        by_service: dict[str, list[_Record]] = {}
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
            self._heard.pop(key, None)
        self._records = records
        self._by_service = by_service
        for service in self._service_latencies.keys() - by_service.keys():
            del self._service_latencies[service]
        self._loads.forget_all_but(by_service)

    def _create_record(
        self,
        key: tuple[str, int],
        entry: sycamoreloft_direct.Upstream,
        now: float,
    ) -> _Record:
        """Creates a record with what is remembered of its run."""
        record = _Record(entry, now)
        record.paused_until = self._remembered.take_pause(key)
        record.leaving_since = self._remembered.take_leaving(key)
        _upstream_records.update_leaving_since(record, now)
        if entry.warm_up_s or entry.service in self._by_service:
            # Upstreams that this host sees with its first entries of a service
            # may have started long ago.
            record.pace = _pace.begin(now, entry.warm_up_s)
        return record

    def _remember(
        self, key: tuple[str, int], record: _Record, now: float
    ) -> None:
        """Keeps what must still hold if the missing entry returns."""
        if record.paused_until > now:
            self._remembered.add_pause(key, record.paused_until)
        if record.leaving_since <= now:
            self._remembered.add_leaving(key, record.leaving_since)

    def count_paced(self, now: float) -> dict[str, int]:
        """Returns how many upstreams of each service have a limited share."""
        counts: dict[str, int] = {}
        for service, records in self._by_service.items():
            count = sum(_has_limited_share(record, now) for record in records)
            if count:
                counts[service] = count
        return counts

    def find(self, run: sycamoreloft_direct.UpstreamRun) -> _Record | None:
        """Returns the record of a run, or None if it is not listed."""
        return self._records.get((run.id, run.started_ms))

    def choose(
        self,
        service: str,
        now: float,
        is_upload: bool,
        excluded: abc.Container[str] = (),
    ) -> _Record | None:
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
        # An upstream that looked slow before its first answer would never be
        # chosen beside faster ones.
        unknown_latency_s = self._service_latencies.get(
            service, _reported_loads.DEFAULT_LATENCY_S
        )
        records: abc.Sequence[_Record] = self._by_service.get(service, ())
        cold = self.warm_up.list_cold(service, now)
        if cold:
            record = self._take_cold(service, now, excluded)
            if record is not None:
                return record
        if cold or self.evacuations:
            records = [
                record
                for record in records
                if record.entry.key not in cold
                and record.entry.failure_domain not in self.evacuations
            ]
        return self._choice.choose(
            service,
            records,
            now,
            is_upload,
            excluded,
            unknown_latency_s,
        )

    def _take_cold(
        self, service: str, now: float, excluded: abc.Container[str]
    ) -> _Record | None:
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

    def record_load(
        self,
        run: sycamoreloft_direct.UpstreamRun,
        load: _reported_loads.ReportedLoad,
        observed_at: float,
        is_heard: bool = False,
    ) -> bool:
        """Records the load of an upstream, unless a later report is known.

        Args:
            run: Run of the upstream.
            load: The reported load.
            observed_at: Time of the report, in seconds.
            is_heard: Whether the upstream reported it to this host, rather than
                to another one. `take_loads` returns only such reports.

        Returns:
            Whether the report was recorded.
        """
        key = run.id, run.started_ms
        record = self._records.get(key)
        if record is None or (
            record.report is not None
            and observed_at < record.report.observed_at
        ):
            return False
        record.report = _reported_loads.LoadReport(load, observed_at)
        if is_heard:
            self._heard[key] = record
            self._loads.record_load(record.entry.service, load)
        else:
            self._heard.pop(key, None)
        return True

    def take_loads(self, now: float) -> list[_reported_loads.HeardLoad]:
        """Returns the loads that this host heard since the last call.

        Only the latest report of each run is returned, and none that is too
        old to count.
        """
        heard = [
            _reported_loads.HeardLoad(
                record.entry.run, report.load, now - report.observed_at
            )
            for record in self._heard.values()
            if (report := record.report) is not None
            and now - report.observed_at < _reported_loads.MAXIMUM_AGE_S
        ]
        self._heard.clear()
        return heard

    def estimate_backlog(self, record: _Record, now: float) -> float | None:
        """Estimates how many requests an upstream works on or queues.

        Returns:
            The number of requests; None if the upstream has reported nothing
            that still counts.
        """
        report = record.report
        if not _reported_loads.compute_weight(report, now) or report is None:
            return None
        work_s = self.get_work_s(record.entry.service)
        return _reported_loads.estimate_backlog(
            report, record.in_flight, work_s, now
        )

    def get_work_s(self, service: str) -> float:
        """Returns the mean time of a request without its wait, in seconds.

        The time is that of an upstream at its usual speed. If upstreams report
        no load, it contains their queues.
        """
        return self._loads.get_work_s(service)

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
    ) -> _Record | None:
        """Returns the record of a later run with the same identifier.

        A request that was sent to the earlier run may be answered by the later
        one.
        """
        for (upstream_id, started_ms), record in self._records.items():
            if upstream_id == run.id and started_ms > run.started_ms:
                return record
        return None

    def compute_pause_s(self, record: _Record, now: float) -> float:
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
        record: _Record,
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

    def claim_send(self, record: _Record, now: float) -> bool:
        """Returns whether a request may be sent now; counts it if so."""
        return self.warm_up.claim(self._find_current(record).entry.key, now)

    def _find_current(self, record: _Record) -> _Record:
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

    def is_replaced(self, record: _Record, now: float) -> bool:
        """Returns whether another upstream is assumed to use the address."""
        return now < record.replaced_until

    def is_avoided(self, record: _Record, now: float) -> bool:
        """Returns whether an upstream is ejected or stalled."""
        return now < record.ejected_until or _upstream_records.is_stalled(
            record, now
        )

    def admit(self, record: _Record) -> bool:
        """Decides at random whether the owner of a key gets a request.

        An owner that silently drops requests when it is overloaded would
        otherwise hold each of them until its deadline.
        """
        return record.share >= 1.0 or self._generator.random() < record.share

    def begin(self, record: _Record, attempt: object, now: float) -> None:
        """Records that an attempt begins to send a request."""
        record.in_flight[attempt] = now

    def finish(
        self, record: _Record, attempt: object, result: _RESULT, now: float
    ) -> None:
        """Records the result of an attempt."""
        # Before the first answer, it is not known how long answers take.
        was_stalled = record.answers > 0 and _upstream_records.is_stalled(
            record, now
        )
        started_at = record.in_flight.pop(attempt, now)
        if result in (_RESULT.CANCELLED, _RESULT.WITHDRAWN):
            return
        if result is _RESULT.REPLACED:
            record.replaced_until = now + REPLACED_ADDRESS_S
            return
        record.share = _upstream_records.adjust_share(record.share, result)
        if result is _RESULT.REFUSED:
            record.answered_at = now
            record.failures = 0
            record.pace = _pace.record_setback(
                record.pace, now, record.paused_until
            )
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
            if is_bad or was_stalled:
                record.pace = _pace.record_setback(record.pace, now)
            if not is_bad:
                self._record_latency(record, started_at, now)
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
        record.pace = _pace.record_setback(
            record.pace, now, record.ejected_until
        )

    def _record_latency(
        self, record: _Record, started_at: float, now: float
    ) -> None:
        seconds = now - started_at
        record.answers += 1
        gain = max(MOVING_AVERAGE_GAIN, 1 / record.answers)
        record.latency_s += gain * (seconds - record.latency_s)
        service = record.entry.service
        mean_s = self._service_latencies.setdefault(service, seconds)
        if record.pace is not None:
            record.pace = _pace.record_answer(
                record.pace, seconds, mean_s, record.entry.slots, now
            )
        self._service_latencies[service] = mean_s + MOVING_AVERAGE_GAIN * (
            seconds - mean_s
        )
        report = record.report
        if report is not None and report.observed_at < started_at:
            report = None
        self._loads.record_answer(service, seconds, report)


def _has_limited_share(record: _Record, now: float) -> bool:
    pace = record.pace
    return pace is not None and _pace.compute_share(pace, now) < 1.0
