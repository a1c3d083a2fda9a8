"""Progress of calls, for callers that watch them."""


class CallProgress:
    """Progress of the answer to one call, readable while the call runs.

    All times are in seconds, on the clock of the event loop.

    Args:
        now: Time at which the call begins.
    """

    __slots__ = ("began_at", "bytes", "first_byte_at", "last_byte_at")

    def __init__(self, now: float) -> None:
        #: Time at which the call began.
        self.began_at = now
        #: Number of bytes of the answer's body that have arrived.
        self.bytes = 0
        #: Time at which the first byte arrived; 0 if none has arrived.
        self.first_byte_at = 0.0
        #: Time at which the latest byte arrived; 0 if none has arrived.
        self.last_byte_at = 0.0

    @property
    def loading_s(self) -> float:
        """Seconds from the first to the latest byte; 0 without bytes."""
        return self.last_byte_at - self.first_byte_at

    def record_bytes(self, size: int, now: float) -> None:
        """Records that a part of the answer arrived.

        Args:
            size: Length of the part, in bytes.
            now: Time of its arrival.
        """
        self.first_byte_at = self.first_byte_at or now
        self.last_byte_at = now
        self.bytes += size
