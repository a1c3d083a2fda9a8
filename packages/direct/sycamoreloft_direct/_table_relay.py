"""When a host has to follow the table of upstreams at the store itself."""

import dataclasses
import enum
import math

from sycamoreloft_direct import _departures, _table_log

#: Seconds without a heartbeat after which a host follows the store itself. An
#: upstream's shutdown must be known within 1.2 s: its drain time of 2 s less
#: the 0.8 s in which leaving owners are still used.
SILENT_AFTER_S = 0.9

#: Seconds after a heartbeat that names a newer version of the table within
#: which the changes must arrive.
LAG_TIMEOUT_S = 0.5

#: Seconds without an answer of the store to the coordinator after which hosts
#: follow the store themselves.
MAXIMUM_STORE_AGE_S = 1.0

#: Seconds between two requests to the coordinator.
REQUEST_INTERVAL_S = 2.0

#: Seconds after a request for which the offer that answers it is valid: two
#: further requests or offers may be lost.
OFFER_VALIDITY_S = 7.0

#: Seconds within which a request must be answered. Later answers show that
#: datagrams are delayed, and heartbeats may be as well.
MAXIMUM_ROUND_TRIP_S = 0.5

#: Consecutive unanswered requests after which the interval doubles with each.
#: Coordinators of earlier releases do not know requests, and log them.
PATIENT_REQUESTS = 3

#: Upper bound of the interval, in seconds.
MAXIMUM_REQUEST_INTERVAL_S = 16.0

Address = tuple[str, int]


class FollowCause(enum.Enum):
    """Why a host follows the table at the store itself."""

    #: It has not read the table yet.
    UNREAD = "unread"
    #: It is the coordinator.
    COORDINATOR = "coordinator"
    #: There are too few hosts.
    FEW_HOSTS = "few-hosts"
    #: It hears no coordinator.
    SILENT = "silent"
    #: The coordinator has not offered to pass changes on, or does so late.
    NO_OFFER = "no-offer"
    #: It is a witness.
    WITNESS = "witness"
    #: The store does not answer the coordinator.
    STORE = "store"
    #: The coordinator has read the table in another era.
    ERA = "era"
    #: The coordinator does not know all changes since the copy of this host.
    GAP = "gap"
    #: Changes that the coordinator knows have not arrived.
    LATE = "late"


