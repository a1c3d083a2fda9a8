"""How a host that does not hold a group decides to take it."""

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
class Taken:
    """This host's write that takes the group took effect."""

    #: The row as it was written.
    row: _rows.GroupRow
    #: Its version in the table.
    row_version: int
    #: Time at which the write was sent first.
    written_at: float
    #: Assignments of all groups of the fleet at that version.
    tables: abc.Mapping[sycamoreloft_config.GroupName, _rows.AssignmentTable]
    #: Time at which all grants of earlier holders have certainly ended,
    #: infinite if the row lists holders that are not known to have stopped.
    earlier_end: float
    #: Time at which the offline limit has certainly stopped them, with the
    #: wait for their grants.
    offline_end: float


class Takeover:
    """Reads the row, decides, and writes the row with the next epoch.

    Args:
        host: Name of this host.
        incarnation: Random identifier of this process.
        group: The group.
        standby: This host's promises for the group.
        calls: Numbers for reads and writes.
        now: Clock reading in seconds.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        group: sycamoreloft_config.GroupName,
        standby: _standby.StandbyDesk,
        calls: "itertools.count[int]",
        now: float,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._group = group
        self._standby = standby
        self._calls = calls
        self._started_at = now
        self._heard: abc.Mapping[str, float] = {}
        self._claims: abc.Mapping[str, int] = {}
        self._word_at = now
        self._known: _ownership.RowsRead | None = None
        # Time at which the known version of the row was read first.
        self._seen_at = now
        self._read: tuple[int, float] | None = None
        self._read_again_at = now
        self._writer = _table_writer.TableWriter(group, calls)
        self._taken: Taken | None = None
        self._offline_limit_s = 0.0

    def set_offline_limit(self, offline_limit_s: float) -> None:
        """Sets the offline limit of the accepted generation."""
        self._offline_limit_s = offline_limit_s

    def observe(self, event: _ownership.MembersObserved) -> None:
        """Notes who was heard and who says that it holds the group."""
        self._heard = event.last_progress
        self._claims = event.announced_epochs

    def note_row(self, event: _ownership.RowsRead, now: float) -> None:
        """Remembers the row that a read returned."""
        known = self._known
        if known is None or known.row_version != event.row_version:
            self._seen_at = now
        if known is None or known.row_version <= event.row_version:
            self._known = event

    def restart(self, now: float) -> None:
        """Starts to watch the group after this host held it."""
        self._word_at = now
        self._read = None
        self._read_again_at = now
        self._known = None

    def tick(self, now: float) -> abc.Sequence[_ownership.Command]:
        """Starts a read if the group may have to be taken."""
        if self._writer.is_busy():
            return self._writer.tick(now)
        if self._read and now >= self._read[1] + _timing.TABLE_TIMEOUT_S:
            self._read = None
        if self._read or now < self._read_again_at or not self._is_wanted(now):
            return ()
        self._read = (next(self._calls), now)
        return (_table_writer.make_read(self._group, self._read[0]),)

    def receive(
        self, event: _ownership.Event, now: float
    ) -> tuple[Taken | None, abc.Sequence[_ownership.Command]]:
        """Handles an answer of the table.

        Returns:
            What was taken, if this answer settles it, and commands.
        """
        match event:
            case _ownership.RowsRead():
                return self._receive_rows(event, now)
            case _ownership.ReadFailed(call):
                if self._read and self._read[0] == call:
                    self._read = None
                    self._read_again_at = now + _timing.READ_INTERVAL_S
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

    def _receive_rows(
        self, event: _ownership.RowsRead, now: float
    ) -> tuple[Taken | None, abc.Sequence[_ownership.Command]]:
        if self._writer.owns_read(event.call):
            self.note_row(event, now)
            settled, commands = self._writer.settle(event, now)
            if settled is _table_writer.Settled.STORED:
                return self._finish(event.row_version), ()
            if settled is _table_writer.Settled.LOST:
                self._writer.finish()
                self._standby.end_taking()
            return None, commands
        if self._read is None or self._read[0] != event.call:
            return None, ()
        self._read = None
        self._read_again_at = now + _timing.READ_INTERVAL_S
        self.note_row(event, now)
        return None, self._decide(event, now)

    def _decide(
        self, event: _ownership.RowsRead, now: float
    ) -> abc.Sequence[_ownership.Command]:
        row = event.row
        if self._standby.is_bound(now):
            return ()
        if row is None:
            ready_at = self._started_at + self._get_rank_delay("")
            return self._take(event, (), now, now) if now >= ready_at else ()
        is_proved = self._standby.may_take(row, now)
        if not is_proved and self._standby.wants_group(now):
            self._standby.forget()
        is_handed_over = row.holder == "" and row.standby == self._host
        if not (is_proved or is_handed_over or self._is_silent(row, now)):
            return ()
        return self._take(event, *self._judge_earlier(row, is_proved, now), now)

    def _judge_earlier(
        self, row: _rows.GroupRow, is_proved: bool, now: float
    ) -> tuple[tuple[_rows.EarlierHolder, ...], float]:
        """Lists holders that may still act, and when the last one ended."""
        # An earlier process of this host ended before this one started.
        earlier = [item for item in row.earlier if item.host != self._host]
        if is_proved:
            ended_at = self._standby.get_end()
        elif row.holder in ("", self._host):
            # It handed over, or its process was replaced by this one.
            ended_at = now
        else:
            ended_at = now
            earlier.append(
                _rows.EarlierHolder(row.epoch, row.holder, row.offline_limit_s)
            )
        return tuple(earlier), ended_at

    def _take(
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
        self._standby.begin_taking(old.epoch if old else 0)
        limit = max(
            (item.offline_limit_s for item in earlier), default=math.inf
        )
        wait = _timing.GRANT_CERTAIN_END_S
        self._taken = Taken(
            row=row,
            row_version=0,
            written_at=now,
            tables=event.tables,
            earlier_end=math.inf if earlier else ended_at + wait,
            offline_end=self._seen_at
            + limit * (1 + _timing.CLOCK_DRIFT)
            + wait,
        )
        return (self._writer.start(row, event.row_version, {}, now),)

    def _finish(self, row_version: int) -> Taken | None:
        self._writer.finish()
        self._standby.end_taking()
        self._standby.forget()
        taken, self._taken = self._taken, None
        if taken is None:
            return None
        return dataclasses.replace(taken, row_version=row_version)

    def _is_wanted(self, now: float) -> bool:
        if self._known is None or self._known.row is None:
            return True
        if self._standby.wants_group(now):
            return True
        return self._is_silent(self._known.row, now)

    def _is_silent(self, row: _rows.GroupRow, now: float) -> bool:
        """Tells whether holder and standby have been silent long enough."""
        for host, epoch in self._claims.items():
            if epoch >= row.epoch:
                self._word_at = max(self._word_at, self._heard.get(host, 0.0))
        silence = _timing.TAKEOVER_SILENCE_S + self._get_rank_delay(row.holder)
        if now < self._word_at + silence:
            return False
        is_standby_heard = (
            row.standby not in ("", self._host)
            and now
            < self._heard.get(row.standby, -math.inf)
            + _timing.TAKEOVER_SILENCE_S
        )
        if is_standby_heard:
            silence += _timing.STANDBY_PREFERENCE_S
        return now >= self._word_at + silence

    def _get_rank_delay(self, holder: str) -> float:
        hosts = {*self._heard, self._host} - {holder}
        ranked = sycamoreloft_config.rank_by_rendezvous(str(self._group), hosts)
        if self._host not in ranked:
            return len(ranked) * _timing.TAKEOVER_RANK_S
        return ranked.index(self._host) * _timing.TAKEOVER_RANK_S
