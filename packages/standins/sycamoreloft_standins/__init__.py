"""Stand-ins of the platform and of upstreams for tests.

`sycamoreloft_standins.platform` and `sycamoreloft_standins.upstream` run as
processes; a test can also serve them itself with their `make_application`.
"""

from sycamoreloft_standins._echo import (
    check_echo,
    check_stream,
    hash_bytes,
    make_echo,
)
from sycamoreloft_standins._grants import sign_body
from sycamoreloft_standins._platform_faults import (
    PlatformCounters,
    PlatformFaults,
    UnknownFaultError,
    change_faults,
)
from sycamoreloft_standins._specs import (
    UpstreamFaults,
    UpstreamSpec,
    format_spec,
    parse_spec,
)
from sycamoreloft_standins._table import Applied, Conflicted, Row, Table

__all__ = [
    "Applied",
    "Conflicted",
    "PlatformCounters",
    "PlatformFaults",
    "Row",
    "Table",
    "UnknownFaultError",
    "UpstreamFaults",
    "UpstreamSpec",
    "change_faults",
    "check_echo",
    "check_stream",
    "format_spec",
    "hash_bytes",
    "make_echo",
    "parse_spec",
    "sign_body",
]
