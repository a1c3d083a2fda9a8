"""Typed access to TOML tables; collects all problems instead of raising."""

from collections import abc
import difflib
import re
import tomllib
import typing

from returns import result

from sycamoreloft_config import _addresses, _problems

#: Maximum length of a file, in bytes.
MAXIMUM_FILE_BYTES = 1024 * 1024

#: Names are part of row keys, "fleet/service" references and headers, so they
#: must not contain slashes, spaces or control characters.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")

#: Remedy for an invalid name.
NAME_RULE = (
    "use 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or"
    " a digit"
)

#: Maximum number of problems reported for one file. If there are more, one
#: additional entry says how many are not shown.
MAXIMUM_PROBLEMS = 200

Table: typing.TypeAlias = abc.Mapping[str, typing.Any]


class ProblemList:
    """Collects the problems of one file.

    Args:
        file_name: File name that the reported problems contain.
    """

    def __init__(self, file_name: str) -> None:
        self._file_name = file_name
        self._problems: list[_problems.FileProblem] = []
        self._omitted = 0

    def add(self, path: str, problem: str, remedy: str) -> None:
        """Records a problem.

        Args:
            path: Path of the field inside the file; empty for the whole file.
            problem: What is wrong.
            remedy: How to correct it.
        """
        if len(self._problems) >= MAXIMUM_PROBLEMS:
            self._omitted += 1
            return
        self._problems.append(
            _problems.FileProblem(self._file_name, path, problem, remedy)
        )

    def list_all(self) -> tuple[_problems.FileProblem, ...]:
        """Returns the problems in the order in which they were added."""
        if not self._omitted:
            return tuple(self._problems)
        return (
            *self._problems,
            _problems.FileProblem(
                self._file_name,
                "",
                f"{self._omitted} further problems are not shown",
                "correct those shown and check the file again",
            ),
        )


def load_toml(
    text: str, file_name: str
) -> result.Result[Table, abc.Sequence[_problems.FileProblem]]:
    """Parses TOML text of at most `MAXIMUM_FILE_BYTES` bytes."""
    problems = ProblemList(file_name)
    size = len(text.encode(errors="surrogatepass"))
    if size > MAXIMUM_FILE_BYTES:
        problems.add(
            "",
            f"the file has {size} bytes; at most {MAXIMUM_FILE_BYTES} are"
            " allowed",
            "remove what is not needed, or split the fleet",
        )
        return result.Failure(problems.list_all())
    try:
        return result.Success(tomllib.loads(text))
    except (ValueError, RecursionError) as error:
        # Integers with thousands of digits raise a plain ValueError.
        problems.add(
            "",
            f"the file is not valid TOML: {error}",
            "correct the syntax at the reported position",
        )
        return result.Failure(problems.list_all())


