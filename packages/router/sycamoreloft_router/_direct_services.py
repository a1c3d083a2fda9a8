"""What all requests of a direct host share."""

import asyncio
import dataclasses
import random

import sycamoreloft_direct
from sycamoreloft_router import (
    _coordinator_role,
    _direct_ports,
    _direct_views,
    _key_directory,
    _metrics,
    _upstream_client,
)


@dataclasses.dataclass(slots=True)
class DirectServices:
    """What all requests of the process share."""

    #: Name of this host.
    host: str
    #: The desired state.
    states: _direct_views.StateView
    #: Upstreams.
    upstreams: _direct_views.UpstreamView
    #: What was observed of each upstream.
    book: sycamoreloft_direct.UpstreamPool
    #: Owners of keys.
    directory: _key_directory.KeyDirectory
    #: Seconds after which an upstream that is seen to leave gets no requests
    #: for the keys that it still owns.
    leaving_s: float
    #: Counts requests and answers for the coordinator.
    coordinator_role: _coordinator_role.CoordinatorRole
    #: Retries that are allowed.
    budgets: sycamoreloft_direct.ServiceRetryBudgets
    #: Requests that crash upstreams.
    guard: sycamoreloft_direct.CrashGuard
    #: Runs the transfers.
    client: _upstream_client.UpstreamClient
    #: Headers of the protocol.
    names: _direct_ports.HeaderNames
    #: Metrics of the process.
    metrics: _metrics.Metrics
    #: Event loop of the process.
    loop: asyncio.AbstractEventLoop
    #: Source of random choices.
    generator: random.Random
