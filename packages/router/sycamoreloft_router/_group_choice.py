"""Choice of the group that is asked for a permit."""

from collections import abc
import random

from sycamoreloft_router import _caller_requests, _permit_ports

#: Weight of the latest observation in the mean delay of a group.
_LATEST_WEIGHT = 0.1

#: Groups whose delay is remembered.
MAXIMUM_GROUPS = 4_096


class GroupChooser:
    """Finds a group for each attempt.

    Args:
        groups: Location of partitions and groups.
        generator: Source of the random choices.
    """

    def __init__(
        self, groups: _permit_ports.GroupSource, generator: random.Random
    ) -> None:
        self._groups = groups
        self._generator = generator
        self._delays: dict[str, float] = {}

    def choose(
        self,
        request: _caller_requests.CallerRequest,
        refused: abc.Container[str],
    ) -> str | None:
        """Chooses the group for an attempt.

        A partition has one group. For an unkeyed service the better of two
        random groups of the own domain is taken, and groups of other domains
        only when all of the own domain refused.

        Args:
            request: The request.
            refused: Groups that refused a permit for it.
        """
        fleet, service = request.reference.fleet, request.reference.service
        if request.service.keyed:
            return self._groups.compute_partition_group(
                fleet, service, request.partition
            )
        near = self._groups.list_near_groups(fleet, service)
        candidates = [name for name in near if name not in refused]
        if not candidates:
            far = self._groups.list_far_groups(fleet, service)
            candidates = [name for name in far if name not in refused]
        if not candidates:
            # Every group refused; a retry may still find a free slot.
            candidates = list(near)
        return self._choose_better(candidates)

    def observe(self, group: str, delay_s: float) -> None:
        """Notes how long a request took, from asking for the permit."""
        known = self._delays.get(group)
        if known is not None:
            self._delays[group] = known + _LATEST_WEIGHT * (delay_s - known)
        elif len(self._delays) < MAXIMUM_GROUPS:
            self._delays[group] = delay_s

    def _choose_better(self, candidates: abc.Sequence[str]) -> str | None:
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        first, second = self._generator.sample(candidates, 2)
        delays = self._delays
        return min(
            first, second, key=lambda group: (delays.get(group, 0.0), group)
        )
