"""Releases for upstreams whose keys were reassigned without their answer.

If a network partition begins while a grant is in transit, the grant may arrive
when the partition ends, long after the coordinator waited for its lease. The
upstream would then hold keys that another upstream owns. A release with a
newer fencing token makes the upstream refuse such a grant, or ends the lease
if the grant has already arrived. The release is therefore repeated until the
upstream answers it, or until `GIVE_UP_S` has passed.
"""

from collections import abc
import dataclasses

from sycamoreloft_direct import _key_commands, _model

#: Seconds between the end of an attempt and the next one. A network partition
#: can end at any moment, and the release should arrive as soon as a late grant
#: can.
RETRY_S = 0.1

#: Seconds after the loss of keys during which attempts are `RETRY_S` apart.
#: Most network partitions and restarts are shorter.
FAST_RETRY_PERIOD_S = 10.0

#: Seconds between two attempts after `FAST_RETRY_PERIOD_S`.
SLOW_RETRY_S = 1.0

#: Maximum number of concurrent releases. It does not apply during
#: `RECENT_ANSWER_S`.
MAXIMUM_OPEN_ORDERS = 8

#: Seconds after an answer during which `MAXIMUM_OPEN_ORDERS` does not apply: a
#: network partition that ended for one upstream has likely ended for others.
RECENT_ANSWER_S = 1.0

#: Seconds after which the coordinator gives up on an upstream that lost keys
#: and never answered.
GIVE_UP_S = 600.0

#: Like `GIVE_UP_S`, for an upstream that is not known to have lost keys. It is
#: shorter because the upstream gets no keys until then, although it may be
#: healthy.
PRECAUTION_GIVE_UP_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class LostKeys:
    """Keys that were reassigned without an answer from their owner."""

    #: Name of the service.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int


@dataclasses.dataclass(slots=True)
class _Revocation:
    """Keys that one upstream still has to release."""

    #: The most recent entry of the upstream in service discovery.
    upstream: _model.Upstream
    #: When the upstream last lost keys, in seconds.
    lost_at: float
    #: When to give up on the upstream, in seconds.
    give_up_at: float
    #: When the next attempt is due, in seconds.
    due_at: float
    #: Keys that the upstream has not released. Each order releases the first
    #: item of the list.
    keys: list[LostKeys]
    #: Number of the outstanding order; 0 for none.
    order: int = 0


