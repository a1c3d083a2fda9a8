"""What the permit mode of the request path needs from the process.

All calls are made on the event loop of the process.
"""

from collections import abc
import typing

from returns import result

import sycamoreloft_config
import sycamoreloft_wire


class NameSource(typing.Protocol):
    """The generation in force, and the names that it defines."""

    @property
    def generation(self) -> sycamoreloft_config.Generation:
        """The accepted generation that this host applies."""

    def resolve_service(
        self, fleet: str, service: str
    ) -> result.Result[
        sycamoreloft_config.ServiceReference,
        sycamoreloft_config.NameProblem,
    ]:
        """Finds the service that a request names.

        Args:
            fleet: Name of the fleet, or empty if the request names none.
            service: Name of the service.
        """

    async def refresh_generation(self, known: int) -> None:
        """Fetches newer files after a holder answered `stale-generation`.

        Args:
            known: Number of the generation that the holder refused. Returns
                at once if the host already applies a newer one.
        """


class GroupSource(typing.Protocol):
    """Which groups can serve a request, and how far away they are."""

    def compute_partition_group(
        self, fleet: str, service: str, partition: int
    ) -> str | None:
        """Returns the group that a partition is assigned to.

        Returns:
            The group as "fleet/domain/index", or None if no assignment of
            the partition is known.
        """

    def list_near_groups(self, fleet: str, service: str) -> abc.Sequence[str]:
        """Lists the groups of the own failure domain that have upstreams."""

    def list_far_groups(self, fleet: str, service: str) -> abc.Sequence[str]:
        """Lists the groups of other failure domains that have upstreams."""


class PermitSource(typing.Protocol):
    """Asks the holders of groups for permits."""

    async def request_permit(
        self, request: sycamoreloft_wire.PermitRequest
    ) -> sycamoreloft_wire.PermitGrant | sycamoreloft_wire.PermitRefusal:
        """Asks the holder of `request.group` for a permit.

        Waits for a holder that is being replaced, within
        `request.remaining_ms`. The call may be cancelled; a grant that
        arrives afterwards must be returned as did-not-run by the source.

        Returns:
            The grant, or a refusal. Reason "stale-generation" makes the
            caller refresh its generation; "no-holder", "not-owner",
            "holder-lost" and "configuration-pending" may pass within the
            deadline.
        """

    def watch_permit(
        self, group: str, permit: str, on_lost: abc.Callable[[], None]
    ) -> None:
        """Calls a function once if the upstream of a permit is lost.

        Args:
            group: Group that gave the permit.
            permit: Identifier of the permit.
            on_lost: Called on the event loop; not after the permit was
                returned.
        """

    def return_permit(self, returned: sycamoreloft_wire.PermitReturn) -> None:
        """Returns a permit to its holder; queues the message at once."""


class ClaimSource(typing.Protocol):
    """Asks claim holders for claims of operations that run at most once."""

    async def request_claim(
        self, request: sycamoreloft_wire.ClaimRequest
    ) -> sycamoreloft_wire.ClaimAnswer:
        """Asks the claim holder of `request.group` for a claim.

        Returns:
            The answer; verdict "unavailable" if none came within 1 s.
        """

    def report_result(
        self, claim_result: sycamoreloft_wire.ClaimResult
    ) -> None:
        """Reports what became of an attempt; queues the message at once.

        Outcome "did-not-run" abandons the claim. It is also reported for an
        attempt whose claim was not answered, since the claim may have become
        durable all the same.
        """
