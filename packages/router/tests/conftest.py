"""Fixtures of the router's tests."""

import asyncio
from collections import abc
import json
import logging
import pathlib
import sys

import pytest

from sycamoreloft_router import _logs, _upstream_client

# Test files import helper modules, such as raw_peers, from this folder. The
# importlib mode of pytest does not add it to the path.
sys.path.insert(0, str(pathlib.Path(__file__).parent))


def _refuse_constant(name):
    raise ValueError(f"{name} is not JSON")


class LineRecorder(logging.Handler):
    """Records the log lines of the process, decoded from JSON."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        text = _logs.JsonFormatter().format(record)
        self.lines.append(json.loads(text, parse_constant=_refuse_constant))

    def list(self, *events):
        """Lists the lines of the given events."""
        return [line for line in self.lines if line["event"] in events]


@pytest.fixture
def recorder(monkeypatch):
    """Records log lines from level "info" on, with a new rate limiter."""
    monkeypatch.setattr(_logs, "LIMITER", _logs.RateLimiter())
    root = logging.getLogger()
    level = root.level
    handler = LineRecorder()
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    yield handler
    root.removeHandler(handler)
    root.setLevel(level)


@pytest.fixture
def run():
    """Runs a coroutine function with an upstream client."""

    def run_scenario(
        scenario: abc.Callable, connections_per_upstream: int = 12
    ):
        async def main():
            client = _upstream_client.UpstreamClient(
                force_instance=True,
                connections_per_upstream=connections_per_upstream,
            )
            try:
                async with asyncio.timeout(20):
                    return await scenario(client)
            finally:
                client.close()

        return asyncio.run(main())

    return run_scenario


@pytest.fixture
def serve():
    """Runs a scenario with a caller server in front of a raw upstream."""
    import fake_sources
    import raw_peers

    def run_scenario(scenario: abc.Callable, script=None, limits=None):
        async def main():
            async with (
                asyncio.timeout(20),
                raw_peers.RawUpstream(script or raw_peers.echo()) as upstream,
            ):
                sources = fake_sources.FakeSources(upstream.address)
                async with fake_sources.open_server(sources, limits) as harness:
                    await scenario(harness, upstream)

        asyncio.run(main())

    return run_scenario
