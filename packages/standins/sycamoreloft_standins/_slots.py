"""Slots of an upstream and its bounded queue."""

import asyncio
import collections


class SlotPool:
    """Slots that requests acquire in order of arrival.

    Args:
        slots: Maximum number of requests that run at once.
        queue: Maximum number of requests that wait; further ones are shed.
    """

    def __init__(self, slots: int, queue: int) -> None:
        self._slots = slots
        self._queue = queue
        self._waiting: collections.deque[asyncio.Future[bool]] = (
            collections.deque()
        )
        #: Requests that hold a slot.
        self.running = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    async def acquire(self, timeout_s: float) -> bool | None:
        """Waits for a slot.

        Returns:
            True with a slot, False if the queue is full, None after the
            timeout.
        """
        if self.running < self._slots and not self._waiting:
            self.running += 1
            return True
        if len(self._waiting) >= self._queue:
            return False
        waiter: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append(waiter)
        try:
            return await asyncio.wait_for(waiter, timeout_s)
        except TimeoutError:
            return None
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def release(self) -> None:
        """Frees a slot and passes it to the first waiting request."""
        self.running -= 1
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                self.running += 1
                waiter.set_result(True)
                return
