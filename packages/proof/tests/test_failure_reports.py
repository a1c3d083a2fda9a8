"""Tests that a failed test is reported, and that the run goes on."""

import os
import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[3]

# Parses a text during each garbage collection. A finalizer does so if it raises
# an exception, because the exception is formatted with a traceback.
_TESTS = """
import ast
import gc

def parse_text(phase, details):
    ast.parse("1")

def test_that_fails():
    gc.callbacks.append(parse_text)
    gc.set_threshold(5)
    assert 1 == 2

def test_that_passes():
    pass
"""


# Guards against a run that ends with an internal error of pytest in place of
# the report of a failed test, and without the tests after it.
def test_a_failure_is_reported_when_finalizers_parse_texts(tmp_path):
    (tmp_path / "test_parsing.py").write_text(_TESTS)
    finished = subprocess.run(
        [
            *(sys.executable, "-m", "pytest", "-p", "conftest"),
            *("-p", "no:cacheprovider", "--rootdir", tmp_path, tmp_path),
        ],
        cwd=tmp_path,
        env=os.environ | {"PYTHONPATH": str(_ROOT)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert "INTERNALERROR" not in finished.stdout
    assert "E       assert 1 == 2" in finished.stdout
    assert "1 failed, 1 passed" in finished.stdout
    assert finished.returncode == 1
