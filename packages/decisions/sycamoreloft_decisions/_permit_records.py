"""State of the permit issuer: permits, waiting requests and their queues."""

from collections import abc
import dataclasses

import sycamoreloft_config
from sycamoreloft_decisions import _balancing, _fair_queue, _permit_events


class Permit:
    """A permit that has not ended."""

    __slots__ = (
        "request",
        "blamed",
        "issued_at",
        "is_inherited",
        "mark_count",
        "renewed_at",
        "running",
        "upstream",
    )

    def __init__(
        self,
        request: _permit_events.PermitRequested,
        upstream: _balancing.UpstreamState,
        now: float,
        mark_count: int,
        is_inherited: bool = False,
    ) -> None:
        """Creates a permit that was issued or first reported now."""
        #: The request that has the permit.
        self.request = request
        #: Upstream that runs the request.
        self.upstream = upstream
        #: When the permit was issued or first reported, in seconds.
        self.issued_at = now
        #: Value of `Quarantine.mark_count` when the permit was issued.
        self.mark_count = mark_count
        #: When a host last reported the permit, in seconds; at first the time
        #: of the issue.
        self.renewed_at = now
        #: Whether an earlier holder issued the permit. Its key is unknown then.
        self.is_inherited = is_inherited
        #: Whether the quarantine has already counted the loss of the upstream
        #: against the request.
        self.blamed = False
        #: Whether the request may still run and crash an upstream.
        self.running = True

    def has_lapsed(
        self, options: _permit_events.PermitOptions, now: float
    ) -> bool:
        """Returns whether the host may no longer start to send."""
        valid_s = options.validity_s * (1 + options.clock_drift)
        return self.renewed_at + valid_s <= now

    def has_started(
        self, options: _permit_events.PermitOptions, now: float
    ) -> bool:
        """Returns whether the request has started if it ever will.

        A host discards a permit that it has not used within the validity.
        """
        valid_s = options.validity_s * (1 + options.clock_drift)
        return self.issued_at + valid_s <= now

    def compute_end(self, options: _permit_events.PermitOptions) -> float:
        """Returns when the request has ended even if its host is silent.

        A host starts to send only while the permit is valid and before the
        deadline of the request. With the request it sends the time left until
        the deadline, and the upstream stops the request when this time has
        passed since the request arrived. The request therefore ends by the
        deadline plus the time in transit. One more validity is allowed for
        the transit, and all of it is extended by the clock drift.
        """
        latest = max(
            self.renewed_at + options.validity_s, self.request.deadline
        )
        span = latest + options.validity_s - self.renewed_at
        return self.renewed_at + span * (1 + options.clock_drift)


class Lane:
    """Requests that wait for a slot, by priority and then in fair order."""

    __slots__ = ("_queues", "shared", "size")

    def __init__(self, shared: bool) -> None:
        """Creates an empty lane for one upstream, or shared by several."""
        #: Whether the requests of this lane may run on several upstreams.
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
        """Adds a request.

        Args:
            ticket: The request.
            cost: Expected service time relative to the mean of all requests.
        """
        queue = self._queues[ticket.request.priority]
        queue.push(get_flow_path(ticket.request), ticket, cost)
        ticket.lane = self
        self.size += 1

    def pop(self, upstream: str) -> "Ticket | None":
        """Removes and returns the next request that the upstream may run."""
        for queue in self._queues.values():
            if not queue:
                continue
            ticket = queue.pop(
                (lambda item: upstream in item.request.candidates)
                if self.shared
                else None
            )
            if ticket is not None:
                return self._detach(ticket)
        return None

    def remove(self, ticket: "Ticket") -> None:
        """Removes a request from any position."""
        queue = self._queues[ticket.request.priority]
        queue.remove(get_flow_path(ticket.request), ticket)
        self._detach(ticket)

    def evict_below(
        self, priority: sycamoreloft_config.Priority
    ) -> "Ticket | None":
        """Removes and returns a request of the lowest priority in the lane.

        Returns None if no request has a priority below the given one.
        """
        for each in sorted(self._queues):
            if each >= priority:
                return None
            ticket = self._queues[each].evict()
            if ticket is not None:
                return self._detach(ticket)
        return None

    def count_ahead(self, request: _permit_events.PermitRequested) -> int:
        """Estimates how many requests start before a new one would."""
        ahead = 0
        for priority, queue in self._queues.items():
            if priority == request.priority:
                return ahead + queue.count_ahead(get_flow_path(request))
            ahead += len(queue)
        return ahead

    def _detach(self, ticket: "Ticket") -> "Ticket":
        ticket.lane = None
        self.size -= 1
        return ticket


class Ticket:
    """A request that waits for its permit."""

    __slots__ = ("request", "paused", "lane")

    def __init__(self, request: _permit_events.PermitRequested) -> None:
        """Creates a ticket that is not in a queue yet."""
        #: The request that waits.
        self.request = request
        #: Lane in which the request is queued, if any.
        self.lane: Lane | None = None
        #: Paused partition for which the request waits, if any. A request with
        #: neither waits because of the quarantine.
        self.paused: PausedPartition | None = None


@dataclasses.dataclass(slots=True, eq=False)
class PausedPartition:
    """A paused partition or key, with the requests that wait for it."""

    #: Fleet of the service.
    fleet: str
    #: Name of the service.
    service: str
    #: Number of the partition.
    partition: int
    #: Key; empty for the whole partition.
    key: str
    #: Identifiers of permits that have to end before it is drained.
    outstanding: set[str]
    #: Waiting requests, in order of arrival.
    tickets: dict[Ticket, None]
    #: Whether `PartitionDrained` was returned.
    is_drained_reported: bool = False

    def covers(self, request: _permit_events.PermitRequested) -> bool:
        """Returns whether the pause applies to a request."""
        return (
            self.partition == request.partition
            and self.service == request.service
            and self.fleet == request.fleet
            and self.key in ("", request.key)
        )

    def waits_for(self, permit: Permit) -> bool:
        """Returns whether a permit must end before the partition is drained.

        The keys of inherited permits are unknown, so a paused key waits for
        all inherited permits of its partition.
        """
        request = permit.request
        return self.covers(request) or (
            permit.is_inherited
            and self.partition == request.partition
            and self.service == request.service
            and self.fleet == request.fleet
        )


def get_flow_path(
    request: _permit_events.PermitRequested,
) -> tuple[str, str, str]:
    """Returns the path of a request's flow in a fair queue."""
    return request.fleet, request.service, request.caller


def build_inherited_request(
    used: _permit_events.ReportedPermit, host: str, assumed_deadline: float
) -> _permit_events.PermitRequested:
    """Returns the request of a permit that an earlier holder issued.

    Args:
        used: The permit as reported by its host.
        host: Name of the host.
        assumed_deadline: Deadline that is used if the report has none, in
            seconds.
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
        deadline=assumed_deadline if used.deadline is None else used.deadline,
        candidates=(used.upstream,),
    )
