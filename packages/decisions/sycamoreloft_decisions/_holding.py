"""State machine of a group's holder in one epoch."""

from collections import abc
import dataclasses
import functools
import itertools

import sycamoreloft_config
from sycamoreloft_decisions import (
    _authority,
    _explanations,
    _holding_state,
    _move_steps,
    _moves,
    _owners,
    _ownership,
    _placement_groups,
    _planning,
    _rows,
    _table_writer,
    _takeover,
    _timing,
)

Commands = list[_ownership.Command]


class Holding:
    """Holds a group in one epoch: grants its units and moves them.

    Args:
        host: Name of this host.
        takeover: The takeover that started the epoch.
        generation: The accepted generation.
        pending: The pending generation, None if there is none.
        calls: Source of identifiers for commands.
        explanations: Receives a sentence for each decision.
        now: Clock reading in seconds.
    """

    def __init__(
        self,
        host: str,
        takeover: _takeover.TakeoverResult,
        generation: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
        calls: "itertools.count[int]",
        explanations: _explanations.Explanations,
        now: float,
    ) -> None:
        group = takeover.row.group
        self._calls = calls
        self._writer = _table_writer.TableWriter(group, calls)
        self._batch = _move_steps.Batch({}, [])
        # Incarnations of the upstreams when the write in flight was started.
        self._incarnations_at_write: dict[str, str] = {}
        self._last_progress: abc.Mapping[str, float] = {}
        # Identifier and send time of the read of other groups' records.
        self._foreign_read: tuple[int, float] | None = None
        self._next_read_at = now
        self._next_placement_at = now + _timing.PLACEMENT_INTERVAL_S
        self._next_step_down_at = now
        self._is_stopping = False
        self._end_reason = ""
        self._state = _holding_state.HoldingState(
            host=host,
            group=group,
            generation=generation,
            pending=pending,
            directory=_placement_groups.PartitionDirectory(generation),
            pending_directory=_make_directory(pending),
            authority=_authority.Authority(
                host,
                takeover.row,
                takeover.row_version,
                takeover.written_at,
                calls,
            ),
            owners=_owners.OwnerRecords(group, takeover.tables, generation),
            calls=calls,
            explanations=explanations,
            taken_over_at=now,
            earlier=list(takeover.row.earlier),
            earlier_end=takeover.earlier_end,
            offline_end=takeover.offline_end,
        )
        state = self._state
        self._superseded = _move_steps.build_superseded_changes(state)
        state.owners.apply(self._superseded)
        state.update_grants(now)
        state.update_unassigned()

    def get_epoch(self) -> int:
        """Returns the epoch of this holder."""
        return self._state.authority.get_row().epoch

    def get_end_reason(self) -> str:
        """Returns why the epoch has ended; empty if it has not."""
        return self._end_reason

    def may_act(self, now: float) -> bool:
        """Returns whether the holder may send grants and issue permits."""
        return not self._end_reason and self._state.authority.may_act(now)

    def end(self, reason: str) -> None:
        """Ends the epoch; the first reason is kept."""
        self._end_reason = self._end_reason or reason
        self._state.authority.end()

    def find_owner(
        self, unit: _ownership.Unit, now: float
    ) -> _ownership.Owner | _ownership.NoOwner:
        """Returns the owner of a unit, or why it has none.

        A hot key without a record of its own has the owner of its partition.
        """
        state = self._state
        if not self.may_act(now):
            return _ownership.NoOwner(_ownership.WaitReason.NOT_HOLDER)
        move = state.moves.get(unit)
        if move and move.is_paused:
            return _ownership.NoOwner(self._explain_move(move, now))
        assignment = state.owners.get(unit)
        if unit.key and assignment is None:
            partition = _ownership.Unit(unit.service, unit.partition)
            return self.find_owner(partition, now)
        if assignment is None:
            return _ownership.NoOwner(self._explain_unassigned(unit, now))
        grants = state.grants_by_upstream[assignment.upstream]
        if not grants.is_granted(unit, assignment.fence, now):
            reason = _ownership.WaitReason.UPSTREAM_UNREACHABLE
            return _ownership.NoOwner(reason)
        return _ownership.Owner(
            assignment.upstream, assignment.fence, self.get_epoch()
        )

    def _explain_move(
        self, move: _moves.Move, now: float
    ) -> _ownership.WaitReason:
        if (
            move.phase is _moves.Phase.RELEASING
            and now < self._state.get_earlier_end()
        ):
            return _ownership.WaitReason.EARLIER_HOLDER_MAY_ACT
        if move.phase is _moves.Phase.READY and not self._writer.is_busy():
            return _ownership.WaitReason.NO_USABLE_UPSTREAM
        return _ownership.WaitReason.MOVING

    def _explain_unassigned(
        self, unit: _ownership.Unit, now: float
    ) -> _ownership.WaitReason:
        state = self._state
        if not state.belongs_to_group(unit):
            return _ownership.WaitReason.OTHER_GROUP
        if (
            not state.are_foreign_records_current
            or state.owners.has_foreign_record(unit)
        ):
            return _ownership.WaitReason.TRANSFER_PENDING
        if not any(
            state.is_usable(name, unit.service, now) for name in state.upstreams
        ):
            return _ownership.WaitReason.NO_USABLE_UPSTREAM
        return _ownership.WaitReason.UNASSIGNED

    @functools.singledispatchmethod
    def handle(self, event: object, now: float) -> Commands:
        """Handles an event; the caller calls `advance_after` next."""
        raise TypeError(f"unknown event {event!r}")

    @handle.register
    def _(self, event: _ownership.Tick, now: float) -> Commands:
        return []

    @handle.register
    def _(self, event: _ownership.MembersObserved, now: float) -> Commands:
        self._last_progress = event.last_progress
        return []

    @handle.register
    def _(self, event: _ownership.PromiseAnswered, now: float) -> Commands:
        self._state.authority.record_promise(event, now)
        return []

    @handle.register
    def _(self, event: _ownership.StepDownAnswered, now: float) -> Commands:
        if event.stopped and event.epoch == self.get_epoch():
            self._state.record_stopped(event.host, now)
        return []

    @handle.register
    def _(self, event: _ownership.GrantAnswered, now: float) -> Commands:
        grants = self._state.grants_by_upstream.get(event.upstream)
        if grants:
            grants.record_answer(event, now)
        return []

    @handle.register
    def _(self, event: _ownership.GrantFailed, now: float) -> Commands:
        grants = self._state.grants_by_upstream.get(event.upstream)
        if grants:
            grants.record_failure(event.call)
        return []

    @handle.register
    def _(self, event: _ownership.UnitDrained, now: float) -> Commands:
        self._state.moves.record_drained(event.unit)
        return []

    @handle.register
    def _(self, event: _ownership.KeysObserved, now: float) -> Commands:
        loads = self._state.get_loads(event.service)
        loads.observe(event.counts, now)
        return []

    @handle.register
    def _(self, event: _ownership.StopRequested, now: float) -> Commands:
        self._is_stopping = True
        return []

    @handle.register
    def _(self, event: _ownership.GenerationChanged, now: float) -> Commands:
        state = self._state
        if event.generation.number != state.generation.number:
            state.generation = event.generation
            state.directory = _placement_groups.PartitionDirectory(
                event.generation
            )
            # Other groups may have recorded owners under the previous
            # generation. Their records are read again before any partition is
            # assigned under the new one.
            state.are_foreign_records_current = False
            self._foreign_read = None
            self._next_read_at = now
            self._next_placement_at = now
            if not state.is_group_declared():
                self.end("the group is not declared, or its domain is lost")
                return []
            state.update_grants(now)
            state.update_unassigned()
        state.moves.cancel_unwritten_assignments()
        state.pending = event.pending
        state.pending_directory = _make_directory(event.pending)
        return []

    @handle.register
    def _(self, event: _ownership.RowsRead, now: float) -> Commands:
        if self._writer.owns_read(event.call):
            status, commands = self._writer.resolve(event, now)
            if status is _table_writer.WriteStatus.STORED:
                return self._finish_write(event.row_version)
            if status is _table_writer.WriteStatus.LOST:
                self.end("the group row names another holder")
            return list(commands)
        if self._foreign_read and self._foreign_read[0] == event.call:
            self._foreign_read = None
            state = self._state
            state.owners.set_foreign_records(event.tables, state.generation)
            state.are_foreign_records_current = True
        return []

    @handle.register
    def _(self, event: _ownership.ReadFailed, now: float) -> Commands:
        self._writer.fail_read(event.call, now)
        if self._foreign_read and self._foreign_read[0] == event.call:
            self._foreign_read = None
        return []

    @handle.register
    def _(self, event: _ownership.WriteStored, now: float) -> Commands:
        if self._writer.owns_call(event.call):
            return self._finish_write(event.row_version)
        return []

    @handle.register
    def _(self, event: _ownership.WriteRefused, now: float) -> Commands:
        if self._writer.owns_call(event.call):
            return list(self._writer.read(now))
        return []

    @handle.register
    def _(self, event: _ownership.WriteOutcomeUnknown, now: float) -> Commands:
        if self._writer.owns_call(event.call):
            return list(self._writer.read(now))
        return []

    def advance_after(self, event: _ownership.Event, now: float) -> Commands:
        """Returns the commands that are due after an event.

        Most events are answers to grant renewals. Such an answer only affects
        the grants of its upstream unless units are moving, so the other checks
        wait for the next tick.
        """
        if isinstance(event, _ownership.GrantAnswered):
            grants = self._state.grants_by_upstream.get(event.upstream)
            if (
                grants is not None
                and event.upstream in self._state.upstreams
                and not self._end_reason
                and not len(self._state.moves)
                and not grants.needs_confirmation()
            ):
                return list(grants.tick(now, self.may_act(now)))
        return self.advance(now)

    def advance(self, now: float) -> Commands:
        """Returns all commands that are due."""
        if self._end_reason:
            return []
        state = self._state
        commands: Commands = list(state.authority.request_promises(now))
        state.authority.choose_candidate(self._last_progress, state.group, now)
        state.expire_earlier(now)
        commands += self._request_step_downs(now)
        if state.authority.may_act(now):
            commands += self._plan(now)
            commands += _move_steps.advance_moves(state, now)
        commands += self._writer.tick(now)
        commands += self._start_write(now)
        commands += self._read_foreign_records(now)
        commands += state.send_due_grants(now)
        return commands

    def _plan(self, now: float) -> Commands:
        state = self._state
        commands: Commands = []
        is_due = now >= self._next_placement_at
        if is_due:
            self._next_placement_at = now + _timing.PLACEMENT_INTERVAL_S
            commands += _planning.plan_transfers(state)
        commands += _planning.plan_forced(state, now)
        if not state.is_first_contact_over(now):
            return commands
        _planning.plan_unassigned(state)
        if is_due:
            commands += _planning.plan_placement(state, now)
        return commands

    def _start_write(self, now: float) -> Commands:
        state = self._state
        if self._writer.is_busy():
            return []
        row = state.authority.build_row(
            state.pending.number if state.pending else 0,
            state.get_offline_limit(),
            state.earlier,
            now,
        )
        if self._is_stopping:
            return self._hand_over(row, now)
        batch = _move_steps.Batch({}, [])
        if state.authority.may_act(now):
            batch = _move_steps.collect_batch(state, now)
        changes = {**self._superseded, **batch.changes}
        unconfirmed = any(
            state.grants_by_upstream[name].needs_confirmation()
            for name in state.upstreams
        )
        if not (
            changes or unconfirmed or state.authority.is_write_due(row, now)
        ):
            return []
        self._batch = batch
        self._superseded = {}
        self._incarnations_at_write = {
            name: grants.get_incarnation()
            for name, grants in state.grants_by_upstream.items()
        }
        return self._write(row, changes, now)

    def _write(
        self,
        row: _rows.GroupRow,
        changes: _owners.Changes,
        now: float,
    ) -> Commands:
        authority = self._state.authority
        authority.begin_write(row)
        return [
            self._writer.start(
                row,
                authority.get_row_version(),
                self._state.owners.build_puts(changes),
                now,
            )
        ]

    def _hand_over(self, row: _rows.GroupRow, now: float) -> Commands:
        """Writes a row without a holder, so that the standby can take over.

        The write may be committed as soon as it is sent, so the right to act
        ends with it.
        """
        authority = self._state.authority
        row = dataclasses.replace(
            row, holder="", standby=authority.get_row().standby
        )
        commands = self._write(row, {}, now)
        authority.end()
        return commands

    def _finish_write(self, row_version: int) -> Commands:
        state = self._state
        row = self._writer.get_row()
        assert row is not None
        written_at = self._writer.get_first_sent_at()
        self._writer.finish()
        state.authority.confirm(row, row_version, written_at)
        if row.holder != state.host:
            self.end("the group was handed over as planned")
            return self._notify_standby(row)
        for name, incarnation in self._incarnations_at_write.items():
            state.grants_by_upstream[name].confirm(incarnation)
        self._incarnations_at_write = {}
        commands = _move_steps.apply_batch(state, self._batch)
        self._batch = _move_steps.Batch({}, [])
        return commands

    def _notify_standby(self, row: _rows.GroupRow) -> Commands:
        if not row.standby:
            return []
        call = next(self._calls)
        return [_ownership.RequestPromise(call, row.standby, row.epoch, 0)]

    def _request_step_downs(self, now: float) -> Commands:
        if not self._state.earlier or now < self._next_step_down_at:
            return []
        self._next_step_down_at = now + _timing.STEP_DOWN_INTERVAL_S
        return [
            _ownership.RequestStepDown(item.host, self.get_epoch())
            for item in self._state.earlier
        ]

    def _read_foreign_records(self, now: float) -> Commands:
        """Reads the records of other groups if a partition waits for them."""
        state = self._state
        if (
            self._foreign_read
            and now >= self._foreign_read[1] + _timing.TABLE_TIMEOUT_S
        ):
            self._foreign_read = None
        if self._foreign_read or now < self._next_read_at:
            return []
        if state.are_foreign_records_current and not any(
            state.owners.has_foreign_record(unit) for unit in state.unassigned
        ):
            return []
        self._next_read_at = now + _timing.TABLE_TIMEOUT_S
        self._foreign_read = (next(self._calls), now)
        return [_table_writer.make_read(state.group, self._foreign_read[0])]


def _make_directory(
    generation: sycamoreloft_config.Generation | None,
) -> _placement_groups.PartitionDirectory | None:
    if generation is None:
        return None
    return _placement_groups.PartitionDirectory(generation)
