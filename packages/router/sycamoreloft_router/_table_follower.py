"""Follows a table of the store, and passes its entries on."""

import asyncio
from collections import abc
import logging
import typing

import sycamoreloft_direct
from sycamoreloft_router import (
    _call_progress,
    _direct_ports,
    _logs,
    _table_logs,
)

_LOGGER = logging.getLogger(__name__)

#: Base of the delay before a failed call is retried, in seconds; doubles with
#: each failure.
BASE_RETRY_S = 0.1

#: Upper bound of that delay, in seconds: an entry that returns to the store
#: has to be known within 2 s.
MAXIMUM_RETRY_S = 0.5

#: Seconds after a change before the next call for changes, so that further
#: changes are collected: each change wakes every host, and the store limits
#: the rate of calls.
COLLECT_INTERVAL_S = 0.4

#: Seconds after which a host reads the whole table if another host has a newer
#: version and the store has not sent it. Longer than changes are collected,
#: and well within the time limits for desired states and leaving upstreams.
LAG_TIMEOUT_S = 0.5

#: Seconds after a full read until the next one because of the same version of
#: another host, which the first one did not reach; doubles with each read.
BASE_UNREACHED_DELAY_S = 1.0

#: Upper bound of that delay, in seconds.
MAXIMUM_UNREACHED_DELAY_S = 16.0

#: Maximum number of such versions that are remembered.
MAXIMUM_UNREACHED = 64

#: Seconds of loading from which on an answer with changes is logged.
SLOW_LOAD_S = 0.25

#: Number of consecutive failed calls after which the store counts as lost.
FAILURES_UNTIL_LOST = 2


