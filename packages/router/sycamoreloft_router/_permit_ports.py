"""Interfaces through which the request path of the permit mode uses the host.

All methods are called on the event loop of the process.
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
        """Accepted generation that this host applies."""

    def resolve_service(
        self, fleet: str, service: str
    ) -> result.Result[
        sycamoreloft_config.ServiceReference,
        sycamoreloft_config.NameProblem,
    ]:
        """Resolves the fleet and service that a request names.

        Args:
            fleet: Name of the fleet, or empty if the request names none.
            service: Name of the service.

        Returns:
            The fleet and service after aliases are resolved, or why the names
            are not valid.
        """

    async def refresh_generation(self, known: int) -> None:
        """Fetches a newer generation after a holder refused `stale-generation`.

        Returns at once if this host already applies a newer generation.

        Args:
            known: Number of the generation that the holder refused.
        """


class GroupSource(typing.Protocol):
    """Groups that can serve a request, by failure domain."""

    def compute_partition_group(
        self, fleet: str, service: str, partition: int
    ) -> str | None:
        """Returns the group that a partition is assigned to.

        Returns:
            The group as "fleet/domain/index", or None if no group is known
            for the partition.
        """

    def list_near_groups(self, fleet: str, service: str) -> abc.Sequence[str]:
        """Lists groups with upstreams in this host's failure domain."""

    def list_far_groups(self, fleet: str, service: str) -> abc.Sequence[str]:
        """Lists groups with upstreams in other failure domains."""


class PermitSource(typing.Protocol):
    """Obtains permits from group holders and returns them."""

    async def request_permit(
        self, request: sycamoreloft_wire.PermitRequest
    ) -> sycamoreloft_wire.PermitGrant | sycamoreloft_wire.PermitRefusal:
        """Requests a permit from the holder of `request.group`.

        While the holder is being replaced, waits for the new one for up to
        `request.remaining_ms`. If the call is cancelled, the source returns a
        permit that arrives later as did-not-run.

        Returns:
            The grant, or a refusal. After "stale-generation" the request path
            fetches a newer generation; "no-holder", "not-owner",
            "holder-lost" and "configuration-pending" may end within the
            deadline of the request.
        """

    def watch_permit(
        self, group: str, permit: str, on_lost: abc.Callable[[], None]
    ) -> None:
        """Registers a function to call if the upstream of a permit is lost.

        Args:
            group: Group whose holder issued the permit.
            permit: Identifier of the permit.
            on_lost: Called on the event loop at most once, and not after the
                permit was returned.
        """

    def return_permit(self, returned: sycamoreloft_wire.PermitReturn) -> None:
        """Sends a permit back to its holder without waiting."""


class ClaimSource(typing.Protocol):
    """Obtains claims for operations that must run at most once."""

    async def request_claim(
        self, request: sycamoreloft_wire.ClaimRequest
    ) -> sycamoreloft_wire.ClaimAnswer:
        """Requests a claim from the holder of `request.group`.

        Returns:
            The answer; its verdict is "unavailable" if the holder did not
            answer within 1 s.
        """

    def report_result(
        self, claim_result: sycamoreloft_wire.ClaimResult
    ) -> None:
        """Sends the result of an attempt to its claim holder without waiting.

        Outcome "did-not-run" releases the claim. It is also reported for an
        attempt whose claim request was not answered, because the claim may
        have become durable nevertheless.
        """
