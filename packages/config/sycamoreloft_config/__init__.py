"""Fleet and merge files and process settings."""

from sycamoreloft_config._hashing import (
    find_group,
    find_partition,
    hash_text,
    list_group_upstreams,
    list_groups,
    rank_by_rendezvous,
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

__all__ = [
    "FailureDomain",
    "Fleet",
    "Generation",
    "GroupName",
    "Merge",
    "Operation",
    "Priority",
    "SameService",
    "SameUpstream",
    "Service",
    "Upstream",
    "Weights",
    "find_group",
    "find_partition",
    "hash_text",
    "list_group_upstreams",
    "list_groups",
    "parse_group_name",
    "rank_by_rendezvous",
]
