"""Tests of the parser of fleet and merge files."""

import pathlib
import re

import hypothesis
from hypothesis import strategies
import pytest
from returns import result

import sycamoreloft_config

SMALL = """
kind = "fleet"
name = "a"
[[upstreams]]
name = "u"
service = "s"
failure_domain = "d"
address = "[::1]:1"
slots = 2
[[failure_domains]]
name = "d"
[[services]]
name = "s"
keyed = true
[[services.operations]]
method = "POST"
path_prefix = "/wager"
at_most_once = true
"""


def list_paths(text):
    """Returns the paths of all problems of a text."""
    parsed = sycamoreloft_config.parse_file(text, "file.toml")
    return [problem.path for problem in parsed.failure()]


def test_examples_have_the_sizes_of_the_users_fleets(example_texts):
    """Guards against examples that no longer match the users' fleets."""
    sizes = {}
    for name in ("fleet/sledworks", "fleet/isuku"):
        fleet = sycamoreloft_config.parse_file(
            example_texts[name], name
        ).unwrap()
        assert len(fleet.failure_domains) == 3
        for upstream in fleet.upstreams.values():
            sizes[upstream.service] = sizes.get(upstream.service, 0) + 1
    assert sizes == {
        "tally-board": 18,
        "paddock-ledger": 12,
        "steward-reel": 6,
        "mat-status": 16,
        "pickup-book": 8,
        "wash-photos": 6,
    }


def test_the_files_of_the_guide_are_valid():
    """Guards against examples in the guide that the router refuses."""
    guide = pathlib.Path(__file__).parents[3] / "docs" / "operators.md"
    blocks = re.findall(r"```toml\n(.*?)```", guide.read_text(), re.DOTALL)
    files = [block for block in blocks if "kind =" in block]
    assert len(files) == 3
    for text in files:
        sycamoreloft_config.parse_file(text, "guide").unwrap()


def test_one_pass_reports_every_problem():
    """Guards against a parser that stops at the first problem."""
    text = (
        SMALL.replace('name = "a"', 'name = "a/b"\noffline_limt_s = 3')
        .replace('service = "s"', 'service = "t"')
        .replace("slots = 2", "slots = 301\nlost = 1")
        .replace("keyed = true", 'keyed = "yes"\ndeadline_ms = 0')
        .replace('"/wager"', '"wager"\nrepeatable = true')
    )
    assert set(list_paths(text)) == {
        "name",
        "offline_limt_s",
        "upstreams[0].service",
        "upstreams[0].slots",
        "upstreams[0].lost",
        "services[0].keyed",
        "services[0].deadline_ms",
        "services[0].operations[0].path_prefix",
        "services[0].operations[0].repeatable",
    }


def test_a_problem_names_file_place_and_remedy():
    """Guards against a message that leaves the operator without a remedy."""
    text = SMALL.replace("slots", "slotz")
    problems = sycamoreloft_config.parse_file(text, "f.toml").failure()
    assert [str(item) for item in problems][-1].startswith(
        "f.toml: upstreams[0].slotz: the field is not known; did you mean"
        " 'slots'?"
    )


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ('"[::1]:1"', '"localhost:1"', "upstreams[0].address"),
        ('"[::1]:1"', '"0.0.0.0:1"', "upstreams[0].address"),
        ('"[::1]:1"', '"127.0.0.1:70000"', "upstreams[0].address"),
        ("slots = 2", "slots = true", "upstreams[0].slots"),
        ("slots = 2", "slots = 0", "upstreams[0].slots"),
        ("slots = 2", f"slots = 1{'0' * 400}", "upstreams[0].slots"),
        ("slots = 2", "slots = 1979-05-27", "upstreams[0].slots"),
        ("slots = 2", "slots = nan", "upstreams[0].slots"),
        (
            'name = "a"',
            f"name = 'a'\nclaim_window_s = -1{'0' * 400}",
            "claim_window_s",
        ),
        ('name = "a"', 'name = "a"\noffline_limit_s = inf', "offline_limit_s"),
        ('kind = "fleet"', 'kind = "fleets"', "kind"),
        ('kind = "fleet"', f"kind = {'[' * 9000}", ""),
        ('kind = "fleet"', f"kind = {'9' * 9000}", ""),
        ('kind = "fleet"', "# " + "x" * 2**20, ""),
        ("[[services]]", "[[services]]\nname='s'\nkeyed=true\n[[services]]", 0),
        (
            'name = "a"',
            'name = "a"\nweights.churn = nan',
            "weights.churn",
        ),
    ],
)
def test_wrong_values_are_problems_and_not_exceptions(old, new, path):
    """Guards against values that TOML allows and the router cannot use."""
    paths = list_paths(SMALL.replace(old, new))
    assert (path or "services[1].name" if path == 0 else path) in paths


def test_a_rule_behind_a_wider_rule_is_a_problem():
    """Guards against an at_most_once rule that silently never applies."""
    text = SMALL.replace(
        "[[services.operations]]",
        '[[services.operations]]\npath_prefix = "/"\n[[services.operations]]',
    )
    assert list_paths(text) == ["services[0].operations[1].path_prefix"]


def test_two_spellings_of_an_address_are_one_address():
    """Guards against one server that is listed twice under two spellings."""
    text = (
        SMALL
        + """
[[upstreams]]
name = "v"
service = "s"
failure_domain = "d"
slots = 1
address = "[0:0:0:0:0:0:0:1]:1"
"""
    )
    assert list_paths(text) == ["upstreams[1].address"]


def test_many_problems_are_cut_off():
    """Guards against a list of problems that is longer than the file."""
    lines = "".join(f"x{number} = 1\n" for number in range(1000))
    text = SMALL.replace("[[upstreams]]", lines + "[[upstreams]]")
    assert len(list_paths(text)) == 201


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    position=strategies.integers(0, len(SMALL)),
    removed=strategies.integers(0, 30),
    added=strategies.text(max_size=8),
)
def test_any_edit_of_a_file_is_a_node_or_problems(position, removed, added):
    """Guards against exceptions of the parser for unexpected content."""
    text = SMALL[:position] + added + SMALL[position + removed :]
    match sycamoreloft_config.parse_file(text, "f"):
        case result.Failure(problems):
            assert problems
            assert all(item.remedy for item in problems)
        case result.Success(node):
            assert node.name
