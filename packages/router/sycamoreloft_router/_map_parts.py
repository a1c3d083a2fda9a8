"""Splits the map of keys into datagrams, and reassembles it.

A map grows with the upstreams and the moved keys, so that it may be longer
than one datagram.
"""

import zlib

import sycamoreloft_direct
from sycamoreloft_router import _datagrams

#: Longest encoded map that hosts accept, in bytes before compression.
MAXIMUM_MAP_BYTES = 16 << 20

#: Compression level of zlib. Level 1 is the fastest: maps are sent rarely, but
#: must be sent at once.
_COMPRESSION_LEVEL = 1


def split_map(
    key_map: sycamoreloft_direct.KeyMap, seen: _datagrams.SeenVersions
) -> tuple[_datagrams.MapPart, ...]:
    """Splits a map into parts that fit datagrams.

    Args:
        key_map: The map.
        seen: Versions of the platform's tables that this host has read.

    Raises:
        ValueError: The map is longer than other hosts accept.
    """
    encoded = sycamoreloft_direct.encode_key_map(key_map)
    data = zlib.compress(encoded, _COMPRESSION_LEVEL)
    size = _datagrams.MAP_PART_BYTES
    count = -(-len(data) // size)
    if count > _datagrams.MAXIMUM_MAP_PARTS or len(encoded) > MAXIMUM_MAP_BYTES:
        raise ValueError(
            f"the map of keys is too long to send ({len(encoded)} bytes,"
            f" {len(data)} compressed); merge ranges or raise MAXIMUM_MAP_BYTES"
            " and MAXIMUM_MAP_PARTS"
        )
    return tuple(
        _datagrams.MapPart(
            seen,
            *key_map.version,
            index,
            count,
            data[index * size : (index + 1) * size],
        )
        for index in range(count)
    )


class MapAssembler:
    """Reassembles the newest map from its parts."""

    def __init__(self) -> None:
        self._version = (0, 0)
        self._count = 0
        self._parts: dict[int, bytes] = {}

    def add(
        self, part: _datagrams.MapPart
    ) -> sycamoreloft_direct.KeyMap | None:
        """Adds a part; parts may arrive in any order.

        Returns:
            The map if it is complete, else None.

        Raises:
            ValueError: The parts do not form a valid map.
        """
        version = (part.epoch, part.revision)
        if version < self._version:
            return None
        if version > self._version or part.count != self._count:
            self._version = version
            self._count = part.count
            self._parts = {}
        self._parts[part.index] = part.data
        if len(self._parts) < self._count:
            return None
        data = b"".join(self._parts[index] for index in range(self._count))
        self._version = (0, 0)
        self._parts = {}
        key_map = sycamoreloft_direct.decode_key_map(_decompress(data))
        if key_map.version != version:
            raise ValueError(
                f"the map of keys has version {key_map.version}, but its parts"
                f" have version {version}"
            )
        return key_map


def _decompress(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        encoded = stream.decompress(data, MAXIMUM_MAP_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a compressed map of keys: {error}") from error
    if not stream.eof:
        raise ValueError("the compressed map of keys is truncated or too long")
    return encoded
