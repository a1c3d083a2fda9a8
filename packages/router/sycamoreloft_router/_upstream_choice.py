"""Chooses the upstream for each attempt of a request."""

import asyncio
import dataclasses

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import _direct_requests, _direct_services, _exchange

#: Maximum wait for an owner of the key, in seconds. A move of keys takes less;
#: the loss of an owner takes longer than most callers wait.
MAXIMUM_OWNER_WAIT_S = 0.6

#: Maximum wait before a retry at an owner that refused the request because it
#: did not hold the key, in seconds: its grant may be on the way.
MAXIMUM_MISDIRECTED_WAIT_S = 0.15

#: Bounds of the random wait before a retry at a full owner, in seconds: about
#: the time of one request at a fast upstream.
MINIMUM_FULL_OWNER_WAIT_S = 0.06
MAXIMUM_FULL_OWNER_WAIT_S = 0.12

#: Seconds after its first attempt within which a request is repeated at an
#: owner that reset it; see docs/design/full-upstreams.md.
MAXIMUM_RESET_AGE_S = 1.0

#: Bounds of the random wait before a repeat at an owner that reset the request,
#: as multiples of the time in which the owner ends a request. The wait doubles
#: with each further reset.
MINIMUM_RESET_WAIT_SHARE = 0.5
MAXIMUM_RESET_WAIT_SHARE = 1.5

#: Bounds of the random time after which a refused caller may retry, in
#: milliseconds, so that callers that were refused together do not return
#: together.
MINIMUM_RETRY_AFTER_MS = 150
MAXIMUM_RETRY_AFTER_MS = 450

#: Bounds of that time if the owner of the key is lost: its lease has to end
#: before another upstream gets the key.
MINIMUM_LOST_OWNER_RETRY_MS = 500
MAXIMUM_LOST_OWNER_RETRY_MS = 1_000

#: Maximum time that counts of the rest of a warm-up, in seconds: the keys of a
#: cold owner move to a warm one in about this time.
MAXIMUM_COLD_RETRY_S = 2.0

#: Reasons of refusals because upstreams are cold.
_COLD_REASONS = frozenset(("owner-cold", "upstreams-cold"))

#: Reasons of refusals after which callers return at the rate at which work is
#: done.
_LOAD_REASONS = frozenset(
    (
        "backlog",
        "owner-full",
        "past-deadline",
        "queue-full",
        "upstream-full",
        "upstream-refused-503",
    )
)

#: Share of the rest of a pause over which the callers that were refused
#: because of it return after its end.
PAUSE_SPREAD_SHARE = 0.5

#: Minimum time to the deadline for another attempt, in seconds.
MINIMUM_REMAINING_S = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class _FirstOwner:
    """The owner of the key at the first attempt of a request."""

    #: Run of the owner.
    run: sycamoreloft_direct.UpstreamRun
    #: Version of the map of keys.
    version: tuple[int, int]
    #: When the attempt began, in seconds.
    began_at: float


