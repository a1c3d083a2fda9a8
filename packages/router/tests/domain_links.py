"""Links between failure domains: cuts, one-way cuts, loss, and late bytes."""

import asyncio
import itertools

#: Longest time without a fault from the sending of bytes to their arrival.
DELAY_S = 0.005

#: Time after which a lost segment is sent again, in seconds.
RESEND_S = 0.2

#: Longest time after a cut until bytes that it held up arrive, in seconds.
HEALED_RESEND_S = 0.7

#: Seconds between two looks whether a link is open again.
POLL_S = 0.02

#: Name of the store as an end of links.
STORE = "store"


class Links:
    """Directed links; each end is named by labels, such as its domain."""

    def __init__(self, loop, generator):
        self._loop = loop
        self._generator = generator
        self._blocked = set()
        #: Share of segments and datagrams that are lost, by label.
        self.loss = {}

    def block(self, sources, targets):
        """Blocks the way from some labels to others."""
        self._blocked |= set(itertools.product(sources, targets))

    def unblock(self, sources, targets):
        """Ends what `block` began."""
        self._blocked -= set(itertools.product(sources, targets))

    def heal(self):
        """Ends all faults."""
        self._blocked.clear()
        self.loss.clear()

    def is_open(self, source, target):
        """Tells whether bytes of one end reach another one."""
        return not any(
            pair in self._blocked for pair in itertools.product(source, target)
        )

    def is_lost(self, source, target):
        """Draws whether a segment or datagram is lost."""
        share = max(self.loss.get(label, 0.0) for label in (*source, *target))
        return self._generator.random() < share

    async def carry(self, source, target, is_awaited):
        """Carries bytes; tells whether they arrive while they are awaited.

        The sender resets the connection when it no longer waits, and what is
        under way then is lost.
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
