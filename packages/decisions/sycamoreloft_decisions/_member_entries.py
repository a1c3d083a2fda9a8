"""Interfaces of the member entries and heartbeats that membership uses."""

from collections import abc
import typing


class Entry(typing.Protocol):
    """Interface of `sycamoreloft_wire.MemberEntry`."""

    @property
    def host(self) -> str:
        """Unique name of the host."""

    @property
    def incarnation(self) -> str:
        """Random identifier of the process, new at each start."""

    @property
    def version(self) -> int:
        """Increases with each change of the other fields."""

    @property
    def peer_address(self) -> str:
        """Address for other hosts, as "ip:port"."""

    @property
    def caller_address(self) -> str:
        """Address for callers, as "ip:port"."""

    @property
    def admin_address(self) -> str:
        """Address for operators, as "ip:port"."""

    @property
    def failure_domains(self) -> abc.Mapping[str, str]:
        """Failure domains of the host by fleet name."""

    @property
    def leaving(self) -> bool:
        """Whether the host is stopping."""

    @property
    def groups(self) -> abc.Mapping[str, int]:
        """Epochs of the groups that the host holds, by group."""

    @property
    def generation(self) -> int:
        """Number of the accepted generation that the host applies."""


class Heartbeat(typing.Protocol):
    """Interface of `sycamoreloft_wire.Heartbeat`."""

    @property
    def host(self) -> str:
        """Unique name of the host."""

    @property
    def incarnation(self) -> str:
        """Random identifier of the process, new at each start."""

    @property
    def counter(self) -> int:
        """Increases with each gossip round of the process."""


def estimate_size(entry: Entry) -> int:
    """Returns an upper bound of the encoded size of an entry, in bytes.

    Each text and number has at most 5 bytes of overhead in msgpack, and a
    counter, generation or epoch has at most 9 bytes.
    """
    texts = [
        entry.host,
        entry.incarnation,
        entry.peer_address,
        entry.caller_address,
        entry.admin_address,
        *entry.failure_domains.keys(),
        *entry.failure_domains.values(),
        *entry.groups.keys(),
    ]
    numbers = 2 + len(entry.groups)
    return 16 + 9 * numbers + sum(len(text.encode()) + 2 for text in texts)
