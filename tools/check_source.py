"""Checks style rules that the linter cannot express.

Files import modules rather than names from modules, and no source file is
longer than `MAXIMUM_LINES`, unless `LONG_FILES` lists it.
"""

import ast
import importlib.util
import pathlib
import sys

#: Maximum length of a source file.
MAXIMUM_LINES = 500

#: Reason by path for each file that may be longer.
LONG_FILES: dict[str, str] = {}


def is_module(name: str) -> bool:
    """Returns whether a dotted name can be imported as a module."""
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, AttributeError, ValueError):
        return False


def list_name_imports(path: pathlib.Path) -> list[str]:
    """Returns a problem for each import of a name that is not a module."""
    problems = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        if node.module == "__future__":
            continue
        for alias in node.names:
            if not is_module(f"{node.module}.{alias.name}"):
                problems.append(
                    f"{path}:{node.lineno}: imports the name {alias.name!r};"
                    f" import the module {node.module} and qualify the name"
                )
    return problems


def check_file(path: pathlib.Path) -> list[str]:
    """Returns the problems of one source file."""
    problems = []
    # A package's __init__ re-exports the public names of the package.
    if path.name != "__init__.py":
        problems += list_name_imports(path)
    line_count = len(path.read_text().splitlines())
    if line_count > MAXIMUM_LINES and str(path) not in LONG_FILES:
        problems.append(
            f"{path}: too long with {line_count} lines; split it, or add it to"
            " LONG_FILES with a reason"
        )
    return problems


def main() -> int:
    """Checks all source files and prints their problems.

    Returns:
        The exit code.
    """
    problems = []
    for folder in ("packages", "platform", "tools"):
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            problems += check_file(path)
    print("\n".join(problems))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
