"""Decides which requests upstreams of evacuated failure domains get.

The operator evacuates a failure domain: nothing more is sent to its upstreams
until the evacuation ends. Requests for keys are sent to them for a short time,
in which the keys move to other domains.
"""

from collections import abc
import dataclasses
import enum

#: Share of the bound for which the owners of keys still get requests. The rest
#: covers the time until a host learns of the evacuation.
OWNER_SHARE = 0.6

#: Seconds from the operator's order to its effect, unless set otherwise.
DEFAULT_BOUND_S = 5.0


class EvacuationChange(enum.Enum):
    """A change that the operator should see; the value is the log event."""

    BEGAN = "evacuation-began"
    ENDED = "evacuation-ended"
    #: No upstream is in the failure domain: the name may be misspelled.
    UNKNOWN_DOMAIN = "evacuation-unknown-domain"


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationEvent:
    """A change of the evacuation of a failure domain."""

    #: Name of the failure domain.
    failure_domain: str
    #: What changed.
    change: EvacuationChange


class Evacuations:
    """The evacuated failure domains. All times are in seconds."""

    def __init__(self) -> None:
        #: Seconds from the operator's order to its effect.
        self.bound_s = DEFAULT_BOUND_S
        #: When this host learned of each evacuation.
        self._since: dict[str, float] = {}
        #: Last event of each domain, except `ENDED`.
        self._events: dict[str, EvacuationChange] = {}

    def __contains__(self, failure_domain: object) -> bool:
        return failure_domain in self._since

    def __len__(self) -> int:
        return len(self._since)

    def replace(self, domains: abc.Iterable[str], since: float) -> None:
        """Replaces the set of evacuated failure domains.

        Args:
            domains: The failure domains.
            since: When this host learned of those that are new; minus infinity
                if they may have been evacuated long before.
        """
        self._since = {
            domain: self._since.get(domain, since) for domain in domains
        }

    def list_events(self, known: abc.Container[str]) -> list[EvacuationEvent]:
        """Returns the changes since the last call.

        Args:
            known: Failure domains that upstreams are in.
        """
        changes = {
            domain: EvacuationChange.ENDED
            for domain, change in self._events.items()
            if domain not in self._since and change is EvacuationChange.BEGAN
        }
        events = {}
        for domain in self._since:
            event = self._events.get(domain, EvacuationChange.UNKNOWN_DOMAIN)
            if domain in known:
                event = EvacuationChange.BEGAN
            events[domain] = event
            if event is not self._events.get(domain):
                changes[domain] = event
        self._events = events
        return [EvacuationEvent(*change) for change in changes.items()]

    def may_send(
        self, failure_domain: str, now: float, *, has_key: bool
    ) -> bool:
        """Returns whether upstreams of a failure domain get a request.

        Args:
            failure_domain: The failure domain.
            now: Time, in seconds.
            has_key: Whether the request is for a key that the upstream owns.
        """
        since = self._since.get(failure_domain)
        return since is None or (
            has_key and now - since < self.bound_s * OWNER_SHARE
        )
