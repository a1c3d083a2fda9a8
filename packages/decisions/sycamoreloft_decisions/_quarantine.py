"""Quarantine for requests that may crash the upstreams that run them.

A request gets one mark for each upstream that was lost while running it. A
broken connection adds a mark at once, before the loss of the upstream is
confirmed: confirmation takes about a second, in which a caller can repeat a
crashing request several times. If a request ended as unknown on an unbroken
connection, the upstream may have frozen. This adds no mark until the upstream
is lost, but the request has to wait if it happened on two upstreams within
`CONFIRMATION_S`.
"""

from collections import abc
import dataclasses
import enum

from sycamoreloft_decisions import _permit_events, _recent_set


class Suspicion(enum.IntEnum):
    """Whether requests with a given fingerprint may run."""

    #: They may run without restriction.
    CLEAR = 0
    #: One may run while no other suspect is running.
    SUSPECT = 1
    #: None may run until the loss of their upstreams is confirmed or refuted.
    UNRESOLVED = 2
    #: None may run.
    GUILTY = 3


#: Number of lost upstreams after which a request no longer runs.
MAXIMUM_LOSSES = 2

#: Seconds after which a broken connection no longer counts as a loss, unless
#: the loss of the upstream was confirmed. The holder detects a loss within
#: 1.02 s.
CONFIRMATION_S = 3.0


@dataclasses.dataclass(slots=True)
class _Mark:
    """An upstream that was or may have been lost while running a request."""

    #: Name of the upstream; empty if another group or holder reported the
    #: loss.
    upstream: str
    #: Time of the mark, in seconds.
    marked_at: float
    #: Value of `Quarantine.mark_count` after this mark was added. It orders
    #: marks and permits, which store the count at the time of their issue.
    mark_count: int
    #: Whether the upstream is known to be lost.
    confirmed: bool

    def is_same_loss(self, upstream: str, mark_count: int) -> bool:
        """Returns whether a permit was affected by the loss of this mark.

        Args:
            upstream: Upstream of the permit.
            mark_count: Value of `Quarantine.mark_count` when the permit was
                issued.
        """
        return upstream == self.upstream and mark_count < self.mark_count


@dataclasses.dataclass(slots=True)
class _Record:
    """Marks of the requests with one fingerprint.

    The marks expire together with the record.
    """

    #: Time of the first mark, in seconds.
    created_at: float
    marks: list[_Mark]
    guilty: bool = False


