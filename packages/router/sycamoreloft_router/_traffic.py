"""Counts the bytes that a process spends on control."""

import dataclasses

#: Bytes of HTTP request and answer headers of one control call, an upper
#: estimate from what the stand-ins receive; the client does not tell.
HTTP_HEADER_BYTES = 400


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes of one kind of control traffic, without TCP and IP headers."""

    #: Bytes sent.
    sent: int = 0
    #: Bytes received.
    received: int = 0

    def count_http(self, request_bytes: int, answer_bytes: int) -> None:
        """Counts one HTTP call by the lengths of its bodies."""
        self.sent += request_bytes + HTTP_HEADER_BYTES // 2
        self.received += answer_bytes + HTTP_HEADER_BYTES // 2
