"""Tests of the checks of generations and permit requests."""

import dataclasses

import pytest

import sycamoreloft_config
from sycamoreloft_router import _generation_checks
import sycamoreloft_wire

SERVICES = {
    "keyed": sycamoreloft_config.Service("keyed", True, 16),
    "plain": sycamoreloft_config.Service("plain", False),
}
FLEET = sycamoreloft_config.Fleet(
    "f",
    sycamoreloft_config.Weights(),
    3900.0,
    600.0,
    {"d": sycamoreloft_config.FailureDomain("d")},
    SERVICES,
    {},
)
GENERATION = sycamoreloft_config.Generation(1, {"f": FLEET})


@pytest.fixture
def keyed_request():
    """A request that agrees with the generation."""
    partition = sycamoreloft_config.compute_partition("f", "keyed", "k", 16)
    return sycamoreloft_wire.PermitRequest(
        "f/d/0", "p", "h", 1, "f", "keyed", "k", partition, b"x", "c", 1, 500
    )


def test_a_request_that_agrees_with_the_generation_is_well_formed(
    keyed_request,
):
    """Guards against refusing valid requests."""
    assert _generation_checks.is_well_formed(GENERATION, keyed_request)


@pytest.mark.parametrize(
    "change",
    [
        {"partition": -1},
        {"partition": 16},
        {"priority": 99},
        {"service": "unknown"},
        {"fleet": "unknown"},
        {"service": "plain"},
    ],
)
def test_a_request_that_contradicts_the_generation_is_not_well_formed(
    keyed_request, change
):
    """Guards against permits without a fence and exceptions of the issuer."""
    message = dataclasses.replace(keyed_request, **change)
    assert not _generation_checks.is_well_formed(GENERATION, message)


def test_changed_groups_are_detected():
    """Guards against not reloading claims when the fleet's groups change."""
    domains = {"d": sycamoreloft_config.FailureDomain("d", groups=2)}
    other = dataclasses.replace(FLEET, failure_domains=domains)
    changed = sycamoreloft_config.Generation(2, {"f": other})
    assert _generation_checks.changes_groups(GENERATION, changed, "f")
    assert not _generation_checks.changes_groups(GENERATION, GENERATION, "f")
