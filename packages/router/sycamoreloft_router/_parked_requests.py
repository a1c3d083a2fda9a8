"""Permit requests that wait until a generation is accepted or replaced."""

from collections import abc
import dataclasses
import time

from sycamoreloft_router import _peer_server
import sycamoreloft_wire

#: Maximum wait, in seconds. Staging a generation in all groups takes about one
#: second. A failure domain that is cut off can keep a generation pending for
#: long; callers should then get an error instead of waiting.
MAXIMUM_WAIT_S = 2.0

#: Maximum number of parked requests; further requests are refused at once.
MAXIMUM_PARKED = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _Parked:
    message: sycamoreloft_wire.PermitRequest
    reply: _peer_server.Reply
    deadline: float
    wait_until: float


class ParkedRequests:
    """Holds requests for a short time instead of refusing them."""

    def __init__(self) -> None:
        self._parked: list[_Parked] = []

    def add(
        self,
        message: sycamoreloft_wire.PermitRequest,
        reply: _peer_server.Reply,
    ) -> bool:
        """Parks a request.

        Returns:
            Whether there was room for the request.
        """
        if len(self._parked) >= MAXIMUM_PARKED:
            return False
        now = time.monotonic()
        deadline = now + message.remaining_ms / 1000
        wait_until = min(deadline, now + MAXIMUM_WAIT_S)
        self._parked.append(_Parked(message, reply, deadline, wait_until))
        return True

    def discard(self, permit: str) -> None:
        """Drops a request that its host no longer waits for."""
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
        for request in parked:
            if now < request.wait_until and must_wait(request.message):
                self._parked.append(request)
                continue
            left_ms = max(int((request.deadline - now) * 1000), 0)
            resubmit(
                dataclasses.replace(request.message, remaining_ms=left_ms),
                request.reply,
            )
