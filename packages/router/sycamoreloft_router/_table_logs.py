"""Log lines about reads of the platform's tables."""

import asyncio
import logging

from sycamoreloft_router import _call_progress, _logs

# Readers of logs filter by the name of the module that follows tables.
_LOGGER = logging.getLogger("sycamoreloft_router._table_follower")


def log_read(
    table: str,
    call: str,
    newest: int,
    rows: int,
    progress: _call_progress.CallProgress,
    read_at: float,
) -> None:
    """Logs how long each phase of a read took.

    Args:
        table: Name of the table in logs.
        call: Kind of call: "read" or "follow".
        newest: Version of the newest entry.
        rows: Number of entries in the answer.
        progress: When the bytes of the answer arrived.
        read_at: When the answer was decoded, on the clock of the event loop.
    """
    now = asyncio.get_running_loop().time()
    _logs.log_event(
        _LOGGER,
        logging.INFO,
        "table-read",
        table=table,
        call=call,
        newest=newest,
        rows=rows,
        bytes=progress.bytes,
        waited_s=round(progress.first_byte_at - progress.began_at, 3),
        loading_s=round(progress.loading_s, 3),
        decoding_s=round(read_at - progress.last_byte_at, 3),
        applying_s=round(now - read_at, 3),
    )
