"""What a direct host currently believes of the platform's tables."""

import asyncio
from collections import abc
import logging
import typing

import sycamoreloft_direct
from sycamoreloft_router import _direct_ports, _logs

_LOGGER = logging.getLogger(__name__)

#: Seconds before a failed read is tried again, at first; doubles.
FIRST_RETRY_S = 0.1

#: Longest such time, in seconds: an entry that is back in the store has to
#: be known again within 2 s.
LONGEST_RETRY_S = 0.5

#: Seconds after a change in which further changes are collected before the
#: table is read again. Each change wakes every host, and calls are limited.
COLLECT_S = 0.4

#: Seconds after the store's return for which a missing entry may come back.
RETURN_GRACE_S = 2.2

#: Seconds after which a host that heard of a newer version reads the table
#: again: longer than it collects changes, and well within the bounds for
#: desired states and leaving upstreams.
BEHIND_S = 0.5

#: Seconds of loading an answer from which on it leaves a log line.
SLOW_LOAD_S = 0.25

#: Failed calls in a row after which the store counts as lost.
FAILURES_TO_LOSE = 2


class TableFollower:
    """Follows one table and keeps what its owner needs current.

    Args:
        name: Name for logs.
        table: The table.
        on_read: Called with all entries after a full read.
        on_changes: Called with the changed entries.
        spread_s: Returns how long a host waits besides after a change, in
            seconds, so that not all hosts call the store at once.
    """

    def __init__(
        self,
        name: str,
        table: _direct_ports.Watched[typing.Any],
        on_read: abc.Callable[[abc.Mapping[str, typing.Any]], None],
        on_changes: abc.Callable[[abc.Mapping[str, typing.Any]], None],
        spread_s: abc.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._spread_s = spread_s
        self._name = name
        self._table = table
        self._on_read = on_read
        self._on_changes = on_changes
        self._failures = 0
        self._version = -1
        self._call: asyncio.Task[typing.Any] | None = None
        self._progress = _direct_ports.CallProgress(0.0)
        self._behind: asyncio.TimerHandle | None = None
        #: Version of the newest entry that was read.
        self.newest = 0
        #: When the store answered last, on the clock of the event loop.
        self.answered_at = 0.0
        #: When the store came back last.
        self.returned_at = 0.0

    @property
    def is_lost(self) -> bool:
        """Whether the store does not answer at present."""
        return self._failures >= FAILURES_TO_LOSE

    async def run(self) -> None:
        """Follows the table until it is cancelled."""
        while True:
            answer = await self._ask()
            if isinstance(answer, _direct_ports.ReadProblem):
                await self._handle_problem(answer)
                continue
            self._note_answer()
            is_read = self._version < 0
            self._version = answer.version
            self.newest = max(self.newest, answer.newest)
            read_at = asyncio.get_running_loop().time()
            if is_read:
                self._on_read(answer.values)
            elif answer.values:
                self._on_changes(answer.values)
            self._log_read(answer, is_read, read_at)
            if answer.values and not is_read:
                await asyncio.sleep(COLLECT_S + self._spread_s())

    def hear(self, newest: int) -> None:
        """Takes the version that another host has.

        If this host does not have it soon, its call hangs: it is given up,
        and the table is read again.
        """
        if newest <= self.newest or self._behind is not None:
            return
        loop = asyncio.get_running_loop()
        self._behind = loop.call_later(BEHIND_S, self._check_behind, newest)

    def ask_again(self) -> None:
        """Gives a call up that began before the store was away.

        The store may never answer it; and what lapsed meanwhile may come
        back, as after a loss that this host noticed itself.
        """
        if self._call is None or self._version < 0:
            return
        self.returned_at = asyncio.get_running_loop().time()
        self._version = -1
        self._call.cancel()

    def _check_behind(self, newest: int) -> None:
        self._behind = None
        if newest <= self.newest or self._call is None:
            return
        _logs.log_event(
            _LOGGER,
            logging.WARNING,
            "table-behind",
            table=self._name,
            newest=self.newest,
            heard=newest,
            call="read" if self._version < 0 else "follow",
            age_s=round(
                asyncio.get_running_loop().time() - self._progress.began_at, 3
            ),
            bytes=self._progress.bytes,
        )
        self._version = -1
        self._call.cancel()

    async def _ask(self) -> typing.Any:
        """Reads or follows the table; a call that is behind is repeated."""
        while True:
            loop = asyncio.get_running_loop()
            self._progress = _direct_ports.CallProgress(loop.time())
            if self._version < 0:
                call = self._table.read(self._progress)
            else:
                call = self._table.follow(self._version, self._progress)
            self._call = loop.create_task(call)
            await asyncio.wait([self._call])
            ended, self._call = self._call, None
            if not ended.cancelled():
                return ended.result()

    def _log_read(
        self,
        answer: _direct_ports.Changes[typing.Any],
        is_read: bool,
        read_at: float,
    ) -> None:
        """Tells how long each part of a full or slow read took."""
        progress = self._progress
        loading_s = progress.last_at - progress.first_at
        if not is_read and loading_s < SLOW_LOAD_S:
            return
        now = asyncio.get_running_loop().time()
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "table-read",
            table=self._name,
            call="read" if is_read else "follow",
            newest=self.newest,
            rows=len(answer.values),
            bytes=progress.bytes,
            waited_s=round(progress.first_at - progress.began_at, 3),
            loading_s=round(loading_s, 3),
            decoding_s=round(read_at - progress.last_at, 3),
            applying_s=round(now - read_at, 3),
        )

    async def _handle_problem(self, problem: _direct_ports.ReadProblem) -> None:
        if problem is _direct_ports.ReadProblem.HISTORY_LOST:
            _logs.log_event(
                _LOGGER, logging.WARNING, "history-lost", table=self._name
            )
            self._version = -1
            return
        # A full read answers at once, which tells when the store is back.
        self._version = -1
        self._failures += 1
        if self._failures == FAILURES_TO_LOSE:
            _logs.log_event(
                _LOGGER, logging.WARNING, "store-lost", table=self._name
            )
        await asyncio.sleep(
            min(FIRST_RETRY_S * 2 ** min(self._failures, 5), LONGEST_RETRY_S)
        )

    def _note_answer(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._failures:
            self.returned_at = now
        if self.is_lost:
            _logs.log_event(
                _LOGGER, logging.INFO, "store-regained", table=self._name
            )
        self._failures = 0
        self.answered_at = now


class StateView:
    """The newest desired state."""

    def __init__(self) -> None:
        #: The desired state in force; None before the first.
        self.state: sycamoreloft_direct.DesiredState | None = None
        #: Routes of the state in force.
        self.routes = sycamoreloft_direct.RouteTable(())

    def take(self, values: abc.Mapping[str, typing.Any]) -> None:
        """Takes entries of the table of desired states."""
        for state in values.values():
            if isinstance(state, sycamoreloft_direct.DesiredState):
                self._apply(state)

    def _apply(self, state: sycamoreloft_direct.DesiredState) -> None:
        known = self.state.version if self.state is not None else -1
        if state.version <= known:
            return
        self.state = state
        self.routes = sycamoreloft_direct.RouteTable(state.routes)
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "desired-state-applied",
            version=state.version,
            before=known,
            routes=len(state.routes),
        )


