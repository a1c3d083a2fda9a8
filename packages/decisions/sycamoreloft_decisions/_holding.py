"""The holder of a group in one epoch."""

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
    """Acts for a group in one epoch.

    Args:
        host: Name of this host.
        taken: The write that took the group.
        generation: The accepted generation.
        pending: The pending generation, or None.
        calls: Numbers for calls.
        explanations: Sentences for operators.
        now: Clock reading in seconds.
    """

    def __init__(
        self,
        host: str,
        taken: _takeover.Taken,
        generation: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
        calls: "itertools.count[int]",
        explanations: _explanations.Explanations,
        now: float,
    ) -> None:
        group = taken.row.group
        self._calls = calls
        self._writer = _table_writer.TableWriter(group, calls)
        self._batch = _move_steps.Batch({}, [])
        self._confirming: dict[str, str] = {}
        self._heard: abc.Mapping[str, float] = {}
        self._read: tuple[int, float] | None = None
        self._read_again_at = now
        self._place_again_at = now + _timing.PLACEMENT_INTERVAL_S
        self._ask_again_at = now
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
                host, taken.row, taken.row_version, taken.written_at, calls
            ),
            owners=_owners.OwnerBook(group, taken.tables, generation),
            calls=calls,
            explanations=explanations,
            taken_at=now,
            earlier=list(taken.row.earlier),
            earlier_end=taken.earlier_end,
            offline_end=taken.offline_end,
        )
        state = self._state
        self._superseded = _move_steps.drop_superseded(state)
        state.owners.apply(self._superseded)
        state.refresh_books(now)
        state.find_unassigned()

    def get_epoch(self) -> int:
        """Returns the epoch of this holder."""
        return self._state.authority.get_row().epoch

    def get_end_reason(self) -> str:
        """Returns why the epoch has ended, empty if it has not."""
        return self._end_reason

    def may_act(self, now: float) -> bool:
        """Tells whether the holder may act now."""
        return not self._end_reason and self._state.authority.may_act(now)

    def end(self, reason: str) -> None:
        """Ends the epoch."""
        self._end_reason = self._end_reason or reason
        self._state.authority.end()

    def find_owner(
        self, unit: _ownership.Unit, now: float
    ) -> _ownership.Owner | _ownership.NoOwner:
        """Returns the owner of a unit, or why it has none now."""
        state = self._state
        if not self.may_act(now):
            return _ownership.NoOwner(_ownership.WaitReason.NOT_HOLDER)
        move = state.moves.get(unit)
        if move and move.is_held:
            return _ownership.NoOwner(self._explain_move(move, now))
        assignment = state.owners.get(unit)
        if unit.key and assignment is None:
            partition = _ownership.Unit(unit.service, unit.partition)
            return self.find_owner(partition, now)
        if assignment is None:
            return _ownership.NoOwner(self._explain_unassigned(unit, now))
        book = state.books[assignment.upstream]
        if not book.is_granted(unit, assignment.fence, now):
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
        if not state.belongs(unit):
            return _ownership.WaitReason.OTHER_GROUP
        if not state.is_foreign_known or state.owners.is_foreign(unit):
            return _ownership.WaitReason.TRANSFER_PENDING
        if not any(
            state.is_usable(name, unit.service, now) for name in state.upstreams
        ):
            return _ownership.WaitReason.NO_USABLE_UPSTREAM
        return _ownership.WaitReason.UNASSIGNED

    @functools.singledispatchmethod
    def handle(self, event: object, now: float) -> Commands:
        """Handles an event; `advance` follows it."""
        raise TypeError(f"unknown event {event!r}")

    @handle.register
    def _(self, event: _ownership.Tick, now: float) -> Commands:
        return []

    @handle.register
    def _(self, event: _ownership.MembersObserved, now: float) -> Commands:
        self._heard = event.last_progress
        return []

    @handle.register
    def _(self, event: _ownership.PromiseAnswered, now: float) -> Commands:
        self._state.authority.receive(event, now)
        return []

    @handle.register
    def _(self, event: _ownership.StepDownAnswered, now: float) -> Commands:
        if event.stopped and event.epoch == self.get_epoch():
            self._state.note_stopped(event.host, now)
        return []

    @handle.register
    def _(self, event: _ownership.GrantAnswered, now: float) -> Commands:
        book = self._state.books.get(event.upstream)
        if book:
            book.answer(event, now)
        return []

    @handle.register
    def _(self, event: _ownership.GrantFailed, now: float) -> Commands:
        book = self._state.books.get(event.upstream)
        if book:
            book.fail(event.call)
        return []

    @handle.register
    def _(self, event: _ownership.UnitDrained, now: float) -> Commands:
        self._state.moves.note_drained(event.unit)
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
            # Other groups may have recorded more under the generation
            # before; their records are read again before anything is
            # assigned under the new one.
            state.is_foreign_known = False
            self._read = None
            self._read_again_at = now
            self._place_again_at = now
            if not state.is_group_declared():
                self.end("no accepted file has the group, or it is lost")
                return []
            state.refresh_books(now)
            state.find_unassigned()
        state.moves.drop_unassigned()
        state.pending = event.pending
        state.pending_directory = _make_directory(event.pending)
        return []

    @handle.register
    def _(self, event: _ownership.RowsRead, now: float) -> Commands:
        if self._writer.owns_read(event.call):
            settled, commands = self._writer.settle(event, now)
            if settled is _table_writer.Settled.STORED:
                return self._finish_write(event.row_version)
            if settled is _table_writer.Settled.LOST:
                self.end("the group row names another holder")
            return list(commands)
        if self._read and self._read[0] == event.call:
            self._read = None
            state = self._state
            state.owners.learn_foreign(event.tables, state.generation)
            state.is_foreign_known = True
        return []

    @handle.register
    def _(self, event: _ownership.ReadFailed, now: float) -> Commands:
        self._writer.fail_read(event.call, now)
        if self._read and self._read[0] == event.call:
            self._read = None
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
        """Does what is due after an event.

        Most events are answers to renewals, which concern one upstream only;
        the rest is looked at with the next tick.
        """
        if isinstance(event, _ownership.GrantAnswered):
            book = self._state.books.get(event.upstream)
            if (
                book is not None
                and event.upstream in self._state.upstreams
                and not self._end_reason
                and not len(self._state.moves)
                and not book.needs_confirmation()
            ):
                return list(book.tick(now, self.may_act(now)))
        return self.advance(now)

    def advance(self, now: float) -> Commands:
        """Does what is due."""
        if self._end_reason:
            return []
        state = self._state
        commands: Commands = list(state.authority.ask(now))
        state.authority.choose_candidate(self._heard, state.group, now)
        state.update_earlier(now)
        commands += self._ask_earlier(now)
        if state.authority.may_act(now):
            commands += self._plan(now)
            commands += _move_steps.progress(state, now)
        commands += self._writer.tick(now)
        commands += self._start_write(now)
        commands += self._read_foreign(now)
        commands += state.list_grants(now)
        return commands

    def _plan(self, now: float) -> Commands:
        state = self._state
        commands: Commands = []
        is_due = now >= self._place_again_at
        if is_due:
            self._place_again_at = now + _timing.PLACEMENT_INTERVAL_S
            commands += _planning.plan_away(state)
        commands += _planning.plan_forced(state, now)
        if not state.is_settled(now):
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
            state.books[name].needs_confirmation() for name in state.upstreams
        )
        if not (
            changes or unconfirmed or state.authority.is_write_due(row, now)
        ):
            return []
        self._batch = batch
        self._superseded = {}
        self._confirming = {
            name: book.get_incarnation() for name, book in state.books.items()
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
        """Writes that this holder has stopped.

        The write may take effect as soon as it is sent, so the holder acts
        no more from then on.
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
            return self._call_standby(row)
        for name, incarnation in self._confirming.items():
            state.books[name].confirm(incarnation)
        self._confirming = {}
        commands = _move_steps.apply_batch(state, self._batch)
        self._batch = _move_steps.Batch({}, [])
        return commands

    def _call_standby(self, row: _rows.GroupRow) -> Commands:
        if not row.standby:
            return []
        call = next(self._calls)
        return [_ownership.RequestPromise(call, row.standby, row.epoch, 0)]

    def _ask_earlier(self, now: float) -> Commands:
        if not self._state.earlier or now < self._ask_again_at:
            return []
        self._ask_again_at = now + _timing.STEP_DOWN_INTERVAL_S
        return [
            _ownership.RequestStepDown(item.host, self.get_epoch())
            for item in self._state.earlier
        ]

    def _read_foreign(self, now: float) -> Commands:
        """Reads other groups' records while a partition waits for them."""
        state = self._state
        if self._read and now >= self._read[1] + _timing.TABLE_TIMEOUT_S:
            self._read = None
        if self._read or now < self._read_again_at:
            return []
        if state.is_foreign_known and not any(
            state.owners.is_foreign(unit) for unit in state.unassigned
        ):
            return []
        self._read_again_at = now + _timing.TABLE_TIMEOUT_S
        self._read = (next(self._calls), now)
        return [_table_writer.make_read(state.group, self._read[0])]


def _make_directory(
    generation: sycamoreloft_config.Generation | None,
) -> _placement_groups.PartitionDirectory | None:
    if generation is None:
        return None
    return _placement_groups.PartitionDirectory(generation)
