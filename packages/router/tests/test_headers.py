"""Tests of parsing and filtering headers."""

import hypothesis
from hypothesis import strategies
import pytest
from tornado import httputil

from sycamoreloft_router import _answer_heads, _caller_connections, _headers

TOKEN = strategies.text("abcXYZ-_", min_size=1, max_size=12)
VALUE = strategies.text("abc ,;:=\u00e9", max_size=12).map(str.strip)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(strategies.lists(strategies.tuples(TOKEN, VALUE)))
def test_own_headers_are_passed_and_system_headers_are_not(pairs):
    """Guards against lost, altered or forged headers."""
    headers = httputil.HTTPHeaders()
    for name, value in pairs:
        headers.add(name, value)
        headers.add("sycamoreloft-" + name, value)
        headers.add("Sycamoreloft_" + name, value)
    lines = _headers.read_fields(headers).lines
    assert not any(b"sycamoreloft" in line.lower() for line in lines)
    for name, value in pairs:
        normal = "-".join(part.capitalize() for part in name.split("-"))
        line = f"{normal}: {value}" if value else f"{normal};"
        assert line.encode("latin1") in lines


HEAD_PARTS = strategies.sampled_from(
    ["A", "b-C", ":", " ", "\t", "\r", "\n", "\r\n", "x", "\x00", "\xe9", "a:1"]
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(strategies.lists(HEAD_PARTS, max_size=12).map("".join))
def test_quick_parser_agrees_with_tornado(block):
    """Guards against heads that the two parsers interpret differently."""
    data = f"GET / HTTP/1.1\r\n{block}\r\n\r\n"
    parsed = _caller_connections.parse_head(data.encode("latin1"))
    if parsed is not None:
        start_line, headers = parsed
        assert start_line == "GET / HTTP/1.1"
        expected = httputil.HTTPHeaders.parse(data.partition("\n")[2])
        assert list(headers.get_all()) == list(expected.get_all())
        assert dict(headers) == dict(expected)


def test_connection_headers_are_dropped_both_ways():
    """Guards against hop-by-hop headers that are forwarded."""
    headers = httputil.HTTPHeaders(
        {"Connection": "close, x-hop", "X-Hop": "1", "Te": "x", "X-Own": "1"}
    )
    lines = _headers.read_fields(headers).lines
    assert [line for line in lines if line[-1:] != b":"] == [b"X-Own: 1"]
    assert _headers.filter_answer_lines(
        [
            (b"connection", b"Connection: X-Hop"),
            (b"x-hop", b"X-Hop: 1"),
            (b"sycamoreloft-outcome", b"Sycamoreloft-Outcome: completed"),
            (b"x-own", b"X-Own: 1"),
        ]
    ) == [b"X-Own: 1"]


@pytest.mark.parametrize(
    "line",
    [
        b"No colon\r\n",
        b" folded: x\r\n",
        b"A: b\rSet-Cookie: c\r\n",
        b"Content-Length: 1, 2\r\n",
        b"Content-Length: -1\r\n",
        b"X: " + b"y" * 70_000 + b"\r\n",
    ],
)
def test_malformed_answer_heads_are_rejected(line):
    """Guards against header lines that smuggle in a second answer."""
    head = _answer_heads.AnswerHead("GET", "a")
    assert head.add_line(b"HTTP/1.1 200 OK\r\n")
    assert not head.add_line(line)
    assert head.describe_problem()


def test_headers_that_any_connection_header_names_are_not_forwarded():
    """Guards against hop-by-hop headers that reach callers."""
    lines = [
        (b"connection", b"Connection: X-First, close"),
        (b"x-first", b"X-First: 1"),
        (b"x-second", b"X-Second: 2"),
        (b"x-other", b"X-Other: 3"),
        (b"connection", b"Connection: x-second"),
        (b"connection", b"Connection:"),
    ]
    assert _headers.filter_answer_lines(lines) == [b"X-Other: 3"]


# Guards against statuses without a meaning, in the permit mode as well.
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"700", b"2000"])
def test_a_status_outside_the_defined_range_is_rejected(status):
    head = _answer_heads.AnswerHead("GET", "a")
    assert not head.add_line(b"HTTP/1.1 " + status + b" No\r\n")
    assert head.problem


# Guards against a status line without its second blank, which callers need to
# tell the status from the reason phrase.
@pytest.mark.parametrize("line", [b"HTTP/1.1 200 \r\n", b"HTTP/1.0 200\r\n"])
def test_a_status_without_a_reason_keeps_its_blank(line):
    head = _answer_heads.AnswerHead("GET", "a")
    assert head.add_line(line)
    assert head.status_line == b"200 "
