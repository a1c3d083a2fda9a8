"""Parser of fleet and merge files."""

from collections import abc
import dataclasses
import typing

from returns import result

from sycamoreloft_config import _fields, _nodes, _problems

#: Maximum numbers of failure domains, services and upstreams of a fleet. The
#: design size is 6 failure domains and 4,100 upstreams.
MAXIMUM_DOMAINS = 64
MAXIMUM_SERVICES = 256
MAXIMUM_UPSTREAMS = 8192

#: Maximum numbers of operations of a service and statements of a merge file.
MAXIMUM_OPERATIONS = 256
MAXIMUM_STATEMENTS = 1024

#: Valid methods of an operation; "*" matches any method.
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
        file_name: Name of the file in problems.

    Returns:
        The node, or all problems.
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
        # The kind decides which fields are valid, so nothing else is checked.
        problems.add(
            "kind",
            "the field is missing or not known",
            'write kind = "fleet" or kind = "merge"',
        )
        return result.Failure(problems.list_all())
    reader.report_unknown_fields()
    all_problems = problems.list_all()
    return (
        result.Failure(all_problems) if all_problems else result.Success(node)
    )


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
        failure_domains=_read_named_tables(
            reader.read_tables("failure_domains", MAXIMUM_DOMAINS),
            _read_domain,
        ),
        services=_read_named_tables(
            reader.read_tables("services", MAXIMUM_SERVICES), _read_service
        ),
        upstreams={},
    )
    if not fleet.failure_domains and not reader.has_field("failure_domains"):
        reader.report_problem(
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
    reader.report_unknown_fields()
    return weights


def _read_domain(reader: _fields.TableReader) -> _nodes.FailureDomain:
    return _nodes.FailureDomain(
        name=reader.read_name("name"),
        groups=reader.read_integer("groups", 1, 256, 1),
        lost=reader.read_boolean("lost", False),
    )


def _read_service(reader: _fields.TableReader) -> _nodes.Service:
    operations: list[_nodes.Operation] = []
    for item in reader.read_tables("operations", MAXIMUM_OPERATIONS):
        operations.append(_read_operation(item, operations))
    service = _nodes.Service(
        name=reader.read_name("name"),
        keyed=reader.read_boolean("keyed"),
        partitions=reader.read_integer("partitions", 1, 65_536, 256),
        deadline_ms=reader.read_integer("deadline_ms", 1, 3_600_000, 10_000),
        queue=reader.read_integer("queue", 0, 100_000, 0),
        deduplicates=reader.read_boolean("deduplicates", False),
        operations=tuple(operations),
    )
    if not service.keyed and reader.has_field("partitions"):
        reader.report_problem(
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
        at_most_once=reader.read_boolean("at_most_once", False),
        repeatable=reader.read_boolean("repeatable", False),
        priority=priorities[
            reader.read_choice("class", list(priorities), "normal")
        ],
    )
    reader.report_unknown_fields()
    if operation.path_prefix and not operation.path_prefix.startswith("/"):
        reader.report_problem(
            "path_prefix",
            f"{operation.path_prefix[:80]!r} does not start with a slash",
            'write an absolute path, such as "/wagers"',
        )
    if operation.at_most_once and operation.repeatable:
        reader.report_problem(
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
    """Reports a rule that never applies because of an earlier, wider rule.

    Otherwise, an at_most_once rule in the wrong position would be ignored
    without notice.
    """
    for index, other in enumerate(earlier):
        if (
            other.path_prefix
            and other.method in ("*", operation.method)
            and operation.path_prefix.startswith(other.path_prefix)
        ):
            reader.report_problem(
                "path_prefix",
                f"the rule never applies, because operations[{index}]"
                f" ({other.method} {other.path_prefix}) matches first",
                "put the narrower rule first, or remove one of them",
            )
            return


def _read_named_tables(
    readers: abc.Sequence[_fields.TableReader],
    read: abc.Callable[[_fields.TableReader], Named],
) -> dict[str, Named]:
    """Reads tables with names, and reports names that occur twice."""
    items: dict[str, Named] = {}
    for reader in readers:
        item = read(reader)
        reader.report_unknown_fields()
        if item.name in items:
            reader.report_problem(
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
    """Returns the fleet with its upstreams.

    They are read last because they refer to services and failure domains.
    """
    names_by_address: dict[str, str] = {}

    def read_upstream(item: _fields.TableReader) -> _nodes.Upstream:
        upstream = _nodes.Upstream(
            name=item.read_name("name"),
            service=item.read_name("service"),
            failure_domain=item.read_name("failure_domain"),
            address=item.read_address("address"),
            slots=item.read_integer("slots", 1, 10_000),
            connections=item.read_integer("connections", 1, 1_000_000, 300),
            checks_fences=item.read_boolean("checks_fences", True),
            checks_sender=item.read_boolean("checks_sender", True),
            leaving=item.read_boolean("leaving", False),
            lost=item.read_boolean("lost", False),
        )
        _check_upstream(item, upstream, fleet)
        _check_address(item, upstream, names_by_address)
        return upstream

    upstreams = _read_named_tables(
        reader.read_tables("upstreams", MAXIMUM_UPSTREAMS), read_upstream
    )
    return dataclasses.replace(fleet, upstreams=upstreams)


def _check_upstream(
    reader: _fields.TableReader,
    upstream: _nodes.Upstream,
    fleet: _nodes.Fleet,
) -> None:
    if upstream.service and upstream.service not in fleet.services:
        reader.report_problem(
            "service",
            f"the file has no service {upstream.service!r}",
            "add the service, or correct the name",
        )
    domain = upstream.failure_domain
    if domain and domain not in fleet.failure_domains:
        reader.report_problem(
            "failure_domain",
            f"the file has no failure domain {domain!r}",
            "add the failure domain, or correct the name",
        )
    if upstream.slots > upstream.connections:
        reader.report_problem(
            "slots",
            f"{upstream.slots} slots need as many connections, but the"
            f" upstream accepts {upstream.connections}",
            "lower slots or raise connections",
        )


def _check_address(
    reader: _fields.TableReader,
    upstream: _nodes.Upstream,
    names_by_address: dict[str, str],
) -> None:
    if not upstream.address:
        return
    other = names_by_address.setdefault(upstream.address, upstream.name)
    if other != upstream.name:
        reader.report_problem(
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
    reader.report_unknown_fields()
    if canonical and canonical.split("/")[0] == alias.split("/")[0]:
        reader.report_problem(
            "alias",
            "both names belong to the same fleet",
            "name things of two different fleets; within one fleet, change"
            " the fleet's file",
        )
    return canonical, alias
