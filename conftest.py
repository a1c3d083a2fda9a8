"""Hooks for all test runs.

They mark the tests in KNOWN-RED.txt as expected failures and print their names,
and pause the garbage collector while pytest parses source.
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
def _pause_collector() -> abc.Iterator[None]:
    """Pauses the garbage collector while pytest parses source.

    Python before 3.11.8 raises SystemError ("AST constructor recursion depth
    mismatch") if a finalizer that runs during `ast.parse` calls it as well, and
    formatting the traceback of an exception in a finalizer does so. pytest then
    ended the run without a report of the failure.
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
    """Builds the report of a test, which parses the source of a traceback."""
    with _pause_collector():
        return (yield)


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> abc.Generator[None, None, None]:
    """Prints the listed tests at the end of every run.

    The summary itself may import modules of plugins, which pytest parses.
    """
    with _pause_collector():
        yield
    for node_id in sorted(_read_known_red()):
        terminalreporter.write_line(f"KNOWN-RED: {node_id}")
