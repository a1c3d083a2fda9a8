"""Promises that a host gives to a holder as the standby of a group."""

from sycamoreloft_decisions import _ownership, _rows, _timing


class StandbyPromises:
    """This host's promises not to take over one group.

    Only the promise for the latest epoch counts. When it expires without a
    renewal, the holder of that epoch has stopped acting, and this host may
    take over at once.

    Args:
        host: Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._epoch = 0
        self._promised_until = 0.0
        self._is_resigned = False
        self._replaced_epoch = 0

    def answer_request(
        self, event: _ownership.PromiseRequested, now: float
    ) -> _ownership.AnswerPromise:
        """Gives or refuses the promise that a holder requests."""
        if self._is_resigned:
            return _ownership.AnswerPromise(False, final=True)
        # While the outcome of a takeover write is unknown, this host may
        # already hold the group in the next epoch. A promise for the replaced
        # epoch would let the old holder act at the same time.
        if event.epoch < max(self._epoch, self._replaced_epoch + 1):
            return _ownership.AnswerPromise(False)
        if event.epoch > self._epoch:
            self._epoch = event.epoch
            self._promised_until = now
        if event.duration_ms == 0:
            self._promised_until = now
            return _ownership.AnswerPromise(True)
        length = event.duration_ms / 1000 * (1 + _timing.CLOCK_DRIFT)
        self._promised_until = max(self._promised_until, now + length)
        return _ownership.AnswerPromise(True)

    def resign(self) -> None:
        """Makes the promise final: this process never takes over the group."""
        self._is_resigned = True

    def is_promise_expired(self, now: float) -> bool:
        """Returns whether this host gave a promise that has expired."""
        return (
            self._epoch > 0
            and not self._is_resigned
            and now >= self._promised_until
        )

    def is_takeover_forbidden(self, now: float) -> bool:
        """Returns whether a promise forbids this host to take over."""
        return self._is_resigned or now < self._promised_until

    def is_holder_stopped(self, row: _rows.GroupRow, now: float) -> bool:
        """Returns whether an expired promise proves that the holder stopped.

        The proof holds if the stored row still has the epoch of the promise
        and names this host as the standby. A process that gave no promise in
        that epoch has no proof, since an earlier process of this host may
        have given one that is still valid.
        """
        return (
            self.is_promise_expired(now)
            and row.epoch == self._epoch
            and row.standby == self._host
        )

    def get_promise_end(self) -> float:
        """Returns when the last promise expires or expired."""
        return self._promised_until

    def reset(self) -> None:
        """Discards the promise, which no longer concerns the stored row."""
        self._epoch = 0

    def begin_takeover(self, epoch: int) -> None:
        """Refuses promises up to an epoch while this host tries to replace it.

        Args:
            epoch: Epoch of the stored row, 0 if there is none.
        """
        self._replaced_epoch = epoch

    def end_takeover(self) -> None:
        """Gives promises again, once the outcome of the takeover is known."""
        self._replaced_epoch = 0
