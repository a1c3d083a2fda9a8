"""Choice of the group whose holder issues the permit for an attempt."""

from collections import abc
import random

from sycamoreloft_router import _caller_requests, _permit_ports

#: Weight of the latest attempt in a group's moving average of durations.
_LATEST_WEIGHT = 0.1

#: Maximum number of groups whose mean duration is stored.
MAXIMUM_GROUPS = 4_096


class GroupChooser:
    """Chooses a group for each attempt.

    Args:
        groups: Groups that serve partitions and unkeyed services.
        generator: Source of the random choices.
    """

    def __init__(
        self, groups: _permit_ports.GroupSource, generator: random.Random
    ) -> None:
        self._groups = groups
        self._generator = generator
        self._mean_durations_s: dict[str, float] = {}

    def choose(
        self,
        request: _caller_requests.CallerRequest,
        refused: abc.Container[str],
    ) -> str | None:
        """Chooses the group for an attempt.

        A partition belongs to exactly one group. For an unkeyed service, two
        random groups of the host's own failure domain are compared and the
        one with the shorter mean duration of attempts is chosen. Groups of
        other failure domains are used only after all groups of the host's own
        domain have refused.

        Args:
            request: Request that the attempt serves.
            refused: Groups that have refused a permit for this request.

        Returns:
            The group as "fleet/domain/index", or None if none is known.
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
            # Every group has refused, but a slot may be free by now.
            candidates = list(near)
        return self._choose_faster(candidates)

    def record_duration(self, group: str, duration_s: float) -> None:
        """Records the duration of an attempt, permit request included."""
        mean_s = self._mean_durations_s.get(group)
        if mean_s is not None:
            self._mean_durations_s[group] = mean_s + _LATEST_WEIGHT * (
                duration_s - mean_s
            )
        elif len(self._mean_durations_s) < MAXIMUM_GROUPS:
            self._mean_durations_s[group] = duration_s

    def _choose_faster(self, candidates: abc.Sequence[str]) -> str | None:
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        first, second = self._generator.sample(candidates, 2)
        durations_s = self._mean_durations_s
        return min(
            first,
            second,
            key=lambda group: (durations_s.get(group, 0.0), group),
        )
