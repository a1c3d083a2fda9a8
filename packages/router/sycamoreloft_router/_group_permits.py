"""Adapter of the permit desk of one held group."""

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

#: Requests that wait for an owner of their key; more are refused at once.
MAXIMUM_WAITING = 4_096

#: Longest wait for an owner, in seconds: the bound on a loss is 2 s, and a
#: request that waits longer only takes a place.
LONGEST_WAIT_S = 3.0

#: Reasons of a missing owner that pass by themselves, so waiting helps.
PASSING_REASONS = frozenset(
    {
        sycamoreloft_decisions.WaitReason.TRANSFER_PENDING,
        sycamoreloft_decisions.WaitReason.UNASSIGNED,
        sycamoreloft_decisions.WaitReason.MOVING,
        sycamoreloft_decisions.WaitReason.UPSTREAM_UNREACHABLE,
    }
)


class OwnerSource(typing.Protocol):
    """What the adapter needs of the group holder."""

    def find_owner(
        self, service: str, key: str, partition: int, now: float
    ) -> sycamoreloft_decisions.Owner | sycamoreloft_decisions.NoOwner:
        """Returns the owner of a key, or why it has none now."""

    def get_epoch(self) -> int:
        """Returns the epoch of this holder."""

    def may_act(self, now: float) -> bool:
        """Tells whether this host may issue permits now."""


@dataclasses.dataclass(slots=True)
class _Asked:
    message: sycamoreloft_wire.PermitRequest
    reply: _peer_server.Reply
    deadline: float
    wait_until: float
    fence: int = 0


