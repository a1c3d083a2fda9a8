"""Errors of the command and its exit codes."""

from collections import abc
import dataclasses
import enum


class ExitCode(enum.IntEnum):
    """Exit codes, listed in the help text and in docs/operators.md."""

    DONE = 0
    #: The host cannot be reached, or it refused the call for another reason.
    FAILED = 1
    #: Wrong options; the command line parser uses this code as well.
    USAGE = 2
    INVALID_FILES = 3
    #: The base is not the newest generation; nothing was recorded.
    CONFLICT = 4
    #: Recorded, but not accepted in the given time.
    NOT_ACCEPTED = 5
    #: Not known whether the submission was recorded.
    UNKNOWN = 6
    UNAUTHORIZED = 7


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Why the command did not do what it was asked."""

    #: Exit code of the command.
    exit_code: ExitCode
    #: Stable code, such as "conflict".
    code: str
    #: What is wrong.
    message: str
    #: What the operator can do about it.
    remedy: str
    #: Further lines.
    details: abc.Sequence[str] = ()


def make_file_problem(details: abc.Sequence[str]) -> Problem:
    """Returns the problem of files that are wrong."""
    return Problem(
        ExitCode.INVALID_FILES,
        "invalid-files",
        f"{len(details)} problem{'' if len(details) == 1 else 's'}",
        "correct each of them and check the files again",
        details,
    )
