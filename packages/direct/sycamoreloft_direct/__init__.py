"""Decisions of hosts that choose upstreams themselves.

Nothing here does I/O or reads a clock; times are passed in, in seconds.
"""

from sycamoreloft_direct._crash_guard import CrashGuard, identify_request
from sycamoreloft_direct._key_commands import (
    Command,
    GrantResult,
    HoldTimes,
    KeyLoad,
    SendGrant,
    SendRelease,
    WriteMap,
)
from sycamoreloft_direct._key_coordinator import KeyCoordinator
from sycamoreloft_direct._key_map import (
    KeyMap,
    KeyRange,
    ServiceKeys,
    create_unowned,
    decode_key_map,
    encode_key_map,
)
from sycamoreloft_direct._nodes import (
    KEY_COUNT,
    CallerBounds,
    DesiredState,
    Route,
    RouteKind,
    Service,
    Target,
    Upstream,
    UpstreamRun,
)
from sycamoreloft_direct._routes import RouteTable
from sycamoreloft_direct._upstream_book import (
    LEAST_STALL_S,
    AttemptResult,
    UpstreamBook,
    UpstreamRecord,
)

__all__ = [
    "KEY_COUNT",
    "LEAST_STALL_S",
    "AttemptResult",
    "CallerBounds",
    "Command",
    "CrashGuard",
    "DesiredState",
    "GrantResult",
    "HoldTimes",
    "KeyCoordinator",
    "KeyLoad",
    "KeyMap",
    "KeyRange",
    "Route",
    "RouteKind",
    "RouteTable",
    "SendGrant",
    "SendRelease",
    "Service",
    "ServiceKeys",
    "Target",
    "Upstream",
    "UpstreamBook",
    "UpstreamRecord",
    "UpstreamRun",
    "WriteMap",
    "create_unowned",
    "decode_key_map",
    "encode_key_map",
    "identify_request",
]
