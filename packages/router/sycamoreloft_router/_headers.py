"""Filters the header fields of requests and of upstreams' answers."""

from collections import abc
import dataclasses

from tornado import httputil

FLEET = "Sycamoreloft-Fleet"
SERVICE = "Sycamoreloft-Service"
KEY = "Sycamoreloft-Key"
DEADLINE = "Sycamoreloft-Deadline-Ms"
CALLER = "Sycamoreloft-Caller"
REQUEST_ID = "Idempotency-Key"

#: Request headers that the router interprets, which must not be repeated.
SINGLE_HEADERS = frozenset(
    (
        FLEET,
        SERVICE,
        KEY,
        DEADLINE,
        CALLER,
        REQUEST_ID,
        "Content-Length",
        "Transfer-Encoding",
    )
)

#: Prefix of the headers of the router. Some servers treat "_" in a name like
#: "-", so all names that start with this word are dropped.
_SYSTEM_PREFIX = "Sycamoreloft"

#: Request headers that are not forwarded: hop-by-hop headers, and those that
#: libcurl sets. "Expect" would make libcurl wait for an interim answer.
_DROPPED_REQUEST_HEADERS = frozenset(
    (
        "Connection",
        "Content-Length",
        "Expect",
        "Host",
        "Keep-Alive",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)

#: Answer headers that are not forwarded, in lower case: hop-by-hop headers, and
#: the length, which the caller server sets.
_DROPPED_ANSWER_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

#: Headers that libcurl adds unless the request has them, and the lines that
#: disable them.
_LIBCURL_DEFAULTS = (
    ("Accept", b"Accept:"),
    ("Content-Type", b"Content-Type:"),
    ("User-Agent", b"User-Agent:"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFields:
    """Header fields of a request."""

    #: First value of each header, by name with capitalized words.
    values: abc.Mapping[str, str]
    #: Name of a repeated header of `SINGLE_HEADERS`; empty if there is none.
    repeated: str
    #: Header lines to forward, in the notation of libcurl.
    lines: list[bytes]


def read_fields(headers: httputil.HTTPHeaders) -> RequestFields:
    """Reads the headers of a request, and builds the lines to forward."""
    values: dict[str, str] = {}
    repeated = ""
    dropped: abc.Container[str] = _DROPPED_REQUEST_HEADERS
    if "Connection" in headers:
        dropped = _DROPPED_REQUEST_HEADERS | _list_connection_names(
            headers["Connection"]
        )
    lines = [b"Expect:"]
    for name, value in headers.get_all():
        if name not in values:
            values[name] = value
        elif name in SINGLE_HEADERS:
            repeated = name
        if name in dropped or name.startswith(_SYSTEM_PREFIX):
            continue
        # For libcurl, "Name:" leaves a header out, and "Name;" is an empty one.
        text = f"{name}: {value}" if value else f"{name};"
        lines.append(text.encode("latin1"))
    for name, line in _LIBCURL_DEFAULTS:
        if name not in values or name in dropped:
            lines.append(line)
    return RequestFields(values, repeated, lines)


def filter_answer_lines(
    lines: abc.Sequence[tuple[bytes, bytes]],
) -> list[bytes]:
    """Returns the header lines of an answer that are forwarded.

    Args:
        lines: Headers: name in lower case, and complete line.
    """
    dropped: abc.Set[bytes] = _DROPPED_ANSWER_HEADERS
    for name, line in lines:
        if name == b"connection":
            names = _list_connection_names(
                line.partition(b":")[2].decode("latin1")
            )
            # An answer may have several of these headers.
            dropped = dropped | {
                item.lower().encode("latin1") for item in names
            }
    return [
        line
        for name, line in lines
        if name not in dropped and not name.startswith(b"sycamoreloft")
    ]


def _list_connection_names(value: str) -> set[str]:
    """Lists the headers that a Connection header names as hop-by-hop."""
    return {
        "-".join(part.capitalize() for part in item.strip().split("-"))
        for item in value.split(",")
    }