class Revocations:
    """Tracks which owners still have to release keys that they lost.

    Args:
        create_fence: Returns a fencing token above all earlier ones.
        create_order: Returns the number of a new order.
        has_predecessor: Whether an earlier coordinator may have reassigned
            keys of upstreams that did not answer it.
    """

    def __init__(
        self,
        create_fence: abc.Callable[[], int],
        create_order: abc.Callable[[], int],
        *,
        has_predecessor: bool,
    ) -> None:
        self._create_fence = create_fence
        self._create_order = create_order
        self._has_predecessor = has_predecessor
        # Entries of listed upstreams, and of owners that are no longer listed.
        self._entries: dict[_model.UpstreamRun, _model.Upstream] = {}
        self._listed: abc.Set[_model.UpstreamRun] = frozenset()
        self._pending: dict[_model.UpstreamRun, _Revocation] = {}
        self._unlimited_until = 0.0

    def update_upstreams(
        self,
        listed: abc.Mapping[_model.UpstreamRun, _model.Upstream],
        owners: abc.Set[_model.UpstreamRun | None],
        now: float,
    ) -> None:
        """Replaces the list of upstreams after it has changed.

        Args:
            listed: Entries of sharded services in service discovery.
            owners: Runs that own keys.
            now: Time, in seconds.
        """
        self._entries = {
            run: entry
            for run, entry in {**self._entries, **listed}.items()
            if run in owners or run in listed
        }
        latest = {run.id: run.started_ms for run in sorted(listed)}
        for run in list(self._pending):
            if latest.get(run.id, 0) > run.started_ms:
                # A later run has the same identifier, and would receive the
                # releases that are meant for this one.
                del self._pending[run]
        if self._has_predecessor:
            for run in sorted(listed.keys() - self._listed - owners):
                self._pending[run] = _Revocation(
                    listed[run],
                    now,
                    now + PRECAUTION_GIVE_UP_S,
                    now,
                    [_build_all_keys(listed[run].service)],
                )
        self._listed = listed.keys()

    def add(
        self,
        run: _model.UpstreamRun,
        keys: LostKeys,
        now: float,
        *,
        owns_nothing: bool = True,
    ) -> None:
        """Records that a run lost keys without answering.

        Args:
            run: Run that owned the keys.
            keys: The lost keys.
            now: Time, in seconds.
            owns_nothing: Whether the run owns no other keys. If so, a single
                release of all keys replaces the separate releases.
        """
        entry = self._entries.get(run)
        if entry is None:
            # The owner has not been listed since this coordinator took over, so
            # only the map of keys contains it and its address is unknown.
            return
        revocation = self._pending.setdefault(
            run, _Revocation(entry, now, now, now, [])
        )
        revocation.lost_at, revocation.give_up_at = now, now + GIVE_UP_S
        if owns_nothing:
            keys = _build_all_keys(keys.service)
            # An outstanding order releases the first item, so it stays.
            del revocation.keys[1 if revocation.order else 0 :]
        revocation.keys.append(keys)

    def list_pending(self) -> abc.Sequence[_model.UpstreamRun]:
        """Returns the runs that have not yet released keys that they lost."""
        return tuple(self._pending)

    def is_pending(self, run: _model.UpstreamRun) -> bool:
        """Returns whether a run has not yet released keys that it lost."""
        return run in self._pending

    def forget(self, run: _model.UpstreamRun) -> None:
        """Drops the revocations of a run that has ended or owns keys again."""
        self._pending.pop(run, None)

    def list_due(self, now: float) -> abc.Sequence[_key_commands.SendRelease]:
        """Returns the releases that are due, at most one per upstream.

        Args:
            now: Time, in seconds.
        """
        for run, revocation in list(self._pending.items()):
            if now > revocation.give_up_at:
                del self._pending[run]
        due = [
            revocation
            for revocation in self._pending.values()
            if revocation.order == 0 and now >= revocation.due_at
        ]
        if now >= self._unlimited_until:
            open_count = sum(
                revocation.order != 0 for revocation in self._pending.values()
            )
            due.sort(key=lambda revocation: revocation.due_at)
            due = due[: max(0, MAXIMUM_OPEN_ORDERS - open_count)]
        return [self._send(revocation) for revocation in due]

    def finish(self, order: int, is_answered: bool, now: float) -> bool:
        """Records the result of a release.

        Args:
            order: Number of the order.
            is_answered: Whether the upstream answered.
            now: Time, in seconds.

        Returns:
            Whether the order is one of these releases. If not, nothing changes.
        """
        revocation = next(
            (
                revocation
                for revocation in self._pending.values()
                if revocation.order == order
            ),
            None,
        )
        if revocation is None:
            return False
        revocation.order = 0
        if is_answered:
            revocation.keys.pop(0)
            if not revocation.keys:
                del self._pending[revocation.upstream.run]
            self._make_all_due(now)
        else:
            is_recent = now < revocation.lost_at + FAST_RETRY_PERIOD_S
            revocation.due_at = now + (RETRY_S if is_recent else SLOW_RETRY_S)
        return True

    def _make_all_due(self, now: float) -> None:
        self._unlimited_until = now + RECENT_ANSWER_S
        for revocation in self._pending.values():
            revocation.due_at = min(revocation.due_at, now)

    def _send(self, revocation: _Revocation) -> _key_commands.SendRelease:
        revocation.order = self._create_order()
        keys = revocation.keys[0]
        return _key_commands.SendRelease(
            revocation.order,
            revocation.upstream.run,
            keys.service,
            keys.first,
            keys.last,
            self._create_fence(),
            revocation.upstream.address,
            is_revocation=True,
        )


def _build_all_keys(service: str) -> LostKeys:
    return LostKeys(service, 0, _model.KEY_COUNT - 1)
