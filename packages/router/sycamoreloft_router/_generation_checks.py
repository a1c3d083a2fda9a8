"""Comparisons of two generations that group runtimes need."""

import sycamoreloft_config
import sycamoreloft_wire


def changes_groups(
    before: sycamoreloft_config.Generation,
    after: sycamoreloft_config.Generation,
    fleet_name: str,
) -> bool:
    """Tells whether a fleet has other groups in another generation.

    The holder of a request id depends on the groups.
    """
    old, new = before.fleets.get(fleet_name), after.fleets.get(fleet_name)
    if old is None or new is None:
        return True
    return sycamoreloft_config.list_groups(
        old
    ) != sycamoreloft_config.list_groups(new)


#: Values that the priority of a request may have.
_PRIORITIES = frozenset(map(int, sycamoreloft_config.Priority))


def is_well_formed(
    generation: sycamoreloft_config.Generation,
    message: sycamoreloft_wire.PermitRequest,
) -> bool:
    """Tells whether a permit request fits the files of its generation.

    A request without its partition would get a permit without a fence.
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
    """Finds an upstream in the first generation that has it."""
    for generation in generations:
        fleet = generation.fleets.get(fleet_name) if generation else None
        if fleet is not None and upstream_name in fleet.upstreams:
            return fleet.upstreams[upstream_name]
    return None
