"""Composition of the server for callers in the permit mode."""

import asyncio
import random

from sycamoreloft_router import (
    _attempts,
    _caller_requests,
    _caller_server,
    _group_choice,
    _metrics,
    _permit_ports,
    _request_path,
    _upstream_client,
)


def create_server(
    host: str,
    incarnation: str,
    names: _permit_ports.NameSource,
    groups: _permit_ports.GroupSource,
    permits: _permit_ports.PermitSource,
    claims: _permit_ports.ClaimSource,
    limits: _caller_server.CallerLimits | None = None,
    metrics: _metrics.Metrics | None = None,
) -> _caller_server.CallerServer:
    """Creates a server that obtains a permit for each attempt of a request.

    Args:
        host: Name of this host, which permit requests carry.
        incarnation: Random identifier of this process; part of the
            identifiers of attempts.
        names: The generation in force and the names that it defines.
        groups: Groups that serve partitions and unkeyed services.
        permits: Obtains permits from group holders.
        claims: Obtains claims from group holders.
        limits: Limits on callers and connections; None for the defaults.
        metrics: Metrics of the process; None for metrics of the server alone.
    """
    limits = limits or _caller_server.CallerLimits()
    generator = random.Random()
    services = _attempts.SharedServices(
        host,
        incarnation,
        names,
        permits,
        claims,
        _upstream_client.UpstreamClient(
            force_instance=True,
            connections_per_upstream=limits.connections_per_upstream,
        ),
        metrics or _metrics.Metrics(),
        asyncio.get_running_loop(),
    )
    path = _request_path.RequestPath(
        services,
        _caller_requests.RequestParser(names),
        _group_choice.GroupChooser(groups, generator),
        generator,
    )
    return _caller_server.CallerServer(path, services.client, limits)
