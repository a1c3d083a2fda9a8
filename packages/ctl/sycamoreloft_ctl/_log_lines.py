"""Parses the log files of hosts."""

from collections import abc
import dataclasses
import datetime
import json
import pathlib
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log event of a host."""

    #: Host that logged the event.
    host: str
    #: When it was logged by the host's clock, in seconds since 1970.
    time_s: float
    #: Event name, such as "request-refused".
    event: str
    #: All fields of the line, with `time` and `event`.
    fields: abc.Mapping[str, typing.Any]

    def get_text(self, name: str) -> str:
        """Returns a field as text, or an empty text if it is missing."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def get_number(self, name: str, default: float = 0.0) -> float:
        """Returns a field, or the default if it is not a number."""
        value = self.fields.get(name)
        if isinstance(value, int | float) and not isinstance(value, bool):
            return float(value)
        return default


@dataclasses.dataclass(frozen=True, slots=True)
class LogFiles:
    """Events that were read from log files."""

    #: Events of all files in order of time.
    lines: abc.Sequence[LogLine]
    #: Number of lines that are not blank and not events.
    unreadable_count: int


def read_files(paths: abc.Iterable[pathlib.Path]) -> LogFiles:
    """Reads log files of several hosts.

    Log collectors put a prefix before the JSON object of a line; its last
    word is the name of the host. Lines without a prefix belong to the host
    that the file is named after.

    Raises:
        OSError: A file cannot be read.
    """
    lines: list[LogLine] = []
    unreadable_count = 0
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse_line(text, path.stem)
                if line is not None:
                    lines.append(line)
                elif text.strip():
                    unreadable_count += 1
    lines.sort(key=lambda line: line.time_s)
    return LogFiles(lines, unreadable_count)


def parse_line(text: str, host: str) -> LogLine | None:
    """Parses a log line; returns None if it is not an event.

    Args:
        text: The line.
        host: Name of the host, for a line without a prefix.
    """
    prefix, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
        logged_at = datetime.datetime.fromisoformat(fields["time"])
        event = fields["event"]
    except (ValueError, KeyError, TypeError):
        return None
    words = prefix.split()
    return LogLine(
        words[-1] if words else host, logged_at.timestamp(), str(event), fields
    )
