"""Admission control: whether a request gets a permit, waits or is refused."""

import random

from sycamoreloft_decisions import (
    _balancing,
    _permit_events,
    _permit_records,
    _permit_waiting,
    _quarantine,
    _recent_set,
)

Commands = list[_permit_events.PermitCommand]

#: Number of ended permits that are remembered, so that a late report does not
#: add them again.
REMEMBERED_ENDED_PERMITS = 8192

#: Maximum number of requests that are queued for an upstream whose limits are
#: not known yet.
DEFAULT_QUEUE_LENGTH = 16

#: Maximum number of candidate sets whose upstreams are cached.
CACHED_CANDIDATE_SETS = 1024

#: Maximum number of copies of a request that are in flight or may have frozen
#: an upstream, before one of them has completed. Each copy may crash an
#: upstream.
MAXIMUM_UNTRIED_COPIES = 2

#: Minimum delay that is suggested for retrying a refused request, in seconds.
MINIMUM_RETRY_AFTER_S = 0.05


class Admission:
    """State of a permit issuer, and steps that several events share."""

    def __init__(
        self,
        generator: random.Random,
        now: float,
        *,
        fresh: bool = False,
        options: _permit_events.PermitOptions | None = None,
    ) -> None:
        """Creates the state at a takeover of the group.

        Args:
            generator: Source of randomness.
            now: Time of the takeover, in seconds.
            fresh: Whether no earlier holder can have issued permits, so that
                the recovery from reports of the hosts is skipped.
            options: Limits; None for the defaults.
        """
        self._generator = generator
        self._options = options or _permit_events.PermitOptions()
        self._recovering = not fresh
        self._recovered_at = now + self._options.recovery_s
        self._closed = False
        self._upstreams: dict[str, _balancing.UpstreamState] = {}
        self._candidates: dict[
            tuple[str, ...], list[_balancing.UpstreamState]
        ] = {}
        self._permits: dict[str, _permit_records.Permit] = {}
        self._ended = _recent_set.RecentSet[str](REMEMBERED_ENDED_PERMITS)
        # During recovery, no ended permit may be forgotten: a permit that is
        # reported again after its end would be counted as a second known slot.
        self._ended.unbounded = self._recovering
        self._running: dict[bytes, list[str]] = {}
        self._quarantine = _quarantine.Quarantine(self._options)
        self._waiting = _permit_waiting.WaitingRequests(self._options)

    def count_in_use(self, upstream: str) -> int:
        """Returns the number of permits of an upstream that have not ended."""
        state = self._upstreams.get(upstream)
        return 0 if state is None else state.in_use

    def count_waiting(self) -> int:
        """Returns the number of requests that wait for a permit."""
        return len(self._waiting.tickets)

    def is_recovering(self) -> bool:
        """Returns whether permits of an earlier holder may be unreported."""
        return self._recovering

    def _admit(
        self,
        request: _permit_events.PermitRequested,
        now: float,
        commands: Commands,
    ) -> None:
        if request.deadline <= now:
            commands.append(
                refuse(request, _permit_events.RefusalReason.DEADLINE)
            )
            return
        if self._waiting.paused_partitions:
            paused = self._waiting.find_paused_partition(request)
            if paused is not None:
                self._wait_for_resume(request, paused, commands)
                return
        candidates = self._get_candidates(request)
        if request.fingerprint in self._running or not (
            self._quarantine.is_empty()
        ):
            allowed = self._filter_candidates(
                request, candidates, now, commands
            )
            if allowed is None:
                return
            candidates = allowed
        upstream = _balancing.choose_upstream(candidates, self._generator, now)
        if upstream is None:
            self._enqueue(request, candidates, now, commands)
        else:
            self._issue(request, upstream, now, commands)

    def _filter_candidates(
        self,
        request: _permit_events.PermitRequested,
        candidates: list[_balancing.UpstreamState],
        now: float,
        commands: Commands,
    ) -> list[_balancing.UpstreamState] | None:
        """Returns the candidates that the quarantine allows for a request.

        Returns:
            None if the request has to wait or is refused. It has then been
            added to the waiting requests, or refused by a command.
        """
        suspicion = self._quarantine.classify(request.fingerprint, now)
        if suspicion is _quarantine.Suspicion.GUILTY:
            commands.append(
                refuse(request, _permit_events.RefusalReason.QUARANTINED)
            )
            return None
        if suspicion is _quarantine.Suspicion.UNRESOLVED or (
            suspicion is _quarantine.Suspicion.SUSPECT
            and any(map(self._quarantine.is_suspect, self._running))
        ):
            self._wait_as_suspect(request, commands)
            return None
        if self._quarantine.is_known_good(request.fingerprint):
            return candidates
        running = self._running.get(request.fingerprint, ())
        possibly_frozen = self._quarantine.list_possibly_frozen(
            request.fingerprint, now
        )
        if len(running) + len(possibly_frozen) >= MAXIMUM_UNTRIED_COPIES:
            self._wait_as_suspect(request, commands)
            return None
        others = [
            upstream
            for upstream in candidates
            if upstream.name not in possibly_frozen
        ]
        return others or candidates

    def _wait_as_suspect(
        self, request: _permit_events.PermitRequested, commands: Commands
    ) -> None:
        if not self._waiting.add_suspect(request):
            commands.append(
                refuse(request, _permit_events.RefusalReason.OVERLOADED)
            )

    def _wait_for_resume(
        self,
        request: _permit_events.PermitRequested,
        paused: _permit_records.PausedPartition,
        commands: Commands,
    ) -> None:
        if not self._waiting.add_paused(request, paused):
            commands.append(
                refuse(request, _permit_events.RefusalReason.OVERLOADED)
            )

    def _enqueue(
        self,
        request: _permit_events.PermitRequested,
        candidates: list[_balancing.UpstreamState],
        now: float,
        commands: Commands,
    ) -> None:
        # A keyed request waits for its owner, which may recover or lose the
        # partition to another owner. An unkeyed one needs an available
        # upstream. After a takeover, upstreams that have not answered this
        # holder yet are expected to do so soon.
        usable = [
            upstream
            for upstream in candidates
            if upstream.available
            or request.partition >= 0
            or (self._recovering and not upstream.slots)
        ]
        if not usable:
            commands.append(
                refuse(request, _permit_events.RefusalReason.NO_UPSTREAM)
            )
            return
        lane = self._waiting.get_lane(request)
        bound = sum(
            upstream.queue or DEFAULT_QUEUE_LENGTH for upstream in usable
        )
        wait_s = self._waiting.estimate_wait(lane, request, usable)
        if self._recovering:
            wait_s = max(wait_s, self._compute_recovery_wait(usable, now))
        reason = None
        if now + wait_s >= request.deadline:
            reason = _permit_events.RefusalReason.DEADLINE
        elif lane.size >= bound:
            evicted = lane.evict_below(request.priority)
            if evicted is None:
                reason = _permit_events.RefusalReason.OVERLOADED
            else:
                del self._waiting.tickets[evicted.request.permit]
                commands.append(
                    refuse(
                        evicted.request,
                        _permit_events.RefusalReason.SHED,
                        wait_s,
                    )
                )
        if reason is None:
            self._waiting.add_queued(request, lane)
        else:
            commands.append(refuse(request, reason, wait_s))

    def _compute_recovery_wait(
        self, upstreams: list[_balancing.UpstreamState], now: float
    ) -> float:
        if any(upstream.capacity for upstream in upstreams):
            return 0.0
        return self._recovered_at - now

    def _issue(
        self,
        request: _permit_events.PermitRequested,
        upstream: _balancing.UpstreamState,
        now: float,
        commands: Commands,
    ) -> None:
        self._permits[request.permit] = _permit_records.Permit(
            request, upstream, now, self._quarantine.mark_count
        )
        upstream.in_use += 1
        running = self._running.get(request.fingerprint)
        if running is None:
            self._running[request.fingerprint] = [upstream.name]
        else:
            running.append(upstream.name)
        commands.append(self._grant(request, upstream))

    def _grant(
        self,
        request: _permit_events.PermitRequested,
        upstream: _balancing.UpstreamState,
    ) -> _permit_events.IssuePermit:
        return _permit_events.IssuePermit(
            request.permit,
            request.host,
            upstream.name,
            self._options.validity_s,
        )

    def _start_queued(
        self,
        upstream: _balancing.UpstreamState,
        now: float,
        commands: Commands,
    ) -> None:
        """Issues permits to queued requests while the upstream has slots."""
        # Requests for several upstreams are left to the others while this one
        # is ejected, unless all are.
        own_only = upstream.ejected_until > now and any(
            each.available and each.ejected_until <= now
            for each in self._upstreams.values()
        )
        while upstream.is_free():
            ticket = self._waiting.pop_next(upstream.name, own_only)
            if ticket is None:
                return
            request = ticket.request
            if now + self._waiting.get_service_time(request) > request.deadline:
                commands.append(
                    refuse(request, _permit_events.RefusalReason.DEADLINE)
                )
                continue
            if request.fingerprint in self._running or not (
                self._quarantine.is_empty()
            ):
                allowed = self._filter_candidates(
                    request, [upstream], now, commands
                )
                if not allowed:
                    continue
            self._issue(request, upstream, now, commands)

    def _end_permit(
        self,
        permit: _permit_records.Permit,
        now: float,
        commands: Commands,
    ) -> None:
        """Ends a permit, and admits requests that waited for its end."""
        name = permit.request.permit
        del self._permits[name]
        self._ended.add(name)
        self._clear_running(permit)
        upstream = permit.upstream
        upstream.in_use -= 1
        if self._waiting.paused_partitions:
            self._waiting.end_permit(name)
            self._report_drained(commands)
        if self._waiting.suspects:
            self._retry_suspects(now, commands)
        if self._waiting.tickets:
            self._start_queued(upstream, now, commands)

    def _clear_running(self, permit: _permit_records.Permit) -> None:
        if not permit.running:
            return
        permit.running = False
        fingerprint = permit.request.fingerprint
        running = self._running[fingerprint]
        if len(running) == 1:
            del self._running[fingerprint]
        else:
            running.remove(permit.upstream.name)

    def _record_unknown(
        self,
        permit: _permit_records.Permit,
        connection_lost: bool,
        now: float,
    ) -> None:
        fingerprint = permit.request.fingerprint
        upstream = permit.upstream.name
        if connection_lost:
            self._quarantine.record_break(
                fingerprint, upstream, permit.mark_count, now
            )
        else:
            self._quarantine.record_unknown(
                fingerprint, upstream, permit.mark_count, now
            )

    def _add_reported_permit(
        self, used: _permit_events.ReportedPermit, host: str, now: float
    ) -> None:
        request = _permit_records.build_inherited_request(
            used, host, now + self._options.maximum_deadline_s
        )
        upstream = self._get_upstream(used.upstream)
        permit = _permit_records.Permit(
            request,
            upstream,
            now,
            self._quarantine.mark_count,
            is_inherited=True,
        )
        self._permits[used.permit] = permit
        upstream.add_reported_permit(used.unlapsed)
        self._running.setdefault(used.fingerprint, []).append(used.upstream)
        for paused in self._waiting.paused_partitions:
            if paused.waits_for(permit):
                paused.outstanding.add(used.permit)

    def _finish_recovery(self, now: float, commands: Commands) -> None:
        self._recovering = False
        self._ended.unbounded = False
        for upstream in self._upstreams.values():
            upstream.recovering = False
            upstream.update_capacity()
            self._start_queued(upstream, now, commands)
        for request in self._waiting.pop_unkeyed():
            self._admit(request, now, commands)
        self._report_drained(commands)

    def _retry_suspects(self, now: float, commands: Commands) -> None:
        for request in self._waiting.pop_suspects():
            self._admit(request, now, commands)

    def _report_drained(self, commands: Commands) -> None:
        if self._recovering:
            return
        for paused in self._waiting.paused_partitions:
            if not paused.outstanding and not paused.is_drained_reported:
                paused.is_drained_reported = True
                commands.append(
                    _permit_events.PartitionDrained(
                        paused.fleet,
                        paused.service,
                        paused.partition,
                        paused.key,
                    )
                )

    def _get_upstream(self, name: str) -> _balancing.UpstreamState:
        upstream = self._upstreams.get(name)
        if upstream is None:
            upstream = _balancing.UpstreamState(name, self._recovering)
            self._upstreams[name] = upstream
            self._candidates.clear()
        return upstream

    def _get_candidates(
        self, request: _permit_events.PermitRequested
    ) -> list[_balancing.UpstreamState]:
        names = request.candidates
        states = self._candidates.get(names)
        if states is None or len(states) < len(names):
            if request.partition >= 0 or self._recovering:
                for name in names:
                    self._get_upstream(name)
            states = [
                self._upstreams[name]
                for name in names
                if name in self._upstreams
            ]
            if len(self._candidates) >= CACHED_CANDIDATE_SETS:
                self._candidates.clear()
            self._candidates[names] = states
        return states


def refuse(
    request: _permit_events.PermitRequested,
    reason: _permit_events.RefusalReason,
    retry_after_s: float = MINIMUM_RETRY_AFTER_S,
) -> _permit_events.RefusePermit:
    """Returns the command that refuses a request.

    Args:
        request: The request.
        reason: Why it is refused.
        retry_after_s: Suggested delay before a retry, in seconds. It is
            raised to `MINIMUM_RETRY_AFTER_S`.
    """
    return _permit_events.RefusePermit(
        request.permit,
        request.host,
        reason,
        max(retry_after_s, MINIMUM_RETRY_AFTER_S),
    )
