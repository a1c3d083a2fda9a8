"""Records of the permit desk: permits, waiting requests, holds and lanes."""

from collections import abc
import dataclasses

import sycamoreloft_config
from sycamoreloft_decisions import _balancing, _fair_queue, _permit_events


class Permit:
    """A permit that has not ended."""

    __slots__ = (
        "asked",
        "blamed",
        "issued_at",
        "learned",
        "order",
        "renewed_at",
        "running",
        "upstream",
    )

    def __init__(
        self,
        asked: _permit_events.PermitRequested,
        upstream: _balancing.UpstreamState,
        now: float,
        order: int,
        learned: bool = False,
    ) -> None:
        """Starts a permit that is issued or learned now."""
        #: The request.
        self.asked = asked
        #: Upstream that runs it.
        self.upstream = upstream
        #: Time of the issue.
        self.issued_at = now
        #: Order of the quarantine at the issue.
        self.order = order
        #: Time of the last report that contains it.
        self.renewed_at = now
        #: Whether another holder issued it, so that its key is not known.
        self.learned = learned
        #: Whether a loss of its upstream has been counted against it.
        self.blamed = False
        #: Whether the request may still take down an upstream.
        self.running = True

    def has_lapsed(
        self, options: _permit_events.PermitOptions, now: float
    ) -> bool:
        """Tells whether its host may no longer start to send."""
        valid_s = options.validity_s * (1 + options.clock_drift)
        return self.renewed_at + valid_s <= now

    def has_started(
        self, options: _permit_events.PermitOptions, now: float
    ) -> bool:
        """Tells whether its request has started, if it ever does.

        A host gives up a permit that it has not used within the validity.
        """
        valid_s = options.validity_s * (1 + options.clock_drift)
        return self.issued_at + valid_s <= now

    def compute_end(self, options: _permit_events.PermitOptions) -> float:
        """Returns the time from which a silent host cannot use it any more.

        A host starts to send while the permit is valid, and never after the
        deadline of the request. The upstream stops the request when the time
        left, which the host states when it sends, has passed since the
        upstream received it. The request therefore ends by the deadline plus
        the transit time. The transit is bounded by one more validity, and
        clocks may differ in speed.
        """
        latest = max(self.renewed_at + options.validity_s, self.asked.deadline)
        span = latest + options.validity_s - self.renewed_at
        return self.renewed_at + span * (1 + options.clock_drift)


class Lane:
    """Requests that wait for a slot, by class and then in fair order."""

    __slots__ = ("_queues", "shared", "size")

    def __init__(self, shared: bool) -> None:
        """Starts an empty lane of one upstream, or shared by several."""
        #: Whether requests for several upstreams wait here.
        self.shared = shared
        #: Number of waiting requests.
        self.size = 0
        self._queues = {
            priority: _fair_queue.FairQueue[Ticket]()
            for priority in sorted(sycamoreloft_config.Priority, reverse=True)
        }

    def __iter__(self) -> abc.Iterator["Ticket"]:
        for queue in self._queues.values():
            yield from queue

    def push(self, ticket: "Ticket", cost: float) -> None:
        """Adds a request."""
        queue = self._queues[ticket.asked.priority]
        queue.push(list_flow(ticket.asked), ticket, cost)
        ticket.lane = self
        self.size += 1

    def pop(self, upstream: str) -> "Ticket | None":
        """Removes the next request that the upstream may run."""
        for queue in self._queues.values():
            if not queue:
                continue
            ticket = queue.pop(
                (lambda item: upstream in item.asked.candidates)
                if self.shared
                else None
            )
            if ticket is not None:
                return self._take(ticket)
        return None

    def remove(self, ticket: "Ticket") -> None:
        """Removes a request from any place."""
        queue = self._queues[ticket.asked.priority]
        queue.remove(list_flow(ticket.asked), ticket)
        self._take(ticket)

    def evict_below(
        self, priority: sycamoreloft_config.Priority
    ) -> "Ticket | None":
        """Removes a request of the lowest class below the given one."""
        for each in sorted(self._queues):
            if each >= priority:
                return None
            ticket = self._queues[each].evict()
            if ticket is not None:
                return self._take(ticket)
        return None

    def count_ahead(self, asked: _permit_events.PermitRequested) -> int:
        """Estimates how many requests are started before a new one."""
        ahead = 0
        for priority, queue in self._queues.items():
            if priority == asked.priority:
                return ahead + queue.count_ahead(list_flow(asked))
            ahead += len(queue)
        return ahead

    def _take(self, ticket: "Ticket") -> "Ticket":
        ticket.lane = None
        self.size -= 1
        return ticket


class Ticket:
    """A request that waits for its permit."""

    __slots__ = ("asked", "hold", "lane")

    def __init__(self, asked: _permit_events.PermitRequested) -> None:
        """Starts a ticket that waits nowhere yet."""
        #: The request.
        self.asked = asked
        #: Lane in which it waits.
        self.lane: Lane | None = None
        #: Hold for which it waits.
        self.hold: Hold | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Hold:
    """A held partition or key."""

    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Partition.
    partition: int
    #: Key; empty for the whole partition.
    key: str
    #: Permits that have not ended.
    outstanding: set[str]
    #: Waiting requests, in order of arrival.
    tickets: dict[Ticket, None]
    #: Whether the end of the last permit was told.
    told: bool = False

    def covers(self, asked: _permit_events.PermitRequested) -> bool:
        """Tells whether a request must wait for this hold."""
        return (
            self.partition == asked.partition
            and self.service == asked.service
            and self.fleet == asked.fleet
            and self.key in ("", asked.key)
        )

    def concerns(self, permit: Permit) -> bool:
        """Tells whether a permit must end before the hold is drained."""
        asked = permit.asked
        return self.covers(asked) or (
            permit.learned
            and self.partition == asked.partition
            and self.service == asked.service
            and self.fleet == asked.fleet
        )


def list_flow(asked: _permit_events.PermitRequested) -> tuple[str, str, str]:
    """Returns the path of a request in a fair queue."""
    return asked.fleet, asked.service, asked.caller


def describe_learned(
    used: _permit_events.ReportedPermit, host: str, longest: float
) -> _permit_events.PermitRequested:
    """Returns the request of a permit that another holder issued.

    Args:
        used: What the host reports.
        host: Name of the host.
        longest: Deadline that is assumed if the report does not tell it.
    """
    return _permit_events.PermitRequested(
        permit=used.permit,
        host=host,
        fleet=used.fleet,
        service=used.service,
        key="",
        partition=used.partition,
        fingerprint=used.fingerprint,
        caller="",
        priority=sycamoreloft_config.Priority.NORMAL,
        deadline=longest if used.deadline is None else used.deadline,
        candidates=(used.upstream,),
    )