class TableFollower:
    """Follows one table, and calls back with its entries.

    Args:
        name: Name of the table in logs.
        table: The table.
        on_read: Called with all entries after a full read.
        on_changes: Called with the changed entries, None for a removed one.
        choose_spread_s: Returns an additional delay after a change, in
            seconds, so that not all hosts call the store at once.
        on_era: Called with the era of each answer.
    """

    def __init__(
        self,
        name: str,
        table: _direct_ports.WatchedTable[typing.Any],
        on_read: abc.Callable[[abc.Mapping[str, typing.Any]], None],
        on_changes: abc.Callable[[abc.Mapping[str, typing.Any]], None],
        choose_spread_s: abc.Callable[[], float] = lambda: 0.0,
        on_era: abc.Callable[[int], None] = lambda era: None,
    ) -> None:
        self._on_era = on_era
        self._choose_spread_s = choose_spread_s
        self._name = name
        self._table = table
        self._on_read = on_read
        self._on_changes = on_changes
        self._failures = 0
        #: Version up to which this host knows all changes; -1 before the first
        #: read.
        self._version = -1
        #: Whether the next call reads the whole table instead of changes.
        self._must_read = True
        self._is_full_read = False
        self._call: asyncio.Task[typing.Any] | None = None
        self._progress = _call_progress.CallProgress(0.0)
        self._lag_timer: asyncio.TimerHandle | None = None
        #: Era of the last answer; None before the first one.
        self.era: int | None = None
        #: Last era of another answer that caused a read.
        self._observed_era = _direct_ports.UNKNOWN_ERA
        #: Whether the pending full read was pending when that era was observed.
        self._awaits_era = False
        #: Version of the newest entry that was read in this era; 0 before the
        #: first one.
        self.newest = 0
        #: When to read for a version of another host again, and the delay
        #: before that; by era and version, of those that a full read did not
        #: reach.
        self._unreached: dict[tuple[int, int], tuple[float, float]] = {}
        #: Era and version because of which the next full read is made.
        self._heard: tuple[int, int] | None = None
        #: Whether the coordinator passes the changes of the table on, so that
        #: no calls for changes are made.
        self._is_relayed = False
        #: Delay of the first call after that, in seconds.
        self._return_delay_s = 0.0
        self._wake = asyncio.Event()
        #: When the store last answered, on the clock of the event loop.
        self.answered_at = 0.0
        #: When the store last answered again after failed or abandoned calls,
        #: on the clock of the event loop; 0 if that never happened.
        self.returned_at = 0.0
        #: When this host last noticed that the store was restored from an older
        #: copy, on the clock of the event loop; 0 if that never happened.
        self.restored_at = 0.0

    @property
    def is_store_lost(self) -> bool:
        """Whether the last calls to the store failed."""
        return self._failures >= FAILURES_UNTIL_LOST

    @property
    def known_version(self) -> sycamoreloft_direct.TableVersion:
        """Version up to which this host knows all changes."""
        if self.era is None:
            return sycamoreloft_direct.UNREAD_VERSION
        return sycamoreloft_direct.TableVersion(self.era, self._version)

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            answer = await self._call_store()
            if isinstance(answer, _direct_ports.ReadProblem):
                await self._handle_problem(answer)
                continue
            self._log_era(answer)
            self._record_answer()
            is_restored = self._is_restored(answer)
            self.era = answer.era
            if self._awaits_era:
                self._awaits_era = False
                self._must_read |= answer.era < self._observed_era
            if is_restored:
                self.restored_at = self.answered_at
            self._on_era(answer.era)
            self._version = answer.version
            if is_restored and not self._is_full_read:
                # The call asked for changes after a version of another era.
                # The changes until that version was assigned again are not in
                # the answer.
                self.newest = 0
                self._must_read = True
                await asyncio.sleep(BASE_RETRY_S + self._choose_spread_s())
                continue
            self._update_newest(0 if is_restored else self.newest, answer)
            read_at = asyncio.get_running_loop().time()
            self._apply_answer(answer)
            if self._is_full_read or self._progress.loading_s >= SLOW_LOAD_S:
                _table_logs.log_read(
                    self._name,
                    "read" if self._is_full_read else "follow",
                    self.newest,
                    len(answer.values),
                    self._progress,
                    read_at,
                )
            if answer.values and not self._is_full_read:
                # Changes were already collected while the answer was loading.
                loading_s = read_at - self._progress.first_byte_at
                await asyncio.sleep(
                    max(
                        0.0,
                        COLLECT_INTERVAL_S
                        + self._choose_spread_s()
                        - loading_s,
                    )
                )

    def _apply_answer(
        self, answer: _direct_ports.TableEntries[typing.Any]
    ) -> None:
        """Passes the entries of an answer on."""
        try:
            if self._is_full_read:
                self._on_read(answer.values)
            elif answer.values:
                self._on_changes(answer.values)
        except Exception:
            # The task is restarted and would follow the changes after this
            # answer. It has to read the entries again that were not applied.
            self._must_read = True
            raise

    def observe_peer(self, newest: int, era: int) -> None:
        """Records the version of the newest entry that another host has.

        If it is newer and the store does not send it within `LAG_TIMEOUT_S`,
        the pending call is assumed to hang: it is cancelled, and the whole
        table is read. Versions of an earlier era are ignored: the other host
        has not noticed yet that the store was restored.

        Args:
            newest: Version of the newest entry of the other host.
            era: Era of the store in which the other host read it.
        """
        if not self._is_behind(newest, era) or self._lag_timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._lag_timer = loop.call_later(
            LAG_TIMEOUT_S, self._check_lag, newest, era
        )

    def _is_behind(self, newest: int, era: int) -> bool:
        """Returns whether another host has a newer entry."""
        own_era = _direct_ports.UNKNOWN_ERA if self.era is None else self.era
        if (era, newest) <= (own_era, self.newest):
            return False
        retry_at, _ = self._unreached.get((era, newest), (0.0, 0.0))
        return asyncio.get_running_loop().time() >= retry_at

    def observe_era(self, era: int) -> None:
        """Records the era of another answer of the store to this host.

        If it is later, the pending call for changes began in an earlier era:
        it is abandoned, and the whole table is read.

        Args:
            era: Era of the store that answered.
        """
        if self.era is None or era <= self.era or era == self._observed_era:
            return
        self._observed_era = era
        now = asyncio.get_running_loop().time()
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "store-era-later",
            table=self._name,
            era=self.era,
            heard_era=era,
            is_pending=self._call is not None,
            age_s=round(now - self._progress.began_at, 3),
        )
        if self._is_full_read and self._call is not None:
            # It may have begun in the later era.
            self._awaits_era = True
        else:
            self._request_full_read()

    def restart_call(self) -> None:
        """Abandons a call for changes that began before an outage of the store.

        The store may never answer it. The whole table is read instead, and
        entries that expired during the outage may return, as after an outage
        that this host noticed itself.
        """
        is_reading = self._call is not None and self._is_full_read
        if is_reading or self.era is None:
            return
        self.returned_at = asyncio.get_running_loop().time()
        self._request_full_read()

    # Changes that the coordinator passes on.

    def set_relayed(self, is_relayed: bool, return_delay_s: float) -> None:
        """Sets whether the coordinator passes the changes of the table on.

        While it does, no calls for changes are made, and a pending one is
        cancelled unless its answer is loading. Afterwards the next call asks
        for the changes after the last one that was passed on.

        Args:
            is_relayed: Whether changes are passed on.
            return_delay_s: Delay of the first call afterwards, in seconds.
        """
        if is_relayed == self._is_relayed:
            return
        self._is_relayed = is_relayed
        self._return_delay_s = 0.0 if is_relayed else return_delay_s
        self._wake.set()
        if is_relayed and self._call is not None and not self._is_loading:
            self._call.cancel()

    def apply_relayed(self, changes: sycamoreloft_direct.TableChanges) -> bool:
        """Applies changes that the coordinator passes on.

        They are ignored during a call to the store, whose answer may be older.

        Returns:
            Whether this host knows all these changes now.
        """
        if (
            self._call is not None
            or self._must_read
            or changes.era != self.era
            or changes.before > self._version
        ):
            return False
        if not changes.values:
            return True
        is_news = changes.after > self._version
        self._version = max(self._version, changes.after)
        self._set_newest(max(self.newest, changes.after))
        if is_news:
            try:
                self._on_changes(changes.values)
            except Exception:
                self._request_full_read()
                raise
        return True

    def skip_unchanged(self, head: int, version: int) -> None:
        """Records that the table did not change between two versions.

        The store keeps a limited history, so that a call after an old version
        would cause a full read.

        Args:
            head: Version of the last change.
            version: Version up to which there were no further changes.
        """
        if self._call is None and head <= self._version < version:
            self._version = version

    async def _wait_while_relayed(self) -> None:
        """Waits until a call to the store is needed."""
        while True:
            while self._is_relayed and not self._must_read:
                self._wake.clear()
                await self._wake.wait()
            delay_s, self._return_delay_s = self._return_delay_s, 0.0
            if not delay_s:
                return
            await asyncio.sleep(delay_s)

    def _check_lag(self, newest: int, era: int) -> None:
        self._lag_timer = None
        if (
            not self._is_behind(newest, era)
            or self._call is None
            or self._is_loading
        ):
            return
        _logs.log_event(
            _LOGGER,
            logging.WARNING,
            "table-behind",
            table=self._name,
            newest=self.newest,
            era=self.era,
            heard=newest,
            heard_era=era,
            age_s=round(
                asyncio.get_running_loop().time() - self._progress.began_at, 3
            ),
        )
        self._heard = (era, newest)
        self._request_full_read()

    @property
    def _is_loading(self) -> bool:
        """Whether the pending call must not be cancelled.

        If an answer stalls while it is loading, the idle timeout of the call
        ends it. A full read is not cancelled before its answer begins either,
        since another read would have to wait as long.
        """
        return self._is_full_read or self._progress.bytes > 0

    def _request_full_read(self) -> None:
        """Makes the next call a full read.

        The pending call is cancelled unless its answer is loading.
        """
        self._must_read = True
        self._wake.set()
        if self._call is not None and not self._is_loading:
            self._call.cancel()

    async def _call_store(self) -> typing.Any:
        """Reads the table or waits for changes, until a call is answered.

        A call that is cancelled because it hangs is followed by another one.
        """
        while True:
            await self._wait_while_relayed()
            loop = asyncio.get_running_loop()
            self._progress = _call_progress.CallProgress(loop.time())
            self._is_full_read, self._must_read = self._must_read, False
            if self._is_full_read:
                call = self._table.read(self._progress)
            else:
                call = self._table.follow(self._version, self._progress)
            self._call = loop.create_task(call)
            await asyncio.wait([self._call])
            ended_call, self._call = self._call, None
            if not ended_call.cancelled():
                return ended_call.result()

    def _update_newest(
        self, before: int, answer: _direct_ports.TableEntries[typing.Any]
    ) -> None:
        """Updates the newest version.

        If a full read that was made because of another host's version does not
        reach it, the version is probably wrong. The next read because of it
        is delayed, or each datagram would cause another one. Since the store
        may reach the version later, a change of the table ends the delay.
        """
        newest = max(before, answer.newest)
        self._set_newest(newest)
        if not self._is_full_read or self._heard is None:
            return
        if self._heard > (answer.era, newest):
            _, delay_s = self._unreached.get(
                self._heard, (0.0, BASE_UNREACHED_DELAY_S / 2)
            )
            delay_s = min(delay_s * 2, MAXIMUM_UNREACHED_DELAY_S)
            retry_at = asyncio.get_running_loop().time() + delay_s
            self._unreached[self._heard] = retry_at, delay_s
        self._heard = None

    def _set_newest(self, newest: int) -> None:
        if newest != self.newest or len(self._unreached) > MAXIMUM_UNREACHED:
            self._unreached.clear()
        self.newest = newest

    def _is_restored(
        self, answer: _direct_ports.TableEntries[typing.Any]
    ) -> bool:
        """Returns whether the store was restored since the last answer.

        A store that names no era is recognized by a version that went back.
        """
        return self.era is not None and (
            answer.era != self.era or answer.version < self._version
        )

    def _log_era(self, answer: _direct_ports.TableEntries[typing.Any]) -> None:
        """Logs the first era, and a store that was restored since."""
        now = asyncio.get_running_loop().time()
        if self.era is None:
            _logs.log_event(
                _LOGGER,
                logging.INFO,
                "store-era-seen",
                table=self._name,
                era=answer.era,
                version=answer.version,
            )
        elif self._is_restored(answer):
            _logs.log_event(
                _LOGGER,
                logging.WARNING,
                "store-restored",
                table=self._name,
                before_era=self.era,
                era=answer.era,
                before_version=self._version,
                version=answer.version,
                call="read" if self._is_full_read else "follow",
                call_age_s=round(now - self._progress.began_at, 3),
                last_answer_age_s=round(now - self.answered_at, 3),
            )

    async def _handle_problem(self, problem: _direct_ports.ReadProblem) -> None:
        if problem is _direct_ports.ReadProblem.HISTORY_LOST:
            _logs.log_event(
                _LOGGER, logging.WARNING, "history-lost", table=self._name
            )
            self._must_read = True
            return
        # Unlike a call for changes, a full read is answered at once, which
        # shows when the store is available again.
        self._must_read = True
        self._failures += 1
        if self._failures == FAILURES_UNTIL_LOST:
            _logs.log_event(
                _LOGGER, logging.WARNING, "store-lost", table=self._name
            )
        await asyncio.sleep(
            min(BASE_RETRY_S * 2 ** min(self._failures, 5), MAXIMUM_RETRY_S)
        )

    def _record_answer(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._failures:
            self.returned_at = now
        if self.is_store_lost:
            _logs.log_event(
                _LOGGER, logging.INFO, "store-regained", table=self._name
            )
        self._failures = 0
        self.answered_at = now
