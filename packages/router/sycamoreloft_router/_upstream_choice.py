"""Finds the upstream for each attempt of a request."""

import asyncio

import sycamoreloft_direct
from sycamoreloft_router import _direct_requests, _direct_services, _exchange

#: Longest wait for an owner of the key, in seconds: a move of keys takes
#: less, and a loss takes longer than most callers wait.
OWNER_WAIT_S = 0.6

#: Longest wait before an owner is asked again that did not have the key, in
#: seconds: it may just be getting it.
MISDIRECTED_WAIT_S = 0.15

#: Wait before a full owner is asked again, in seconds, at least and at most:
#: about the time of one request at a fast upstream.
LEAST_SHED_WAIT_S = 0.06
MOST_SHED_WAIT_S = 0.12

#: Least time left for another attempt, in seconds.
LEAST_LEFT_S = 0.03


class UpstreamChoice:
    """What the attempts of one request tell about the next one.

    Args:
        services: What all requests share.
        request: The request.
        received: Its deadline.
    """

    __slots__ = (
        "_received",
        "_request",
        "_services",
        "is_owner_lost",
        "misdirected",
        "reason",
        "tried",
    )

    def __init__(
        self,
        services: _direct_services.DirectServices,
        request: _direct_requests.DirectRequest,
        received: _exchange.ReceivedRequest,
    ) -> None:
        self._services = services
        self._request = request
        self._received = received
        #: Upstream that did not have the key at the last attempt.
        self.misdirected = ""
        #: Why the last attempt failed, or there is no upstream.
        self.reason = "no-upstream"
        #: Whether the owner has been gone for longer than a move takes.
        self.is_owner_lost = False
        #: Upstreams of the attempts so far, in their order.
        self.tried: list[str] = []

    async def find(self) -> sycamoreloft_direct.UpstreamRecord | None:
        """Finds the upstream for the next attempt.

        Returns:
            Its record, or None if there is none; `reason` then says why.
        """
        now = self._services.loop.time()
        if self._request.key >= 0:
            return await self._find_owner(now)
        record = self._services.book.choose(
            self._request.service,
            now,
            self._request.route.kind is sycamoreloft_direct.RouteKind.UPLOAD,
            self.tried,
        )
        if record is None:
            self.reason = "no-upstream"
        return record

    async def _find_owner(
        self, now: float
    ) -> sycamoreloft_direct.UpstreamRecord | None:
        """Finds the owner of the key, and waits a little if it changes."""
        services, request = self._services, self._request
        until = min(now + OWNER_WAIT_S, self._received.deadline - LEAST_LEFT_S)
        if self.tried and not self.misdirected:
            # The owner is full: what it has may end soon.
            await asyncio.sleep(
                services.generator.uniform(LEAST_SHED_WAIT_S, MOST_SHED_WAIT_S)
            )
            now = services.loop.time()
        while True:
            owner = services.directory.find_owner(
                request.service, request.key, now
            )
            record = services.book.find(owner) if owner is not None else None
            if record is not None and services.book.is_replaced(record, now):
                # Nobody can take the key until its lease has ended.
                self.reason = "owner-replaced"
                return None
            if record is not None and self._may_send(record, now):
                services.directory.note_found(record.entry.run)
                return self._admit(record, now)
            self.reason = "no-owner"
            if owner is not None and owner.id != self.misdirected:
                missing_s = services.directory.note_missing(owner, now)
                self.is_owner_lost = missing_s > OWNER_WAIT_S
            if self.is_owner_lost or now >= until:
                return None
            await services.directory.wait_for_change(
                min(until - now, MISDIRECTED_WAIT_S)
            )
            # The same owner may have the keys by now.
            self.misdirected = ""
            now = services.loop.time()

    def _admit(
        self, record: sycamoreloft_direct.UpstreamRecord, now: float
    ) -> sycamoreloft_direct.UpstreamRecord | None:
        """Returns the owner if the request should be sent there now."""
        book = self._services.book
        if not self.tried and not book.admit(record):
            self.reason = "owner-full"
            return None
        if book.is_avoided(record, now):
            # It is known not to answer; a probe goes through.
            self.reason = "owner-silent"
            if record.in_flight:
                return None
        return record

    def _may_send(
        self, record: sycamoreloft_direct.UpstreamRecord, now: float
    ) -> bool:
        """Tells whether the owner of a key may get the request."""
        if record.entry.id == self.misdirected:
            return False
        return now - record.leaving_since < self._services.leaving_s
