"""Permit desk of one group: decides which request may go to which upstream.

The desk holds four invariants:

* An upstream never has more permits than slots. After a takeover, a slot is
  free only once its permit was reported and returned, or when the validity
  of permits has passed.
* A permit ends when it is returned, or when a silent host cannot use it any
  more (`_permit_records.Permit`).
* A request that may crash upstreams never runs on more than two of them, as
  long as the upstreams belong to one desk.
* A queue never holds more requests than its bound.
"""

from collections import abc
import dataclasses
import functools

from sycamoreloft_decisions import (
    _permit_admission,
    _permit_events,
    _permit_records,
)


class PermitIssuer(_permit_admission.Admission):
    """Issues at most as many permits for an upstream as it has slots."""

    def handle(
        self, event: _permit_events.PermitEvent, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        """Applies an event and returns the commands that follow from it."""
        commands: abc.Sequence[_permit_events.PermitCommand]
        commands = _find_handler(type(event))(self, event, now)
        return commands

    @functools.singledispatchmethod
    def _handle(
        self, event: _permit_events.PermitEvent, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_handle.register
    def _handle_asked(
        self, event: _permit_events.PermitRequested, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        permit = event.permit
        if self._closed:
            return (
                _permit_admission.refuse(
                    event, _permit_events.RefusalReason.NOT_HOLDER
                ),
            )
        if permit in self._waiting.tickets:
            return ()
        if permit in self._permits:
            known = self._permits[permit]
            return (self._grant(event, known.upstream),)
        commands: _permit_admission.Commands = []
        self._admit(event, now, commands)
        return commands

    @_handle.register
    def _handle_returned(
        self, event: _permit_events.PermitReturned, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        permit = self._permits.get(event.permit)
        if permit is None:
            self._ended.add(event.permit)
            ticket = self._waiting.tickets.get(event.permit)
            if ticket is not None:
                self._waiting.discard(ticket)
            return ()
        upstream = permit.upstream
        asked = permit.asked
        grown = False
        if event.outcome == "completed":
            self._quarantine.record_completion(asked.fingerprint)
            grown = upstream.observe_success(event.latency_s, now)
            self._waiting.observe(asked, event.latency_s)
        elif event.refused or event.connection_lost:
            upstream.observe_failure(now)
        else:
            upstream.observe_unfinished(event.latency_s)
        if event.outcome == "unknown" and not permit.blamed:
            self._record_unknown(permit, event.connection_lost, now)
        commands: _permit_admission.Commands = []
        self._end(permit, now, commands)
        if grown:
            self._drain(upstream, now, commands)
        if event.connection_lost:
            # The next holder must know of the break, if this one is lost too.
            commands += self._quarantine.take_unshared()
        return commands

    @_handle.register
    def _handle_reported(
        self, event: _permit_events.PermitsReported, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        for used in event.permits:
            permit = self._permits.get(used.permit)
            if permit is not None:
                permit.renewed_at = now
            elif used.permit not in self._ended:
                self._learn(used, event.host, now)
        return ()

    @_handle.register
    def _handle_available(
        self, event: _permit_events.UpstreamAvailable, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        upstream = self._find_upstream(event.upstream)
        upstream.open(event.slots, event.queue, event.cold)
        commands: _permit_admission.Commands = []
        self._drain(upstream, now, commands)
        return commands

    @_handle.register
    def _handle_unavailable(
        self, event: _permit_events.UpstreamUnavailable, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        self._find_upstream(event.upstream).available = False
        return ()

    @_handle.register
    def _handle_lost(
        self, event: _permit_events.UpstreamLost, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        upstream = self._find_upstream(event.upstream)
        upstream.available = False
        permits = [
            permit
            for permit in self._permits.values()
            if permit.upstream is upstream
        ]
        self._quarantine.record_loss(
            event.upstream,
            [
                (permit.asked.fingerprint, permit.order)
                for permit in permits
                if not permit.blamed
            ],
            now,
        )
        commands: _permit_admission.Commands = []
        for permit in permits:
            permit.blamed = True
            if permit.has_started(self._options, now):
                self._stop_running(permit)
            # What had started has ended. A permit that is still valid may yet
            # be used for the restarted upstream, so it keeps its slot.
            if event.ended and permit.has_lapsed(self._options, now):
                self._end(permit, now, commands)
        self._retry_waiting(now, commands)
        commands += self._quarantine.take_unshared()
        return commands

    @_handle.register
    def _handle_held(
        self, event: _permit_events.PartitionPaused, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        hold = _permit_records.Hold(
            event.fleet, event.service, event.partition, event.key, set(), {}
        )
        hold = self._waiting.add_hold(hold)
        hold.told = False
        hold.outstanding = {
            permit.asked.permit
            for permit in self._permits.values()
            if hold.concerns(permit)
        }
        commands: _permit_admission.Commands = []
        self._tell_drained(commands)
        return commands

    @_handle.register
    def _handle_released(
        self, event: _permit_events.PartitionResumed, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        commands: _permit_admission.Commands = []
        for asked in self._waiting.remove_hold(event):
            if event.upstream:
                asked = dataclasses.replace(asked, candidates=(event.upstream,))
            self._admit(asked, now, commands)
        return commands

    @_handle.register
    def _handle_suspects(
        self, event: _permit_events.SuspectsReported, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        self._quarantine.learn(event.fingerprints, event.guilty, now)
        return ()

    @_handle.register
    def _handle_closed(
        self, event: _permit_events.PermitIssuerClosed, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        self._closed = True
        commands: _permit_admission.Commands = []
        for ticket in list(self._waiting.tickets.values()):
            self._waiting.discard(ticket)
            commands.append(
                _permit_admission.refuse(
                    ticket.asked, _permit_events.RefusalReason.NOT_HOLDER
                )
            )
        return commands

    @_handle.register
    def _handle_tick(
        self, event: _permit_events.PermitTick, now: float
    ) -> abc.Sequence[_permit_events.PermitCommand]:
        commands: _permit_admission.Commands = []
        for ticket in self._waiting.take_late(now):
            commands.append(
                _permit_admission.refuse(
                    ticket, _permit_events.RefusalReason.DEADLINE
                )
            )
        for permit in list(self._permits.values()):
            if permit.compute_end(self._options) <= now:
                self._end(permit, now, commands)
            elif permit.blamed and permit.has_started(self._options, now):
                self._stop_running(permit)
        if self._recovering and now >= self._recovered_at:
            self._finish_recovery(now, commands)
        if not self._quarantine.is_empty():
            self._quarantine.expire(now)
        self._retry_waiting(now, commands)
        commands += self._quarantine.take_unshared()
        return commands


# An access to a singledispatchmethod builds a new function and took 2 to 4 us;
# a look-up in its table took 0.3 us.
_find_handler = vars(PermitIssuer)["_handle"].dispatcher.dispatch
