"""Counts the bytes of control traffic of a process."""

import dataclasses

#: Upper estimate of the request and answer headers of one control call, in
#: bytes, from the headers that the stand-ins receive. The HTTP client does not
#: report their length.
HTTP_HEADER_BYTES = 400


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes of one kind of control traffic, without TCP and IP headers."""

    #: Bytes sent since the process started.
    sent: int = 0
    #: Bytes received since the process started.
    received: int = 0

    def count_http(self, request_bytes: int, answer_bytes: int) -> None:
        """Counts one HTTP call.

        Args:
            request_bytes: Length of the request body.
            answer_bytes: Length of the answer body.
        """
        self.sent += request_bytes + HTTP_HEADER_BYTES // 2
        self.received += answer_bytes + HTTP_HEADER_BYTES // 2
