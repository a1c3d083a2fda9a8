"""Lookup of routes by host and longest prefix, and weighted splits."""

import collections

import pytest

import sycamoreloft_direct


def build(prefix, host="race.example", targets=(("ledger", 1),)):
    return sycamoreloft_direct.Route(
        prefix,
        host,
        prefix,
        [sycamoreloft_direct.Target(*item) for item in targets],
        sycamoreloft_direct.RouteKind.IDEMPOTENT,
        1.0,
        0.3,
        2,
        1,
    )


@pytest.fixture
def table():
    """A table with routes whose prefixes are prefixes of others."""
    return sycamoreloft_direct.RouteTable(
        [
            build("/"),
            build("/a/"),
            build("/a/b/c/"),
            build("/x/", "other.example"),
        ]
    )


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/", "/"),
        ("/a", "/"),
        ("/a/", "/a/"),
        ("/a/b", "/a/"),
        ("/a/b/", "/a/"),
        ("/a/b/c/d?x=/q/", "/a/b/c/"),
        ("/x/y", "/"),
    ],
)
def test_the_longest_prefix_wins(table, path, prefix):
    assert table.find("race.example", path).prefix == prefix


def test_routes_depend_on_the_host_name_but_not_the_port(table):
    assert table.find("other.example:80", "/x/y").prefix == "/x/"
    assert table.find("OTHER.example", "/x/").prefix == "/x/"
    assert table.find("other.example", "/a/") is None
    assert table.find("", "/a/") is None


def test_a_split_is_exact_over_each_cycle(table):
    route = build("/s/", targets=(("a", 90), ("b", 7), ("c", 3)))
    routes = sycamoreloft_direct.RouteTable([route])
    for _ in range(3):
        counts = collections.Counter(
            routes.choose_target(route) for _ in range(100)
        )
        assert counts == {"a": 90, "b": 7, "c": 3}


def test_a_weight_of_zero_gets_nothing():
    route = build("/s/", targets=(("a", 0), ("b", 5)))
    routes = sycamoreloft_direct.RouteTable([route])
    assert {routes.choose_target(route) for _ in range(20)} == {"b"}
