"""Grammar of HTTP/1.1 messages (RFC 9110 and RFC 9112) for answers.

libcurl accepts more than the grammar allows: it skips header lines whose names
it does not know, for example one that is spoilt from "Content-Length".
"""

import re

#: Maximum length of a body. libcurl reads a body with a longer one until the
#: close of the connection.
MAXIMUM_BODY_BYTES = 2**63 - 1

#: Maximum length of the part of a malformed line that a problem quotes.
MAXIMUM_QUOTED_BYTES = 64

#: A token, such as the name of a header (RFC 9110, section 5.6.2).
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"

#: Bytes of a header value: visible ones, blanks and those above ASCII
#: (RFC 9110, section 5.5).
_VALUE = rb"[\t\x20-\x7e\x80-\xff]*"

#: End of a line in a head. A recipient may accept a line feed alone (RFC 9112,
#: section 2.2).
_LINE_END = rb"\r?\n"

#: Lines that end a head.
EMPTY_LINES = frozenset((b"\r\n", b"\n"))

#: A status line with its line end (RFC 9112, section 4); the groups are the
#: status and the reason phrase. The meaning of other statuses is not defined,
#: so that a caller could not tell what has run. Many servers leave out the
#: blank before an empty reason phrase.
STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] ([1-5][0-9]{2})(?: (%b))?%b" % (_VALUE, _LINE_END)
)

#: A header line with its line end; the group is the name.
HEADER_LINE = re.compile(rb"(%b):%b%b" % (_TOKEN, _VALUE, _LINE_END))

#: A quoted string (RFC 9110, section 5.6.4).
_QUOTED = rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\%b)*"' % (
    rb"[\t\x20-\x7e\x80-\xff]"
)

#: An extension of a chunk (RFC 9112, section 7.1.1).
_EXTENSION = rb"[ \t]*;[ \t]*%b(?:[ \t]*=[ \t]*(?:%b|%b))?" % (
    _TOKEN,
    _TOKEN,
    _QUOTED,
)

#: The line before the data of a chunk (RFC 9112, section 7.1); the group is the
#: size. A line feed alone does not end it.
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:%b)*\r\n" % _EXTENSION)


def describe_line(problem: str, line: bytes) -> str:
    """Returns a description of a problem that quotes the start of a line."""
    return f"{problem}: {line[:MAXIMUM_QUOTED_BYTES]!r}"
