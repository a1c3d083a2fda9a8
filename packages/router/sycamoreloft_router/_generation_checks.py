"""Checks of generations and of permit requests against them."""

import sycamoreloft_config
import sycamoreloft_wire


def changes_groups(
    before: sycamoreloft_config.Generation,
    after: sycamoreloft_config.Generation,
    fleet_name: str,
) -> bool:
    """Returns whether the groups of a fleet differ between two generations.

    If they do, the claims of a request id may belong to another group.
    """
    old, new = before.fleets.get(fleet_name), after.fleets.get(fleet_name)
    if old is None or new is None:
        return True
    return sycamoreloft_config.list_groups(
        old
    ) != sycamoreloft_config.list_groups(new)


#: Valid values of the priority of a request.
_PRIORITIES = frozenset(map(int, sycamoreloft_config.Priority))


def is_well_formed(
    generation: sycamoreloft_config.Generation,
    message: sycamoreloft_wire.PermitRequest,
) -> bool:
    """Returns whether a permit request agrees with the generation in force.

    The partition must be that of the key: a keyed request without a partition
    would get a permit without a fence.
    """
    fleet = generation.fleets.get(message.fleet)
    service = fleet.services.get(message.service) if fleet else None
    if service is None or message.priority not in _PRIORITIES:
        return False
    if not service.keyed:
        return message.partition == -1
    expected = sycamoreloft_config.compute_partition(
        message.fleet, message.service, message.key, service.partitions
    )
    return message.partition == expected


def find_upstream(
    fleet_name: str,
    upstream_name: str,
    *generations: sycamoreloft_config.Generation | None,
) -> sycamoreloft_config.Upstream | None:
    """Returns an upstream of the first generation that has it, else None."""
    for generation in generations:
        fleet = generation.fleets.get(fleet_name) if generation else None
        if fleet is not None and upstream_name in fleet.upstreams:
            return fleet.upstreams[upstream_name]
    return None
