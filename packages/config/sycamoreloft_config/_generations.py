"""Checks across the files of a generation."""

from collections import abc

from returns import result

from sycamoreloft_config import _nodes, _problems


def name_file(node: _nodes.Fleet | _nodes.Merge) -> str:
    """Returns "fleet/<name>" or "merge", the name of a file in the store."""
    if isinstance(node, _nodes.Fleet):
        return f"fleet/{node.name}"
    return "merge"


def build_generation(
    number: int, texts_by_name: abc.Mapping[str, str]
) -> result.Result[_nodes.Generation, abc.Sequence[_problems.FileProblem]]:
    """Parses all files of a generation and checks them against each other.

    Args:
        number: Number of the generation.
        texts_by_name: Texts by "fleet/<name>" or "merge".

    Returns:
        The generation, or every problem found.
    """
    raise NotImplementedError
