"""Obtains permits and claims from the holders of groups."""

import asyncio
from collections import abc
import dataclasses
import time

from sycamoreloft_router import _holder_calls, _peer_links
import sycamoreloft_wire

#: Time between two reports of the permits in use, in seconds. Three reports
#: fit into the validity of a permit, so that one may be lost.
REPORT_INTERVAL_S = 0.3

#: Delay before a request to a group without a holder is retried, in seconds.
RETRY_DELAY_S = 0.05

#: Timeout of a claim request, retries included, in seconds.
CLAIM_TIMEOUT_S = 1.0

#: Reasons of refusals that end once the group has a holder again.
NO_HOLDER_REASONS = frozenset({"no-holder", "not-holder"})


@dataclasses.dataclass(slots=True)
class _TrackedPermit:
    """State of a permit that was requested or is in use."""

    #: Request as the request path made it, with the identifier of the attempt.
    request: sycamoreloft_wire.PermitRequest
    #: Identifier that the holder knows; each try of the request has its own.
    permit: str
    #: Upstream that the permit names, empty until it is granted.
    upstream: str = ""
    #: Deadline of the request, on this host's monotonic clock.
    deadline: float = 0.0
    #: Duration of the validity that the holder granted, in seconds.
    valid_s: float = 0.0
    #: Time from which the permit is valid for at least `valid_s`, on this
    #: host's monotonic clock. It is the send time of the latest acknowledged
    #: report that names the permit. Before such a report, it is the send time
    #: of the request or of an earlier report of the group, if that is later.
    confirmed_at: float = -1e9
    #: Called once if the upstream is lost; None before it is registered and
    #: after it was called.
    on_lost: abc.Callable[[], None] | None = None


@dataclasses.dataclass(slots=True)
class _GroupPermits:
    """Permits of one group that are requested or in use."""

    #: Permits by the identifier that the request path uses.
    permits: dict[str, _TrackedPermit] = dataclasses.field(default_factory=dict)
    #: When the latest acknowledged report was sent, on this host's monotonic
    #: clock.
    reported_at: float = -1e9


