"""Answers of an upstream in trouble: bytes that RFC 9110 and 9112 don't allow.

Each answer is a template in which `ECHO` stands for the header line that
repeats the identifier of the request. The upstream closes the connection after
it. Without its fault, each one would be a complete answer with status 200 and
the body `BODY`.
"""

#: Placeholder of the header line that repeats the identifier.
ECHO = b"<echo>"

#: Body that the sound part of each answer has.
BODY = b"ok"

_START = b"HTTP/1.1 200 OK\r\n" + ECHO
_LENGTH = b"Content-Length: 2\r\n"
_END = b"\r\n" + BODY
_CHUNKS = b"\r\n2\r\nok\r\n0\r\n\r\n"

#: Bytes that no token holds, by a name for the test. NUL, CR and LF are among
#: those that no header line can hold.
_DELIMITERS = {
    "blank": b" ",
    "tab": b"\t",
    "nul": b"\0",
    "control": b"\x01",
    "escape": b"\x1b",
    "delete": b"\x7f",
    "carriage-return": b"\r",
    "high-byte": b"\xe9",
    "slash": b"/",
    "quote": b'"',
    "bracket": b"(",
    "comma": b",",
    "equals": b"=",
    "at": b"@",
}


def _spoil(name: bytes, byte: bytes) -> list[bytes]:
    """Returns a header name with a byte in its middle and at its end."""
    return [name[:3] + byte + name[3:], name + byte]


#: Header names that are no token, with and without a length in the head.
NAMES = (
    {
        f"{header.decode()}-{kind}-{place}": _START + line + _END
        for header, rest in (
            (b"X-Note", b": 1\r\n" + _LENGTH),
            (b"Content-Length", b": 2\r\n"),
        )
        for kind, byte in _DELIMITERS.items()
        for place, line in zip(
            ("inside", "end"),
            (name + rest for name in _spoil(header, byte)),
            strict=True,
        )
    }
    | {
        f"coding-{kind}-{place}": _START + name + b": chunked\r\n" + _CHUNKS
        for kind, byte in _DELIMITERS.items()
        for place, name in zip(
            ("inside", "end"), _spoil(b"Transfer-Encoding", byte), strict=True
        )
    }
    | {
        "empty": _START + b": 1\r\n" + _LENGTH + _END,
        "empty-without-length": _START + b": 2\r\n" + _END,
        "no-colon": _START + b"X-Note 1\r\n" + _LENGTH + _END,
    }
)

#: Values with bytes that no value holds.
VALUES = {
    f"{kind}": _START + b"X-Note: a" + byte + b"b\r\n" + _LENGTH + _END
    for kind, byte in (
        ("nul", b"\0"),
        ("control", b"\x01"),
        ("bell", b"\x07"),
        ("vertical-tab", b"\x0b"),
        ("escape", b"\x1b"),
        ("delete", b"\x7f"),
        ("carriage-return", b"\r"),
    )
} | {
    "length-control": _START + b"Content-Length: 2\x0b\r\n" + _END,
    "coding-control": _START + b"Transfer-Encoding: chunked\x0b\r\n" + _CHUNKS,
    "line-end": _START + b"X-Note: a\r\r\n" + _LENGTH + _END,
}

#: Sound answers, with the bodies that callers get.
SOUND = {
    "length": (_START + _LENGTH + _END, BODY),
    "chunks": (_START + b"Transfer-Encoding: chunked\r\n" + _CHUNKS, BODY),
    "until-close": (_START + _END, BODY),
    "close": (_START + b"Connection: close\r\n" + _LENGTH + _END, BODY),
    "http-1.0": (
        b"HTTP/1.0 200 OK\r\n" + ECHO + _LENGTH + _END,
        BODY,
    ),
    "no-reason": (b"HTTP/1.1 200 \r\n" + ECHO + _LENGTH + _END, BODY),
    "token-bytes": (
        _START + b"!#$%&'*+-.^_`|~09Az: 1\r\n" + _LENGTH + _END,
        BODY,
    ),
    "value-bytes": (
        _START + b'X-Note:\t !"(),/:;<=>?@[]{}\xe9\xff \r\n' + _LENGTH + _END,
        BODY,
    ),
    "empty-value": (_START + b"X-Note:\r\n" + _LENGTH + _END, BODY),
    "empty-body": (_START + b"Content-Length: 0\r\n\r\n", b""),
    "line-feeds": (
        (_START + _LENGTH).replace(b"\r\n", b"\n") + b"\n" + BODY,
        BODY,
    ),
}
