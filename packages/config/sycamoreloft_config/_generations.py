"""Parses the files of a generation and checks them against each other."""

from collections import abc
import functools
import typing

from returns import result

from sycamoreloft_config import _fields, _nodes, _parsing, _problems

#: Name of the merge file in a generation.
MERGE_FILE_NAME = "merge"

#: Maximum number of files of a generation.
MAXIMUM_FILES = 64

#: Number of files whose nodes are cached. A generation is built as pending and
#: again as accepted, usually with one new file, and parsing a file of 4,100
#: upstreams blocks the process for more than 0.1 s.
CACHED_FILES = 8

_parse_file = functools.lru_cache(maxsize=CACHED_FILES)(_parsing.parse_file)

Statements: typing.TypeAlias = abc.Sequence[
    _nodes.SameService | _nodes.SameUpstream
]


def build_file_name(node: _nodes.Fleet | _nodes.Merge) -> str:
    """Returns the name of a file in the store: "fleet/<name>" or "merge"."""
    if isinstance(node, _nodes.Fleet):
        return f"fleet/{node.name}"
    return MERGE_FILE_NAME


def build_generation(
    number: int, texts_by_name: abc.Mapping[str, str]
) -> result.Result[_nodes.Generation, abc.Sequence[_problems.FileProblem]]:
    """Parses all files of a generation and checks them against each other.

    Texts that were parsed recently share their nodes.

    Args:
        number: Number of the generation.
        texts_by_name: Texts of the files by name, as from `build_file_name`.

    Returns:
        The generation, or all problems of the files.
    """
    if len(texts_by_name) > MAXIMUM_FILES:
        problem = _problems.FileProblem(
            "",
            "",
            f"{len(texts_by_name)} files; at most {MAXIMUM_FILES} are allowed",
            "combine fleets, or run them on separate hosts",
        )
        return result.Failure((problem,))
    fleets: dict[str, _nodes.Fleet] = {}
    merge = _nodes.Merge()
    all_problems: list[_problems.FileProblem] = []
    for name, text in sorted(texts_by_name.items()):
        match _parse_file(text, name):
            case result.Failure(problems):
                all_problems.extend(problems)
            case result.Success(node):
                all_problems.extend(_check_name(name, node))
                if isinstance(node, _nodes.Fleet):
                    fleets[node.name] = node
                else:
                    merge = node
    generation = _nodes.Generation(number, fleets, merge)
    # If a file has not been parsed, its names would be reported as missing.
    if not all_problems:
        all_problems.extend(_check_merge(generation))
        all_problems.extend(_check_addresses(generation))
    return (
        result.Failure(tuple(all_problems))
        if all_problems
        else result.Success(generation)
    )


def _check_name(
    name: str, node: _nodes.Fleet | _nodes.Merge
) -> abc.Iterator[_problems.FileProblem]:
    if name != build_file_name(node):
        yield _problems.FileProblem(
            name,
            "name" if isinstance(node, _nodes.Fleet) else "kind",
            f"the file contains {build_file_name(node)!r}",
            f"submit it as {build_file_name(node)!r}, or correct the field",
        )


def _check_merge(
    generation: _nodes.Generation,
) -> abc.Sequence[_problems.FileProblem]:
    problems = _fields.ProblemList(MERGE_FILE_NAME)
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
    known_names: abc.Container[str],
    problems: _fields.ProblemList,
) -> None:
    """Reports unknown names, ambiguous aliases, chains and cycles."""
    canonicals = {item.alias: item.canonical for item in statements}
    first_indexes: dict[str, int] = {}
    for index, item in enumerate(statements):
        path = f"{kind}[{index}]"
        for field, name in (
            ("canonical", item.canonical),
            ("alias", item.alias),
        ):
            if name not in known_names:
                problems.add(
                    f"{path}.{field}",
                    f"no accepted fleet file contains {name!r}",
                    "correct the name, or submit the fleet file together with"
                    " the merge file",
                )
        if first_indexes.setdefault(item.alias, index) != index:
            problems.add(
                f"{path}.alias",
                f"{item.alias!r} is already the alias of"
                f" {kind}[{first_indexes[item.alias]}], so its meaning is"
                " ambiguous",
                "keep one statement for each alias",
            )
        if item.canonical in canonicals:
            final = _resolve_chain(item.canonical, canonicals)
            problems.add(
                f"{path}.canonical",
                f"{item.canonical!r} is itself an alias",
                f"name {final!r} as the canonical one"
                if final
                else "remove one statement of the cycle",
            )


def _resolve_chain(name: str, canonicals: abc.Mapping[str, str]) -> str:
    """Returns the end of a chain of aliases, or an empty string for a cycle."""
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
    """Reports equated upstreams whose addresses or services differ.

    An upstream runs one service. If the services differed, the service of the
    alias would lose the upstream without notice.
    """
    merge = generation.merge
    for index, item in enumerate(merge.same_upstreams):
        canonical = upstreams.get(item.canonical)
        alias = upstreams.get(item.alias)
        if canonical is None or alias is None:
            continue
        path = f"same_upstream[{index}]"
        if canonical.address != alias.address:
            problems.add(
                path,
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
                path,
                f"{item.canonical!r} runs {names[0]!r}, but {item.alias!r}"
                f" runs {names[1]!r}",
                f'add [[same_service]] canonical = "{names[0]}", alias ='
                f' "{names[1]}", or give the services separate addresses',
            )


def _check_addresses(
    generation: _nodes.Generation,
) -> abc.Iterator[_problems.FileProblem]:
    """Reports equal addresses of upstreams that are not equated."""
    canonicals = generation.merge.upstream_canonicals
    first_names: dict[str, str] = {}
    for name, upstream in sorted(_list_upstreams(generation).items()):
        other = first_names.setdefault(upstream.address, name)
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
