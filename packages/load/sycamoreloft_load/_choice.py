"""Chooses the upstream of a request without a key."""

from collections import abc
import random

from sycamoreloft_load import _upstream_records

#: Minimum latency in seconds, and minimum share of successes, that the weight
#: of an upstream is computed with.
MINIMUM_LATENCY_S = 0.001
MINIMUM_SUCCESS_SHARE = 0.05

#: Factor of the weight of upstreams in the failure domain of this host.
LOCAL_PREFERENCE = 2.0

#: The same for requests with large bodies, which cost more to send between
#: failure domains.
LOCAL_UPLOAD_PREFERENCE = 6.0

#: Factor of the weight of an upstream that is stalled or ejected. The number of
#: its slots is ignored.
AVOIDED_WEIGHT = 0.001

#: Factor of the weight while an upstream warms up.
WARM_UP_WEIGHT = 0.5

#: Seconds for which a refused request lowers the weight of an upstream.
REFUSAL_MEMORY_S = 0.5

#: Factor of the weight of an upstream during this time.
REFUSAL_WEIGHT = 0.3


class Choice:
    """Chooses upstreams for requests without a key.

    Args:
        failure_domain: Failure domain of this host.
        generator: Source of randomness.
    """

    def __init__(self, failure_domain: str, generator: random.Random) -> None:
        self._failure_domain = failure_domain
        self._generator = generator

    def choose(
        self,
        records: abc.Iterable[_upstream_records.UpstreamRecord],
        now: float,
        is_upload: bool,
        excluded: abc.Container[str],
        unknown_latency_s: float,
    ) -> _upstream_records.UpstreamRecord | None:
        """Chooses an upstream; see `UpstreamPool.choose`.

        Args:
            records: Upstreams of the service.
            now: Time, in seconds.
            is_upload: Whether the request has a large body.
            excluded: Identifiers of upstreams not to choose.
            unknown_latency_s: Latency that is assumed for an upstream without
                answers, in seconds.
        """
        candidates: list[_upstream_records.UpstreamRecord] = []
        weights: list[float] = []
        for record in records:
            entry = record.entry
            if (
                not entry.is_draining
                and now >= record.replaced_until
                and now >= record.paused_until
                and entry.id not in excluded
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
            record.in_flight and _upstream_records.is_stalled(record, now)
        ):
            # The slots of an upstream that does not answer are of no use.
            weight *= AVOIDED_WEIGHT / slots
        return weight
