"""Tests of the structured logs: format and rate limit."""

import json
import logging

import pytest

from sycamoreloft_router import _logs


@pytest.fixture
def lines(monkeypatch):
    """A logger and its written lines, with a new rate limiter."""
    monkeypatch.setattr(_logs, "LIMITER", _logs.RateLimiter())
    written = []

    class Handler(logging.Handler):
        def emit(self, record):
            written.append(json.loads(_logs.JsonFormatter().format(record)))

    logger = logging.Logger("test")
    logger.addHandler(Handler())
    return logger, written


def test_writes_one_object_with_stable_fields(lines):
    """Guards against lines that a log search cannot read."""
    logger, written = lines
    _logs.log_event(
        logger, logging.WARNING, "upstream-lost", upstream="u", level="x"
    )
    logger.info("plain %s", "text")
    try:
        raise ValueError("broken")
    except ValueError:
        _logs.log_event(logger, logging.ERROR, "failed", exc_info=True)
    assert written[0]["event"] == "upstream-lost"
    assert written[0]["upstream"] == "u"
    assert written[0]["level"] == "warning"
    assert written[1]["message"] == "plain text"
    assert "ValueError: broken" in written[2]["exception"]


def test_clips_long_fields(lines):
    """Guards against a caller's text that fills the log."""
    logger, written = lines
    _logs.log_event(logger, logging.INFO, "e", text="x" * 1_000_000)
    assert len(written[0]["text"]) < 2 * _logs.MAXIMUM_TEXT_CHARACTERS


def test_limits_each_event_by_itself_and_counts_what_is_left_out():
    """Guards against a log full of one event, and against unreported gaps."""
    limiter = _logs.RateLimiter()
    admitted = [limiter.admit("a", 0.0) for _ in range(100)]
    assert admitted == [0] * _logs.BURST_LINES + [None] * (
        100 - _logs.BURST_LINES
    )
    assert limiter.admit("b", 0.0) == 0
    assert limiter.admit("a", 1.0) == 100 - _logs.BURST_LINES
    assert limiter.suppressed_total == 100 - _logs.BURST_LINES


def test_bounds_the_memory_of_the_limit():
    """Guards against memory that grows with the number of event names."""
    limiter = _logs.RateLimiter()
    for number in range(10_000):
        limiter.admit(f"event-{number}", 0.0)
    assert len(limiter._buckets) <= _logs.MAXIMUM_EVENTS + 1
