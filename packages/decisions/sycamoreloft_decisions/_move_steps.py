"""Advances moves from one phase to the next."""

import dataclasses

from sycamoreloft_decisions import (
    _holding_state,
    _moves,
    _owners,
    _ownership,
    _placement,
    _planning,
    _rows,
)

Commands = list[_ownership.Command]


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Changes of records that one write contains."""

    #: New records by unit; None deletes the record of the unit.
    changes: dict[_ownership.Unit, _rows.Assignment | None]
    #: Moves to which the changes belong.
    moves: list[_moves.Move]


def advance_moves(state: _holding_state.HoldingState, now: float) -> Commands:
    """Advances releasing moves, and ends moves whose new owner is granted."""
    commands: Commands = []
    releasing = state.moves.list_in_phases(_moves.Phase.RELEASING)
    for move in releasing:
        if move.kind is _moves.Kind.SPLIT_KEY and move.removal is None:
            commands += _refence_partition(state, move)
    _remove_from_grants(state, releasing)
    for move in releasing:
        if _is_released(state, move, now):
            move.phase = _moves.Phase.READY
    for move in state.moves.list_in_phases(_moves.Phase.GRANTING):
        if _is_granted(state, move, now):
            commands += state.moves.finish(move)
    return commands


def _refence_partition(
    state: _holding_state.HoldingState, move: _moves.Move
) -> Commands:
    """Starts the move that gives the partition of a hot key a new fence.

    The split of the key is cancelled if the partition is already moving or no
    longer has the owner that it had when the split began.
    """
    unit = _ownership.Unit(move.unit.service, move.unit.partition)
    owner = state.owners.get(unit)
    other = state.moves.get(unit)
    if other and other.kind is _moves.Kind.REFENCE:
        return []
    if other or owner is None or owner != move.source:
        return list(state.moves.finish(move))
    return list(
        state.moves.add(
            _moves.Move(
                unit,
                _moves.Kind.REFENCE,
                _moves.Phase.READY,
                owner,
                owner.upstream,
            )
        )
    )


def _remove_from_grants(
    state: _holding_state.HoldingState, releasing: list[_moves.Move]
) -> None:
    by_upstream: dict[str, list[_moves.Move]] = {}
    for move in releasing:
        if move.removal is None and move.kind is not _moves.Kind.SPLIT_KEY:
            assert move.source is not None
            by_upstream.setdefault(move.source.upstream, []).append(move)
    for name, moves in by_upstream.items():
        removal = state.grants_by_upstream[name].update_content(
            {}, [move.unit for move in moves]
        )
        for move in moves:
            move.removal = removal


def _is_released(
    state: _holding_state.HoldingState, move: _moves.Move, now: float
) -> bool:
    if move.is_owner_lost:
        return move.kind is not _moves.Kind.SPLIT_KEY
    if move.removal is None or move.source is None:
        return False
    grants = state.grants_by_upstream[move.source.upstream]
    return grants.is_released(move.removal, now, state.get_earlier_end())


def _is_granted(
    state: _holding_state.HoldingState, move: _moves.Move, now: float
) -> bool:
    """Returns whether a move can end.

    It ends when the new owner has acknowledged a grant of the unit, or when
    the new owner is no longer reachable or has been replaced.
    """
    if move.new_assignment is None:
        return True
    unit = move.unit
    if move.kind is _moves.Kind.MERGE_KEY:
        unit = _ownership.Unit(unit.service, unit.partition)
    if state.owners.get(unit) != move.new_assignment:
        return True
    grants = state.grants_by_upstream[move.new_assignment.upstream]
    return not grants.is_reachable(now) or grants.is_granted(
        unit, move.new_assignment.fence, now
    )


def collect_batch(state: _holding_state.HoldingState, now: float) -> Batch:
    """Plans the new records of all moves whose old owner is released."""
    batch = Batch({}, [])
    views: dict[str, _placement.LoadView] = {}
    for move in state.moves.list_in_phases(_moves.Phase.READY):
        if _plan_record(state, move, views, batch, now):
            move.phase = _moves.Phase.WRITING
            batch.moves.append(move)
    return batch


def _plan_record(
    state: _holding_state.HoldingState,
    move: _moves.Move,
    views: dict[str, _placement.LoadView],
    batch: Batch,
    now: float,
) -> bool:
    """Adds the new record of a move to a batch.

    Returns:
        Whether the record was added; if not, the move is planned again later.
    """
    if move.kind is _moves.Kind.OTHER_GROUP:
        batch.changes[move.unit] = None
        return True
    if move.kind is _moves.Kind.MERGE_KEY:
        return _plan_key_merge(state, move, batch)
    if move.kind is _moves.Kind.REFENCE:
        target = move.target
    else:
        if _restore_source(state, move, now):
            return False
        target = _choose_target(state, move, views, now)
    if not target:
        return False
    move.new_assignment = _rows.Assignment(
        target, state.owners.allocate_fence()
    )
    batch.changes[move.unit] = move.new_assignment
    return True


def _plan_key_merge(
    state: _holding_state.HoldingState, move: _moves.Move, batch: Batch
) -> bool:
    partition = _ownership.Unit(move.unit.service, move.unit.partition)
    owner = state.owners.get(partition)
    if owner is None or state.moves.get(partition):
        return False
    if partition in batch.changes:
        return False
    move.new_assignment = _rows.Assignment(
        owner.upstream, state.owners.allocate_fence()
    )
    batch.changes[move.unit] = None
    batch.changes[partition] = move.new_assignment
    return True


def _restore_source(
    state: _holding_state.HoldingState, move: _moves.Move, now: float
) -> bool:
    """Grants a unit to its recorded owner again if that owner is usable.

    Returns:
        Whether it was granted; the record then does not change.
    """
    source = move.source
    if source is None or move.kind is not _moves.Kind.ANY_UPSTREAM:
        return False
    if state.owners.get(move.unit) != source:
        return False
    if not state.is_usable(source.upstream, move.unit.service, now):
        return False
    state.grants_by_upstream[source.upstream].update_content(
        {move.unit: source.fence}, ()
    )
    move.new_assignment = source
    move.phase = _moves.Phase.GRANTING
    return True


def _choose_target(
    state: _holding_state.HoldingState,
    move: _moves.Move,
    views: dict[str, _placement.LoadView],
    now: float,
) -> str:
    service = move.unit.service
    if move.target and state.is_usable(move.target, service, now):
        return move.target
    if not state.is_first_contact_over(now):
        return ""
    if service not in views:
        views[service] = _planning.build_load_view(state, service, now)
    load = state.get_loads(service).get_load(move.unit)
    return views[service].choose_target(move.unit, load)


def apply_batch(state: _holding_state.HoldingState, batch: Batch) -> Commands:
    """Grants the units whose new records the store has committed."""
    commands: Commands = []
    state.owners.apply(batch.changes)
    state.unassigned.difference_update(batch.changes)
    added: dict[str, dict[_ownership.Unit, int]] = {}
    refenced: dict[_ownership.Unit, str] = {}
    for unit, assignment in batch.changes.items():
        if assignment is not None and not _was_removed_during_write(
            state, unit, assignment, batch
        ):
            units = added.setdefault(assignment.upstream, {})
            units[unit] = assignment.fence
    removals = {
        name: state.grants_by_upstream[name].update_content(units, ())
        for name, units in added.items()
    }
    for move in batch.moves:
        move.phase = _moves.Phase.GRANTING
        if move.kind is _moves.Kind.OTHER_GROUP:
            commands += state.moves.finish(move)
            _restore_unassigned(state, move.unit)
        elif move.kind is _moves.Kind.REFENCE:
            refenced[move.unit] = move.target
            commands += state.moves.finish(move)
    for move in state.moves.list_in_phases(_moves.Phase.RELEASING):
        unit = _ownership.Unit(move.unit.service, move.unit.partition)
        if move.kind is _moves.Kind.SPLIT_KEY and unit in refenced:
            move.removal = removals[refenced[unit]]
    return commands


def _was_removed_during_write(
    state: _holding_state.HoldingState,
    unit: _ownership.Unit,
    assignment: _rows.Assignment,
    batch: Batch,
) -> bool:
    """Returns whether a unit was removed from its owner during the write.

    Merging a hot key writes a new fence for its partition without moving it.
    If the owner of the partition is lost during the write, the partition moves
    away from it and must not be granted to it again.
    """
    move = state.moves.get(unit)
    if move is None or any(move is item for item in batch.moves):
        return False
    move.source = assignment
    return move.removal is not None


def _restore_unassigned(
    state: _holding_state.HoldingState, unit: _ownership.Unit
) -> None:
    """Marks a partition as unassigned if it belongs to this group again.

    A generation can return a partition to this group while the deletion of
    its record is being written. Another group may have recorded an owner in
    between, so the records are read again before the partition is assigned.
    """
    if not unit.key and state.belongs_to_group(unit):
        state.unassigned.add(unit)
        state.are_foreign_records_current = False


def build_superseded_changes(
    state: _holding_state.HoldingState,
) -> _owners.Changes:
    """Builds the deletion of records that another group has superseded."""
    return dict.fromkeys(state.owners.list_superseded())
