"""Oracle for ownership: checks that each key has one owner at a time.

It shares no code with the state machines that it checks.
"""

from collections import abc
import dataclasses

#: A partition as (service, partition, "") or a hot key as (service, -1, key).
UnitName = tuple[str, int, str]


class OwnershipViolation(AssertionError):
    """A guarantee about ownership was violated."""


@dataclasses.dataclass(frozen=True, slots=True)
class Acceptance:
    """Interval in which an upstream accepts requests for a unit."""

    #: Name of the upstream, unique inside the fleet.
    upstream: str
    #: Fence under which it accepts.
    fence: int
    #: End of the interval, in seconds of true time.
    until: float


class OwnershipOracle:
    """Checks acceptance intervals, stored owners and runs, all in true time."""

    def __init__(self) -> None:
        self._accepting: dict[UnitName, dict[str, Acceptance]] = {}
        self._recorded: set[tuple[UnitName, str, int]] = set()
        self._last_fence: dict[UnitName, int] = {}
        self._acknowledged: dict[UnitName, int] = {}
        self._run_fences: dict[tuple[str, str], int] = {}
        #: Number of acceptance intervals that were checked.
        self.interval_count = 0
        #: Number of requests that upstreams ran.
        self.run_count = 0

    def record_grant(
        self,
        upstream: str,
        content: abc.Mapping[UnitName, int],
        now: float,
        until: float,
    ) -> None:
        """Records that an upstream accepted a grant, which replaces the last.

        Args:
            upstream: Name of the upstream.
            content: Fences by unit.
            now: True time, in seconds.
            until: True time at which the grant expires, in seconds.
        """
        self.record_no_grant(upstream)
        if until <= now:
            return
        for unit, fence in content.items():
            self.interval_count += 1
            self._check_recorded(unit, upstream, fence)
            others = self._accepting.setdefault(unit, {})
            for other in others.values():
                if other.until > now:
                    raise OwnershipViolation(
                        f"{unit}: {upstream} accepts at {now:.4f} while"
                        f" {other.upstream} accepts until {other.until:.4f}"
                    )
            others[upstream] = Acceptance(upstream, fence, until)

    def record_no_grant(self, upstream: str) -> None:
        """Records that an upstream holds no grant, as after a restart."""
        for accepting in self._accepting.values():
            accepting.pop(upstream, None)

    def record_assignment(
        self, unit: UnitName, upstream: str, fence: int
    ) -> None:
        """Records that the store contains an owner of a unit."""
        if fence < self._last_fence.get(unit, 0):
            raise OwnershipViolation(
                f"{unit}: fence {fence} was recorded after the higher fence"
                f" {self._last_fence[unit]}"
            )
        self._last_fence[unit] = fence
        self._recorded.add((unit, upstream, fence))

    def record_acknowledgement(self, unit: UnitName, fence: int) -> None:
        """Records that a host learned that an assignment was stored."""
        known = self._acknowledged.get(unit, 0)
        self._acknowledged[unit] = max(known, fence)

    def record_run(
        self, service: str, key: str, fence: int, compares_fences: bool
    ) -> None:
        """Records that an upstream started to process a request.

        Args:
            service: Name of the service.
            key: Key of the request.
            fence: Fence that the request carries.
            compares_fences: Whether the upstream compares fences; if not, the
                fences of a key may fall.
        """
        self.run_count += 1
        if not compares_fences:
            return
        highest = self._run_fences.get((service, key), 0)
        if fence < highest:
            raise OwnershipViolation(
                f"key {key!r} of {service}: a request with fence {fence} ran"
                f" after one with fence {highest}"
            )
        self._run_fences[service, key] = fence

    def check_survival(self, fences: abc.Mapping[UnitName, int]) -> None:
        """Checks that every acknowledged assignment is still recorded.

        Args:
            fences: Recorded fences by unit; a later owner has a higher one.
        """
        for unit, fence in self._acknowledged.items():
            if not unit[2] and fences.get(unit, 0) < fence:
                raise OwnershipViolation(
                    f"{unit}: the acknowledged assignment with fence {fence}"
                    " is no longer recorded"
                )

    def find_acceptance(self, unit: UnitName, now: float) -> Acceptance | None:
        """Returns the acceptance of a unit at `now`, None if nobody accepts."""
        for acceptance in self._accepting.get(unit, {}).values():
            if acceptance.until > now:
                return acceptance
        return None

    def _check_recorded(
        self, unit: UnitName, upstream: str, fence: int
    ) -> None:
        if (unit, upstream, fence) not in self._recorded:
            raise OwnershipViolation(
                f"{unit}: {upstream} was granted fence {fence}, which the"
                " store never recorded"
            )
