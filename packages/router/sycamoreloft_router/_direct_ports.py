"""Interfaces between a direct host and the platform that it runs on.

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

#: Era of an answer that does not state one, or states one that cannot be read.
UNKNOWN_ERA = 0


class ReadProblem(enum.Enum):
    """Why a read of the store failed."""

    #: The store did not answer, or refused the call for now.
    UNAVAILABLE = "unavailable"
    #: The store no longer keeps the requested changes; read all entries.
    HISTORY_LOST = "history-lost"


@dataclasses.dataclass(frozen=True, slots=True)
class TableEntries(typing.Generic[Value]):
    """Entries of a table: all of them, or those that changed."""

    #: Values by key; None for an entry that was removed or is malformed.
    values: abc.Mapping[str, Value | None]
    #: Version of the table up to which these entries are complete.
    version: int
    #: Version of the newest of these entries, 0 if there are none.
    newest: int = 0
    #: Era of the store that answered: the number of times that it was restored
    #: from an older copy of its rows. Versions of different eras cannot be
    #: compared, since a restored store assigns versions a second time.
    era: int = UNKNOWN_ERA


class WatchedTable(typing.Protocol[Value]):
    """A table of the store that the host reads and follows."""

    async def read(
        self, progress: _call_progress.CallProgress
    ) -> TableEntries[Value] | ReadProblem:
        """Reads all entries.

        Args:
            progress: Records when the bytes of the answer arrive.
        """

    async def follow(
        self, version: int, progress: _call_progress.CallProgress
    ) -> TableEntries[Value] | ReadProblem:
        """Waits for changes after a version.

        Args:
            version: Version up to which the caller knows all changes.
            progress: Records when the bytes of the answer arrive.

        Returns:
            The changed entries; none if there was no change for some seconds.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record that the coordinators write to the store."""

    #: Encoded content.
    value: bytes
    #: Version that a conditional write has to expect.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordSnapshot:
    """All records at one moment."""

    #: Records by key.
    records: abc.Mapping[str, Record]
    #: The store's monotonic clock at the read, in seconds.
    clock_s: float
    #: Era of the store that answered; see `TableEntries.era`.
    era: int = UNKNOWN_ERA


class WriteResult(enum.Enum):
    """How a conditional write ended."""

    #: The write took effect.
    WRITTEN = "written"
    #: A record did not have the expected version; nothing was written.
    CONFLICT = "conflict"
    #: The store refused the call; nothing was written.
    REFUSED = "refused"
    #: No answer: the write may have taken effect, or may take effect later.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Result of a conditional write."""

    #: Whether the write took effect, as far as known.
    result: WriteResult
    #: New version of the written records; 0 unless they were written.
    version: int = 0
    #: The store's monotonic clock at the write, in seconds; 0 unless the
    #: records were written.
    clock_s: float = 0.0
    #: Era of the store that answered, also with a conflict or a refusal;
    #: `UNKNOWN_ERA` without an answer. See `TableEntries.era`.
    era: int = UNKNOWN_ERA


def is_other_era(era: int, known: int) -> bool:
    """Returns whether an answer of the store is certain to be of another era.

    Args:
        era: Era of the answer.
        known: Era that the caller knows.
    """
    return UNKNOWN_ERA not in (era, known) and era != known


class RecordStore(typing.Protocol):
    """Records in the store, written on conditions."""

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
            expected: Version that each named record must have; 0 if the record
                must not exist.
        """


class OrderTrace:
    """Details of an order's call, which the client records for logs."""

    __slots__ = ("connection", "error", "is_replaced", "notice", "status")

    def __init__(self) -> None:
        #: HTTP status of the answer; `NO_ANSWER` if the call was not answered,
        #: 0 if no call was made.
        self.status = 0
        #: Description of the failure; empty without one.
        self.error = ""
        #: Connection of the call: "new", "reused", "resent" for a new one after
        #: a reused one broke, or "none".
        self.connection = "none"
        #: Whether another upstream answered at the address, so that the run
        #: the order was sent to has ended.
        self.is_replaced = False
        #: What the upstream announced in its answer.
        self.notice = sycamoreloft_direct.NO_NOTICE


