"""Reads the log lines of hosts."""

from collections import abc
import dataclasses
import datetime
import json
import pathlib
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One event of a host."""

    #: Name of the host.
    host: str
    #: Time on the host's clock, in seconds since 1970.
    time_s: float
    #: Name of the event.
    event: str
    #: All fields of the line.
    fields: abc.Mapping[str, typing.Any]

    def get_text(self, name: str) -> str:
        """Returns a field as text, empty if there is none."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def get_number(self, name: str, default: float = 0.0) -> float:
        """Returns a field that is a number."""
        value = self.fields.get(name)
        if isinstance(value, int | float) and not isinstance(value, bool):
            return float(value)
        return default


@dataclasses.dataclass(frozen=True, slots=True)
class LogFiles:
    """What was read from log files."""

    #: All events in the order of their times.
    lines: abc.Sequence[LogLine]
    #: Lines that are no events.
    unreadable: int


def read_files(paths: abc.Iterable[pathlib.Path]) -> LogFiles:
    """Reads log files of several hosts.

    What stands before the object of a line, as collectors of logs put it
    there, is skipped; its last word names the host. Without it the file's
    name does.

    Raises:
        OSError: A file cannot be read.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse_line(text, path.stem)
                if line is not None:
                    lines.append(line)
                elif text.strip():
                    unreadable += 1
    lines.sort(key=lambda line: line.time_s)
    return LogFiles(lines, unreadable)


def parse_line(text: str, host: str) -> LogLine | None:
    """Parses a line; None if it is no event.

    Args:
        text: The line.
        host: Host of a line that does not name it.
    """
    prefix, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
        moment = datetime.datetime.fromisoformat(fields["time"])
        event = fields["event"]
    except (ValueError, KeyError, TypeError):
        return None
    words = prefix.split()
    return LogLine(
        words[-1] if words else host, moment.timestamp(), str(event), fields
    )
