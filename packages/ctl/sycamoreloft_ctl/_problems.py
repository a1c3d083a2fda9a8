"""Errors and exit codes of the command."""

from collections import abc
import dataclasses
import enum


class ExitCode(enum.IntEnum):
    """Exit codes, listed in the help text and in docs/operators.md."""

    DONE = 0
    #: The host is unreachable, or refused the call for a reason without an
    #: exit code of its own.
    FAILED = 1
    #: Wrong options; the command line parser exits with this code as well.
    USAGE = 2
    INVALID_FILES = 3
    #: The base is not the newest generation; nothing was recorded.
    CONFLICT = 4
    #: Recorded, but not accepted within the time of `--wait`.
    NOT_ACCEPTED = 5
    #: Not known whether the submission was recorded.
    UNKNOWN = 6
    UNAUTHORIZED = 7


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Why the command failed."""

    #: Code that the process exits with.
    exit_code: ExitCode
    #: Stable code for programs, such as "conflict"; empty for a broken
    #: connection or an answer of another server.
    code: str
    #: What is wrong.
    message: str
    #: What the operator can do about it.
    remedy: str
    #: Further lines for the operator, such as one for each wrong file.
    details: abc.Sequence[str] = ()


def make_file_problem(details: abc.Sequence[str]) -> Problem:
    """Returns the problem for files that are unreadable or invalid."""
    return Problem(
        ExitCode.INVALID_FILES,
        "invalid-files",
        f"{len(details)} problem{'' if len(details) == 1 else 's'}",
        "correct each of them and check the files again",
        details,
    )
