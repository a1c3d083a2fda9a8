"""Decides which units move to another owner, and starts their moves."""

from collections import abc

import sycamoreloft_config
from sycamoreloft_decisions import (
    _holding_state,
    _moves,
    _ownership,
    _placement,
    _rows,
    _timing,
)

#: Maximum number of concurrent planned moves in one group. Each of them makes
#: the requests for its unit wait for a moment.
MAXIMUM_PLANNED_MOVES = 16
#: Maximum number of separately placed hot keys of one service in one group.
MAXIMUM_HOT_KEYS = 256
#: Load above which a hot key is placed separately from its partition, as a
#: share of the mean load of an upstream.
HOT_KEY_LOAD_SHARE = 0.25
#: Load below which a hot key is merged into its partition again, as a share of
#: the load at which it is split. The gap keeps a key from being split and
#: merged repeatedly.
COLD_KEY_LOAD_SHARE = 0.25

Commands = list[_ownership.Command]


def plan_forced(state: _holding_state.HoldingState, now: float) -> Commands:
    """Starts moves away from lost, removed and leaving upstreams."""
    commands: Commands = []
    for name in state.owners.list_upstreams():
        grants = state.grants_by_upstream[name]
        if state.is_declared_lost(name):
            commands += _start_forced(state, name, "a file declares it as lost")
        elif name not in state.upstreams:
            commands += _start_forced(
                state, name, "no accepted file lists it in this group"
            )
        elif not grants.is_reachable(now):
            commands += _start_forced(state, name, "it does not answer")
        elif state.is_leaving(name):
            commands += _start_draining(state, name)
    return commands


def _start_forced(
    state: _holding_state.HoldingState, name: str, cause: str
) -> Commands:
    """Moves all units away from an upstream that cannot be drained.

    Moves that wait for permits to end continue without waiting: the permits
    of a lost upstream end with its connections.
    """
    commands: Commands = []
    removed = []
    is_owner_lost = state.is_declared_lost(name)
    for unit in sorted(state.owners.list_owned(name)):
        move = state.moves.get(unit)
        if move is None:
            move = _moves.Move(
                unit,
                _moves.Kind.ANY_UPSTREAM,
                _moves.Phase.RELEASING,
                state.owners.get(unit),
            )
            commands += state.moves.add(move)
            removed.append(move)
        elif move.phase is _moves.Phase.DRAINING:
            move.phase = _moves.Phase.RELEASING
        elif move.kind is _moves.Kind.REFENCE:
            commands += _cancel_refence(state, move)
            continue
        move.is_owner_lost = is_owner_lost
    if removed:
        commands.append(
            state.explain(
                f"{len(removed)} units leave upstream {name}: {cause}."
            )
        )
    return commands


def _cancel_refence(
    state: _holding_state.HoldingState, move: _moves.Move
) -> Commands:
    """Cancels the split of hot keys from a partition whose owner is lost."""
    if move.phase is not _moves.Phase.READY:
        return []
    commands: Commands = list(state.moves.finish(move))
    for other in state.moves.list_all():
        if (
            other.kind is _moves.Kind.SPLIT_KEY
            and other.unit.service == move.unit.service
            and other.unit.partition == move.unit.partition
        ):
            commands += state.moves.finish(other)
    return commands


def _start_draining(state: _holding_state.HoldingState, name: str) -> Commands:
    """Moves all units away from a leaving upstream, draining them first.

    The number of these moves is not limited, because pausing the permits of a
    unit is what keeps new work away from the upstream.
    """
    commands: Commands = []
    started = 0
    for unit in sorted(state.owners.list_owned(name)):
        if state.moves.get(unit) is None and not _is_key_moving(state, unit):
            commands += _start_planned(
                state, unit, _moves.Kind.ANY_UPSTREAM, ""
            )
            started += 1
    if started:
        commands.append(
            state.explain(
                f"{started} units leave upstream {name}: it is leaving."
            )
        )
    return commands


def _start_planned(
    state: _holding_state.HoldingState,
    unit: _ownership.Unit,
    kind: _moves.Kind,
    target: str,
) -> Commands:
    source = state.owners.get(unit)
    move = _moves.Move(unit, kind, _moves.Phase.DRAINING, source, target)
    return list(state.moves.add(move))


def plan_transfers(state: _holding_state.HoldingState) -> Commands:
    """Starts to release the units that now belong to another group."""
    commands: Commands = []
    started = 0
    for unit in list(state.owners.get_records()):
        move = state.moves.get(unit)
        if move is not None:
            _update_target(move, state.belongs_to_group(unit))
        elif not state.belongs_to_group(unit) and not _is_key_moving(
            state, unit
        ):
            commands += _start_planned(state, unit, _moves.Kind.OTHER_GROUP, "")
            started += 1
    if started:
        commands.append(
            state.explain(
                f"{started} units leave the group: the accepted files assign"
                " them to another group."
            )
        )
    return commands


