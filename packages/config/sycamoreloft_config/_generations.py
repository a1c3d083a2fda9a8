"""Checks across the files of a generation."""

from collections import abc
import functools
import typing

from returns import result

from sycamoreloft_config import _fields, _nodes, _parsing, _problems

#: Name of the merge file in a generation.
MERGE_NAME = "merge"

#: Most files of a generation.
MAXIMUM_FILES = 64

#: Files whose nodes are kept. A generation is built as pending and again as
#: accepted, usually with one new file, and reading a file of 4,100 upstreams
#: blocks the process for more than 0.1 s.
CACHED_FILES = 8

_parse_file = functools.lru_cache(maxsize=CACHED_FILES)(_parsing.parse_file)

Statements: typing.TypeAlias = abc.Sequence[
    _nodes.SameService | _nodes.SameUpstream
]


def build_file_name(node: _nodes.Fleet | _nodes.Merge) -> str:
    """Returns "fleet/<name>" or "merge", the name of a file in the store."""
    if isinstance(node, _nodes.Fleet):
        return f"fleet/{node.name}"
    return MERGE_NAME


def build_generation(
    number: int, texts_by_name: abc.Mapping[str, str]
) -> result.Result[_nodes.Generation, abc.Sequence[_problems.FileProblem]]:
    """Parses all files of a generation and checks them against each other.

    Nodes of texts that were parsed before are shared.

    Args:
        number: Number of the generation.
        texts_by_name: Texts by "fleet/<name>" or "merge".

    Returns:
        The generation, or every problem found.
    """
    if len(texts_by_name) > MAXIMUM_FILES:
        problem = _problems.FileProblem(
            "",
            "",
            f"{len(texts_by_name)} files; at most {MAXIMUM_FILES} are allowed",
            "join fleets, or run them on separate hosts",
        )
        return result.Failure((problem,))
    fleets: dict[str, _nodes.Fleet] = {}
    merge = _nodes.Merge()
    found: list[_problems.FileProblem] = []
    for name, text in sorted(texts_by_name.items()):
        match _parse_file(text, name):
            case result.Failure(problems):
                found.extend(problems)
            case result.Success(node):
                found.extend(_check_name(name, node))
                if isinstance(node, _nodes.Fleet):
                    fleets[node.name] = node
                else:
                    merge = node
    generation = _nodes.Generation(number, fleets, merge)
    # With an unread file, names that exist would be reported as missing.
    if not found:
        found.extend(_check_merge(generation))
        found.extend(_check_addresses(generation))
    return result.Failure(tuple(found)) if found else result.Success(generation)


def _check_name(
    name: str, node: _nodes.Fleet | _nodes.Merge
) -> abc.Iterator[_problems.FileProblem]:
    if name != build_file_name(node):
        yield _problems.FileProblem(
            name,
            "name" if isinstance(node, _nodes.Fleet) else "kind",
            f"the content is that of {build_file_name(node)!r}",
            f"submit it as {build_file_name(node)!r}, or correct the field",
        )


def _check_merge(
    generation: _nodes.Generation,
) -> abc.Sequence[_problems.FileProblem]:
    problems = _fields.ProblemList(MERGE_NAME)
    merge = generation.merge
    services = {
        f"{fleet.name}/{name}": service
        for fleet in generation.fleets.values()
        for name, service in fleet.services.items()
    }
    upstreams = _list_upstreams(generation)
    _check_statements("same_service", merge.same_services, services, problems)
    _check_statements(
        "same_upstream", merge.same_upstreams, upstreams, problems
    )
    for index, item in enumerate(merge.same_services):
        canonical = services.get(item.canonical)
        alias = services.get(item.alias)
        if canonical and alias and canonical.keyed != alias.keyed:
            problems.add(
                f"same_service[{index}]",
                f"only one of {item.canonical!r} and {item.alias!r} is keyed",
                "set keyed alike in both fleet files, or remove the statement",
            )
    _check_same_upstreams(generation, upstreams, problems)
    return problems.list_all()


