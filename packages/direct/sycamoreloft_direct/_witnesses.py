"""Which hosts follow the table of upstreams beside the coordinator.

The versions that witnesses report show the coordinator that its own call to
the store hangs. One in each failure domain remains if a domain is cut off.
"""

import dataclasses

from sycamoreloft_direct import _departures

#: Seconds after its last request for which a host is passed changes. Two of
#: its requests may be lost.
MEMBER_TIMEOUT_S = 7.0

#: Seconds without a report after which a host is no witness; hosts report
#: every 0.25 s.
SILENT_AFTER_S = 1.0

#: Seconds for which a witness may have an older version than the coordinator:
#: longer than a hanging call and the read after it take. The store may refuse
#: the host.
LAG_TIMEOUT_S = 2.0

#: Seconds after which changes are sent again to a host that has not reported
#: them: longer than the time between two reports.
RESEND_S = 0.35

#: Maximum number of hosts that are remembered.
MAXIMUM_MEMBERS = 16_384

Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Member:
    """A host that can be passed changes."""

    failure_domain: str
    requested_at: float
    reported_at: float
    version: _departures.TableVersion
    #: Since when the host has had an older version than the coordinator; None
    #: if it is current.
    behind_since: float | None = None
    #: Version of the changes that were last sent to the host, and when.
    sent: _departures.TableVersion | None = None
    sent_at: float = 0.0


class WitnessRoster:
    """Keeps the hosts that can be passed changes, and chooses witnesses."""

    def __init__(self) -> None:
        self._members: dict[Address, _Member] = {}
        self._witnesses: dict[str, Address] = {}

    @property
    def witnesses(self) -> frozenset[Address]:
        """Addresses of the witnesses."""
        return frozenset(self._witnesses.values())

    @property
    def members(self) -> tuple[Address, ...]:
        """Addresses of the hosts that can be passed changes."""
        return tuple(self._members)

    def add_request(
        self,
        address: Address,
        failure_domain: str,
        version: _departures.TableVersion,
        now: float,
    ) -> bool:
        """Records that a host asked to be passed changes.

        Args:
            address: Address of the host.
            failure_domain: Failure domain of the host.
            version: Version of the table that the host has.
            now: Time, in seconds.

        Returns:
            Whether the host is remembered.
        """
        self._witnesses.setdefault(failure_domain, address)
        member = self._members.get(address)
        if member is None:
            if len(self._members) >= MAXIMUM_MEMBERS:
                return False
            self._members[address] = _Member(failure_domain, now, now, version)
            return True
        member.failure_domain = failure_domain
        member.requested_at = member.reported_at = now
        member.version = version
        return True

    def add_report(
        self, address: Address, version: _departures.TableVersion, now: float
    ) -> None:
        """Records the version that a host reports."""
        member = self._members.get(address)
        if member is not None:
            member.reported_at = now
            member.version = version

    def update(self, newest: _departures.TableVersion, now: float) -> None:
        """Drops hosts that have gone, and replaces witnesses that failed.

        Args:
            newest: Version of the table that the coordinator has.
            now: Time, in seconds.
        """
        candidates: dict[str, Address] = {}
        for address, member in list(self._members.items()):
            if now > member.requested_at + MEMBER_TIMEOUT_S:
                del self._members[address]
                continue
            if not member.version < newest:
                member.behind_since = None
            elif member.behind_since is None:
                member.behind_since = now
            if not _is_eligible(member, now):
                continue
            domain = member.failure_domain
            known = candidates.get(domain)
            if (
                self._witnesses.get(domain) == address
                or known is None
                or (known != self._witnesses.get(domain) and address < known)
            ):
                candidates[domain] = address
        self._witnesses = candidates

    def list_lacking(
        self, newest: _departures.TableVersion, now: float
    ) -> dict[int, list[Address]]:
        """Lists hosts to send changes to, and notes that they are sent.

        Args:
            newest: Version of the table that the coordinator has.
            now: Time, in seconds.

        Returns:
            Addresses by the version of the newest change that hosts know.
        """
        lacking: dict[int, list[Address]] = {}
        for address, member in self._members.items():
            if (
                member.version.era != newest.era
                or member.version.version >= newest.version
                or (member.sent == newest and now < member.sent_at + RESEND_S)
            ):
                continue
            member.sent, member.sent_at = newest, now
            lacking.setdefault(member.version.version, []).append(address)
        return lacking


def _is_eligible(member: _Member, now: float) -> bool:
    is_lagging = (
        member.behind_since is not None
        and now > member.behind_since + LAG_TIMEOUT_S
    )
    return now <= member.reported_at + SILENT_AFTER_S and not is_lagging