def _update_target(move: _moves.Move, belongs_to_group: bool) -> None:
    """Changes the target of a move if its unit changed its group.

    A move whose record is already being written is left alone.
    """
    if move.phase in (_moves.Phase.WRITING, _moves.Phase.GRANTING):
        return
    if belongs_to_group and move.kind is _moves.Kind.OTHER_GROUP:
        move.kind = _moves.Kind.ANY_UPSTREAM
    elif not belongs_to_group and move.kind in (
        _moves.Kind.ANY_UPSTREAM,
        _moves.Kind.CHOSEN_UPSTREAM,
    ):
        move.kind = _moves.Kind.OTHER_GROUP


def plan_unassigned(state: _holding_state.HoldingState) -> None:
    """Starts to assign owners to partitions without a recorded owner."""
    if (
        not state.are_foreign_records_current
        or not state.is_generation_current()
    ):
        return
    for unit in sorted(state.unassigned):
        if state.moves.get(unit) or state.owners.has_foreign_record(unit):
            continue
        if not state.belongs_in_pending_generation(unit):
            continue
        state.moves.add(
            _moves.Move(
                unit, _moves.Kind.ANY_UPSTREAM, _moves.Phase.READY, None
            )
        )


def build_load_view(
    state: _holding_state.HoldingState, service: str, now: float
) -> _placement.LoadView:
    """Computes the loads of a service's upstreams.

    Units that move count for their new owner once it is planned.
    """
    loads = state.get_loads(service)
    owned = [
        (unit, assignment.upstream)
        for unit, assignment in state.owners.get_records().items()
        if unit.service == service
    ]
    loads.unit_count = max(1, sum(not unit.key for unit, _ in owned))
    hot = list_hot_keys_by_partition(state, service)
    sums: dict[str, float] = {}
    for unit, name in owned:
        move = state.moves.get(unit)
        if move and move.new_assignment:
            name = move.new_assignment.upstream
        load = loads.get_load(
            unit, () if unit.key else hot.get(unit.partition, ())
        )
        sums[name] = sums.get(name, 0.0) + load
    candidates = [
        _placement.Candidate(name, upstream.slots, _get_move_time(upstream))
        for name, upstream in state.upstreams.items()
        if state.is_usable(name, service, now)
    ]
    fleet = state.generation.fleets[state.group.fleet]
    return _placement.LoadView(
        candidates, sums, fleet.weights, loads.unit_count
    )


def _get_move_time(upstream: sycamoreloft_config.Upstream) -> float:
    """Returns the expected time of a planned move, in seconds.

    An upstream that checks no fences is released only when its grant expires.
    """
    if upstream.checks_fences:
        return _placement.PLANNED_MOVE_S
    return _timing.GRANT_CERTAIN_END_S


def list_hot_keys_by_partition(
    state: _holding_state.HoldingState, service: str
) -> dict[int, list[str]]:
    """Returns the separately placed keys of a service, by partition."""
    keys_by_partition: dict[int, list[str]] = {}
    for unit in state.owners.get_records():
        if unit.key and unit.service == service:
            keys_by_partition.setdefault(unit.partition, []).append(unit.key)
    return keys_by_partition


def plan_placement(state: _holding_state.HoldingState, now: float) -> Commands:
    """Starts moves that lower the cost of the placement.

    Does nothing while other moves are in progress.
    """
    if len(state.moves):
        return []
    commands: Commands = []
    services = {item.service for item in state.upstreams.values()}
    for service in sorted(services):
        view = build_load_view(state, service, now)
        commands += _plan_hot_keys(state, service, view)
        commands += _plan_rebalance(state, service, view)
    return commands


def _plan_rebalance(
    state: _holding_state.HoldingState,
    service: str,
    view: _placement.LoadView,
) -> Commands:
    commands: Commands = []
    loads = state.get_loads(service)
    hot = list_hot_keys_by_partition(state, service)
    for _ in range(MAXIMUM_PLANNED_MOVES - len(state.moves)):
        proposal, load = _choose_best_move(state, service, view, hot)
        if proposal is None:
            break
        view.move(proposal, load)
        commands += _start_planned(
            state, proposal.unit, _moves.Kind.CHOSEN_UPSTREAM, proposal.target
        )
        commands.append(
            state.explain(
                f"{describe_unit(proposal.unit)} moves from"
                f" {proposal.source} to {proposal.target}: this lowers the cost"
                f" by {proposal.gain:.5f} at load"
                f" {loads.get_load(proposal.unit):.2f}."
            )
        )
    return commands


