"""Status lines and headers of upstreams' answers, as libcurl delivers them."""

import dataclasses

from sycamoreloft_router import _message_grammar

#: Maximum length of the status line and headers together, in bytes.
MAXIMUM_HEAD_BYTES = 65_536

#: Header in which an upstream repeats the identifier of the attempt.
ECHO_HEADER = b"sycamoreloft-attempt"

#: Lowest status of an answer that is not an interim one.
MINIMUM_FINAL_STATUS = 200

#: Statuses whose answers have no body, and thus no Content-Length.
BODILESS_STATUSES = frozenset((204, 304))


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRules:
    """Rules by which the answers of a protocol are checked."""

    #: Name of the header that repeats the identifier of the attempt, in lower
    #: case; empty if the protocol has no such header.
    echo_header: bytes = ECHO_HEADER
    #: Whether the close of the connection may mark the end of an answer. Such
    #: an answer cannot be distinguished from a truncated one.
    accepts_close_delimited: bool = False
    #: Whether a body may be encoded, for example compressed. If callers only
    #: ask for bodies that are not, an encoded one is not the upstream's body.
    accepts_content_codings: bool = True


class AnswerHead:
    """Collects the head of an answer and checks its framing.

    Args:
        method: Method of the request.
        attempt: Identifier of the attempt. An answer with another identifier
            belongs to another request and is rejected.
        rules: Rules of the upstreams' protocol.
    """

    __slots__ = (
        "_arrived",
        "_attempt",
        "_is_http_1_0",
        "_is_started",
        "_length",
        "_method",
        "_rules",
        "_size",
        "complete",
        "echoed",
        "is_chunked",
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
        # Bytes of the head as they arrived, from the next line on.
        self._arrived = b""
        self._rules = rules
        self._method = method
        self._attempt = attempt.encode("latin1")
        self._is_http_1_0 = False
        # Whether the status line of the present head has arrived.
        self._is_started = False
        self._length = b""
        self._size = 0
        #: Whether all headers of the final answer have arrived.
        self.complete = False
        #: Whether the answer repeats the identifier of the attempt.
        self.echoed = False
        #: Whether the body arrives in chunks.
        self.is_chunked = False
        #: Whether an answer without the identifier is rejected. Set for a
        #: reused connection, where it may be a second answer to an earlier
        #: request.
        self.needs_echo = False
        #: Headers in order: name in lower case, and complete line without its
        #: line end.
        self.lines: list[tuple[bytes, bytes]] = []
        #: Why the answer is rejected; empty as long as it is valid.
        self.problem = ""
        #: HTTP status; 0 before the status line has arrived.
        self.status = 0
        #: Status and reason phrase, as "200 OK", or "200 " without a phrase.
        self.status_line = b""

    def observe(self, data: bytes) -> None:
        """Records bytes that have arrived and that libcurl is about to parse.

        libcurl joins a line that begins with a blank to the line before, which
        only these bytes show.
        """
        if len(self._arrived) < MAXIMUM_HEAD_BYTES:
            self._arrived += data

    def add_line(self, line: bytes) -> bool:
        """Adds a line of the head; called by libcurl.

        Returns:
            False if the answer is rejected; `problem` then says why.
        """
        if self.complete:
            # Lines after the head would be trailers, which are not forwarded.
            return True
        self._size += len(line)
        if self._size > MAXIMUM_HEAD_BYTES:
            self.problem = "the answer's headers are too long"
        elif not line.endswith(b"\n"):
            # If the connection closes within a line, libcurl delivers the part
            # that has arrived. A blank line that is cut between CR and LF
            # would complete the head.
            self.problem = "the answer ended within a line of its head"
        elif self._is_joined(line):
            self._reject_line("a header line of the answer is folded", line)
        elif not self._is_started:
            self._start(line)
        elif line in _message_grammar.EMPTY_LINES:
            self._end()
        else:
            self._add_header(line)
        return not self.problem

    def get_header(self, name: bytes) -> bytes:
        """Returns the value of the first header with a name, or empty bytes.

        Args:
            name: Name of the header, in lower case.
        """
        for known, line in self.lines:
            if known == name:
                return line.partition(b":")[2].strip()
        return b""

    @property
    def is_framed(self) -> bool:
        """Whether the head tells where the body ends."""
        return self.is_chunked or self._length != b""

    @property
    def ends_with_connection(self) -> bool:
        """Whether the close of the connection marks the end of the body."""
        return self.has_body and not self.is_framed

    @property
    def has_body(self) -> bool:
        """Whether a body follows the head."""
        return self._method != "HEAD" and self.status not in BODILESS_STATUSES

    def describe_problem(self) -> str:
        """Returns why an answer that ended is invalid or incomplete.

        Returns:
            A description for logs, or an empty string for a complete answer.
        """
        if self.problem or not self.complete:
            return self.problem or "the answer has no headers"
        if (
            self.ends_with_connection
            and not self._rules.accepts_close_delimited
        ):
            return "the answer has no length, so that its end cannot be checked"
        return ""

    def _is_joined(self, line: bytes) -> bool:
        """Returns whether libcurl joined several lines into this one.

        If bytes arrived unobserved, the rest of the head can't be compared.
        """
        end = self._arrived.find(b"\n") + 1
        first, self._arrived = self._arrived[:end], self._arrived[end:]
        if not line.startswith(first.rstrip()):
            self._arrived = b""
        return (
            self._arrived[:1] in (b" ", b"\t")
            and line not in _message_grammar.EMPTY_LINES
        )

    def _start(self, line: bytes) -> None:
        # Parses "HTTP/1.1 200 OK". The status line of the final answer follows
        # the headers of an interim answer (1xx), which are dropped.
        match = _message_grammar.STATUS_LINE.fullmatch(line)
        if match is None:
            self._reject_line("the answer's status line is malformed", line)
            return
        self.lines = []
        self.echoed = False
        self.is_chunked = False
        self._length = b""
        self._is_started = True
        self._is_http_1_0 = line.startswith(b"HTTP/1.0")
        self.status = int(match[1])
        self.status_line = b"%b %b" % (match[1], (match[2] or b"").strip())

    def _add_header(self, line: bytes) -> None:
        match = _message_grammar.HEADER_LINE.fullmatch(line)
        if match is None:
            self._reject_line("a header line of the answer is malformed", line)
            return
        line = line.rstrip(b"\r\n")
        name = match[1].lower()
        value = line[match.end(1) + 1 :].strip()
        self.lines.append((name, line))
        if name == b"content-length":
            self._check_length(value)
        elif name == b"transfer-encoding":
            self._check_coding(value)
        elif name == b"content-encoding":
            if not self._rules.accepts_content_codings:
                self.problem = "the answer's body is encoded"
        elif name == self._rules.echo_header:
            self._check_attempt(value)

    def _reject_line(self, problem: str, line: bytes) -> None:
        self.problem = _message_grammar.describe_line(problem, line)

    def _check_length(self, length: bytes) -> None:
        if self._length not in (b"", length) or not length.isdigit():
            self.problem = "the answer's Content-Length is ambiguous"
        elif _is_longer(length, _message_grammar.MAXIMUM_BODY_BYTES):
            self.problem = "the answer's Content-Length is too large"
        self._length = length

    def _check_coding(self, coding: bytes) -> None:
        if self.is_chunked or coding.lower() != b"chunked":
            self.problem = "the answer's transfer encoding is unsupported"
        self.is_chunked = True

    def _check_framing(self) -> None:
        # Two parsers might find different ends of such an answer (RFC 9112,
        # section 6.3).
        if self.is_chunked and self._length:
            self.problem = "the answer has both a length and a coding"
        elif self.is_chunked and self._is_http_1_0:
            self.problem = "an answer of HTTP/1.0 has no coding"
        elif self.is_framed and self.status < MINIMUM_FINAL_STATUS:
            self.problem = "an interim answer has no body"

    def _check_attempt(self, attempt: bytes) -> None:
        self.echoed = True
        if attempt != self._attempt:
            self.problem = "the answer belongs to another request"

    def _end(self) -> None:
        self._check_framing()
        if self.problem:
            return
        if self.status >= MINIMUM_FINAL_STATUS:
            self.complete = True
            self._arrived = b""
            if self.needs_echo and not self.echoed:
                self.problem = (
                    "the answer on a reused connection does not repeat "
                    + self._rules.echo_header.decode()
                )
        elif self.status == 101:
            self.problem = "the upstream switched protocols unasked"
        else:
            self._is_started = False


def _is_longer(digits: bytes, maximum: int) -> bool:
    """Returns whether a decimal number is above a maximum.

    Python converts only numbers of a few thousand digits.
    """
    digits = digits.lstrip(b"0")
    maximum_digits = str(maximum).encode()
    return (len(digits), digits) > (len(maximum_digits), maximum_digits)
