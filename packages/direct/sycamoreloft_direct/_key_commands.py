"""What the key coordinator asks the process to do."""

from collections import abc
import dataclasses
import enum

from sycamoreloft_direct import _key_map, _nodes


@dataclasses.dataclass(frozen=True, slots=True)
class SendGrant:
    """Grant a range of keys to an upstream, or renew the grant."""

    #: Identifies the order when its result is reported.
    order: int
    #: Run of the upstream that the order is meant for.
    run: _nodes.UpstreamRun
    #: Name of the service, for logs.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Fencing token.
    fence: int
    #: Duration of the lease, in seconds from the arrival of the order.
    hold_s: float
    #: State handed over by the last owner; empty for none.
    handover: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendRelease:
    """Take a range of keys back from an upstream."""

    #: Identifies the order when its result is reported.
    order: int
    #: Run of the upstream that the order is meant for.
    run: _nodes.UpstreamRun
    #: Name of the service, for logs.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Fencing token under which the upstream holds the keys.
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteMap:
    """Record the ownership in the store, if it is still this host's."""

    #: The map to write.
    key_map: _key_map.KeyMap


Command = SendGrant | SendRelease | WriteMap


class GrantResult(enum.Enum):
    """How a grant ended."""

    #: The upstream took the keys.
    ACCEPTED = "accepted"
    #: The upstream has seen a higher fencing token.
    FENCED = "fenced"
    #: No answer, or one that says nothing: it may take effect later.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class HoldTimes:
    """Durations of key leases, in seconds."""

    #: Lease that a grant asks for.
    hold_s: float = 3.0
    #: Time between two renewals.
    renew_s: float = 0.9
    #: Time between two tries at an upstream that does not answer.
    retry_s: float = 0.3
    #: How much longer a lease may last because of the upstream's clock.
    drift: float = 0.02
    #: Added to each wait for a lease to end, for the travel of an order.
    margin_s: float = 0.1
    #: Time for which a coordinator that lost contact with the store goes on
    #: renewing what the map records. A successor waits it out before it takes
    #: keys from an upstream that it cannot reach.
    blind_s: float = 12.0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLoad:
    """Work on keys of one service, as one host saw it."""

    #: Name of the service.
    service: str
    #: Seconds of work per key.
    work_s: abc.Mapping[int, float]
