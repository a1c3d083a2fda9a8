"""Resolution of services and look-up of groups for the request path."""

import asyncio
from collections import abc
import typing

from returns import result

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_router import _configuration

#: Maximum time to wait for a newer generation, in seconds.
REFRESH_TIMEOUT_S = 1.0

#: Delay between two attempts to fetch a newer generation, in seconds.
FETCH_RETRY_DELAY_S = 0.02


class GenerationFetcher(typing.Protocol):
    """Fetches newer generations from other hosts."""

    async def fetch_generation(self) -> None:
        """Fetches the files of a newer generation from a host that has it."""


class NameResolver:
    """Implements `NameSource` and `GroupSource` of the request path.

    Args:
        configuration: Generations that this host applies.
        fetcher: Fetches newer generations from other hosts.
        failure_domains: Failure domain of this host by fleet name.
    """

    def __init__(
        self,
        configuration: _configuration.ConfigurationManager,
        fetcher: GenerationFetcher,
        failure_domains: abc.Mapping[str, str],
    ) -> None:
        self._configuration = configuration
        self._fetcher = fetcher
        self._failure_domains = failure_domains
        self._directory = sycamoreloft_decisions.PartitionDirectory(
            configuration.accepted
        )
        self._near: dict[tuple[str, str], list[str]] = {}
        self._far: dict[tuple[str, str], list[str]] = {}

    @property
    def generation(self) -> sycamoreloft_config.Generation:
        """Accepted generation that this host applies."""
        return self._configuration.accepted

    def apply_generation(
        self, generation: sycamoreloft_config.Generation
    ) -> None:
        """Recomputes the groups of all services for a new generation."""
        self._directory = sycamoreloft_decisions.PartitionDirectory(generation)
        self._near, self._far = {}, {}
        for fleet in generation.fleets.values():
            own_domain = self._failure_domains.get(fleet.name)
            for upstream in fleet.upstreams.values():
                domain = fleet.failure_domains[upstream.failure_domain]
                if upstream.lost or upstream.leaving or domain.lost:
                    continue
                groups_by_service = (
                    self._near if domain.name == own_domain else self._far
                )
                groups = groups_by_service.setdefault(
                    (fleet.name, upstream.service), []
                )
                group = str(
                    sycamoreloft_config.compute_group(fleet, upstream.name)
                )
                if group not in groups:
                    groups.append(group)

    def resolve_service(
        self, fleet: str, service: str
    ) -> result.Result[
        sycamoreloft_config.ServiceReference, sycamoreloft_config.NameProblem
    ]:
        """Resolves the fleet and service that a request names."""
        return sycamoreloft_config.resolve_service(
            self.generation, fleet, service
        )

    async def refresh_generation(self, known: int) -> None:
        """Waits until this host applies a generation newer than `known`.

        Returns after `REFRESH_TIMEOUT_S` even if there is no newer generation.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + REFRESH_TIMEOUT_S
        while self.generation.number <= known and loop.time() < deadline:
            await self._fetcher.fetch_generation()
            if self.generation.number <= known:
                await asyncio.sleep(FETCH_RETRY_DELAY_S)

    def compute_partition_group(
        self, fleet: str, service: str, partition: int
    ) -> str | None:
        """Returns the group of a partition, None if it is unknown."""
        group = self._directory.get_group(fleet, service, partition)
        return str(group) if group else None

    def list_near_groups(self, fleet: str, service: str) -> abc.Sequence[str]:
        """Lists groups with upstreams in this host's failure domain."""
        return self._near.get((fleet, service), ())

    def list_far_groups(self, fleet: str, service: str) -> abc.Sequence[str]:
        """Lists groups with upstreams in other failure domains."""
        return self._far.get((fleet, service), ())
