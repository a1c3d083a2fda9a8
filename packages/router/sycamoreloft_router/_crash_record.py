"""The record of crashes in the store, which outlives all processes.

The coordinator writes it, and each host that reads the shared records takes the
crashes from it: to become the coordinator, or to find it.
"""

import asyncio
from collections import abc
import logging

import msgpack

import sycamoreloft_direct
from sycamoreloft_router import _datagram_codec, _direct_ports, _logs

_LOGGER = logging.getLogger(__name__)

#: Key of the record.
CRASHES_KEY = "crashes"

#: Minimum seconds between two writes. A crash breaks the connections of several
#: hosts, whose reports arrive within this time.
SAVE_INTERVAL_S = 1.0


class CrashRecord:
    """Passes calls for the shared records on, and keeps the crashes there.

    Implements `_direct_ports.RecordStore`.

    Args:
        records: The shared records.
        guard: Counts crashes of upstreams by request.
    """

    def __init__(
        self,
        records: _direct_ports.RecordStore,
        guard: sycamoreloft_direct.CrashGuard,
    ) -> None:
        self._records = records
        self._guard = guard
        self._version = 0
        self._saved_revision = guard.revision
        #: Difference between the store's clock and that of the event loop, in
        #: seconds; None before the first read.
        self._clock_offset_s: float | None = None
        self._save_requested = asyncio.Event()

    async def read(
        self,
    ) -> _direct_ports.RecordSnapshot | _direct_ports.ReadProblem:
        """Reads all records, and takes the crashes from theirs."""
        answer = await self._records.read()
        if isinstance(answer, _direct_ports.RecordSnapshot):
            self._observe(answer)
        return answer

    async def write(
        self,
        values: abc.Mapping[str, bytes],
        expected: abc.Mapping[str, int],
    ) -> _direct_ports.WriteOutcome:
        """Writes records, all or none; see `_direct_ports.RecordStore`."""
        return await self._records.write(values, expected)

    def request_save(self) -> None:
        """Has the crashes written if they changed; for the coordinator."""
        if self._guard.revision != self._saved_revision:
            self._save_requested.set()

    async def run(self) -> None:
        """Writes the crashes on request until cancelled."""
        while True:
            await self._save_requested.wait()
            self._save_requested.clear()
            await self._save()
            await asyncio.sleep(SAVE_INTERVAL_S)

    async def _save(self) -> None:
        """Writes the crashes; a write that fails is requested again."""
        if self._clock_offset_s is None:
            await self.read()
        if self._clock_offset_s is None:
            return
        now = asyncio.get_running_loop().time()
        revision = self._guard.revision
        crashes = self._guard.describe_all(now).crashes
        outcome = await self._records.write(
            {CRASHES_KEY: _encode(now + self._clock_offset_s, crashes)},
            {CRASHES_KEY: self._version},
        )
        if outcome.result is _direct_ports.WriteResult.WRITTEN:
            self._version = outcome.version
            self._saved_revision = revision
        elif outcome.result is _direct_ports.WriteResult.CONFLICT:
            # Another coordinator wrote it, or an earlier write of this one that
            # was not answered.
            await self.read()
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "crashes-saved",
            requests=len(crashes),
            result=outcome.result.value,
        )

    def _observe(self, snapshot: _direct_ports.RecordSnapshot) -> None:
        now = asyncio.get_running_loop().time()
        self._clock_offset_s = snapshot.clock_s - now
        record = snapshot.records.get(CRASHES_KEY)
        self._version = record.version if record is not None else 0
        if record is None:
            return
        try:
            saved_at, crashes = _decode(record.value)
        except ValueError as error:
            # The next write replaces it.
            _logs.log_event(
                _LOGGER,
                logging.ERROR,
                "crash-record-malformed",
                error=str(error),
            )
            return
        # The crashes are as much older as the record is.
        report = sycamoreloft_direct.CrashReport(crashes)
        stopped = self._guard.merge(
            report, now - max(0.0, snapshot.clock_s - saved_at), now
        )
        if stopped:
            _logs.log_event(
                _LOGGER,
                logging.WARNING,
                "requests-quarantined",
                fingerprints=[f"{item:016x}" for item in stopped],
                source="record",
            )


def _encode(
    saved_at: float,
    crashes: abc.Mapping[int, tuple[sycamoreloft_direct.ReportedCrash, ...]],
) -> bytes:
    """Encodes crashes for the store.

    Args:
        saved_at: Time on the store's clock, in seconds.
        crashes: Crashes by request.
    """
    return bytes(
        msgpack.packb((saved_at, _datagram_codec.encode_crashes(crashes)))
    )


def _decode(
    data: bytes,
) -> tuple[
    float, abc.Mapping[int, tuple[sycamoreloft_direct.ReportedCrash, ...]]
]:
    """Decodes a record.

    Returns:
        When it was written, in seconds of the store's clock, and the crashes by
        request.

    Raises:
        ValueError: The bytes are not an encoded record.
    """
    try:
        saved_at, crashes = msgpack.unpackb(data, strict_map_key=False)
        return float(saved_at), _datagram_codec.decode_crashes(crashes)
    except (
        msgpack.UnpackException,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise ValueError(f"not an encoded record: {error}") from error