class HolderPermitSource:
    """Obtains permits from group holders and renews them by reports.

    Args:
        host: Name of this host, which reports carry.
        calls: Sends messages to group holders.
    """

    def __init__(self, host: str, calls: _holder_calls.HolderCalls) -> None:
        self._host = host
        self._calls = calls
        self._groups: dict[str, _GroupPermits] = {}

    async def request_permit(
        self, request: sycamoreloft_wire.PermitRequest
    ) -> sycamoreloft_wire.PermitGrant | sycamoreloft_wire.PermitRefusal:
        """Requests a permit; see `_permit_ports.PermitSource`."""
        group = self._groups.setdefault(request.group, _GroupPermits())
        deadline = time.monotonic() + request.remaining_ms / 1000
        tries = 0
        tracked = _TrackedPermit(request, request.permit, deadline=deadline)
        group.permits[request.permit] = tracked
        granted = False
        try:
            while True:
                answer = await self._try_request(request, tracked, deadline)
                if isinstance(answer, sycamoreloft_wire.PermitGrant):
                    granted = True
                    tracked.upstream = answer.upstream
                    return dataclasses.replace(answer, permit=request.permit)
                if (
                    answer.reason not in NO_HOLDER_REASONS
                    or time.monotonic() + RETRY_DELAY_S >= deadline
                ):
                    return dataclasses.replace(answer, permit=request.permit)
                await asyncio.sleep(RETRY_DELAY_S)
                tries += 1
                tracked.permit = f"{request.permit}~{tries}"
        finally:
            if not granted:
                group.permits.pop(request.permit, None)

    async def _try_request(
        self,
        request: sycamoreloft_wire.PermitRequest,
        tracked: _TrackedPermit,
        deadline: float,
    ) -> sycamoreloft_wire.PermitGrant | sycamoreloft_wire.PermitRefusal:
        sent_at = time.monotonic()
        remaining_s = max(deadline - sent_at, 0.0)
        message = dataclasses.replace(
            request, permit=tracked.permit, remaining_ms=int(remaining_s * 1000)
        )
        is_settled = False
        try:
            answer = await self._calls.call(request.group, message, remaining_s)
            is_settled = not (
                isinstance(answer, _peer_links.PeerError) and answer.sent
            )
        finally:
            if not is_settled:
                self._return_unused(request.group, tracked.permit)
        if isinstance(answer, sycamoreloft_wire.PermitRefusal):
            return answer
        if isinstance(answer, sycamoreloft_wire.PermitGrant):
            # The answer may have been delayed in the network or in a paused
            # process. The holder issued the permit after it received the
            # request and the latest report that it acknowledged, so that the
            # validity is counted from the later one of these.
            group = self._groups[request.group]
            valid_from = max(sent_at, group.reported_at)
            remaining_valid_s = (
                valid_from + answer.valid_ms / 1000 - time.monotonic()
            )
            if remaining_valid_s > 0:
                tracked.confirmed_at = valid_from
                tracked.valid_s = answer.valid_ms / 1000
                return dataclasses.replace(
                    answer, valid_ms=int(remaining_valid_s * 1000)
                )
            self._return_unused(request.group, tracked.permit)
        return sycamoreloft_wire.PermitRefusal(tracked.permit, "no-holder", 100)

    def _return_unused(self, group: str, permit: str) -> None:
        """Returns a permit that may have been issued but is not used."""
        self._calls.post(
            group,
            sycamoreloft_wire.PermitReturn(
                group, permit, "did-not-run", 0.0, False, False
            ),
        )

    def watch_permit(
        self, group: str, permit: str, on_lost: abc.Callable[[], None]
    ) -> None:
        """Registers a function to call if the permit's upstream is lost."""
        tracked = self._groups[group].permits.get(permit)
        if tracked is not None:
            tracked.on_lost = on_lost

    def return_permit(self, returned: sycamoreloft_wire.PermitReturn) -> None:
        """Sends a permit back to the group's present holder."""
        group = self._groups.get(returned.group)
        tracked = group.permits.pop(returned.permit, None) if group else None
        if tracked is None:
            return
        self._calls.post(
            returned.group, dataclasses.replace(returned, permit=tracked.permit)
        )

    async def run_reports(self) -> None:
        """Reports the permits in use periodically until it is cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            await asyncio.gather(
                *(
                    self._report(name, group)
                    for name, group in list(self._groups.items())
                    if group.permits
                )
            )

    async def _report(self, name: str, group: _GroupPermits) -> None:
        sent_at = time.monotonic()
        reported = [
            tracked for tracked in group.permits.values() if tracked.upstream
        ]
        report = sycamoreloft_wire.PermitReport(
            name,
            self._host,
            [
                sycamoreloft_wire.PermitInUse(
                    tracked.permit,
                    tracked.upstream,
                    tracked.request.service,
                    tracked.request.partition,
                    tracked.request.fingerprint,
                    max(int((tracked.deadline - sent_at) * 1000), 0),
                    sent_at < tracked.confirmed_at + tracked.valid_s,
                )
                for tracked in reported
            ],
        )
        answer = await self._calls.call(name, report, REPORT_INTERVAL_S)
        if isinstance(
            answer,
            sycamoreloft_wire.Acknowledgement
            | sycamoreloft_wire.PermitReportAnswer,
        ):
            group.reported_at = sent_at
            for tracked in reported:
                tracked.confirmed_at = sent_at
        if isinstance(answer, sycamoreloft_wire.PermitReportAnswer):
            _notify_losses(group, frozenset(answer.lost))

    def count_permits(self) -> int:
        """Returns the number of permits that are requested or in use."""
        return sum(len(group.permits) for group in self._groups.values())


def _notify_losses(group: _GroupPermits, lost: abc.Set[str]) -> None:
    """Calls `on_lost` of the permits whose upstreams are lost, once each."""
    for tracked in list(group.permits.values()):
        if tracked.permit in lost and tracked.on_lost is not None:
            on_lost, tracked.on_lost = tracked.on_lost, None
            on_lost()


class HolderClaimSource:
    """Obtains claims from group holders.

    Args:
        calls: Sends messages to group holders.
    """

    def __init__(self, calls: _holder_calls.HolderCalls) -> None:
        self._calls = calls

    async def request_claim(
        self, request: sycamoreloft_wire.ClaimRequest
    ) -> sycamoreloft_wire.ClaimAnswer:
        """Requests a claim; see `_permit_ports.ClaimSource`."""
        deadline = time.monotonic() + CLAIM_TIMEOUT_S
        while True:
            remaining_s = deadline - time.monotonic()
            answer = await self._calls.call(request.group, request, remaining_s)
            if isinstance(answer, sycamoreloft_wire.ClaimAnswer):
                return answer
            was_not_sent = (
                isinstance(answer, _peer_links.PeerError) and not answer.sent
            )
            if not was_not_sent or time.monotonic() + RETRY_DELAY_S >= deadline:
                return sycamoreloft_wire.ClaimAnswer("unavailable")
            await asyncio.sleep(RETRY_DELAY_S)

    def report_result(
        self, claim_result: sycamoreloft_wire.ClaimResult
    ) -> None:
        """Sends the result of a claimed attempt to its claim holder."""
        self._calls.post(claim_result.group, claim_result)
