"""What the membership needs of member entries and heartbeats."""

from collections import abc
import typing


class Entry(typing.Protocol):
    """Fields of a member entry; `sycamoreloft_wire.MemberEntry` has them."""

    @property
    def host(self) -> str:
        """Name of the host."""

    @property
    def incarnation(self) -> str:
        """Random identifier of the process."""

    @property
    def version(self) -> int:
        """Grows with each change of the other fields."""

    @property
    def peer_address(self) -> str:
        """Address for other hosts."""

    @property
    def caller_address(self) -> str:
        """Address for callers."""

    @property
    def admin_address(self) -> str:
        """Address for operators."""

    @property
    def failure_domains(self) -> abc.Mapping[str, str]:
        """Failure domains of the host by fleet name."""

    @property
    def leaving(self) -> bool:
        """Whether the host is stopping."""

    @property
    def groups(self) -> abc.Mapping[str, int]:
        """Epochs by group that the host holds."""

    @property
    def generation(self) -> int:
        """Accepted generation that the host applies."""


class Heartbeat(typing.Protocol):
    """Fields of a heartbeat; `sycamoreloft_wire.Heartbeat` has them."""

    @property
    def host(self) -> str:
        """Name of the host."""

    @property
    def incarnation(self) -> str:
        """Random identifier of the process."""

    @property
    def counter(self) -> int:
        """Grows with each gossip round of the process."""


def estimate_size(entry: Entry) -> int:
    """Estimates the encoded size of an entry from above, in bytes.

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
