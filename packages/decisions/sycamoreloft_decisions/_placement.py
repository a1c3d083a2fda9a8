"""Decides which upstream should own which unit.

The cost of a placement is
`imbalance weight * imbalance + churn weight * moved + unavailable weight *
unavailable`. All three are shares of the service, so that the weights compare
them directly:

- imbalance: mean square of the relative excess of load over the fair share,
  weighted by slots, times `IMBALANCE_HORIZON`;
- moved: share of the units that changes its owner;
- unavailable: share of the units that is not served, times the seconds.
"""

from collections import abc
import dataclasses

import sycamoreloft_config
from sycamoreloft_decisions import _ownership

#: Weight of an imbalance that lasts against one move: an imbalance costs as
#: much as moving the same share of the units this many times.
IMBALANCE_HORIZON = 4.0
#: Share of its cost by which a move must lower the total to be made. It keeps
#: measured loads that fluctuate from moving a unit back and forth.
HYSTERESIS = 0.25
#: Time for which a planned move holds its unit, in seconds.
PLANNED_MOVE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that can own units of a service."""

    #: Name of the upstream.
    name: str
    #: Requests that it runs at once.
    slots: int
    #: Time for which a planned move away from it holds the unit, in seconds.
    move_s: float = PLANNED_MOVE_S


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A move that lowers the cost."""

    #: The unit.
    unit: _ownership.Unit
    #: Present owner.
    source: str
    #: New owner.
    target: str
    #: By how much the cost falls, without a unit.
    gain: float


class LoadView:
    """Loads of the upstreams of one service, kept up to date while planning.

    Args:
        candidates: The upstreams that can own units.
        loads: Load by upstream.
        weights: Weights of the cost.
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
        """Chooses the owner of a unit that has none, empty if there is none.

        Ties are broken by rendezvous hashing, so that equal loads give the
        same answer on every host.
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
        """Notes a move."""
        self._loads[proposal.source] -= load
        self._loads[proposal.target] += load

    def list_by_load(self) -> list[str]:
        """Lists upstreams by their load for each slot, highest first."""
        return sorted(
            self._slots,
            key=lambda name: (-self._loads[name] / self._slots[name], name),
        )

    def propose_move(
        self, unit: _ownership.Unit, source: str, load: float
    ) -> Proposal | None:
        """Proposes the best move of a unit, None if no move pays."""
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
