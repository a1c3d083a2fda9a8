"""Canonical form of addresses."""

import ipaddress
import re

_ADDRESS = re.compile(r"(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):([0-9]{1,5})")


def normalize_address(text: str) -> str:
    """Returns the canonical "ip:port", or an empty string if it is invalid.

    All spellings of an address have the same canonical form, so equal
    addresses of upstreams are detected across files. The unspecified address
    is invalid, because other hosts cannot connect to it.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return ""
    try:
        ip = ipaddress.ip_address(match[1] or match[2])
    except ValueError:
        return ""
    if isinstance(ip, ipaddress.IPv6Address) and ip.ipv4_mapped:
        ip = ip.ipv4_mapped
    port = int(match[3])
    if ip.is_unspecified or not 1 <= port <= 65535:
        return ""
    if isinstance(ip, ipaddress.IPv6Address):
        return f"[{ip}]:{port}"
    return f"{ip}:{port}"
