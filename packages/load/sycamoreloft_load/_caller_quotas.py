"""Limits on what callers may hold of a host: connections and bytes.

A host counts what each connection of a caller holds: the request that it runs,
and answers that the caller does not read. The ledger decides which requests are
refused and which connections are closed when a limit is reached.
"""

from collections import abc
import dataclasses
import sys

#: Memory of a process at rest, and what tables, metrics and the allocator need
#: beyond it, in bytes. A process took 40 MB at rest.
BASE_BYTES = 48_000_000

#: Share of the host's memory that the process plans with.
MEMORY_SHARE = 0.9

#: Maximum bytes of a connection without a request: the part of a head that has
#: arrived, and the objects that serve the connection.
IDLE_CONNECTION_BYTES = 81_920

#: Share of the remaining memory for requests and answers; the rest is for the
#: heads that arrive on open connections.
HELD_SHARE = 0.5

#: Share of the limits that the connections of one caller address may use. A
#: load balancer may hide many callers behind one address.
CALLER_SHARE = 0.75

#: Share of the byte limits up to which new requests are admitted. The rest is
#: for the answers of requests that run already.
ADMISSION_SHARE = 0.75

#: Descriptors that are not used for connections of callers and to upstreams:
#: those of the platform for files, and those of readiness probes, metrics, the
#: store, datagrams and orders of the coordinator.
FILE_DESCRIPTORS = 200
INTERNAL_DESCRIPTORS = 200

#: Share of the remaining descriptors for connections of callers; the rest is
#: for connections to upstreams.
CALLER_DESCRIPTOR_SHARE = 0.6

#: Minimum numbers of connections, for hosts with very low limits.
MINIMUM_CONNECTIONS = 16

#: Part of the connections that remains when the system has no descriptor left,
#: and the number below which the limit is not lowered.
EXHAUSTED_SHARE = 0.9
EXHAUSTED_MINIMUM = 128

#: Minimum limit of held bytes: a single request whose body and answer are
#: streamed is always served.
MINIMUM_HELD_BYTES = 4_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallerQuotas:
    """Limits on callers; the defaults set none."""

    #: Maximum number of open connections of callers.
    connections: int = sys.maxsize
    #: Maximum number of open connections of one caller address.
    connections_per_caller: int = sys.maxsize
    #: Maximum number of bytes that requests and answers hold.
    held_bytes: int = sys.maxsize
    #: Maximum number of bytes that those of one caller address hold.
    held_bytes_per_caller: int = sys.maxsize
    #: Maximum number of connections to upstreams; 0 for no limit.
    upstream_connections: int = 0

    @property
    def limits_memory(self) -> bool:
        """Whether the bytes that callers hold are limited."""
        return self.held_bytes < sys.maxsize


def compute_quotas(memory_bytes: float, descriptors: int) -> CallerQuotas:
    """Sizes the limits from the memory and the descriptors of a host.

    Args:
        memory_bytes: Memory of the host; 0 if it is unknown, for no limits
            that depend on it.
        descriptors: Maximum number of open files of the process; 0 if it is
            unknown, for no limits that depend on it.
    """
    connections = held_bytes = sys.maxsize
    upstream_connections = 0
    if memory_bytes:
        remaining = max(0.0, memory_bytes * MEMORY_SHARE - BASE_BYTES)
        held_bytes = max(MINIMUM_HELD_BYTES, int(remaining * HELD_SHARE))
        connections = int(remaining * (1 - HELD_SHARE) / IDLE_CONNECTION_BYTES)
    if descriptors:
        usable = descriptors - FILE_DESCRIPTORS - INTERNAL_DESCRIPTORS
        for_callers = int(usable * CALLER_DESCRIPTOR_SHARE)
        connections = min(connections, for_callers)
        upstream_connections = max(MINIMUM_CONNECTIONS, usable - for_callers)
    connections = max(MINIMUM_CONNECTIONS, connections)
    return CallerQuotas(
        connections,
        _take_caller_share(connections),
        held_bytes,
        _take_caller_share(held_bytes),
        upstream_connections,
    )


