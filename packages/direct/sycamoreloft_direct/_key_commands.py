"""What the key coordinator asks the process to do."""

from collections import abc
import dataclasses
import enum

from sycamoreloft_direct import _key_map, _nodes

#: Seconds for the call of a grant, which an upstream answers at once.
GRANT_CALL_S = 0.6


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
    #: Whether the upstream has accepted a grant with the token before.
    is_renewal: bool = False


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
    #: Fencing token; the upstream refuses grants up to it from then on.
    fence: int
    #: Address, as "ip:port", for a run that discovery may no longer list;
    #: empty for the one that it lists.
    address: str = ""
    #: Whether it is repeated until an owner answers that lost its keys.
    is_revocation: bool = False


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
    #: No answer, or one that says nothing: it may have arrived.
    UNKNOWN = "unknown"
    #: No connection to the upstream was made, so nothing arrived.
    UNREACHED = "unreached"
    #: This host stood still and did not send the grant.
    UNSENT = "unsent"


#: Results of grants that the upstream may hold keys under. Renewals share
#: connections, so that a refusal may be that of another one.
ARRIVED_RESULTS = frozenset(
    {GrantResult.ACCEPTED, GrantResult.FENCED, GrantResult.UNKNOWN}
)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of key leases, in seconds."""

    #: Lease that a grant asks for.
    hold_s: float = 3.0
    #: Time between two renewals.
    renew_s: float = 0.9
    #: Time between two tries at an upstream that does not answer.
    retry_s: float = 0.3
    #: How much longer a lease may last because of the upstream's clock.
    drift: float = 0.02
    #: Added to each wait for a lease to end, for bytes that are on their way
    #: when a call ends.
    margin_s: float = 0.1
    #: Longest time between the decision for an order and its sending; an
    #: order that is older is not sent.
    dispatch_s: float = 0.25
    #: Longest time from the sending of a grant to the end of its call.
    grant_call_s: float = GRANT_CALL_S

    @property
    def grant_travel_s(self) -> float:
        """Longest time from the decision for a grant to its arrival."""
        return self.dispatch_s + self.grant_call_s + self.margin_s

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