#: Causes that many hosts have at once, so that they spread their calls.
COMMON_CAUSES = frozenset(
    {
        FollowCause.SILENT,
        FollowCause.NO_OFFER,
        FollowCause.STORE,
        FollowCause.ERA,
        FollowCause.GAP,
        FollowCause.FEW_HOSTS,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorState:
    """What a heartbeat says of the coordinator."""

    #: Address of the coordinator, and its epoch.
    address: Address
    epoch: int
    #: Number of hosts that it knows, including itself.
    hosts: int
    #: Seconds since the store last answered it.
    store_age_s: float
    #: Version of the newest change of the table that it knows.
    version: _departures.TableVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Offer of the coordinator to pass changes of the table on to a host."""

    #: Epoch of the coordinator.
    epoch: int
    #: Number of the host's request that this answers.
    number: int
    #: Whether the host is a witness, which follows the store itself.
    is_witness: bool
    #: Era and version after which the coordinator knows all changes.
    base: _departures.TableVersion
    #: Version of the newest change that it knows, or `base` if that is newer.
    head: int
    #: Version up to which it knows that there are no further changes.
    version: int


class TableRelay:
    """Decides whether a host is passed the changes of the table.

    All times are on a clock that also runs while the host is suspended, in
    seconds.

    Args:
        minimum_hosts: Number of hosts from which on changes are passed on.
        first_number: Number of the first request. It differs between processes
            at one address, so that they do not take each other's offers.
    """

    def __init__(self, minimum_hosts: int, first_number: int = 0) -> None:
        self._minimum_hosts = minimum_hosts
        self._state: CoordinatorState | None = None
        self._heard_at = -math.inf
        self._number = first_number
        self._requested_at = -math.inf
        self._next_request_at = -math.inf
        self._unanswered = 0
        self._offer: Offer | None = None
        self._offered_until = -math.inf
        #: Oldest version that a heartbeat named and this host lacks, and when
        #: it was named.
        self._lacking: tuple[_departures.TableVersion, float] | None = None
        self._active_at = -math.inf

    @property
    def offer(self) -> Offer | None:
        """The last offer of the coordinator that this host hears."""
        return self._offer

    @property
    def coordinator(self) -> Address | None:
        """Address of the coordinator that sent the last heartbeat."""
        return self._state.address if self._state is not None else None

    def observe_heartbeat(
        self,
        state: CoordinatorState,
        own: _departures.TableVersion,
        now: float,
    ) -> None:
        """Handles a heartbeat.

        Args:
            state: What the heartbeat says.
            own: Version up to which this host knows all changes.
            now: Time, in seconds.
        """
        self._observe_activity(now)
        known = self._state
        if known is None or (known.address, known.epoch) != (
            state.address,
            state.epoch,
        ):
            self._withdraw_offer()
            self._offer = None
            self._lacking = None
            self._unanswered = 0
        if self._is_silent(now):
            # Heartbeats that a link held up arrive together, and seem new. A
            # request that is answered shows that they are over.
            self._withdraw_offer()
        self._state, self._heard_at = state, now
        self._update_lacking(own)
        if self._lacking is None and own < state.version:
            self._lacking = state.version, now

    def observe_leave(self) -> None:
        """Handles the last heartbeat of a coordinator that resigned."""
        self._heard_at = -math.inf

    def take_request(self, coordinator: Address, now: float) -> int | None:
        """Returns the number of a request that is due, or None.

        Args:
            coordinator: Address that the request would be sent to.
            now: Time, in seconds.
        """
        self._observe_activity(now)
        state = self._state
        if (
            state is None
            or state.address != coordinator
            or state.hosts < self._minimum_hosts
            or self._is_silent(now)
            or now < self._next_request_at
        ):
            return None
        doublings = max(0, self._unanswered - PATIENT_REQUESTS + 1)
        interval_s = REQUEST_INTERVAL_S * 2 ** min(doublings, 10)
        self._next_request_at = now + min(
            interval_s, MAXIMUM_REQUEST_INTERVAL_S
        )
        self._unanswered += 1
        self._number += 1
        self._requested_at = now
        return self._number

    def observe_offer(self, sender: Address, offer: Offer, now: float) -> bool:
        """Handles an offer.

        Args:
            sender: Address of the host that sent it.
            offer: The offer.
            now: Time, in seconds.

        Returns:
            Whether it answers the last request of this host in time.
        """
        self._observe_activity(now)
        state = self._state
        if (
            state is None
            or (state.address, state.epoch) != (sender, offer.epoch)
            or offer.number != self._number
        ):
            return False
        self._unanswered = 0
        if now > self._requested_at + MAXIMUM_ROUND_TRIP_S:
            self._offered_until = -math.inf
            return False
        self._offer = offer
        self._offered_until = self._requested_at + OFFER_VALIDITY_S
        return True

    def observe_base(self, base: _departures.TableVersion) -> None:
        """Records that the coordinator knows changes after a version only.

        Args:
            base: The version.
        """
        if self._offer is not None and self._offer.base < base:
            self._offer = dataclasses.replace(self._offer, base=base)

    def find_cause(
        self,
        own: _departures.TableVersion,
        now: float,
        *,
        is_coordinator: bool,
    ) -> FollowCause | None:
        """Returns why this host has to follow the store itself.

        Args:
            own: Version up to which this host knows all changes. Its era is
                `UNREAD_ERA` before the first read.
            now: Time, in seconds.
            is_coordinator: Whether this host is the coordinator.

        Returns:
            The first cause that applies; None if it is passed all changes.
        """
        self._observe_activity(now)
        self._update_lacking(own)
        if is_coordinator:
            return FollowCause.COORDINATOR
        if own.era == _table_log.UNREAD_ERA:
            return FollowCause.UNREAD
        state, offer = self._state, self._offer
        if state is None or self._is_silent(now):
            return FollowCause.SILENT
        if state.hosts < self._minimum_hosts:
            return FollowCause.FEW_HOSTS
        if offer is None or now >= self._offered_until:
            return FollowCause.NO_OFFER
        if offer.is_witness:
            return FollowCause.WITNESS
        if state.store_age_s > MAXIMUM_STORE_AGE_S:
            return FollowCause.STORE
        if not own.era == state.version.era == offer.base.era:
            return FollowCause.ERA
        if own < offer.base:
            return FollowCause.GAP
        if (
            self._lacking is not None
            and now >= self._lacking[1] + LAG_TIMEOUT_S
        ):
            return FollowCause.LATE
        return None

    def compute_next_check(self) -> float:
        """Returns when `find_cause` may return another cause without news."""
        deadlines = [self._heard_at + SILENT_AFTER_S, self._offered_until]
        if self._lacking is not None:
            deadlines.append(self._lacking[1] + LAG_TIMEOUT_S)
        return min(deadlines)

    def _observe_activity(self, now: float) -> None:
        """Detects that this host stood still.

        Datagrams that arrived meanwhile are handled afterwards, and seem new.
        An offer that answers a later request shows that they are over.
        """
        if now > self._active_at + SILENT_AFTER_S:
            self._withdraw_offer()
        self._active_at = now

    def _withdraw_offer(self) -> None:
        self._offered_until = -math.inf
        self._requested_at = -math.inf
        self._next_request_at = -math.inf

    def _is_silent(self, now: float) -> bool:
        return now >= self._heard_at + SILENT_AFTER_S

    def _update_lacking(self, own: _departures.TableVersion) -> None:
        """Replaces the oldest version that this host lacks once it has it."""
        if self._lacking is None or own < self._lacking[0]:
            return
        self._lacking = None
        if self._state is not None and own < self._state.version:
            self._lacking = self._state.version, self._heard_at