class KeyOrderClient(typing.Protocol):
    """Sends orders about keys to upstreams."""

    async def grant(
        self,
        address: str,
        order: sycamoreloft_direct.SendGrant,
        trace: OrderTrace,
    ) -> sycamoreloft_direct.GrantResult:
        """Sends a grant.

        Args:
            address: Address of the upstream, as "ip:port".
            order: The grant.
            trace: Filled with details of the call.
        """

    async def release(
        self,
        address: str,
        order: sycamoreloft_direct.SendRelease,
        trace: OrderTrace,
    ) -> str | None:
        """Sends a release.

        Args:
            address: Address of the upstream, as "ip:port".
            order: The release.
            trace: Filled with details of the call.

        Returns:
            The handover that the upstream sent for the next owner; None
            without an answer.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of headers and paths between callers, hosts and upstreams.

    Headers are spelled in their usual case.
    """

    #: Header with the request's identifier; each attempt of a caller has its
    #: own.
    request_id: str
    #: Header with the milliseconds for which the sender waits for an answer.
    deadline_ms: str
    #: Header with the upstream that may serve the request; others refuse it.
    expected_upstream: str
    #: Header with the upstream that refuses a request meant for another one.
    answering_upstream: str
    #: Header in the refusal of an upstream that did not run the request.
    not_executed: str
    #: Header with the key of a request for a sharded service.
    key: str
    #: Prefix of the paths of orders to upstreams; callers must not use them.
    orders_path: str


class NoticeReader(typing.Protocol):
    """Reads what an upstream announces in the head of an answer."""

    def __call__(
        self, status: int, lines: abc.Sequence[tuple[bytes, bytes]]
    ) -> sycamoreloft_direct.UpstreamNotice:
        """Returns the notice of an answer.

        Args:
            status: HTTP status of the answer.
            lines: Headers in order: name in lower case, and complete line.
        """


def ignore_notices(
    status: int, lines: abc.Sequence[tuple[bytes, bytes]]
) -> sycamoreloft_direct.UpstreamNotice:
    """Reads no notices, for platforms whose upstreams send none."""
    del status, lines
    return sycamoreloft_direct.NO_NOTICE


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """All interfaces of the platform."""

    #: Table of the desired state: at most one entry under a fixed key, and the
    #: evacuations of failure domains.
    states: WatchedTable[
        sycamoreloft_direct.DesiredState | sycamoreloft_direct.Evacuation
    ]
    #: Table of upstreams by identifier.
    upstreams: WatchedTable[sycamoreloft_direct.Upstream]
    #: Records of the coordinators.
    records: RecordStore
    #: Client for orders to upstreams.
    orders: KeyOrderClient
    #: Headers and paths between callers, hosts and upstreams.
    headers: HeaderNames
    #: Reads the notices in answers of upstreams.
    read_notice: NoticeReader = ignore_notices


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a direct host."""

    #: Unique name of this host, for logs and reports.
    name: str
    #: Failure domain of this host; its upstreams are preferred.
    failure_domain: str
    #: TCP address on which callers are served, as "ip:port".
    caller_address: str
    #: TCP address of the load balancer's readiness probe, as "ip:port".
    readiness_address: str
    #: TCP address of the metrics, as "ip:port".
    metrics_address: str
    #: UDP address for datagrams of other hosts, as "ip:port".
    peer_address: str
    #: Seconds between a stop request and the end of the process.
    grace_s: float
    #: Seconds after which a leaving upstream must get no new requests.
    drain_s: float
    #: Seconds after the end of an upstream before its address is reused.
    reuse_after_s: float
    #: Longest key lease that upstreams accept, in seconds.
    longest_hold_s: float
    #: Retries that the platform allows, as a share of the requests.
    retry_share: float
    #: Retries that the platform allows in addition, for all hosts together.
    retry_slack: float = 0.0
    #: Window in which the platform counts requests and retries, in seconds.
    retry_window_s: float = 10.0
    #: Bandwidth of this host's link, in Mbit/s.
    link_mbps: float = 1_000.0
    #: Memory of this host, in megabytes; 0 if unknown, for no limits from it.
    memory_mb: float = 0.0
    #: Maximum number of open files of this process; 0 if unknown.
    descriptors: int = 0
    #: Reads per second that the store allows, for all hosts together.
    store_reads_per_s: float = 1_000.0
    #: Number of hosts from which on the coordinator passes changes of the table
    #: of upstreams on. With few hosts, their calls to the store cost less than
    #: the datagrams.
    relay_minimum_hosts: int = 40
    #: Lowest level of log lines that are written.
    log_level: str = "info"
    #: Bound on the requests that a cold upstream gets in a second: this factor
    #: of the rate that it tolerates, and a number of requests in addition.
    warm_up_overage: float = 1.5
    warm_up_slack: float = 8.0
    #: Seconds from the operator's evacuation of a failure domain to its effect.
    evacuate_s: float = 5.0
