"""Objects that all requests of a direct host share."""

import asyncio
import dataclasses
import random

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _coordinator_role,
    _direct_ports,
    _direct_views,
    _key_directory,
    _metrics,
    _upstream_client,
    _upstream_notices,
)
from sycamoreloft_router.load import _admission_gate


@dataclasses.dataclass(slots=True)
class DirectServices:
    """Objects that all requests of the process share."""

    #: Name of this host.
    host: str
    #: The desired state.
    states: _direct_views.StateView
    #: Listed and departed upstreams.
    upstreams: _direct_views.UpstreamView
    #: Load and failures of each upstream; chooses upstreams.
    pool: sycamoreloft_load.UpstreamPool
    #: Map of the owners of keys.
    directory: _key_directory.KeyDirectory
    #: Seconds for which a leaving upstream still gets requests for the keys
    #: that it owns, counted from when this host learned that it leaves.
    leaving_s: float
    #: Counts requests and answers, to report them to the coordinator.
    coordinator_role: _coordinator_role.CoordinatorRole
    #: Budgets of retries by service.
    budgets: sycamoreloft_direct.ServiceRetryBudgets
    #: Counts crashes of upstreams by request, and stops such requests.
    guard: sycamoreloft_direct.CrashGuard
    #: Paths that upstreams answered on this host.
    answered_paths: sycamoreloft_direct.AnsweredPaths
    #: HTTP client for requests to upstreams.
    client: _upstream_client.UpstreamClient
    #: Names of headers and paths.
    header_names: _direct_ports.HeaderNames
    #: Applies what upstreams announce about themselves.
    notices: _upstream_notices.UpstreamNotices
    #: Metrics of the process.
    metrics: _metrics.Metrics
    #: Event loop of the process.
    loop: asyncio.AbstractEventLoop
    #: Source of random choices.
    generator: random.Random
    #: Holds requests until their upstream has room.
    gate: _admission_gate.AdmissionGate
