"""Admission of requests: issue, queue, hold back or refuse."""

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

#: Permits whose end is remembered, so that a late report does not bring them
#: back.
ENDED_PERMITS = 8192

#: Requests queued for an upstream whose limits are not known yet.
FIRST_QUEUE = 16

#: Sets of candidates whose upstreams are looked up once.
CANDIDATE_SETS = 1024

#: Copies of a request that may be in flight, or may have frozen an upstream,
#: before one of them has completed. Each may take down an upstream.
UNTRIED_COPIES = 2

#: Least time after which a refused request is worth repeating, in seconds.
LEAST_RETRY_AFTER_S = 0.05


class Admission:
    """State of a permit desk, and the steps that several events share."""

    def __init__(
        self,
        generator: random.Random,
        now: float,
        *,
        fresh: bool = False,
        options: _permit_events.PermitOptions | None = None,
    ) -> None:
        """Starts a desk.

        Args:
            generator: Source of the random choices.
            now: Time of the takeover.
            fresh: Whether no holder can have issued permits before, so that
                nothing has to be learned from reports.
            options: Limits.
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
        self._ended = _recent_set.RecentSet[str](ENDED_PERMITS)
        # A permit that was learned twice would count as two slots that are
        # accounted for.
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
        """Tells whether permits of an earlier holder may be unknown."""
        return self._recovering

    def _admit(
        self,
        asked: _permit_events.PermitRequested,
        now: float,
        commands: Commands,
    ) -> None:
        if asked.deadline <= now:
            commands.append(
                refuse(asked, _permit_events.RefusalReason.DEADLINE)
            )
            return
        if self._waiting.holds:
            hold = self._waiting.find_hold(asked)
            if hold is not None:
                self._wait_for_hold(asked, hold, commands)
                return
        candidates = self._find_candidates(asked)
        if asked.fingerprint in self._running or not (
            self._quarantine.is_empty()
        ):
            allowed = self._restrict(asked, candidates, now, commands)
            if allowed is None:
                return
            candidates = allowed
        upstream = _balancing.choose_upstream(candidates, self._generator, now)
        if upstream is None:
            self._enqueue(asked, candidates, now, commands)
        else:
            self._issue(asked, upstream, now, commands)

    def _restrict(
        self,
        asked: _permit_events.PermitRequested,
        candidates: list[_balancing.UpstreamState],
        now: float,
        commands: Commands,
    ) -> list[_balancing.UpstreamState] | None:
        """Returns where a request may run; None if it waits or is refused."""
        standing = self._quarantine.judge(asked.fingerprint, now)
        if standing is _quarantine.Standing.GUILTY:
            commands.append(
                refuse(asked, _permit_events.RefusalReason.QUARANTINED)
            )
            return None
        if standing is _quarantine.Standing.UNRESOLVED or (
            standing is _quarantine.Standing.SUSPECT
            and any(map(self._quarantine.is_suspect, self._running))
        ):
            self._wait_as_suspect(asked, commands)
            return None
        if self._quarantine.is_known_good(asked.fingerprint):
            return candidates
        running = self._running.get(asked.fingerprint, ())
        doubtful = self._quarantine.list_doubtful(asked.fingerprint, now)
        if len(running) + len(doubtful) >= UNTRIED_COPIES:
            self._wait_as_suspect(asked, commands)
            return None
        others = [
            upstream for upstream in candidates if upstream.name not in doubtful
        ]
        return others or candidates

    def _wait_as_suspect(
        self, asked: _permit_events.PermitRequested, commands: Commands
    ) -> None:
        if not self._waiting.add_suspect(asked):
            commands.append(
                refuse(asked, _permit_events.RefusalReason.OVERLOADED)
            )

    def _wait_for_hold(
        self,
        asked: _permit_events.PermitRequested,
        hold: _permit_records.Hold,
        commands: Commands,
    ) -> None:
        if not self._waiting.add_held(asked, hold):
            commands.append(
                refuse(asked, _permit_events.RefusalReason.OVERLOADED)
            )

    def _enqueue(
        self,
        asked: _permit_events.PermitRequested,
        candidates: list[_balancing.UpstreamState],
        now: float,
        commands: Commands,
    ) -> None:
        # A keyed request waits for its owner, which may come back or pass its
        # partition on; an unkeyed one needs an upstream that works now. After
        # a takeover, upstreams that have not answered yet are about to.
        usable = [
            upstream
            for upstream in candidates
            if upstream.available
            or asked.partition >= 0
            or (self._recovering and not upstream.slots)
        ]
        if not usable:
            commands.append(
                refuse(asked, _permit_events.RefusalReason.NO_UPSTREAM)
            )
            return
        lane = self._waiting.find_lane(asked)
        bound = sum(upstream.queue or FIRST_QUEUE for upstream in usable)
        wait_s = self._waiting.estimate_wait(lane, asked, usable)
        if self._recovering:
            wait_s = max(wait_s, self._find_recovery_wait(usable, now))
        reason = None
        if now + wait_s >= asked.deadline:
            reason = _permit_events.RefusalReason.DEADLINE
        elif lane.size >= bound:
            victim = lane.evict_below(asked.priority)
            if victim is None:
                reason = _permit_events.RefusalReason.OVERLOADED
            else:
                del self._waiting.tickets[victim.asked.permit]
                commands.append(
                    refuse(
                        victim.asked, _permit_events.RefusalReason.SHED, wait_s
                    )
                )
        if reason is None:
            self._waiting.add_queued(asked, lane)
        else:
            commands.append(refuse(asked, reason, wait_s))

    def _find_recovery_wait(
        self, upstreams: list[_balancing.UpstreamState], now: float
    ) -> float:
        if any(upstream.capacity for upstream in upstreams):
            return 0.0
        return self._recovered_at - now

    def _issue(
        self,
        asked: _permit_events.PermitRequested,
        upstream: _balancing.UpstreamState,
        now: float,
        commands: Commands,
    ) -> None:
        self._permits[asked.permit] = _permit_records.Permit(
            asked, upstream, now, self._quarantine.order
        )
        upstream.in_use += 1
        running = self._running.get(asked.fingerprint)
        if running is None:
            self._running[asked.fingerprint] = [upstream.name]
        else:
            running.append(upstream.name)
        commands.append(self._grant(asked, upstream))

    def _grant(
        self,
        asked: _permit_events.PermitRequested,
        upstream: _balancing.UpstreamState,
    ) -> _permit_events.IssuePermit:
        return _permit_events.IssuePermit(
            asked.permit, asked.host, upstream.name, self._options.validity_s
        )

    def _drain(
        self,
        upstream: _balancing.UpstreamState,
        now: float,
        commands: Commands,
    ) -> None:
        """Starts queued requests while the upstream has free slots."""
        # Others serve what waits for several upstreams, unless all are ejected.
        own_only = upstream.ejected_until > now and any(
            each.available and each.ejected_until <= now
            for each in self._upstreams.values()
        )
        while upstream.is_free():
            ticket = self._waiting.take_next(upstream.name, own_only)
            if ticket is None:
                return
            asked = ticket.asked
            if now + self._waiting.find_service_time(asked) > asked.deadline:
                commands.append(
                    refuse(asked, _permit_events.RefusalReason.DEADLINE)
                )
                continue
            if asked.fingerprint in self._running or not (
                self._quarantine.is_empty()
            ):
                allowed = self._restrict(asked, [upstream], now, commands)
                if not allowed:
                    continue
            self._issue(asked, upstream, now, commands)

    def _end(
        self,
        permit: _permit_records.Permit,
        now: float,
        commands: Commands,
    ) -> None:
        """Ends a permit, and starts what has waited for its end."""
        name = permit.asked.permit
        del self._permits[name]
        self._ended.add(name)
        self._stop_running(permit)
        upstream = permit.upstream
        upstream.in_use -= 1
        if self._waiting.holds:
            self._waiting.end_permit(name)
            self._tell_drained(commands)
        if self._waiting.suspects:
            self._retry_waiting(now, commands)
        if self._waiting.tickets:
            self._drain(upstream, now, commands)

    def _stop_running(self, permit: _permit_records.Permit) -> None:
        if not permit.running:
            return
        permit.running = False
        fingerprint = permit.asked.fingerprint
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
        fingerprint = permit.asked.fingerprint
        upstream = permit.upstream.name
        if connection_lost:
            self._quarantine.record_break(
                fingerprint, upstream, permit.order, now
            )
        else:
            self._quarantine.record_unknown(
                fingerprint, upstream, permit.order, now
            )

    def _learn(
        self, used: _permit_events.ReportedPermit, host: str, now: float
    ) -> None:
        asked = _permit_records.describe_learned(
            used, host, now + self._options.longest_deadline_s
        )
        upstream = self._find_upstream(used.upstream)
        permit = _permit_records.Permit(
            asked, upstream, now, self._quarantine.order, learned=True
        )
        self._permits[used.permit] = permit
        upstream.account(used.unlapsed)
        self._running.setdefault(used.fingerprint, []).append(used.upstream)
        for hold in self._waiting.holds:
            if hold.concerns(permit):
                hold.outstanding.add(used.permit)

    def _finish_recovery(self, now: float, commands: Commands) -> None:
        self._recovering = False
        self._ended.unbounded = False
        for upstream in self._upstreams.values():
            upstream.recovering = False
            upstream.update_capacity()
            self._drain(upstream, now, commands)
        for asked in self._waiting.take_unkeyed():
            self._admit(asked, now, commands)
        self._tell_drained(commands)

    def _retry_waiting(self, now: float, commands: Commands) -> None:
        for asked in self._waiting.take_suspects():
            self._admit(asked, now, commands)

    def _tell_drained(self, commands: Commands) -> None:
        if self._recovering:
            return
        for hold in self._waiting.holds:
            if not hold.outstanding and not hold.told:
                hold.told = True
                commands.append(
                    _permit_events.PartitionDrained(
                        hold.fleet, hold.service, hold.partition, hold.key
                    )
                )

    def _find_upstream(self, name: str) -> _balancing.UpstreamState:
        upstream = self._upstreams.get(name)
        if upstream is None:
            upstream = _balancing.UpstreamState(name, self._recovering)
            self._upstreams[name] = upstream
            self._candidates.clear()
        return upstream

    def _find_candidates(
        self, asked: _permit_events.PermitRequested
    ) -> list[_balancing.UpstreamState]:
        names = asked.candidates
        found = self._candidates.get(names)
        if found is None or len(found) < len(names):
            if asked.partition >= 0 or self._recovering:
                for name in names:
                    self._find_upstream(name)
            found = [
                self._upstreams[name]
                for name in names
                if name in self._upstreams
            ]
            if len(self._candidates) >= CANDIDATE_SETS:
                self._candidates.clear()
            self._candidates[names] = found
        return found


def refuse(
    asked: _permit_events.PermitRequested,
    reason: _permit_events.RefusalReason,
    retry_after_s: float = LEAST_RETRY_AFTER_S,
) -> _permit_events.RefusePermit:
    """Returns the refusal of a request."""
    return _permit_events.RefusePermit(
        asked.permit,
        asked.host,
        reason,
        max(retry_after_s, LEAST_RETRY_AFTER_S),
    )
