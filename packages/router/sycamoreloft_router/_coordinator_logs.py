"""Log lines about changes of the coordinator."""

from collections import abc
import logging
import math

import sycamoreloft_direct
from sycamoreloft_router import _coordinator_election, _datagrams, _logs

# The logger keeps the module's former name: readers of logs filter by it.
_LOGGER = logging.getLogger("sycamoreloft_router._duty_logs")

#: Maximum number of upstreams that a line lists.
MAXIMUM_LISTED = 20


def log_tenure_start(
    elected: _coordinator_election.Elected, own_address: str
) -> None:
    """Logs that this host became the coordinator.

    Args:
        elected: The records before and after the election.
        own_address: Address of this host for datagrams.
    """
    acquired, before = elected.acquired, elected.before
    # Times are on the store's clock, so that lines of several hosts can be
    # compared.
    clock_s = acquired.reference.clock_s
    _logs.log_event(
        _LOGGER,
        logging.INFO,
        "coordinator-began",
        epoch=acquired.lease.epoch,
        era=acquired.era,
        before=before.host if before else "",
        before_epoch=before.epoch if before else 0,
        before_resigned=before.is_resigned if before else False,
        before_own_address=before is not None
        and before.peer_address == own_address,
        before_expires_at=round(before.expires_at, 3) if before else None,
        before_earlier_until=round(before.earlier_until, 3) if before else None,
        store_clock_s=round(clock_s, 3),
        earlier_until=round(acquired.lease.earlier_until, 3),
        earlier_s=round(max(0.0, acquired.lease.earlier_until - clock_s), 3),
        ranges=sum(
            len(keys.ranges) for keys in acquired.key_map.services.values()
        ),
    )
    if acquired.trust is not sycamoreloft_direct.MapTrust.RECORDED:
        log_outdated_map(elected)


def log_outdated_map(elected: _coordinator_election.Elected) -> None:
    """Logs that the recorded map may be older than what was granted.

    Args:
        elected: The records before and after the election.
    """
    judged, stored = elected.judged, elected.stored
    is_vouched = judged.trust is sycamoreloft_direct.MapTrust.VOUCHED
    heard_by = "own-tenure" if judged.heard.is_own else "heartbeats"
    _logs.log_event(
        _LOGGER,
        logging.WARNING,
        "key-map-outdated",
        epoch=elected.acquired.lease.epoch,
        era=stored.era,
        trust=judged.trust.value,
        recorded=stored.key_map.version,
        used=judged.key_map.version,
        vouched_by=heard_by if is_vouched else "",
        heard_ago_s=round(judged.heard.age_s, 3)
        if math.isfinite(judged.heard.age_s)
        else None,
        found_ago_s=round(elected.found_ago_s, 3),
    )


def log_checked_map(
    epoch: int,
    trust: sycamoreloft_direct.MapTrust,
    waited_s: float,
    unanswered: abc.Sequence[sycamoreloft_direct.UpstreamRun],
) -> None:
    """Logs that a coordinator begins to grant the keys of an outdated map.

    Args:
        epoch: Epoch of the coordinator.
        trust: How sure it was that the map is the latest.
        waited_s: Seconds for which it withheld the keys.
        unanswered: Upstreams that did not release foreign keys.
    """
    _logs.log_event(
        _LOGGER,
        logging.WARNING,
        "key-map-checked",
        epoch=epoch,
        trust=trust.value,
        waited_s=round(waited_s, 3),
        unanswered=[run.id for run in unanswered[:MAXIMUM_LISTED]],
        unanswered_left_out=max(0, len(unanswered) - MAXIMUM_LISTED),
    )


def log_followed(
    sender: _datagrams.Address,
    epoch: int,
    sender_before: _datagrams.Address | None,
    epoch_before: int,
    heard_ago_s: float | None,
) -> None:
    """Logs that heartbeats come from another coordinator or epoch.

    Args:
        sender: Address of the coordinator.
        epoch: Epoch of the coordinator.
        sender_before: Address of the previous sender; None for the first one.
        epoch_before: Epoch of the previous heartbeat; 0 for the first one.
        heard_ago_s: Seconds since the previous heartbeat; None without one.
    """
    _logs.log_event(
        _LOGGER,
        logging.INFO,
        "epoch-followed",
        epoch=epoch,
        peer=sender[0],
        epoch_before=epoch_before,
        peer_before=sender_before[0] if sender_before else "",
        heard_ago_s=None if heard_ago_s is None else round(heard_ago_s, 3),
    )


def log_unconfirmed_epoch(heard: int, recorded: int) -> None:
    """Logs that heartbeats carry a newer epoch than the store.

    Args:
        heard: Epoch of the heartbeats.
        recorded: Epoch in the store.
    """
    _logs.log_event(
        _LOGGER,
        logging.WARNING,
        "epoch-unconfirmed",
        heard=heard,
        recorded=recorded,
    )


def log_ignored_changes(sender: _datagrams.Address, error: ValueError) -> None:
    """Logs that changes or a part of the map of keys were rejected."""
    _logs.log_event(
        _LOGGER,
        logging.WARNING,
        "key-changes-ignored",
        peer=sender[0],
        error=str(error),
    )
