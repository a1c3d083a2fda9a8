"""Log lines about orders to upstreams and changes of owner.

If keys ever have two owners, these lines show how it came about;
docs/OPERATIONS.md explains how to read them. Accepted renewals are logged by
round (`_renewal_rounds`).
"""

from collections import abc
import dataclasses
import logging
import typing

import sycamoreloft_direct
from sycamoreloft_router import _direct_ports, _logs

_LOGGER = logging.getLogger(__name__)

#: Maximum number of grants that the line of one change of owner describes.
MAXIMUM_LOGGED_CLAIMS = 4

_CAUSE = sycamoreloft_direct.ChangeCause

#: Levels and events of changes of owner that were not caused by a loss.
_EXPECTED_CHANGE_EVENTS = {
    _CAUSE.RELEASED: (logging.INFO, "keys-moved"),
    _CAUSE.UNOWNED: (logging.INFO, "owner-changed"),
}

_Order = sycamoreloft_direct.SendGrant | sycamoreloft_direct.SendRelease


@dataclasses.dataclass(frozen=True, slots=True)
class OrderCall:
    """The call of an order; times are on the boot clock, in seconds."""

    #: Epoch of the coordinator that sent the order.
    epoch: int
    #: Address that the order was sent to; empty if the upstream is unknown.
    address: str
    #: When the coordinator decided on the order.
    decided_at: float
    #: When the order was passed to the HTTP client.
    sent_at: float
    #: When the call ended.
    ended_at: float
    #: Details of the call that the HTTP client recorded.
    trace: _direct_ports.OrderTrace
    #: Age of the last call that the store answered, in seconds.
    store_age_s: float
    #: Whether the coordinator's tenure was over when the call ended.
    is_tenure_over: bool


def log_grant(
    grant: sycamoreloft_direct.SendGrant,
    result: sycamoreloft_direct.GrantResult,
    call: OrderCall,
) -> None:
    """Logs the result of a grant."""
    level, event = logging.WARNING, "grant-failed"
    if result is sycamoreloft_direct.GrantResult.ACCEPTED:
        level, event = logging.INFO, "grant-accepted"
    _log_order(level, event, grant, result.value, grant.hold_s, call)


def log_release(
    release: sycamoreloft_direct.SendRelease,
    is_answered: bool,
    call: OrderCall,
) -> None:
    """Logs the result of a release.

    Revocations have events of their own, because they are retried many times
    during a network partition.
    """
    name = "revocation" if release.is_revocation else "release"
    level, event, result = logging.WARNING, f"{name}-failed", "no answer"
    if is_answered:
        level, event, result = logging.INFO, f"{name}-answered", "released"
    _log_order(level, event, release, result, 0.0, call)


def log_owner_change(
    change: sycamoreloft_direct.OwnerChange,
    list_claims: abc.Callable[
        [sycamoreloft_direct.OwnerChange],
        abc.Sequence[sycamoreloft_direct.LeaseClaim],
    ],
    epoch: int,
    now: float,
) -> None:
    """Logs that keys get another owner, and why they were free.

    Planned moves have an event of their own, so that they do not use up the
    rate limit of the lines about other changes.

    Args:
        change: The change.
        list_claims: Lists the grants under which other upstreams may hold the
            keys. Called only if the line is written.
        epoch: Epoch of the coordinator.
        now: Time of the decision on the boot clock, in seconds.
    """
    level, event = _EXPECTED_CHANGE_EVENTS.get(
        change.cause, (logging.WARNING, "owner-changed")
    )
    _logs.log_event_lazily(
        _LOGGER,
        level,
        event,
        lambda: _build_change_fields(change, list_claims(change), epoch, now),
    )


def _log_order(
    level: int,
    event: str,
    order: _Order,
    result: str,
    hold_s: float,
    call: OrderCall,
) -> None:
    _logs.log_event(
        _LOGGER,
        level,
        event,
        order=order.order,
        epoch=call.epoch,
        upstream=order.run.id,
        started_ms=order.run.started_ms,
        address=call.address,
        service=order.service,
        first=order.first,
        last=order.last,
        fence=order.fence,
        hold_s=round(hold_s, 3),
        wait_s=round(call.sent_at - call.decided_at, 4),
        call_s=round(call.ended_at - call.sent_at, 4),
        connection=call.trace.connection,
        result=result,
        status=call.trace.status,
        error=call.trace.error,
        store_age_s=round(call.store_age_s, 3),
        tenure_over=call.is_tenure_over,
    )


def _build_change_fields(
    change: sycamoreloft_direct.OwnerChange,
    claims: abc.Sequence[sycamoreloft_direct.LeaseClaim],
    epoch: int,
    now: float,
) -> dict[str, typing.Any]:
    old = change.old
    lease_end = change.lease_end
    return {
        "epoch": epoch,
        "service": change.service,
        "first": change.first,
        "last": change.last,
        "old_upstream": old.id if old is not None else "",
        "old_started_ms": old.started_ms if old is not None else 0,
        "old_fence": change.old_fence,
        "upstream": change.new.id,
        "started_ms": change.new.started_ms,
        "fence": change.new_fence,
        "cause": change.cause.value,
        "refused_fence": change.refused_fence,
        "lease_over_s": round(now - lease_end, 3) if lease_end else None,
        "claims": [
            _build_claim_fields(claim, now)
            for claim in claims[:MAXIMUM_LOGGED_CLAIMS]
        ],
        "claims_left_out": max(0, len(claims) - MAXIMUM_LOGGED_CLAIMS),
    }


def _build_claim_fields(
    claim: sycamoreloft_direct.LeaseClaim, now: float
) -> dict[str, typing.Any]:
    closed_at, end = claim.closed_at, claim.end
    return {
        "first": claim.first,
        "last": claim.last,
        "fence": claim.fence,
        "upstream": claim.run.id,
        "started_ms": claim.run.started_ms,
        "assumed": claim.is_assumed,
        "closed_ago_s": None
        if closed_at is None
        else round(now - closed_at, 3),
        "over_s": None if closed_at is None else round(now - end, 3),
        "state": claim.state.value,
    }
