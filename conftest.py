"""Hooks for all test runs.

They mark the tests in KNOWN-RED.txt as expected failures and print their names,
and pause the garbage collector while a failure is formatted.
"""

from collections import abc
import contextlib
import gc
import pathlib

import pytest

_KNOWN_RED_FILE = pathlib.Path(__file__).with_name("KNOWN-RED.txt")


def _read_known_red() -> set[str]:
    """Returns the node ids in KNOWN-RED.txt, from lines "test: <node id>"."""
    return {
        line.removeprefix("test:").strip()
        for line in _KNOWN_RED_FILE.read_text().splitlines()
        if line.startswith("test:")
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks listed tests so that their failures do not fail the run."""
    listed = _read_known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


@contextlib.contextmanager
def _pause_garbage_collector() -> abc.Iterator[None]:
    """Runs no finalizers of reference cycles while pytest parses source.

    pytest parses the source of each frame in a traceback, and of plugins that
    it imports late. Python before 3.11.8 raises SystemError ("AST constructor
    recursion depth mismatch") if a finalizer that runs during `ast.parse` calls
    it as well, and formatting the traceback of an exception in a finalizer does
    so. pytest then ended the run without a report.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport() -> abc.Generator[
    None, pytest.TestReport, pytest.TestReport
]:
    """Keeps finalizers out of the report of a test."""
    with _pause_garbage_collector():
        return (yield)


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> abc.Generator[None, None, None]:
    """Prints the listed tests at the end of every run."""
    with _pause_garbage_collector():
        yield
    for node_id in sorted(_read_known_red()):
        terminalreporter.write_line(f"KNOWN-RED: {node_id}")
