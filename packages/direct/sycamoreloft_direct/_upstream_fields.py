"""Checks of the fields of an entry of an upstream, from any source."""

import ipaddress
import re
import typing

#: Maximum number of slots of an upstream, far more than the connections that
#: one accepts. Requests are drawn to an upstream in proportion to its slots,
#: also while it does not answer.
MAXIMUM_SLOTS = 10_000

#: Characters that are safe in headers and URLs, to which identifiers are
#: restricted.
_IDENTIFIER = re.compile(r"[!-~]{1,200}", re.ASCII)

#: IPv4 address, or IPv6 address in brackets, and port.
_ADDRESS = re.compile(
    r"(?:([0-9.]{7,15})|\[([0-9A-Fa-f:.]{2,45})\]):([0-9]{1,5})", re.ASCII
)


def is_identifier(text: str) -> bool:
    """Returns whether a text may identify an upstream."""
    return _IDENTIFIER.fullmatch(text) is not None


def check_text(value: typing.Any, name: str) -> str:
    """Checks a printable, non-empty text.

    Raises:
        ValueError: The value is none.
    """
    if not isinstance(value, str) or value == "" or not value.isprintable():
        raise ValueError(f"{name} is not a printable text: {value!r:.40}")
    return value


def check_address(value: typing.Any) -> str:
    """Checks an address of the form "ip:port".

    A name would be looked up for each connection, and libcurl rewrites unusual
    forms of IP addresses.

    Raises:
        TypeError: The value is not a text.
        ValueError: The value is not the address of a process.
    """
    match = _ADDRESS.fullmatch(value)
    if match is None:
        raise ValueError(f"the address is not an IP and port: {value!r:.40}")
    version_4, version_6, port = match.groups()
    address = (
        ipaddress.IPv4Address(version_4)
        if version_4
        else ipaddress.IPv6Address(version_6)
    )
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f"the address {value} names no process")
    if not 0 < int(port) < 65_536:
        raise ValueError(f"the port of {value} is out of range")
    return str(value)
