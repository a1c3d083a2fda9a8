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

_CHUNKED = _START + _CODING + b"\r\n"

#: Answers whose chunks are not framed as the grammar says.
CHUNKS = {
    name: _CHUNKED + chunks
    for name, chunks in {
        "letters-after-size": b"2zz\r\nok\r\n0\r\n\r\n",
        "blank-in-size": b"2 0\r\nok\r\n0\r\n\r\n",
        "blank-after-size": b"2 \r\nok\r\n0\r\n\r\n",
        "blank-before-size": b" 2\r\nok\r\n0\r\n\r\n",
        "control-after-size": b"2\x01\r\nok\r\n0\r\n\r\n",
        "point-in-size": b"2.0\r\nok\r\n0\r\n\r\n",
        "comma-after-size": b"2,a\r\nok\r\n0\r\n\r\n",
        "plus": b"+2\r\nok\r\n0\r\n\r\n",
        "minus": b"-2\r\nok\r\n0\r\n\r\n",
        "prefix": b"0x2\r\nok\r\n0\r\n\r\n",
        "no-size": b"\r\nok\r\n0\r\n\r\n",
        "extension-without-size": b";a\r\nok\r\n0\r\n\r\n",
        "above-64-bits": b"10000000000000002\r\nok\r\n0\r\n\r\n",
        "above-63-bits": b"8000000000000002\r\nok\r\n0\r\n\r\n",
        "empty-extension": b"2;\r\nok\r\n0\r\n\r\n",
        "control-in-extension": b"2;a\x01\r\nok\r\n0\r\n\r\n",
        "nul-in-extension": b"2;a\0\r\nok\r\n0\r\n\r\n",
        "carriage-return-in-extension": b"2;a\rb\r\nok\r\n0\r\n\r\n",
        "open-quote-in-extension": b'2;a="b\r\nok\r\n0\r\n\r\n',
        "size-ends-with-line-feed": b"2\nok\r\n0\r\n\r\n",
        "size-ends-with-two-returns": b"2\r\r\nok\r\n0\r\n\r\n",
        "data-ends-with-line-feed": b"2\r\nok\n0\r\n\r\n",
        "data-ends-with-two-returns": b"2\r\nok\r\r\n0\r\n\r\n",
        "data-ends-with-return": b"2\r\nok\r0\r\n\r\n",
        "data-without-end": b"2\r\nok0\r\n\r\n",
        "longer-data": b"2\r\noks\r\n0\r\n\r\n",
        "letters-after-last-size": b"2\r\nok\r\n0zz\r\n\r\n",
        "last-size-ends-with-line-feed": b"2\r\nok\r\n0\n\r\n",
        "long-extension": b"2;" + b"a" * 70_000 + b"\r\nok\r\n0\r\n\r\n",
    }.items()
}

#: Answers in chunks whose trailer section holds a line that is no header.
TRAILERS = {
    name: _CHUNKED + b"2\r\nok\r\n0\r\n" + lines + b"\r\n"
    for name, lines in {
        "blank-in-name": b"X Note: 1\r\n",
        "control-in-name": b"X\x01Note: 1\r\n",
        "delete-in-name": b"X\x7fNote: 1\r\n",
        "high-byte-in-name": b"X\xe9Note: 1\r\n",
        "nul-in-name": b"X\0Note: 1\r\n",
        "blank-after-name": b"X-Note : 1\r\n",
        "empty-name": b": 1\r\n",
        "no-colon": b"X-Note\r\n",
        "control-in-value": b"X-Note: \x01\r\n",
        "carriage-return-in-value": b"X-Note: a\rb\r\n",
        "carriage-return-before": b"\rX-Note: 1\r\n",
        "two-carriage-returns": b"X-Note: 1\r\r\n",
        "folded": b"X-Note: 1\r\n 2: 3\r\n",
        "folded-first": b" X-Note: 1\r\n",
        "status-line": b"HTTP/1.1 200 OK: 1\r\n",
        "next-answer": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        "endless": b"X-Note: 1\r\n" * 7_000,
    }.items()
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
    "chunks": CHUNKS,
    "trailers": TRAILERS,
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
    "no-chunk": (_CHUNKED + b"0\r\n\r\n", b""),
    "two-chunks": (
        _CHUNKED + b"00A\r\n" + b"x" * 10 + b"\r\nb\r\n0\r\n\r\n123456\r\n"
        b"00\r\n\r\n",
        b"x" * 10 + b"0\r\n\r\n123456",
    ),
    "zeros-in-size": (
        _CHUNKED + b"0" * 14 + b"2\r\nok\r\n0\r\n\r\n",
        BODY,
    ),
    "extensions": (
        _CHUNKED + b'2;a ; b=c;d = "e;\\"\t\xe9"\r\nok\r\n0;f\r\n\r\n',
        BODY,
    ),
    "trailers": (
        _CHUNKED + b"2\r\nok\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n",
        BODY,
    ),
    "line-feeds-in-trailers": (
        _CHUNKED + b"2\r\nok\r\n0\r\nX-Sum: 1\n\n",
        BODY,
    ),
    "bytes-after-chunks": (
        _CHUNKED + b"2\r\nok\r\n0\r\n\r\nHTTP/1.1 500 No\r\n\r\n",
        BODY,
    ),
    "bytes-after-length": (
        _START + _LENGTH + _END + b"HTTP/1.1 500 No\r\n\r\n",
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


def turn_into_refusal(
    data: bytes, line: bytes = b"Not-Executed: 1\r\n"
) -> bytes:
    """Returns an answer that refuses the request, with the same fault.

    Args:
        data: An answer.
        line: Header line that says that the request did not run.
    """
    return data.replace(b"200 OK", b"503 Full").replace(ECHO, ECHO + line)
