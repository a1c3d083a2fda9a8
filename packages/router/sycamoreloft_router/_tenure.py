"""A host's time as the coordinator: its lease, its orders, its records."""

import asyncio
from collections import abc
import dataclasses
import logging
import traceback
import typing

import sycamoreloft_direct
from sycamoreloft_router import (
    _answer_times,
    _coordinator_lease,
    _datagrams,
    _direct_ports,
    _direct_views,
    _logs,
    _map_record,
    _metrics,
    _order_logs,
)

_LOGGER = logging.getLogger(__name__)

#: Seconds that orders under way may take when the duty ends.
STOP_S = 0.5

#: Seconds before a write that the store refused is tried again.
RETRY_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class TakenRecords:
    """The records as the host wrote them when it became the coordinator."""

    #: The lease.
    lease: _coordinator_lease.Lease
    #: The map of keys.
    key_map: sycamoreloft_direct.KeyMap
    #: Version of both records.
    version: int
    #: Relates the store's clock to the boot clock.
    reference: _coordinator_lease.ClockReference
    #: When the write was sent, on the boot clock.
    sent_at: float


class Tenure:
    """Acts as the coordinator until another host took over.

    Args:
        platform: The platform.
        upstreams: Upstreams.
        metrics: Metrics of the process.
        taken: The records as written.
        times: Durations of key leases.
        clock: Clock that also runs while the host is suspended, in seconds.
        on_map: Called with each map that was recorded.
    """

    def __init__(
        self,
        platform: _direct_ports.Platform,
        upstreams: _direct_views.UpstreamView,
        metrics: _metrics.Metrics,
        taken: TakenRecords,
        times: sycamoreloft_direct.LeaseTimes,
        clock: abc.Callable[[], float],
        on_map: abc.Callable[[sycamoreloft_direct.KeyMap], None],
    ) -> None:
        self._platform = platform
        self._upstreams = upstreams
        self._metrics = metrics
        self._times = times
        self._clock = clock
        self._on_map = on_map
        self._lease = taken.lease
        self._lease_version = taken.version
        self._map_record = _map_record.MapRecord(
            platform.records,
            taken.lease.epoch,
            taken.version,
            lambda: self.end("superseded"),
        )
        self._reference = taken.reference
        self._is_renewing = False
        self._renew_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        # Orders under way and until when they may give an upstream keys.
        self._arrivals: dict[int, float] = {}
        self._answer_times = _answer_times.AnswerTimes()
        self._set_valid(taken.sent_at)
        now = clock()
        self._coordinator = sycamoreloft_direct.KeyCoordinator(
            taken.key_map,
            now,
            now + max(0.0, taken.lease.earlier_until - taken.reference.clock_s),
            times,
        )
        #: Whether this host is the coordinator no more.
        self.is_over = False

    @property
    def epoch(self) -> int:
        """Epoch of this host as the coordinator."""
        return self._lease.epoch

    @property
    def key_map(self) -> sycamoreloft_direct.KeyMap:
        """The map as it is recorded."""
        return self._coordinator.key_map

    def read_store_age(self, now: float) -> float:
        """Returns the seconds since a call that the store answered was sent.

        Args:
            now: Time on the boot clock, in seconds.
        """
        return now - self._reference.sent_at

    def list_moving(
        self,
    ) -> abc.Sequence[tuple[str, sycamoreloft_direct.KeyRange]]:
        """Lists services and ranges that are on their way to an owner."""
        return self._coordinator.list_moving()

    def act(self, now: float, sharded: set[str]) -> None:
        """Sends what is due.

        Args:
            now: Time on the boot clock, in seconds.
            sharded: Names of the sharded services.
        """
        if now >= self._renew_at and not self._is_renewing:
            self._is_renewing = True
            self._spawn(self._renew_lease())
        blind_until = (
            self._valid_until + _coordinator_lease.SAFETY_S
        ) + self._times.blind_s
        if now >= blind_until:
            self.end("lease-lost")
            return
        self._coordinator.update_upstreams(
            [
                item
                for item in self._upstreams.list_all()
                if item.service in sharded
            ],
            sharded,
            now,
        )
        self._coordinator.update_speeds(self._answer_times.compute_speeds())
        self._send_due(now)

    def _send_due(self, now: float) -> None:
        if self.is_over:
            return
        may_change = now < self._valid_until
        commands = self._coordinator.tick(now, may_change, True)
        for change in self._coordinator.owner_changes:
            self._note_change(change, now)
        for command in commands:
            self._note_order(command, now)
            self._spawn(self._execute(command, now))

    def _note_change(
        self, change: sycamoreloft_direct.OwnerChange, now: float
    ) -> None:
        self._metrics.count(
            "sycamoreloft_owner_changes_total", change.cause.value
        )
        _order_logs.log_owner_change(
            change, self._coordinator.list_claims, self.epoch, now
        )

    def _note_order(
        self, command: sycamoreloft_direct.Command, now: float
    ) -> None:
        if isinstance(command, sycamoreloft_direct.SendGrant):
            self._arrivals[command.order] = now + self._times.grant_travel_s
        elif isinstance(command, sycamoreloft_direct.SendRelease):
            self._arrivals[command.order] = now

    def count_unheld_keys(self) -> int:
        """Counts the keys that no upstream is known to hold."""
        return self._coordinator.count_unheld()

    def is_confirmed(self, now: float) -> bool:
        """Tells whether the store's lease is this host's at a time."""
        return now < self._valid_until

    def doubt(self, now: float) -> None:
        """Asks the store soon whether this host is the coordinator.

        Args:
            now: Time on the boot clock, in seconds.
        """
        self._renew_at = min(self._renew_at, now + RETRY_S)

    def end(self, reason: str) -> None:
        """Stops acting."""
        if self.is_over:
            return
        self.is_over = True
        self._log_end(logging.WARNING, "coordinator-ended", reason=reason)

    async def resign(self) -> None:
        """Stops acting and lets another host take over at once."""
        self.is_over = True
        await self._end_tasks()
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
        lease_end = self._valid_until + _coordinator_lease.SAFETY_S
        latest = max(self._arrivals.values(), default=now)
        _logs.log_event(
            _LOGGER,
            level,
            event,
            epoch=self.epoch,
            lease_s=round(lease_end - now, 3),
            orders=len(self._arrivals),
            last_arrival_s=round(max(0.0, latest - now), 3),
            **fields,
        )

    async def _end_tasks(self) -> None:
        """Waits for what is under way, and cancels what takes longer.

        An order that is cancelled closes its connection, so that nothing of
        it arrives once a successor counts the leases of keys.
        """
        if not self._tasks:
            return
        _, late = await asyncio.wait(self._tasks, timeout=STOP_S)
        for task in late:
            task.cancel()
        if late:
            await asyncio.wait(late)

    def end_run(self, run: sycamoreloft_direct.UpstreamRun) -> None:
        """Takes all keys from a run of an upstream that has ended."""
        self._coordinator.end_run(run)

    def take_observations(self, report: _datagrams.Report) -> None:
        """Takes what a host observed."""
        for upstream, (count, total) in report.answers.items():
            # Answers of a busy upstream tell its queue and not its speed.
            if count > 0 and not self._coordinator.is_busy(upstream):
                self._answer_times.record_mean(upstream, total / count)
        for service, keys in report.requests.items():
            work_s = {
                key: count * self._answer_times.mean_s
                for key, count in keys.items()
            }
            self._coordinator.record_load(
                sycamoreloft_direct.KeyLoad(service, work_s)
            )

    def _spawn(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._perform(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _perform(
        self, work: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Does a part of the duty, and ends the duty if it fails."""
        try:
            await work
        except Exception as error:  # noqa: BLE001
            self.fail(error)

    def fail(self, error: Exception) -> None:
        """Stops acting after an unexpected error.

        An order or a write would stay open for ever, and its keys with it.
        The next coordinator begins with what is recorded.
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
        )
        outcome = await self._write_lease(lease)
        self._is_renewing = False
        now = self._clock()
        self._renew_at = sent_at + _coordinator_lease.RENEW_S
        if outcome.result is _direct_ports.WriteResult.WRITTEN:
            self._lease = lease
            self._lease_version = outcome.version
            self._reference = _coordinator_lease.ClockReference(
                sent_at, outcome.clock_s
            )
            self._set_valid(sent_at)
        elif outcome.result is _direct_ports.WriteResult.CONFLICT:
            await self._check_conflict()
        else:
            self._renew_at = max(self._renew_at, now + RETRY_S)

    async def _write_lease(
        self, lease: _coordinator_lease.Lease
    ) -> _direct_ports.WriteOutcome:
        key = _coordinator_lease.LEASE_KEY
        return await self._platform.records.write(
            {key: _coordinator_lease.encode_lease(lease)},
            {key: self._lease_version},
        )

    def _set_valid(self, sent_at: float) -> None:
        """Notes until when the lease is valid that was written at a time."""
        self._renew_at = sent_at + _coordinator_lease.RENEW_S
        self._valid_until = (
            sent_at + _coordinator_lease.LEASE_S - _coordinator_lease.SAFETY_S
        )

    async def _check_conflict(self) -> None:
        """Finds out whether an own earlier write or another host's won."""
        records = await self._platform.records.read()
        if isinstance(records, _direct_ports.ReadProblem):
            self._renew_at = self._clock() + RETRY_S
            return
        record = records.records.get(_coordinator_lease.LEASE_KEY)
        try:
            lease = (
                _coordinator_lease.decode_lease(record.value)
                if record
                else None
            )
        except ValueError as error:
            # Somebody else wrote it, so it is not this host's lease.
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
            self.end("superseded")

    async def _execute(
        self,
        command: sycamoreloft_direct.Command,
        decided_at: float,
    ) -> None:
        follows = True
        if isinstance(command, sycamoreloft_direct.WriteMap):
            await self._write_map(command.key_map)
        elif isinstance(command, sycamoreloft_direct.SendGrant):
            follows = await self._send_grant(command, decided_at)
        else:
            await self._send_release(command, decided_at)
        if follows:
            self._send_due(self._clock())

    def _is_stale(self, decided_at: float) -> bool:
        """Tells whether the process slept since it decided for an order.

        What the order was based on may have changed meanwhile.
        """
        return self._clock() > decided_at + self._times.dispatch_s

    async def _send_grant(
        self, command: sycamoreloft_direct.SendGrant, decided_at: float
    ) -> bool:
        """Sends a grant; tells whether another step follows at once."""
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
        del self._arrivals[command.order]
        if (
            result is not sycamoreloft_direct.GrantResult.ACCEPTED
            or self.is_over
            or not command.is_renewal
        ):
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
        del self._arrivals[command.order]
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
            self._on_map(key_map)
        else:
            await asyncio.sleep(RETRY_S)
        self._coordinator.finish_write(written)
