"""Faults and counters of the stand-in platform."""

from collections import abc
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Injected faults; `POST /faults` changes the fields in its body."""

    #: Whether table and object store answer 503 without effect.
    down: bool = False
    #: Whether table and object store leave requests unanswered, without effect.
    silent: bool = False
    #: Delay before a request to table or object store takes effect.
    delay_ms: float = 0.0
    #: Share of writes whose answer is lost after they took effect, 0 to 1.
    lose_answers: float = 0.0
    #: Hosts whose connections are closed, to simulate a network partition.
    rejected_hosts: abc.Sequence[str] = ()
    #: Whether the host list answers 503.
    hosts_down: bool = False
    #: Delay until a change of the host list becomes visible.
    hosts_lag_s: float = 0.0


class UnknownFaultError(ValueError):
    """A request to change faults names a fault that does not exist."""


def change_faults(
    faults: PlatformFaults, changes: abc.Mapping[str, typing.Any]
) -> PlatformFaults:
    """Returns the faults with some fields changed.

    Raises:
        UnknownFaultError: A fault does not exist; the message lists all.
    """
    known = {field.name for field in dataclasses.fields(PlatformFaults)}
    unknown = sorted(set(changes) - known)
    if unknown:
        raise UnknownFaultError(
            f"unknown faults {unknown}; use some of {sorted(known)}"
        )
    return dataclasses.replace(faults, **changes)


@dataclasses.dataclass(slots=True)
class PlatformCounters:
    """Numbers of requests since the start of the platform."""

    #: Transactions that were applied.
    writes: int = 0
    #: Transactions without effect, because a condition failed.
    conflicts: int = 0
    #: Reads of the table.
    reads: int = 0
    #: Objects stored.
    object_writes: int = 0
    #: Objects read.
    object_reads: int = 0
    #: Reads of the host list.
    host_list_reads: int = 0
    #: Requests refused or left without an answer because of a fault.
    failed: int = 0
    #: Answers lost after the write took effect.
    lost_answers: int = 0
    #: Requests to table and object store by name of the host, "" for none.
    by_host: dict[str, int] = dataclasses.field(default_factory=dict)
