"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

import pathlib

import pytest

_LIST = pathlib.Path(__file__).with_name("KNOWN-RED.txt")


def _read_known_red() -> set[str]:
    """Returns node ids of entries, each a line "test: <node id>"."""
    return {
        line.removeprefix("test:").strip()
        for line in _LIST.read_text().splitlines()
        if line.startswith("test:")
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Lets listed tests run without failing the run."""
    known = _read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the listed tests with every run."""
    for node in sorted(_read_known_red()):
        terminalreporter.write_line(f"KNOWN-RED: {node}")
