"""The record in the store that says which host is the coordinator."""

import dataclasses
import math
import time
import typing

import msgpack

import sycamoreloft_direct

#: Key of the record that holds the coordinator lease.
LEASE_KEY = "coordinator"

#: Key of the record that holds the map of keys.
MAP_KEY = "key-map"

#: Duration of the coordinator's lease, in seconds of the store's clock.
LEASE_S = 1.6

#: Seconds between two renewals of the lease.
RENEW_INTERVAL_S = 0.5

#: Seconds before the end of the lease at which the coordinator stops changing
#: owners of keys. It gives orders that were decided earlier the time to be sent
#: before the lease ends.
SAFETY_MARGIN_S = 0.2

_MAXIMUM_PORT = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The lease of a coordinator."""

    #: Name of the host.
    host: str
    #: Address of the host for datagrams, as "ip:port".
    peer_address: str
    #: Epoch of the coordinator; grows with each change of the coordinator.
    epoch: int
    #: End of the lease on the store's clock, in seconds.
    expires_at: float
    #: Time on the store's clock, in seconds, until which earlier coordinators
    #: that are cut off from the store may still renew key leases.
    earlier_until: float = 0.0
    #: Whether the coordinator resigned before the end of the lease; it sends no
    #: more orders.
    is_resigned: bool = False
    #: Whether the coordinator has not yet found out if its map of keys names
    #: the latest owners, after a restore of the store.
    is_map_uncertain: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReference:
    """Relates the store's clock to the boot clock of this host."""

    #: Time on the boot clock, in seconds, when a call to the store was sent.
    sent_at: float
    #: Time on the store's clock, in seconds, in the answer to that call.
    clock_s: float

    def estimate(self, now: float) -> float:
        """Returns an upper bound of the current time on the store's clock.

        The store read its clock after the call was sent, so the time that the
        answer contains belongs to a moment after `sent_at`.

        Args:
            now: Time on the boot clock, in seconds.
        """
        return self.clock_s + (now - self.sent_at)


def encode_lease(lease: Lease) -> bytes:
    """Encodes a lease for the store."""
    fields = dataclasses.astuple(lease)
    if not lease.is_map_uncertain:
        # Earlier releases read leases of six fields only.
        fields = fields[:-1]
    return bytes(msgpack.packb(fields))


def decode_lease(data: bytes) -> Lease:
    """Decodes a lease.

    Raises:
        ValueError: The bytes are not an encoded lease.
    """
    try:
        (
            host,
            peer_address,
            epoch,
            expires_at,
            earlier_until,
            is_resigned,
            *optional,
        ) = msgpack.unpackb(data)
        (is_map_uncertain,) = optional or (False,)
        flags = (is_resigned, is_map_uncertain)
        if not isinstance(host, str) or not all(
            isinstance(flag, bool) for flag in flags
        ):
            raise ValueError("a field has the wrong type")
        return Lease(
            host,
            _check_address(peer_address),
            sycamoreloft_direct.check_integer(
                epoch, sycamoreloft_direct.MAXIMUM_EPOCH_OR_REVISION
            ),
            _check_time(expires_at),
            _check_time(earlier_until),
            *flags,
        )
    except (
        msgpack.UnpackException,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise ValueError(f"not an encoded lease: {error}") from error


def _check_address(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise ValueError("the address is not a string")
    ip, _, port = value.rpartition(":")
    if not ip or not 0 < int(port) <= _MAXIMUM_PORT:
        raise ValueError(f"{value!r:.40} is not an address")
    return value


def _check_time(value: typing.Any) -> float:
    """Checks a time on the store's clock.

    A time that is not a number would count as past in every comparison.
    """
    if not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{value!r:.40} is not a time")
    return float(value)


def read_boot_clock() -> float:
    """Returns the time since the boot of the host, in seconds.

    Unlike the monotonic clock, it includes the time for which the host was
    suspended: leases expire during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
