"""Checks house rules that the linter cannot express.

Modules are imported, not names, and no source file is longer than 500 lines
unless it is listed with a reason.
"""

import ast
import importlib.util
import pathlib
import sys

#: Longest source file, in lines.
MAXIMUM_LINES = 500

#: Files that may be longer, with the reason.
LONG_FILES: dict[str, str] = {}


def is_module(name: str) -> bool:
    """Tells whether a dotted name can be imported as a module."""
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, AttributeError, ValueError):
        return False


def find_name_imports(path: pathlib.Path) -> list[str]:
    """Lists the imports of a file that bring in names instead of modules."""
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
    # A package's __init__ lists its public names, which is its purpose.
    if path.name != "__init__.py":
        problems += find_name_imports(path)
    line_count = len(path.read_text().splitlines())
    if line_count > MAXIMUM_LINES and str(path) not in LONG_FILES:
        problems.append(
            f"{path}: {line_count} lines; split it, or list it with a reason"
        )
    return problems


def main() -> int:
    """Checks every source file of the workspace."""
    problems = []
    for folder in ("packages", "platform", "tools"):
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            problems += check_file(path)
    print("\n".join(problems))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
