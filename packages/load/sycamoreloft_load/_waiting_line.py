"""Requests that wait at this host, in the order in which they are sent."""

import dataclasses

from sycamoreloft_load import _admission

#: Maximum number of requests that wait, and of the bytes of their bodies that
#: this host holds meanwhile.
MAXIMUM_WAITING = 256
MAXIMUM_WAITING_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(eq=False, frozen=True, slots=True)
class Ticket:
    """A request that waits."""

    #: The request.
    demand: _admission.Demand
    #: Identifier and start time of the upstream that it waits for.
    run: tuple[str, int]


class WaitingLine:
    """The waiting requests of one host.

    Args:
        admission: Knows the work times of the kinds.
        maximum: Maximum number of requests that wait.
    """

    def __init__(
        self, admission: _admission.Admission, maximum: int = MAXIMUM_WAITING
    ) -> None:
        self._admission = admission
        self._maximum = maximum
        self._bytes = 0
        self._tickets: dict[tuple[str, int], list[Ticket]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return self._count

    def count(self, service: str) -> int:
        """Returns the number of requests that wait for a service."""
        return sum(
            ticket.demand.service == service
            for tickets in self._tickets.values()
            for ticket in tickets
        )

    def add(self, ticket: Ticket, now: float) -> Ticket | None:
        """Adds a request, in the place of a less urgent one if it is full.

        Returns:
            The request that must leave, which may be the new one; None if
            there was room.
        """
        if not self._tickets.get(ticket.run):
            self._tickets[ticket.run] = []
        self._tickets[ticket.run].append(ticket)
        self._count += 1
        self._bytes += ticket.demand.body_bytes
        if (
            self._count <= self._maximum
            and self._bytes <= MAXIMUM_WAITING_BYTES
        ):
            return None
        last = max(
            (item for items in self._tickets.values() for item in items),
            key=lambda item: self.rank(item.demand, now),
        )
        self.remove(last)
        return last

    def remove(self, ticket: Ticket) -> None:
        """Removes a request; it may have left before."""
        tickets = self._tickets.get(ticket.run, [])
        if ticket not in tickets:
            return
        tickets.remove(ticket)
        if not tickets:
            del self._tickets[ticket.run]
        self._count -= 1
        self._bytes -= ticket.demand.body_bytes

    def find_first(self, run: tuple[str, int], now: float) -> Ticket | None:
        """Returns the request that is sent to a run next; None without one."""
        return min(
            self._tickets.get(run, ()),
            key=lambda item: self.rank(item.demand, now),
            default=None,
        )

    def list_waiting(self, run: tuple[str, int], now: float) -> list[Ticket]:
        """Returns the requests that wait for a run, in their order."""
        return sorted(
            self._tickets.get(run, ()),
            key=lambda item: self.rank(item.demand, now),
        )

    def is_overtaken(
        self, demand: _admission.Demand, run: tuple[str, int], now: float
    ) -> bool:
        """Returns whether a request that waits for a run comes before another.

        Args:
            demand: The other request, which does not wait.
            run: Identifier and start time of the run.
            now: Time, in seconds.
        """
        if not self._count:
            return False
        first = self.find_first(run, now)
        return first is not None and self.rank(first.demand, now) <= self.rank(
            demand, now
        )

    def rank(
        self, demand: _admission.Demand, now: float
    ) -> tuple[int, bool, bool, float]:
        """Returns the sort key of a request; the lowest is sent first."""
        work_s = self._admission.get_work_s(demand.service, demand.kind)
        target_at = demand.arrived_at + demand.kind.latency_target_s
        return (
            demand.kind.priority,
            demand.is_repeat,
            now + work_s > target_at,
            demand.deadline,
        )
