"""Asks the holders of groups for permits and claims."""

import asyncio
from collections import abc
import dataclasses
import time

from sycamoreloft_router import _holder_calls, _peer_links
import sycamoreloft_wire

#: Time between two reports of the permits in use, in seconds. Three reports
#: fit in the validity of a permit, so one may be lost.
REPORT_S = 0.3

#: Delay before a group without a holder is asked again, in seconds.
ASK_AGAIN_S = 0.05

#: Time to wait for the answer to a claim, in seconds.
CLAIM_TIMEOUT_S = 1.0

#: Refusals that pass when the group has a holder again.
HOLDER_REASONS = frozenset({"no-holder", "not-holder"})


@dataclasses.dataclass(slots=True)
class _Use:
    """What a host keeps of a permit that it asked for."""

    request: sycamoreloft_wire.PermitRequest
    #: Identifier of the present try; each try has its own.
    permit: str
    upstream: str = ""
    #: Time of the deadline.
    deadline: float = 0.0
    #: Length of the validity, in seconds.
    valid_s: float = 0.0
    #: From when the permit is certainly valid for `valid_s`: the sending of
    #: the latest acknowledged report that names it, or that of its grant.
    confirmed_at: float = -1e9
    on_lost: abc.Callable[[], None] | None = None


@dataclasses.dataclass(slots=True)
class _GroupUse:
    """Permits of one group, by the identifier that the exchange knows."""

    uses: dict[str, _Use] = dataclasses.field(default_factory=dict)
    #: When the latest acknowledged report was sent.
    reported_at: float = -1e9


