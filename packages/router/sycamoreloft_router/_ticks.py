"""A sleep that ends at the first tick at which something is due."""

import asyncio
import math

#: Tolerance for rounding errors of the clock, as a share of a tick.
_TOLERANCE = 1e-6


class TickTimer:
    """Lets one task sleep through the ticks at which nothing is due.

    Ticks are counted from the start of each sleep. Hosts start at different
    times, so that they do not react at the same moment to an event that all of
    them receive at once.

    Args:
        tick_s: Seconds between two ticks.
    """

    def __init__(self, tick_s: float) -> None:
        self._tick_s = tick_s
        self._began_at = 0.0
        self._due_at = 0.0
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def sleep(self, seconds: float) -> float:
        """Sleeps until the first tick at or after a given time.

        Args:
            seconds: Seconds until something is due; the sleep takes at least
                one tick.

        Returns:
            Seconds by which the sleep ended later than the tick.
        """
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        self._began_at = loop.time()
        self._set_timer(self._began_at + seconds)
        try:
            await self._waiter
            return loop.time() - self._due_at
        finally:
            self._waiter = None
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None

    def wake(self) -> None:
        """Ends the current sleep, if any, at its next tick."""
        if self._waiter is not None:
            self._set_timer(self._waiter.get_loop().time())

    def _set_timer(self, due_at: float) -> None:
        assert self._waiter is not None
        ticks = (due_at - self._began_at) / self._tick_s
        count = max(1, math.ceil(ticks - _TOLERANCE))
        when = self._began_at + count * self._tick_s
        if self._timer is not None:
            if self._timer.when() <= when:
                return
            self._timer.cancel()
        self._due_at = when
        self._timer = self._waiter.get_loop().call_at(when, self._end_sleep)

    def _end_sleep(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
