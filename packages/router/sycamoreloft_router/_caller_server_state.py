"""State that all requests of a caller server share."""

from __future__ import annotations

import asyncio
import math
import typing

from sycamoreloft_router import _answers, _exchange
from sycamoreloft_router.load import _caller_guard

if typing.TYPE_CHECKING:
    from sycamoreloft_router import _caller_exchange


class ServerState:
    """State that all exchanges of a caller server share.

    Args:
        path: Parses and serves the requests.
        body_bytes: Maximum length of a request body, in bytes.
        max_requests: Maximum number of requests in flight.
        guard: Limits what callers hold.
    """

    def __init__(
        self,
        path: _exchange.RequestPath,
        body_bytes: int,
        max_requests: int,
        guard: _caller_guard.CallerGuard,
    ) -> None:
        #: Parses and serves the requests.
        self.path = path
        #: Looked up once: on Python 3.11, each call of get_running_loop costs
        #: a system call.
        self.loop = asyncio.get_running_loop()
        #: Maximum length of a request body, in bytes.
        self.body_bytes = body_bytes
        #: Maximum number of requests in flight.
        self.max_requests = max_requests
        #: Limits what callers hold.
        self.guard = guard
        #: Requests in flight: from the headers to the end of the answer.
        self.exchanges: set[_caller_exchange.CallerExchange] = set()
        #: Whether the server is stopping: each answer then closes its
        #: connection.
        self.is_draining = False
        #: Requests with a later deadline are refused, since the drain may end
        #: before them; infinite while the server is not about to end.
        self.latest_deadline = math.inf

    async def cancel_all(self) -> None:
        """Cancels all requests and waits until they have ended."""
        tasks = [
            exchange.task
            for exchange in self.exchanges
            if exchange.task is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def check_load(self) -> _answers.Refusal | None:
        """Returns the answer to a request beyond the limit of requests."""
        if len(self.exchanges) <= self.max_requests:
            return None
        return _answers.Refusal(
            503,
            "host-overloaded",
            f"this host has {self.max_requests} requests in flight",
            "send the request again, to another host if there is one",
            retry_after_ms=1_000,
        )
