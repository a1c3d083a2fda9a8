"""Checks the method and the path of a request."""

import re
from urllib import parse

from sycamoreloft_router import _answers

#: Characters in a target that allow other spellings of a reserved path: percent
#: encoding, empty or dot segments, backslashes and path parameters.
_UNUSUAL_PATH = re.compile(r"%|//|/\.|\\|;", re.ASCII)

#: Path and query: starts with "/", printable ASCII without "#".
_TARGET = re.compile(r"/[!-\"$-~]*", re.ASCII)

_METHOD = re.compile(r"[A-Z][A-Z-]{0,31}", re.ASCII)


def check_start_line(
    method: str, target: str, reserved_path: str
) -> _answers.Refusal | None:
    """Checks the method and the target of a request.

    Args:
        method: HTTP method.
        target: Path and query.
        reserved_path: Prefix of the paths on which hosts send orders to
            upstreams, without a trailing slash.

    Returns:
        The answer to a request that is refused, or None.
    """
    if _METHOD.fullmatch(method) is None or method in ("CONNECT", "TRACE"):
        return _answers.Refusal(
            400,
            "bad-method",
            f"the method {method[:40]!r} is not supported",
            "use an upper-case HTTP method other than CONNECT and TRACE",
        )
    if _TARGET.fullmatch(target) is None:
        return _answers.Refusal(
            400,
            "bad-path",
            "the request target is not a path",
            'send a target that starts with "/", without spaces or "#"',
        )
    if _is_reserved(target, reserved_path):
        return _answers.Refusal(
            400,
            "reserved-path",
            f"paths below {reserved_path}/ belong to the upstream protocol",
            "use another path",
        )
    return None


def _is_reserved(target: str, reserved_path: str) -> bool:
    if _UNUSUAL_PATH.search(target) is None:
        return target.startswith(reserved_path)
    # The upstream may decode and normalize the path, so the reserved segment
    # is refused in any spelling and at any place.
    path = parse.unquote(parse.unquote(target.partition("?")[0]))
    return reserved_path[1:] in path.lower()
