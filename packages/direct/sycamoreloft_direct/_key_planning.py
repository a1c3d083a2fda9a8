"""Chooses which upstream gets which keys."""

from collections import abc
import dataclasses

from sycamoreloft_direct import _key_loads, _nodes

#: Busy share above the mean at which keys move. Below, the difference may be
#: chance: an upstream gets some tens of requests in the window.
IMBALANCE = 0.25

#: Busy share of an upstream's slots below which nothing moves.
LEAST_PRESSURE = 0.55

#: Busy share of the slots above which requests queue often.
QUEUEING = 0.65

#: Load over the mean that a move may give to the upstream that gets keys.
FILL = 1.15

#: Share of an upstream's capacity that one key has to use, and how much faster
#: another upstream has to be, for the key to move there.
FULL, FASTER = 0.8, 1.25

#: Work of a part that moves, as shares of the wanted work.
LEAST_PART, MOST_PART = 0.1, 1.5

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
        """Proposes one move that relieves the busiest upstream that can be.

        One key cannot be divided. Where it alone is too much for an upstream,
        the other keys of that upstream move away.
        """
        if len(self._capacity) < 2:
            return None
        move = self._find_faster(pieces)
        if move is not None:
            return move
        mean = sum(self._work.values()) / sum(self._capacity.values())
        calmest = min(self._work, key=self._get_pressure)
        is_new = self._work[calmest] == 0.0
        for busiest in sorted(self._work, key=self._get_pressure, reverse=True):
            pressure = self._get_pressure(busiest)
            is_busy = pressure >= max(mean + IMBALANCE, LEAST_PRESSURE)
            if busiest == calmest or not (is_busy or is_new):
                return None
            amount = self._choose_amount(busiest, calmest, mean, is_new)
            part = self._find_part(busiest, pieces, amount)
            if part is not None:
                work = self._get_work(part)
                self._work[busiest] -= work
                self._work[calmest] += work
                return PlannedMove(part.first, part.last, calmest)
        return None

    def list_busy(self) -> list[_nodes.UpstreamRun]:
        """Returns the upstreams whose requests have to queue."""
        return [
            run for run in self._work if self._get_pressure(run) >= QUEUEING
        ]

    def _find_faster(self, pieces: abc.Sequence[Piece]) -> PlannedMove | None:
        """Moves a key that fills its owner to a much faster upstream."""
        fastest = max(self._capacity, key=self._capacity.__getitem__)
        for piece in pieces:
            owner = piece.owner
            if owner is None or owner not in self._capacity:
                continue
            capacity = self._capacity[owner]
            if self._capacity[fastest] < FASTER * capacity:
                continue
            key, work = self._profile.find_busiest(piece.first, piece.last)
            if work > FULL * capacity:
                self._work[owner] -= work
                self._work[fastest] += work
                return PlannedMove(key, key, fastest)
        return None

    def _choose_amount(
        self,
        busiest: _nodes.UpstreamRun,
        calmest: _nodes.UpstreamRun,
        mean: float,
        is_new: bool,
    ) -> float:
        """Returns how much work should move from one to the other."""
        if is_new:
            return min(mean * self._capacity[calmest], self._work[busiest] / 2)
        low = self._get_pressure(calmest)
        high = self._get_pressure(busiest)
        return min(
            (high - mean) * self._capacity[busiest],
            (mean * FILL - low) * self._capacity[calmest],
        )

    def _find_part(
        self,
        owner: _nodes.UpstreamRun,
        pieces: abc.Sequence[Piece],
        amount: float,
    ) -> Piece | None:
        """Finds keys of an owner with about the given work."""
        least = amount * LEAST_PART
        owned = [piece for piece in pieces if piece.owner == owner]
        for piece in sorted(owned, key=self._get_work, reverse=True):
            if self._get_work(piece) < least:
                return None
            parts = [
                part
                for part in self._list_cuts(piece, amount)
                if least <= self._get_work(part) <= amount * MOST_PART
            ]
            if parts:
                return min(parts, key=lambda part: part.last - part.first)
        return None

    def _list_cuts(self, piece: Piece, amount: float) -> abc.Iterator[Piece]:
        """Proposes parts of a piece with about the given work."""
        first, last, owner = piece.first, piece.last, piece.owner
        yield Piece(first, self._profile.find_cut(first, last, amount), owner)
        rest = self._get_work(piece) - amount
        if rest > 0 and first < last:
            head = self._profile.find_cut(first, last, rest)
            yield Piece(min(head + 1, last), last, owner)
        if first < last:
            # Where the first or last key alone is too much.
            yield Piece(first + 1, last, owner)
            yield Piece(first, last - 1, owner)

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
