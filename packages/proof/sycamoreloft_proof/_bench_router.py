"""The router's caller server with in-process permits, for benchmarks.

`python -m sycamoreloft_proof._bench_router UPSTREAM` prints the listening
address and forwards every request to the upstream ("ip:port"). Each request
gets a permit without a call to a group holder.
"""

import asyncio
from collections import abc
import contextlib
import cProfile
import os
import pstats
import sys

from returns import result

import sycamoreloft_config
from sycamoreloft_router import _caller_server, _permit_server
import sycamoreloft_wire

#: Environment variable with the number of seconds for which the process is
#: profiled; unset or 0 means no profile.
PROFILE_VARIABLE = "SYCAMORELOFT_BENCH_PROFILE_S"


def build_generation() -> sycamoreloft_config.Generation:
    """Builds a generation with one fleet that has one keyed service."""
    service = sycamoreloft_config.Service(
        "tally-board",
        keyed=True,
        deadline_ms=60_000,
        operations=(
            sycamoreloft_config.Operation("POST", "/wagers", at_most_once=True),
            sycamoreloft_config.Operation("GET", "/", repeatable=True),
        ),
    )
    fleet = sycamoreloft_config.Fleet(
        "sledworks",
        sycamoreloft_config.Weights(),
        3_900,
        600,
        {"baleyard-north": sycamoreloft_config.FailureDomain("baleyard-north")},
        {service.name: service},
        {},
    )
    return sycamoreloft_config.Generation(1, {fleet.name: fleet})


class InProcessSources:
    """Grants every permit and claim immediately, without I/O.

    Args:
        upstream: Address of the upstream, as "ip:port".
    """

    def __init__(self, upstream: str) -> None:
        self._upstream = upstream
        #: Generation in force; it never changes.
        self.generation = build_generation()

    def resolve_service(
        self, fleet: str, service: str
    ) -> result.Result[
        sycamoreloft_config.ServiceReference, sycamoreloft_config.NameProblem
    ]:
        """Resolves a service name in the generation."""
        return sycamoreloft_config.resolve_service(
            self.generation, fleet, service
        )

    async def refresh_generation(self, known: int) -> None:
        """Does nothing because the generation never changes."""

    def compute_partition_group(
        self, fleet: str, service: str, partition: int
    ) -> str:
        """Returns the only group, for every partition."""
        return "sledworks/baleyard-north/0"

    def list_near_groups(self, fleet: str, service: str) -> abc.Sequence[str]:
        """Returns the only group, which is in the host's failure domain."""
        return ("sledworks/baleyard-north/0",)

    def list_far_groups(self, fleet: str, service: str) -> abc.Sequence[str]:
        """Returns no group because there is only one failure domain."""
        return ()

    async def request_permit(
        self, request: sycamoreloft_wire.PermitRequest
    ) -> sycamoreloft_wire.PermitGrant:
        """Grants a permit for the only upstream."""
        return sycamoreloft_wire.PermitGrant(
            request.permit, "tally-1", self._upstream, 1, 1, 1_000
        )

    def watch_permit(
        self, group: str, permit: str, on_lost: abc.Callable[[], None]
    ) -> None:
        """Does nothing because no upstream is ever lost."""

    def return_permit(self, returned: sycamoreloft_wire.PermitReturn) -> None:
        """Does nothing because permits are not counted."""

    async def request_claim(
        self, request: sycamoreloft_wire.ClaimRequest
    ) -> sycamoreloft_wire.ClaimAnswer:
        """Grants the claim without storing it."""
        return sycamoreloft_wire.ClaimAnswer("claimed")

    def report_result(
        self, claim_result: sycamoreloft_wire.ClaimResult
    ) -> None:
        """Does nothing because claims are not stored."""


async def main(upstream: str) -> None:
    """Prints the listening address and serves until the process ends.

    Args:
        upstream: Address of the upstream, as "ip:port".
    """
    sources = InProcessSources(upstream)
    server = _permit_server.create_server(
        "host-1",
        "i1",
        sources,
        sources,
        sources,
        sources,
        # The same limit as in the bare forwarder.
        _caller_server.CallerLimits(connections_per_upstream=256),
    )
    print(server.listen("127.0.0.1:0"), flush=True)
    seconds = float(os.environ.get(PROFILE_VARIABLE, "0"))
    if seconds:
        await _profile(seconds)
    await asyncio.Event().wait()


async def _profile(seconds: float) -> None:
    """Profiles the process and prints the slowest functions to stderr."""
    await asyncio.sleep(1.0)
    profile = cProfile.Profile()
    profile.enable()
    await asyncio.sleep(seconds)
    profile.disable()
    with contextlib.redirect_stdout(sys.stderr):
        pstats.Stats(profile).sort_stats("tottime").print_stats(45)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
