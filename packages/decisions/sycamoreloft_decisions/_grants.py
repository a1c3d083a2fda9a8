"""Grants of a holder to one upstream, and when they certainly expire."""

from collections import abc
import dataclasses
import itertools

from sycamoreloft_decisions import _ownership, _timing

#: Fences of granted units. The mapping is replaced, never changed in place,
#: because calls in flight refer to it.
Content = abc.Mapping[_ownership.Unit, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """Removal of units from the content of an upstream's grants.

    `UpstreamGrants.is_released` uses it to decide when the upstream certainly
    no longer considers itself the owner of the units.
    """

    #: First version of the content without the units.
    version: int
    #: When all grants that were sent before the removal have expired, on the
    #: holder's clock.
    end: float
    #: Run of the upstream at the time of the removal; empty if unknown.
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """A grant in flight."""

    number: int
    sent_at: float
    version: int
    #: Send time of the earlier call whose answer had the clock reading that
    #: this grant carries; None for a grant without a reading.
    reading_sent_at: float | None
    content: Content


class UpstreamGrants:
    """The grants of one epoch to one upstream.

    Only one call is in flight at a time, and the answer to a call that timed
    out is ignored. Answers are therefore handled in the order in which the
    upstream sent them, and an old incarnation cannot be mistaken for a new
    one.

    Args:
        upstream: Upstream name in the configuration.
        checks_fences: Whether the upstream rejects grants with an old epoch
            and requests with an old fence.
        epoch: Epoch of the holder.
        calls: Source of call identifiers, shared by all grants of the host.
        now: Clock reading in seconds.
    """

    def __init__(
        self,
        upstream: str,
        checks_fences: bool,
        epoch: int,
        calls: "itertools.count[int]",
        now: float,
    ) -> None:
        self.upstream = upstream
        self.checks_fences = checks_fences
        self.draining = False
        #: Whether the upstream has seen a higher epoch than this holder's.
        self.is_superseded = False
        self._epoch = epoch
        self._calls = calls
        self._incarnation = ""
        self._is_confirmed = False
        self._reading: float | None = None
        self._reading_received_at = 0.0
        self._reading_sent_at = 0.0
        self._content: Content = {}
        self._version = 1
        self._sent_version = 0
        self._acked_version = 0
        self._acked_content: Content = {}
        self._in_force_until = 0.0
        self._call: _Call | None = None
        self._next_send_at = now
        self._started_at = now
        self._answered_at: float | None = None
        # When all grants sent so far have certainly expired, and when those
        # have that were sent up to the last unanswered call.
        self._sent_end = 0.0
        self._unanswered_end = 0.0

    def needs_confirmation(self) -> bool:
        """Returns whether grants must wait until the group row is written.

        A restarted upstream has forgotten the highest epoch it has seen, so it
        could accept grants of a holder that was replaced. After the holder
        learns of a new incarnation, it grants nothing until it has written the
        group row again, which only the current holder can do.
        """
        return bool(self._incarnation) and not self._is_confirmed

    def get_incarnation(self) -> str:
        """Returns the incarnation in the latest answer; empty if unknown."""
        return self._incarnation

    def confirm(self, incarnation: str) -> None:
        """Records a successful write of the group row by this holder.

        Args:
            incarnation: Incarnation that was known when the first attempt of
                the write was sent.
        """
        if incarnation and incarnation == self._incarnation:
            self._is_confirmed = True

    def is_reachable(self, now: float) -> bool:
        """Returns whether the upstream has answered recently.

        A new holder counts an upstream as reachable for `FIRST_CONTACT_S`
        before the first answer.
        """
        if self._answered_at is None:
            return now < self._started_at + _timing.FIRST_CONTACT_S
        return now < self._answered_at + _timing.GRANT_CERTAIN_END_S

    def has_answered(self) -> bool:
        """Returns whether the upstream has answered in this epoch."""
        return self._answered_at is not None

    def update_content(
        self, added: Content, removed: abc.Iterable[_ownership.Unit]
    ) -> Removal:
        """Changes the content of the following grants.

        Args:
            added: Fences of units to add or replace.
            removed: Units to remove.

        Returns:
            The removal, with which `is_released` must be called before the
            removed units may be granted to another upstream.
        """
        content = dict(self._content)
        for unit in removed:
            content.pop(unit, None)
        content.update(added)
        self._content = content
        self._version += 1
        return Removal(self._version, self._sent_end, self._incarnation)

    def is_released(
        self, removal: Removal, now: float, earlier_end: float
    ) -> bool:
        """Returns whether the upstream certainly no longer owns removed units.

        Args:
            removal: Result of `update_content`.
            now: Clock reading in seconds.
            earlier_end: When all grants of earlier holders have certainly
                expired.
        """
        if now >= max(removal.end, earlier_end):
            return True
        # An incarnation that appears in this epoch started after the takeover.
        # No earlier holder can write the group row any more, which it would
        # have to do before it grants units to the new incarnation.
        if removal.incarnation and removal.incarnation != self._incarnation:
            return True
        return (
            self.checks_fences
            and self._acked_version >= removal.version
            and now >= self._unanswered_end
        )

    def is_granted(self, unit: _ownership.Unit, fence: int, now: float) -> bool:
        """Returns whether a grant of a unit is acknowledged and in force."""
        return (
            now < self._in_force_until
            and self._acked_content.get(unit) == fence
            and self._content.get(unit) == fence
        )

    def is_in_force(self, now: float) -> bool:
        """Returns whether the latest acknowledged grant is in force."""
        return now < self._in_force_until

    def tick(
        self, now: float, may_act: bool
    ) -> abc.Sequence[_ownership.SendGrant]:
        """Returns a grant to send if one is due and the holder may act."""
        call = self._call
        if call and now >= call.sent_at + _timing.GRANT_TIMEOUT_S:
            self._abandon_call(call)
        if self._call or not may_act:
            return ()
        is_changed = self._is_confirmed and (
            self._sent_version != self._version
        )
        if now >= self._next_send_at or is_changed:
            return (self._send(now),)
        return ()

    def record_failure(self, number: int) -> None:
        """Records an unanswered call; the upstream may still receive it.

        Args:
            number: Identifier of the call.
        """
        if self._call and self._call.number == number:
            self._abandon_call(self._call)

    def record_answer(
        self, event: _ownership.GrantAnswered, now: float
    ) -> None:
        """Records an answer of the upstream."""
        call = self._call
        if call is None or call.number != event.call:
            return
        self._call = None
        self._answered_at = now
        self.draining = event.draining
        self.is_superseded = event.highest_epoch > self._epoch
        if event.incarnation != self._incarnation:
            self._reset_for_incarnation(event.incarnation)
        elif (
            event.accepted
            and call.reading_sent_at is not None
            # A second answer to an earlier grant may arrive in place of the
            # answer to this one.
            and event.version == call.version
        ):
            self._acked_version = call.version
            self._acked_content = call.content
            # Counts from the earliest time at which the upstream may have read
            # its clock, and assumes the fastest clock, which ends the grant
            # soonest.
            self._in_force_until = (
                call.reading_sent_at
                + _timing.GRANT_LIFETIME_S / (1 + _timing.CLOCK_DRIFT)
            )
        else:
            self._acked_version = 0
        is_late = (
            call.reading_sent_at is None
            or call.sent_at - call.reading_sent_at > _timing.LATE_READING_S
        )
        if is_late and self._is_confirmed and not self.is_superseded:
            self._next_send_at = now
        self._reading = event.clock_reading
        self._reading_received_at = now
        self._reading_sent_at = call.sent_at

    def _reset_for_incarnation(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._is_confirmed = False
        self._sent_version = 0
        self._acked_version = 0
        self._acked_content = {}
        self._in_force_until = 0.0
        # The new incarnation rejects grants to an earlier one.
        self._unanswered_end = 0.0

    def _abandon_call(self, call: _Call) -> None:
        self._call = None
        self._unanswered_end = self._sent_end

    def _send(self, now: float) -> _ownership.SendGrant:
        reading = self._reading if self._is_confirmed else None
        content: Content = {} if reading is None else self._content
        number = next(self._calls)
        self._call = _Call(
            number,
            now,
            self._version,
            None if reading is None else self._reading_sent_at,
            content,
        )
        self._next_send_at = now + _timing.RENEWAL_INTERVAL_S
        if reading is not None:
            self._sent_end = (
                self._reading_received_at + _timing.GRANT_CERTAIN_END_S
            )
            self._sent_version = self._version
        is_known = reading is not None and (
            self._acked_version == self._version
        )
        partitions, hot_keys = split_content(content)
        return _ownership.SendGrant(
            upstream=self.upstream,
            call=number,
            epoch=self._epoch,
            version=self._version if reading is not None else 0,
            incarnation=self._incarnation,
            clock_reading=reading,
            lifetime_ms=_timing.GRANT_LIFETIME_MS,
            partitions=None if is_known else partitions,
            hot_keys=hot_keys,
        )


def split_content(
    content: Content,
) -> tuple[dict[str, dict[int, int]], dict[str, dict[str, int]]]:
    """Splits the content of a grant into partitions and hot keys."""
    partitions: dict[str, dict[int, int]] = {}
    hot_keys: dict[str, dict[str, int]] = {}
    for unit, fence in content.items():
        if unit.key:
            hot_keys.setdefault(unit.service, {})[unit.key] = fence
        else:
            partitions.setdefault(unit.service, {})[unit.partition] = fence
    return partitions, hot_keys
