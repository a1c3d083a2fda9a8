"""Resolves names of requests in a generation."""

from collections import abc
import dataclasses
import re
from urllib import parse

from returns import result

from sycamoreloft_config import _hashing, _nodes, _problems

#: Rule for requests that match no other: neither repeatable nor at most once.
_DEFAULT_OPERATION = _nodes.Operation(method="*", path_prefix="/")


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServiceReference:
    """Identity of a service after aliases are resolved."""

    #: Name of the fleet that defines the service.
    fleet: str
    #: Name of the service, unique within the fleet.
    service: str

    def __str__(self) -> str:
        return f"{self.fleet}/{self.service}"


def resolve_service(
    generation: _nodes.Generation, fleet: str, service: str
) -> result.Result[ServiceReference, _problems.NameProblem]:
    """Resolves the service that a request names.

    Args:
        generation: The generation in force.
        fleet: Name of the fleet; empty if the request names none.
        service: Name of the service.

    Returns:
        The identity of the service, or why the name does not denote one.
    """
    if not fleet:
        return _resolve_without_fleet(generation, service)
    if fleet not in generation.fleets:
        return result.Failure(
            _problems.NameProblem(
                "unknown-fleet",
                f"no accepted file describes the fleet {fleet[:80]!r}",
                f"name one of {_format_names(generation.fleets)} in"
                " Sycamoreloft-Fleet, or submit the fleet's file",
            )
        )
    if service not in generation.fleets[fleet].services:
        return result.Failure(
            _problems.NameProblem(
                "unknown-service",
                f"fleet {fleet!r} has no service {service[:80]!r}",
                "name one of"
                f" {_format_names(generation.fleets[fleet].services)} in"
                " Sycamoreloft-Service, or add the service to the fleet's"
                " file",
            )
        )
    return result.Success(_resolve_alias(generation, fleet, service))


def _resolve_alias(
    generation: _nodes.Generation, fleet: str, service: str
) -> ServiceReference:
    canonical = generation.merge.service_canonicals.get(f"{fleet}/{service}")
    if canonical is None:
        return ServiceReference(fleet, service)
    return ServiceReference(*canonical.split("/"))


def _resolve_without_fleet(
    generation: _nodes.Generation, service: str
) -> result.Result[ServiceReference, _problems.NameProblem]:
    owning_fleets = sorted(
        fleet.name
        for fleet in generation.fleets.values()
        if service in fleet.services
    )
    references = {
        _resolve_alias(generation, fleet, service) for fleet in owning_fleets
    }
    if len(references) == 1:
        return result.Success(references.pop())
    if references:
        return result.Failure(
            _problems.NameProblem(
                "ambiguous-service",
                f"the fleets {_format_names(owning_fleets)} each have a"
                f" service {service!r}",
                "name the fleet in Sycamoreloft-Fleet, or submit a merge file"
                " with [[same_service]] if the services are the same",
            )
        )
    return result.Failure(
        _problems.NameProblem(
            "unknown-service",
            f"no accepted fleet has a service {service[:80]!r}",
            "correct Sycamoreloft-Service, or submit the file of its fleet",
        )
    )


def _format_names(names: abc.Iterable[str]) -> str:
    """Joins at most eight names, because the text is sent in a header."""
    ordered = sorted(names)
    if not ordered:
        return "(none)"
    suffix = f" and {len(ordered) - 8} more" if len(ordered) > 8 else ""
    return ", ".join(ordered[:8]) + suffix


def match_operation(
    service: _nodes.Service, method: str, path: str
) -> _nodes.Operation:
    """Returns the first matching rule, or a default without any guarantee.

    The query is ignored. The path is normalized before the comparison, so that
    another spelling of a path cannot evade an at_most_once rule.
    """
    normalized = _normalize_path(path)
    for operation in service.operations:
        if operation.method in (
            "*",
            method.upper(),
        ) and normalized.startswith(operation.path_prefix):
            return operation
    return _DEFAULT_OPERATION


def _normalize_path(path: str) -> str:
    """Decodes percent signs and removes empty, "." and ".." segments."""
    path = re.split(r"[?#]", path, maxsplit=1)[0]
    if "%" in path:
        path = parse.unquote(path)
    if "//" not in path and "/." not in path and path.startswith("/"):
        return path
    segments: list[str] = []
    parts = path.split("/")
    for part in parts:
        if part == "..":
            del segments[-1:]
        elif part not in ("", "."):
            segments.append(part)
    has_trailing_slash = parts[-1] in ("", ".", "..") and bool(segments)
    return "/" + "/".join(segments) + ("/" if has_trailing_slash else "")


def list_active_upstreams(
    generation: _nodes.Generation, group: _nodes.GroupName
) -> abc.Sequence[_nodes.Upstream]:
    """Lists the upstreams of a group that run its fleet's own services.

    Excludes upstreams that the merge file assigns to another fleet, and
    upstreams of services that are aliases.
    """
    merge = generation.merge
    return [
        upstream
        for upstream in _hashing.list_group_upstreams(
            generation.fleets[group.fleet], group
        )
        if f"{group.fleet}/{upstream.name}" not in merge.upstream_canonicals
        and f"{group.fleet}/{upstream.service}" not in merge.service_canonicals
    ]