class UpstreamChoice:
    """Chooses the upstreams of one request from its earlier attempts.

    Args:
        services: Objects that all requests share.
        request: The request.
        received: Deadline of the request.
    """

    __slots__ = (
        "_demand",
        "_expected_wait_s",
        "_first_owner",
        "_possible_runs",
        "_received",
        "_request",
        "_reset_count",
        "_reset_runs",
        "_services",
        "is_owner_lost",
        "misdirected_upstream",
        "reason",
        "tried",
    )

    def __init__(
        self,
        services: _direct_services.DirectServices,
        request: _direct_requests.DirectRequest,
        received: _exchange.ReceivedRequest,
    ) -> None:
        self._services = services
        self._request = request
        self._received = received
        # Identifiers of the upstreams at which the request may have run.
        self._possible_runs: set[str] = set()
        # The same for attempts whose connection was reset before any answer.
        self._reset_runs: set[str] = set()
        self._reset_count = 0
        self._first_owner: _FirstOwner | None = None
        # What the request asks for; None before the first choice.
        self._demand: sycamoreloft_load.Demand | None = None
        self._expected_wait_s = 0.0
        #: Upstream that did not hold the key at the last attempt, or empty.
        self.misdirected_upstream = ""
        #: Why the last attempt failed, or why no upstream was chosen.
        self.reason = "no-upstream"
        #: Whether the owner has been missing for longer than a move takes.
        self.is_owner_lost = False
        #: Identifiers of the upstreams of the attempts so far, in order.
        self.tried: list[str] = []

    def record_possible_run(self, upstream: str) -> None:
        """Records that the request may have run at an upstream.

        Args:
            upstream: Identifier of the upstream.
        """
        self._possible_runs.add(upstream)

    def record_reset(self, upstream: str) -> None:
        """Records that an upstream reset the connection before any answer.

        Args:
            upstream: Identifier of the upstream.
        """
        self._reset_runs.add(upstream)
        self._reset_count += 1

    def may_have_run_at_owner(self, now: float) -> bool:
        """Returns whether the request may have run at the owner of its key.

        An upstream at which a request with a key may have run does not get it
        again: another upstream may have held the key in between without this
        host having heard of it, and a failed attempt does not prove that the
        earlier work has ended. The upstream would then work on one request
        under two leases. A later run under the same identifier is excluded as
        well, since the host may have heard of that run only after the attempt.
        A request that the owner reset without any byte of an answer is repeated
        at the same run, for a short time in which the key has not moved.

        Args:
            now: Time on the clock of the event loop, in seconds.
        """
        owner = self._services.directory.find_owner(
            self._request.service, self._request.key, now
        )
        return owner is not None and self._may_have_run_at(owner, now)

    def _may_have_run_at(
        self, owner: sycamoreloft_direct.UpstreamRun, now: float
    ) -> bool:
        """Returns whether the owner must not get the request again."""
        if owner.id in self._possible_runs:
            return True
        if owner.id not in self._reset_runs:
            return False
        first = self._first_owner
        return (
            first is None
            or first.run != owner
            or now - first.began_at >= MAXIMUM_RESET_AGE_S
            or not self._services.directory.has_kept_owner(
                self._request.service,
                self._request.key,
                first.version,
                first.began_at,
                now,
            )
        )

    async def choose_upstream(
        self,
    ) -> sycamoreloft_load.UpstreamRecord | None:
        """Chooses the upstream for the next attempt.

        Returns:
            Record of the upstream, or None without one; `reason` then says why.
        """
        now = self._services.loop.time()
        gate = self._services.gate
        if self._demand is None:
            self._demand = gate.create_demand(
                self._request, self._received, now
            )
        record = await self._choose_with_room(now, self._demand)
        if record is not None:
            now = self._services.loop.time()
            self._expected_wait_s = gate.estimate_wait_s(record, now)
            if not self.tried:
                gate.record_sent(self._demand, now)
        return record

    def record_result(
        self,
        record: sycamoreloft_load.UpstreamRecord,
        result: sycamoreloft_load.AttemptResult,
        latency_s: float,
    ) -> sycamoreloft_load.AttemptResult:
        """Records how an attempt ended; call it before the pool's `finish`.

        Returns:
            The result to record in the pool.
        """
        if self._demand is None:
            return result
        return self._services.gate.record_result(
            self._demand, record, result, latency_s, self._expected_wait_s
        )

    async def _choose_with_room(
        self, now: float, demand: sycamoreloft_load.Demand
    ) -> sycamoreloft_load.UpstreamRecord | None:
        if self._request.key >= 0:
            record = await self._wait_for_owner(now, demand)
            if record is not None and self._first_owner is None:
                self._first_owner = _FirstOwner(
                    record.entry.run,
                    self._services.directory.key_map.version,
                    self._services.loop.time(),
                )
            return record
        while True:
            record = self._choose_any(now)
            if record is None:
                self.reason = self._find_missing_reason(now)
                return None
            if self._services.gate.may_enter(demand, record, now):
                return record
            if not await self._wait_for_room(demand, record):
                return None
            now = self._services.loop.time()
            pool = self._services.pool
            may_send = pool.may_send(record, now, 0.0, has_key=False)
            if may_send and not pool.is_replaced(record, now):
                return record

    def _choose_any(
        self, now: float
    ) -> sycamoreloft_load.UpstreamRecord | None:
        """Chooses an upstream, a full one only if all are full."""
        services, service = self._services, self._request.service
        is_upload = (
            self._request.route.kind is sycamoreloft_direct.RouteKind.UPLOAD
        )
        full = services.gate.limits.list_full(service, now)
        if full:
            excluded = full.union(self.tried)
            record = services.pool.choose(service, now, is_upload, excluded)
            if record is not None:
                return record
        return services.pool.choose(service, now, is_upload, self.tried)

    async def _wait_for_room(
        self,
        demand: sycamoreloft_load.Demand,
        record: sycamoreloft_load.UpstreamRecord,
    ) -> bool:
        """Waits at this host; returns whether the request is to be sent."""
        first = self._first_owner
        if self._reset_count and first is not None:
            # It ends as unknown anyway, so that a longer wait costs nothing.
            demand = dataclasses.replace(
                demand, give_up_at=first.began_at + MAXIMUM_RESET_AGE_S
            )
        reason = await self._services.gate.wait(
            demand, record, self._request.request_id
        )
        if reason:
            self.reason = reason
        return not reason

    def _find_missing_reason(self, now: float) -> str:
        """Returns why there is no upstream for a request without a key."""
        if self._compute_pause_s(now):
            return "upstreams-paused"
        if self._services.pool.is_service_evacuated(self._request.service):
            return "evacuated"
        return "upstreams-cold" if self._compute_cold_s(now) else "no-upstream"

    def is_owner_paused(self, now: float) -> bool:
        """Returns whether the owner of the key wants no requests for now.

        If so, the request ends here: no other upstream may run it.
        """
        if self._request.key < 0 or not self._compute_pause_s(now):
            return False
        self.reason = "owner-paused"
        return True

    def _compute_pause_s(self, now: float) -> float:
        """Returns for how long no upstream wants the request; 0 for none.

        The pause of an owner that is shutting down does not count: its keys
        move to another one long before the pause ends.
        """
        services, request = self._services, self._request
        if request.key < 0:
            return services.pool.compute_service_pause_s(request.service, now)
        owner = services.directory.find_owner(request.service, request.key, now)
        record = services.pool.find(owner) if owner is not None else None
        if record is None or record.entry.is_draining:
            return 0.0
        return services.pool.compute_pause_s(record, now)

    def _compute_cold_s(self, now: float) -> float:
        """Returns for how long each possible upstream stays cold."""
        services, request = self._services, self._request
        warm_up = services.pool.warm_up
        if request.key < 0:
            return warm_up.compute_service_cold_s(request.service, now)
        owner = services.directory.find_owner(request.service, request.key, now)
        if owner is None:
            return 0.0
        return warm_up.compute_cold_s((owner.id, owner.started_ms), now)

    def choose_retry_after_ms(self) -> int:
        """Draws the time after which a refused caller should return."""
        generator = self._services.generator
        now = self._services.loop.time()
        pause_s = self._compute_pause_s(now)
        if not pause_s and self.reason in _COLD_REASONS:
            pause_s = min(self._compute_cold_s(now), MAXIMUM_COLD_RETRY_S)
        if pause_s:
            pause_ms = round(pause_s * 1000)
            return pause_ms + generator.randint(
                MINIMUM_RETRY_AFTER_MS,
                max(
                    MAXIMUM_RETRY_AFTER_MS, round(pause_ms * PAUSE_SPREAD_SHARE)
                ),
            )
        if self.is_owner_lost or self.reason == "evacuated":
            return generator.randint(
                MINIMUM_LOST_OWNER_RETRY_MS, MAXIMUM_LOST_OWNER_RETRY_MS
            )
        if self._demand is not None and self.reason in _LOAD_REASONS:
            retry_ms = self._services.gate.choose_retry_after_ms(
                self._demand, self._request.caller
            )
            if retry_ms is not None:
                return retry_ms
        return generator.randint(MINIMUM_RETRY_AFTER_MS, MAXIMUM_RETRY_AFTER_MS)

    async def _wait_for_owner(
        self, now: float, demand: sycamoreloft_load.Demand
    ) -> sycamoreloft_load.UpstreamRecord | None:
        """Returns the owner of the key; waits a short time if it changes."""
        services, request = self._services, self._request
        give_up_at = min(
            now + MAXIMUM_OWNER_WAIT_S,
            self._received.deadline - MINIMUM_REMAINING_S,
        )
        if self.tried and not self.misdirected_upstream:
            # The owner was full: one of its requests may end soon.
            await asyncio.sleep(self._draw_full_owner_wait_s(now))
            now = services.loop.time()
        entered: sycamoreloft_load.UpstreamRecord | None = None
        while True:
            owner = services.directory.find_owner(
                request.service, request.key, now
            )
            record = services.pool.find(owner) if owner is not None else None
            if record is not None and services.pool.is_replaced(record, now):
                # No other upstream gets the key until this owner's lease ends.
                self.reason = "owner-replaced"
                return None
            if owner is not None and self._may_have_run_at(owner, now):
                self.reason = "owner-changed"
                return None
            if record is not None and self._may_send(record, now):
                services.directory.record_available(record.entry.run)
                if not self._admit(record, now, record is entered):
                    return None
                if record is entered or services.gate.may_enter(
                    demand, record, now
                ):
                    return self._reserve(record, now)
                if not await self._wait_for_room(demand, record):
                    return None
                # The key may have moved meanwhile.
                entered, now = record, services.loop.time()
                continue
            if services.pool.is_service_evacuated(request.service):
                # The keys have nowhere to move to.
                self.reason = "evacuated"
                return None
            self.reason = "no-owner"
            if owner is not None and owner.id != self.misdirected_upstream:
                missing_s = services.directory.record_missing(owner, now)
                self.is_owner_lost = missing_s > MAXIMUM_OWNER_WAIT_S
            if self.is_owner_lost or now >= give_up_at:
                return None
            await services.directory.wait_for_change(
                min(give_up_at - now, MAXIMUM_MISDIRECTED_WAIT_S)
            )
            # The same owner may have received its grant by now.
            self.misdirected_upstream = ""
            now = services.loop.time()

    def _draw_full_owner_wait_s(self, now: float) -> float:
        """Draws the wait before a retry at an owner that was full."""
        generator = self._services.generator
        if not self._reset_count:
            return generator.uniform(
                MINIMUM_FULL_OWNER_WAIT_S, MAXIMUM_FULL_OWNER_WAIT_S
            )
        owner = self._services.directory.find_owner(
            self._request.service, self._request.key, now
        )
        record = self._services.pool.find(owner) if owner is not None else None
        if record is None:
            return 0.0
        share = generator.uniform(
            MINIMUM_RESET_WAIT_SHARE, MAXIMUM_RESET_WAIT_SHARE
        )
        slot_s = record.latency_s / max(1, record.entry.slots)
        return share * slot_s * 2.0 ** (self._reset_count - 1)

    def _admit(
        self,
        record: sycamoreloft_load.UpstreamRecord,
        now: float,
        has_waited: bool,
    ) -> bool:
        """Returns whether the request should be sent to its owner now."""
        pool = self._services.pool
        if self.is_owner_paused(now):
            return False
        if not self.tried and not has_waited and not pool.admit(record):
            self.reason = "owner-full"
            return False
        if pool.is_avoided(record, now):
            # The owner does not answer: only one request at a time is sent, as
            # a probe.
            self.reason = "owner-silent"
            if record.in_flight:
                return False
        if not pool.warm_up.may_send(record.entry.key, now):
            self.reason = "owner-cold"
            return False
        return True

    def _reserve(
        self, record: sycamoreloft_load.UpstreamRecord, now: float
    ) -> sycamoreloft_load.UpstreamRecord | None:
        """Returns the owner if its limit while cold leaves room."""
        if self._services.pool.warm_up.reserve(record.entry.key, now):
            return record
        self.reason = "owner-cold"
        return None

    def _may_send(
        self, record: sycamoreloft_load.UpstreamRecord, now: float
    ) -> bool:
        """Returns whether the request may be sent to the owner of its key."""
        if record.entry.id == self.misdirected_upstream:
            return False
        # `_admit` checks the pause of an owner that is not shutting down.
        pool, entry = self._services.pool, record.entry
        if not entry.is_draining:
            return pool.evacuations.may_send(
                entry.failure_domain, now, has_key=True
            )
        return pool.may_send(record, now, self._services.leaving_s)
