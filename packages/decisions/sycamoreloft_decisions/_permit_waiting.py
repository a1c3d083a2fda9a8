"""Requests that wait for a permit: queued, held or suspect."""

from collections import abc

import sycamoreloft_config
from sycamoreloft_decisions import (
    _balancing,
    _permit_events,
    _permit_records,
)

#: Weight of a new sample in the mean service time of a kind of request.
SERVICE_TIME_WEIGHT = 0.1

_Kind = tuple[str, str, sycamoreloft_config.Priority]


class WaitingRequests:
    """Every request that has neither a permit nor a refusal yet."""

    def __init__(self, options: _permit_events.PermitOptions) -> None:
        """Starts without requests."""
        self._options = options
        #: Waiting requests by permit.
        self.tickets: dict[str, _permit_records.Ticket] = {}
        #: Held partitions and keys.
        self.holds: list[_permit_records.Hold] = []
        #: Requests that wait because of the quarantine.
        self.suspects: dict[_permit_records.Ticket, None] = {}
        self._held_count = 0
        self._lanes: dict[tuple[str, ...], _permit_records.Lane] = {}
        self._lanes_of: dict[str, list[_permit_records.Lane]] = {}
        self._service_times: dict[_Kind, float] = {}
        self._mean_service_time = 0.0

    def observe(
        self, asked: _permit_events.PermitRequested, latency_s: float
    ) -> None:
        """Learns the service time of a kind of request."""
        kind = (asked.fleet, asked.service, asked.priority)
        known = self._service_times.get(kind, latency_s)
        self._service_times[kind] = known + SERVICE_TIME_WEIGHT * (
            latency_s - known
        )
        self._mean_service_time += SERVICE_TIME_WEIGHT * (
            latency_s - self._mean_service_time
        )

    def find_service_time(self, asked: _permit_events.PermitRequested) -> float:
        """Returns the mean service time of such requests; 0 if not known."""
        kind = (asked.fleet, asked.service, asked.priority)
        return self._service_times.get(kind, 0.0)

    def estimate_wait(
        self,
        lane: _permit_records.Lane,
        asked: _permit_events.PermitRequested,
        upstreams: abc.Iterable[_balancing.UpstreamState],
    ) -> float:
        """Estimates the seconds until a new request could start."""
        rate = 0.0
        for upstream in upstreams:
            if upstream.available and upstream.limiter.recent_s:
                rate += upstream.capacity / upstream.limiter.recent_s
        return (lane.count_ahead(asked) + 1) / rate if rate else 0.0

    def find_lane(
        self, asked: _permit_events.PermitRequested
    ) -> _permit_records.Lane:
        """Returns the lane of a request: of its owner, or of its service."""
        shared = len(asked.candidates) > 1
        key = (asked.fleet, asked.service) if shared else asked.candidates
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = _permit_records.Lane(shared)
        return lane

    def add_queued(
        self, asked: _permit_events.PermitRequested, lane: _permit_records.Lane
    ) -> None:
        """Queues a request; the caller has checked the bound of the lane."""
        mean = self._mean_service_time
        cost = self.find_service_time(asked) / mean if mean else 1.0
        lane.push(self._add(asked), cost)
        for name in asked.candidates:
            lanes = self._lanes_of.setdefault(name, [])
            if lane not in lanes:
                lanes.append(lane)

    def add_suspect(self, asked: _permit_events.PermitRequested) -> bool:
        """Lets a request wait for the quarantine; False if it is full."""
        if len(self.suspects) >= self._options.waiting_suspects:
            return False
        self.suspects[self._add(asked)] = None
        return True

    def add_held(
        self, asked: _permit_events.PermitRequested, hold: _permit_records.Hold
    ) -> bool:
        """Lets a request wait for a hold; False if too many do."""
        if self._held_count >= self._options.held_requests:
            return False
        self._held_count += 1
        ticket = self._add(asked)
        ticket.hold = hold
        hold.tickets[ticket] = None
        return True

    def discard(self, ticket: _permit_records.Ticket) -> None:
        """Removes a request from wherever it waits."""
        del self.tickets[ticket.asked.permit]
        if ticket.lane is not None:
            ticket.lane.remove(ticket)
        elif ticket.hold is not None:
            del ticket.hold.tickets[ticket]
            self._held_count -= 1
        else:
            del self.suspects[ticket]

    def take_next(
        self, upstream: str, own_only: bool
    ) -> _permit_records.Ticket | None:
        """Removes the next queued request for an upstream.

        Lanes that share an upstream are served in turn.

        Args:
            upstream: Name of the upstream.
            own_only: Whether requests that others may run are left to them.
        """
        lanes = self._lanes_of.get(upstream, [])
        for index, lane in enumerate(lanes):
            if not lane.size or (own_only and lane.shared):
                continue
            ticket = lane.pop(upstream)
            if ticket is not None:
                lanes.append(lanes.pop(index))
                del self.tickets[ticket.asked.permit]
                return ticket
        return None

    def take_late(self, now: float) -> list[_permit_events.PermitRequested]:
        """Removes the requests whose deadline has passed."""
        late = [
            ticket
            for ticket in self.tickets.values()
            if ticket.asked.deadline <= now
        ]
        for ticket in late:
            self.discard(ticket)
        return [ticket.asked for ticket in late]

    def take_unkeyed(self) -> list[_permit_events.PermitRequested]:
        """Removes the queued requests of unkeyed services."""
        tickets = [
            ticket
            for ticket in self.tickets.values()
            if ticket.lane is not None and ticket.asked.partition < 0
        ]
        for ticket in tickets:
            self.discard(ticket)
        return [ticket.asked for ticket in tickets]

    def take_suspects(self) -> list[_permit_events.PermitRequested]:
        """Removes the requests that wait because of the quarantine."""
        tickets = list(self.suspects)
        for ticket in tickets:
            self.discard(ticket)
        return [ticket.asked for ticket in tickets]

    def find_hold(
        self, asked: _permit_events.PermitRequested
    ) -> _permit_records.Hold | None:
        """Returns the hold for which a request must wait, if any."""
        for hold in self.holds:
            if hold.covers(asked):
                return hold
        return None

    def add_hold(self, hold: _permit_records.Hold) -> _permit_records.Hold:
        """Adds a hold, and moves the queued requests that it covers to it."""
        for known in self.holds:
            if (known.fleet, known.service, known.partition, known.key) == (
                hold.fleet,
                hold.service,
                hold.partition,
                hold.key,
            ):
                return known
        self.holds.append(hold)
        for ticket in list(self.tickets.values()):
            if ticket.hold is None and hold.covers(ticket.asked):
                self.discard(ticket)
                # These requests were admitted, so the bound on new ones does
                # not apply.
                moved = self._add(ticket.asked)
                moved.hold = hold
                hold.tickets[moved] = None
                self._held_count += 1
        return hold

    def remove_hold(
        self, released: _permit_events.PartitionResumed
    ) -> list[_permit_events.PermitRequested]:
        """Ends a hold and returns the requests that waited for it."""
        for hold in self.holds:
            if (hold.fleet, hold.service, hold.partition, hold.key) == (
                released.fleet,
                released.service,
                released.partition,
                released.key,
            ):
                self.holds.remove(hold)
                tickets = list(hold.tickets)
                for ticket in tickets:
                    self.discard(ticket)
                return [ticket.asked for ticket in tickets]
        return []

    def end_permit(self, permit: str) -> None:
        """Tells the holds that a permit has ended."""
        for hold in self.holds:
            hold.outstanding.discard(permit)

    def _add(
        self, asked: _permit_events.PermitRequested
    ) -> _permit_records.Ticket:
        ticket = _permit_records.Ticket(asked)
        self.tickets[asked.permit] = ticket
        return ticket
