"""Files that the operator names on the command line."""

from collections import abc
import dataclasses
import pathlib

from returns import result

import sycamoreloft_config
from sycamoreloft_ctl import _problems

#: The reader refuses more than 1 MiB; one byte more is enough to see it.
_READ_BYTES = 1024 * 1024 + 1


@dataclasses.dataclass(frozen=True, slots=True)
class LocalFile:
    """A file that has been read and checked by itself."""

    #: Path as the operator named it.
    path: str
    #: Content.
    text: str
    #: Name in a generation, "fleet/<name>" or "merge".
    name: str


def load_files(
    paths: abc.Sequence[pathlib.Path],
) -> result.Result[abc.Sequence[LocalFile], _problems.Problem]:
    """Reads files and checks each of them by itself."""
    files: list[LocalFile] = []
    problems: list[str] = []
    for path in paths:
        match _load_file(path):
            case result.Failure(found):
                problems += found
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
            text = file.read(_READ_BYTES).decode()
    except (OSError, ValueError) as error:
        # A wrong encoding and a null byte in the path are value errors.
        return result.Failure(
            [f"{path}: the file cannot be read: {error}; check its path"]
        )
    match sycamoreloft_config.parse_file(text, str(path)):
        case result.Success(node):
            name = sycamoreloft_config.build_file_name(node)
            return result.Success(LocalFile(str(path), text, name))
        case result.Failure(found):
            return result.Failure([str(item) for item in found])
    raise AssertionError("a result is a success or a failure")


def check_together(
    files: abc.Sequence[LocalFile], accepted: abc.Mapping[str, str]
) -> result.Result[sycamoreloft_config.Generation, _problems.Problem]:
    """Checks files against each other and against accepted texts.

    Args:
        files: New files.
        accepted: Texts by name that stay unless a new file replaces them.
    """
    texts = {**accepted, **{file.name: file.text for file in files}}
    paths = {file.name: file.path for file in files}
    built = sycamoreloft_config.build_generation(1, texts)
    return built.alt(
        lambda found: _problems.make_file_problem(
            [
                str(
                    dataclasses.replace(
                        item,
                        file_name=paths.get(
                            item.file_name, f"accepted {item.file_name}"
                        ),
                    )
                )
                for item in found
            ]
        )
    )
