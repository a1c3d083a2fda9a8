"""One log line for each round of renewals of key leases.

All renewals of a round have the same fencing token. A line for each renewal
would flood the log, but the token under which an upstream holds keys must be
in it.
"""

import dataclasses
import logging

import sycamoreloft_direct
from sycamoreloft_router import _logs

_LOGGER = logging.getLogger(__name__)

#: Seconds after which a round is logged although no other one has begun, as
#: when no owner answers any more. Rounds usually take 0.9 s.
MAXIMUM_ROUND_S = 2.0

#: Maximum number of upstreams that a line lists. It keeps lines with usual
#: identifiers under 4 KiB, up to which a write to a pipe is not divided.
MAXIMUM_LISTED = 200


@dataclasses.dataclass(slots=True)
class _Round:
    """The renewals that have one token."""

    #: When the first renewal was decided, in seconds.
    began_at: float
    #: Number of renewals.
    count: int = 0
    #: Numbers of the renewals whose calls have not ended.
    open_orders: set[int] = dataclasses.field(default_factory=set)
    #: Number of accepted renewals by identifier of the upstream.
    accepted: dict[str, int] = dataclasses.field(default_factory=dict)


class RenewalRounds:
    """Collects the results of renewals, and logs them by round.

    Args:
        epoch: Epoch of the coordinator.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._rounds: dict[int, _Round] = {}

    def begin(self, order: sycamoreloft_direct.SendGrant, now: float) -> None:
        """Records a renewal that is about to be sent.

        Args:
            order: The renewal.
            now: Time, in seconds.
        """
        renewals = self._rounds.get(order.fence)
        if renewals is None:
            renewals = self._rounds[order.fence] = _Round(now)
        renewals.count += 1
        renewals.open_orders.add(order.order)

    def finish(
        self, order: sycamoreloft_direct.SendGrant, *, is_accepted: bool
    ) -> None:
        """Records the result of a renewal.

        Args:
            order: The renewal.
            is_accepted: Whether the upstream accepted it.
        """
        renewals = self._rounds.get(order.fence)
        if renewals is None:
            return
        renewals.open_orders.discard(order.order)
        if is_accepted:
            count = renewals.accepted.get(order.run.id, 0)
            renewals.accepted[order.run.id] = count + 1

    def log_ended(self, now: float) -> None:
        """Logs the rounds that have ended and whose calls have ended.

        Args:
            now: Time, in seconds.
        """
        latest = max(self._rounds, default=0)
        for fence, renewals in sorted(self._rounds.items()):
            # No further renewals get the token of a round before the latest.
            has_ended = (
                fence != latest or now >= renewals.began_at + MAXIMUM_ROUND_S
            )
            if has_ended and not renewals.open_orders:
                self._log(fence, now)

    def close(self, now: float) -> None:
        """Logs all rounds when the coordinator ends.

        Args:
            now: Time, in seconds.
        """
        for fence in sorted(self._rounds):
            self._log(fence, now)

    def _log(self, fence: int, now: float) -> None:
        renewals = self._rounds.pop(fence)
        upstreams = sorted(renewals.accepted)
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "leases-renewed",
            epoch=self._epoch,
            fence=fence,
            began_ago_s=round(now - renewals.began_at, 3),
            renewals=renewals.count,
            accepted=sum(renewals.accepted.values()),
            open=len(renewals.open_orders),
            upstreams=upstreams[:MAXIMUM_LISTED],
            upstreams_left_out=max(0, len(upstreams) - MAXIMUM_LISTED),
        )
