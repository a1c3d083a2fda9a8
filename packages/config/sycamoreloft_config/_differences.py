"""Comparison of two generations."""

from collections import abc

from sycamoreloft_config import _nodes


def is_alike(
    accepted: _nodes.Generation,
    pending: _nodes.Generation,
    fleet: str,
    service: str,
) -> bool:
    """Tells whether two generations treat a service alike.

    Args:
        accepted: One generation.
        pending: The other generation.
        fleet: Name of the fleet as a request gives it, or empty.
        service: Name of the service as a request gives it.

    Returns:
        True if nothing that affects routing, ownership or rules of the
        service differs.
    """
    raise NotImplementedError


def list_differences(
    accepted: _nodes.Generation, pending: _nodes.Generation
) -> abc.Sequence[str]:
    """Lists what differs between two generations, one readable line each."""
    raise NotImplementedError
