"""Reader of fleet and merge files."""

from collections import abc
import dataclasses
import typing

from returns import result

from sycamoreloft_config import _fields, _nodes, _problems

#: Most failure domains, services and upstreams of a fleet. The design size
#: needs 6 failure domains and 4,100 upstreams.
MAXIMUM_DOMAINS = 64
MAXIMUM_SERVICES = 256
MAXIMUM_UPSTREAMS = 8192

#: Most operations of a service and most statements of a merge file.
MAXIMUM_OPERATIONS = 256
MAXIMUM_STATEMENTS = 1024

#: Methods that an operation may name.
METHODS = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

Named = typing.TypeVar(
    "Named", _nodes.FailureDomain, _nodes.Service, _nodes.Upstream
)


def parse_file(
    text: str, file_name: str
) -> result.Result[
    _nodes.Fleet | _nodes.Merge, abc.Sequence[_problems.FileProblem]
]:
    """Parses a fleet or merge file.

    Args:
        text: TOML text of at most 1 MiB.
        file_name: Name that problems refer to.

    Returns:
        The node, or every problem found.
    """
    return _fields.load_toml(text, file_name).bind(
        lambda table: _parse_table(table, file_name)
    )


def _parse_table(
    table: _fields.Table, file_name: str
) -> result.Result[
    _nodes.Fleet | _nodes.Merge, abc.Sequence[_problems.FileProblem]
]:
    problems = _fields.ProblemList(file_name)
    reader = _fields.TableReader(table, "", problems)
    kind = table.get("kind")
    node: _nodes.Fleet | _nodes.Merge
    if kind == "fleet":
        reader.read_text("kind")
        node = _read_fleet(reader)
    elif kind == "merge":
        reader.read_text("kind")
        node = _read_merge(reader)
    else:
        # Without a kind it is unknown which fields are right.
        problems.add(
            "kind",
            "the field is missing or not known",
            'write kind = "fleet" or kind = "merge"',
        )
        return result.Failure(problems.list_all())
    reader.finish()
    found = problems.list_all()
    return result.Failure(found) if found else result.Success(node)


def _read_fleet(reader: _fields.TableReader) -> _nodes.Fleet:
    fleet = _nodes.Fleet(
        name=reader.read_name("name"),
        weights=_read_weights(reader.read_table("weights")),
        offline_limit_s=reader.read_number(
            "offline_limit_s", 2.0, 604_800.0, 3900.0
        ),
        claim_window_s=reader.read_number(
            "claim_window_s", 1.0, 86_400.0, 600.0
        ),
        failure_domains=_index(
            reader.read_tables("failure_domains", MAXIMUM_DOMAINS),
            _read_domain,
        ),
        services=_index(
            reader.read_tables("services", MAXIMUM_SERVICES), _read_service
        ),
        upstreams={},
    )
    if not fleet.failure_domains and not reader.has("failure_domains"):
        reader.report(
            "failure_domains",
            "the fleet has no failure domain",
            "add a [[failure_domains]] table",
        )
    return _add_upstreams(fleet, reader)


def _read_weights(reader: _fields.TableReader) -> _nodes.Weights:
    weights = _nodes.Weights(
        imbalance=reader.read_number("imbalance", 0.0, 1e6, 1.0),
        churn=reader.read_number("churn", 0.0, 1e6, 1.0),
        unavailable=reader.read_number("unavailable", 0.0, 1e6, 1.0),
    )
    reader.finish()
    return weights


def _read_domain(reader: _fields.TableReader) -> _nodes.FailureDomain:
    return _nodes.FailureDomain(
        name=reader.read_name("name"),
        groups=reader.read_integer("groups", 1, 256, 1),
        lost=reader.read_flag("lost", False),
    )


def _read_service(reader: _fields.TableReader) -> _nodes.Service:
    operations: list[_nodes.Operation] = []
    for item in reader.read_tables("operations", MAXIMUM_OPERATIONS):
        operations.append(_read_operation(item, operations))
    service = _nodes.Service(
        name=reader.read_name("name"),
        keyed=reader.read_flag("keyed"),
        partitions=reader.read_integer("partitions", 1, 65_536, 256),
        deadline_ms=reader.read_integer("deadline_ms", 1, 3_600_000, 10_000),
        queue=reader.read_integer("queue", 0, 100_000, 0),
        deduplicates=reader.read_flag("deduplicates", False),
        operations=tuple(operations),
    )
    if not service.keyed and reader.has("partitions"):
        reader.report(
            "partitions",
            "the service is not keyed, so it has no partitions",
            "remove the field, or set keyed = true",
        )
    return service


