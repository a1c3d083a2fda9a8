"""Checks of the fields of datagrams, which any sender may have written.

Each function returns the field with its type, and raises ValueError if the
field has another type or is out of bounds.
"""

import dataclasses
import math
import typing

import sycamoreloft_direct
from sycamoreloft_router import _datagrams

#: Maximum version of a row of the platform's tables, and maximum era.
MAXIMUM_ROW_VERSION = (1 << 63) - 1

#: Number of fields of `SeenVersions`, and in the release before eras. Such a
#: host sends no era, which counts as unknown.
_SEEN_FIELDS = len(dataclasses.fields(_datagrams.SeenVersions))
_SEEN_FIELDS_WITHOUT_ERAS = 2

#: Maximum fingerprint of a request.
_MAXIMUM_FINGERPRINT = (1 << 64) - 1

#: Longest duration in a datagram, in seconds.
_MAXIMUM_DURATION_S = 1e6

#: Longest name, in characters.
_MAXIMUM_NAME_CHARACTERS = 200


def check_fingerprint(value: typing.Any) -> int:
    """Checks the fingerprint of a request."""
    return check_integer(value, 0, _MAXIMUM_FINGERPRINT)


def check_fingerprints(value: typing.Any) -> tuple[int, ...]:
    """Checks a list of fingerprints of requests."""
    return tuple(check_fingerprint(item) for item in check_list(value))


def check_key(value: typing.Any) -> int:
    """Checks a key of a sharded service."""
    return check_integer(value, 0, sycamoreloft_direct.KEY_COUNT - 1)


def check_version_part(value: typing.Any) -> int:
    """Checks the epoch or the revision of a map of keys."""
    return check_integer(
        value, 0, sycamoreloft_direct.MAXIMUM_EPOCH_OR_REVISION
    )


def check_integer(value: typing.Any, minimum: int, maximum: int) -> int:
    """Checks an integer and its bounds."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{value!r:.40} is not an integer")
    if not minimum <= value <= maximum:
        raise ValueError(f"{value} is not between {minimum} and {maximum}")
    return value


def check_duration(value: typing.Any) -> float:
    """Checks a number of seconds."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"{value!r:.40} is not a number of seconds")
    if not math.isfinite(value) or not 0 <= value <= _MAXIMUM_DURATION_S:
        raise ValueError(
            f"{value} s is not between 0 and {_MAXIMUM_DURATION_S} s"
        )
    return float(value)


def check_string(value: typing.Any) -> str:
    """Checks a string and its length."""
    if not isinstance(value, str) or len(value) > _MAXIMUM_NAME_CHARACTERS:
        raise ValueError(
            f"{value!r:.40} is not a string of at most"
            f" {_MAXIMUM_NAME_CHARACTERS} characters"
        )
    return value


def check_bytes(value: typing.Any) -> bytes:
    """Checks that a field is bytes."""
    if not isinstance(value, bytes):
        raise ValueError(f"{value!r:.40} is not bytes")
    return value


def check_list(value: typing.Any) -> list[typing.Any]:
    """Checks that a field is a list."""
    if not isinstance(value, list):
        raise ValueError(f"{value!r:.40} is not a list")
    return value


def check_version(value: typing.Any) -> int:
    """Checks the version of a row, or an era."""
    return check_integer(value, 0, MAXIMUM_ROW_VERSION)


def check_boolean(value: typing.Any, name: str) -> bool:
    """Checks a boolean."""
    if not isinstance(value, bool):
        raise ValueError(f"{name} is not a boolean")
    return value


def check_mapping(value: typing.Any) -> dict[typing.Any, typing.Any]:
    """Checks that a field is a map."""
    if not isinstance(value, dict):
        raise ValueError(f"{value!r:.40} is not a map")
    return value


def encode_seen(seen: _datagrams.SeenVersions) -> list[int]:
    """Returns the fields, limited to what can be encoded.

    The store may return a number of any size.
    """
    return [
        min(max(value, 0), MAXIMUM_ROW_VERSION)
        for value in dataclasses.astuple(seen)
    ]


def decode_seen(seen: typing.Any) -> _datagrams.SeenVersions:
    """Checks the versions that `encode_seen` encoded."""
    values = check_list(seen)
    if len(values) not in (_SEEN_FIELDS_WITHOUT_ERAS, _SEEN_FIELDS):
        raise ValueError(f"{len(values)} versions of tables")
    return _datagrams.SeenVersions(
        *(check_integer(value, 0, MAXIMUM_ROW_VERSION) for value in values)
    )
