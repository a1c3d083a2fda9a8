"""Fixtures of the tests of the configuration."""

from collections import abc
import pathlib

import pytest

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.fixture
def example_texts() -> abc.Mapping[str, str]:
    """Texts of the example files, by their names in a generation."""
    return {
        "fleet/sledworks": (EXAMPLES / "sledworks.toml").read_text(),
        "fleet/isuku": (EXAMPLES / "isuku.toml").read_text(),
        "merge": (EXAMPLES / "merge.toml").read_text(),
    }


@pytest.fixture
def router_settings_path() -> str:
    """Path of the example settings."""
    return str(EXAMPLES / "router.toml")
