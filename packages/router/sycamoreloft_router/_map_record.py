"""The coordinator's record of the map of keys in the store."""

from collections import abc
import logging

import sycamoreloft_direct
from sycamoreloft_router import _coordinator_lease, _direct_ports, _logs

_LOGGER = logging.getLogger(__name__)

#: Reason for the end of a tenure: another coordinator wrote the records.
SUPERSEDED = "superseded"

#: Reason for the end of a tenure: the store was restored from an older copy.
STORE_RESTORED = "store-restored"


class MapRecord:
    """Writes the map of keys until another coordinator writes it.

    Args:
        records: Record store.
        epoch: Epoch of this coordinator.
        version: Version of the record after the last write of this
            coordinator.
        era: Era of the store in which this coordinator was elected.
        end_tenure: Called with the reason if this coordinator may no longer
            act.
    """

    def __init__(
        self,
        records: _direct_ports.RecordStore,
        epoch: int,
        version: int,
        era: int,
        end_tenure: abc.Callable[[str], None],
    ) -> None:
        self._records = records
        self._epoch = epoch
        self._version = version
        self._era = era
        self._end_tenure = end_tenure

    async def write(self, key_map: sycamoreloft_direct.KeyMap) -> bool:
        """Writes a map.

        Returns:
            Whether the store has recorded the map.
        """
        key = _coordinator_lease.MAP_KEY
        outcome = await self._records.write(
            {key: sycamoreloft_direct.encode_key_map(key_map)},
            {key: self._version},
        )
        is_written = outcome.result is _direct_ports.WriteResult.WRITTEN
        if _direct_ports.is_other_era(outcome.era, self._era):
            # The write may have matched a version that was assigned again.
            is_written = False
            self._end_tenure(STORE_RESTORED)
        elif is_written:
            self._version = outcome.version
        elif outcome.result is _direct_ports.WriteResult.CONFLICT:
            is_written = await self._resolve_conflict(key_map)
        _log_write(key_map, outcome.result, is_written)
        return is_written

    async def _resolve_conflict(
        self, key_map: sycamoreloft_direct.KeyMap
    ) -> bool:
        """Reads the record after a conflict, to find out who wrote it.

        Returns:
            Whether an earlier, unanswered write had recorded the map.
        """
        records = await self._records.read()
        if isinstance(records, _direct_ports.ReadProblem):
            return False
        if _direct_ports.is_other_era(records.era, self._era):
            self._end_tenure(STORE_RESTORED)
            return False
        record = records.records.get(_coordinator_lease.MAP_KEY)
        if record is None:
            return False
        try:
            stored = sycamoreloft_direct.decode_key_map(record.value)
        except ValueError as error:
            _logs.log_event(
                _LOGGER, logging.ERROR, "record-malformed", error=str(error)
            )
            self._end_tenure(SUPERSEDED)
            return False
        if stored.epoch != self._epoch:
            self._end_tenure(SUPERSEDED)
            return False
        # An earlier write of this coordinator took effect; the next write
        # replaces its version.
        self._version = record.version
        return stored == key_map


def _log_write(
    key_map: sycamoreloft_direct.KeyMap,
    result: _direct_ports.WriteResult,
    is_written: bool,
) -> None:
    if is_written:
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "key-map-recorded",
            epoch=key_map.epoch,
            revision=key_map.revision,
        )
        return
    _logs.log_event(
        _LOGGER,
        logging.WARNING,
        "key-map-not-recorded",
        revision=key_map.revision,
        result=result.value,
    )
