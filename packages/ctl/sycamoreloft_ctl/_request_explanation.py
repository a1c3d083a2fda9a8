"""The command that explains one request from log files."""

from collections import abc
import pathlib
import typing

from returns import result

from sycamoreloft_ctl import _log_lines, _output, _problems, _request_story

#: Fields of a line that every line has; they are not printed again.
_COMMON_FIELDS = frozenset(("event", "level", "logger", "request", "time"))


def explain(
    request: str, paths: abc.Sequence[pathlib.Path]
) -> result.Result[_request_story.Story, _problems.Problem]:
    """Reads log files and finds why a request failed."""
    try:
        files = _log_lines.read_files(paths)
    except OSError as error:
        return result.Failure(
            _problems.make_file_problem([f"{error.filename}: {error.strerror}"])
        )
    if not files.lines:
        return result.Failure(
            _problems.make_file_problem(
                [f"none of {files.unreadable} lines is an event of a host"]
            )
        )
    return result.Success(_request_story.tell(request, files.lines))


def convert_to_json(story: _request_story.Story) -> dict[str, typing.Any]:
    """Returns a story as a JSON value."""
    return {
        "request": story.request,
        "cause": story.cause.code,
        "meaning": story.cause.meaning,
        "remedy": story.cause.remedy,
        "evidence": story.evidence,
        "lines": [_convert_line(line) for line in story.own],
        "around": [_convert_line(line) for line in story.around],
    }


def print_story(story: _request_story.Story) -> None:
    """Prints a story for people."""
    own = set(map(id, story.own))
    lines = sorted([*story.own, *story.around], key=lambda line: line.time_s)
    if lines:
        _output.print_table(
            ("", "time", "host", "event", "fields"),
            [
                (
                    "*" if id(line) in own else "",
                    line.get_text("time"),
                    line.host,
                    line.event,
                    _list_fields(line),
                )
                for line in lines
            ],
        )
    _output.print_lines(
        [
            "",
            f"cause: {story.cause.code}: {story.cause.meaning}",
            f"evidence: {story.evidence or '-'}",
            f"remedy: {story.cause.remedy}",
        ]
    )


def _convert_line(line: _log_lines.LogLine) -> dict[str, typing.Any]:
    return {"host": line.host, **line.fields}


def _list_fields(line: _log_lines.LogLine) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in sorted(line.fields.items())
        if name not in _COMMON_FIELDS and value != ""
    )
