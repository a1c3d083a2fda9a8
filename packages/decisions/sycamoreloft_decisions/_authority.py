"""Decides whether the holder of a group may act in its epoch."""

from collections import abc
import dataclasses
import itertools

import sycamoreloft_config
from sycamoreloft_decisions import _ownership, _rows, _timing


@dataclasses.dataclass(slots=True)
class _Peer:
    """State of the promise of one host; times on the holder's clock."""

    valid_until: float = 0.0
    is_final: bool = False
    requested_at: float = -1.0
    #: Send times of the requests that may still be answered, by identifier.
    requests: dict[int, float] = dataclasses.field(default_factory=dict)


class Authority:
    """The right of a holder to send grants and issue permits in one epoch.

    The holder may act while both hold:

    - Its last confirmed write of the group row is younger than the offline
      limit.
    - Every host that the stored row may name as the standby promises not to
      take over the group. These are the standby in the confirmed row and the
      one in a write whose outcome is not known yet.

    Args:
        host: Name of this host.
        row: The group row that the takeover of this host stored.
        row_version: Version of that row in the store.
        written_at: When the first attempt of that write was sent.
        calls: Source of identifiers for promise requests.
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
        self._unconfirmed_row: _rows.GroupRow | None = None
        self._peers: dict[str, _Peer] = {}
        # Host that is requested to become the standby, empty for none.
        self._candidate = ""
        # Hosts that gave no promise, and when they may be chosen again.
        self._avoided_until: dict[str, float] = {}
        self._is_ended = False

    def get_row(self) -> _rows.GroupRow:
        """Returns the group row of the last confirmed write."""
        return self._row

    def get_row_version(self) -> int:
        """Returns the version of the confirmed row in the store."""
        return self._row_version

    def may_act(self, now: float) -> bool:
        """Returns whether the holder may send grants and issue permits."""
        if self._is_ended or now >= self._get_offline_end():
            return False
        return all(
            self._has_valid_promise(host, now) for host in self._list_standbys()
        )

    def end(self) -> None:
        """Withdraws the right to act for the rest of the epoch."""
        self._is_ended = True

    def begin_write(self, row: _rows.GroupRow) -> None:
        """Records a write that was sent and may be committed at any time."""
        self._unconfirmed_row = row

    def confirm(
        self, row: _rows.GroupRow, row_version: int, written_at: float
    ) -> None:
        """Records that a write of the group row was committed.

        Args:
            row: The row that was written.
            row_version: Version of that row in the store.
            written_at: When the first attempt of the write was sent.
        """
        self._row = row
        self._row_version = row_version
        self._written_at = written_at
        self._unconfirmed_row = None
        if self._candidate == row.standby:
            self._candidate = ""

    def record_promise(
        self, event: _ownership.PromiseAnswered, now: float
    ) -> None:
        """Records the answer to a promise request.

        The promise counts from the time at which the request was sent.
        """
        peer = self._peers.get(event.host)
        requested_at = peer.requests.pop(event.call, None) if peer else None
        if peer is None or requested_at is None:
            return
        if event.final:
            peer.is_final = True
        elif event.promised:
            end = requested_at + _timing.PROMISE_S
            peer.valid_until = max(peer.valid_until, end)
        if not event.promised:
            self._avoided_until[event.host] = now + _timing.STANDBY_RETRY_S

    def request_promises(
        self, now: float
    ) -> abc.Sequence[_ownership.RequestPromise]:
        """Requests the promises that must be obtained or renewed now."""
        hosts = {*self._list_standbys(), self._candidate} - {""}
        # A promise must not be used again if the host becomes standby a second
        # time: its process may have restarted and forgotten the promise.
        for host in set(self._peers) - hosts:
            del self._peers[host]
        if self._is_ended:
            return ()
        return tuple(
            self._request_promise(host, now)
            for host in sorted(hosts)
            if self._is_due(host, now)
        )

    def choose_candidate(
        self,
        last_progress: abc.Mapping[str, float],
        group: sycamoreloft_config.GroupName,
        now: float,
    ) -> None:
        """Chooses a host to become the standby, if there is no usable one.

        Args:
            last_progress: As in `MembersObserved`.
            group: The group, for the ranking of the hosts.
            now: Clock reading in seconds.
        """
        standby = self._row.standby
        peer = self._peers.get(standby)
        is_final = peer is not None and peer.is_final
        if standby and self._has_valid_promise(standby, now) and not is_final:
            self._candidate = ""
            return
        if self._candidate:
            candidate_peer = self._peers.get(self._candidate, _Peer())
            if self._avoided_until.get(self._candidate, 0.0) > now:
                self._candidate = ""
            elif (
                candidate_peer.requested_at >= 0
                and not self._has_valid_promise(self._candidate, now)
            ):
                self._drop_unresponsive_candidate(candidate_peer, now)
        if not self._candidate:
            self._candidate = self._choose_host(last_progress, group, now)

    def build_row(
        self,
        staged: int,
        offline_limit_s: float,
        earlier: abc.Sequence[_rows.EarlierHolder],
        now: float,
    ) -> _rows.GroupRow:
        """Builds the group row for the next write.

        Args:
            staged: Number of the pending generation, 0 if there is none.
            offline_limit_s: Offline limit in seconds.
            earlier: Former holders that are not known to have stopped.
            now: Clock reading in seconds.
        """
        return dataclasses.replace(
            self._row,
            standby=self._choose_standby(now),
            staged=max(staged, self._row.staged),
            heartbeat=self._row.heartbeat + 1,
            offline_limit_s=offline_limit_s,
            earlier=tuple(earlier),
        )

    def is_write_due(self, row: _rows.GroupRow, now: float) -> bool:
        """Returns whether to write the row even if no assignment changed."""
        limit = self._row.offline_limit_s * _timing.ROW_HEARTBEAT_SHARE
        interval = min(_timing.ROW_HEARTBEAT_S, limit)
        if now >= self._written_at + interval:
            return True
        unchanged = dataclasses.replace(row, heartbeat=self._row.heartbeat)
        return unchanged != self._row

    def _get_offline_end(self) -> float:
        limit = self._row.offline_limit_s
        if self._unconfirmed_row is not None:
            limit = min(limit, self._unconfirmed_row.offline_limit_s)
        return self._written_at + limit

    def _list_standbys(self) -> set[str]:
        hosts = {self._row.standby}
        if self._unconfirmed_row is not None:
            hosts.add(self._unconfirmed_row.standby)
        return hosts - {""}

    def _has_valid_promise(self, host: str, now: float) -> bool:
        peer = self._peers.get(host)
        return peer is not None and (peer.is_final or now < peer.valid_until)

    def _is_due(self, host: str, now: float) -> bool:
        peer = self._peers.get(host)
        if peer is None:
            return True
        if peer.is_final:
            return False
        return now >= peer.requested_at + _timing.PROMISE_INTERVAL_S

    def _request_promise(
        self, host: str, now: float
    ) -> _ownership.RequestPromise:
        peer = self._peers.setdefault(host, _Peer())
        call = next(self._calls)
        peer.requested_at = now
        peer.requests[call] = now
        for number, requested_at in list(peer.requests.items()):
            if now >= requested_at + _timing.PROMISE_S:
                del peer.requests[number]
        return _ownership.RequestPromise(
            call, host, self._row.epoch, _timing.PROMISE_MS
        )

    def _drop_unresponsive_candidate(self, peer: _Peer, now: float) -> None:
        oldest = min(peer.requests.values(), default=now)
        if now >= oldest + _timing.CANDIDATE_TIMEOUT_S:
            self._avoided_until[self._candidate] = now + _timing.STANDBY_RETRY_S
            self._candidate = ""

    def _choose_host(
        self,
        last_progress: abc.Mapping[str, float],
        group: sycamoreloft_config.GroupName,
        now: float,
    ) -> str:
        standby = self._row.standby
        hosts = [
            host
            for host, progress_at in last_progress.items()
            if host not in (self._host, standby)
            and now < progress_at + _timing.TAKEOVER_SILENCE_S
            and self._avoided_until.get(host, 0.0) <= now
        ]
        ranked = sycamoreloft_config.rank_by_rendezvous(str(group), hosts)
        return ranked[0] if ranked else ""

    def _choose_standby(self, now: float) -> str:
        """Returns the standby for the next row, empty for none.

        A host without a valid promise could take over the group as soon as
        the stored row names it.
        """
        if self._candidate and self._has_valid_promise(self._candidate, now):
            return self._candidate
        standby = self._row.standby
        return (
            standby if standby and self._has_valid_promise(standby, now) else ""
        )
