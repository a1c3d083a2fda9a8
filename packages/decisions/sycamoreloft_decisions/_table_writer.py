"""Conditional writes of the group row, one at a time."""

from collections import abc
import dataclasses
import enum
import itertools
import typing

import sycamoreloft_config
from sycamoreloft_decisions import _ownership, _rows, _timing


class WriteStatus(enum.Enum):
    """What is known about the outcome of a write."""

    #: It is not known whether the write was or will be committed.
    PENDING = "pending"
    #: The write was committed.
    STORED = "stored"
    #: The write was not committed, and its condition can't be met any more.
    LOST = "lost"


@dataclasses.dataclass(slots=True)
class _Write:
    """The write in flight, with all its attempts."""

    row: _rows.GroupRow
    row_version: int
    puts: abc.Mapping[str, abc.Mapping[str, typing.Any]]
    #: Send time of the first attempt. Deadlines that start with a committed
    #: write are computed from it, because the committed attempt is not known.
    first_sent_at: float
    last_sent_at: float
    calls: set[int]
    #: Identifier and send time of the read that determines the outcome; None if
    #: no read is outstanding.
    read: tuple[int, float] | None = None


class TableWriter:
    """Keeps at most one write in flight and determines its outcome.

    Every write contains the group row and is conditional on the version of
    that row. If no answer arrives, the row is read to determine whether the
    write was committed. If it was not, the same content is sent again with the
    same condition, so that at most one of the attempts can be committed.

    Args:
        group: The group.
        calls: Source of identifiers for reads and writes.
    """

    def __init__(
        self,
        group: sycamoreloft_config.GroupName,
        calls: "itertools.count[int]",
    ) -> None:
        self._group = group
        self._calls = calls
        self._write: _Write | None = None

    def is_busy(self) -> bool:
        """Returns whether there is a write whose outcome is not known."""
        return self._write is not None

    def get_row(self) -> _rows.GroupRow | None:
        """Returns the group row of the write in flight, None without one."""
        return self._write.row if self._write else None

    def get_first_sent_at(self) -> float:
        """Returns when the first attempt of the write in flight was sent."""
        return self._write.first_sent_at if self._write else 0.0

    def start(
        self,
        row: _rows.GroupRow,
        row_version: int,
        puts: abc.Mapping[str, abc.Mapping[str, typing.Any]],
        now: float,
    ) -> _ownership.WriteRows:
        """Starts a write; no other write may be in flight.

        Args:
            row: New group row.
            row_version: Version on which the write is conditional.
            puts: New assignment rows, by table key.
            now: Clock reading in seconds.
        """
        self._write = _Write(row, row_version, puts, now, now, set())
        return self._send(self._write, now)

    def finish(self) -> None:
        """Discards the write in flight, once its outcome is known."""
        self._write = None

    def owns_call(self, call: int) -> bool:
        """Returns whether a call is an attempt of the write in flight."""
        return self._write is not None and call in self._write.calls

    def owns_read(self, call: int) -> bool:
        """Returns whether a call is the outstanding read of this writer."""
        write = self._write
        return bool(write and write.read and write.read[0] == call)

    def read(self, now: float) -> abc.Sequence[_ownership.ReadRows]:
        """Reads the row to determine the outcome of the write.

        A refused attempt requires a read, too: if an earlier attempt of the
        same write was committed, it changed the version of the row.
        """
        if self._write is None or self._write.read is not None:
            return ()
        call = next(self._calls)
        self._write.read = (call, now)
        return (make_read(self._group, call),)

    def tick(self, now: float) -> abc.Sequence[_ownership.ReadRows]:
        """Reads the row if the answer to the write or read is overdue."""
        write = self._write
        if write is None:
            return ()
        if write.read is not None:
            if now < write.read[1] + _timing.TABLE_TIMEOUT_S:
                return ()
            write.read = None
            return self.read(now)
        if now >= write.last_sent_at + _timing.TABLE_TIMEOUT_S:
            return self.read(now)
        return ()

    def fail_read(self, call: int, now: float) -> None:
        """Schedules a retry of a read that failed."""
        if self.owns_read(call) and self._write is not None:
            # No call has the identifier -1. `tick` repeats the read when the
            # timeout of this placeholder ends, which is at `retry_at`.
            retry_at = now + _timing.READ_INTERVAL_S
            self._write.read = (-1, retry_at - _timing.TABLE_TIMEOUT_S)

    def resolve(
        self, event: _ownership.RowsRead, now: float
    ) -> tuple[WriteStatus, abc.Sequence[_ownership.WriteRows]]:
        """Determines the outcome of the write in flight from the stored row.

        Returns:
            The status of the write, and the next attempt if it must be retried.
        """
        write = self._write
        if write is None:
            return WriteStatus.LOST, ()
        write.read = None
        if event.row is not None and _is_same_write(event.row, write.row):
            return WriteStatus.STORED, ()
        if event.row_version == write.row_version:
            return WriteStatus.PENDING, (self._send(write, now),)
        return WriteStatus.LOST, ()

    def _send(self, write: _Write, now: float) -> _ownership.WriteRows:
        call = next(self._calls)
        write.calls.add(call)
        write.last_sent_at = now
        return _ownership.WriteRows(
            call=call,
            row_key=_rows.format_group_key(self._group),
            row_version=write.row_version,
            row=write.row,
            puts=write.puts,
        )


def make_read(
    group: sycamoreloft_config.GroupName, call: int
) -> _ownership.ReadRows:
    """Builds the command that reads a group's row and all assignments."""
    return _ownership.ReadRows(
        call,
        _rows.format_group_key(group),
        _rows.format_fleet_prefix(group.fleet),
    )


def _is_same_write(left: _rows.GroupRow, right: _rows.GroupRow) -> bool:
    return (left.epoch, left.incarnation, left.heartbeat) == (
        right.epoch,
        right.incarnation,
        right.heartbeat,
    )
