"""Keeps what a host knows of one table of the store current."""

import asyncio
from collections import abc
import logging
import typing

from sycamoreloft_router import _call_progress, _direct_ports, _logs

_LOGGER = logging.getLogger(__name__)

#: Seconds before a failed read is tried again, at first; doubles.
FIRST_RETRY_S = 0.1

#: Longest such time, in seconds: an entry that is back in the store has to
#: be known again within 2 s.
LONGEST_RETRY_S = 0.5

#: Seconds from a change on in which further changes are collected before the
#: table is read again. Each change wakes every host, and calls are limited.
COLLECT_S = 0.4

#: Seconds after which a host that heard of a newer version, and got nothing
#: from the store, reads the table again: longer than it collects changes, and
#: well within the bounds for desired states and leaving upstreams.
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
        table: _direct_ports.WatchedTable[typing.Any],
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
        #: Version up to which the changes are known.
        self._version = -1
        #: Whether the next call reads the whole table.
        self._must_read = True
        self._is_reading = False
        self._call: asyncio.Task[typing.Any] | None = None
        self._progress = _call_progress.CallProgress(0.0)
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
            self._version = answer.version
            self.newest = max(self.newest, answer.newest)
            read_at = asyncio.get_running_loop().time()
            if self._is_reading:
                self._on_read(answer.values)
            elif answer.values:
                self._on_changes(answer.values)
            self._log_read(answer, read_at)
            if answer.values and not self._is_reading:
                # While a long answer was loading, changes were collected.
                loading_s = read_at - self._progress.first_byte_at
                await asyncio.sleep(
                    max(0.0, COLLECT_S + self._spread_s() - loading_s)
                )

    def hear(self, newest: int) -> None:
        """Takes the version that another host has.

        If the store says nothing to this host for a while, the call that
        waits for changes hangs: it is given up, and the table is read again.
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
        if self._call is None or self._is_reading:
            return
        self.returned_at = asyncio.get_running_loop().time()
        self._read_again()

    def _check_behind(self, newest: int) -> None:
        self._behind = None
        if newest <= self.newest or self._call is None or self._is_loading:
            return
        _logs.log_event(
            _LOGGER,
            logging.WARNING,
            "table-behind",
            table=self._name,
            newest=self.newest,
            heard=newest,
            age_s=round(
                asyncio.get_running_loop().time() - self._progress.began_at, 3
            ),
        )
        self._read_again()

    @property
    def _is_loading(self) -> bool:
        """Whether the store is answering: silence ends such a call by itself.

        An answer to a read that is late is no different, since a new read
        would have to wait as long.
        """
        return self._is_reading or self._progress.bytes > 0

    def _read_again(self) -> None:
        """Lets a full read follow the present call, at once if it is silent."""
        self._must_read = True
        if self._call is not None and not self._is_loading:
            self._call.cancel()

    async def _ask(self) -> typing.Any:
        """Reads or follows the table; a call that is behind is repeated."""
        while True:
            loop = asyncio.get_running_loop()
            self._progress = _call_progress.CallProgress(loop.time())
            self._is_reading, self._must_read = self._must_read, False
            if self._is_reading:
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
        answer: _direct_ports.TableEntries[typing.Any],
        read_at: float,
    ) -> None:
        """Tells how long each part of a full or slow read took."""
        progress = self._progress
        loading_s = progress.last_byte_at - progress.first_byte_at
        if not self._is_reading and loading_s < SLOW_LOAD_S:
            return
        now = asyncio.get_running_loop().time()
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "table-read",
            table=self._name,
            call="read" if self._is_reading else "follow",
            newest=self.newest,
            rows=len(answer.values),
            bytes=progress.bytes,
            waited_s=round(progress.first_byte_at - progress.began_at, 3),
            loading_s=round(loading_s, 3),
            decoding_s=round(read_at - progress.last_byte_at, 3),
            applying_s=round(now - read_at, 3),
        )

    async def _handle_problem(self, problem: _direct_ports.ReadProblem) -> None:
        if problem is _direct_ports.ReadProblem.HISTORY_LOST:
            _logs.log_event(
                _LOGGER, logging.WARNING, "history-lost", table=self._name
            )
            self._must_read = True
            return
        # A full read answers at once, which tells when the store is back.
        self._must_read = True
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
