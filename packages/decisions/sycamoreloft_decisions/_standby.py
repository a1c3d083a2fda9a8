"""The standby of a group: gives promises and detects the holder's loss."""

from sycamoreloft_decisions import _ownership, _rows, _timing


class StandbyDesk:
    """Promises of this host not to take a group.

    Args:
        host: Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._epoch = 0
        self._kept_until = 0.0
        self._is_resigned = False
        self._taking = 0

    def answer(
        self, event: _ownership.PromiseRequested, now: float
    ) -> _ownership.AnswerPromise:
        """Gives or refuses a promise."""
        if self._is_resigned:
            return _ownership.AnswerPromise(False, final=True)
        # While a write that takes the group is not settled, the group may
        # already be this host's, so no promise may be given.
        if event.epoch < max(self._epoch, self._taking + 1):
            return _ownership.AnswerPromise(False)
        if event.epoch > self._epoch:
            self._epoch = event.epoch
            self._kept_until = now
        if event.duration_ms == 0:
            self._kept_until = now
            return _ownership.AnswerPromise(True)
        length = event.duration_ms / 1000 * (1 + _timing.CLOCK_DRIFT)
        self._kept_until = max(self._kept_until, now + length)
        return _ownership.AnswerPromise(True)

    def resign(self) -> None:
        """Promises for good: this host never takes the group over again."""
        self._is_resigned = True

    def wants_group(self, now: float) -> bool:
        """Tells whether the last promise has expired."""
        return (
            self._epoch > 0
            and not self._is_resigned
            and now >= self._kept_until
        )

    def is_bound(self, now: float) -> bool:
        """Tells whether a promise forbids this host to take the group."""
        return self._is_resigned or now < self._kept_until

    def may_take(self, row: _rows.GroupRow, now: float) -> bool:
        """Tells whether the expired promise proves that the holder stopped.

        It does if the row still names this host in the epoch of the promise.
        A process that gave no promise in that epoch knows nothing: an earlier
        process of the host may have given one.
        """
        return (
            self.wants_group(now)
            and row.epoch == self._epoch
            and row.standby == self._host
        )

    def get_end(self) -> float:
        """Returns when the last promise expired."""
        return self._kept_until

    def forget(self) -> None:
        """Ends the role: the row names another standby or a later epoch."""
        self._epoch = 0

    def begin_taking(self, epoch: int) -> None:
        """Refuses promises for an epoch while this host replaces it."""
        self._taking = epoch

    def end_taking(self) -> None:
        """The attempt to take the group is settled."""
        self._taking = 0
