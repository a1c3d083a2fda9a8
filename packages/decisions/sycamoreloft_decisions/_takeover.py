"""Decides when a host takes over a group, and writes the group row."""

from collections import abc
import dataclasses
import itertools
import math

import sycamoreloft_config
from sycamoreloft_decisions import (
    _ownership,
    _rows,
    _standby,
    _table_writer,
    _timing,
)


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverResult:
    """A committed takeover of the group by this host.

    Times are readings of this host's clock in seconds.
    """

    #: The group row that was written.
    row: _rows.GroupRow
    #: Version of the row in the store.
    row_version: int
    #: When the first attempt of the write was sent.
    written_at: float
    #: Assignments of all groups of the fleet, read before the write.
    tables: abc.Mapping[sycamoreloft_config.GroupName, _rows.AssignmentTable]
    #: When all grants of earlier holders have certainly expired; infinite if
    #: the row lists earlier holders that are not known to have stopped.
    earlier_end: float
    #: When the offline limit has stopped the earlier holders and their grants
    #: have expired.
    offline_end: float


class Takeover:
    """Takes over a group whose holder has stopped or makes no progress.

    Reads the group row, decides whether to take over, and then writes the row
    with the next epoch and this host as the holder.

    Args:
        host: Name of this host.
        incarnation: Random identifier of this process.
        group: The group.
        standby: This host's promises for the group.
        calls: Source of identifiers for reads and writes.
        now: Clock reading in seconds.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        group: sycamoreloft_config.GroupName,
        standby: _standby.StandbyPromises,
        calls: "itertools.count[int]",
        now: float,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._group = group
        self._standby = standby
        self._calls = calls
        self._started_at = now
        self._last_progress: abc.Mapping[str, float] = {}
        self._announced_epochs: abc.Mapping[str, int] = {}
        # Last progress of a host that announced to hold the group in the epoch
        # of the row or a later one.
        self._last_announced_at = now
        self._latest_rows: _ownership.RowsRead | None = None
        # When the latest known version of the row was first read.
        self._row_read_at = now
        # Identifier and send time of the read in flight.
        self._read: tuple[int, float] | None = None
        self._next_read_at = now
        self._writer = _table_writer.TableWriter(group, calls)
        self._pending_result: TakeoverResult | None = None
        self._offline_limit_s = 0.0

    def set_offline_limit(self, offline_limit_s: float) -> None:
        """Sets the offline limit to record at the takeover, in seconds."""
        self._offline_limit_s = offline_limit_s

    def record_members(self, event: _ownership.MembersObserved) -> None:
        """Records the progress of hosts and the epochs that they announce."""
        self._last_progress = event.last_progress
        self._announced_epochs = event.announced_epochs

    def record_row(self, event: _ownership.RowsRead, now: float) -> None:
        """Records the group row that a read returned."""
        latest = self._latest_rows
        if latest is None or latest.row_version != event.row_version:
            self._row_read_at = now
        if latest is None or latest.row_version <= event.row_version:
            self._latest_rows = event

    def restart(self, now: float) -> None:
        """Watches the group again, after this host has held it."""
        self._last_announced_at = now
        self._read = None
        self._next_read_at = now
        self._latest_rows = None

    def tick(self, now: float) -> abc.Sequence[_ownership.Command]:
        """Reads the group row if this host may have to take over."""
        if self._writer.is_busy():
            return self._writer.tick(now)
        if self._read and now >= self._read[1] + _timing.TABLE_TIMEOUT_S:
            self._read = None
        if (
            self._read
            or now < self._next_read_at
            or not self._is_read_needed(now)
        ):
            return ()
        self._read = (next(self._calls), now)
        return (_table_writer.make_read(self._group, self._read[0]),)

    def handle_answer(
        self, event: _ownership.Event, now: float
    ) -> tuple[TakeoverResult | None, abc.Sequence[_ownership.Command]]:
        """Handles an answer of the store.

        Returns:
            The takeover if this answer shows that it was committed, else None;
            and commands to perform.
        """
        match event:
            case _ownership.RowsRead():
                return self._handle_rows(event, now)
            case _ownership.ReadFailed(call):
                if self._read and self._read[0] == call:
                    self._read = None
                    self._next_read_at = now + _timing.READ_INTERVAL_S
                self._writer.fail_read(call, now)
            case _ownership.WriteStored(call, version):
                if self._writer.owns_call(call):
                    return self._finish(version), ()
            case _ownership.WriteRefused(call) | _ownership.WriteOutcomeUnknown(
                call
            ):
                if self._writer.owns_call(call):
                    return None, self._writer.read(now)
            case _:
                pass
        return None, ()

    def _handle_rows(
        self, event: _ownership.RowsRead, now: float
    ) -> tuple[TakeoverResult | None, abc.Sequence[_ownership.Command]]:
        if self._writer.owns_read(event.call):
            self.record_row(event, now)
            status, commands = self._writer.resolve(event, now)
            if status is _table_writer.WriteStatus.STORED:
                return self._finish(event.row_version), ()
            if status is _table_writer.WriteStatus.LOST:
                self._writer.finish()
                self._standby.end_takeover()
            return None, commands
        if self._read is None or self._read[0] != event.call:
            return None, ()
        self._read = None
        self._next_read_at = now + _timing.READ_INTERVAL_S
        self.record_row(event, now)
        return None, self._decide(event, now)

    def _decide(
        self, event: _ownership.RowsRead, now: float
    ) -> abc.Sequence[_ownership.Command]:
        row = event.row
        if self._standby.is_takeover_forbidden(now):
            return ()
        if row is None:
            ready_at = self._started_at + self._get_rank_delay("")
            return (
                self._start_takeover(event, (), now, now)
                if now >= ready_at
                else ()
            )
        is_stop_proven = self._standby.is_holder_stopped(row, now)
        if not is_stop_proven and self._standby.is_promise_expired(now):
            self._standby.reset()
        is_handed_over = row.holder == "" and row.standby == self._host
        if not (is_stop_proven or is_handed_over or self._is_silent(row, now)):
            return ()
        return self._start_takeover(
            event, *self._list_active_holders(row, is_stop_proven, now), now
        )

    def _list_active_holders(
        self, row: _rows.GroupRow, is_stop_proven: bool, now: float
    ) -> tuple[tuple[_rows.EarlierHolder, ...], float]:
        """Lists earlier holders that may still act.

        Returns:
            These holders, and when the other ones had stopped at the latest.
        """
        # An earlier process of this host ended before this one started.
        earlier = [item for item in row.earlier if item.host != self._host]
        if is_stop_proven:
            ended_at = self._standby.get_promise_end()
        elif row.holder in ("", self._host):
            # The holder handed the group over, or it was an earlier process of
            # this host.
            ended_at = now
        else:
            ended_at = now
            earlier.append(
                _rows.EarlierHolder(row.epoch, row.holder, row.offline_limit_s)
            )
        return tuple(earlier), ended_at

    def _start_takeover(
        self,
        event: _ownership.RowsRead,
        earlier: tuple[_rows.EarlierHolder, ...],
        ended_at: float,
        now: float,
    ) -> abc.Sequence[_ownership.Command]:
        old = event.row
        row = _rows.GroupRow(
            group=self._group,
            epoch=old.epoch + 1 if old else 1,
            holder=self._host,
            incarnation=self._incarnation,
            staged=old.staged if old else 0,
            heartbeat=1,
            offline_limit_s=self._offline_limit_s,
            earlier=earlier,
        )
        self._standby.begin_takeover(old.epoch if old else 0)
        limit = max(
            (item.offline_limit_s for item in earlier), default=math.inf
        )
        wait = _timing.GRANT_CERTAIN_END_S
        self._pending_result = TakeoverResult(
            row=row,
            row_version=0,
            written_at=now,
            tables=event.tables,
            earlier_end=math.inf if earlier else ended_at + wait,
            offline_end=self._row_read_at
            + limit * (1 + _timing.CLOCK_DRIFT)
            + wait,
        )
        return (self._writer.start(row, event.row_version, {}, now),)

    def _finish(self, row_version: int) -> TakeoverResult | None:
        self._writer.finish()
        self._standby.end_takeover()
        self._standby.reset()
        takeover_result, self._pending_result = self._pending_result, None
        if takeover_result is None:
            return None
        return dataclasses.replace(takeover_result, row_version=row_version)

    def _is_read_needed(self, now: float) -> bool:
        if self._latest_rows is None or self._latest_rows.row is None:
            return True
        if self._standby.is_promise_expired(now):
            return True
        return self._is_silent(self._latest_rows.row, now)

    def _is_silent(self, row: _rows.GroupRow, now: float) -> bool:
        """Returns whether this host may take over for lack of progress.

        The holder must have made no progress for a time that grows with the
        rank of this host, and longer if the standby is alive.
        """
        for host, epoch in self._announced_epochs.items():
            if epoch >= row.epoch:
                self._last_announced_at = max(
                    self._last_announced_at, self._last_progress.get(host, 0.0)
                )
        silence = _timing.TAKEOVER_SILENCE_S + self._get_rank_delay(row.holder)
        if now < self._last_announced_at + silence:
            return False
        is_standby_alive = (
            row.standby not in ("", self._host)
            and now
            < self._last_progress.get(row.standby, -math.inf)
            + _timing.TAKEOVER_SILENCE_S
        )
        if is_standby_alive:
            silence += _timing.STANDBY_PREFERENCE_S
        return now >= self._last_announced_at + silence

    def _get_rank_delay(self, holder: str) -> float:
        hosts = {*self._last_progress, self._host} - {holder}
        ranked = sycamoreloft_config.rank_by_rendezvous(str(self._group), hosts)
        if self._host not in ranked:
            return len(ranked) * _timing.TAKEOVER_RANK_S
        return ranked.index(self._host) * _timing.TAKEOVER_RANK_S
