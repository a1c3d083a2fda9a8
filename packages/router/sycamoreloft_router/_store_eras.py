"""Passes the era of the store on from each answer for the shared records.

The coordinator renews its lease each second, while a call for changes of a
table may wait for many seconds, or hang. So these answers show first that the
store was restored.
"""

from collections import abc

from sycamoreloft_router import _direct_ports


class EraObservingRecords:
    """Reads and writes the shared records, and observes the store's era.

    Implements `_direct_ports.RecordStore`.

    Args:
        records: The records.
        on_era: Called with the era of each answer that names one.
    """

    def __init__(
        self,
        records: _direct_ports.RecordStore,
        on_era: abc.Callable[[int], None],
    ) -> None:
        self._records = records
        self._on_era = on_era

    async def read(
        self,
    ) -> _direct_ports.RecordSnapshot | _direct_ports.ReadProblem:
        """Reads all records."""
        answer = await self._records.read()
        if isinstance(answer, _direct_ports.RecordSnapshot):
            self._observe(answer.era)
        return answer

    async def write(
        self,
        values: abc.Mapping[str, bytes],
        expected: abc.Mapping[str, int],
    ) -> _direct_ports.WriteOutcome:
        """Writes records, all or none; see `_direct_ports.RecordStore`."""
        outcome = await self._records.write(values, expected)
        self._observe(outcome.era)
        return outcome

    def _observe(self, era: int) -> None:
        if era != _direct_ports.UNKNOWN_ERA:
            self._on_era(era)
