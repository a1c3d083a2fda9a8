"""Canonical form of addresses."""

import ipaddress
import re

_ADDRESS = re.compile(r"(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):([0-9]{1,5})")


def normalize_address(text: str) -> str:
    """Returns the canonical "ip:port", or an empty string for a wrong one.

    Two texts of the same address have one canonical form, so that equal
    upstream addresses in different files are found. The unspecified address
    is wrong, because other hosts could not connect to it.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return ""
    try:
        number = ipaddress.ip_address(match[1] or match[2])
    except ValueError:
        return ""
    if isinstance(number, ipaddress.IPv6Address) and number.ipv4_mapped:
        number = number.ipv4_mapped
    port = int(match[3])
    if number.is_unspecified or not 1 <= port <= 65535:
        return ""
    if isinstance(number, ipaddress.IPv6Address):
        return f"[{number}]:{port}"
    return f"{number}:{port}"
