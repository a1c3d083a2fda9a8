"""Plans which keys of a service should move to which upstream.

The utilization of an upstream is its work in the window divided by its
capacity. Its capacity is the work that its slots can do in the window.
"""

from collections import abc
import dataclasses
import math

from sycamoreloft_direct import _key_loads, _model

#: How far the utilization of an upstream must exceed the mean for its keys to
#: move, at least.
IMBALANCE_THRESHOLD = 0.25

#: How many standard deviations of its random arrivals the work of an upstream
#: must exceed the mean by. An upstream with few but long requests in the window
#: shows large differences that the next window does not have, and a move makes
#: its keys unavailable until the running requests have ended.
SIGNIFICANT_DEVIATIONS = 2.0

#: Utilization below which no keys move off an upstream.
MINIMUM_UTILIZATION = 0.55

#: Utilization above which requests often queue.
QUEUEING_UTILIZATION = 0.65

#: Maximum utilization that a move may give to the receiving upstream, as a
#: multiple of the mean.
MAXIMUM_FILL = 1.15

#: A single key moves if it uses more than this share of its owner's capacity
#: and another upstream has at least this multiple of the owner's capacity.
HOT_KEY_SHARE, SPEED_ADVANTAGE = 0.8, 1.25

#: Minimum and maximum work of the keys that move, relative to the amount of
#: work that should move.
MINIMUM_PART, MAXIMUM_PART = 0.1, 1.5

#: Capacity of an upstream that declares a warm-up, relative to its full one.
WARM_UP_CAPACITY = 0.5

#: Share of the rate of a cold upstream that is planned for its keys. Each host
#: draws its own times for sending to a cold upstream, so that most requests for
#: its keys arrive at a host without such a time and are refused.
COLD_KEY_SHARE = 0.1

#: Mean work of a request that is assumed before any answer, in seconds.
DEFAULT_REQUEST_S = 0.1

#: Maximum number of parts into which the keys of one lost or leaving upstream
#: are divided, unless they span more parts of average width.
USUAL_MAXIMUM_PARTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedRange:
    """A range of keys and its owner, as input of a plan."""

    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Run of the current owner; None if there is none.
    owner: _model.UpstreamRun | None


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedMove:
    """A range of keys that should move to another upstream."""

    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Run of the upstream that should get the keys.
    target: _model.UpstreamRun


