"""Simulation of all groups of a fleet in virtual time, with one store."""

from collections import abc

import sycamoreloft_config
from sycamoreloft_proof import (
    _ownership_fakes,
    _ownership_oracle,
    _ownership_world,
)

#: The groups are simulated in turn, each for this step of true time.
STEP_S = 0.005
#: Maximum time for all groups to stage a pending generation.
STAGING_S = 20.0


class OwnershipFleet:
    """All groups of a fleet, each with its own hosts and upstreams.

    Args:
        generation: The accepted generation.
        fleet: Name of the fleet.
        host_count: Number of hosts of each group.
        seed: Seed of delays and clocks.
    """

    def __init__(
        self,
        generation: sycamoreloft_config.Generation,
        fleet: str,
        host_count: int,
        seed: int,
    ) -> None:
        self.generation = generation
        self.oracle = _ownership_oracle.OwnershipOracle()
        self.store = _ownership_fakes.FakeStore(self.oracle)
        groups = sycamoreloft_config.list_groups(generation.fleets[fleet])
        self.worlds = [
            _ownership_world.OwnershipWorld(
                generation,
                group,
                [f"{group}-h{index}" for index in range(host_count)],
                seed + number,
                self.store,
            )
            for number, group in enumerate(groups)
        ]

    def run(self, duration: float) -> None:
        """Advances all groups by `duration` seconds of true time."""
        for _ in range(round(duration / STEP_S)):
            for world in self.worlds:
                world.run(STEP_S)

    def change_generation(
        self, generation: sycamoreloft_config.Generation
    ) -> bool:
        """Stages a generation in all groups and then accepts it.

        Returns:
            Whether every group staged it in time. If not, it stays pending
            until the next change replaces it.
        """
        self._announce(self.generation, generation)
        for _ in range(round(STAGING_S / 0.25)):
            self.run(0.25)
            if self._is_staged(generation.number):
                self.generation = generation
                self._announce(generation, None)
                return True
        return False

    def list_unserved(self) -> abc.Set[tuple[str, int, str]]:
        """Returns partitions that no group serves."""
        unserved = [set(world.list_unserved()) for world in self.worlds]
        return set.intersection(*unserved)

    def _announce(
        self,
        generation: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        for world in self.worlds:
            world.adopt_generation(generation, pending)
            world.announce_generation(0.5)

    def _is_staged(self, number: int) -> bool:
        rows = [
            self.store.read(f"group/{world.group}", "-")[0]
            for world in self.worlds
        ]
        return all(row and row["staged"] >= number for row in rows)
