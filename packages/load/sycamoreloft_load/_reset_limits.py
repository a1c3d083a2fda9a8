"""Limits on requests to upstreams that reset the connection when full.

A reset proves nothing about the request. It counts as a sign of a full upstream
only for services of which a run reset a request and answered a later one. Each
host learns this and the limits from its own requests.
"""

import collections
import dataclasses
import math
import random

from sycamoreloft_load import _upstream_records

#: Maximum number of runs whose limits are kept; the ones that reset a request
#: the longest ago are forgotten first.
MAXIMUM_RUNS = 1024

#: Number of successive resets without an answer after which a further one
#: counts as a failure: the run may be unable to answer at all. Full upstreams
#: that reset 6 of 10 requests do so in 1.7% of the cases.
MAXIMUM_SUCCESSIVE_RESETS = 8

#: Bounds of the random time for which a run counts as full after a reset, as
#: multiples of the time in which it ends a request. The time doubles with each
#: further reset, up to the time of a whole request.
MINIMUM_FULL_SHARE = 0.5
MAXIMUM_FULL_SHARE = 1.5

_RESULT = _upstream_records.AttemptResult


@dataclasses.dataclass(slots=True)
class _RunLimit:
    """What this host observed of one run that reset a request."""

    #: The upstream, with the requests of this host that are there.
    record: _upstream_records.UpstreamRecord
    #: Number of requests that this host may send at once.
    limit: float = math.inf
    #: Time until which the run counts as full.
    full_until: float = -math.inf
    #: Number of resets since the last answer.
    resets: int = 0


class ResetLimits:
    """Limits the requests of this host to runs that reset when full.

    Args:
        generator: Source of randomness.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._services: set[str] = set()
        self._runs: collections.OrderedDict[tuple[str, int], _RunLimit] = (
            collections.OrderedDict()
        )

    @property
    def learned_services(self) -> frozenset[str]:
        """Services whose upstreams are known to reset when full."""
        return frozenset(self._services)

    def record_result(
        self,
        record: _upstream_records.UpstreamRecord,
        result: _upstream_records.AttemptResult,
        now: float,
    ) -> _upstream_records.AttemptResult:
        """Records how an attempt ended; call it before the pool's `finish`.

        Args:
            record: The upstream; the attempt is still among its requests.
            result: How the attempt ended.
            now: Time, in seconds.

        Returns:
            The result to record in the pool. A reset by a full upstream counts
            as a refusal there, because it does not show a fault.
        """
        entry = record.entry
        key = (entry.id, entry.started_ms)
        run = self._runs.get(key)
        if run is not None:
            run.record = record
        if result is _RESULT.RESET:
            if run is None:
                run = self._runs[key] = _RunLimit(record)
            self._runs.move_to_end(key)
            if len(self._runs) > MAXIMUM_RUNS:
                self._runs.popitem(last=False)
            return self._record_reset(run, record, now)
        if run is not None and result in (_RESULT.ANSWERED, _RESULT.FAILED):
            self._services.add(entry.service)
            run.resets = 0
            if len(record.in_flight) >= math.floor(run.limit):
                run.limit += 1.0 / run.limit
        return result

    def _record_reset(
        self,
        run: _RunLimit,
        record: _upstream_records.UpstreamRecord,
        now: float,
    ) -> _upstream_records.AttemptResult:
        run.resets += 1
        level = max(1, len(record.in_flight))
        run.limit = max(1.0, min(run.limit, level - 1.0))
        slot_s = record.latency_s / max(1, record.entry.slots)
        full_s = slot_s * self._generator.uniform(
            MINIMUM_FULL_SHARE, MAXIMUM_FULL_SHARE
        )
        # The exponent is bounded so that a long series cannot overflow.
        full_s *= 2.0 ** min(run.resets - 1, MAXIMUM_SUCCESSIVE_RESETS)
        run.full_until = now + min(full_s, record.latency_s)
        is_full = (
            record.entry.service in self._services
            and run.resets <= MAXIMUM_SUCCESSIVE_RESETS
        )
        return _RESULT.REFUSED if is_full else _RESULT.RESET

    def has_room(
        self, record: _upstream_records.UpstreamRecord, now: float
    ) -> bool:
        """Returns whether an upstream is not known to be full."""
        run = self._find(record)
        return run is None or not self._is_full(run, record, now)

    def compute_wait_s(
        self, record: _upstream_records.UpstreamRecord, now: float
    ) -> float:
        """Returns for how long a run still counts as full; 0 if it does not.

        A run at the limit of requests has room when one of them ends.
        """
        run = self._find(record)
        if run is None or record.entry.service not in self._services:
            return 0.0
        return max(0.0, run.full_until - now)

    def list_full(self, service: str, now: float) -> set[str]:
        """Returns the identifiers of the upstreams that count as full.

        Args:
            service: Name of the service.
            now: Time, in seconds.
        """
        if service not in self._services:
            return set()
        return {
            run.record.entry.id
            for run in self._runs.values()
            if run.record.entry.service == service
            and self._is_full(run, run.record, now)
        }

    def _is_full(
        self,
        run: _RunLimit,
        record: _upstream_records.UpstreamRecord,
        now: float,
    ) -> bool:
        return record.entry.service in self._services and (
            now < run.full_until or len(record.in_flight) + 1 > run.limit
        )

    def _find(
        self, record: _upstream_records.UpstreamRecord
    ) -> _RunLimit | None:
        return self._runs.get(record.entry.key)
