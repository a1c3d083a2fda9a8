"""Oracles of request decisions: what hosts and upstreams really did.

The oracles use nothing of the machines that they judge. They are told what
happens at hosts and upstreams, and raise `OracleError` when a promise of the
design is broken.
"""

import collections
from collections import abc
import dataclasses


class OracleError(AssertionError):
    """A promise of the design was broken."""


@dataclasses.dataclass(slots=True)
class _Use:
    """A permit in the hands of a host, or the request that runs under it."""

    upstream: str
    epoch: int
    usable_until: float
    running: bool = False
    renewed_epoch: int = 0


class SlotOracle:
    """Counts what runs, and what may still start, on each upstream.

    A request that runs under a permit of an earlier holder is counted only
    if its host renewed the permit with the present holder in time. Otherwise
    the permit has lapsed, and the design lets the holder reuse the slot.
    """

    def __init__(self, slots: abc.Mapping[str, int]) -> None:
        """Starts with idle upstreams and their slots."""
        self._slots = slots
        self._uses: dict[str, _Use] = {}
        self._epoch = 1
        #: Requests that ran under a lapsed permit of an earlier holder.
        self.lapsed = 0

    def change_holder(self) -> int:
        """Starts the epoch of another holder and returns it."""
        self._epoch += 1
        return self._epoch

    def receive(
        self, permit: str, upstream: str, usable_until: float, epoch: int
    ) -> None:
        """A host received a grant that it may use until some time."""
        self._uses[permit] = _Use(
            upstream, epoch, usable_until, renewed_epoch=epoch
        )

    def renew(self, permit: str, epoch: int) -> None:
        """The holder got a report of the permit in time."""
        use = self._uses.get(permit)
        if use is not None:
            use.renewed_epoch = epoch

    def start(self, permit: str, now: float) -> None:
        """An upstream started the request."""
        self._uses[permit].running = True
        self.check(now)

    def end(self, permit: str) -> None:
        """The request ended, or the host dropped the permit unused."""
        self._uses.pop(permit, None)

    def crash(self, upstream: str) -> None:
        """An upstream lost everything that ran on it."""
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
    """Counts the runs of each request id, and compares what callers hear."""

    def __init__(self) -> None:
        """Starts without runs."""
        self._runs: collections.Counter[bytes] = collections.Counter()
        self._sends: collections.Counter[bytes] = collections.Counter()
        self._refusals: collections.Counter[bytes] = collections.Counter()
        self._ran: set[str] = set()

    def send(self, id_hash: bytes) -> None:
        """A host sent the request; it must not have been sent in doubt."""
        self._sends[id_hash] += 1
        if self._sends[id_hash] - self._refusals[id_hash] > 1:
            raise OracleError(f"the id {id_hash!r} was sent twice")

    def refuse(self, id_hash: bytes) -> None:
        """The upstream refused the request by contract."""
        self._refusals[id_hash] += 1

    def run(self, id_hash: bytes, attempt: str) -> None:
        """The upstream ran the request."""
        self._runs[id_hash] += 1
        self._ran.add(attempt)
        if self._runs[id_hash] > 1:
            raise OracleError(f"the id {id_hash!r} ran twice")

    def tell(self, attempt: str, outcome: str) -> None:
        """A caller was told the outcome of an attempt."""
        if outcome == "did-not-run" and attempt in self._ran:
            raise OracleError(
                f"the attempt {attempt} ran, but its caller was told that it"
                " did not"
            )

    def count_runs(self) -> int:
        """Returns the number of runs of all ids."""
        return sum(self._runs.values())


class LossOracle:
    """Counts the upstreams that each crashing request took down."""

    def __init__(self, bound: int = 2) -> None:
        """Starts without losses; `bound` upstreams may be lost."""
        self._bound = bound
        self._losses: collections.Counter[bytes] = collections.Counter()

    def lose(self, fingerprint: bytes) -> None:
        """An upstream went down because it ran the request."""
        self._losses[fingerprint] += 1
        if self._losses[fingerprint] > self._bound:
            raise OracleError(
                f"{self._losses[fingerprint]} upstreams were lost to one"
                f" request; the bound is {self._bound}"
            )

    def refuse(self, fingerprint: bytes, crashes: bool) -> None:
        """A request was refused as quarantined."""
        if not crashes:
            raise OracleError(
                f"the harmless request {fingerprint!r} was quarantined"
            )

    def count_losses(self) -> int:
        """Returns the number of lost upstreams."""
        return sum(self._losses.values())
