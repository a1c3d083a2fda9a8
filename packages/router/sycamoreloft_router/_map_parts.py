"""The map of keys in parts, for hosts that need the whole map.

A map grows with the upstreams and the moved keys, and a datagram does not.
"""

import zlib

import sycamoreloft_direct
from sycamoreloft_router import _datagrams

#: Longest encoded map that is taken from a peer, in bytes.
MOST_MAP_BYTES = 16 << 20

#: Level of compression: maps are sent at once, and rarely.
_COMPRESSION_LEVEL = 1


def split_map(
    key_map: sycamoreloft_direct.KeyMap, seen: _datagrams.SeenVersions
) -> tuple[_datagrams.MapPart, ...]:
    """Returns the parts of a map, for datagrams.

    Args:
        key_map: The map.
        seen: What this host has read of the platform's tables.

    Raises:
        ValueError: The map is too long for hosts to take it.
    """
    encoded = sycamoreloft_direct.encode_key_map(key_map)
    data = zlib.compress(encoded, _COMPRESSION_LEVEL)
    size = _datagrams.MAP_PART_BYTES
    count = -(-len(data) // size)
    if count > _datagrams.MOST_MAP_PARTS or len(encoded) > MOST_MAP_BYTES:
        raise ValueError(
            f"the map of keys has {len(encoded)} bytes, and {len(data)} when"
            " compressed; merge ranges or raise the bounds of its parts"
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
    """Puts the parts of the newest map together."""

    def __init__(self) -> None:
        self._order = (0, 0)
        self._count = 0
        self._parts: dict[int, bytes] = {}

    def add(
        self, part: _datagrams.MapPart
    ) -> sycamoreloft_direct.KeyMap | None:
        """Takes a part.

        Returns:
            The map if this was its last part, else None.

        Raises:
            ValueError: The parts together are no map.
        """
        order = (part.epoch, part.revision)
        if order < self._order:
            return None
        if order > self._order or part.count != self._count:
            self._order = order
            self._count = part.count
            self._parts = {}
        self._parts[part.index] = part.data
        if len(self._parts) < self._count:
            return None
        data = b"".join(self._parts[index] for index in range(self._count))
        self._order = (0, 0)
        self._parts = {}
        key_map = sycamoreloft_direct.decode_key_map(_decompress(data))
        if key_map.version != order:
            raise ValueError(f"the map {key_map.version} came as {order}")
        return key_map


def _decompress(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        encoded = stream.decompress(data, MOST_MAP_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a compressed map of keys: {error}") from error
    if not stream.eof:
        raise ValueError("the map of keys is cut off, or too long")
    return encoded
