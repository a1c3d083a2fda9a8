"""Fleet files, merge files and process settings."""

from sycamoreloft_config._differences import (
    is_alike,
    list_differences,
)
from sycamoreloft_config._generations import build_file_name, build_generation
from sycamoreloft_config._hashing import (
    compute_group,
    compute_partition,
    hash_text,
    list_group_upstreams,
    list_groups,
    rank_by_rendezvous,
)
from sycamoreloft_config._loading import load_settings
from sycamoreloft_config._names import (
    ServiceReference,
    list_active_upstreams,
    match_operation,
    resolve_service,
)
from sycamoreloft_config._nodes import (
    FailureDomain,
    Fleet,
    Generation,
    GroupName,
    Merge,
    Operation,
    Priority,
    SameService,
    SameUpstream,
    Service,
    Upstream,
    Weights,
    parse_group_name,
)
from sycamoreloft_config._parsing import parse_file
from sycamoreloft_config._problems import FileProblem, NameProblem
from sycamoreloft_config._settings import (
    Secret,
    Settings,
    TlsFiles,
)

__all__ = [
    "FailureDomain",
    "FileProblem",
    "Fleet",
    "Generation",
    "GroupName",
    "Merge",
    "NameProblem",
    "Operation",
    "Priority",
    "SameService",
    "SameUpstream",
    "Secret",
    "Service",
    "ServiceReference",
    "Settings",
    "TlsFiles",
    "Upstream",
    "Weights",
    "build_file_name",
    "build_generation",
    "compute_group",
    "compute_partition",
    "hash_text",
    "is_alike",
    "list_active_upstreams",
    "list_differences",
    "list_group_upstreams",
    "list_groups",
    "load_settings",
    "match_operation",
    "parse_file",
    "parse_group_name",
    "rank_by_rendezvous",
    "resolve_service",
]
