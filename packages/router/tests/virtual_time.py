"""An event loop with virtual time: its clock jumps to the next timer."""

import asyncio
import selectors


class _JumpingSelector(selectors.DefaultSelector):
    """Advances its clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout=None):
        events = super().select(0)
        if not events and timeout:
            self.now += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order, without waiting in real time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run(main):
    """Runs a coroutine on a loop with virtual time, and returns its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
