"""Divides the connections of an upstream among all hosts."""

import dataclasses

import sycamoreloft_config

#: Connections before the fleet files and the number of hosts are known: the 300
#: connections of an upstream, divided among 24 hosts.
DEFAULT_CONNECTIONS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShare:
    """Connections that one host may open to one upstream."""

    #: Maximum number of connections, idle ones included.
    connections: int = DEFAULT_CONNECTIONS
    #: Whether a connection may stay open for the next request.
    keeps_idle: bool = True


def compute_share(
    generation: sycamoreloft_config.Generation, hosts: int
) -> ConnectionShare:
    """Computes a share that fits every upstream of a generation.

    A host needs as many connections as an upstream has slots if this host uses
    all permits of the upstream. If an upstream does not accept that many
    connections from every host, idle connections are not kept: each open
    connection then has a permit, and the number of permits is bounded by the
    slots, whatever the number of hosts.

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
