"""The coordinator's record of the map of keys in the store."""

from collections import abc
import logging

import sycamoreloft_direct
from sycamoreloft_router import _coordinator_lease, _direct_ports, _logs

_LOGGER = logging.getLogger(__name__)


class MapRecord:
    """Writes the map while it is this coordinator's to write.

    Args:
        records: Records of the store.
        epoch: Epoch of the coordinator.
        version: Version of the record as the coordinator wrote it last.
        on_superseded: Called when another coordinator wrote the record.
    """

    def __init__(
        self,
        records: _direct_ports.RecordStore,
        epoch: int,
        version: int,
        on_superseded: abc.Callable[[], None],
    ) -> None:
        self._records = records
        self._epoch = epoch
        self._version = version
        self._on_superseded = on_superseded

    async def write(self, key_map: sycamoreloft_direct.KeyMap) -> bool:
        """Writes a map; tells whether it is recorded."""
        key = _coordinator_lease.MAP_KEY
        outcome = await self._records.write(
            {key: sycamoreloft_direct.encode_key_map(key_map)},
            {key: self._version},
        )
        is_written = outcome.result is _direct_ports.WriteResult.WRITTEN
        if is_written:
            self._version = outcome.version
        elif outcome.result is _direct_ports.WriteResult.CONFLICT:
            is_written = await self._resolve(key_map)
        _log_write(key_map, outcome.result, is_written)
        return is_written

    async def _resolve(self, key_map: sycamoreloft_direct.KeyMap) -> bool:
        """Tells whether an earlier, unanswered write recorded the map."""
        records = await self._records.read()
        if isinstance(records, _direct_ports.ReadProblem):
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
            self._on_superseded()
            return False
        if stored.epoch != self._epoch:
            self._on_superseded()
            return False
        # The next write builds on what is stored.
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