class UpstreamView:
    """Upstreams that discovery lists, or listed until a moment ago.

    An upstream whose entry is gone may still serve what it has and hold keys.
    It is kept as draining until its address may belong to another upstream.

    Args:
        keep_s: Seconds for which a gone upstream is kept as draining.
        on_change: Called after each change.
    """

    def __init__(
        self, keep_s: float, on_change: abc.Callable[[], None]
    ) -> None:
        #: Seconds for which a gone upstream is kept as draining.
        self.keep_s = keep_s
        self._on_change = on_change
        self._listed: dict[str, sycamoreloft_direct.Upstream] = {}
        self._departed: dict[
            str, tuple[sycamoreloft_direct.Upstream, float]
        ] = {}
        self._missing: dict[str, float] = {}
        self._grace_until = 0.0

    def list_all(self) -> list[sycamoreloft_direct.Upstream]:
        """Returns listed upstreams, and departed ones as draining."""
        departed = [upstream for upstream, _ in self._departed.values()]
        return [*self._listed.values(), *departed]

    def find(
        self, run: sycamoreloft_direct.UpstreamRun
    ) -> sycamoreloft_direct.Upstream | None:
        """Returns the entry of a run, listed or departed."""
        upstream = self._listed.get(run.id)
        if upstream is None and run.id in self._departed:
            upstream = self._departed[run.id][0]
        return upstream if upstream and upstream.run == run else None

    def extend_grace(self, until: float) -> None:
        """Keeps entries that a full read lacks as they were until a time."""
        self._grace_until = max(self._grace_until, until)

    def take_all(
        self, values: abc.Mapping[str, typing.Any], now: float
    ) -> None:
        """Takes a full read of the table."""
        for key in self._listed:
            if key not in values:
                # It may have lapsed while the store was away.
                self._missing.setdefault(key, max(self._grace_until, now))
        self.take_changes(values, now)

    def take_changes(
        self, values: abc.Mapping[str, typing.Any], now: float
    ) -> None:
        """Takes changed entries of the table."""
        for key, upstream in values.items():
            if upstream is None:
                self._missing[key] = now
            else:
                self._missing.pop(key, None)
                self._note_listed(key, upstream)
        self.sweep(now)
        self._on_change()

    def sweep(self, now: float) -> None:
        """Drops entries whose time is over; call it now and then."""
        is_changed = False
        for key, until in list(self._missing.items()):
            if now < until:
                continue
            del self._missing[key]
            upstream = self._listed.pop(key, None)
            if upstream is not None:
                self._depart(upstream, now)
                is_changed = True
        for key, (_, until) in list(self._departed.items()):
            if now >= until:
                del self._departed[key]
                is_changed = True
        if is_changed:
            self._on_change()

    def _note_listed(
        self, key: str, upstream: sycamoreloft_direct.Upstream
    ) -> None:
        known = self._listed.get(key)
        self._departed.pop(key, None)
        self._listed[key] = upstream
        if (
            known is None
            or known.run != upstream.run
            or known.is_draining != upstream.is_draining
        ):
            _logs.log_event(
                _LOGGER,
                logging.INFO,
                "upstream-listed",
                upstream=key,
                service=upstream.service,
                address=upstream.address,
                started_ms=upstream.started_ms,
                draining=upstream.is_draining,
            )

    def _depart(
        self, upstream: sycamoreloft_direct.Upstream, now: float
    ) -> None:
        _logs.log_event(
            _LOGGER, logging.INFO, "upstream-gone", upstream=upstream.id
        )
        self._departed[upstream.id] = (
            sycamoreloft_direct.Upstream(
                upstream.id,
                upstream.started_ms,
                upstream.address,
                upstream.service,
                upstream.failure_domain,
                upstream.slots,
                True,
            ),
            now + self.keep_s,
        )
