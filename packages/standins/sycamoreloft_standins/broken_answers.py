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

_REST = ECHO + _LENGTH + _END

#: Answers whose status line is none, or not the first line of the head.
STATUS_LINES = {
    name: line + b"\r\n" + _REST
    for name, line in {
        "status-000": b"HTTP/1.1 000 OK",
        "status-099": b"HTTP/1.1 099 OK",
        "status-600": b"HTTP/1.1 600 OK",
        "status-999": b"HTTP/1.1 999 OK",
        "two-digits": b"HTTP/1.1 20 OK",
        "four-digits": b"HTTP/1.1 2000 OK",
        "letter-in-status": b"HTTP/1.1 20x OK",
        "letter-after-status": b"HTTP/1.1 200x OK",
        "signed-status": b"HTTP/1.1 +20 OK",
        "no-status": b"HTTP/1.1",
        "blank-status": b"HTTP/1.1  OK",
        "lower-case": b"http/1.1 200 OK",
        "other-protocol": b"ICY 200 OK",
        "no-version": b"HTTP/ 200 OK",
        "version-0.9": b"HTTP/0.9 200 OK",
        "version-1.2": b"HTTP/1.2 200 OK",
        "version-1.10": b"HTTP/1.10 200 OK",
        "version-2": b"HTTP/2 200 OK",
        "version-2.0": b"HTTP/2.0 200 OK",
        "version-3": b"HTTP/3 200 OK",
        "tab-after-version": b"HTTP/1.1\t200 OK",
        "two-blanks": b"HTTP/1.1  200 OK",
        "tab-after-status": b"HTTP/1.1 200\tOK",
        "control-after-status": b"HTTP/1.1 200\x0bOK",
        "control-in-reason": b"HTTP/1.1 200 O\x01K",
        "delete-in-reason": b"HTTP/1.1 200 O\x7fK",
        "nul-in-reason": b"HTTP/1.1 200 O\0K",
        "carriage-return-in-reason": b"HTTP/1.1 200 O\rK",
        "line-end": b"HTTP/1.1 200 OK\r",
        "blank-before": b" HTTP/1.1 200 OK",
        "noise-before": b"noise HTTP/1.1 200 OK",
        "empty-line-before": b"\r\nHTTP/1.1 200 OK",
        # Was taken for the start of the answer that counts.
        "second-refusal": b"HTTP/1.1 200 OK\r\n"
        b"HTTP/1.1 503 Full: 1\r\nNot-Executed: 1",
        "second-success": b"HTTP/1.1 500 Failed\r\nHTTP/1.1 200 OK: 1",
        "header-first": b"X-Note: 1\r\nHTTP/1.1 200 OK",
    }.items()
}

#: Answers whose head ends with something else than an empty line.
HEAD_ENDS = {
    "two-carriage-returns": _START + _LENGTH + b"\r\r\n" + BODY,
    "carriage-return-before-header": _START
    + _LENGTH
    + b"\rX-Note: 1\r\n"
    + _END,
    "carriage-returns": (_START + _LENGTH + b"\r\n").replace(b"\n", b"") + BODY,
}

#: Answers whose length is none, or none that a body can have.
LENGTHS = {
    name: _START + lines + _END
    for name, lines in {
        "above-64-bits": b"Content-Length: 18446744073709551618\r\n",
        "above-63-bits": b"Content-Length: 9223372036854775808\r\n",
        "twenty-digits": b"Content-Length: 99999999999999999999\r\n",
        "many-digits": b"Content-Length: " + b"9" * 5_000 + b"\r\n",
        "plus": b"Content-Length: +2\r\n",
        "minus": b"Content-Length: -2\r\n",
        "hexadecimal": b"Content-Length: 0x2\r\n",
        "letter": b"Content-Length: 2x\r\n",
        "fraction": b"Content-Length: 2.0\r\n",
        "blank": b"Content-Length: 2 2\r\n",
        "list": b"Content-Length: 2, 2\r\n",
        "quoted": b'Content-Length: "2"\r\n',
        "empty": b"Content-Length:\r\n",
        "high-byte": b"Content-Length: \xb2\r\n",
        "two-lengths": b"Content-Length: 2\r\nContent-Length: 3\r\n",
    }.items()
}

_CODING = b"Transfer-Encoding: chunked\r\n"

#: Answers with another coding than one "chunked", or with a length as well.
CODINGS = {
    name: _START + lines + _CHUNKS
    for name, lines in {
        "twice": _CODING + _CODING,
        "list": b"Transfer-Encoding: chunked, chunked\r\n",
        "compressed": b"Transfer-Encoding: gzip, chunked\r\n",
        "other": b"Transfer-Encoding: gzip\r\n",
        "unknown": b"Transfer-Encoding: chunke\r\n",
        "identity": b"Transfer-Encoding: identity\r\n",
        "identity-after": _CODING + b"Transfer-Encoding: identity\r\n",
        "parameter": b"Transfer-Encoding: chunked;a=b\r\n",
        "quoted": b'Transfer-Encoding: "chunked"\r\n',
        "empty": b"Transfer-Encoding:\r\n",
        "length-before": b"Content-Length: 12\r\n" + _CODING,
        "length-after": _CODING + b"Content-Length: 12\r\n",
    }.items()
} | {
    "http-1.0": b"HTTP/1.0 200 OK\r\n" + ECHO + _CODING + _CHUNKS,
}

