"""What the request path needs from the rest of the process.

`CallerServer` is given one implementation of each protocol class. All calls
are made on the event loop of the process.
"""

import dataclasses
import enum
import typing

from returns import result

from sycamoreloft_router import _answers, _body_streams, _headers, _metrics


class AnswerSink(typing.Protocol):
    """Where the answer to a caller goes."""

    def send_complete(
        self, answer: _answers.UpstreamAnswer, body: bytes
    ) -> None:
        """Sends an answer whose body is complete."""

    async def begin(self, answer: _answers.UpstreamAnswer) -> None:
        """Sends the head of an answer that is streamed."""

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body and waits until there is room for more."""

    def end(self) -> None:
        """Marks the end of a streamed answer."""

    def abort(self) -> None:
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


class StopReason(enum.Enum):
    """Why a request is stopped before its answer."""

    #: The deadline of the request passed.
    DEADLINE_PASSED = "deadline-passed"
    #: The caller closed its connection.
    CALLER_GONE = "caller-gone"


class RequestExecution(typing.Protocol):
    """A request that is being served."""

    async def run(self) -> _answers.Refusal | None:
        """Serves the request.

        Returns:
            None if an upstream's answer was passed on or cut, else the
            router's own answer.
        """

    def stop(self, reason: StopReason) -> None:
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

    def create_execution(
        self,
        request: typing.Any,
        received: ReceivedRequest,
        fields: _headers.RequestFields,
        sink: AnswerSink,
    ) -> RequestExecution:
        """Creates the run of a request.

        Args:
            request: What `parser` returned.
            received: Body and deadline.
            fields: Headers of the caller.
            sink: Where the answer goes.
        """