def _choose_best_move(
    state: _holding_state.HoldingState,
    service: str,
    view: _placement.LoadView,
    hot: abc.Mapping[int, abc.Sequence[str]],
) -> tuple[_placement.Proposal | None, float]:
    """Chooses the move from the most loaded upstream with the largest gain.

    Returns:
        The proposal, None if no move has a gain, and the load of its unit.
    """
    loads = state.get_loads(service)
    best: _placement.Proposal | None = None
    best_load = 0.0
    for source in view.list_by_load()[:1]:
        for unit in sorted(state.owners.list_owned(source)):
            if state.moves.get(unit) or _is_key_moving(state, unit):
                continue
            load = loads.get_load(
                unit, () if unit.key else hot.get(unit.partition, ())
            )
            proposal = view.propose_move(unit, source, load)
            if proposal and (best is None or proposal.gain > best.gain):
                best, best_load = proposal, load
    return best, best_load


def _plan_hot_keys(
    state: _holding_state.HoldingState,
    service: str,
    view: _placement.LoadView,
) -> Commands:
    loads = state.get_loads(service)
    if not loads.is_known():
        return []
    upstreams = sum(
        item.service == service for item in state.upstreams.values()
    )
    threshold = HOT_KEY_LOAD_SHARE * loads.unit_count / max(1, upstreams)
    return _merge_cold_keys(
        state, service, threshold * COLD_KEY_LOAD_SHARE
    ) + _split_hot_keys(state, service, view, threshold)


def _merge_cold_keys(
    state: _holding_state.HoldingState, service: str, threshold: float
) -> Commands:
    commands: Commands = []
    loads = state.get_loads(service)
    for unit in list(state.owners.get_records()):
        if not unit.key or unit.service != service:
            continue
        if loads.get_load(unit) >= threshold or state.moves.get(unit):
            continue
        commands += _start_planned(state, unit, _moves.Kind.MERGE_KEY, "")
        commands.append(
            state.explain(
                f"{describe_unit(unit)} returns to its partition: its load"
                f" {loads.get_load(unit):.2f} is below {threshold:.2f}."
            )
        )
    return commands


def _split_hot_keys(
    state: _holding_state.HoldingState,
    service: str,
    view: _placement.LoadView,
    threshold: float,
) -> Commands:
    commands: Commands = []
    loads = state.get_loads(service)
    placed = sum(
        bool(unit.key) and unit.service == service
        for unit in state.owners.get_records()
    )
    for key, load in loads.list_hot_keys():
        if load < threshold or placed >= MAXIMUM_HOT_KEYS:
            break
        unit = state.owners.make_hot_unit(service, key)
        partition = _ownership.Unit(service, unit.partition)
        owner = state.owners.get(partition)
        if not owner or state.owners.get(unit) or state.moves.get(unit):
            continue
        if state.moves.get(partition) or _is_key_moving(state, partition):
            continue
        # An owner that checks no fences would still run requests for the key
        # that were sent before the split.
        if not state.grants_by_upstream[owner.upstream].checks_fences:
            continue
        proposal = view.propose_move(unit, owner.upstream, load)
        if proposal is None:
            continue
        view.move(proposal, load)
        placed += 1
        commands += _start_split(state, unit, owner, proposal.target)
        commands.append(
            state.explain(
                f"{describe_unit(unit)} is placed by itself on"
                f" {proposal.target}: its load {load:.2f} exceeds"
                f" {threshold:.2f}."
            )
        )
    return commands


def _start_split(
    state: _holding_state.HoldingState,
    unit: _ownership.Unit,
    owner: _rows.Assignment,
    target: str,
) -> Commands:
    move = _moves.Move(
        unit, _moves.Kind.SPLIT_KEY, _moves.Phase.DRAINING, owner, target
    )
    return list(state.moves.add(move))


def _is_key_moving(
    state: _holding_state.HoldingState, unit: _ownership.Unit
) -> bool:
    """Returns whether a hot key of the unit's partition is moving."""
    return any(
        move.unit.key
        and move.unit.service == unit.service
        and move.unit.partition == unit.partition
        for move in state.moves.list_all()
    )


def describe_unit(unit: _ownership.Unit) -> str:
    """Returns a description of a unit for the beginning of a sentence."""
    if unit.key:
        return f"Hot key {unit.key!r} of {unit.service}"
    return f"Partition {unit.partition} of {unit.service}"
