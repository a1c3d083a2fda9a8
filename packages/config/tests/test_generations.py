"""Tests of checks across files, of names, and of differences."""

import dataclasses

import pytest

import sycamoreloft_config


def make_fleet(name, address="127.0.0.1:1", service="s", keyed="true"):
    """Returns the text of a fleet with one service and one upstream."""
    return f"""
kind = "fleet"
name = "{name}"
[[upstreams]]
name = "u"
service = "{service}"
failure_domain = "d"
address = "{address}"
slots = 1
[[failure_domains]]
name = "d"
[[services]]
name = "{service}"
keyed = {keyed}
[[services]]
name = "other"
keyed = true
"""


def make_merge(*statements):
    """Returns a merge file from "kind canonical alias" statements."""
    lines = ['kind = "merge"']
    for statement in statements:
        kind, canonical, alias = statement.split()
        lines += [
            f"[[{kind}]]",
            f'canonical = "{canonical}"',
            f'alias = "{alias}"',
        ]
    return "\n".join(lines)


def build(merge=None, **fleets):
    """Builds a generation from fleet texts and an optional merge text."""
    texts = {f"fleet/{name}": text for name, text in fleets.items()}
    if merge is not None:
        texts["merge"] = merge
    return sycamoreloft_config.build_generation(1, texts)


A = make_fleet("a")
B = make_fleet("b", address="127.0.0.1:2")
C = make_fleet("c", address="127.0.0.1:3", keyed="false")


def test_one_address_in_two_fleets_needs_a_statement():
    """Guards against a server that gets grants from two holders."""
    same_address = make_fleet("b")
    problems = build(a=A, b=same_address).failure()
    assert 'canonical = "a/u", alias = "b/u"' in problems[0].remedy
    merge = make_merge("same_service a/s b/s", "same_upstream a/u b/u")
    assert build(merge, a=A, b=same_address).unwrap()
    only_upstream = make_merge("same_upstream a/u b/u")
    problems = build(only_upstream, a=A, b=same_address).failure()
    assert "[[same_service]]" in problems[0].remedy


@pytest.mark.parametrize(
    ("statements", "paths"),
    [
        (["same_service a/s b/none"], ["same_service[0].alias"]),
        (["same_upstream a/u z/u"], ["same_upstream[0].alias"]),
        (["same_service a/s c/s"], ["same_service[0]"]),
        (
            ["same_service a/s b/s", "same_service b/s a/s"],
            ["same_service[0].canonical", "same_service[1].canonical"],
        ),
        (
            ["same_service a/s b/s", "same_service b/s c/other"],
            ["same_service[1].canonical"],
        ),
        (
            ["same_service a/s b/s", "same_service c/other b/s"],
            ["same_service[1].alias"],
        ),
        (
            ["same_upstream a/u b/u", "same_service a/s b/s"],
            ["same_upstream[0]"],
        ),
        (["same_service a/s a/other"], ["same_service[0].alias"]),
    ],
    ids=str,
)
def test_wrong_statements_are_problems(statements, paths):
    """Guards against aliases without a meaning, or with several."""
    problems = build(make_merge(*statements), a=A, b=B, c=C).failure()
    assert [problem.path for problem in problems] == paths
    assert all(problem.remedy for problem in problems)


def test_a_file_under_another_name_is_a_problem():
    """Guards against a submission that replaces another fleet's file."""
    assert build(b=A).failure()[0].path == "name"


def test_the_examples_form_a_generation(example_texts):
    """Guards against examples that the router refuses."""
    generation = sycamoreloft_config.build_generation(3, example_texts)
    assert set(generation.unwrap().fleets) == {"sledworks", "isuku"}


def test_a_name_without_fleet_needs_one_meaning():
    """Guards against a request that is sent to the wrong fleet's service."""
    apart = build(a=A, b=B).unwrap()
    problem = sycamoreloft_config.resolve_service(apart, "", "s").failure()
    assert problem.reason == "ambiguous-service"
    assert "Sycamoreloft-Fleet" in problem.remedy
    merged = build(make_merge("same_service a/s b/s"), a=A, b=B).unwrap()
    expected = sycamoreloft_config.ServiceReference("a", "s")
    for fleet in ("", "a", "b"):
        resolved = sycamoreloft_config.resolve_service(merged, fleet, "s")
        assert resolved.unwrap() == expected


def test_upstreams_of_an_alias_are_not_active():
    """Guards against an upstream whose slots two groups count."""
    merge = make_merge("same_service a/s b/s")
    merged = build(merge, a=A, b=B).unwrap()
    sizes = [
        len(sycamoreloft_config.list_active_upstreams(merged, group))
        for name in ("a", "b")
        for group in sycamoreloft_config.list_groups(merged.fleets[name])
    ]
    assert sizes == [1, 0]


@pytest.mark.parametrize(
    ("old", "new", "is_alike"),
    [
        ("slots = 1", "slots = 2", {"s": False, "other": True}),
        ('name = "d"', 'name = "d"\ngroups = 2', {"s": False, "other": False}),
        ('name = "d"', 'name = "d"\nlost = true', {"s": False, "other": False}),
        ('name = "a"', 'name = "a"\nclaim_window_s = 9', {"s": False}),
        (
            'name = "other"',
            'name = "other"\ndeadline_ms = 9',
            {"s": True, "other": False},
        ),
    ],
)
def test_a_change_is_not_alike_for_what_it_affects(old, new, is_alike):
    """Guards against serving a changed service under two generations."""
    before = build(a=A, b=B).unwrap()
    after = build(a=A.replace(old, new, 1), b=B).unwrap()
    after = dataclasses.replace(after, number=2)
    for service, expected in is_alike.items():
        assert expected == sycamoreloft_config.is_alike(
            before, after, "a", service
        )
    assert sycamoreloft_config.is_alike(before, after, "b", "s")
    assert sycamoreloft_config.list_differences(before, after)


def test_a_merge_is_not_alike_for_alias_and_canonical_service():
    """Guards against keys of an alias that two fleets own during a merge."""
    apart = build(a=A, b=B).unwrap()
    merged = build(make_merge("same_service a/s b/s"), a=A, b=B).unwrap()
    for before, after in ((apart, merged), (merged, apart)):
        for fleet in ("a", "b", ""):
            assert not sycamoreloft_config.is_alike(before, after, fleet, "s")
        assert sycamoreloft_config.is_alike(before, after, "a", "other")
    assert sycamoreloft_config.list_differences(apart, merged) == [
        "merge same_service b/s is a/s: added"
    ]


def test_a_new_fleet_is_not_alike_for_requests_without_fleet():
    """Guards against a name in a request that changes its meaning."""
    before = build(a=A).unwrap()
    after = build(a=A, b=B).unwrap()
    assert not sycamoreloft_config.is_alike(before, after, "", "s")
    assert sycamoreloft_config.is_alike(before, after, "a", "s")


@pytest.mark.parametrize(
    "path",
    ["/wagers/7", "//wagers", "/x/../wagers", "/%77agers?x=/", "/./wagers"],
)
def test_no_spelling_of_a_path_evades_a_rule(path):
    """Guards against a wager that runs twice under another spelling."""
    wager = sycamoreloft_config.Operation("POST", "/wagers", at_most_once=True)
    service = sycamoreloft_config.Service("s", False, operations=(wager,))
    match = sycamoreloft_config.match_operation
    assert match(service, "POST", path) == wager
    assert not match(service, "GET", path).at_most_once
    assert not match(service, "POST", "/x" + "/wagers").at_most_once
