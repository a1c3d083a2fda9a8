"""Prints results as tables for people or as JSON for programs."""

from collections import abc
import dataclasses
import json
import sys
import typing

import rich.console
import rich.table
import rich.text

from sycamoreloft_ctl import _problems

#: Width of tables in characters when the output is not a terminal.
PIPE_WIDTH = 120


def print_json(value: typing.Any) -> None:
    """Prints a JSON document."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_table(
    columns: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[typing.Any]]
) -> None:
    """Prints a table; cells are escaped and wrapped, never cut."""
    table = rich.table.Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(
            *(
                rich.text.Text(escape_control_characters(str(item)))
                for item in row
            )
        )
    _make_console().print(table)


def print_lines(lines: abc.Iterable[str]) -> None:
    """Prints lines of text with control characters escaped."""
    for line in lines:
        print(escape_control_characters(line))


def print_problem(problem: _problems.Problem, *, as_json: bool) -> None:
    """Prints an error: text to standard error, JSON to standard output."""
    if as_json:
        value = dataclasses.asdict(problem)
        value["exit_code"] = int(problem.exit_code)
        print_json(value)
        return
    lines = [
        f"error: {problem.message}",
        *(f"  {line}" for line in problem.details),
        f"remedy: {problem.remedy}",
    ]
    for line in lines:
        print(escape_control_characters(line), file=sys.stderr)


def escape_control_characters(text: str) -> str:
    """Escapes control characters, which could control the terminal."""
    return "".join(
        character if character.isprintable() else repr(character)[1:-1]
        for character in text
    )


def flatten(value: typing.Any, path: str = "") -> abc.Iterator[list[str]]:
    """Yields the path and the JSON text of each leaf of a JSON value."""
    children: abc.Iterable[tuple[typing.Any, typing.Any]] = ()
    if isinstance(value, dict):
        children = sorted(value.items())
    elif isinstance(value, list):
        children = enumerate(value)
    else:
        yield [path, json.dumps(value)]
        return
    is_empty = True
    for name, child in children:
        is_empty = False
        yield from flatten(child, f"{path} {name}".strip())
    if is_empty:
        yield [path, json.dumps(value)]


def _make_console() -> rich.console.Console:
    if sys.stdout.isatty():
        return rich.console.Console(highlight=False)
    return rich.console.Console(width=PIPE_WIDTH, highlight=False)
