"""Fixtures of the router's tests."""

import asyncio
from collections import abc
import pathlib
import sys

import pytest

from sycamoreloft_router import _upstream_client

# Test files import the helper module raw_peers from this folder, which
# pytest's importlib mode does not put on the path.
sys.path.insert(0, str(pathlib.Path(__file__).parent))


@pytest.fixture
def run():
    """Runs a coroutine function with an upstream client, then closes it."""

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
    """Runs a scenario with a caller server before a raw upstream."""
    import fake_sources
    import raw_peers

    def run_scenario(scenario: abc.Callable, script=None, limits=None):
        async def main():
            async with (
                asyncio.timeout(20),
                raw_peers.RawUpstream(script or raw_peers.echo()) as upstream,
            ):
                sources = fake_sources.FakeSources(upstream.address)
                async with fake_sources.open_server(sources, limits) as bench:
                    await scenario(bench, upstream)

        asyncio.run(main())

    return run_scenario
