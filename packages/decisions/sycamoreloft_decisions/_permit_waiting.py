"""Requests that wait for a permit: queued, paused or suspect."""

from collections import abc

import sycamoreloft_config
from sycamoreloft_decisions import (
    _balancing,
    _permit_events,
    _permit_records,
)

#: Weight of a new sample in the moving average of service times.
SERVICE_TIME_WEIGHT = 0.1

_RequestKind = tuple[str, str, sycamoreloft_config.Priority]


class WaitingRequests:
    """All requests that have been neither permitted nor refused yet."""

    def __init__(self, options: _permit_events.PermitOptions) -> None:
        """Creates an empty set of waiting requests."""
        self._options = options
        #: Waiting requests by permit.
        self.tickets: dict[str, _permit_records.Ticket] = {}
        #: Paused partitions and keys.
        self.paused_partitions: list[_permit_records.PausedPartition] = []
        #: Requests that wait because of the quarantine.
        self.suspects: dict[_permit_records.Ticket, None] = {}
        self._paused_count = 0
        self._lanes: dict[tuple[str, ...], _permit_records.Lane] = {}
        self._lanes_by_upstream: dict[str, list[_permit_records.Lane]] = {}
        self._service_times: dict[_RequestKind, float] = {}
        self._mean_service_time = 0.0

    def record_service_time(
        self, request: _permit_events.PermitRequested, latency_s: float
    ) -> None:
        """Adds a sample to the mean service time of a kind of request."""
        kind = (request.fleet, request.service, request.priority)
        known = self._service_times.get(kind, latency_s)
        self._service_times[kind] = known + SERVICE_TIME_WEIGHT * (
            latency_s - known
        )
        self._mean_service_time += SERVICE_TIME_WEIGHT * (
            latency_s - self._mean_service_time
        )

    def get_service_time(
        self, request: _permit_events.PermitRequested
    ) -> float:
        """Returns the mean service time of similar requests, in seconds.

        Similar requests have the same service and priority. The result is 0 if
        none has completed.
        """
        kind = (request.fleet, request.service, request.priority)
        return self._service_times.get(kind, 0.0)

    def estimate_wait(
        self,
        lane: _permit_records.Lane,
        request: _permit_events.PermitRequested,
        upstreams: abc.Iterable[_balancing.UpstreamState],
    ) -> float:
        """Estimates the seconds until a new request could start.

        Returns 0 if the throughput of the upstreams is not known.
        """
        rate = 0.0
        for upstream in upstreams:
            if upstream.available and upstream.limiter.recent_s:
                rate += upstream.capacity / upstream.limiter.recent_s
        return (lane.count_ahead(request) + 1) / rate if rate else 0.0

    def get_lane(
        self, request: _permit_events.PermitRequested
    ) -> _permit_records.Lane:
        """Returns the lane of a request.

        Requests with a single candidate share the lane of that upstream,
        others the lane of their service.
        """
        shared = len(request.candidates) > 1
        key = (request.fleet, request.service) if shared else request.candidates
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = _permit_records.Lane(shared)
        return lane

    def add_queued(
        self,
        request: _permit_events.PermitRequested,
        lane: _permit_records.Lane,
    ) -> None:
        """Queues a request. The caller has checked the limit of the lane."""
        mean = self._mean_service_time
        cost = self.get_service_time(request) / mean if mean else 1.0
        lane.push(self._add(request), cost)
        for name in request.candidates:
            lanes = self._lanes_by_upstream.setdefault(name, [])
            if lane not in lanes:
                lanes.append(lane)

    def add_suspect(self, request: _permit_events.PermitRequested) -> bool:
        """Makes a request wait for the quarantine; False if too many do."""
        if len(self.suspects) >= self._options.waiting_suspects:
            return False
        self.suspects[self._add(request)] = None
        return True

    def add_paused(
        self,
        request: _permit_events.PermitRequested,
        paused: _permit_records.PausedPartition,
    ) -> bool:
        """Makes a request wait for a paused partition; False if too many do."""
        if self._paused_count >= self._options.paused_requests:
            return False
        self._paused_count += 1
        ticket = self._add(request)
        ticket.paused = paused
        paused.tickets[ticket] = None
        return True

    def discard(self, ticket: _permit_records.Ticket) -> None:
        """Removes a request from wherever it waits."""
        del self.tickets[ticket.request.permit]
        if ticket.lane is not None:
            ticket.lane.remove(ticket)
        elif ticket.paused is not None:
            del ticket.paused.tickets[ticket]
            self._paused_count -= 1
        else:
            del self.suspects[ticket]

    def pop_next(
        self, upstream: str, own_only: bool
    ) -> _permit_records.Ticket | None:
        """Removes and returns the next queued request for an upstream.

        Lanes that share an upstream are served in turn.

        Args:
            upstream: Name of the upstream.
            own_only: Whether to skip requests that other upstreams may run.
        """
        lanes = self._lanes_by_upstream.get(upstream, [])
        for index, lane in enumerate(lanes):
            if not lane.size or (own_only and lane.shared):
                continue
            ticket = lane.pop(upstream)
            if ticket is not None:
                lanes.append(lanes.pop(index))
                del self.tickets[ticket.request.permit]
                return ticket
        return None

    def pop_expired(self, now: float) -> list[_permit_events.PermitRequested]:
        """Removes and returns the requests whose deadline has passed."""
        late = [
            ticket
            for ticket in self.tickets.values()
            if ticket.request.deadline <= now
        ]
        for ticket in late:
            self.discard(ticket)
        return [ticket.request for ticket in late]

    def pop_unkeyed(self) -> list[_permit_events.PermitRequested]:
        """Removes and returns the queued requests of unkeyed services."""
        tickets = [
            ticket
            for ticket in self.tickets.values()
            if ticket.lane is not None and ticket.request.partition < 0
        ]
        for ticket in tickets:
            self.discard(ticket)
        return [ticket.request for ticket in tickets]

    def pop_suspects(self) -> list[_permit_events.PermitRequested]:
        """Removes and returns the requests that wait for the quarantine."""
        tickets = list(self.suspects)
        for ticket in tickets:
            self.discard(ticket)
        return [ticket.request for ticket in tickets]

    def find_paused_partition(
        self, request: _permit_events.PermitRequested
    ) -> _permit_records.PausedPartition | None:
        """Returns the paused partition that a request must wait for, if any."""
        for paused in self.paused_partitions:
            if paused.covers(request):
                return paused
        return None

    def add_paused_partition(
        self, paused: _permit_records.PausedPartition
    ) -> _permit_records.PausedPartition:
        """Adds a paused partition unless it is paused already.

        Queued requests of the partition are moved to it.

        Returns:
            The paused partition, which is the existing one if there is one.
        """
        for existing in self.paused_partitions:
            if (
                existing.fleet,
                existing.service,
                existing.partition,
                existing.key,
            ) == (
                paused.fleet,
                paused.service,
                paused.partition,
                paused.key,
            ):
                return existing
        self.paused_partitions.append(paused)
        for ticket in list(self.tickets.values()):
            if ticket.paused is None and paused.covers(ticket.request):
                self.discard(ticket)
                # These requests were admitted before the pause, so the limit
                # on waiting requests does not apply to them.
                moved = self._add(ticket.request)
                moved.paused = paused
                paused.tickets[moved] = None
                self._paused_count += 1
        return paused

    def remove_paused_partition(
        self, resumed: _permit_events.PartitionResumed
    ) -> list[_permit_events.PermitRequested]:
        """Removes a paused partition and returns the requests that waited."""
        for paused in self.paused_partitions:
            if (paused.fleet, paused.service, paused.partition, paused.key) == (
                resumed.fleet,
                resumed.service,
                resumed.partition,
                resumed.key,
            ):
                self.paused_partitions.remove(paused)
                tickets = list(paused.tickets)
                for ticket in tickets:
                    self.discard(ticket)
                return [ticket.request for ticket in tickets]
        return []

    def end_permit(self, permit: str) -> None:
        """Removes an ended permit from the paused partitions."""
        for paused in self.paused_partitions:
            paused.outstanding.discard(permit)

    def _add(
        self, request: _permit_events.PermitRequested
    ) -> _permit_records.Ticket:
        ticket = _permit_records.Ticket(request)
        self.tickets[request.permit] = ticket
        return ticket
