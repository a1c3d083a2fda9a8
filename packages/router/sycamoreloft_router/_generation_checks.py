"""Comparisons of two generations that group runtimes need."""

import sycamoreloft_config


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
