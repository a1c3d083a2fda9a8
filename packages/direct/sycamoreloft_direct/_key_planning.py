"""Chooses which upstream gets which keys."""

from collections import abc
import dataclasses

from sycamoreloft_direct import _key_loads, _nodes

#: Load of the busiest upstream over the mean above which keys move.
IMBALANCE = 1.3

#: Busy share of an upstream's slots below which nothing moves.
LEAST_PRESSURE = 0.55

#: Load over the mean that a move may give to the upstream that gets keys.
FILL = 1.15

#: Share of the capacity that an upstream has while it warms up.
WARM_UP_CAPACITY = 0.5

#: Parts that the keys of one lost or leaving upstream are divided into.
PARTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """A range of keys and the upstream that has it."""

    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Run of the present owner; None for no owner.
    owner: _nodes.UpstreamRun | None


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedMove:
    """A range that another upstream should get."""

    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: The upstream that gets it.
    target: _nodes.UpstreamRun


class Planner:
    """Plans for one service at one moment.

    Args:
        upstreams: Upstreams that may own keys.
        profile: Work on the keys in the last window.
        window_s: Length of the window that the profile covers, in seconds.
        speeds: Relative speed of upstreams by identifier.
    """

    def __init__(
        self,
        upstreams: abc.Iterable[_nodes.Upstream],
        profile: _key_loads.LoadProfile,
        window_s: float,
        speeds: abc.Mapping[str, float],
    ) -> None:
        self._profile = profile
        self._capacity = {
            item.run: max(item.slots, 1)
            * window_s
            * speeds.get(item.id, 1.0)
            * (WARM_UP_CAPACITY if item.warm_up_s > 0 else 1.0)
            for item in upstreams
        }
        self._work = dict.fromkeys(self._capacity, 0.0)

    def count(self, pieces: abc.Iterable[Piece]) -> None:
        """Adds the work of pieces to their owners."""
        for piece in pieces:
            if piece.owner in self._work:
                self._work[piece.owner] += self._profile.sum(
                    piece.first, piece.last
                )

    def place(self, piece: Piece) -> abc.Sequence[PlannedMove]:
        """Finds owners for a piece that must leave its present owner."""
        if not self._capacity:
            return []
        total = self._profile.sum(piece.first, piece.last)
        share = self._profile.total / len(self._capacity)
        width = piece.last - piece.first + 1
        parts = min(
            max(1, round(total / share * 2)),
            max(PARTS, len(self._capacity) * width // _nodes.KEY_COUNT),
            width,
        )
        moves = []
        first = piece.first
        for number in range(parts, 0, -1):
            last = piece.last
            if number > 1:
                rest = self._profile.sum(first, piece.last)
                last = min(
                    self._profile.find_cut(first, piece.last, rest / number),
                    piece.last - number + 1,
                )
            moves.append(self._assign(first, last))
            first = last + 1
        return moves

    def balance(self, pieces: abc.Sequence[Piece]) -> PlannedMove | None:
        """Proposes one move that lowers the load of the busiest upstream."""
        if len(self._capacity) < 2:
            return None
        busiest = max(self._work, key=self._get_pressure)
        calmest = min(self._work, key=self._get_pressure)
        mean = sum(self._work.values()) / sum(self._capacity.values())
        high, low = self._get_pressure(busiest), self._get_pressure(calmest)
        is_new = self._work[calmest] == 0.0
        if high < mean * IMBALANCE and not is_new:
            return None
        if high < LEAST_PRESSURE and not is_new:
            return None
        amount = min(
            (high - mean) * self._capacity[busiest],
            (mean * FILL - low) * self._capacity[calmest],
        )
        if is_new:
            amount = min(
                mean * self._capacity[calmest], self._work[busiest] / 2
            )
        owned = [piece for piece in pieces if piece.owner == busiest]
        if not owned or amount <= 0:
            return None
        piece = max(owned, key=self._get_work)
        part = self._cut(piece, amount)
        if part is None:
            return None
        work = self._get_work(part)
        if work > 1.5 * amount and not is_new:
            return None
        self._work[busiest] -= work
        self._work[calmest] += work
        return PlannedMove(part.first, part.last, calmest)

    def _cut(self, piece: Piece, amount: float) -> Piece | None:
        """Cuts a part with about the given work off a piece."""
        if self._get_work(piece) <= amount:
            return piece
        last = self._profile.find_cut(piece.first, piece.last, amount)
        part = Piece(piece.first, last, piece.owner)
        if self._get_work(part) < amount / 4 and last < piece.last:
            # One busy key follows the part; taking it along may still help.
            part = Piece(piece.first, last + 1, piece.owner)
        if part.last >= piece.last and part.first <= piece.first:
            return piece if piece.first < piece.last else None
        return part

    def _assign(self, first: int, last: int) -> PlannedMove:
        work = self._profile.sum(first, last)
        target = min(
            self._capacity,
            key=lambda run: (self._work[run] + work) / self._capacity[run],
        )
        self._work[target] += work
        return PlannedMove(first, last, target)

    def _get_pressure(self, run: _nodes.UpstreamRun) -> float:
        return self._work[run] / self._capacity[run]

    def _get_work(self, piece: Piece) -> float:
        return self._profile.sum(piece.first, piece.last)
