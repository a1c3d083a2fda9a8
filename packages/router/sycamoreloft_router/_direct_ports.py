"""What a direct host needs from the platform that it runs on.

Each protocol class has one implementation in the platform's adapter and one
in the tests. All calls are made on the event loop of the process.
"""

from collections import abc
import dataclasses
import enum
import typing

import sycamoreloft_direct
from sycamoreloft_router import _call_progress

Value = typing.TypeVar("Value", covariant=True)


class ReadProblem(enum.Enum):
    """Why a read of the store gave nothing."""

    #: No answer, or the store refused for now.
    UNAVAILABLE = "unavailable"
    #: The changes asked for are no longer kept; read everything again.
    HISTORY_LOST = "history-lost"


@dataclasses.dataclass(frozen=True, slots=True)
class TableEntries(typing.Generic[Value]):
    """Entries of a watched table."""

    #: Values by key; None for an entry that was removed or cannot be used.
    values: abc.Mapping[str, Value | None]
    #: Version up to which the changes are complete.
    version: int
    #: Version of the newest of these entries, 0 if there are none.
    newest: int = 0


class WatchedTable(typing.Protocol[Value]):
    """A table that others write and this process follows."""

    async def read(
        self, progress: _call_progress.CallProgress
    ) -> TableEntries[Value] | ReadProblem:
        """Reads all entries."""

    async def follow(
        self, version: int, progress: _call_progress.CallProgress
    ) -> TableEntries[Value] | ReadProblem:
        """Waits for changes after a version.

        Returns:
            The changes; without any if none came for some seconds.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record of this project in the store."""

    #: Content.
    value: bytes
    #: Version that a conditional write must name.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordSnapshot:
    """All records of this project at one moment."""

    #: Records by key.
    records: abc.Mapping[str, Record]
    #: The store's steady clock, in seconds.
    clock_s: float


class WriteResult(enum.Enum):
    """How a conditional write ended."""

    #: It took effect.
    WRITTEN = "written"
    #: A condition did not hold; nothing was written.
    CONFLICT = "conflict"
    #: The store refused; nothing was written.
    REFUSED = "refused"
    #: No answer: it may have taken effect, or take effect later.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Result of a conditional write."""

    #: How it ended.
    result: WriteResult
    #: Version of the written records, 0 if nothing is known.
    version: int = 0
    #: The store's steady clock, in seconds; 0 if nothing is known.
    clock_s: float = 0.0


class RecordStore(typing.Protocol):
    """Records of this project in the store."""

    async def read(self) -> RecordSnapshot | ReadProblem:
        """Reads all records."""

    async def write(
        self,
        values: abc.Mapping[str, bytes],
        expected: abc.Mapping[str, int],
    ) -> WriteOutcome:
        """Writes records, all or none.

        Args:
            values: New content by key.
            expected: Version that each named record must have; 0 for none.
        """


class OrderTrace:
    """How the call of an order went; the client of orders fills it for logs."""

    __slots__ = ("connection", "error", "status")

    def __init__(self) -> None:
        #: Status of the answer; 0 if no call was made.
        self.status = 0
        #: What went wrong; empty if nothing.
        self.error = ""
        #: "new", "reused", "resent" for a new one after a reused one broke,
        #: or "none".
        self.connection = "none"


class KeyOrderClient(typing.Protocol):
    """Orders about keys to upstreams."""

    async def grant(
        self,
        address: str,
        order: sycamoreloft_direct.SendGrant,
        trace: OrderTrace,
    ) -> sycamoreloft_direct.GrantResult:
        """Grants keys."""

    async def release(
        self,
        address: str,
        order: sycamoreloft_direct.SendRelease,
        trace: OrderTrace,
    ) -> str | None:
        """Takes keys back; returns the handover, None without an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the protocol with callers and upstreams.

    Headers are in usual case.
    """

    #: Identifier of the request; each attempt of a caller has its own.
    request_id: str
    #: Milliseconds that the sender will wait.
    deadline_ms: str
    #: Upstream that a request is meant for; any other one refuses it.
    expected_upstream: str
    #: Upstream that refuses a request meant for another one.
    answering_upstream: str
    #: Present in a refusal of an upstream that did not run the request.
    not_executed: str
    #: Key of a request for a sharded service.
    key: str
    #: Start of the paths of orders to upstreams; callers may not use them.
    orders_path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The platform as a whole."""

    #: Desired states by a fixed key; at most one entry.
    states: WatchedTable[sycamoreloft_direct.DesiredState]
    #: Upstreams by identifier.
    upstreams: WatchedTable[sycamoreloft_direct.Upstream]
    #: Records of this project.
    records: RecordStore
    #: Orders about keys.
    orders: KeyOrderClient
    #: Headers of the protocol with callers and upstreams.
    headers: HeaderNames


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a direct host."""

    #: Name of this host.
    name: str
    #: Failure domain of this host.
    failure_domain: str
    #: Address for callers, as "ip:port".
    caller_address: str
    #: Address for the load balancer's readiness probe.
    readiness_address: str
    #: Address for metrics.
    metrics_address: str
    #: UDP address for other hosts.
    peer_address: str
    #: Seconds between a request to stop and the end of the process.
    grace_s: float
    #: Seconds after which a leaving upstream must get no new requests.
    drain_s: float
    #: Seconds after which a gone upstream's address may be used by another.
    reuse_after_s: float
    #: Longest lease of keys that upstreams accept, in seconds.
    longest_hold_s: float
    #: Retries that the platform allows, as a share of the requests.
    retry_share: float
    #: Retries that it allows besides, for all hosts together.
    retry_slack: float = 0.0
    #: Window in which it counts requests and retries, in seconds.
    retry_window_s: float = 10.0
    #: Bandwidth of this host's link, in megabits a second.
    link_mbps: float = 1_000.0
    #: Reads that the store allows all hosts together in a second.
    store_reads_per_s: float = 1_000.0
    #: Least level of log lines.
    log_level: str = "info"
