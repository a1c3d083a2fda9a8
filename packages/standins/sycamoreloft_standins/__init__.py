"""Stand-ins of the platform and of upstreams for tests.

`sycamoreloft_standins.platform` and `sycamoreloft_standins.upstream` are the
two processes; both can also be served inside a test by `make_application`.
"""

from sycamoreloft_standins._platform_faults import (
    PlatformCounters,
    PlatformFaults,
    UnknownFaultError,
    change_faults,
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
    "change_faults",
]
