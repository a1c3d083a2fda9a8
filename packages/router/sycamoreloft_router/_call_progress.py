"""How far a call has come."""


class CallProgress:
    """What has arrived of the answer to one call; the caller may look.

    Args:
        now: Time at which the call begins, on the clock of the event loop.
    """

    __slots__ = ("began_at", "bytes", "first_byte_at", "last_byte_at")

    def __init__(self, now: float) -> None:
        #: When the call began.
        self.began_at = now
        #: Bytes of the answer so far.
        self.bytes = 0
        #: When the first of them arrived; 0 before that.
        self.first_byte_at = 0.0
        #: When the last of them so far arrived.
        self.last_byte_at = 0.0

    def record_bytes(self, size: int, now: float) -> None:
        """Notes that a part of the answer arrived."""
        self.first_byte_at = self.first_byte_at or now
        self.last_byte_at = now
        self.bytes += size
