"""Slots of an upstream and its short queue."""

import asyncio
import collections


class SlotDesk:
    """Gives out slots in order of arrival; sheds beyond the queue."""

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

    async def take(self, timeout_s: float) -> bool | None:
        """Waits for a slot.

        Returns:
            True with a slot, False when the queue is full, None when the
            time is over.
        """
        if self.running < self._slots and not self._waiting:
            self.running += 1
            return True
        if len(self._waiting) >= self._queue:
            return False
        turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            return await asyncio.wait_for(turn, timeout_s)
        except TimeoutError:
            return None
        finally:
            if turn in self._waiting:
                self._waiting.remove(turn)

    def give_back(self) -> None:
        """Frees a slot for the first request that waits."""
        self.running -= 1
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                self.running += 1
                turn.set_result(True)
                return
