"""Compares two generations."""

from collections import abc
import dataclasses
import enum
import functools
import typing

from returns import result

from sycamoreloft_config import _names, _nodes


def is_alike(
    accepted: _nodes.Generation,
    pending: _nodes.Generation,
    fleet: str,
    service: str,
) -> bool:
    """Returns whether two generations treat a service alike.

    The time is linear in the number of upstreams of the fleets concerned, so
    the result should be cached for each pair of generations.

    Args:
        accepted: One generation.
        pending: The other generation.
        fleet: Name of the fleet in a request; may be empty.
        service: Name of the service in a request.

    Returns:
        False if the generations differ in anything that affects the routing,
        ownership or rules of the service. True for a name that does not
        denote a service in either generation.
    """
    first = _names.resolve_service(accepted, fleet, service)
    second = _names.resolve_service(pending, fleet, service)
    match first, second:
        case result.Success(reference), result.Success(other):
            return bool(reference == other) and _describe_service(
                accepted, reference
            ) == _describe_service(pending, reference)
        case result.Failure(), result.Failure():
            return True
    return False


def _describe_service(
    generation: _nodes.Generation, reference: _names.ServiceReference
) -> tuple[typing.Any, ...]:
    """Returns everything that affects one service, in a comparable form."""
    merge = generation.merge
    aliases = frozenset(
        item.alias
        for item in merge.same_services
        if item.canonical == str(reference)
    )
    fleet = generation.fleets[reference.fleet]
    upstreams = {
        name: upstream
        for name, upstream in fleet.upstreams.items()
        if upstream.service == reference.service
        and f"{fleet.name}/{name}" not in merge.upstream_canonicals
    }
    equated = frozenset(
        item
        for item in merge.same_upstreams
        if item.canonical.split("/")[0] == fleet.name
        and item.canonical.split("/")[1] in upstreams
    )
    # The holder of a claim depends on the groups of the fleet in the request,
    # which can be the fleet of an alias.
    rules = {
        name: _describe_fleet(generation.fleets[name])
        for name in {
            reference.fleet,
            *(alias.split("/")[0] for alias in aliases),
        }
    }
    return (
        fleet.services[reference.service],
        upstreams,
        aliases,
        equated,
        rules,
    )


def _describe_fleet(fleet: _nodes.Fleet) -> tuple[typing.Any, ...]:
    return (
        fleet.weights,
        fleet.offline_limit_s,
        fleet.claim_window_s,
        dict(fleet.failure_domains),
    )


def list_differences(
    accepted: _nodes.Generation, pending: _nodes.Generation
) -> abc.Sequence[str]:
    """Describes the differences of two generations, one line each."""
    return [
        *_compare(dict(accepted.fleets), dict(pending.fleets), "fleet"),
        *_compare_statements("same_service", accepted, pending),
        *_compare_statements("same_upstream", accepted, pending),
    ]


def _compare_statements(
    kind: str, accepted: _nodes.Generation, pending: _nodes.Generation
) -> abc.Iterator[str]:
    before, after = (
        {
            f"{item.alias} is {item.canonical}"
            for item in (
                generation.merge.same_services
                if kind == "same_service"
                else generation.merge.same_upstreams
            )
        }
        for generation in (accepted, pending)
    )
    yield from (f"merge {kind} {x}: removed" for x in sorted(before - after))
    yield from (f"merge {kind} {x}: added" for x in sorted(after - before))


@functools.singledispatch
def _compare(
    before: typing.Any, after: typing.Any, path: str
) -> abc.Iterator[str]:
    """Yields the differences of two values of the same type."""
    if dataclasses.is_dataclass(before):
        for field in dataclasses.fields(before):
            yield from _compare(
                getattr(before, field.name),
                getattr(after, field.name),
                f"{path} {field.name}",
            )
    elif before != after:
        yield f"{path}: {_format_value(before)} -> {_format_value(after)}"


@_compare.register
def _(
    before: dict,  # type: ignore[type-arg]
    after: dict[str, typing.Any],
    path: str,
) -> abc.Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f"{path} {name}: removed"
        elif name not in before:
            yield f"{path} {name}: added"
        elif before[name] != after[name]:
            yield from _compare(before[name], after[name], f"{path} {name}")


@_compare.register
def _(
    before: tuple,  # type: ignore[type-arg]
    after: tuple[_nodes.Operation, ...],
    path: str,
) -> abc.Iterator[str]:
    first, second = (
        {f"{item.method} {item.path_prefix}": item for item in items}
        for items in (before, after)
    )
    yield from _compare(first, second, path)
    # The first matching rule applies, so a different order is a difference.
    kept = [name for name in first if name in second]
    if kept != [name for name in second if name in first]:
        yield f"{path}: in another order"


def _format_value(value: typing.Any) -> str:
    if isinstance(value, enum.Enum):
        return value.name.lower()
    return str(value).lower() if isinstance(value, bool) else str(value)
