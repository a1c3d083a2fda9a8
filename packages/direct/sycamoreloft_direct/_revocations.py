"""Releases keys at owners that lost them without answering.

A grant that was on its way when a network cut began may arrive when the cut
ends, however long that is after the wait for its lease. The upstream would
hold keys that another one has by then. A release with a newer fencing token
makes it refuse such a grant, or ends what it already took. The release is
therefore repeated until the upstream answers it, or for `GIVE_UP_S`.
"""

from collections import abc
import dataclasses

from sycamoreloft_direct import _key_commands, _nodes

#: Seconds between the end of a try and the next one. A cut can end at any
#: moment, and the release should arrive as soon as a late grant can.
RETRY_S = 0.1

#: Seconds for which tries follow each other so closely: most cuts and
#: restarts are over then.
FAST_RETRY_PERIOD_S = 10.0

#: Seconds between two tries after that.
SLOW_RETRY_S = 1.0

#: Releases under way at once, unless an upstream answered a moment ago.
MAXIMUM_OPEN_ORDERS = 8

#: Seconds after an answer for which all upstreams are tried: a cut that ended
#: for one has ended for others.
ANSWERED_S = 1.0

#: Seconds after which an upstream that never answered is given up.
GIVE_UP_S = 600.0

#: The same for one that is not known to have lost keys. It gets none until
#: then, although it may be sound.
PRECAUTION_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class LostKeys:
    """Keys that were taken from an owner without its answer."""

    #: Name of the service.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int


@dataclasses.dataclass(slots=True)
class _Revocation:
    """What is left to be released at one upstream."""

    #: The upstream as it was listed last.
    upstream: _nodes.Upstream
    #: When keys were taken last, in seconds.
    since: float
    #: When the upstream is given up, in seconds.
    until: float
    #: When the next try is due, in seconds.
    due_at: float
    #: Keys that it has not released.
    keys: list[LostKeys]
    #: Order that has not ended; 0 for none.
    order: int = 0


class Revocations:
    """Remembers which owners still have to release lost keys.

    Args:
        create_fence: Returns a fencing token above all earlier ones.
        create_order: Returns a number for an order.
        has_predecessor: Whether an earlier coordinator may have taken keys
            from upstreams that did not answer it.
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
        # Entries of owners, also of those that discovery lists no more.
        self._entries: dict[_nodes.UpstreamRun, _nodes.Upstream] = {}
        self._listed: abc.Set[_nodes.UpstreamRun] = frozenset()
        self._pending: dict[_nodes.UpstreamRun, _Revocation] = {}
        self._answered_until = 0.0

    def update_upstreams(
        self,
        listed: abc.Mapping[_nodes.UpstreamRun, _nodes.Upstream],
        owners: abc.Set[_nodes.UpstreamRun | None],
        now: float,
    ) -> None:
        """Takes the upstreams of sharded services when they have changed.

        Args:
            listed: Entries that discovery lists.
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
                # Another run has its identifier, and would get its releases.
                del self._pending[run]
        if self._has_predecessor:
            for run in sorted(listed.keys() - self._listed - owners):
                self._pending[run] = _Revocation(
                    listed[run],
                    now,
                    now + PRECAUTION_S,
                    now,
                    [_list_all(listed[run].service)],
                )
        self._listed = listed.keys()

    def add(
        self,
        run: _nodes.UpstreamRun,
        keys: LostKeys,
        now: float,
        *,
        owns_nothing: bool = True,
    ) -> None:
        """Notes that a run lost keys without its answer.

        Args:
            run: The run.
            keys: The keys.
            now: Time, in seconds.
            owns_nothing: Whether the run owns no other keys; one release of
                all keys is enough then.
        """
        entry = self._entries.get(run)
        if entry is None:
            # Adopted from the map, and never listed since: no address.
            return
        pending = self._pending.setdefault(
            run, _Revocation(entry, now, now, now, [])
        )
        pending.since, pending.until = now, now + GIVE_UP_S
        if owns_nothing:
            keys = _list_all(keys.service)
            # The first keys belong to the order that is under way, if any.
            del pending.keys[1 if pending.order else 0 :]
        pending.keys.append(keys)

    def is_pending(self, run: _nodes.UpstreamRun) -> bool:
        """Tells whether a run has yet to release keys that it lost."""
        return run in self._pending

    def forget(self, run: _nodes.UpstreamRun) -> None:
        """Forgets a run that has ended, or owns keys again."""
        self._pending.pop(run, None)

    def list_due(self, now: float) -> abc.Sequence[_key_commands.SendRelease]:
        """Returns the releases that are due, one for each upstream.

        Args:
            now: Time, in seconds.
        """
        for run, item in list(self._pending.items()):
            if now > item.until:
                del self._pending[run]
        due = [
            item
            for item in self._pending.values()
            if item.order == 0 and now >= item.due_at
        ]
        if now >= self._answered_until:
            open_count = sum(item.order != 0 for item in self._pending.values())
            due.sort(key=lambda item: item.due_at)
            due = due[: max(0, MAXIMUM_OPEN_ORDERS - open_count)]
        return [self._send(item) for item in due]

    def finish(self, order: int, is_answered: bool, now: float) -> bool:
        """Takes the result of a release.

        Args:
            order: The order.
            is_answered: Whether the upstream answered.
            now: Time, in seconds.

        Returns:
            Whether the order is one of these releases.
        """
        item = next(
            (item for item in self._pending.values() if item.order == order),
            None,
        )
        if item is None:
            return False
        item.order = 0
        if is_answered:
            item.keys.pop(0)
            if not item.keys:
                del self._pending[item.upstream.run]
            self._make_all_due(now)
        else:
            is_recent = now < item.since + FAST_RETRY_PERIOD_S
            item.due_at = now + (RETRY_S if is_recent else SLOW_RETRY_S)
        return True

    def _make_all_due(self, now: float) -> None:
        self._answered_until = now + ANSWERED_S
        for item in self._pending.values():
            item.due_at = min(item.due_at, now)

    def _send(self, item: _Revocation) -> _key_commands.SendRelease:
        item.order = self._create_order()
        keys = item.keys[0]
        return _key_commands.SendRelease(
            item.order,
            item.upstream.run,
            keys.service,
            keys.first,
            keys.last,
            self._create_fence(),
            item.upstream.address,
            is_revocation=True,
        )


def _list_all(service: str) -> LostKeys:
    return LostKeys(service, 0, _nodes.KEY_COUNT - 1)
