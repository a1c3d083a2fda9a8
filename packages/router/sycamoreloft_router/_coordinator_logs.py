"""Log lines about changes of the coordinator."""

import logging

from sycamoreloft_router import _coordinator_election, _datagrams, _logs

# The logger keeps the module's former name: readers of logs filter by it.
_LOGGER = logging.getLogger("sycamoreloft_router._duty_logs")


class FollowedCoordinator:
    """Logs when this host starts to follow another coordinator."""

    def __init__(self) -> None:
        self._epoch = 0
        self._sender: _datagrams.Address | None = None
        self._heartbeat_at: float | None = None

    def observe_heartbeat(
        self, epoch: int, sender: _datagrams.Address, now: float
    ) -> None:
        """Records a heartbeat, and logs it if its sender or epoch is new.

        Args:
            epoch: Epoch of the coordinator.
            sender: Address of the coordinator.
            now: Time on the boot clock, in seconds.
        """
        if epoch != self._epoch or sender != self._sender:
            heartbeat_at = self._heartbeat_at
            _logs.log_event(
                _LOGGER,
                logging.INFO,
                "epoch-followed",
                epoch=epoch,
                peer=sender[0],
                epoch_before=self._epoch,
                peer_before=self._sender[0] if self._sender else "",
                heard_ago_s=None
                if heartbeat_at is None
                else round(now - heartbeat_at, 3),
            )
        self._epoch, self._sender, self._heartbeat_at = epoch, sender, now


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