class GroupPermits:
    """Runs a permit desk: resolves owners, answers hosts, keeps waiters.

    Args:
        fleet: The fleet, as the group's generation describes it.
        group: The group.
        owners: Owners of keys.
        fresh: Whether no earlier holder can have issued permits.
        share_suspects: Tells other groups of suspects.
        report_drained: Tells the group holder that a unit is drained.
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
        self._desk = sycamoreloft_decisions.PermitIssuer(
            random.Random(), time.monotonic(), fresh=fresh
        )
        self._watch = _upstream_monitor.UpstreamMonitor()
        self._asked: dict[str, _Asked] = {}
        self._waiting: dict[str, _Asked] = {}
        self._ticked_at = time.monotonic()
        self._key_counts: dict[str, collections.Counter[str]] = {}
        self._fleet = fleet
        self._candidates: dict[str, tuple[str, ...]] = {}
        self.change_fleet(fleet)
        #: The users' measures.
        self.measures = _group_measures.GroupMeasures()
        #: Counters for the metrics.
        self.counts: collections.Counter[str] = collections.Counter()

    def change_fleet(self, fleet: sycamoreloft_config.Fleet) -> None:
        """Applies another generation of the fleet's file."""
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

    def ask(
        self,
        message: sycamoreloft_wire.PermitRequest,
        reply: _peer_server.Reply,
    ) -> None:
        """Takes a permit request; the reply may come later."""
        now = time.monotonic()
        self.counts["asked"] += 1
        deadline = now + message.remaining_ms / 1000
        asked = _Asked(
            message, reply, deadline, min(deadline, now + LONGEST_WAIT_S)
        )
        if message.key:
            counter = self._key_counts.get(message.service)
            if counter is None:
                counter = collections.Counter()
                self._key_counts[message.service] = counter
            counter[message.key] += 1
        self._admit(asked, now)

    def _admit(self, asked: _Asked, now: float) -> None:
        message = asked.message
        if message.partition < 0:
            candidates = self._candidates.get(message.service, ())
            self._pass_to_desk(asked, candidates, now)
            return
        owner = self._owners.find_owner(
            message.service, message.key, message.partition, now
        )
        if isinstance(owner, sycamoreloft_decisions.NoOwner):
            self._wait_or_refuse(asked, owner, now)
            return
        asked.fence = owner.fence
        self._pass_to_desk(asked, (owner.upstream,), now)

    def _wait_or_refuse(
        self,
        asked: _Asked,
        owner: sycamoreloft_decisions.NoOwner,
        now: float,
    ) -> None:
        permit = asked.message.permit
        if (
            owner.reason in PASSING_REASONS
            and now < asked.wait_until
            and len(self._waiting) < MAXIMUM_WAITING
        ):
            self._waiting[permit] = asked
            return
        self.counts["refused"] += 1
        asked.reply(
            sycamoreloft_wire.PermitRefusal(permit, str(owner.reason), 200)
        )

    def _pass_to_desk(
        self, asked: _Asked, candidates: tuple[str, ...], now: float
    ) -> None:
        message = asked.message
        self._asked[message.permit] = asked
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
                asked.deadline,
                candidates,
            ),
            now,
        )

    def return_permit(self, message: sycamoreloft_wire.PermitReturn) -> None:
        """Takes a permit back, also one that was never issued."""
        self._waiting.pop(message.permit, None)
        self._asked.pop(message.permit, None)
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
        """Renews the permits of a host and names those on lost upstreams."""
        now = time.monotonic()
        used = [
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
            sycamoreloft_decisions.PermitsReported(message.host, used), now
        )
        lost = [
            item.permit
            for item in message.permits
            if self._watch.is_abandoned(item.upstream, now)
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
        """Takes an upstream's answer to a grant."""
        now = time.monotonic()
        service = self._fleet.services.get(upstream.service)
        queue = service.queue if service else 0
        for event in self._watch.observe_answer(upstream, queue, answer, now):
            self._handle(event, now)

    def observe_suspects(
        self, message: sycamoreloft_wire.SuspectNotice
    ) -> None:
        """Takes a notice of another group."""
        self._handle(
            sycamoreloft_decisions.SuspectsReported(
                message.fingerprints, message.guilty
            ),
            time.monotonic(),
        )

    def hold_unit(self, unit: sycamoreloft_decisions.Unit) -> None:
        """Holds new permits of a unit."""
        self._handle(
            sycamoreloft_decisions.PartitionPaused(
                self._group.fleet, unit.service, unit.partition, unit.key
            ),
            time.monotonic(),
        )

    def release_unit(self, unit: sycamoreloft_decisions.Unit) -> None:
        """Lets the requests of a held unit go on, at its present owner."""
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
        """Lets time pass: losses, expiry, and requests that wait."""
        now = time.monotonic()
        for event in self._watch.list_losses(now):
            self._handle(event, now)
        waiting, self._waiting = self._waiting, {}
        self.measures.count_waiting(
            {
                (asked.message.service, asked.message.partition)
                for asked in waiting.values()
            },
            now - self._ticked_at,
        )
        self._ticked_at = now
        for asked in waiting.values():
            self._admit(asked, now)
        self._handle(sycamoreloft_decisions.PermitTick(), now)

    def take_observed_keys(self) -> list[sycamoreloft_decisions.KeysObserved]:
        """Returns the requests by service and key since the last call."""
        counts, self._key_counts = self._key_counts, {}
        return [
            sycamoreloft_decisions.KeysObserved(service, counter)
            for service, counter in counts.items()
        ]

    def close(self) -> None:
        """Refuses everything that waits: the holder has changed."""
        waiting, self._waiting = self._waiting, {}
        for asked in waiting.values():
            asked.reply(
                sycamoreloft_wire.PermitRefusal(
                    asked.message.permit, "no-holder", 50
                )
            )
        self._handle(
            sycamoreloft_decisions.PermitIssuerClosed(), time.monotonic()
        )

    def compute_imbalance(self) -> float:
        """Returns the largest load of an upstream over its service's mean."""
        return self.measures.compute_imbalance(self._candidates)

    def list_states(self) -> dict[str, object]:
        """Returns counters and upstreams for the state dump."""
        return {
            "counts": dict(self.counts),
            "waiting": len(self._waiting),
            "upstreams": self._watch.list_states(time.monotonic()),
        }

    def _handle(
        self, event: sycamoreloft_decisions.PermitEvent, now: float
    ) -> None:
        for command in self._desk.handle(event, now):
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
        asked = self._asked.pop(command.permit, None)
        if asked is None:
            self._give_back(command.permit, now)
            return
        if not self._owners.may_act(now):
            # A queued request must not start once a standby may have taken
            # the group and counts the slots itself.
            self._refuse_issued(asked, "no-holder", now)
            return
        message = asked.message
        if message.partition >= 0 and not self._is_owner(
            asked, command.upstream, now
        ):
            # The key moved while the request was queued.
            self._give_back(command.permit, now)
            self._admit(asked, now)
            return
        upstream = self._fleet.upstreams.get(command.upstream)
        if upstream is None:
            self._refuse_issued(asked, "no-upstream", now)
            return
        self.counts["issued"] += 1
        self.measures.count_permit(message.service, command.upstream)
        asked.reply(
            sycamoreloft_wire.PermitGrant(
                command.permit,
                command.upstream,
                upstream.address,
                self._owners.get_epoch(),
                asked.fence,
                int(command.valid_s * 1000),
            )
        )

    @_perform.register
    def _(
        self, command: sycamoreloft_decisions.RefusePermit, now: float
    ) -> None:
        asked = self._asked.pop(command.permit, None)
        if asked is None:
            return
        self.counts["refused"] += 1
        asked.reply(
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

    def _is_owner(self, asked: _Asked, upstream: str, now: float) -> bool:
        message = asked.message
        owner = self._owners.find_owner(
            message.service, message.key, message.partition, now
        )
        if (
            isinstance(owner, sycamoreloft_decisions.NoOwner)
            or owner.upstream != upstream
        ):
            return False
        asked.fence = owner.fence
        return True

    def _refuse_issued(self, asked: _Asked, reason: str, now: float) -> None:
        """Refuses a request for which the desk has just issued a permit."""
        permit = asked.message.permit
        self._give_back(permit, now)
        self.counts["refused"] += 1
        asked.reply(sycamoreloft_wire.PermitRefusal(permit, reason, 100))

    def _give_back(self, permit: str, now: float) -> None:
        self._handle(
            sycamoreloft_decisions.PermitReturned(permit, "did-not-run"), now
        )