class Quarantine:
    """Suspected and guilty requests of one group, in bounded memory."""

    def __init__(self, options: _permit_events.PermitOptions) -> None:
        """Creates an empty quarantine."""
        self._options = options
        #: Number of marks added so far. It never decreases.
        self.mark_count = 0
        self._records: dict[bytes, _Record] = {}
        self._unconfirmed: dict[str, set[bytes]] = {}
        self._known_good = _recent_set.RecentSet[bytes](options.known_good)
        self._unshared: dict[bytes, bool] = {}
        self._possible_freezes: dict[bytes, dict[str, tuple[float, int]]] = {}

    def is_empty(self) -> bool:
        """Returns whether all requests are clear."""
        return not self._records and not self._possible_freezes

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether a running request counts as a suspect."""
        return fingerprint in self._records

    def is_known_good(self, fingerprint: bytes) -> bool:
        """Returns whether a request with the fingerprint completed recently."""
        return fingerprint in self._known_good

    def classify(self, fingerprint: bytes, now: float) -> Suspicion:
        """Returns whether a request with the fingerprint may run."""
        record = self._records.get(fingerprint)
        if record is not None and record.guilty:
            return Suspicion.GUILTY
        if record is None and fingerprint not in self._possible_freezes:
            return Suspicion.CLEAR
        marks = record.marks if record is not None else []
        losses = len(marks) + sum(
            unknown_at + CONFIRMATION_S > now
            and not any(
                mark.is_same_loss(upstream, mark_count) for mark in marks
            )
            for upstream, (
                unknown_at,
                mark_count,
            ) in self._possible_freezes.get(fingerprint, {}).items()
        )
        if losses >= self._count_allowed(fingerprint):
            return Suspicion.UNRESOLVED
        return Suspicion.CLEAR if record is None else Suspicion.SUSPECT

    def list_possibly_frozen(self, fingerprint: bytes, now: float) -> set[str]:
        """Returns the upstreams that the request may have frozen recently."""
        freezes = self._possible_freezes.get(fingerprint)
        if freezes is None:
            return set()
        return {
            upstream
            for upstream, (unknown_at, _) in freezes.items()
            if unknown_at + CONFIRMATION_S > now
        }

    def record_completion(self, fingerprint: bytes) -> None:
        """Clears a suspect, since a crashing request would not complete."""
        record = self._records.get(fingerprint)
        if record is not None and not record.guilty:
            self._remove(fingerprint)
        if self._possible_freezes:
            self._possible_freezes.pop(fingerprint, None)
        self._known_good.add(fingerprint)

    def record_break(
        self, fingerprint: bytes, upstream: str, mark_count: int, now: float
    ) -> None:
        """Marks a request whose connection broke before the answer ended.

        Args:
            fingerprint: Fingerprint of the request.
            upstream: Name of the upstream.
            mark_count: Value of the attribute `mark_count` when the permit
                was issued.
            now: Time, in seconds.
        """
        if self._mark(fingerprint, upstream, mark_count, now, False):
            self._unconfirmed.setdefault(upstream, set()).add(fingerprint)

    def record_unknown(
        self, fingerprint: bytes, upstream: str, mark_count: int, now: float
    ) -> None:
        """Records a request that may have frozen its upstream.

        Takes the same arguments as `record_break`.
        """
        freezes = self._possible_freezes.pop(fingerprint, {})
        freezes[upstream] = (now, mark_count)
        self._possible_freezes[fingerprint] = freezes
        if len(self._possible_freezes) > self._options.suspects:
            del self._possible_freezes[next(iter(self._possible_freezes))]

    def record_loss(
        self,
        upstream: str,
        running: abc.Iterable[tuple[bytes, int]],
        now: float,
    ) -> None:
        """Marks the requests that were running on a lost upstream.

        Args:
            upstream: Name of the lost upstream.
            running: Fingerprints of the requests, each with the value of
                `mark_count` when its permit was issued.
            now: Time, in seconds.
        """
        # Reports of other groups name no upstream, so any loss confirms them.
        for name in (upstream, ""):
            for fingerprint in self._unconfirmed.pop(name, ()):
                self._confirm(fingerprint, name)
        for fingerprint, freezes in list(self._possible_freezes.items()):
            unknown_at, mark_count = freezes.pop(upstream, (-CONFIRMATION_S, 0))
            if unknown_at + CONFIRMATION_S > now:
                self._mark(fingerprint, upstream, mark_count, now, True)
        for fingerprint, mark_count in running:
            self._mark(fingerprint, upstream, mark_count, now, True)

    def add_reported(
        self, fingerprints: abc.Iterable[bytes], guilty: bool, now: float
    ) -> None:
        """Adds the marks that another group or an earlier holder reported.

        They are ignored for requests with marks of this holder. A second
        report stands for a second loss, which counts as unconfirmed.
        """
        for fingerprint in fingerprints:
            record = self._records.get(fingerprint)
            if record is None:
                mark = self._create_mark("", now, True)
                record = self._add(fingerprint, _Record(now, [mark]))
            elif not any(mark.upstream for mark in record.marks):
                record.marks.append(self._create_mark("", now, False))
                self._unconfirmed.setdefault("", set()).add(fingerprint)
            record.guilty |= guilty

    def pop_unshared(self) -> abc.Sequence[_permit_events.ShareSuspects]:
        """Returns the notices that have not been sent to other groups yet."""
        if not self._unshared:
            return ()
        commands = []
        for guilty in (False, True):
            fingerprints = tuple(
                fingerprint
                for fingerprint, is_guilty in self._unshared.items()
                if is_guilty is guilty
            )
            if fingerprints:
                commands.append(
                    _permit_events.ShareSuspects(fingerprints, guilty)
                )
        self._unshared = {}
        return commands

    def expire(self, now: float) -> None:
        """Drops old records, and broken connections without a loss."""
        for fingerprint, record in list(self._records.items()):
            if record.created_at + self._options.suspect_s <= now:
                self._remove(fingerprint)
            elif not record.guilty:
                self._expire_marks(fingerprint, record, now)
        for fingerprint, freezes in list(self._possible_freezes.items()):
            if all(
                unknown_at + CONFIRMATION_S <= now
                for unknown_at, _ in freezes.values()
            ):
                del self._possible_freezes[fingerprint]

    def _expire_marks(
        self, fingerprint: bytes, record: _Record, now: float
    ) -> None:
        kept = []
        for mark in record.marks:
            if mark.confirmed or mark.marked_at + CONFIRMATION_S > now:
                kept.append(mark)
            else:
                fingerprints = self._unconfirmed.get(mark.upstream, set())
                fingerprints.discard(fingerprint)
                if not fingerprints:
                    self._unconfirmed.pop(mark.upstream, None)
        record.marks = kept
        if not kept:
            self._remove(fingerprint)

    def _mark(
        self,
        fingerprint: bytes,
        upstream: str,
        mark_count: int,
        now: float,
        confirmed: bool,
    ) -> bool:
        """Adds a mark, and returns whether it is unconfirmed."""
        record = self._records.get(fingerprint)
        if record is None:
            record = self._add(fingerprint, _Record(now, []))
        for mark in record.marks:
            # Copies of a request that ran on one upstream at the same time
            # caused a single loss.
            if mark.is_same_loss(upstream, mark_count):
                mark.confirmed |= confirmed
                break
        else:
            record.marks.append(self._create_mark(upstream, now, confirmed))
            self._unshared.setdefault(fingerprint, False)
        self._update_guilt(fingerprint, record)
        return not confirmed

    def _confirm(self, fingerprint: bytes, upstream: str) -> None:
        record = self._records.get(fingerprint)
        if record is not None:
            for mark in record.marks:
                mark.confirmed |= mark.upstream == upstream
            self._update_guilt(fingerprint, record)

    def _create_mark(self, upstream: str, now: float, confirmed: bool) -> _Mark:
        self.mark_count += 1
        return _Mark(upstream, now, self.mark_count, confirmed)

    def _update_guilt(self, fingerprint: bytes, record: _Record) -> None:
        confirmed = sum(mark.confirmed for mark in record.marks)
        allowed = self._count_allowed(fingerprint)
        if confirmed >= allowed and not record.guilty:
            record.guilty = True
            self._unshared[fingerprint] = True

    def _count_allowed(self, fingerprint: bytes) -> int:
        # A request that has completed before is presumed not to be the cause.
        # It may run once more, alone, and is guilty if that upstream is lost.
        return MAXIMUM_LOSSES + (fingerprint in self._known_good)

    def _add(self, fingerprint: bytes, record: _Record) -> _Record:
        if len(self._records) >= self._options.suspects:
            oldest = next(
                (key for key, old in self._records.items() if not old.guilty),
                next(iter(self._records)),
            )
            self._remove(oldest)
        self._records[fingerprint] = record
        if not record.marks:
            self._unshared[fingerprint] = False
        return record

    def _remove(self, fingerprint: bytes) -> None:
        record = self._records.pop(fingerprint)
        self._unshared.pop(fingerprint, None)
        for mark in record.marks:
            fingerprints = self._unconfirmed.get(mark.upstream)
            if fingerprints is not None:
                fingerprints.discard(fingerprint)
                if not fingerprints:
                    del self._unconfirmed[mark.upstream]
