"""Datagrams between hosts: heartbeats of the coordinator, reports to it.

The datagrams carry hints and copies only. What a host acts on alone, such as
being the coordinator, it learns from the store.
"""

import asyncio
from collections import abc
import dataclasses
import logging
import typing

import msgpack

import sycamoreloft_direct
from sycamoreloft_router import _key_directory, _logs

_LOGGER = logging.getLogger(__name__)

#: Version of the encoding; other versions are ignored.
_VERSION = 3

#: Longest datagram that is read, in bytes.
MAXIMUM_DATAGRAM_BYTES = 60_000

#: Hosts that one introduction names at most, so that it fits a datagram.
HOSTS_PER_INTRODUCTION = 1_000

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class SeenVersions:
    """How new a host's copies of the platform's tables are.

    A host that hears of a newer version reads the table again: its own call
    that waits for changes may hang.
    """

    #: Version of the newest row of a desired state.
    state: int = 0
    #: Version of the newest row of an upstream.
    upstreams: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """The coordinator tells the other hosts that it is alive."""

    #: Epoch of the coordinator.
    epoch: int
    #: Revision of the recorded map.
    revision: int
    #: Whether the coordinator is about to stop.
    is_leaving: bool
    #: Keys that are being moved.
    moving: tuple[_key_directory.MovingKeys, ...]
    #: What the sender has read of the platform's tables.
    seen: SeenVersions
    #: Hosts that the coordinator knows, itself among them.
    hosts: int = 0
    #: Seconds since the store answered the coordinator.
    store_age_s: float = 3600.0
    #: Requests that crash upstreams and must not be sent.
    stopped: tuple[int, ...] = ()
    #: The recorded map, encoded; empty if the receiver needs less.
    key_map: bytes = b""
    #: What changed since the receiver's map, encoded; empty if it needs
    #: nothing or the whole map.
    key_changes: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A host tells the coordinator what it observed."""

    #: Name of the host.
    host: str
    #: Epoch and revision of the map that the host has.
    epoch: int
    revision: int
    #: What the sender has read of the platform's tables.
    seen: SeenVersions
    #: Requests by service and key.
    requests: abc.Mapping[str, abc.Mapping[int, int]]
    #: Answers and their summed time in seconds, by upstream.
    answers: abc.Mapping[str, tuple[int, float]]
    #: Recent connections that broke before an answer, by request.
    crashes: abc.Mapping[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction:
    """A coordinator that was replaced tells its successor of the hosts.

    Hosts that do not reach the store hear of the successor in no other way.
    """

    #: What the sender has read of the platform's tables.
    seen: SeenVersions
    #: Addresses of the hosts that reported to the sender.
    hosts: tuple[Address, ...]


Datagram = Heartbeat | Report | Introduction


def encode(message: Datagram) -> bytes:
    """Encodes a datagram."""
    if isinstance(message, Heartbeat):
        fields: tuple[typing.Any, ...] = (
            _VERSION,
            "heartbeat",
            message.epoch,
            message.revision,
            message.is_leaving,
            [(item.service, item.first, item.last) for item in message.moving],
            dataclasses.astuple(message.seen),
            message.hosts,
            message.store_age_s,
            message.stopped,
            message.key_map,
            message.key_changes,
        )
    elif isinstance(message, Introduction):
        fields = (
            _VERSION,
            "introduction",
            dataclasses.astuple(message.seen),
            message.hosts,
        )
    else:
        fields = (
            _VERSION,
            "report",
            message.host,
            message.epoch,
            message.revision,
            dataclasses.astuple(message.seen),
            message.requests,
            message.answers,
            message.crashes,
        )
    return bytes(msgpack.packb(fields))


def decode(data: bytes) -> Datagram | None:
    """Decodes a datagram; None for anything else."""
    try:
        version, kind, *fields = msgpack.unpackb(data, strict_map_key=False)
        if version != _VERSION:
            return None
        if kind == "heartbeat":
            epoch, revision, is_leaving, moving, seen, *rest = fields
            hosts, store_age_s, stopped, key_map, key_changes = rest
            return Heartbeat(
                int(epoch),
                int(revision),
                bool(is_leaving),
                tuple(_key_directory.MovingKeys(*item) for item in moving),
                SeenVersions(*map(int, seen)),
                int(hosts),
                float(store_age_s),
                tuple(map(int, stopped)),
                bytes(key_map),
                bytes(key_changes),
            )
        if kind == "introduction":
            seen, hosts = fields
            return Introduction(
                SeenVersions(*map(int, seen)),
                tuple((str(ip), int(port)) for ip, port in hosts),
            )
        host, epoch, revision, seen, requests, answers, crashes = fields
        return Report(
            str(host),
            int(epoch),
            int(revision),
            SeenVersions(*map(int, seen)),
            {name: dict(keys) for name, keys in requests.items()},
            {name: (int(n), float(s)) for name, (n, s) in answers.items()},
            {int(request): int(count) for request, count in crashes.items()},
        )
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException):
        return None


class Sender(typing.Protocol):
    """Sends datagrams to other hosts."""

    async def open(self) -> None:
        """Makes the sender ready."""

    def send(self, message: Datagram, address: Address) -> None:
        """Sends a message; it may be lost."""

    def close(self) -> None:
        """Lets the sender go."""


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    Args:
        address: Address to bind, as "ip:port".
        on_message: Called with each message and its sender.
    """

    def __init__(
        self,
        address: str,
        on_message: abc.Callable[[Datagram, Address], None],
    ) -> None:
        self._address = address
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Binds the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=parse_address(self._address)
        )

    def send(self, message: Datagram, address: Address) -> None:
        """Sends a message; it may be lost."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(encode(message), address)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Passes a message on."""
        message = decode(data[:MAXIMUM_DATAGRAM_BYTES])
        if message is None:
            _logs.log_event(
                _LOGGER,
                logging.WARNING,
                "datagram-ignored",
                peer=str(addr[0]),
                bytes=len(data),
            )
            return
        self._on_message(message, (str(addr[0]), int(addr[1])))

    def error_received(self, exc: Exception) -> None:
        """Logs an error; a host that is gone answers with one."""
        _logs.log_event(
            _LOGGER, logging.DEBUG, "datagram-failed", error=str(exc)
        )


def parse_address(address: str) -> Address:
    """Splits "ip:port"."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def summarize_requests(
    keys: abc.Iterable[tuple[str, int]],
) -> dict[str, dict[int, int]]:
    """Counts requests by service and key."""
    counts: dict[str, dict[int, int]] = {}
    for service, key in keys:
        by_key = counts.setdefault(service, {})
        by_key[key] = by_key.get(key, 0) + 1
    return counts


def convert_load(
    requests: abc.Mapping[str, abc.Mapping[int, int]], answer_s: float
) -> list[sycamoreloft_direct.KeyLoad]:
    """Converts counts of requests to work, at a time per request."""
    return [
        sycamoreloft_direct.KeyLoad(
            service, {key: count * answer_s for key, count in keys.items()}
        )
        for service, keys in requests.items()
    ]