class HolderPermits:
    """Permit source that finds the holder of each group.

    Args:
        host: Name of this host.
        calls: Calls to holders.
    """

    def __init__(self, host: str, calls: _holder_calls.HolderCalls) -> None:
        self._host = host
        self._calls = calls
        self._groups: dict[str, _GroupUse] = {}

    async def request_permit(
        self, request: sycamoreloft_wire.PermitRequest
    ) -> sycamoreloft_wire.PermitGrant | sycamoreloft_wire.PermitRefusal:
        """Asks the holder of the group; see `_permit_ports.PermitSource`."""
        group = self._groups.setdefault(request.group, _GroupUse())
        deadline = time.monotonic() + request.remaining_ms / 1000
        tries = 0
        use = _Use(request, request.permit, deadline=deadline)
        group.uses[request.permit] = use
        granted = False
        try:
            while True:
                answer = await self._ask_once(request, use, deadline)
                if isinstance(answer, sycamoreloft_wire.PermitGrant):
                    granted = True
                    use.upstream = answer.upstream
                    return dataclasses.replace(answer, permit=request.permit)
                if (
                    answer.reason not in HOLDER_REASONS
                    or time.monotonic() + ASK_AGAIN_S >= deadline
                ):
                    return dataclasses.replace(answer, permit=request.permit)
                await asyncio.sleep(ASK_AGAIN_S)
                tries += 1
                use.permit = f"{request.permit}~{tries}"
        finally:
            if not granted:
                group.uses.pop(request.permit, None)

    async def _ask_once(
        self,
        request: sycamoreloft_wire.PermitRequest,
        use: _Use,
        deadline: float,
    ) -> sycamoreloft_wire.PermitGrant | sycamoreloft_wire.PermitRefusal:
        asked_at = time.monotonic()
        left = max(deadline - asked_at, 0.0)
        message = dataclasses.replace(
            request, permit=use.permit, remaining_ms=int(left * 1000)
        )
        settled = False
        try:
            answer = await self._calls.call(request.group, message, left)
            settled = not (
                isinstance(answer, _peer_links.PeerError) and answer.sent
            )
        finally:
            if not settled:
                self._give_back(request.group, use.permit)
        if isinstance(answer, sycamoreloft_wire.PermitRefusal):
            return answer
        if isinstance(answer, sycamoreloft_wire.PermitGrant):
            # A grant may have waited in the network or in a paused process.
            # The holder issued it after it got the latest report that it
            # acknowledged, so the validity is counted from there.
            group = self._groups[request.group]
            valid_from = max(asked_at, group.reported_at)
            left_s = valid_from + answer.valid_ms / 1000 - time.monotonic()
            if left_s > 0:
                use.confirmed_at = valid_from
                use.valid_s = answer.valid_ms / 1000
                return dataclasses.replace(answer, valid_ms=int(left_s * 1000))
            self._give_back(request.group, use.permit)
        return sycamoreloft_wire.PermitRefusal(use.permit, "no-holder", 100)

    def _give_back(self, group: str, permit: str) -> None:
        """Returns a permit that may have been issued but was not used."""
        self._calls.post(
            group,
            sycamoreloft_wire.PermitReturn(
                group, permit, "did-not-run", 0.0, False, False
            ),
        )

    def watch_permit(
        self, group: str, permit: str, on_lost: abc.Callable[[], None]
    ) -> None:
        """Calls a function if the holder says that the upstream is lost."""
        use = self._groups[group].uses.get(permit)
        if use is not None:
            use.on_lost = on_lost

    def return_permit(self, returned: sycamoreloft_wire.PermitReturn) -> None:
        """Returns a permit to the group's present holder."""
        group = self._groups.get(returned.group)
        use = group.uses.pop(returned.permit, None) if group else None
        if use is None:
            return
        self._calls.post(
            returned.group, dataclasses.replace(returned, permit=use.permit)
        )

    async def run_reports(self) -> None:
        """Reports the permits in use until it is cancelled."""
        while True:
            await asyncio.sleep(REPORT_S)
            await asyncio.gather(
                *(
                    self._report(name, group)
                    for name, group in list(self._groups.items())
                    if group.uses
                )
            )

    async def _report(self, name: str, group: _GroupUse) -> None:
        sent_at = time.monotonic()
        reported = [use for use in group.uses.values() if use.upstream]
        report = sycamoreloft_wire.PermitReport(
            name,
            self._host,
            [
                sycamoreloft_wire.PermitInUse(
                    use.permit,
                    use.upstream,
                    use.request.service,
                    use.request.partition,
                    use.request.fingerprint,
                    max(int((use.deadline - sent_at) * 1000), 0),
                    sent_at < use.confirmed_at + use.valid_s,
                )
                for use in reported
            ],
        )
        answer = await self._calls.call(name, report, REPORT_S)
        if isinstance(
            answer,
            sycamoreloft_wire.Acknowledgement
            | sycamoreloft_wire.PermitReportAnswer,
        ):
            group.reported_at = sent_at
            for use in reported:
                use.confirmed_at = sent_at
        if isinstance(answer, sycamoreloft_wire.PermitReportAnswer):
            _tell_losses(group, frozenset(answer.lost))

    def count_uses(self) -> int:
        """Returns the number of permits asked for or in use."""
        return sum(len(group.uses) for group in self._groups.values())


def _tell_losses(group: _GroupUse, lost: abc.Set[str]) -> None:
    """Tells each request once that the upstream of its permit is lost."""
    for use in list(group.uses.values()):
        if use.permit in lost and use.on_lost is not None:
            on_lost, use.on_lost = use.on_lost, None
            on_lost()


class HolderClaims:
    """Claim source that finds the holder of each group."""

    def __init__(self, calls: _holder_calls.HolderCalls) -> None:
        self._calls = calls

    async def request_claim(
        self, request: sycamoreloft_wire.ClaimRequest
    ) -> sycamoreloft_wire.ClaimAnswer:
        """Asks the claim holder; see `_permit_ports.ClaimSource`."""
        deadline = time.monotonic() + CLAIM_TIMEOUT_S
        while True:
            left = deadline - time.monotonic()
            answer = await self._calls.call(request.group, request, left)
            if isinstance(answer, sycamoreloft_wire.ClaimAnswer):
                return answer
            unsent = (
                isinstance(answer, _peer_links.PeerError) and not answer.sent
            )
            if not unsent or time.monotonic() + ASK_AGAIN_S >= deadline:
                return sycamoreloft_wire.ClaimAnswer("unavailable")
            await asyncio.sleep(ASK_AGAIN_S)

    def report_result(
        self, claim_result: sycamoreloft_wire.ClaimResult
    ) -> None:
        """Reports what became of a claimed attempt."""
        self._calls.post(claim_result.group, claim_result)
