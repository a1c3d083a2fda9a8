"""Assignment of partitions to the groups of a fleet."""

import math

import sycamoreloft_config


class PartitionDirectory:
    """The group of each partition in one generation.

    Every host computes the same result from the generation alone, by
    rendezvous hashing, so a change of one group only moves partitions from or
    to this group. The weight of a group is the number of slots of its usable
    upstreams of the service.

    Args:
        generation: The generation.
    """

    def __init__(self, generation: sycamoreloft_config.Generation) -> None:
        self._generation = generation
        self._weights: dict[
            tuple[str, str], list[tuple[sycamoreloft_config.GroupName, int]]
        ] = {}
        self._groups: dict[
            tuple[str, str, int], sycamoreloft_config.GroupName | None
        ] = {}

    def get_group(
        self, fleet: str, service: str, partition: int
    ) -> sycamoreloft_config.GroupName | None:
        """Returns the group of a partition, None if no group can serve it.

        A service that the merge file declares as an alias has no partitions
        of its own. The holders of its groups release the partitions that they
        assigned before the declaration.
        """
        key = (fleet, service, partition)
        if key not in self._groups:
            self._groups[key] = self._choose_group(fleet, service, partition)
        return self._groups[key]

    def _choose_group(
        self, fleet: str, service: str, partition: int
    ) -> sycamoreloft_config.GroupName | None:
        best: tuple[float, sycamoreloft_config.GroupName] | None = None
        for group, slots in self._get_weights(fleet, service):
            hash_value = sycamoreloft_config.hash_text(
                service, str(partition), str(group)
            )
            # Turns the hash into an exponential variable with the rate `slots`.
            # A group has the smallest draw with a probability proportional to
            # its rate.
            draw = -math.log((hash_value + 1) / (2**64 + 1)) / slots
            if best is None or (draw, group) < best:
                best = (draw, group)
        return best[1] if best else None

    def _get_weights(
        self, fleet: str, service: str
    ) -> list[tuple[sycamoreloft_config.GroupName, int]]:
        if (fleet, service) not in self._weights:
            self._weights[fleet, service] = self._compute_weights(
                fleet, service
            )
        return self._weights[fleet, service]

    def _compute_weights(
        self, fleet_name: str, service_name: str
    ) -> list[tuple[sycamoreloft_config.GroupName, int]]:
        fleet = self._generation.fleets.get(fleet_name)
        if fleet is None:
            return []
        service = fleet.services.get(service_name)
        if service is None or not service.keyed:
            return []
        if self._is_alias(fleet_name, service_name):
            return []
        slots: dict[sycamoreloft_config.GroupName, int] = {}
        for upstream in fleet.upstreams.values():
            domain = fleet.failure_domains[upstream.failure_domain]
            if upstream.service != service_name or domain.lost:
                continue
            if upstream.lost or upstream.leaving:
                continue
            group = sycamoreloft_config.compute_group(fleet, upstream.name)
            slots[group] = slots.get(group, 0) + max(1, upstream.slots)
        return sorted(slots.items())

    def _is_alias(self, fleet: str, service: str) -> bool:
        return any(
            same_service.alias == f"{fleet}/{service}"
            for same_service in self._generation.merge.same_services
        )


def compute_partition_group(
    generation: sycamoreloft_config.Generation,
    fleet: str,
    service: str,
    partition: int,
) -> sycamoreloft_config.GroupName | None:
    """Returns the group of one partition; see `PartitionDirectory`."""
    directory = PartitionDirectory(generation)
    return directory.get_group(fleet, service, partition)
