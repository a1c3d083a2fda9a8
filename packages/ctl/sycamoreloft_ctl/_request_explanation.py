"""Reads log files, diagnoses one request and prints the result."""

from collections import abc
import pathlib
import typing

from returns import result

from sycamoreloft_ctl import _log_lines, _output, _problems, _request_diagnosis

#: Fields of every line; the column of event-specific fields leaves them out.
_COMMON_FIELDS = frozenset(("event", "level", "logger", "request", "time"))


def explain(
    request: str, paths: abc.Sequence[pathlib.Path]
) -> result.Result[_request_diagnosis.Diagnosis, _problems.Problem]:
    """Reads log files and diagnoses why a request failed."""
    try:
        files = _log_lines.read_files(paths)
    except OSError as error:
        return result.Failure(
            _problems.make_file_problem([f"{error.filename}: {error.strerror}"])
        )
    if not files.lines:
        return result.Failure(
            _problems.make_file_problem(
                [
                    f"none of {files.unreadable_count} lines is an event"
                    " of a host"
                ]
            )
        )
    return result.Success(_request_diagnosis.diagnose(request, files.lines))


def convert_to_json(
    diagnosis: _request_diagnosis.Diagnosis,
) -> dict[str, typing.Any]:
    """Returns a diagnosis as a JSON value."""
    return {
        "request": diagnosis.request,
        "cause": diagnosis.cause.code,
        "meaning": diagnosis.cause.meaning,
        "remedy": diagnosis.cause.remedy,
        "evidence": diagnosis.evidence,
        "lines": [_convert_line(line) for line in diagnosis.request_lines],
        "around": [_convert_line(line) for line in diagnosis.related_lines],
    }


def print_diagnosis(diagnosis: _request_diagnosis.Diagnosis) -> None:
    """Prints a diagnosis as a table, with the request's own lines marked."""
    request_lines = set(map(id, diagnosis.request_lines))
    lines = sorted(
        [*diagnosis.request_lines, *diagnosis.related_lines],
        key=lambda line: line.time_s,
    )
    if lines:
        _output.print_table(
            ("", "time", "host", "event", "fields"),
            [
                (
                    "*" if id(line) in request_lines else "",
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
            f"cause: {diagnosis.cause.code}: {diagnosis.cause.meaning}",
            f"evidence: {diagnosis.evidence or '-'}",
            f"remedy: {diagnosis.cause.remedy}",
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
