"""Cost of a placement, and the moves that lower it.

The cost of a placement is `imbalance weight * imbalance + churn weight *
moved + unavailable weight * unavailable`. All three terms are shares of the
service's units, so the weights compare them directly:

- imbalance: mean square of the relative difference between an upstream's load
  and its fair share, weighted by slots, times `IMBALANCE_HORIZON`;
- moved: share of the units that change their owner;
- unavailable: share of the units that are not served, times the duration in
  seconds.
"""

from collections import abc
import dataclasses

import sycamoreloft_config
from sycamoreloft_decisions import _ownership

#: Weight of a lasting imbalance compared to a single move: an imbalance costs
#: as much as moving the same share of the units this many times.
IMBALANCE_HORIZON = 4.0
#: Margin of a move: it must lower the cost of the imbalance by more than its
#: own cost times one plus this share. The margin keeps units from moving back
#: and forth when the measured loads fluctuate.
HYSTERESIS = 0.25
#: Expected time for which a planned move makes its unit unavailable, in
#: seconds.
PLANNED_MOVE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that can own units of a service."""

    #: Upstream name in the configuration.
    name: str
    #: Maximum number of requests that the upstream runs at once.
    slots: int
    #: Time for which a planned move away from the upstream makes the unit
    #: unavailable, in seconds.
    move_s: float = PLANNED_MOVE_S


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A move that lowers the cost."""

    unit: _ownership.Unit
    #: Upstream that owns the unit now.
    source: str
    #: Upstream that is to own the unit.
    target: str
    #: Decrease of the total cost, including the cost of the move.
    gain: float


class LoadView:
    """Loads of one service's upstreams, including moves planned so far.

    Args:
        candidates: The upstreams that can own units.
        loads: Load by upstream, also of upstreams that are no candidates.
        weights: Weights of the terms of the cost.
        unit_count: Number of units of the service in the group.
    """

    def __init__(
        self,
        candidates: abc.Iterable[Candidate],
        loads: abc.Mapping[str, float],
        weights: sycamoreloft_config.Weights,
        unit_count: int,
    ) -> None:
        listed = list(candidates)
        self._slots = {item.name: max(1, item.slots) for item in listed}
        self._move_s = {item.name: item.move_s for item in listed}
        self._loads = {name: loads.get(name, 0.0) for name in self._slots}
        self._total = sum(loads.values())
        self._all_slots = sum(self._slots.values())
        self._weights = weights
        self._unit_count = max(1, unit_count)

    def choose_target(self, unit: _ownership.Unit, load: float) -> str:
        """Chooses an owner for a unit and adds the load to it.

        Ties are broken by rendezvous hashing, so that every host makes the
        same choice for equal loads.

        Returns:
            Name of the upstream, empty if there is no candidate.
        """
        if not self._slots:
            return ""
        name = min(
            self._slots,
            key=lambda item: (
                (self._loads[item] + load) / self._slots[item],
                sycamoreloft_config.hash_text(
                    unit.service, str(unit.partition), unit.key, item
                ),
            ),
        )
        self._loads[name] += load
        return name

    def move(self, proposal: Proposal, load: float) -> None:
        """Applies a planned move to the loads."""
        self._loads[proposal.source] -= load
        self._loads[proposal.target] += load

    def list_by_load(self) -> list[str]:
        """Lists the candidates by load per slot, highest first."""
        return sorted(
            self._slots,
            key=lambda name: (-self._loads[name] / self._slots[name], name),
        )

    def propose_move(
        self, unit: _ownership.Unit, source: str, load: float
    ) -> Proposal | None:
        """Proposes to move a unit to the upstream with the least load per slot.

        Returns:
            The proposal; None if it would not lower the cost enough.
        """
        if source not in self._slots or len(self._slots) < 2:
            return None
        target = self.list_by_load()[-1]
        if target == source:
            return None
        gain = self._compute_gain(source, target, load)
        move_cost = self._compute_move_cost(source)
        if gain <= move_cost * (1 + HYSTERESIS):
            return None
        return Proposal(unit, source, target, gain - move_cost)

    def _compute_gain(self, source: str, target: str, load: float) -> float:
        if not self._total:
            return 0.0
        before = self._compute_imbalance(source, 0.0) + self._compute_imbalance(
            target, 0.0
        )
        after = self._compute_imbalance(
            source, -load
        ) + self._compute_imbalance(target, load)
        return self._weights.imbalance * IMBALANCE_HORIZON * (before - after)

    def _compute_move_cost(self, source: str) -> float:
        """Returns the cost of moving one unit."""
        share = 1 / self._unit_count
        return share * (
            self._weights.churn
            + self._weights.unavailable * self._move_s[source]
        )

    def _compute_imbalance(self, name: str, added: float) -> float:
        share = self._slots[name] / self._all_slots
        fair = self._total * share
        return share * ((self._loads[name] + added) / fair - 1) ** 2
