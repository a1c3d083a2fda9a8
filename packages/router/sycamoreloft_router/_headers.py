"""Header fields: what is taken from callers, sent on, and sent back."""

from collections import abc
import dataclasses

from tornado import httputil

FLEET = "Sycamoreloft-Fleet"
SERVICE = "Sycamoreloft-Service"
KEY = "Sycamoreloft-Key"
DEADLINE = "Sycamoreloft-Deadline-Ms"
CALLER = "Sycamoreloft-Caller"
REQUEST_ID = "Idempotency-Key"

#: Headers of a request that may appear once: those that the router acts on.
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

#: Start of the names of system headers. Some servers take "_" for "-", so
#: the names are compared without what follows the first word.
_SYSTEM_PREFIX = "Sycamoreloft"

#: Headers of a request that concern one connection only, or that libcurl
#: sets itself. "Expect" would make libcurl wait for an interim answer.
_REQUEST_DROPPED = frozenset(
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

_ANSWER_DROPPED = frozenset(
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

#: Headers that libcurl adds unless the request has them or switches them off.
_LIBCURL_DEFAULTS = (
    ("Accept", b"Accept:"),
    ("Content-Type", b"Content-Type:"),
    ("User-Agent", b"User-Agent:"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFields:
    """Header fields of a request, read in one pass."""

    #: First value of each header by its name in usual case.
    values: abc.Mapping[str, str]
    #: Name of a header in `SINGLE_HEADERS` that is repeated, or empty.
    repeated: str
    #: Header lines that are sent on, in libcurl's form.
    lines: list[bytes]


def read_fields(headers: httputil.HTTPHeaders) -> RequestFields:
    """Reads the caller's headers and lists those that are sent on."""
    values: dict[str, str] = {}
    repeated = ""
    dropped: abc.Container[str] = _REQUEST_DROPPED
    if "Connection" in headers:
        dropped = _REQUEST_DROPPED | _list_connection_names(
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
        # libcurl reads "name:" as "leave it out", and "name;" as "empty".
        text = f"{name}: {value}" if value else f"{name};"
        lines.append(text.encode("latin1"))
    for name, line in _LIBCURL_DEFAULTS:
        if name not in values or name in dropped:
            lines.append(line)
    return RequestFields(values, repeated, lines)


def filter_answer_lines(
    lines: abc.Sequence[tuple[bytes, bytes]],
) -> list[bytes]:
    """Lists the upstream's header lines that are sent back to the caller."""
    dropped: abc.Container[bytes] = _ANSWER_DROPPED
    for name, line in lines:
        if name == b"connection":
            names = _list_connection_names(
                line.partition(b":")[2].decode("latin1")
            )
            dropped = _ANSWER_DROPPED | {
                item.lower().encode("latin1") for item in names
            }
    return [
        line
        for name, line in lines
        if name not in dropped and not name.startswith(b"sycamoreloft")
    ]


def _list_connection_names(value: str) -> set[str]:
    """Lists the headers that a Connection header declares hop-by-hop."""
    return {
        "-".join(part.capitalize() for part in item.strip().split("-"))
        for item in value.split(",")
    }
