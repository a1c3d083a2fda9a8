"""Resolution of names in a generation."""

from collections import abc
import dataclasses

from returns import result

from sycamoreloft_config import _nodes, _problems


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
    raise NotImplementedError


def find_operation(
    service: _nodes.Service, method: str, path: str
) -> _nodes.Operation:
    """Returns the first rule that matches, or one without any promise."""
    raise NotImplementedError


def list_active_upstreams(
    generation: _nodes.Generation, group: _nodes.GroupName
) -> abc.Sequence[_nodes.Upstream]:
    """Lists the upstreams of a group that run its fleet's own services.

    Leaves out upstreams that the merge file gives to another fleet and those
    of services that are aliases of another service.
    """
    raise NotImplementedError
