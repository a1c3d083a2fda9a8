"""A host's tenure as the coordinator: its lease, orders and records."""

import asyncio
from collections import abc
import dataclasses
import logging
import traceback
import typing

import sycamoreloft_direct
from sycamoreloft_router import (
    _acquired_records,
    _answer_times,
    _coordinator_lease,
    _datagrams,
    _direct_ports,
    _direct_views,
    _logs,
    _map_check_reports,
    _map_record,
    _metrics,
    _order_logs,
    _renewal_rounds,
)

_LOGGER = logging.getLogger(__name__)

#: Seconds for which a resigning coordinator waits for orders in flight.
RESIGN_TIMEOUT_S = 0.5

#: Seconds before a failed call to the store is retried.
RETRY_DELAY_S = 0.2


class Tenure:
    """Acts as the coordinator until it resigns, fails or is superseded.

    Args:
        platform: The platform.
        upstreams: Upstreams that may own keys.
        metrics: Metrics of the process.
        acquired: The records that this host wrote to become the coordinator.
        times: Durations of key leases.
        clock: Clock that also runs while the host is suspended, in seconds.
        on_map_recorded: Called with each map that the store recorded.
    """

    def __init__(
        self,
        platform: _direct_ports.Platform,
        upstreams: _direct_views.UpstreamSource,
        metrics: _metrics.Metrics,
        acquired: _acquired_records.AcquiredRecords,
        times: sycamoreloft_direct.LeaseTimes,
        clock: abc.Callable[[], float],
        on_map_recorded: abc.Callable[[sycamoreloft_direct.KeyMap], None],
    ) -> None:
        self._platform = platform
        self._upstreams = upstreams
        self._metrics = metrics
        self._times = times
        self._clock = clock
        self._on_map_recorded = on_map_recorded
        self._lease = acquired.lease
        self._lease_version = acquired.version
        self._era = acquired.era
        self._map_record = _map_record.MapRecord(
            platform.records,
            acquired.lease.epoch,
            acquired.version,
            acquired.era,
            self.end,
        )
        self._reference = acquired.reference
        self._is_renewing = False
        self._renew_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        # Latest arrival of each order in flight at its upstream, by number.
        self._latest_arrivals: dict[int, float] = {}
        self._renewal_rounds = _renewal_rounds.RenewalRounds(self.epoch)
        self._answer_times = _answer_times.AnswerTimes()
        self._set_validity(acquired.sent_at)
        now = clock()
        self._coordinator = sycamoreloft_direct.KeyCoordinator(
            acquired.key_map,
            now,
            now
            + max(
                0.0, acquired.lease.earlier_until - acquired.reference.clock_s
            ),
            times,
            acquired.trust,
        )
        self._map_check_report = _map_check_reports.MapCheckReport(
            self._coordinator.map_check, acquired, metrics, now
        )
        #: Whether this tenure has ended.
        self.is_over = False

    @property
    def epoch(self) -> int:
        """Epoch of this tenure."""
        return self._lease.epoch

    @property
    def key_map(self) -> sycamoreloft_direct.KeyMap:
        """The map of keys as recorded in the store."""
        return self._coordinator.key_map

    def read_store_age(self, now: float) -> float:
        """Returns the seconds since the last answered store call was sent.

        Args:
            now: Time on the boot clock, in seconds.
        """
        return now - self._reference.sent_at

    def list_moving(
        self,
    ) -> abc.Sequence[tuple[str, sycamoreloft_direct.KeyRange]]:
        """Lists the services and ranges of keys that are moving."""
        return self._coordinator.list_moving()

    def tick(self, now: float, sharded: set[str]) -> None:
        """Renews the lease, and executes the commands that are due.

        Ends the tenure once key leases may no longer be renewed.

        Args:
            now: Time on the boot clock, in seconds.
            sharded: Names of the sharded services.
        """
        if now >= self._renew_at and not self._is_renewing:
            self._is_renewing = True
            self._spawn(self._renew_lease())
        blind_until = (
            self._valid_until + _coordinator_lease.SAFETY_MARGIN_S
        ) + self._times.blind_s
        if now >= blind_until:
            self.end("lease-lost")
            return
        self._coordinator.update_upstreams(
            [
                upstream
                for upstream in self._upstreams.list_all()
                if upstream.service in sharded
            ],
            sharded,
            now,
        )
        self._coordinator.update_speeds(
            self._answer_times.compute_speeds(), self._answer_times.mean_s
        )
        self._execute_due_commands(now)

    def _execute_due_commands(self, now: float) -> None:
        if self.is_over:
            return
        may_change = now < self._valid_until
        commands = self._coordinator.tick(now, may_change, True)
        self._map_check_report.report_end(now)
        self._renewal_rounds.log_ended(now)
        for change in self._coordinator.owner_changes:
            self._record_owner_change(change, now)
        for command in commands:
            self._track_order(command, now)
            self._spawn(self._execute(command, now))

    def _record_owner_change(
        self, change: sycamoreloft_direct.OwnerChange, now: float
    ) -> None:
        self._metrics.count(
            "sycamoreloft_owner_changes_total", change.cause.value
        )
        _order_logs.log_owner_change(
            change, self._coordinator.list_claims, self.epoch, now
        )

    def _track_order(
        self, command: sycamoreloft_direct.Command, now: float
    ) -> None:
        if isinstance(command, sycamoreloft_direct.SendGrant):
            self._latest_arrivals[command.order] = (
                now + self._times.grant_arrival_s
            )
            if command.is_renewal:
                self._renewal_rounds.begin(command, now)
        elif isinstance(command, sycamoreloft_direct.SendRelease):
            self._latest_arrivals[command.order] = now

    def count_unheld_keys(self) -> int:
        """Counts the keys that no upstream is known to hold."""
        return self._coordinator.count_unheld()

    def is_lease_valid(self, now: float) -> bool:
        """Returns whether the coordinator lease is valid at a time."""
        return now < self._valid_until

    def renew_soon(self, now: float) -> None:
        """Renews the lease early, to detect whether another host holds it.

        Args:
            now: Time on the boot clock, in seconds.
        """
        self._renew_at = min(self._renew_at, now + RETRY_DELAY_S)

    def end(self, reason: str) -> None:
        """Ends the tenure, and logs the reason."""
        if self.is_over:
            return
        self.is_over = True
        self._log_end(logging.WARNING, "coordinator-ended", reason=reason)

    async def resign(self) -> None:
        """Ends the tenure, and frees the lease for another host at once."""
        self.is_over = True
        await self._finish_tasks()
        lease = dataclasses.replace(
            self._lease, is_resigned=True, expires_at=0.0
        )
        outcome = await self._write_lease(lease)
        self._log_end(
            logging.INFO,
            "coordinator-resigned",
            reason="stopping",
            result=outcome.result.value,
        )

    def _log_end(self, level: int, event: str, **fields: str) -> None:
        now = self._clock()
        self._renewal_rounds.close(now)
        lease_end = self._valid_until + _coordinator_lease.SAFETY_MARGIN_S
        latest = max(self._latest_arrivals.values(), default=now)
        _logs.log_event(
            _LOGGER,
            level,
            event,
            epoch=self.epoch,
            era=self._era,
            lease_s=round(lease_end - now, 3),
            orders=len(self._latest_arrivals),
            last_arrival_s=round(max(0.0, latest - now), 3),
            **fields,
        )

    async def _finish_tasks(self) -> None:
        """Waits for calls in flight, and cancels those that take too long.

        Cancelling an order resets its connection. If the reset is lost, a full
        upstream may still take the order within `LeaseTimes.slot_wait_s`, which
        a successor adds to the ends of key leases.
        """
        if not self._tasks:
            return
        _, overdue = await asyncio.wait(self._tasks, timeout=RESIGN_TIMEOUT_S)
        for task in overdue:
            task.cancel()
        if overdue:
            await asyncio.wait(overdue)

    def end_run(self, run: sycamoreloft_direct.UpstreamRun) -> None:
        """Frees all keys of a run that has ended."""
        self._coordinator.end_run(run)

    def record_observations(self, report: _datagrams.Report) -> None:
        """Records the load and the answer times that a host observed."""
        for upstream, (count, total) in report.answers.items():
            # At a busy upstream, the answer time reflects its queue and not
            # its speed.
            if count > 0 and not self._coordinator.is_busy(upstream):
                self._answer_times.record_mean(upstream, total / count)
        request_s = self._answer_times.mean_s
        for service, keys in report.requests.items():
            work_s = {key: count * request_s for key, count in keys.items()}
            self._coordinator.record_load(
                sycamoreloft_direct.KeyLoad(service, work_s, request_s)
            )

    def _spawn(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._run_task(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_task(
        self, work: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Awaits a task of the tenure, and ends the tenure if it fails."""
        try:
            await work
        except Exception as error:  # noqa: BLE001
            self.fail(error)

    def fail(self, error: Exception) -> None:
        """Ends the tenure after an unexpected error.

        Otherwise an order or a write could stay open for ever, and its keys
        without an owner. The next coordinator starts from the records.
        """
        _logs.log_event(
            _LOGGER,
            logging.ERROR,
            "coordinator-failed",
            epoch=self.epoch,
            error=f"{type(error).__name__}: {error}",
            traceback="".join(traceback.format_tb(error.__traceback__, -6)),
        )
        self.end("failed")

    async def _renew_lease(self) -> None:
        sent_at = self._clock()
        lease = dataclasses.replace(
            self._lease,
            expires_at=self._reference.estimate(sent_at)
            + _coordinator_lease.LEASE_S,
            is_map_uncertain=self._coordinator.map_check.is_open,
        )
        outcome = await self._write_lease(lease)
        self._is_renewing = False
        now = self._clock()
        self._renew_at = sent_at + _coordinator_lease.RENEW_INTERVAL_S
        if _direct_ports.is_other_era(outcome.era, self._era):
            # Another host may be elected although this lease has not expired,
            # and a write may match a version that was assigned again. This
            # host knows the owners, and starts a tenure of the new era.
            self.end(_map_record.STORE_RESTORED)
        elif outcome.result is _direct_ports.WriteResult.WRITTEN:
            self._lease = lease
            self._lease_version = outcome.version
            self._reference = _coordinator_lease.ClockReference(
                sent_at, outcome.clock_s
            )
            self._set_validity(sent_at)
        elif outcome.result is _direct_ports.WriteResult.CONFLICT:
            await self._resolve_conflict()
        else:
            self._renew_at = max(self._renew_at, now + RETRY_DELAY_S)

    async def _write_lease(
        self, lease: _coordinator_lease.Lease
    ) -> _direct_ports.WriteOutcome:
        key = _coordinator_lease.LEASE_KEY
        return await self._platform.records.write(
            {key: _coordinator_lease.encode_lease(lease)},
            {key: self._lease_version},
        )

    def _set_validity(self, sent_at: float) -> None:
        """Computes validity and next renewal of a lease that was written.

        Args:
            sent_at: When the write was sent, on the boot clock.
        """
        self._renew_at = sent_at + _coordinator_lease.RENEW_INTERVAL_S
        self._valid_until = (
            sent_at
            + _coordinator_lease.LEASE_S
            - _coordinator_lease.SAFETY_MARGIN_S
        )

    async def _resolve_conflict(self) -> None:
        """Ends the tenure if another host wrote the lease.

        If an earlier write of this host took effect without an answer, it is
        this host's lease that is in the store. The tenure then continues.
        """
        records = await self._platform.records.read()
        if isinstance(records, _direct_ports.ReadProblem):
            self._renew_at = self._clock() + RETRY_DELAY_S
            return
        if _direct_ports.is_other_era(records.era, self._era):
            self.end(_map_record.STORE_RESTORED)
            return
        record = records.records.get(_coordinator_lease.LEASE_KEY)
        try:
            lease = (
                _coordinator_lease.decode_lease(record.value)
                if record
                else None
            )
        except ValueError as error:
            # This host writes no malformed lease: another writer replaced it.
            _logs.log_event(
                _LOGGER, logging.ERROR, "record-malformed", error=str(error)
            )
            lease = None
        if (
            record is not None
            and lease is not None
            and lease.peer_address == self._lease.peer_address
            and lease.epoch == self._lease.epoch
        ):
            self._lease = lease
            self._lease_version = record.version
            self._renew_at = self._clock()
        else:
            self.end(_map_record.SUPERSEDED)

    async def _execute(
        self,
        command: sycamoreloft_direct.Command,
        decided_at: float,
    ) -> None:
        has_next_command = True
        if isinstance(command, sycamoreloft_direct.WriteMap):
            await self._write_map(command.key_map)
        elif isinstance(command, sycamoreloft_direct.SendGrant):
            has_next_command = await self._send_grant(command, decided_at)
        else:
            await self._send_release(command, decided_at)
        if has_next_command:
            self._execute_due_commands(self._clock())

    def _is_stale(self, decided_at: float) -> bool:
        """Returns whether an order was decided too long ago to be sent.

        This happens when the process was suspended: the state on which the
        decision was based may have changed.
        """
        return self._clock() > decided_at + self._times.dispatch_s

    async def _send_grant(
        self, command: sycamoreloft_direct.SendGrant, decided_at: float
    ) -> bool:
        """Sends a grant.

        Returns:
            Whether the coordinator has further commands to execute at once.
        """
        upstream = self._upstreams.find(command.run)
        trace = _direct_ports.OrderTrace()
        sent_at = self._clock()
        result = sycamoreloft_direct.GrantResult.UNREACHED
        if self._is_stale(decided_at):
            result = sycamoreloft_direct.GrantResult.UNSENT
        elif upstream is not None:
            result = await self._platform.orders.grant(
                upstream.address, command, trace
            )
            self._metrics.observe(
                "sycamoreloft_grant_seconds", self._clock() - sent_at
            )
        self._metrics.count("sycamoreloft_grants_total", result.value)
        del self._latest_arrivals[command.order]
        is_accepted = result is sycamoreloft_direct.GrantResult.ACCEPTED
        if command.is_renewal:
            self._renewal_rounds.finish(command, is_accepted=is_accepted)
        if not is_accepted or self.is_over or not command.is_renewal:
            address = upstream.address if upstream else ""
            call = self._describe_call(address, decided_at, sent_at, trace)
            _order_logs.log_grant(command, result, call)
        return self._coordinator.finish_grant(
            command.order, result, self._clock()
        )

    async def _send_release(
        self, command: sycamoreloft_direct.SendRelease, decided_at: float
    ) -> None:
        upstream = self._upstreams.find(command.run)
        address = upstream.address if upstream else command.address
        trace = _direct_ports.OrderTrace()
        sent_at = self._clock()
        handover = None
        if address and not self._is_stale(decided_at):
            handover = await self._platform.orders.release(
                address, command, trace
            )
        del self._latest_arrivals[command.order]
        call = self._describe_call(address, decided_at, sent_at, trace)
        _order_logs.log_release(command, handover is not None, call)
        self._coordinator.finish_release(command.order, handover, self._clock())

    def _describe_call(
        self,
        address: str,
        decided_at: float,
        sent_at: float,
        trace: _direct_ports.OrderTrace,
    ) -> _order_logs.OrderCall:
        now = self._clock()
        return _order_logs.OrderCall(
            self.epoch,
            address,
            decided_at,
            sent_at,
            now,
            trace,
            self.read_store_age(now),
            self.is_over,
        )

    async def _write_map(self, key_map: sycamoreloft_direct.KeyMap) -> None:
        written = await self._map_record.write(key_map)
        if written:
            self._on_map_recorded(key_map)
        else:
            await asyncio.sleep(RETRY_DELAY_S)
        self._coordinator.finish_write(written)
