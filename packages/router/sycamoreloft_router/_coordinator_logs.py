"""Log lines about who is the coordinator."""

import logging

from sycamoreloft_router import _coordinator_election, _datagrams, _logs

_LOGGER = logging.getLogger(__name__)


class FollowedCoordinator:
    """Logs when the heartbeats come from another coordinator than before."""

    def __init__(self) -> None:
        self._epoch = 0
        self._sender: _datagrams.Address | None = None
        self._heard_at: float | None = None

    def note(self, epoch: int, sender: _datagrams.Address, now: float) -> None:
        """Takes a heartbeat that this host follows.

        Args:
            epoch: Epoch of the coordinator.
            sender: Its address.
            now: Time on the boot clock, in seconds.
        """
        if epoch != self._epoch or sender != self._sender:
            heard_at = self._heard_at
            _logs.log_event(
                _LOGGER,
                logging.INFO,
                "epoch-followed",
                epoch=epoch,
                peer=sender[0],
                epoch_before=self._epoch,
                peer_before=self._sender[0] if self._sender else "",
                heard_ago_s=None
                if heard_at is None
                else round(now - heard_at, 3),
            )
        self._epoch, self._sender, self._heard_at = epoch, sender, now


def log_beginning(won: _coordinator_election.Won, own_address: str) -> None:
    """Logs that this host is the coordinator.

    Args:
        won: The records before and after.
        own_address: Address of this host for datagrams.
    """
    taken, before = won.taken, won.before
    # Times of the store's clock, so that lines of several hosts compare.
    clock_s = taken.reference.clock_s
    _logs.log_event(
        _LOGGER,
        logging.INFO,
        "coordinator-began",
        epoch=taken.lease.epoch,
        before=before.host if before else "",
        before_epoch=before.epoch if before else 0,
        before_resigned=before.is_resigned if before else False,
        before_own_address=before is not None
        and before.peer_address == own_address,
        before_expires_at=round(before.expires_at, 3) if before else None,
        before_earlier_until=round(before.earlier_until, 3) if before else None,
        store_clock_s=round(clock_s, 3),
        earlier_until=round(taken.lease.earlier_until, 3),
        earlier_s=round(max(0.0, taken.lease.earlier_until - clock_s), 3),
        ranges=sum(
            len(keys.ranges) for keys in taken.key_map.services.values()
        ),
    )


def log_unconfirmed(heard: int, recorded: int) -> None:
    """Logs that the store does not know the coordinator that was heard.

    Args:
        heard: Epoch of its heartbeats.
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
    """Logs that changes or a part of the map of keys cannot be used."""
    _logs.log_event(
        _LOGGER,
        logging.WARNING,
        "key-changes-ignored",
        peer=sender[0],
        error=str(error),
    )