class TableReader:
    """Reads the fields of one table.

    Each read method returns a usable value even if the field is invalid, so
    that one pass finds all problems.

    Args:
        table: The parsed table.
        path: Path of the table inside the file; empty for the root table.
        problems: List to which problems are added.
    """

    def __init__(self, table: Table, path: str, problems: ProblemList) -> None:
        self._table = table
        self._path = path
        self._problems = problems
        self._known_fields: list[str] = []

    def report_problem(self, name: str, problem: str, remedy: str) -> None:
        """Records a problem of a field; an empty name means the whole table."""
        self._problems.add(self._format_path(name), problem, remedy)

    def has_field(self, name: str) -> bool:
        """Returns whether the table sets a field."""
        return name in self._table

    def read_text(
        self, name: str, default: str | None = None, maximum: int = 1024
    ) -> str:
        """Reads a string; a default of None makes the field required."""
        value = self._read_value(name, str, "a string", default)
        if value is None:
            return ""
        if len(value) > maximum or not value.isprintable():
            self.report_problem(
                name,
                f"the text is longer than {maximum} characters or contains"
                " control characters",
                "use a shorter, printable text",
            )
            return ""
        return typing.cast(str, value)

    def read_name(self, name: str, default: str | None = None) -> str:
        """Reads a name; returns an empty string if it is invalid."""
        if not self.has_field(name) and default is not None:
            self._known_fields.append(name)
            return default
        is_present = self.has_field(name)
        text = self.read_text(name)
        if NAME_PATTERN.fullmatch(text):
            return text
        if is_present and isinstance(self._table[name], str):
            self.report_problem(
                name, f"{text[:80]!r} is not a valid name", NAME_RULE
            )
        return ""

    def read_reference(self, name: str) -> str:
        """Reads "fleet/name"; returns an empty string if it is invalid."""
        text = self.read_text(name)
        parts = text.split("/")
        if len(parts) == 2 and all(map(NAME_PATTERN.fullmatch, parts)):
            return text
        if isinstance(self._table.get(name), str):
            self.report_problem(
                name,
                f'{text[:160]!r} is not of the form "fleet/name"',
                "write the fleet's name, a slash and the name inside the fleet",
            )
        return ""

    def read_address(self, name: str) -> str:
        """Reads an IP address and port.

        Returns:
            The canonical form, or an empty string if the address is invalid.
        """
        text = self.read_text(name)
        address = _addresses.normalize_address(text)
        if not address and isinstance(self._table.get(name), str):
            self.report_problem(
                name,
                f"{text[:80]!r} is not an IP address with a port",
                'write an IP address and a port, such as "10.1.2.3:9001" or'
                ' "[fd00::1]:9001"; host names are not resolved',
            )
        return address

    def read_integer(
        self, name: str, low: int, high: int, default: int | None = None
    ) -> int:
        """Reads an integer in a range; returns `low` if it is invalid."""
        value = self._read_value(name, int, "an integer", default)
        return int(self._check_range(name, value, low, high))

    def read_number(
        self, name: str, low: float, high: float, default: float | None = None
    ) -> float:
        """Reads a finite number in a range; returns `low` if it is invalid."""
        value = self._read_value(name, (int, float), "a number", default)
        return float(self._check_range(name, value, low, high))

    def read_boolean(self, name: str, default: bool | None = None) -> bool:
        """Reads a boolean."""
        return bool(self._read_value(name, bool, "true or false", default))

    def read_choice(
        self, name: str, choices: abc.Sequence[str], default: str | None = None
    ) -> str:
        """Reads one of `choices`; returns the first choice if it is invalid."""
        value = self.read_text(name, default)
        if value in choices:
            return value
        if isinstance(self._table.get(name), str):
            self.report_problem(
                name,
                f"{value[:80]!r} is not known",
                f"use one of {', '.join(choices)}",
            )
        return choices[0]

    def read_texts(
        self, name: str, maximum: int, *, required: bool = False
    ) -> abc.Sequence[str]:
        """Reads an array of strings."""
        value = self._read_value(
            name, list, "an array", None if required else []
        )
        if value is None or not self._check_length(name, value, maximum):
            return ()
        if not all(isinstance(item, str) and item for item in value):
            self.report_problem(
                name,
                "an item is not a string, or is empty",
                "use non-empty strings",
            )
            return ()
        return tuple(value)

    def read_table(self, name: str) -> "TableReader":
        """Reads a table; a missing table is read as empty."""
        value = self._read_value(name, dict, "a table", {})
        return TableReader(value or {}, self._format_path(name), self._problems)

    def read_tables(
        self, name: str, maximum: int
    ) -> abc.Sequence["TableReader"]:
        """Reads an array of tables; a missing array is read as empty."""
        value = self._read_value(name, list, "an array of tables", [])
        if value is None or not self._check_length(name, value, maximum):
            return ()
        readers = []
        for index, item in enumerate(value):
            path = f"{self._format_path(name)}[{index}]"
            if isinstance(item, dict):
                readers.append(TableReader(item, path, self._problems))
            else:
                self._problems.add(
                    path, "the item is not a table", f"use [[{name}]] tables"
                )
        return readers

    def read_name_map(self, name: str, maximum: int) -> abc.Mapping[str, str]:
        """Reads a table whose values are all names."""
        reader = self.read_table(name)
        fields = list(reader._table)
        if not self._check_length(name, fields, maximum):
            return {}
        return {field: reader.read_name(field) for field in fields}

    def report_unknown_fields(self) -> None:
        """Reports every field of the table that was not read."""
        for name in self._table:
            if name in self._known_fields:
                continue
            close_matches = difflib.get_close_matches(
                name, self._known_fields, n=1
            )
            suggestion = (
                f"did you mean {close_matches[0]!r}? " if close_matches else ""
            )
            self.report_problem(
                name[:80],
                "the field is not known",
                f"{suggestion}known fields are"
                f" {', '.join(sorted(self._known_fields))}",
            )

    def _format_path(self, name: str) -> str:
        return ".".join(part for part in (self._path, name) if part)

    def _read_value(
        self,
        name: str,
        kind: type | tuple[type, ...],
        description: str,
        default: typing.Any,
    ) -> typing.Any:
        """Returns the value; the default if it is missing or mistyped."""
        self._known_fields.append(name)
        if name not in self._table:
            if default is None:
                self.report_problem(
                    name, "the field is missing", f"add {description}"
                )
            return default
        value = self._table[name]
        # bool is a subclass of int.
        is_boolean = isinstance(value, bool)
        if isinstance(value, kind) and (kind is bool or not is_boolean):
            return value
        self.report_problem(
            name,
            f"the value has type {type(value).__name__}",
            f"write {description}",
        )
        return default

    def _check_range(
        self, name: str, value: float | None, low: float, high: float
    ) -> float:
        """Returns the value, or `low` if it is missing or out of range."""
        if value is None:
            return low
        # Also rejects NaN. An integer may be too large for a float, so it is
        # compared without a conversion.
        if not low <= value <= high:
            value_text = str(value)[:40] if abs(value) < 1e18 else "the value"
            self.report_problem(
                name,
                f"{value_text} is out of range",
                f"use a number from {low} to {high}",
            )
            return low
        return value

    def _check_length(
        self, name: str, items: abc.Sequence[typing.Any], maximum: int
    ) -> bool:
        if len(items) <= maximum:
            return True
        self.report_problem(
            name,
            f"{len(items)} items; at most {maximum} are allowed",
            "remove items, or split the fleet",
        )
        return False
