"""Chooses the upstream of a request without a key."""

from collections import abc
import random

from sycamoreloft_load import _pace, _reported_loads, _upstream_records

#: Minimum latency in seconds, and minimum share of successes, that the weight
#: of an upstream is computed with.
MINIMUM_LATENCY_S = 0.001
MINIMUM_SUCCESS_SHARE = 0.05

#: Factor of the weight of upstreams in the failure domain of this host.
LOCAL_PREFERENCE = 2.0

#: The same for requests with large bodies, which cost more to send between
#: failure domains.
LOCAL_UPLOAD_PREFERENCE = 6.0

#: Time to send a request to another failure domain, and one with a large body,
#: in seconds. Connections within a region take a few milliseconds, and slow
#: links take this long for some tens of kilobytes.
REMOTE_S = 0.005
REMOTE_UPLOAD_S = 0.05

#: Factor of the weight of an upstream that is stalled or ejected. The number of
#: its slots is ignored.
AVOIDED_WEIGHT = 0.001


class Choice:
    """Chooses upstreams for requests without a key.

    Args:
        failure_domain: Failure domain of this host.
        generator: Source of randomness.
        loads: Means of the services.
    """

    def __init__(
        self,
        failure_domain: str,
        generator: random.Random,
        loads: _reported_loads.ServiceLoads,
    ) -> None:
        self._failure_domain = failure_domain
        self._loads = loads
        self._generator = generator

    def choose(
        self,
        service: str,
        records: abc.Iterable[_upstream_records.UpstreamRecord],
        now: float,
        is_upload: bool,
        excluded: abc.Container[str],
        unknown_latency_s: float,
    ) -> _upstream_records.UpstreamRecord | None:
        """Chooses an upstream; see `UpstreamPool.choose`.

        Args:
            service: Name of the service.
            records: Upstreams of the service.
            now: Time, in seconds.
            is_upload: Whether the request has a large body.
            excluded: Identifiers of upstreams not to choose.
            unknown_latency_s: Latency that is assumed for an upstream without
                answers, in seconds.
        """
        candidates: list[_upstream_records.UpstreamRecord] = []
        weights: list[float] = []
        paces: dict[int, _pace.Pace] = {}
        for record in records:
            entry = record.entry
            if (
                not entry.is_draining
                and now >= record.replaced_until
                and now >= record.paused_until
                and entry.id not in excluded
            ):
                pace = record.pace
                if pace is not None:
                    if now < pace.full_at:
                        paces[len(candidates)] = pace
                    else:
                        record.pace = None
                candidates.append(record)
                latency_s = (
                    record.latency_s if record.answers else unknown_latency_s
                )
                weights.append(
                    self._compute_weight(record, latency_s, now, is_upload)
                )
        if not candidates:
            return None
        shares = (
            _pace.compute_shares(paces, len(candidates), now) if paces else {}
        )
        for index, share in shares.items():
            weights[index] *= share
        first, second = self._generator.choices(
            range(len(candidates)), weights, k=2
        )
        one, other = candidates[first], candidates[second]
        one_share = shares.get(first, 1.0)
        other_share = shares.get(second, 1.0)
        if _is_reported(one, now) or _is_reported(other, now):
            one_cost = self._estimate_finish_s(one, one_share, now, is_upload)
            other_cost = self._estimate_finish_s(
                other, other_share, now, is_upload
            )
        else:
            one_cost = _compute_cost(one, weights[first], one_share)
            other_cost = _compute_cost(other, weights[second], other_share)
        return one if one_cost <= other_cost else other

    def _estimate_finish_s(
        self,
        record: _upstream_records.UpstreamRecord,
        share: float,
        now: float,
        is_upload: bool,
    ) -> float:
        """Estimates when an upstream would finish one more request.

        Failures and a pace that is used up count as a later finish.
        """
        entry, report = record.entry, record.report
        service, slots = entry.service, max(1, entry.slots)
        work_s = self._loads.get_work_s(service)
        # Of an upstream that reported nothing recently, this host knows only
        # its own requests. As other hosts use it as well, it is assumed to be
        # as busy as the mean.
        backlog = max(
            float(len(record.in_flight)),
            self._loads.get_backlog_per_slot(service) * slots,
        )
        slowness = 1.0
        certainty = _reported_loads.compute_weight(report, now)
        if report is not None and certainty:
            estimate = _reported_loads.estimate_backlog(
                report, record.in_flight, work_s, now
            )
            backlog += certainty * (estimate - backlog)
            percent = report.load.percent / _reported_loads.USUAL_PERCENT
            slowness += certainty * (percent - slowness)
            slots = max(1, report.load.slots)
        finish_s = (backlog / slots + 1.0) * work_s * slowness
        if entry.failure_domain != self._failure_domain:
            finish_s += REMOTE_UPLOAD_S if is_upload else REMOTE_S
        if not _has_room(record, share):
            finish_s /= share
        return finish_s / _compute_reliability(record, now)

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
        if record.failure_share or record.ejected_until or record.in_flight:
            weight *= _compute_reliability(record, now)
        return weight


def _compute_reliability(
    record: _upstream_records.UpstreamRecord, now: float
) -> float:
    """Returns the factor of the weight for failures and missing answers."""
    reliability = 1.0
    if record.failure_share:
        reliability = (
            max(1.0 - record.failure_share, MINIMUM_SUCCESS_SHARE) ** 2
        )
    if now < record.ejected_until or (
        record.in_flight and _upstream_records.is_stalled(record, now)
    ):
        # The slots of an upstream that does not answer are of no use.
        reliability *= AVOIDED_WEIGHT / max(1, record.entry.slots)
    return reliability


def _is_reported(record: _upstream_records.UpstreamRecord, now: float) -> bool:
    return _reported_loads.compute_weight(record.report, now) > 0.0


def _has_room(record: _upstream_records.UpstreamRecord, share: float) -> bool:
    """Returns whether a pace allows another request of this host.

    The draw already applied the share. The comparison applies it again only
    to an upstream that has as many requests of this host as its pace allows.
    """
    return share >= 1.0 or len(record.in_flight) < max(
        1.0, share * record.entry.slots
    )


def _compute_cost(
    record: _upstream_records.UpstreamRecord, weight: float, share: float
) -> float:
    """Returns the cost of one more request, by what this host observed."""
    if _has_room(record, share):
        weight /= share
    return (len(record.in_flight) + 1) / weight
