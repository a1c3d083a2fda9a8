"""Permit requests that wait until a generation is accepted or replaced."""

from collections import abc
import dataclasses
import time

from sycamoreloft_router import _peer_server
import sycamoreloft_wire

#: Longest wait, in seconds. Staging in all groups takes about a second; a
#: failure domain that is cut off can keep a generation pending for long, and
#: callers should then be told.
LONGEST_WAIT_S = 2.0

#: Requests that wait; more are refused at once.
MAXIMUM_PARKED = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _Parked:
    message: sycamoreloft_wire.PermitRequest
    reply: _peer_server.Reply
    deadline: float
    until: float


class ParkedRequests:
    """Keeps requests for a short time instead of refusing them."""

    def __init__(self) -> None:
        self._parked: list[_Parked] = []

    def add(
        self,
        message: sycamoreloft_wire.PermitRequest,
        reply: _peer_server.Reply,
    ) -> bool:
        """Keeps a request; tells whether there was room for it."""
        if len(self._parked) >= MAXIMUM_PARKED:
            return False
        now = time.monotonic()
        deadline = now + message.remaining_ms / 1000
        until = min(deadline, now + LONGEST_WAIT_S)
        self._parked.append(_Parked(message, reply, deadline, until))
        return True

    def discard(self, permit: str) -> None:
        """Drops a request whose host has given up."""
        if self._parked:
            self._parked = [
                parked
                for parked in self._parked
                if parked.message.permit != permit
            ]

    def retry(
        self,
        must_wait: abc.Callable[[sycamoreloft_wire.PermitRequest], bool],
        resubmit: abc.Callable[
            [sycamoreloft_wire.PermitRequest, _peer_server.Reply], None
        ],
    ) -> None:
        """Resubmits every request that need not wait any longer.

        Args:
            must_wait: Returns whether the generation of a request is still
                pending.
            resubmit: Handles a request that can be served or has waited for
                the maximum time, with the remaining time until its deadline.
        """
        if not self._parked:
            return
        parked, self._parked = self._parked, []
        now = time.monotonic()
        for item in parked:
            if now < item.until and must_wait(item.message):
                self._parked.append(item)
                continue
            left_ms = max(int((item.deadline - now) * 1000), 0)
            resubmit(
                dataclasses.replace(item.message, remaining_ms=left_ms),
                item.reply,
            )