#: Answers after an interim answer that is broken, or that is no interim answer.
INTERIM = {
    name: lines + b"\r\n" + _START + _LENGTH + _END
    for name, lines in {
        "length": b"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n",
        "no-body": b"HTTP/1.1 103 Hints\r\nContent-Length: 0\r\n",
        "coding": b"HTTP/1.1 103 Hints\r\n" + _CODING,
        "other-length": b"HTTP/1.1 100 Continue\r\nContent-Length: 9\r\n",
        "name": b"HTTP/1.1 103 Hints\r\nX Note: 1\r\n",
        "empty-name": b"HTTP/1.1 103 Hints\r\n: 1\r\n",
        "value": b"HTTP/1.1 103 Hints\r\nX-Note: \x01\r\n",
        "no-colon": b"HTTP/1.1 103 Hints\r\nX-Note\r\n",
        "status-line": b"HTTP/1.1 1000 Continue\r\n",
        "switch": b"HTTP/1.1 101 Switching Protocols\r\n",
        "body": b"HTTP/1.1 100 Continue\r\n\r\nok",
        "empty-line": b"HTTP/1.1 100 Continue\r\n\r\n",
        "second-status": b"HTTP/1.1 100 Continue\r\nHTTP/1.1 103 A: b\r\n",
    }.items()
}

#: Answers with a line that begins with a blank. Recipients may join it to the
#: line before, which swallows a header whose first byte is spoilt.
FOLDED = {
    name: _START + lines + (_CHUNKS if b"chunked" in lines else _END)
    for name, lines in {
        "length": b"X-Note: 1\r\n ontent-Length: 2\r\n",
        "length-tab": b"X-Note: 1\r\n\tontent-Length: 2\r\n",
        "coding": b"X-Note: 1\r\n ransfer-Encoding: chunked\r\n",
        "header": b"X-Note: 1\r\n -Other: 2\r\n" + _LENGTH,
        "no-header": b"X-Note: 1\r\n noise\r\n" + _LENGTH,
        "blanks": b"X-Note: 1\r\n  \r\n" + _LENGTH,
        "blanks-after-blank": b"X-Note: 1 \r\n \r\n" + _LENGTH,
        "last": b"X-Note: 1\r\n" + _LENGTH + b" X-Other: 2\r\n",
        "value-of-length": b"Content-Length:\r\n 2\r\n",
        "value-of-coding": b"Transfer-Encoding:\r\n chunked\r\n",
        "line-feeds": b"X-Note: 1\n ontent-Length: 2\n",
        "after-identifier": b" ontent-Length: 2\r\n",
    }.items()
} | {
    "first": b"HTTP/1.1 200 OK\r\n X-Note: 1\r\n" + _REST,
    "interim": b"HTTP/1.1 103 Hints\r\nX-Note: 1\r\n 2\r\n\r\n"
    + _START
    + _LENGTH
    + _END,
    "after-interim": b"HTTP/1.1 103 Hints\r\nX-Note: 1\r\n\r\n"
    + _START
    + b"X-Note: 1\r\n 2\r\n"
    + _LENGTH
    + _END,
}

#: All broken answers, by group and name.
BROKEN = {
    "names": NAMES,
    "values": VALUES,
    "status-lines": STATUS_LINES,
    "head-ends": HEAD_ENDS,
    "lengths": LENGTHS,
    "codings": CODINGS,
    "interim": INTERIM,
    "folded": FOLDED,
}

#: Sound answers, with the bodies that callers get.
SOUND = {
    "length": (_START + _LENGTH + _END, BODY),
    "chunks": (_START + _CODING + _CHUNKS, BODY),
    "until-close": (_START + _END, BODY),
    "close": (_START + b"Connection: close\r\n" + _LENGTH + _END, BODY),
    "http-1.0": (
        b"HTTP/1.0 200 OK\r\n" + ECHO + _LENGTH + _END,
        BODY,
    ),
    "no-reason": (b"HTTP/1.1 200 \r\n" + _REST, BODY),
    # Many servers leave out the blank as well.
    "no-blank": (b"HTTP/1.1 200\r\n" + _REST, BODY),
    "reason-bytes": (b"HTTP/1.1 200 A\tok: (\xe9)\r\n" + _REST, BODY),
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
    "long-zeros": (
        _START + b"Content-Length: " + b"0" * 30 + b"2\r\n" + _END,
        BODY,
    ),
    "coding-in-capitals": (
        _START + b"TRANSFER-ENCODING:CHUNKED \r\n" + _CHUNKS,
        BODY,
    ),
    "interim": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: <a>\r\n\r\n"
        + _START
        + _LENGTH
        + _END,
        BODY,
    ),
    "blanks-in-body": (
        _START + b"Content-Length: 12\r\n\r\n a: b\r\n c: d",
        b" a: b\r\n c: d",
    ),
    "line-feeds": (
        (_START + _LENGTH).replace(b"\r\n", b"\n") + b"\n" + BODY,
        BODY,
    ),
}