def _take_caller_share(limit: int) -> int:
    return limit if limit == sys.maxsize else int(limit * CALLER_SHARE)


class Account:
    """What one connection of a caller holds.

    Args:
        caller: The account of its address.
        connection: The connection, which the ledger only passes on.
    """

    __slots__ = (
        "answer_bytes",
        "caller",
        "connection",
        "is_open",
        "progress",
        "progress_at",
        "request_bytes",
    )

    def __init__(self, caller: "CallerAccount", connection: object) -> None:
        self.caller = caller
        self.connection = connection
        #: Whether the connection counts; afterwards nothing is counted for it.
        self.is_open = True
        #: Bytes that its request holds.
        self.request_bytes = 0
        #: Bytes of an answer that the caller has not read; 0 if it waits for
        #: none.
        self.answer_bytes = 0
        #: Bytes written to the connection when they last grew, and the time.
        self.progress = -1
        self.progress_at = 0.0


class CallerAccount:
    """What all connections of one caller address hold."""

    __slots__ = ("accounts", "address", "held_bytes")

    def __init__(self, address: str) -> None:
        self.address = address
        #: Open connections in the order in which they were opened.
        self.accounts: dict[Account, None] = {}
        #: Bytes that they hold together.
        self.held_bytes = 0


class CallerLedger:
    """Counts what callers hold, and decides what happens at a limit.

    Args:
        quotas: The limits.
    """

    def __init__(self, quotas: CallerQuotas) -> None:
        self.quotas = quotas
        #: Number of open connections.
        self.connection_count = 0
        #: Bytes that requests and answers hold.
        self.held_bytes = 0
        self._callers: dict[str, CallerAccount] = {}
        # Connections whose answers the callers do not read.
        self._unread: dict[Account, None] = {}

    def open(self, address: str, connection: object) -> Account:
        """Opens an account; `list_surplus` says whether that is too many."""
        caller = self._callers.get(address)
        if caller is None:
            caller = self._callers[address] = CallerAccount(address)
        account = Account(caller, connection)
        caller.accounts[account] = None
        self.connection_count += 1
        return account

    def close(self, account: Account) -> None:
        """Closes an account; idempotent."""
        caller = account.caller
        if not account.is_open:
            return
        self.release(account)
        account.is_open = False
        del caller.accounts[account]
        self.connection_count -= 1
        if not caller.accounts:
            del self._callers[caller.address]

    def choose_surplus(self, account: Account) -> Account | None:
        """Chooses the connection to close after a new one was opened.

        Args:
            account: Account of the new connection.

        Returns:
            None if no limit is exceeded. The new connection itself if all
            others that could be closed run a request.
        """
        limit = self.quotas.connections_per_caller
        if len(account.caller.accounts) > limit:
            return _choose_unused(account.caller, account) or account
        if self.connection_count > self.quotas.connections:
            return self.choose_unused(account) or account
        return None

    def record_exhaustion(self) -> abc.Iterator[Account]:
        """Lowers the limit of connections: the system has no descriptor left.

        The limit stays lower, since the host has fewer descriptors than its
        settings say, or they do not say how many it has.

        Yields:
            Connections to close; each has to be closed before the next.
        """
        quotas = self.quotas
        limit = min(
            quotas.connections,
            max(
                EXHAUSTED_MINIMUM, int(self.connection_count * EXHAUSTED_SHARE)
            ),
        )
        self.quotas = dataclasses.replace(
            quotas,
            connections=limit,
            connections_per_caller=min(
                quotas.connections_per_caller, _take_caller_share(limit)
            ),
        )
        unused = self.choose_unused()
        while unused is not None:
            yield unused
            if self.connection_count <= limit:
                return
            unused = self.choose_unused()

    def choose_unused(self, spared: Account | None = None) -> Account | None:
        """Chooses a connection that runs no request, so that it may be closed.

        Args:
            spared: Account that is not chosen.

        Returns:
            The oldest of the address with the most connections; one of another
            address if that one uses all of its own; or None.
        """
        if not self._callers:
            return None
        callers = self._callers.values()
        heaviest = max(callers, key=lambda caller: len(caller.accounts))
        found = _choose_unused(heaviest, spared)
        if found is None:
            others = (_choose_unused(caller, spared) for caller in callers)
            found = next(filter(None, others), None)
        return found

    def admit(self, account: Account, size: int) -> bool:
        """Admits a request if there is room for it, and counts its bytes.

        Args:
            account: Account of the connection.
            size: Bytes that the request holds at most.

        Returns:
            False if the request has to be refused.
        """
        quotas = self.quotas
        caller = account.caller
        if not account.is_open:
            return False
        if (
            self.held_bytes + size > quotas.held_bytes * ADMISSION_SHARE
            or caller.held_bytes + size
            > quotas.held_bytes_per_caller * ADMISSION_SHARE
        ):
            return False
        self._add(account, size)
        account.request_bytes += size
        return True

    def hold_answer(self, account: Account, size: int) -> None:
        """Counts bytes of an answer that the caller has not read."""
        if not account.is_open:
            return
        self._add(account, size - account.answer_bytes)
        account.answer_bytes = size
        if size:
            self._unread[account] = None
        else:
            self._unread.pop(account, None)

    def release(self, account: Account) -> None:
        """Releases what a connection holds, at the end of its answer."""
        if account.request_bytes or account.answer_bytes:
            self.hold_answer(account, 0)
            self._add(account, -account.request_bytes)
            account.request_bytes = 0

    def list_excess(self, wanted: int = 0) -> list[Account]:
        """Lists connections to close so that the byte limits hold.

        Only connections whose answers are not read are closed: those of the
        address that holds most first, and the largest of these first.

        Args:
            wanted: Bytes that shall be free for new requests.
        """
        quotas = self.quotas
        limit = quotas.held_bytes
        if wanted:
            limit = int(limit * ADMISSION_SHARE) - wanted
        total = self.held_bytes
        held = {caller: caller.held_bytes for caller in self._callers.values()}
        excess: list[Account] = []
        for account in sorted(
            self._unread,
            key=lambda a: (
                -a.caller.held_bytes,
                -a.answer_bytes - a.request_bytes,
            ),
        ):
            caller = account.caller
            if total <= limit and held[caller] <= quotas.held_bytes_per_caller:
                continue
            size = account.answer_bytes + account.request_bytes
            total -= size
            held[caller] -= size
            excess.append(account)
        return excess

    def exceeds_bytes(self, account: Account) -> bool:
        """Returns whether an answer of this connection exceeds a limit."""
        quotas = self.quotas
        return (
            self.held_bytes > quotas.held_bytes
            or account.caller.held_bytes > quotas.held_bytes_per_caller
        )

    def list_stalled(
        self,
        now: float,
        timeout_s: float,
        read_progress: abc.Callable[[Account], int],
    ) -> list[Account]:
        """Lists connections whose answer nobody reads any more.

        Args:
            now: Current time, in seconds.
            timeout_s: Seconds without progress after which a connection is
                listed.
            read_progress: Returns the bytes written to a connection so far.
        """
        stalled = []
        for account in self._unread:
            progress = read_progress(account)
            if progress != account.progress:
                account.progress, account.progress_at = progress, now
            elif now - account.progress_at >= timeout_s:
                stalled.append(account)
        return stalled

    def _add(self, account: Account, size: int) -> None:
        account.caller.held_bytes += size
        self.held_bytes += size


def _choose_unused(
    caller: CallerAccount, spared: Account | None
) -> Account | None:
    return next(
        (
            account
            for account in caller.accounts
            if account is not spared
            and (account.answer_bytes or not account.request_bytes)
        ),
        None,
    )