class Planner:
    """Plans the moves of one service from a snapshot of its load.

    Args:
        upstreams: Upstreams that may own keys.
        profile: Work on the keys in the last window.
        window_s: Length of the window that the profile covers, in seconds.
        speeds: Relative speed of upstreams, by identifier. It is 1.0 for an
            upstream that is not in the mapping.
        request_s: Mean work of a request, in seconds.
    """

    def __init__(
        self,
        upstreams: abc.Collection[_model.Upstream],
        profile: _key_loads.LoadProfile,
        window_s: float,
        speeds: abc.Mapping[str, float],
        request_s: float = DEFAULT_REQUEST_S,
    ) -> None:
        self._profile = profile
        self._limited = {
            upstream.run for upstream in upstreams if upstream.warm_up_rate > 0
        }
        self._capacity = {
            upstream.run: window_s
            * _compute_capacity(
                upstream, speeds.get(upstream.id, 1.0), request_s
            )
            for upstream in upstreams
        }
        self._work = dict.fromkeys(self._capacity, 0.0)

    def add_work(self, owned_ranges: abc.Iterable[OwnedRange]) -> None:
        """Adds the work on ranges of keys to their owners."""
        for owned_range in owned_ranges:
            if owned_range.owner in self._work:
                self._work[owned_range.owner] += self._profile.sum(
                    owned_range.first, owned_range.last
                )

    def plan_placement(
        self, owned_range: OwnedRange
    ) -> abc.Sequence[PlannedMove]:
        """Distributes a range that has no owner or must leave its owner.

        Returns:
            Moves in ascending order of keys, which cover the whole range;
            nothing if no upstream may own keys.
        """
        if not self._capacity:
            return []
        total = self._profile.sum(owned_range.first, owned_range.last)
        share = self._profile.total / len(self._capacity)
        width = owned_range.last - owned_range.first + 1
        parts = min(
            max(1, round(total / share * 2)),
            max(
                USUAL_MAXIMUM_PARTS,
                len(self._capacity) * width // _model.KEY_COUNT,
            ),
            width,
        )
        moves = []
        first = owned_range.first
        for number in range(parts, 0, -1):
            last = owned_range.last
            if number > 1:
                rest = self._profile.sum(first, owned_range.last)
                last = min(
                    self._profile.find_split(
                        first, owned_range.last, rest / number
                    ),
                    owned_range.last - number + 1,
                )
            moves.append(self._assign_part(first, last))
            first = last + 1
        return moves

    def plan_move(
        self, owned_ranges: abc.Sequence[OwnedRange]
    ) -> PlannedMove | None:
        """Proposes a move off the busiest upstream that can be relieved.

        A single key cannot be split. If one key alone overloads an upstream,
        the other keys of that upstream are moved away.

        Returns:
            The move, or None if the load is balanced well enough.
        """
        if len(self._capacity) < 2:
            return None
        move = self._plan_hot_key_move(owned_ranges)
        if move is not None:
            return move
        mean = sum(self._work.values()) / sum(self._capacity.values())
        least_busy = min(self._work, key=self._get_utilization)
        is_new = self._work[least_busy] == 0.0
        for busiest in sorted(
            self._work, key=self._get_utilization, reverse=True
        ):
            utilization = self._get_utilization(busiest)
            is_busy = utilization >= max(
                mean + self._compute_threshold(busiest, mean),
                MINIMUM_UTILIZATION,
            )
            if busiest == least_busy or not (is_busy or is_new):
                return None
            amount = self._compute_amount(busiest, least_busy, mean, is_new)
            part = self._find_part(busiest, owned_ranges, amount)
            if part is not None:
                work = self._get_work(part)
                self._work[busiest] -= work
                self._work[least_busy] += work
                return PlannedMove(part.first, part.last, least_busy)
        return None

    def list_queueing(self) -> list[_model.UpstreamRun]:
        """Returns the upstreams so busy that their requests queue."""
        return [
            run
            for run in self._work
            if self._get_utilization(run) >= QUEUEING_UTILIZATION
        ]

    def _plan_hot_key_move(
        self, owned_ranges: abc.Sequence[OwnedRange]
    ) -> PlannedMove | None:
        """Proposes to move a key that fills its owner to a faster upstream."""
        fastest = max(self._capacity, key=self._capacity.__getitem__)
        for owned_range in owned_ranges:
            owner = owned_range.owner
            if owner is None or owner not in self._capacity:
                continue
            capacity = self._capacity[owner]
            if self._capacity[fastest] < SPEED_ADVANTAGE * capacity:
                continue
            key, work = self._profile.find_busiest(
                owned_range.first, owned_range.last
            )
            if work > HOT_KEY_SHARE * capacity:
                self._work[owner] -= work
                self._work[fastest] += work
                return PlannedMove(key, key, fastest)
        return None

    def _compute_threshold(self, run: _model.UpstreamRun, mean: float) -> float:
        """Returns the excess over the mean utilization that is not random.

        Arrivals are taken as a Poisson process: of `n` expected requests in
        the window, the standard deviation is the square root of `n`.

        Args:
            run: Run of the upstream.
            mean: Mean utilization of all upstreams.
        """
        if run in self._limited:
            # What exceeds the rate of a cold upstream is refused at once.
            return IMBALANCE_THRESHOLD
        capacity = self._capacity[run]
        deviation_s = math.sqrt(mean * capacity * self._profile.request_s)
        return max(
            IMBALANCE_THRESHOLD, SIGNIFICANT_DEVIATIONS * deviation_s / capacity
        )

    def _compute_amount(
        self,
        busiest: _model.UpstreamRun,
        least_busy: _model.UpstreamRun,
        mean: float,
        is_new: bool,
    ) -> float:
        """Returns the work that should move between two upstreams.

        Args:
            busiest: Upstream that gives keys away.
            least_busy: Upstream that gets them.
            mean: Mean utilization of all upstreams.
            is_new: Whether the least busy upstream has no work at all.

        Returns:
            Work per window, in seconds.
        """
        if is_new:
            return min(
                mean * self._capacity[least_busy], self._work[busiest] / 2
            )
        low = self._get_utilization(least_busy)
        high = self._get_utilization(busiest)
        return min(
            (high - mean) * self._capacity[busiest],
            (mean * MAXIMUM_FILL - low) * self._capacity[least_busy],
        )

    def _find_part(
        self,
        owner: _model.UpstreamRun,
        owned_ranges: abc.Sequence[OwnedRange],
        amount: float,
    ) -> OwnedRange | None:
        """Returns a part of an owner's ranges with about an amount of work.

        Of all suitable parts, the one with the fewest keys is returned: the
        cost of a move grows with its keys. None if there is none.
        """
        least = amount * MINIMUM_PART
        parts = [
            part
            for owned_range in owned_ranges
            if owned_range.owner == owner
            and self._get_work(owned_range) >= least
            for part in self._propose_parts(owned_range, amount)
            if least <= self._get_work(part) <= amount * MAXIMUM_PART
        ]
        return min(parts, key=lambda part: part.last - part.first, default=None)

    def _propose_parts(
        self, owned_range: OwnedRange, amount: float
    ) -> abc.Iterator[OwnedRange]:
        """Yields parts of a range that may have about an amount of work."""
        first, last, owner = (
            owned_range.first,
            owned_range.last,
            owned_range.owner,
        )
        yield OwnedRange(
            first, self._profile.find_split(first, last, amount), owner
        )
        rest = self._get_work(owned_range) - amount
        if rest > 0 and first < last:
            head = self._profile.find_split(first, last, rest)
            yield OwnedRange(min(head + 1, last), last, owner)
        if first < last:
            # The first or the last key alone may be too hot: move the rest.
            yield OwnedRange(first + 1, last, owner)
            yield OwnedRange(first, last - 1, owner)

    def _assign_part(self, first: int, last: int) -> PlannedMove:
        work = self._profile.sum(first, last)
        target = min(
            self._capacity,
            key=lambda run: (self._work[run] + work) / self._capacity[run],
        )
        self._work[target] += work
        return PlannedMove(first, last, target)

    def _get_utilization(self, run: _model.UpstreamRun) -> float:
        return self._work[run] / self._capacity[run]

    def _get_work(self, owned_range: OwnedRange) -> float:
        return self._profile.sum(owned_range.first, owned_range.last)


def _compute_capacity(
    upstream: _model.Upstream, speed: float, request_s: float
) -> float:
    """Returns the work that an upstream can do for its keys per second."""
    capacity = max(upstream.slots, 1) * speed
    if upstream.warm_up_rate > 0:
        cold = upstream.warm_up_rate * request_s * COLD_KEY_SHARE
        return min(cold, capacity * WARM_UP_CAPACITY)
    return capacity * (WARM_UP_CAPACITY if upstream.warm_up_s > 0 else 1.0)
