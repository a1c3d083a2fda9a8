"""Writes of one machine to the table, one at a time."""

from collections import abc
import dataclasses
import enum
import itertools
import typing

import sycamoreloft_config
from sycamoreloft_decisions import _ownership, _rows, _timing


class WriteStatus(enum.Enum):
    """What became of a write."""

    #: It is not known yet.
    PENDING = "pending"
    #: It took effect.
    STORED = "stored"
    #: It did not take effect and no longer can.
    LOST = "lost"


@dataclasses.dataclass(slots=True)
class _Write:
    """The write in flight, with all its attempts."""

    row: _rows.GroupRow
    row_version: int
    puts: abc.Mapping[str, abc.Mapping[str, typing.Any]]
    #: Sending time of the first attempt. What is derived from a success
    #: counts from it, because any attempt may be the one that took effect.
    first_sent_at: float
    last_sent_at: float
    calls: set[int]
    #: Number and sending time of the read that settles a lost answer.
    read: tuple[int, float] | None = None


class TableWriter:
    """Keeps one write in flight and settles lost answers by reading.

    Every write contains the group row and is conditional on the row's
    version. After a lost answer, the row tells whether the write took effect.
    If it did not, the same content is sent again with the same condition, so
    that at most one of the attempts can take effect and it does not matter
    which.

    Args:
        group: The group.
        calls: Numbers for reads and writes.
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
        """Returns whether a write is in flight or not settled."""
        return self._write is not None

    def get_row(self) -> _rows.GroupRow | None:
        """Returns the group row of the write in flight."""
        return self._write.row if self._write else None

    def get_first_sent_at(self) -> float:
        """Returns when the write in flight was sent first."""
        return self._write.first_sent_at if self._write else 0.0

    def start(
        self,
        row: _rows.GroupRow,
        row_version: int,
        puts: abc.Mapping[str, abc.Mapping[str, typing.Any]],
        now: float,
    ) -> _ownership.WriteRows:
        """Starts a write; none may be in flight."""
        self._write = _Write(row, row_version, puts, now, now, set())
        return self._send(self._write, now)

    def finish(self) -> None:
        """Forgets the write, which is settled."""
        self._write = None

    def owns_call(self, call: int) -> bool:
        """Returns whether an answer belongs to the write in flight."""
        return self._write is not None and call in self._write.calls

    def owns_read(self, call: int) -> bool:
        """Returns whether an answer belongs to the read that settles."""
        write = self._write
        return bool(write and write.read and write.read[0] == call)

    def read(self, now: float) -> abc.Sequence[_ownership.ReadRows]:
        """Reads the row to settle a write that was refused or unanswered."""
        if self._write is None or self._write.read is not None:
            return ()
        call = next(self._calls)
        self._write.read = (call, now)
        return (make_read(self._group, call),)

    def tick(self, now: float) -> abc.Sequence[_ownership.ReadRows]:
        """Reads the row when an answer is overdue."""
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
        """Notes that the read had no answer; it is repeated after a pause."""
        if self.owns_read(call) and self._write is not None:
            retry_at = now + _timing.READ_INTERVAL_S
            self._write.read = (-1, retry_at - _timing.TABLE_TIMEOUT_S)

    def settle(
        self, event: _ownership.RowsRead, now: float
    ) -> tuple[WriteStatus, abc.Sequence[_ownership.WriteRows]]:
        """Compares the row that was read with the write in flight."""
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
    """Builds the read of a group's row and the fleet's assignments."""
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
