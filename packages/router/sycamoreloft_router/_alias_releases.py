"""Adapter of the wait for aliases, shared by all groups of one host."""

import asyncio
from collections import abc
import logging
import time

from returns import pipeline

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_router import _group_permits, _logs, _store_client

_LOGGER = logging.getLogger(__name__)


class AliasReleases:
    """Reads the table until the aliases of merged services are released.

    Args:
        store: The store.
    """

    def __init__(self, store: _store_client.StoreClient) -> None:
        self._store = store
        self._machine = sycamoreloft_decisions.AliasRelease()
        self._logged: abc.Mapping[str, abc.Sequence[str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def apply_generations(
        self,
        accepted: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        """Applies another accepted or pending generation."""
        self._feed(sycamoreloft_decisions.GenerationChanged(accepted, pending))

    def tick(self, fleet: str) -> None:
        """Lets time pass; called while this host holds a group of a fleet.

        Only holders of a canonical service read, because the load on the
        table would otherwise grow with all hosts while one alias waits.
        """
        waiting = self._machine.list_waiting()
        if any(name.split("/")[0] == fleet for name in waiting):
            self._feed(sycamoreloft_decisions.Tick())

    def is_released(self, fleet: str, service: str) -> bool:
        """Tells whether a canonical service may be served."""
        return self._machine.is_released(fleet, service)

    def guard(
        self, fleet: str, owners: _group_permits.OwnerSource
    ) -> "ReleasedOwners":
        """Returns owners that are hidden while their service waits."""
        return ReleasedOwners(fleet, owners, self)

    def list_waiting(self) -> abc.Mapping[str, abc.Sequence[str]]:
        """Returns the unreleased aliases by canonical service."""
        return self._machine.list_waiting()

    def _feed(self, event: sycamoreloft_decisions.AliasEvent) -> None:
        for command in self._machine.handle(event, time.monotonic()):
            task = asyncio.get_running_loop().create_task(self._read(command))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._log_changes()

    async def _read(
        self, command: sycamoreloft_decisions.ReadAliasRows
    ) -> None:
        rows = await self._store.read([], command.prefixes)
        if not pipeline.is_successful(rows):
            self._feed(sycamoreloft_decisions.ReadFailed(command.call))
            return
        tables = sycamoreloft_decisions.decode_tables(
            {key: row.value for key, row in rows.unwrap().items()}
        )
        self._feed(sycamoreloft_decisions.AliasRowsRead(command.call, tables))

    def _log_changes(self) -> None:
        waiting = self._machine.list_waiting()
        if waiting == self._logged:
            return
        self._logged = waiting
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "alias-releases",
            waiting={name: list(found) for name, found in waiting.items()},
        )


class ReleasedOwners:
    """Hides the owners of a service whose aliases are not released.

    The permit desk asks for the owner again when it issues a queued permit,
    so requests that were queued before the merge wait too.

    Args:
        fleet: Fleet of the group.
        owners: Owners by the group's records.
        releases: The wait for aliases.
    """

    def __init__(
        self,
        fleet: str,
        owners: _group_permits.OwnerSource,
        releases: AliasReleases,
    ) -> None:
        self._fleet = fleet
        self._owners = owners
        self._releases = releases

    def find_owner(
        self, service: str, key: str, partition: int, now: float
    ) -> sycamoreloft_decisions.Owner | sycamoreloft_decisions.NoOwner:
        """Returns the owner of a key, or why it has none now."""
        if not self._releases.is_released(self._fleet, service):
            return sycamoreloft_decisions.NoOwner(
                sycamoreloft_decisions.WaitReason.TRANSFER_PENDING
            )
        return self._owners.find_owner(service, key, partition, now)

    def get_epoch(self) -> int:
        """Returns the epoch of the holder."""
        return self._owners.get_epoch()

    def may_act(self, now: float) -> bool:
        """Tells whether this host may issue permits now."""
        return self._owners.may_act(now)
