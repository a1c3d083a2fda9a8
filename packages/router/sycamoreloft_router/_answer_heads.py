"""Status line and headers of an upstream's answer, as libcurl delivers them."""

import dataclasses

#: Longest status line and headers of an answer together, in bytes.
MAXIMUM_HEAD_BYTES = 65_536

#: Header in which an upstream repeats the identifier of the attempt.
ECHO_HEADER = b"sycamoreloft-attempt"

#: Statuses whose answers have no body.
BODILESS_STATUSES = frozenset((204, 304))


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRules:
    """What the upstreams' protocol says of answers."""

    #: Lower-case name of the header that repeats the attempt's identifier;
    #: empty if the protocol has none.
    echo_header: bytes = ECHO_HEADER
    #: Whether an answer may end with its connection.
    accepts_unframed: bool = False


class AnswerHead:
    """Collects the head of an answer and checks its framing.

    Args:
        method: Method of the request.
        attempt: Identifier of the attempt. An answer that repeats another
            one belongs to another request.
        rules: What the upstreams' protocol says of answers.
    """

    __slots__ = (
        "_attempt",
        "_framed",
        "_length",
        "_method",
        "_rules",
        "_size",
        "complete",
        "echoed",
        "lines",
        "needs_echo",
        "problem",
        "status",
        "status_line",
    )

    def __init__(
        self,
        method: str,
        attempt: str,
        rules: AnswerRules = AnswerRules(),
    ) -> None:
        self._rules = rules
        self._method = method
        self._attempt = attempt.encode("latin1")
        self._framed = False
        self._length = b""
        self._size = 0
        #: Whether all headers have arrived.
        self.complete = False
        #: Whether the answer repeats the identifier of the attempt.
        self.echoed = False
        #: Whether the connection carried an earlier request. An answer that
        #: repeats no identifier may then be a second answer to that one.
        self.needs_echo = False
        #: Lower-case names and whole lines without line ends.
        self.lines: list[tuple[bytes, bytes]] = []
        #: What is wrong with the head; empty if nothing.
        self.problem = ""
        #: Status of the answer, 0 before it arrived.
        self.status = 0
        #: Reason phrase and status, as "200 OK".
        self.status_line = b""

    def add_line(self, line: bytes) -> bool:
        """Takes a line of the head from libcurl.

        Returns:
            False if the answer must not be used; `problem` says why.
        """
        if self.complete:
            # Lines after the head are trailers, which are not passed on.
            return True
        self._size += len(line)
        if self._size > MAXIMUM_HEAD_BYTES:
            self.problem = "the answer's headers are too long"
        elif line.startswith(b"HTTP/"):
            self._start(line)
        else:
            line = line.rstrip(b"\r\n")
            if line:
                self._add_header(line)
            else:
                self._end()
        return not self.problem

    def get_header(self, name: bytes) -> bytes:
        """Returns the value of the first header of a lower-case name."""
        for known, line in self.lines:
            if known == name:
                return line.partition(b":")[2].strip()
        return b""

    def find_problem(self) -> str:
        """Tells why an answer that ended cannot be taken for whole."""
        if self.problem or not self.complete:
            return self.problem or "the answer has no headers"
        if (
            self._framed
            or self._rules.accepts_unframed
            or self._method == "HEAD"
            or self.status in BODILESS_STATUSES
        ):
            return ""
        return "the answer has no length, so that its end cannot be checked"

    def _start(self, line: bytes) -> None:
        # "HTTP/1.1 200 OK": a new status line follows an interim answer.
        self.lines = []
        self.echoed = False
        self._framed = False
        self._length = b""
        self.status_line = line.partition(b" ")[2].strip()
        code = self.status_line[:3]
        if code.isdigit() and b"\r" not in self.status_line:
            self.status = int(code)
        else:
            self.problem = "the answer's status line is malformed"

    def _add_header(self, line: bytes) -> None:
        name, colon, value = line.partition(b":")
        if not colon or line[:1] in (b" ", b"\t") or b"\r" in line:
            self.problem = "a header line of the answer is malformed"
            return
        name = name.lower()
        self.lines.append((name, line))
        if name == b"content-length":
            self._check_length(value.strip())
        elif name == b"transfer-encoding":
            self._framed = True
            if value.strip().lower() != b"chunked":
                self.problem = "the answer's transfer encoding is unsupported"
        elif name == self._rules.echo_header:
            self._check_attempt(value.strip())

    def _check_length(self, length: bytes) -> None:
        self._framed = True
        if self._length not in (b"", length) or not length.isdigit():
            self.problem = "the answer's Content-Length is ambiguous"
        self._length = length

    def _check_attempt(self, attempt: bytes) -> None:
        self.echoed = True
        if attempt != self._attempt:
            self.problem = "the answer belongs to another request"

    def _end(self) -> None:
        if self.status >= 200:
            self.complete = True
            if self.needs_echo and not self.echoed:
                self.problem = (
                    "the answer on a reused connection does not repeat "
                    + self._rules.echo_header.decode()
                )
        elif self.status == 101:
            self.problem = "the upstream switched protocols unasked"
