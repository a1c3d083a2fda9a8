"""Hashes that are equal on all hosts and in all versions."""

from collections import abc
import hashlib

from sycamoreloft_config import _nodes


def hash_text(*parts: str) -> int:
    """Hashes strings to 64 bits, equally on all hosts and in all versions."""
    digest = hashlib.sha256("\0".join(parts).encode()).digest()
    return int.from_bytes(digest[:8], "big")


def compute_partition(
    fleet: str, service: str, key: str, partitions: int
) -> int:
    """Returns the partition number of a key, from 0 to `partitions` - 1."""
    return hash_text(fleet, service, key) % partitions


def rank_by_rendezvous(
    subject: str, candidates: abc.Iterable[str]
) -> list[str]:
    """Orders candidates for a subject by rendezvous hashing, best first."""
    return sorted(candidates, key=lambda name: (hash_text(subject, name), name))


def list_groups(fleet: _nodes.Fleet) -> list[_nodes.GroupName]:
    """Lists the groups of a fleet in a stable order."""
    return [
        _nodes.GroupName(fleet.name, domain.name, index)
        for domain in sorted(
            fleet.failure_domains.values(), key=lambda item: item.name
        )
        for index in range(domain.groups)
    ]


def compute_group(fleet: _nodes.Fleet, upstream_name: str) -> _nodes.GroupName:
    """Returns the group that an upstream of the fleet belongs to."""
    upstream = fleet.upstreams[upstream_name]
    domain = fleet.failure_domains[upstream.failure_domain]
    index = hash_text(upstream_name) % domain.groups
    return _nodes.GroupName(fleet.name, domain.name, index)


def list_group_upstreams(
    fleet: _nodes.Fleet, group: _nodes.GroupName
) -> list[_nodes.Upstream]:
    """Lists the upstreams of one group in a stable order."""
    return sorted(
        (
            upstream
            for upstream in fleet.upstreams.values()
            # Compares the domain first: it differs for most upstreams, and
            # computing the group needs a hash.
            if upstream.failure_domain == group.failure_domain
            and compute_group(fleet, upstream.name) == group
        ),
        key=lambda upstream: upstream.name,
    )
