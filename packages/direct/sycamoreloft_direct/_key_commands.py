"""Commands that the key coordinator returns, and parameters of leases.

An order is a grant or a release that is sent to an upstream.
"""

from collections import abc
import dataclasses
import enum

from sycamoreloft_direct import _key_map, _model

#: Timeout of the call that sends a grant, in seconds. Upstreams answer grants
#: immediately.
GRANT_CALL_S = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class SendGrant:
    """Grants a range of keys to an upstream, or renews its lease.

    No two grants of a key have the same token: the upstream may have restarted
    with the same identifier, and a new run must get the keys with a higher
    token than the previous run.
    """

    #: Number by which the result is reported to the coordinator.
    order: int
    #: Run of the upstream to send the order to.
    run: _model.UpstreamRun
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
    #: State that the previous owner returned with its release; empty for none.
    handover: str
    #: Whether the upstream has accepted an earlier grant of these keys by this
    #: coordinator, and has answered each order since. The answer to a renewal
    #: proves nothing about other orders. A renewal also has a new token, which
    #: it shares with renewals of other keys.
    is_renewal: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SendRelease:
    """Makes an upstream release a range of keys."""

    #: Number by which the result is reported to the coordinator.
    order: int
    #: Run of the upstream to send the order to.
    run: _model.UpstreamRun
    #: Name of the service, for logs.
    service: str
    #: First key.
    first: int
    #: Last key, inclusive.
    last: int
    #: Fencing token. From then on, the upstream refuses grants with this or a
    #: lower token.
    fence: int
    #: Address as "ip:port", for a run that service discovery may no longer
    #: list; empty to use the listed address.
    address: str = ""
    #: Whether the release goes to an owner that lost its keys without
    #: answering. Such a release is repeated until the owner answers.
    is_revocation: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WriteMap:
    """Writes the map to the store if this host is still the coordinator."""

    key_map: _key_map.KeyMap


Command = SendGrant | SendRelease | WriteMap


class GrantResult(enum.Enum):
    """Result of sending a grant."""

    #: The upstream accepted the keys.
    ACCEPTED = "accepted"
    #: The upstream has seen a higher fencing token.
    FENCED = "fenced"
    #: There was no answer, or none that shows whether the upstream accepted.
    #: The grant may have arrived.
    UNKNOWN = "unknown"
    #: There was no answer on a new connection. A full upstream may leave the
    #: grant unread until it has a free slot, and a network partition may keep
    #: it from noticing that the call has ended.
    UNREAD = "unread"
    #: No connection to the upstream was made, so nothing arrived.
    UNREACHED = "unreached"
    #: This host was paused for so long that it did not send the grant.
    UNSENT = "unsent"


#: Results after which the upstream may hold the granted keys. A refusal is
#: among them: renewals share connections, so it may answer another renewal.
POSSIBLY_DELIVERED_RESULTS = frozenset(
    {
        GrantResult.ACCEPTED,
        GrantResult.FENCED,
        GrantResult.UNKNOWN,
        GrantResult.UNREAD,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of key leases, in seconds."""

    #: Duration of the lease that a grant requests.
    hold_s: float = 3.0
    #: Time between two renewals.
    renew_s: float = 0.9
    #: Time between two attempts at an upstream that does not answer.
    retry_s: float = 0.3
    #: Maximum drift of an upstream's clock, as a share. A lease may last
    #: longer by this share.
    drift: float = 0.02
    #: Added to each wait for the end of a lease, for bytes that are still in
    #: transit when a call ends.
    margin_s: float = 0.1
    #: Maximum time from the decision to send an order until it is sent. An
    #: older order is not sent.
    dispatch_s: float = 0.25
    #: Maximum time from the sending of a grant to the end of its call.
    grant_call_s: float = GRANT_CALL_S
    #: Maximum time from the end of a call until the upstream takes a grant
    #: that waited on a new connection for a free slot.
    slot_wait_s: float = 1.5
    #: Time for which a coordinator that lost contact with the store keeps
    #: renewing the recorded owners. A successor waits that long before it
    #: reassigns keys of an upstream that it cannot reach.
    blind_s: float = 12.0

    @property
    def grant_arrival_s(self) -> float:
        """Maximum time from the decision to send a grant to its arrival."""
        return self.dispatch_s + self.grant_call_s + self.margin_s

    @property
    def grant_travel_s(self) -> float:
        """Maximum time from the decision to send a grant until it is taken."""
        return self.grant_arrival_s + self.slot_wait_s


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLoad:
    """Work on the keys of one service that one host observed."""

    #: Name of the service.
    service: str
    #: Time that upstreams spent on requests, in seconds by key.
    work_s: abc.Mapping[int, float]
    #: Mean time of one of these requests, in seconds; 0 if it is unknown.
    request_s: float = 0.0
