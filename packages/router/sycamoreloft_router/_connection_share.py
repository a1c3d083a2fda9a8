"""Divides the connections of an upstream among all hosts."""

import dataclasses

import sycamoreloft_config

#: Share until the files and the hosts are known: 300 connections of an
#: upstream shared by 24 hosts, rounded down to whole connections.
DEFAULT_CONNECTIONS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShare:
    """What one host may open to one upstream."""

    #: Connections at once, idle ones included.
    connections: int = DEFAULT_CONNECTIONS
    #: Whether a connection may be kept for the next request.
    keeps_idle: bool = True


def compute_share(
    generation: sycamoreloft_config.Generation, hosts: int
) -> ConnectionShare:
    """Computes the share that suits every upstream of a generation.

    A host may need as many connections as an upstream has slots, if all its
    permits are in use there. If that many for each host are more than the
    upstream accepts, idle connections are not kept: the connections are then
    no more than the permits, which the slots bound whatever the number of
    hosts.

    Args:
        generation: The accepted generation.
        hosts: Number of hosts, this one included.
    """
    upstreams = [
        upstream
        for fleet in generation.fleets.values()
        for upstream in fleet.upstreams.values()
    ]
    if not upstreams:
        return ConnectionShare()
    slots = max(upstream.slots for upstream in upstreams)
    connections = min(upstream.connections for upstream in upstreams)
    share = connections // max(hosts, 1)
    if share < slots:
        return ConnectionShare(slots, keeps_idle=False)
    return ConnectionShare(share)
