"""Reads and checks the files that the operator passes to a command."""

from collections import abc
import dataclasses
import pathlib

from returns import result

import sycamoreloft_config
from sycamoreloft_ctl import _problems

#: The parser rejects files over 1 MiB; one byte more makes it do so.
_MAXIMUM_READ_BYTES = 1024 * 1024 + 1


@dataclasses.dataclass(frozen=True, slots=True)
class LocalFile:
    """A configuration file that was read and parsed."""

    #: Path as given on the command line.
    path: str
    #: Content as it is submitted.
    text: str
    #: Name inside a generation, "fleet/<name>" or "merge".
    name: str


def load_files(
    paths: abc.Sequence[pathlib.Path],
) -> result.Result[abc.Sequence[LocalFile], _problems.Problem]:
    """Reads files and checks each one alone.

    A failure lists the problems of all files, not just of the first.
    """
    files: list[LocalFile] = []
    problems: list[str] = []
    for path in paths:
        match _load_file(path):
            case result.Failure(file_problems):
                problems += file_problems
            case result.Success(file):
                problems += [
                    f"{file.path}: {other.path} contains {file.name!r} as"
                    " well; name one of them"
                    for other in files
                    if other.name == file.name
                ]
                files.append(file)
    if problems:
        return result.Failure(_problems.make_file_problem(problems))
    return result.Success(files)


def _load_file(
    path: pathlib.Path,
) -> result.Result[LocalFile, abc.Sequence[str]]:
    try:
        with path.open("rb") as file:
            text = file.read(_MAXIMUM_READ_BYTES).decode()
    except (OSError, ValueError) as error:
        # A ValueError is raised for a wrong encoding and for a null byte in
        # the path.
        return result.Failure(
            [f"{path}: the file cannot be read: {error}; check its path"]
        )
    match sycamoreloft_config.parse_file(text, str(path)):
        case result.Success(node):
            name = sycamoreloft_config.build_file_name(node)
            return result.Success(LocalFile(str(path), text, name))
        case result.Failure(parse_problems):
            return result.Failure([str(problem) for problem in parse_problems])
    raise AssertionError("a result is a success or a failure")


def check_together(
    files: abc.Sequence[LocalFile], accepted: abc.Mapping[str, str]
) -> result.Result[sycamoreloft_config.Generation, _problems.Problem]:
    """Checks files against each other and against the accepted files.

    Args:
        files: New files.
        accepted: Texts of the accepted files by name; a new file replaces
            the accepted file of the same name.
    """
    texts = {**accepted, **{file.name: file.text for file in files}}
    paths = {file.name: file.path for file in files}
    generation = sycamoreloft_config.build_generation(1, texts)
    return generation.alt(
        lambda problems: _problems.make_file_problem(
            [
                str(
                    dataclasses.replace(
                        problem,
                        file_name=paths.get(
                            problem.file_name, f"accepted {problem.file_name}"
                        ),
                    )
                )
                for problem in problems
            ]
        )
    )