def _read_operation(
    reader: _fields.TableReader, earlier: abc.Sequence[_nodes.Operation]
) -> _nodes.Operation:
    priorities = {item.name.lower(): item for item in _nodes.Priority}
    operation = _nodes.Operation(
        method=reader.read_choice("method", METHODS, "*"),
        path_prefix=reader.read_text("path_prefix"),
        at_most_once=reader.read_flag("at_most_once", False),
        repeatable=reader.read_flag("repeatable", False),
        priority=priorities[
            reader.read_choice("class", list(priorities), "normal")
        ],
    )
    reader.finish()
    if operation.path_prefix and not operation.path_prefix.startswith("/"):
        reader.report(
            "path_prefix",
            f"{operation.path_prefix[:80]!r} does not start with a slash",
            'write an absolute path, such as "/wagers"',
        )
    if operation.at_most_once and operation.repeatable:
        reader.report(
            "repeatable",
            "an operation that runs at most once cannot be repeatable",
            "set only one of at_most_once and repeatable",
        )
    _check_reachable(reader, operation, earlier)
    return operation


def _check_reachable(
    reader: _fields.TableReader,
    operation: _nodes.Operation,
    earlier: abc.Sequence[_nodes.Operation],
) -> None:
    """Reports a rule that an earlier, wider rule makes ineffective.

    Otherwise an at_most_once rule in the wrong place would silently not
    apply.
    """
    for index, other in enumerate(earlier):
        if (
            other.path_prefix
            and other.method in ("*", operation.method)
            and operation.path_prefix.startswith(other.path_prefix)
        ):
            reader.report(
                "path_prefix",
                f"the rule never applies, because operations[{index}]"
                f" ({other.method} {other.path_prefix}) matches first",
                "put the narrower rule first, or remove one of them",
            )
            return


def _index(
    readers: abc.Sequence[_fields.TableReader],
    read: abc.Callable[[_fields.TableReader], Named],
) -> dict[str, Named]:
    """Reads named tables and reports names that occur twice."""
    items: dict[str, Named] = {}
    for reader in readers:
        item = read(reader)
        reader.finish()
        if item.name in items:
            reader.report(
                "name",
                f"the name {item.name!r} is used twice",
                "give every table of this kind its own name",
            )
        elif item.name:
            items[item.name] = item
    return items


def _add_upstreams(
    fleet: _nodes.Fleet, reader: _fields.TableReader
) -> _nodes.Fleet:
    """Reads the upstreams, which refer to services and failure domains."""
    owners: dict[str, str] = {}

    def read_upstream(item: _fields.TableReader) -> _nodes.Upstream:
        upstream = _nodes.Upstream(
            name=item.read_name("name"),
            service=item.read_name("service"),
            failure_domain=item.read_name("failure_domain"),
            address=item.read_address("address"),
            slots=item.read_integer("slots", 1, 10_000),
            connections=item.read_integer("connections", 1, 1_000_000, 300),
            checks_fences=item.read_flag("checks_fences", True),
            checks_sender=item.read_flag("checks_sender", True),
            leaving=item.read_flag("leaving", False),
            lost=item.read_flag("lost", False),
        )
        _check_upstream(item, upstream, fleet)
        _check_address(item, upstream, owners)
        return upstream

    upstreams = _index(
        reader.read_tables("upstreams", MAXIMUM_UPSTREAMS), read_upstream
    )
    return dataclasses.replace(fleet, upstreams=upstreams)


def _check_upstream(
    reader: _fields.TableReader,
    upstream: _nodes.Upstream,
    fleet: _nodes.Fleet,
) -> None:
    if upstream.service and upstream.service not in fleet.services:
        reader.report(
            "service",
            f"the file has no service {upstream.service!r}",
            "add the service, or correct the name",
        )
    domain = upstream.failure_domain
    if domain and domain not in fleet.failure_domains:
        reader.report(
            "failure_domain",
            f"the file has no failure domain {domain!r}",
            "add the failure domain, or correct the name",
        )
    if upstream.slots > upstream.connections:
        reader.report(
            "slots",
            f"{upstream.slots} slots need as many connections, but the"
            f" upstream accepts {upstream.connections}",
            "lower slots or raise connections",
        )


def _check_address(
    reader: _fields.TableReader,
    upstream: _nodes.Upstream,
    owners: dict[str, str],
) -> None:
    if not upstream.address:
        return
    other = owners.setdefault(upstream.address, upstream.name)
    if other != upstream.name:
        reader.report(
            "address",
            f"upstream {other!r} has the same address {upstream.address}",
            "give each upstream its own address, or remove one of them",
        )


def _read_merge(reader: _fields.TableReader) -> _nodes.Merge:
    services = [
        _nodes.SameService(*_read_statement(item))
        for item in reader.read_tables("same_service", MAXIMUM_STATEMENTS)
    ]
    upstreams = [
        _nodes.SameUpstream(*_read_statement(item))
        for item in reader.read_tables("same_upstream", MAXIMUM_STATEMENTS)
    ]
    return _nodes.Merge(tuple(services), tuple(upstreams))


def _read_statement(reader: _fields.TableReader) -> tuple[str, str]:
    canonical = reader.read_reference("canonical")
    alias = reader.read_reference("alias")
    reader.finish()
    if canonical and canonical.split("/")[0] == alias.split("/")[0]:
        reader.report(
            "alias",
            "both names belong to the same fleet",
            "name things of two different fleets; within one fleet, change"
            " the fleet's file",
        )
    return canonical, alias