def _check_statements(
    kind: str,
    statements: Statements,
    known: abc.Container[str],
    problems: _fields.ProblemList,
) -> None:
    """Reports unknown names, ambiguous aliases, chains and cycles."""
    canonicals = {item.alias: item.canonical for item in statements}
    first: dict[str, int] = {}
    for index, item in enumerate(statements):
        place = f"{kind}[{index}]"
        for field, name in (
            ("canonical", item.canonical),
            ("alias", item.alias),
        ):
            if name not in known:
                problems.add(
                    f"{place}.{field}",
                    f"no accepted fleet file contains {name!r}",
                    "correct the name, or submit the fleet file together with"
                    " the merge file",
                )
        if first.setdefault(item.alias, index) != index:
            problems.add(
                f"{place}.alias",
                f"{item.alias!r} is already the alias of"
                f" {kind}[{first[item.alias]}], so its meaning is ambiguous",
                "keep one statement for each alias",
            )
        if item.canonical in canonicals:
            final = _follow(item.canonical, canonicals)
            problems.add(
                f"{place}.canonical",
                f"{item.canonical!r} is itself an alias",
                f"name {final!r} as the canonical one"
                if final
                else "remove one statement of the cycle",
            )


def _follow(name: str, canonicals: abc.Mapping[str, str]) -> str:
    """Returns the end of a chain of aliases, or empty for a cycle."""
    for _ in range(len(canonicals) + 1):
        if name not in canonicals:
            return name
        name = canonicals[name]
    return ""


def _list_upstreams(
    generation: _nodes.Generation,
) -> dict[str, _nodes.Upstream]:
    return {
        f"{fleet.name}/{name}": upstream
        for fleet in generation.fleets.values()
        for name, upstream in fleet.upstreams.items()
    }


def _check_same_upstreams(
    generation: _nodes.Generation,
    upstreams: abc.Mapping[str, _nodes.Upstream],
    problems: _fields.ProblemList,
) -> None:
    """Reports equated upstreams that do not run one service at one address.

    An upstream runs one service. If the services differed, the alias's
    service would silently lose the upstream.
    """
    merge = generation.merge
    for index, item in enumerate(merge.same_upstreams):
        canonical = upstreams.get(item.canonical)
        alias = upstreams.get(item.alias)
        if canonical is None or alias is None:
            continue
        place = f"same_upstream[{index}]"
        if canonical.address != alias.address:
            problems.add(
                place,
                f"{item.canonical!r} has the address {canonical.address}, but"
                f" {item.alias!r} has {alias.address}",
                "write the same address in both fleet files, or remove the"
                " statement",
            )
        names = [
            f"{reference.split('/')[0]}/{upstream.service}"
            for reference, upstream in (
                (item.canonical, canonical),
                (item.alias, alias),
            )
        ]
        resolved = {merge.service_canonicals.get(name, name) for name in names}
        if len(resolved) != 1:
            problems.add(
                place,
                f"{item.canonical!r} runs {names[0]!r}, but {item.alias!r}"
                f" runs {names[1]!r}",
                f'add [[same_service]] canonical = "{names[0]}", alias ='
                f' "{names[1]}", or give the services separate addresses',
            )


def _check_addresses(
    generation: _nodes.Generation,
) -> abc.Iterator[_problems.FileProblem]:
    """Reports equal addresses of different fleets without a statement."""
    canonicals = generation.merge.upstream_canonicals
    first: dict[str, str] = {}
    for name, upstream in sorted(_list_upstreams(generation).items()):
        other = first.setdefault(upstream.address, name)
        if canonicals.get(name, name) != canonicals.get(other, other):
            yield _problems.FileProblem(
                f"fleet/{name.split('/')[0]}",
                f"upstreams.{upstream.name}.address",
                f"upstream {other!r} has the same address {upstream.address},"
                " so one server could be given the keys of both",
                "if it is one server, submit a merge file with"
                f' [[same_upstream]] canonical = "{other}", alias = "{name}";'
                " otherwise correct one of the addresses",
            )
