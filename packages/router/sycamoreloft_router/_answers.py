"""Encodes answers to callers: the router's own and those of upstreams."""

from collections import abc
import dataclasses
import http
import json

from sycamoreloft_router import _answer_heads

#: Values of the header Sycamoreloft-Outcome.
COMPLETED = "completed"
DID_NOT_RUN = "did-not-run"
UNKNOWN = "unknown"

#: Reason phrases; statuses outside the standard, such as 499, have none.
_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of the router itself."""

    #: HTTP status code.
    status: int
    #: Machine-readable reason, for the header Sycamoreloft-Reason.
    reason: str
    #: What is wrong, in words.
    problem: str
    #: What the caller or the operator can do about it.
    remedy: str
    #: Outcome, for the header Sycamoreloft-Outcome.
    outcome: str = DID_NOT_RUN
    #: Time to wait before a retry, in milliseconds; 0 if unknown.
    retry_after_ms: int = 0
    #: Status of the first answer to a repeated request id; 0 if there is none.
    first_status: int = 0
    #: Whether callers accept fractions of a second in Retry-After.
    allows_fractions: bool = False

    def encode(self, keep_open: bool, has_body: bool = True) -> bytes:
        """Encodes the complete answer.

        Args:
            keep_open: Whether the caller's connection stays open.
            has_body: False for the answer to a HEAD request.
        """
        fields = {
            "outcome": self.outcome,
            "reason": self.reason,
            "problem": self.problem,
            "remedy": self.remedy,
        }
        if self.first_status:
            fields["first_status"] = str(self.first_status)
        body = json.dumps(fields).encode() + b"\n"
        phrase = _PHRASES.get(self.status, "Refused")
        lines = [
            f"HTTP/1.1 {self.status} {phrase}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            f"Sycamoreloft-Outcome: {self.outcome}",
            f"Sycamoreloft-Reason: {self.reason}",
        ]
        if self.retry_after_ms and self.allows_fractions:
            lines.append(f"Retry-After: {self.retry_after_ms / 1000:.3f}")
        elif self.retry_after_ms:
            # HTTP defines Retry-After in whole seconds; rounds up.
            seconds = -(-self.retry_after_ms // 1000)
            lines.append(f"Retry-After: {seconds}")
        if not keep_open:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin1") + b"\r\n\r\n"
        return head + body if has_body else head


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """The head of an upstream's answer that is forwarded to the caller."""

    #: Status and reason phrase, as "200 OK".
    status_line: bytes
    #: HTTP status code.
    status: int
    #: Header lines without line ends, filtered for forwarding.
    lines: abc.Sequence[bytes]
    #: Content-Length of an answer to a HEAD request; empty for other answers.
    head_length: bytes = b""
    #: Outcome, for the header Sycamoreloft-Outcome.
    outcome: str = COMPLETED
    #: Reason, for the header Sycamoreloft-Reason; empty for no header.
    reason: str = ""

    def encode_complete(self, body: bytes, keep_open: bool) -> bytes:
        """Encodes an answer whose body is complete."""
        if self.head_length:
            framing = b"Content-Length: " + self.head_length
        elif self.status in _answer_heads.BODILESS_STATUSES:
            framing = b""
        else:
            framing = b"Content-Length: %d" % len(body)
        return self._encode(framing, keep_open) + body

    def encode_head(self, keep_open: bool) -> bytes:
        """Encodes the head of an answer whose body follows in chunks."""
        return self._encode(b"Transfer-Encoding: chunked", keep_open)

    def _encode(self, framing: bytes, keep_open: bool) -> bytes:
        parts = [b"HTTP/1.1 " + self.status_line, *self.lines]
        if framing:
            parts.append(framing)
        parts.append(b"Sycamoreloft-Outcome: " + self.outcome.encode())
        if self.reason:
            parts.append(b"Sycamoreloft-Reason: " + self.reason.encode())
        if not keep_open:
            parts.append(b"Connection: close")
        parts.append(b"\r\n")
        return b"\r\n".join(parts)
