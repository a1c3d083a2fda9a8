"""Resolution of names in a generation."""

from collections import abc
import dataclasses
import re
from urllib import parse

from returns import result

from sycamoreloft_config import _hashing, _nodes, _problems

#: Applies to requests that match no rule: neither repeatable nor at most once.
_DEFAULT_OPERATION = _nodes.Operation(method="*", path_prefix="/")


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServiceReference:
    """Identity of a service after aliases are resolved."""

    #: Name of the fleet.
    fleet: str
    #: Name of the service inside the fleet.
    service: str

    def __str__(self) -> str:
        return f"{self.fleet}/{self.service}"


def resolve_service(
    generation: _nodes.Generation, fleet: str, service: str
) -> result.Result[ServiceReference, _problems.NameProblem]:
    """Finds the service that a request names.

    Args:
        generation: The generation in force.
        fleet: Name of the fleet, or empty if the request names none.
        service: Name of the service.

    Returns:
        The identity of the service, or why the name denotes none.
    """
    if not fleet:
        return _resolve_without_fleet(generation, service)
    if fleet not in generation.fleets:
        return result.Failure(
            _problems.NameProblem(
                "unknown-fleet",
                f"no accepted file describes the fleet {fleet[:80]!r}",
                f"name one of {_join(generation.fleets)} in"
                " Sycamoreloft-Fleet, or submit the fleet's file",
            )
        )
    if service not in generation.fleets[fleet].services:
        return result.Failure(
            _problems.NameProblem(
                "unknown-service",
                f"fleet {fleet!r} has no service {service[:80]!r}",
                f"name one of {_join(generation.fleets[fleet].services)} in"
                " Sycamoreloft-Service, or add the service to the fleet's"
                " file",
            )
        )
    return result.Success(_follow_alias(generation, fleet, service))


def _follow_alias(
    generation: _nodes.Generation, fleet: str, service: str
) -> ServiceReference:
    canonical = generation.merge.service_canonicals.get(f"{fleet}/{service}")
    if canonical is None:
        return ServiceReference(fleet, service)
    return ServiceReference(*canonical.split("/"))


def _resolve_without_fleet(
    generation: _nodes.Generation, service: str
) -> result.Result[ServiceReference, _problems.NameProblem]:
    owners = sorted(
        fleet.name
        for fleet in generation.fleets.values()
        if service in fleet.services
    )
    references = {_follow_alias(generation, fleet, service) for fleet in owners}
    if len(references) == 1:
        return result.Success(references.pop())
    if references:
        return result.Failure(
            _problems.NameProblem(
                "ambiguous-service",
                f"the fleets {_join(owners)} each have a service {service!r}",
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


def _join(names: abc.Iterable[str]) -> str:
    """Lists at most eight names, because the text goes into a header."""
    ordered = sorted(names)
    if not ordered:
        return "(none)"
    more = f" and {len(ordered) - 8} more" if len(ordered) > 8 else ""
    return ", ".join(ordered[:8]) + more


def match_operation(
    service: _nodes.Service, method: str, path: str
) -> _nodes.Operation:
    """Returns the first rule that matches, or one without any promise.

    The query is ignored. The path is compared in its normal form, so that no
    other spelling of a path evades an at_most_once rule.
    """
    normal = _normalize_path(path)
    for operation in service.operations:
        if operation.method in (
            "*",
            method.upper(),
        ) and normal.startswith(operation.path_prefix):
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
    is_folder = parts[-1] in ("", ".", "..") and bool(segments)
    return "/" + "/".join(segments) + ("/" if is_folder else "")


def list_active_upstreams(
    generation: _nodes.Generation, group: _nodes.GroupName
) -> abc.Sequence[_nodes.Upstream]:
    """Lists the upstreams of a group that run its fleet's own services.

    Leaves out upstreams that the merge file gives to another fleet and those
    of services that are aliases of another service.
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
