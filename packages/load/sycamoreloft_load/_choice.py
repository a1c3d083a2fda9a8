"""Chooses the upstream of a request without a key."""

from collections import abc
import random

from sycamoreloft_load import _pace, _upstream_records

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
        paced: list[int] = []
        for record in records:
            entry = record.entry
            if (
                not entry.is_draining
                and now >= record.replaced_until
                and now >= record.paused_until
                and entry.id not in excluded
            ):
                if record.pace is not None:
                    paced.append(len(candidates))
                candidates.append(record)
                latency_s = (
                    record.latency_s if record.answers else unknown_latency_s
                )
                weights.append(
                    self._compute_weight(record, latency_s, now, is_upload)
                )
        if not candidates:
            return None
        shares = _compute_shares(candidates, paced, now) if paced else {}
        for index, share in shares.items():
            weights[index] *= share
        first, second = self._generator.choices(
            range(len(candidates)), weights, k=2
        )
        best = min(
            (first, second),
            key=lambda index: _compute_cost(
                candidates[index], weights[index], shares.get(index, 1.0)
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
        if now < record.ejected_until or (
            record.in_flight and _upstream_records.is_stalled(record, now)
        ):
            # The slots of an upstream that does not answer are of no use.
            weight *= AVOIDED_WEIGHT / slots
        return weight


def _compute_shares(
    candidates: list[_upstream_records.UpstreamRecord],
    paced: list[int],
    now: float,
) -> dict[int, float]:
    """Returns the share of each candidate that does not get its whole load.

    Ends the paces that have risen to the whole.
    """
    shares: dict[int, float] = {}
    for index in paced:
        pace = candidates[index].pace
        if pace is not None:
            share = _pace.compute_share(pace, now)
            if share < 1.0:
                shares[index] = share
            else:
                candidates[index].pace = None
    floor = _pace.compute_floor(len(shares), len(candidates))
    if floor:
        for index, share in shares.items():
            shares[index] = max(share, floor)
    return shares


def _compute_cost(
    record: _upstream_records.UpstreamRecord, weight: float, share: float
) -> float:
    """Returns the cost of one more request, by what this host observed.

    The draw already applied the share. It applies again only to an upstream
    that has as many requests of this host as its pace allows.
    """
    in_flight = len(record.in_flight)
    if share < 1.0 and in_flight < max(1.0, share * record.entry.slots):
        weight /= share
    return (in_flight + 1) / weight
