"""Connects the permit issuer of one held group to hosts and upstreams."""

import collections
from collections import abc
import dataclasses
import functools
import random
import time
import typing

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_router import (
    _group_measures,
    _peer_server,
    _upstream_monitor,
)
import sycamoreloft_wire

#: Maximum number of requests that wait for an owner of their key; further
#: requests are refused at once.
MAXIMUM_WAITING_REQUESTS = 4_096

#: Maximum time that a request waits for an owner, in seconds. Keys of a lost
#: upstream have a new owner within 2 s, so that a longer wait would only
#: occupy a place.
MAXIMUM_WAIT_S = 3.0

#: Reasons for a missing owner that end without intervention. A request then
#: waits for the owner instead of being refused.
TRANSIENT_REASONS = frozenset(
    {
        sycamoreloft_decisions.WaitReason.TRANSFER_PENDING,
        sycamoreloft_decisions.WaitReason.UNASSIGNED,
        sycamoreloft_decisions.WaitReason.MOVING,
        sycamoreloft_decisions.WaitReason.UPSTREAM_UNREACHABLE,
    }
)


class OwnerSource(typing.Protocol):
    """Owners of the group's keys, and the state of its holder."""

    def find_owner(
        self, service: str, key: str, partition: int, now: float
    ) -> sycamoreloft_decisions.Owner | sycamoreloft_decisions.NoOwner:
        """Returns the owner of a key, or why the key has no owner now."""

    def get_epoch(self) -> int:
        """Returns the epoch in which this host holds the group."""

    def may_act(self, now: float) -> bool:
        """Returns whether this host may issue permits now."""


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A permit request that has not been answered."""

    message: sycamoreloft_wire.PermitRequest
    reply: _peer_server.Reply
    #: Deadline of the caller's request, on this host's monotonic clock.
    deadline: float
    #: End of the wait for an owner, on this host's monotonic clock.
    wait_until: float
    #: Fence of the owner, as of its latest look-up; 0 for an unkeyed service.
    fence: int = 0


class GroupPermits:
    """Runs the permit issuer of one group.

    Looks up the owner of a requested key, sends the issuer's answers to the
    hosts, and queues requests whose key has no owner for the moment.

    Args:
        fleet: The fleet, as the accepted generation describes it.
        group: Group that this host holds.
        owners: Owners of keys.
        fresh: Whether no earlier holder can have issued permits.
        share_suspects: Sends suspects to other groups.
        report_drained: Reports to the group holder that no permit of a paused
            unit is in use any more.
    """

    def __init__(
        self,
        fleet: sycamoreloft_config.Fleet,
        group: sycamoreloft_config.GroupName,
        owners: OwnerSource,
        fresh: bool,
        share_suspects: abc.Callable[
            [sycamoreloft_decisions.ShareSuspects], None
        ],
        report_drained: abc.Callable[[sycamoreloft_decisions.Unit], None],
    ) -> None:
        self._group = group
        self._owners = owners
        self._share_suspects = share_suspects
        self._report_drained = report_drained
        self._issuer = sycamoreloft_decisions.PermitIssuer(
            random.Random(), time.monotonic(), fresh=fresh
        )
        self._monitor = _upstream_monitor.UpstreamMonitor()
        self._at_issuer: dict[str, _PendingRequest] = {}
        self._waiting: dict[str, _PendingRequest] = {}
        self._ticked_at = time.monotonic()
        self._key_counts: dict[str, collections.Counter[str]] = {}
        self._fleet = fleet
        self._candidates: dict[str, tuple[str, ...]] = {}
        self.apply_fleet(fleet)
        #: Measures of load balance and availability, for the metrics.
        self.measures = _group_measures.GroupMeasures()
        #: Number of permit requests, permits and refusals, for the state dump.
        self.counts: collections.Counter[str] = collections.Counter()

    def apply_fleet(self, fleet: sycamoreloft_config.Fleet) -> None:
        """Applies the fleet's definition in a new accepted generation."""
        self._fleet = fleet
        candidates: dict[str, list[str]] = {}
        for upstream in sycamoreloft_config.list_group_upstreams(
            fleet, self._group
        ):
            if not upstream.leaving and not upstream.lost:
                candidates.setdefault(upstream.service, []).append(
                    upstream.name
                )
        self._candidates = {
            service: tuple(names) for service, names in candidates.items()
        }

    def request_permit(
        self,
        message: sycamoreloft_wire.PermitRequest,
        reply: _peer_server.Reply,
    ) -> None:
        """Handles a permit request of a host.

        Args:
            message: The request.
            reply: Called once with the answer, possibly after this method
                has returned.
        """
        now = time.monotonic()
        self.counts["asked"] += 1
        deadline = now + message.remaining_ms / 1000
        pending = _PendingRequest(
            message, reply, deadline, min(deadline, now + MAXIMUM_WAIT_S)
        )
        if message.key:
            counter = self._key_counts.get(message.service)
            if counter is None:
                counter = collections.Counter()
                self._key_counts[message.service] = counter
            counter[message.key] += 1
        self._admit(pending, now)

    def _admit(self, pending: _PendingRequest, now: float) -> None:
        message = pending.message
        if message.partition < 0:
            candidates = self._candidates.get(message.service, ())
            self._pass_to_issuer(pending, candidates, now)
            return
        owner = self._owners.find_owner(
            message.service, message.key, message.partition, now
        )
        if isinstance(owner, sycamoreloft_decisions.NoOwner):
            self._wait_or_refuse(pending, owner, now)
            return
        pending.fence = owner.fence
        self._pass_to_issuer(pending, (owner.upstream,), now)

    def _wait_or_refuse(
        self,
        pending: _PendingRequest,
        no_owner: sycamoreloft_decisions.NoOwner,
        now: float,
    ) -> None:
        permit = pending.message.permit
        if (
            no_owner.reason in TRANSIENT_REASONS
            and now < pending.wait_until
            and len(self._waiting) < MAXIMUM_WAITING_REQUESTS
        ):
            self._waiting[permit] = pending
            return
        self.counts["refused"] += 1
        pending.reply(
            sycamoreloft_wire.PermitRefusal(permit, str(no_owner.reason), 200)
        )

    def _pass_to_issuer(
        self, pending: _PendingRequest, candidates: tuple[str, ...], now: float
    ) -> None:
        message = pending.message
        self._at_issuer[message.permit] = pending
        self._handle(
            sycamoreloft_decisions.PermitRequested(
                message.permit,
                message.host,
                message.fleet,
                message.service,
                message.key,
                message.partition,
                message.fingerprint,
                message.caller,
                sycamoreloft_config.Priority(message.priority),
                pending.deadline,
                candidates,
            ),
            now,
        )

    def return_permit(self, message: sycamoreloft_wire.PermitReturn) -> None:
        """Ends a permit, or withdraws a request that is not yet answered."""
        self._waiting.pop(message.permit, None)
        self._at_issuer.pop(message.permit, None)
        self._handle(
            sycamoreloft_decisions.PermitReturned(
                message.permit,
                message.outcome,
                message.latency_ms / 1000,
                message.connection_lost,
                message.refused,
            ),
            time.monotonic(),
        )

    def report_permits(
        self,
        message: sycamoreloft_wire.PermitReport,
        reply: _peer_server.Reply,
    ) -> None:
        """Renews the permits of a host; the answer lists the lost ones."""
        now = time.monotonic()
        reported = [
            sycamoreloft_decisions.ReportedPermit(
                item.permit,
                item.upstream,
                self._group.fleet,
                item.service,
                item.partition,
                item.fingerprint,
                now + item.remaining_ms / 1000,
                item.unlapsed,
            )
            for item in message.permits
        ]
        self._handle(
            sycamoreloft_decisions.PermitsReported(message.host, reported), now
        )
        lost = [
            item.permit
            for item in message.permits
            if self._monitor.is_abandoned(item.upstream, now)
        ]
        reply(
            sycamoreloft_wire.PermitReportAnswer(lost)
            if lost
            else sycamoreloft_wire.Acknowledgement()
        )

    def observe_grant(
        self,
        upstream: sycamoreloft_config.Upstream,
        answer: sycamoreloft_decisions.GrantAnswered,
    ) -> None:
        """Records an upstream's answer to a grant, which shows it is alive."""
        now = time.monotonic()
        service = self._fleet.services.get(upstream.service)
        queue = service.queue if service else 0
        for event in self._monitor.observe_answer(upstream, queue, answer, now):
            self._handle(event, now)

    def observe_suspects(
        self, message: sycamoreloft_wire.SuspectNotice
    ) -> None:
        """Records suspects that another group has reported."""
        self._handle(
            sycamoreloft_decisions.SuspectsReported(
                message.fingerprints, message.guilty
            ),
            time.monotonic(),
        )

    def pause_unit(self, unit: sycamoreloft_decisions.Unit) -> None:
        """Stops issuing permits for a unit that moves."""
        self._handle(
            sycamoreloft_decisions.PartitionPaused(
                self._group.fleet, unit.service, unit.partition, unit.key
            ),
            time.monotonic(),
        )

    def resume_unit(self, unit: sycamoreloft_decisions.Unit) -> None:
        """Issues permits for a paused unit again, at its present owner."""
        self.measures.moves += 1
        now = time.monotonic()
        owner = self._owners.find_owner(
            unit.service, unit.key, unit.partition, now
        )
        upstream = (
            owner.upstream
            if isinstance(owner, sycamoreloft_decisions.Owner)
            else ""
        )
        self._handle(
            sycamoreloft_decisions.PartitionResumed(
                self._group.fleet,
                unit.service,
                unit.partition,
                upstream,
                unit.key,
            ),
            now,
        )

    def tick(self) -> None:
        """Processes lost upstreams, waiting requests and expired permits."""
        now = time.monotonic()
        for event in self._monitor.list_losses(now):
            self._handle(event, now)
        waiting, self._waiting = self._waiting, {}
        self.measures.add_waiting_time(
            {
                (pending.message.service, pending.message.partition)
                for pending in waiting.values()
            },
            now - self._ticked_at,
        )
        self._ticked_at = now
        for pending in waiting.values():
            self._admit(pending, now)
        self._handle(sycamoreloft_decisions.PermitTick(), now)

    def pop_observed_keys(self) -> list[sycamoreloft_decisions.KeysObserved]:
        """Returns the requests by service and key since the previous call."""
        counts, self._key_counts = self._key_counts, {}
        return [
            sycamoreloft_decisions.KeysObserved(service, counter)
            for service, counter in counts.items()
        ]

    def close(self) -> None:
        """Refuses all waiting requests: this host no longer holds the group."""
        waiting, self._waiting = self._waiting, {}
        for pending in waiting.values():
            pending.reply(
                sycamoreloft_wire.PermitRefusal(
                    pending.message.permit, "no-holder", 50
                )
            )
        self._handle(
            sycamoreloft_decisions.PermitIssuerClosed(), time.monotonic()
        )

    def compute_imbalance(self) -> float:
        """Returns the highest ratio of a load to the mean of its service."""
        return self.measures.compute_imbalance(self._candidates)

    def list_states(self) -> dict[str, object]:
        """Returns the counters and upstream states, for the state dump."""
        return {
            "counts": dict(self.counts),
            "waiting": len(self._waiting),
            "upstreams": self._monitor.list_states(time.monotonic()),
        }

    def _handle(
        self, event: sycamoreloft_decisions.PermitEvent, now: float
    ) -> None:
        for command in self._issuer.handle(event, now):
            self._perform(command, now)

    @functools.singledispatchmethod
    def _perform(
        self, command: sycamoreloft_decisions.PermitCommand, now: float
    ) -> None:
        raise TypeError(f"unknown command {type(command).__name__}")

    @_perform.register
    def _(
        self, command: sycamoreloft_decisions.IssuePermit, now: float
    ) -> None:
        pending = self._at_issuer.pop(command.permit, None)
        if pending is None:
            self._return_unused(command.permit, now)
            return
        if not self._owners.may_act(now):
            # A standby may have taken over the group and may issue permits
            # for the same slots, so a queued request must not start.
            self._refuse_issued(pending, "no-holder", now)
            return
        message = pending.message
        if message.partition >= 0 and not self._confirm_owner(
            pending, command.upstream, now
        ):
            # The key moved to another upstream while the request was queued.
            self._return_unused(command.permit, now)
            self._admit(pending, now)
            return
        upstream = self._fleet.upstreams.get(command.upstream)
        if upstream is None:
            self._refuse_issued(pending, "no-upstream", now)
            return
        self.counts["issued"] += 1
        self.measures.count_permit(message.service, command.upstream)
        pending.reply(
            sycamoreloft_wire.PermitGrant(
                command.permit,
                command.upstream,
                upstream.address,
                self._owners.get_epoch(),
                pending.fence,
                int(command.valid_s * 1000),
            )
        )

    @_perform.register
    def _(
        self, command: sycamoreloft_decisions.RefusePermit, now: float
    ) -> None:
        pending = self._at_issuer.pop(command.permit, None)
        if pending is None:
            return
        self.counts["refused"] += 1
        pending.reply(
            sycamoreloft_wire.PermitRefusal(
                command.permit,
                str(command.reason),
                int(command.retry_after_s * 1000),
            )
        )

    @_perform.register
    def _(
        self, command: sycamoreloft_decisions.PartitionDrained, now: float
    ) -> None:
        self._report_drained(
            sycamoreloft_decisions.Unit(
                command.service, command.partition, command.key
            )
        )

    @_perform.register
    def _(
        self, command: sycamoreloft_decisions.ShareSuspects, now: float
    ) -> None:
        self._share_suspects(command)

    def _confirm_owner(
        self, pending: _PendingRequest, upstream: str, now: float
    ) -> bool:
        """Returns whether an upstream still owns the key of a request.

        Also records the owner's present fence, which the grant names.
        """
        message = pending.message
        owner = self._owners.find_owner(
            message.service, message.key, message.partition, now
        )
        if (
            isinstance(owner, sycamoreloft_decisions.NoOwner)
            or owner.upstream != upstream
        ):
            return False
        pending.fence = owner.fence
        return True

    def _refuse_issued(
        self, pending: _PendingRequest, reason: str, now: float
    ) -> None:
        """Returns a permit that was just issued and refuses its request."""
        permit = pending.message.permit
        self._return_unused(permit, now)
        self.counts["refused"] += 1
        pending.reply(sycamoreloft_wire.PermitRefusal(permit, reason, 100))

    def _return_unused(self, permit: str, now: float) -> None:
        self._handle(
            sycamoreloft_decisions.PermitReturned(permit, "did-not-run"), now
        )
