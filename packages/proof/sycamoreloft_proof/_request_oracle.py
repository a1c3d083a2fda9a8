"""Oracles for request decisions, based on what hosts and upstreams did.

The oracles share no code with the state machines that they check. Tests report
to them what happens at hosts and upstreams; they raise `OracleError` if a
guarantee of the design is violated.
"""

import collections
from collections import abc
import dataclasses


class OracleError(AssertionError):
    """A guarantee of the design was violated."""


@dataclasses.dataclass(slots=True)
class _PermitUse:
    """A permit that a host holds, or the request that runs under it."""

    upstream: str
    epoch: int
    usable_until: float
    running: bool = False
    renewed_epoch: int = 0


class SlotOracle:
    """Checks that permits and running requests never exceed the slots.

    A request that runs under a permit of an earlier holder is counted only
    if its host renewed the permit with the current holder in time. Otherwise
    the permit has lapsed, and the design lets the holder reuse the slot.
    """

    def __init__(self, slots: abc.Mapping[str, int]) -> None:
        """Initializes idle upstreams with their numbers of slots."""
        self._slots = slots
        self._uses: dict[str, _PermitUse] = {}
        self._epoch = 1
        #: Maximum number of requests that ran at one time under lapsed permits
        #: of earlier holders.
        self.lapsed = 0

    def change_holder(self) -> int:
        """Starts the epoch of a new holder and returns the epoch."""
        self._epoch += 1
        return self._epoch

    def receive(
        self, permit: str, upstream: str, usable_until: float, epoch: int
    ) -> None:
        """Records that a host received a permit with its expiry time."""
        self._uses[permit] = _PermitUse(
            upstream, epoch, usable_until, renewed_epoch=epoch
        )

    def renew(self, permit: str, epoch: int) -> None:
        """Records that the holder got a report of the permit in time."""
        use = self._uses.get(permit)
        if use is not None:
            use.renewed_epoch = epoch

    def start(self, permit: str, now: float) -> None:
        """Records that an upstream started the request."""
        self._uses[permit].running = True
        self.check(now)

    def end(self, permit: str) -> None:
        """Records that the request ended or the permit was dropped unused."""
        self._uses.pop(permit, None)

    def crash(self, upstream: str) -> None:
        """Records that an upstream crashed and lost its running requests."""
        for permit, use in list(self._uses.items()):
            if use.upstream == upstream and use.running:
                del self._uses[permit]

    def check(self, now: float) -> None:
        """Raises if an upstream has more permits than slots."""
        counts = collections.Counter(
            self._uses[permit].upstream for permit in self._list_active(now)
        )
        for upstream, count in counts.items():
            if count > self._slots[upstream]:
                raise OracleError(
                    f"{upstream} has {count} permits in use and"
                    f" {self._slots[upstream]} slots at {now:.3f} s"
                )

    def check_drained(self, permits: abc.Container[str], now: float) -> None:
        """Raises if one of the permits is in use or may still be used."""
        for permit in self._list_active(now):
            if permit in permits:
                raise OracleError(
                    f"the permit {permit} of a drained partition is in use"
                    f" at {now:.3f} s"
                )

    def _list_active(self, now: float) -> list[str]:
        active = []
        lapsed = 0
        for permit, use in self._uses.items():
            if not use.running and use.usable_until <= now:
                continue
            if use.renewed_epoch < self._epoch and use.usable_until <= now:
                lapsed += 1
            else:
                active.append(permit)
        self.lapsed = max(self.lapsed, lapsed)
        return active


class RunOracle:
    """Checks that each id runs at most once and outcomes are true."""

    def __init__(self) -> None:
        """Initializes an oracle without runs."""
        self._runs: collections.Counter[bytes] = collections.Counter()
        self._sends: collections.Counter[bytes] = collections.Counter()
        self._refusals: collections.Counter[bytes] = collections.Counter()
        self._ran: set[str] = set()

    def send(self, id_hash: bytes) -> None:
        """Records that a host sent the request.

        Raises:
            OracleError: An earlier sending was not refused, so it may have run.
        """
        self._sends[id_hash] += 1
        if self._sends[id_hash] - self._refusals[id_hash] > 1:
            raise OracleError(f"the id {id_hash!r} was sent twice")

    def refuse(self, id_hash: bytes) -> None:
        """Records that the upstream refused the request without running it."""
        self._refusals[id_hash] += 1

    def run(self, id_hash: bytes, attempt: str) -> None:
        """Records that the upstream ran the request."""
        self._runs[id_hash] += 1
        self._ran.add(attempt)
        if self._runs[id_hash] > 1:
            raise OracleError(f"the id {id_hash!r} ran twice")

    def report_outcome(self, attempt: str, outcome: str) -> None:
        """Records the outcome of an attempt as reported to its caller."""
        if outcome == "did-not-run" and attempt in self._ran:
            raise OracleError(
                f"the attempt {attempt} ran, but its caller was told that it"
                " did not"
            )

    def count_runs(self) -> int:
        """Returns the total number of runs."""
        return sum(self._runs.values())


class LossOracle:
    """Checks how many upstreams each crashing request took down."""

    def __init__(self, bound: int = 2) -> None:
        """Initializes an oracle; a request may crash `bound` upstreams."""
        self._bound = bound
        self._losses: collections.Counter[bytes] = collections.Counter()

    def record_loss(self, fingerprint: bytes) -> None:
        """Records that an upstream crashed because it ran the request."""
        self._losses[fingerprint] += 1
        if self._losses[fingerprint] > self._bound:
            raise OracleError(
                f"{self._losses[fingerprint]} upstreams were lost to one"
                f" request; the bound is {self._bound}"
            )

    def refuse(self, fingerprint: bytes, crashes: bool) -> None:
        """Records that a request was refused as quarantined."""
        if not crashes:
            raise OracleError(
                f"the harmless request {fingerprint!r} was quarantined"
            )

    def count_losses(self) -> int:
        """Returns the number of lost upstreams."""
        return sum(self._losses.values())
