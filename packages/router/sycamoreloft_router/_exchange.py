"""What the request path needs from the rest of the process.

`CallerServer` is given one implementation of each protocol class. All calls
are made on the event loop of the process.
"""

from collections import abc
import dataclasses
import typing

from returns import result

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_router import _answers, _body_streams, _headers, _metrics
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

    def find_partition_group(
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

    async def ask_permit(
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

    async def ask_claim(
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


class AnswerSink(typing.Protocol):
    """Where the answer to a caller goes."""

    def send_whole(self, answer: _answers.UpstreamAnswer, body: bytes) -> None:
        """Sends an answer whose body is complete."""

    async def begin(self, answer: _answers.UpstreamAnswer) -> None:
        """Sends the head of an answer that is streamed."""

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body and waits until there is room for more."""

    def end(self) -> None:
        """Marks the end of a streamed answer."""

    def cut(self) -> None:
        """Closes the connection without the last chunk."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """What the caller's connection adds to a parsed request."""

    #: The whole body, a stream, or None.
    body: bytes | _body_streams.UploadBuffer | None
    #: Length of the body, -1 if unknown.
    length: int
    #: Start of the body, at most `_body_streams.PREFIX_BYTES` bytes.
    prefix: bytes
    #: Deadline on the clock of the event loop.
    deadline: float


class RequestRun(typing.Protocol):
    """A request that is being served."""

    async def run(self) -> _answers.Refusal | None:
        """Serves the request.

        Returns:
            None if an upstream's answer was passed on or cut, else the
            router's own answer.
        """

    def stop(self, event: sycamoreloft_decisions.AttemptEvent) -> None:
        """Stops the request because of its deadline or its caller."""


class ParsedRequest(typing.Protocol):
    """The head of a request whose route is known."""

    @property
    def method(self) -> str:
        """HTTP method."""

    @property
    def deadline_ms(self) -> int:
        """Time from the headers to the deadline, in milliseconds."""

    @property
    def request_id(self) -> str:
        """Identifier that the caller sent, empty if it sent none."""


class RequestParser(typing.Protocol):
    """Finds the route of a request."""

    def parse(
        self,
        method: str,
        target: str,
        fields: _headers.RequestFields,
        caller: str,
    ) -> result.Result[typing.Any, _answers.Refusal]:
        """Parses the head of a request.

        Args:
            method: HTTP method.
            target: Path and query.
            fields: Headers of the caller.
            caller: Address of the caller.

        Returns:
            A `ParsedRequest`, or the refusal that ends the request.
        """


class RequestPath(typing.Protocol):
    """What a caller server passes requests to."""

    @property
    def metrics(self) -> _metrics.Metrics:
        """Metrics of the process."""

    @property
    def parser(self) -> RequestParser:
        """Finds the routes of requests."""

    def create_run(
        self,
        request: typing.Any,
        received: ReceivedRequest,
        fields: _headers.RequestFields,
        sink: AnswerSink,
    ) -> RequestRun:
        """Creates the run of a request.

        Args:
            request: What `parser` returned.
            received: Body and deadline.
            fields: Headers of the caller.
            sink: Where the answer goes.
        """
