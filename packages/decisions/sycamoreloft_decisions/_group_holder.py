"""State machine of one host for one group."""

from collections import abc
import functools
import itertools

import sycamoreloft_config
from sycamoreloft_decisions import (
    _explanations,
    _holding,
    _ownership,
    _standby,
    _takeover,
)

Commands = list[_ownership.Command]


class GroupHolder:
    """Decides whether this host holds a group, and acts as its holder.

    Every host of the group's failure domain runs one such state machine for
    the group. A host either watches the holder, serves as the standby, or is
    the holder itself.

    Args:
        host: Name of this host; no two live hosts may have the same name.
        incarnation: Random identifier of this process.
        group: The group.
        generation: The accepted generation.
        now: Clock reading in seconds.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        group: sycamoreloft_config.GroupName,
        generation: sycamoreloft_config.Generation,
        now: float,
    ) -> None:
        self._host = host
        self._group = group
        self._generation = generation
        self._pending: sycamoreloft_config.Generation | None = None
        self._calls = itertools.count(1)
        self._explanations = _explanations.Explanations()
        self._standby = _standby.StandbyPromises(host)
        self._takeover = _takeover.Takeover(
            host, incarnation, group, self._standby, self._calls, now
        )
        self._takeover.set_offline_limit(self._get_offline_limit())
        self._holding: _holding.Holding | None = None
        self._members = _ownership.MembersObserved({}, {})
        self._is_stopping = False
        # This host has agreed not to act in epochs below this one. It may still
        # receive the answer to a takeover write for such an epoch.
        self._minimum_epoch = 0

    def handle(
        self, event: _ownership.Event, now: float
    ) -> abc.Sequence[_ownership.Command]:
        """Handles an event and returns commands to perform in this order."""
        commands = self._dispatch(event, now)
        if self._holding:
            commands += self._holding.advance_after(event, now)
            commands += self._report_end(now)
        return commands

    def may_act(self, now: float) -> bool:
        """Returns whether this host may send grants and issue permits now."""
        return self._holding is not None and self._holding.may_act(now)

    def find_owner(
        self, service: str, key: str, partition: int, now: float
    ) -> _ownership.Owner | _ownership.NoOwner:
        """Returns the owner of a key, or why it has none.

        Args:
            service: Service of the group's fleet.
            key: The key; empty for the owner of the whole partition.
            partition: Partition that the key hashes to.
            now: Clock reading in seconds.
        """
        if self._holding is None:
            return _ownership.NoOwner(_ownership.WaitReason.NOT_HOLDER)
        unit = _ownership.Unit(service, partition, key)
        return self._holding.find_owner(unit, now)

    def get_epoch(self) -> int:
        """Returns the epoch in which this host holds the group, else 0."""
        return self._holding.get_epoch() if self._holding else 0

    def list_explanations(self) -> abc.Sequence[str]:
        """Lists the latest decisions as sentences, oldest first."""
        return self._explanations.list_all()

    @functools.singledispatchmethod
    def _dispatch(self, event: object, now: float) -> Commands:
        """Handles an event; those not registered here are for the holder."""
        if self._holding:
            return self._holding.handle(event, now)
        return []

    @_dispatch.register
    def _(self, event: _ownership.Tick, now: float) -> Commands:
        if self._holding or self._is_stopping or not self._is_declared():
            return []
        return list(self._takeover.tick(now))

    @_dispatch.register(_ownership.RowsRead)
    @_dispatch.register(_ownership.ReadFailed)
    @_dispatch.register(_ownership.WriteStored)
    @_dispatch.register(_ownership.WriteRefused)
    @_dispatch.register(_ownership.WriteOutcomeUnknown)
    def _(self, event: _ownership.Event, now: float) -> Commands:
        if self._holding:
            if isinstance(event, _ownership.RowsRead):
                self._takeover.record_row(event, now)
            return self._holding.handle(event, now)
        takeover, commands = self._takeover.handle_answer(event, now)
        if takeover is None or takeover.row.epoch < self._minimum_epoch:
            return list(commands)
        return self._begin_holding(takeover, now)

    @_dispatch.register
    def _(self, event: _ownership.PromiseRequested, now: float) -> Commands:
        if event.epoch <= self.get_epoch():
            return [_ownership.AnswerPromise(False)]
        return [self._standby.answer_request(event, now)]

    @_dispatch.register
    def _(self, event: _ownership.StepDownRequested, now: float) -> Commands:
        if self._holding and self._holding.get_epoch() < event.epoch:
            self._holding.end(f"epoch {event.epoch} has begun")
        self._minimum_epoch = max(self._minimum_epoch, event.epoch)
        return [_ownership.AnswerStepDown(True)]

    @_dispatch.register
    def _(self, event: _ownership.MembersObserved, now: float) -> Commands:
        self._members = event
        self._takeover.record_members(event)
        return self._holding.handle(event, now) if self._holding else []

    @_dispatch.register
    def _(self, event: _ownership.GenerationChanged, now: float) -> Commands:
        self._generation = event.generation
        self._pending = event.pending
        self._takeover.set_offline_limit(self._get_offline_limit())
        return self._holding.handle(event, now) if self._holding else []

    @_dispatch.register
    def _(self, event: _ownership.StopRequested, now: float) -> Commands:
        self._is_stopping = True
        self._standby.resign()
        return self._holding.handle(event, now) if self._holding else []

    def _begin_holding(
        self, takeover: _takeover.TakeoverResult, now: float
    ) -> Commands:
        self._holding = _holding.Holding(
            self._host,
            takeover,
            self._generation,
            self._pending,
            self._calls,
            self._explanations,
            now,
        )
        self._holding.handle(self._members, now)
        if self._is_stopping:
            self._holding.handle(_ownership.StopRequested(), now)
        sentence = (
            f"{self._host} holds {self._group} in epoch {takeover.row.epoch}."
        )
        self._explanations.add(sentence)
        return [
            _ownership.BecomeHolder(takeover.row.epoch),
            _ownership.RecordDecision(sentence),
        ]

    def _report_end(self, now: float) -> Commands:
        if self._holding is None or not self._holding.get_end_reason():
            return []
        epoch = self._holding.get_epoch()
        reason = self._holding.get_end_reason()
        self._holding = None
        self._takeover.restart(now)
        sentence = (
            f"{self._host} no longer holds {self._group} in epoch {epoch}:"
            f" {reason}."
        )
        self._explanations.add(sentence)
        return [
            _ownership.StepDown(epoch, reason),
            _ownership.RecordDecision(sentence),
        ]

    def _get_fleet(self) -> sycamoreloft_config.Fleet | None:
        return self._generation.fleets.get(self._group.fleet)

    def _get_offline_limit(self) -> float:
        fleet = self._get_fleet()
        return fleet.offline_limit_s if fleet else 0.0

    def _is_declared(self) -> bool:
        fleet = self._get_fleet()
        if fleet is None:
            return False
        domain = fleet.failure_domains.get(self._group.failure_domain)
        return (
            domain is not None
            and not domain.lost
            and self._group.index < domain.groups
        )
