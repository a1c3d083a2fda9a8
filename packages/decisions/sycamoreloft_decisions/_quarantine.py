"""Record of requests that may crash the upstreams that run them.

A request is marked once for each upstream that was lost while running it.
A broken connection marks it at once, before the loss of the upstream is
confirmed, because a caller can repeat a crashing request several times in
the second that the confirmation takes. A request that ended as unknown on an
unbroken connection (the upstream may have frozen) is only remembered; it has
to wait when that happened on two upstreams within the same few seconds.
"""

from collections import abc
import dataclasses
import enum

from sycamoreloft_decisions import _permit_events, _recent_set


class Standing(enum.IntEnum):
    """How a request with a given fingerprint may be run."""

    #: Without restriction.
    CLEAR = 0
    #: Only while no other suspect is running.
    SUSPECT = 1
    #: Not before the loss of its upstreams is confirmed or disproved.
    UNRESOLVED = 2
    #: Not at all.
    GUILTY = 3


#: Losses after which a request is not run any more.
MAXIMUM_LOSSES = 2

#: Seconds after which a broken connection no longer counts as a loss if the
#: upstream was not lost. The holder notices a loss within 1.02 s.
CONFIRMATION_S = 3.0


@dataclasses.dataclass(slots=True)
class _Mark:
    """One upstream that was, or seems, lost while it ran the request."""

    upstream: str
    at: float
    #: Order in which marks were made; a permit remembers the last one before
    #: it was issued.
    order: int
    confirmed: bool

    def covers(self, upstream: str, order: int) -> bool:
        """Tells whether a permit of that order belongs to the same loss."""
        return upstream == self.upstream and order < self.order


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of one fingerprint; marks end with the record."""

    since: float
    marks: list[_Mark]
    guilty: bool = False


class Quarantine:
    """Bounded record of suspects and guilty requests of one group."""

    def __init__(self, options: _permit_events.PermitOptions) -> None:
        """Starts an empty record."""
        self._options = options
        #: Number of marks made so far.
        self.order = 0
        self._records: dict[bytes, _Record] = {}
        self._unconfirmed: dict[str, set[bytes]] = {}
        self._known_good = _recent_set.RecentSet[bytes](options.known_good)
        self._unshared: dict[bytes, bool] = {}
        self._doubtful: dict[bytes, dict[str, tuple[float, int]]] = {}

    def is_empty(self) -> bool:
        """Tells whether every request is clear."""
        return not self._records and not self._doubtful

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Tells whether a request counts as a running suspect."""
        return fingerprint in self._records

    def is_known_good(self, fingerprint: bytes) -> bool:
        """Tells whether such a request completed recently."""
        return fingerprint in self._known_good

    def judge(self, fingerprint: bytes, now: float) -> Standing:
        """Tells how a request may be run."""
        record = self._records.get(fingerprint)
        if record is not None and record.guilty:
            return Standing.GUILTY
        if record is None and fingerprint not in self._doubtful:
            return Standing.CLEAR
        marks = record.marks if record is not None else []
        losses = len(marks) + sum(
            at + CONFIRMATION_S > now
            and not any(mark.covers(upstream, order) for mark in marks)
            for upstream, (at, order) in self._doubtful.get(
                fingerprint, {}
            ).items()
        )
        if losses >= self._count_allowed(fingerprint):
            return Standing.UNRESOLVED
        return Standing.CLEAR if record is None else Standing.SUSPECT

    def list_doubtful(self, fingerprint: bytes, now: float) -> set[str]:
        """Returns the upstreams that such a request may have frozen."""
        found = self._doubtful.get(fingerprint)
        if found is None:
            return set()
        return {
            upstream
            for upstream, (at, _) in found.items()
            if at + CONFIRMATION_S > now
        }

    def record_completion(self, fingerprint: bytes) -> None:
        """Clears a suspect: a crashing request cannot complete."""
        record = self._records.get(fingerprint)
        if record is not None and not record.guilty:
            self._remove(fingerprint)
        if self._doubtful:
            self._doubtful.pop(fingerprint, None)
        self._known_good.add(fingerprint)

    def record_break(
        self, fingerprint: bytes, upstream: str, order: int, now: float
    ) -> None:
        """Marks a request whose connection broke before the answer ended.

        Args:
            fingerprint: Fingerprint of the request.
            upstream: Name of the upstream.
            order: Value of `order` when the permit was issued.
            now: Time.
        """
        if self._mark(fingerprint, upstream, order, now, False):
            self._unconfirmed.setdefault(upstream, set()).add(fingerprint)

    def record_unknown(
        self, fingerprint: bytes, upstream: str, order: int, now: float
    ) -> None:
        """Remembers a request that may have frozen its upstream."""
        found = self._doubtful.pop(fingerprint, {})
        found[upstream] = (now, order)
        self._doubtful[fingerprint] = found
        if len(self._doubtful) > self._options.suspects:
            del self._doubtful[next(iter(self._doubtful))]

    def record_loss(
        self,
        upstream: str,
        running: abc.Iterable[tuple[bytes, int]],
        now: float,
    ) -> None:
        """Marks the requests that were running on a lost upstream.

        Args:
            upstream: Name of the lost upstream.
            running: Fingerprints with the values of `order` when their
                permits were issued.
            now: Time.
        """
        # A notice does not name the upstream, so any loss confirms it.
        for name in (upstream, ""):
            for fingerprint in self._unconfirmed.pop(name, ()):
                self._confirm(fingerprint, name)
        for fingerprint, found in list(self._doubtful.items()):
            at, order = found.pop(upstream, (-CONFIRMATION_S, 0))
            if at + CONFIRMATION_S > now:
                self._mark(fingerprint, upstream, order, now, True)
        for fingerprint, order in running:
            self._mark(fingerprint, upstream, order, now, True)

    def learn(
        self, fingerprints: abc.Iterable[bytes], guilty: bool, now: float
    ) -> None:
        """Takes over what another group or holder found.

        Own findings count instead, if there are any. A second notice tells of
        a second loss, which counts until it would have been confirmed.
        """
        for fingerprint in fingerprints:
            record = self._records.get(fingerprint)
            if record is None:
                mark = self._make_mark("", now, True)
                record = self._add(fingerprint, _Record(now, [mark]))
            elif not any(mark.upstream for mark in record.marks):
                record.marks.append(self._make_mark("", now, False))
                self._unconfirmed.setdefault("", set()).add(fingerprint)
            record.guilty |= guilty

    def take_unshared(self) -> abc.Sequence[_permit_events.ShareSuspects]:
        """Returns what other groups have not been told yet."""
        if not self._unshared:
            return ()
        commands = []
        for guilty in (False, True):
            found = tuple(
                fingerprint
                for fingerprint, is_guilty in self._unshared.items()
                if is_guilty is guilty
            )
            if found:
                commands.append(_permit_events.ShareSuspects(found, guilty))
        self._unshared = {}
        return commands

    def expire(self, now: float) -> None:
        """Forgets old records and breaks that no loss has confirmed."""
        for fingerprint, record in list(self._records.items()):
            if record.since + self._options.suspect_s <= now:
                self._remove(fingerprint)
            elif not record.guilty:
                self._expire_marks(fingerprint, record, now)
        for fingerprint, found in list(self._doubtful.items()):
            if all(at + CONFIRMATION_S <= now for at, _ in found.values()):
                del self._doubtful[fingerprint]

    def _expire_marks(
        self, fingerprint: bytes, record: _Record, now: float
    ) -> None:
        kept = []
        for mark in record.marks:
            if mark.confirmed or mark.at + CONFIRMATION_S > now:
                kept.append(mark)
            else:
                found = self._unconfirmed.get(mark.upstream, set())
                found.discard(fingerprint)
                if not found:
                    self._unconfirmed.pop(mark.upstream, None)
        record.marks = kept
        if not kept:
            self._remove(fingerprint)

    def _mark(
        self,
        fingerprint: bytes,
        upstream: str,
        order: int,
        now: float,
        confirmed: bool,
    ) -> bool:
        """Adds a mark; returns whether it still needs a confirmation."""
        record = self._records.get(fingerprint)
        if record is None:
            record = self._add(fingerprint, _Record(now, []))
        for mark in record.marks:
            # Copies of one request that ran on the same upstream at the same
            # time took it down once.
            if mark.covers(upstream, order):
                mark.confirmed |= confirmed
                break
        else:
            record.marks.append(self._make_mark(upstream, now, confirmed))
            self._unshared.setdefault(fingerprint, False)
        self._decide(fingerprint, record)
        return not confirmed

    def _confirm(self, fingerprint: bytes, upstream: str) -> None:
        record = self._records.get(fingerprint)
        if record is not None:
            for mark in record.marks:
                mark.confirmed |= mark.upstream == upstream
            self._decide(fingerprint, record)

    def _make_mark(self, upstream: str, now: float, confirmed: bool) -> _Mark:
        self.order += 1
        return _Mark(upstream, now, self.order, confirmed)

    def _decide(self, fingerprint: bytes, record: _Record) -> None:
        confirmed = sum(mark.confirmed for mark in record.marks)
        allowed = self._count_allowed(fingerprint)
        if confirmed >= allowed and not record.guilty:
            record.guilty = True
            self._unshared[fingerprint] = True

    def _count_allowed(self, fingerprint: bytes) -> int:
        # A request that has completed before is not the cause of a loss,
        # unless one more upstream is lost to it when it runs alone.
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
            found = self._unconfirmed.get(mark.upstream)
            if found is not None:
                found.discard(fingerprint)
                if not found:
                    del self._unconfirmed[mark.upstream]
