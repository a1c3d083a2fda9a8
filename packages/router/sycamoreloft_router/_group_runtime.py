"""Runs one group on this host, as its holder, its standby or neither."""

import asyncio
from collections import abc
import functools
import logging
import time
import typing

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_router import (
    _generation_checks,
    _group_calls,
    _group_claims,
    _group_permits,
    _logs,
    _parked_requests,
    _peer_server,
    _suspect_record,
)
import sycamoreloft_wire

_LOGGER = logging.getLogger(__name__)

#: Time between two ticks, in seconds.
TICK_INTERVAL_S = 0.05

#: Number of ticks between two reports of request counts by key.
KEY_REPORT_TICKS = 20


class GroupRuntime:
    """Runs a group's state machine and, as its holder, permits and claims."""

    def __init__(
        self,
        environment: _group_calls.GroupEnvironment,
        group: sycamoreloft_config.GroupName,
        accepted: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        self.group = group
        self._environment = environment
        self._accepted = accepted
        self._pending = pending
        self._parked = _parked_requests.ParkedRequests()
        self._suspects = _suspect_record.SuspectRecord()
        self._task_count = 0
        self._machine = self._make_machine()
        self._calls = _group_calls.GroupCalls(
            environment, group, self._feed, self._observe_grant
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._ticks = 0
        self._permits: _group_permits.GroupPermits | None = None
        self._claims: _group_claims.GroupClaims | None = None

    def _make_machine(self) -> sycamoreloft_decisions.GroupHolder:
        """Creates a state machine without the state of earlier task runs.

        A new incarnation marks rows of earlier runs as another process's.
        """
        self._task_count += 1
        machine = sycamoreloft_decisions.GroupHolder(
            self._environment.host,
            f"{self._environment.incarnation}.{self._task_count}",
            self.group,
            self._accepted,
            time.monotonic(),
        )
        machine.handle(
            sycamoreloft_decisions.GenerationChanged(
                self._accepted, self._pending
            ),
            time.monotonic(),
        )
        return machine

    async def run(self) -> None:
        """Ticks a new state machine until the task is cancelled or fails."""
        self._machine = self._make_machine()
        try:
            while True:
                self._tick()
                await asyncio.sleep(TICK_INTERVAL_S)
        finally:
            for task in list(self._tasks):
                task.cancel()
            self._stop_holding("task ended")

    def _tick(self) -> None:
        self._ticks += 1
        self._feed(self._environment.directory.observe_members(self.group))
        self._feed(sycamoreloft_decisions.Tick())
        self._parked.retry(self._is_undecided, self._process_request)
        if self._permits is not None:
            self._environment.aliases.tick(self.group.fleet)
            self._permits.tick()
            if self._ticks % KEY_REPORT_TICKS == 0:
                for observed in self._permits.pop_observed_keys():
                    self._feed(observed)
        if self._claims is not None:
            self._claims.tick()

    @property
    def epoch(self) -> int:
        """Epoch in which this host holds the group, 0 if it does not."""
        return self._machine.get_epoch() if self._permits else 0

    @property
    def permits(self) -> _group_permits.GroupPermits | None:
        """Permit issuer of the group, None unless this host holds the group."""
        return self._permits

    def change_generation(
        self,
        accepted: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        """Applies a new accepted or pending generation."""
        groups_changed = _generation_checks.changes_groups(
            self._accepted, accepted, self.group.fleet
        )
        self._accepted, self._pending = accepted, pending
        fleet = accepted.fleets.get(self.group.fleet)
        if fleet is not None and self._permits is not None:
            self._permits.apply_fleet(fleet)
        if groups_changed and self._claims is not None:
            self._claims.reload()
        self._feed(sycamoreloft_decisions.GenerationChanged(accepted, pending))

    def request_stop(self) -> None:
        """Starts to hand the group over, or to resign as its standby."""
        self._feed(sycamoreloft_decisions.StopRequested())

    # Messages of other hosts.

    def handle_permit_request(
        self,
        message: sycamoreloft_wire.PermitRequest,
        reply: _peer_server.Reply,
    ) -> None:
        """Handles a permit request; `reply` may be called later."""
        must_wait = self._permits is not None and self._is_undecided(message)
        if not must_wait or not self._parked.add(message, reply):
            self._process_request(message, reply)

    def _process_request(
        self,
        message: sycamoreloft_wire.PermitRequest,
        reply: _peer_server.Reply,
    ) -> None:
        """Passes a request to the permit issuer, or refuses it."""
        reason, retry_after_ms = self._check_request(message)
        if reason or self._permits is None:
            reply(
                sycamoreloft_wire.PermitRefusal(
                    message.permit, reason or "no-holder", retry_after_ms
                )
            )
            return
        self._permits.request_permit(message, reply)

    def _check_request(
        self, message: sycamoreloft_wire.PermitRequest
    ) -> tuple[str, int]:
        """Returns why to refuse a request, or "", and the retry delay in ms."""
        if self._permits is None or not self._machine.may_act(time.monotonic()):
            return "no-holder", 50
        if message.generation < self._accepted.number:
            return "stale-generation", 0
        if self._is_undecided(message):
            return "configuration-pending", 100
        if not _generation_checks.is_well_formed(self._accepted, message):
            return "malformed-request", 0
        if not self._environment.aliases.is_released(
            message.fleet, message.service
        ):
            return "configuration-pending", 100
        return "", 0

    def _is_undecided(self, message: sycamoreloft_wire.PermitRequest) -> bool:
        """Returns whether the generation that applies is not yet decided."""
        if message.generation > self._accepted.number:
            return True
        return self._pending is not None and not sycamoreloft_config.is_alike(
            self._accepted, self._pending, message.fleet, message.service
        )

    def return_permit(self, message: sycamoreloft_wire.PermitReturn) -> None:
        """Ends a permit, or withdraws a request that is not yet answered."""
        self._parked.discard(message.permit)
        if self._permits is not None:
            self._permits.return_permit(message)

    def report_permits(
        self,
        message: sycamoreloft_wire.PermitReport,
        reply: _peer_server.Reply,
    ) -> None:
        """Renews the permits of a host; only a holder answers."""
        if self._permits is not None:
            self._permits.report_permits(message, reply)

    def handle_claim_request(
        self,
        message: sycamoreloft_wire.ClaimRequest,
        reply: _peer_server.Reply,
    ) -> None:
        """Handles a claim request; answered once the claim is durable."""
        if self._claims is None or not self._machine.may_act(time.monotonic()):
            reply(sycamoreloft_wire.ClaimAnswer("unavailable"))
        elif message.generation < self._accepted.number:
            reply(sycamoreloft_wire.ClaimAnswer("stale-generation"))
        elif message.generation > self._accepted.number or (
            self._pending is not None
            and _generation_checks.changes_groups(
                self._accepted, self._pending, self.group.fleet
            )
        ):
            reply(sycamoreloft_wire.ClaimAnswer("unavailable"))
        else:
            self._claims.request_claim(message, reply)

    def handle_claim_result(
        self, message: sycamoreloft_wire.ClaimResult
    ) -> None:
        """Records the result of a claimed attempt."""
        if self._claims is not None:
            self._claims.record_result(message)

    def handle_promise_request(
        self,
        sender: str,
        message: sycamoreloft_wire.PromiseRequest,
        reply: _peer_server.Reply,
    ) -> None:
        """Handles a request of the group's holder for a promise."""
        self._feed(
            sycamoreloft_decisions.PromiseRequested(
                sender, message.epoch, message.duration_ms
            ),
            reply,
        )

    def handle_step_down_request(
        self,
        message: sycamoreloft_wire.StepDownRequest,
        reply: _peer_server.Reply,
    ) -> None:
        """Handles a request of a new holder that this host steps down."""
        self._feed(
            sycamoreloft_decisions.StepDownRequested(message.epoch), reply
        )

    def observe_suspects(
        self, message: sycamoreloft_wire.SuspectNotice
    ) -> None:
        """Records suspects that another group has reported."""
        self._suspects.add(message)
        if self._permits is not None:
            self._permits.observe_suspects(message)

    # State for operators.

    def explain_key(
        self, service: str, key: str, partition: int
    ) -> tuple[str, abc.Sequence[str]]:
        """Returns the owner of a key, or "", and sentences that explain it."""
        owner = self._machine.find_owner(
            service, key, partition, time.monotonic()
        )
        reasons = list(reversed(self._machine.list_explanations()))
        if isinstance(owner, sycamoreloft_decisions.NoOwner):
            return "", [f"no owner now: {owner.reason}", *reasons]
        return owner.upstream, reasons

    def dump_state(self) -> dict[str, typing.Any]:
        """Returns the state of the group for the state dump."""
        now = time.monotonic()
        state: dict[str, typing.Any] = {
            "group": str(self.group),
            "epoch": self.epoch,
            "may_act": self._machine.may_act(now),
            "decisions": list(self._machine.list_explanations())[-20:],
        }
        if self._permits is not None and self._claims is not None:
            state["permits"] = self._permits.list_states()
            state["claims"] = dict(self._claims.counts)
        return state

    # Commands of the state machine.

    def _feed(
        self,
        event: sycamoreloft_decisions.Event,
        reply: _peer_server.Reply | None = None,
    ) -> None:
        commands = self._machine.handle(event, time.monotonic())
        for command in commands:
            self._perform(command, reply)

    def _spawn(
        self, coroutine: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logs.log_event(
                _LOGGER,
                logging.ERROR,
                "group-call-failed",
                group=str(self.group),
                error=repr(task.exception()),
            )

    @functools.singledispatchmethod
    def _perform(
        self,
        command: sycamoreloft_decisions.Command,
        reply: _peer_server.Reply | None,
    ) -> None:
        raise TypeError(f"unknown command {type(command).__name__}")

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.ReadRows,
        reply: _peer_server.Reply | None,
    ) -> None:
        self._spawn(self._calls.read_rows(command))

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.WriteRows,
        reply: _peer_server.Reply | None,
    ) -> None:
        self._spawn(self._calls.write_rows(command))

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.SendGrant,
        reply: _peer_server.Reply | None,
    ) -> None:
        upstream = _generation_checks.find_upstream(
            self.group.fleet, command.upstream, self._accepted, self._pending
        )
        self._spawn(self._calls.send_grant(upstream, command))

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.RequestPromise,
        reply: _peer_server.Reply | None,
    ) -> None:
        self._spawn(self._calls.request_promise(command))

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.RequestStepDown,
        reply: _peer_server.Reply | None,
    ) -> None:
        self._spawn(self._calls.request_step_down(command))

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.AnswerPromise,
        reply: _peer_server.Reply | None,
    ) -> None:
        if reply is not None:
            reply(
                sycamoreloft_wire.PromiseAnswer(command.promised, command.final)
            )

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.AnswerStepDown,
        reply: _peer_server.Reply | None,
    ) -> None:
        if reply is not None:
            reply(sycamoreloft_wire.StepDownAnswer(command.stopped))

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.PauseUnit,
        reply: _peer_server.Reply | None,
    ) -> None:
        if self._permits is not None:
            self._permits.pause_unit(command.unit)

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.ResumeUnit,
        reply: _peer_server.Reply | None,
    ) -> None:
        if self._permits is not None:
            self._permits.resume_unit(command.unit)

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.BecomeHolder,
        reply: _peer_server.Reply | None,
    ) -> None:
        self._become_holder(command.epoch)

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.StepDown,
        reply: _peer_server.Reply | None,
    ) -> None:
        self._stop_holding(command.reason)

    @_perform.register
    def _(
        self,
        command: sycamoreloft_decisions.RecordDecision,
        reply: _peer_server.Reply | None,
    ) -> None:
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "ownership-decision",
            group=str(self.group),
            decision=command.sentence,
        )

    def _observe_grant(
        self,
        upstream: sycamoreloft_config.Upstream,
        answer: sycamoreloft_decisions.GrantAnswered,
    ) -> None:
        if self._permits is not None:
            self._permits.observe_grant(upstream, answer)

    def _become_holder(self, epoch: int) -> None:
        fleet = self._accepted.fleets[self.group.fleet]
        self._permits = _group_permits.GroupPermits(
            fleet,
            self.group,
            self._environment.aliases.wrap_owners(fleet.name, self._machine),
            epoch == 1,
            self._share_suspects,
            lambda unit: self._feed(sycamoreloft_decisions.UnitDrained(unit)),
        )
        self._claims = _group_claims.GroupClaims(
            self.group,
            epoch,
            fleet.claim_window_s,
            self._environment.store,
            self._spawn,
        )
        self._suspects.replay(self._permits.observe_suspects)
        self._claims.start()
        self._environment.directory.announce_change()
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "group-taken",
            group=str(self.group),
            epoch=epoch,
        )

    def _stop_holding(self, reason: str) -> None:
        permits, self._permits = self._permits, None
        claims, self._claims = self._claims, None
        if permits is not None:
            permits.close()
            _logs.log_event(
                _LOGGER,
                logging.INFO,
                "group-given-up",
                group=str(self.group),
                reason=reason,
            )
        if claims is not None:
            claims.close()
        self._parked.retry(lambda message: False, self._process_request)

    def _share_suspects(
        self, command: sycamoreloft_decisions.ShareSuspects
    ) -> None:
        self._environment.directory.share_suspects(
            sycamoreloft_wire.SuspectNotice(
                self.group.fleet, command.fingerprints, command.guilty
            )
        )
