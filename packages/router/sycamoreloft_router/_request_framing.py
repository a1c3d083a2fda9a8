"""Reads how long the body of a request is."""

from collections import abc

from returns import result
from tornado import httputil

from sycamoreloft_router import _answers

#: Length of a body in chunks, which is not known in advance.
UNKNOWN_LENGTH = -1

#: Maximum number of digits of a Content-Length.
_MAXIMUM_DIGITS = 15


def read_length(
    start_line: httputil.RequestStartLine,
    headers: abc.Mapping[str, str],
    maximum: int,
) -> result.Result[int, _answers.Refusal]:
    """Checks the HTTP version and the headers that delimit the body.

    Args:
        start_line: Method, target and version.
        headers: Values by name.
        maximum: Maximum length of a body, in bytes.

    Returns:
        The length in bytes, or `UNKNOWN_LENGTH`; the answer to a request that
        is refused.
    """
    if start_line.version != "HTTP/1.1":
        # HTTP/1.0 has no chunked encoding, so the caller could not tell a
        # truncated answer from a complete one.
        return _refuse(
            505,
            "old-http-version",
            f"the version {start_line.version} is not supported",
            "use HTTP/1.1",
        )
    encoding = headers.get("Transfer-Encoding")
    text = headers.get("Content-Length")
    if encoding is not None and (
        text is not None or encoding.lower() != "chunked"
    ):
        return _refuse(
            400,
            "bad-framing",
            "the transfer encoding is unsupported, or a length is given as"
            " well",
            "send either Content-Length or Transfer-Encoding: chunked",
        )
    if text is not None and (
        not (text.isascii() and text.isdigit()) or len(text) > _MAXIMUM_DIGITS
    ):
        return _refuse(
            400,
            "bad-framing",
            "Content-Length is not one whole number",
            "send the length of the body in bytes, once",
        )
    length = UNKNOWN_LENGTH if encoding is not None else int(text or 0)
    if length > maximum:
        return _refuse(
            413,
            "long-body",
            f"the body has {length} bytes",
            f"send at most {maximum} bytes",
        )
    if start_line.method == "HEAD" and length != 0:
        return _refuse(
            400,
            "bad-framing",
            "a HEAD request has a body",
            "send HEAD without a body",
        )
    return result.Success(length)


def _refuse(
    status: int, reason: str, description: str, remedy: str
) -> result.Result[int, _answers.Refusal]:
    return result.Failure(_answers.Refusal(status, reason, description, remedy))
