"""Blocks merged services until their aliases are released.

After a merge, the upstreams of an alias must release its keys before the
canonical service may be served. All groups of one host share this state.
"""

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
    """Polls the table until the aliases of merged services are released.

    Args:
        store: Client of the table that holds the assignments.
    """

    def __init__(self, store: _store_client.StoreClient) -> None:
        self._store = store
        self._machine = sycamoreloft_decisions.AliasRelease()
        self._logged_waiting: abc.Mapping[str, abc.Sequence[str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def apply_generations(
        self,
        accepted: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        """Applies a new accepted or pending generation."""
        self._feed(sycamoreloft_decisions.GenerationChanged(accepted, pending))

    def tick(self, fleet: str) -> None:
        """Polls the table if a service of the fleet waits.

        Called periodically while this host holds a group of the fleet. Other
        hosts do not poll, so that the load on the table does not grow with
        the number of hosts while an alias is not released.
        """
        waiting = self._machine.list_waiting()
        if any(name.split("/")[0] == fleet for name in waiting):
            self._feed(sycamoreloft_decisions.Tick())

    def is_released(self, fleet: str, service: str) -> bool:
        """Returns whether all aliases of a canonical service are released."""
        return self._machine.is_released(fleet, service)

    def wrap_owners(
        self, fleet: str, owners: _group_permits.OwnerSource
    ) -> "ReleasedOwners":
        """Wraps the owners of a fleet; services that wait have no owners."""
        return ReleasedOwners(fleet, owners, self)

    def list_waiting(self) -> abc.Mapping[str, abc.Sequence[str]]:
        """Returns the aliases that are not released, by canonical service."""
        return self._machine.list_waiting()

    def _feed(self, event: sycamoreloft_decisions.AliasEvent) -> None:
        for command in self._machine.handle(event, time.monotonic()):
            task = asyncio.get_running_loop().create_task(
                self._read_rows(command)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._log_changes()

    async def _read_rows(
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
        if waiting == self._logged_waiting:
            return
        self._logged_waiting = waiting
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "alias-releases",
            waiting={name: list(aliases) for name, aliases in waiting.items()},
        )


class ReleasedOwners:
    """Owners of keys; a service with unreleased aliases has none.

    The owner is looked up again when a permit is issued for a queued request.
    Requests that were queued before the merge therefore wait for the release,
    too.

    Args:
        fleet: Name of the group's fleet.
        owners: Owners of keys, regardless of aliases.
        releases: Services whose aliases are released.
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
        """Returns the owner of a key, or why the key has no owner now."""
        if not self._releases.is_released(self._fleet, service):
            return sycamoreloft_decisions.NoOwner(
                sycamoreloft_decisions.WaitReason.TRANSFER_PENDING
            )
        return self._owners.find_owner(service, key, partition, now)

    def get_epoch(self) -> int:
        """Returns the epoch in which this host holds the group."""
        return self._owners.get_epoch()

    def may_act(self, now: float) -> bool:
        """Returns whether this host may issue permits now."""
        return self._owners.may_act(now)
