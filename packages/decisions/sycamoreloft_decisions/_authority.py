"""The right of a holder to act: promises, confirmation, offline limit."""

from collections import abc
import dataclasses
import itertools

import sycamoreloft_config
from sycamoreloft_decisions import _ownership, _rows, _timing


@dataclasses.dataclass(slots=True)
class _Peer:
    """What one host has promised."""

    valid_until: float = 0.0
    is_final: bool = False
    asked_at: float = -1.0
    #: Sending times of the requests that may still be answered.
    requests: dict[int, float] = dataclasses.field(default_factory=dict)


class Authority:
    """Tells whether the holder of one epoch may act.

    The holder depends on the promise of every host that the table may name
    as its standby: the one in the confirmed row and the one in a write that
    is not settled.

    Args:
        host: Name of this host.
        row: The row that was stored when the group was taken.
        row_version: Its version in the table.
        written_at: Time at which that write was sent first.
        calls: Numbers for requests.
    """

    def __init__(
        self,
        host: str,
        row: _rows.GroupRow,
        row_version: int,
        written_at: float,
        calls: "itertools.count[int]",
    ) -> None:
        self._host = host
        self._row = row
        self._row_version = row_version
        self._written_at = written_at
        self._calls = calls
        self._unsettled: _rows.GroupRow | None = None
        self._peers: dict[str, _Peer] = {}
        self._candidate = ""
        self._avoided: dict[str, float] = {}
        self._is_ended = False

    def get_row(self) -> _rows.GroupRow:
        """Returns the confirmed row."""
        return self._row

    def get_row_version(self) -> int:
        """Returns the table version of the confirmed row."""
        return self._row_version

    def may_act(self, now: float) -> bool:
        """Tells whether the holder may send grants and issue permits."""
        if self._is_ended or now >= self._get_offline_end():
            return False
        return all(
            self._is_promised(host, now) for host in self._list_standbys()
        )

    def end(self) -> None:
        """Ends the authority for good."""
        self._is_ended = True

    def begin_write(self, row: _rows.GroupRow) -> None:
        """Notes that a write was sent; it may take effect at any time."""
        self._unsettled = row

    def confirm(
        self, row: _rows.GroupRow, row_version: int, written_at: float
    ) -> None:
        """Notes that a write took effect.

        Args:
            row: The row that was written.
            row_version: Its version in the table.
            written_at: Time at which the write was sent first.
        """
        self._row = row
        self._row_version = row_version
        self._written_at = written_at
        self._unsettled = None
        if self._candidate == row.standby:
            self._candidate = ""

    def receive(self, event: _ownership.PromiseAnswered, now: float) -> None:
        """Counts a promise from the time at which it was asked for."""
        peer = self._peers.get(event.host)
        asked_at = peer.requests.pop(event.call, None) if peer else None
        if peer is None or asked_at is None:
            return
        if event.final:
            peer.is_final = True
        elif event.promised:
            end = asked_at + _timing.PROMISE_S
            peer.valid_until = max(peer.valid_until, end)
        if not event.promised:
            self._avoided[event.host] = now + _timing.STANDBY_RETRY_S

    def ask(self, now: float) -> abc.Sequence[_ownership.RequestPromise]:
        """Asks every host for a promise that is needed and due."""
        hosts = {*self._list_standbys(), self._candidate} - {""}
        # A later process of the same host must not inherit a promise.
        for host in set(self._peers) - hosts:
            del self._peers[host]
        if self._is_ended:
            return ()
        return tuple(
            self._ask_host(host, now)
            for host in sorted(hosts)
            if self._is_due(host, now)
        )

    def choose_candidate(
        self,
        last_progress: abc.Mapping[str, float],
        group: sycamoreloft_config.GroupName,
        now: float,
    ) -> None:
        """Chooses a host to become the standby, if one is needed."""
        standby = self._row.standby
        peer = self._peers.get(standby)
        is_final = peer is not None and peer.is_final
        if standby and self._is_promised(standby, now) and not is_final:
            self._candidate = ""
            return
        if self._candidate:
            asked = self._peers.get(self._candidate, _Peer())
            if self._avoided.get(self._candidate, 0.0) > now:
                self._candidate = ""
            elif asked.asked_at >= 0 and not self._is_promised(
                self._candidate, now
            ):
                self._drop_silent_candidate(asked, now)
        if not self._candidate:
            self._candidate = self._pick(last_progress, group, now)

    def build_row(
        self,
        staged: int,
        offline_limit_s: float,
        earlier: abc.Sequence[_rows.EarlierHolder],
        now: float,
    ) -> _rows.GroupRow:
        """Builds the row that the next write should store."""
        return dataclasses.replace(
            self._row,
            standby=self._choose_standby(now),
            staged=max(staged, self._row.staged),
            heartbeat=self._row.heartbeat + 1,
            offline_limit_s=offline_limit_s,
            earlier=tuple(earlier),
        )

    def is_write_due(self, row: _rows.GroupRow, now: float) -> bool:
        """Tells whether the row must be written for its own sake."""
        limit = self._row.offline_limit_s * _timing.ROW_HEARTBEAT_SHARE
        interval = min(_timing.ROW_HEARTBEAT_S, limit)
        if now >= self._written_at + interval:
            return True
        unchanged = dataclasses.replace(row, heartbeat=self._row.heartbeat)
        return unchanged != self._row

    def _get_offline_end(self) -> float:
        limit = self._row.offline_limit_s
        if self._unsettled is not None:
            limit = min(limit, self._unsettled.offline_limit_s)
        return self._written_at + limit

    def _list_standbys(self) -> set[str]:
        hosts = {self._row.standby}
        if self._unsettled is not None:
            hosts.add(self._unsettled.standby)
        return hosts - {""}

    def _is_promised(self, host: str, now: float) -> bool:
        peer = self._peers.get(host)
        return peer is not None and (peer.is_final or now < peer.valid_until)

    def _is_due(self, host: str, now: float) -> bool:
        peer = self._peers.get(host)
        if peer is None:
            return True
        if peer.is_final:
            return False
        return now >= peer.asked_at + _timing.PROMISE_INTERVAL_S

    def _ask_host(self, host: str, now: float) -> _ownership.RequestPromise:
        peer = self._peers.setdefault(host, _Peer())
        call = next(self._calls)
        peer.asked_at = now
        peer.requests[call] = now
        for number, asked_at in list(peer.requests.items()):
            if now >= asked_at + _timing.PROMISE_S:
                del peer.requests[number]
        return _ownership.RequestPromise(
            call, host, self._row.epoch, _timing.PROMISE_MS
        )

    def _drop_silent_candidate(self, peer: _Peer, now: float) -> None:
        oldest = min(peer.requests.values(), default=now)
        if now >= oldest + _timing.CANDIDATE_TIMEOUT_S:
            self._avoided[self._candidate] = now + _timing.STANDBY_RETRY_S
            self._candidate = ""

    def _pick(
        self,
        last_progress: abc.Mapping[str, float],
        group: sycamoreloft_config.GroupName,
        now: float,
    ) -> str:
        standby = self._row.standby
        hosts = [
            host
            for host, heard_at in last_progress.items()
            if host not in (self._host, standby)
            and now < heard_at + _timing.TAKEOVER_SILENCE_S
            and self._avoided.get(host, 0.0) <= now
        ]
        ranked = sycamoreloft_config.rank_by_rendezvous(str(group), hosts)
        return ranked[0] if ranked else ""

    def _choose_standby(self, now: float) -> str:
        """Names the standby for the next row.

        A host is named only while its promise is valid: it could otherwise
        take the group as soon as the row names it.
        """
        if self._candidate and self._is_promised(self._candidate, now):
            return self._candidate
        standby = self._row.standby
        return standby if standby and self._is_promised(standby, now) else ""
