"""Reader of fleet and merge files."""

from collections import abc

from returns import result

from sycamoreloft_config import _nodes, _problems


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
    raise NotImplementedError
