"""Simulated links that can be blocked one or both ways or lossy, and calls."""

import asyncio
import itertools

#: Maximum delay of bytes on a link without a fault, in seconds.
DELAY_S = 0.005

#: Time after which a lost segment is retransmitted, in seconds.
RESEND_S = 0.2

#: Maximum time from the unblocking of a link to the arrival of bytes that were
#: delayed, in seconds.
HEALED_RESEND_S = 0.7

#: Seconds between two checks of a blocked link.
POLL_S = 0.02

#: Label of the store as an end of links.
STORE = "store"


class Links:
    """Directed links between ends, which have labels such as their domain.

    A link is blocked if any label of its source is blocked towards any label
    of its target.
    """

    def __init__(self, loop, generator):
        self._loop = loop
        self._generator = generator
        self._blocked = set()
        #: Share of segments and datagrams that are lost, by label of an end.
        self.loss = {}

    def block(self, sources, targets):
        """Blocks all links from ends with some labels to others."""
        self._blocked |= set(itertools.product(sources, targets))

    def unblock(self, sources, targets):
        """Reverts a call of `block`."""
        self._blocked -= set(itertools.product(sources, targets))

    def heal(self):
        """Ends all faults."""
        self._blocked.clear()
        self.loss.clear()

    def is_open(self, source, target):
        """Returns whether the link between two ends is not blocked."""
        return not any(
            pair in self._blocked for pair in itertools.product(source, target)
        )

    def is_lost(self, source, target):
        """Draws whether a segment or datagram is lost."""
        share = max(self.loss.get(label, 0.0) for label in (*source, *target))
        return self._generator.random() < share

    async def carry(self, source, target, is_awaited):
        """Carries bytes of a connection.

        The sender resets the connection when it no longer waits, which drops
        bytes in flight.

        Args:
            source: Labels of the sender.
            target: Labels of the receiver.
            is_awaited: Returns whether the connection is still open.

        Returns:
            Whether the bytes arrive while the connection is open.
        """
        await asyncio.sleep(self._generator.uniform(0.001, DELAY_S))
        while self.is_lost(source, target):
            await asyncio.sleep(RESEND_S)
        was_blocked = False
        while not self.is_open(source, target):
            was_blocked = True
            if not is_awaited():
                return False
            await asyncio.sleep(POLL_S)
        if was_blocked:
            await asyncio.sleep(
                self._generator.choice(
                    (0.0, self._generator.uniform(0.0, HEALED_RESEND_S))
                )
            )
        return is_awaited() and self.is_open(source, target)


class Call:
    """A call over a connection, whose bytes are lost when it is reset."""

    def __init__(self, process, limit):
        self.process = process
        self.limit = limit
        self.is_closed = False

    def is_open(self):
        """Returns whether delayed bytes of the call are still retransmitted."""
        if self.is_closed:
            return False
        if self.process.is_over:
            return True
        return self.process.world.now() < self.process.extend_limit(self.limit)

    def close(self):
        """Closes the connection.

        Without `World.exit_resets`, the end of the process leaves it open.
        """
        world = self.process.world
        self.is_closed = not self.process.is_over or world.exit_resets

    async def wait_for_slot(self, source, target):
        """Waits until the upstream reads the order on a new connection.

        A reset of the connection drops the order, unless a blocked link drops
        the reset.

        Args:
            source: Labels of the sender.
            target: Labels of the upstream.

        Returns:
            Whether the upstream reads the order.
        """
        world = self.process.world
        ready_at = world.now() + world.draw_delay(world.slot_wait_s)
        was_reset = False
        while world.now() < ready_at:
            if not was_reset and not self.is_open():
                was_reset = True
                if world.links.is_open(source, target):
                    return False
            await asyncio.sleep(min(POLL_S, ready_at - world.now()))
        return True
