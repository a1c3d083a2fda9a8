"""Interfaces between the caller server and the code that serves requests.

`CallerServer` gets one implementation of `RequestPath`. All methods are called
on the event loop of the process.
"""

import dataclasses
import enum
import typing

from returns import result

from sycamoreloft_router import _answers, _body_streams, _headers, _metrics


class AnswerSink(typing.Protocol):
    """Sends the answer to a caller."""

    def has_caller_left(self) -> bool:
        """Returns whether the caller has closed its connection.

        It has no effect on the request, and may be called while a transfer
        starts.
        """

    def send_complete(
        self, answer: _answers.UpstreamAnswer, body: bytes
    ) -> None:
        """Sends an answer whose body is complete."""

    async def begin(self, answer: _answers.UpstreamAnswer) -> None:
        """Sends the head of an answer that is streamed."""

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body and waits until there is room for more."""

    def end(self) -> None:
        """Ends a streamed answer with the last chunk."""

    def abort(self) -> None:
        """Closes the connection without the last chunk of the answer.

        The caller can tell from the missing chunk that the answer is
        incomplete.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Body and deadline of a request, as the caller server received them."""

    #: The complete body, a stream for a long one, or None for a request
    #: without a body.
    body: bytes | _body_streams.UploadBuffer | None
    #: Length of the body, in bytes; -1 if unknown.
    length: int
    #: First bytes of the body, at most `_body_streams.PREFIX_BYTES`; used for
    #: the fingerprint of the request.
    prefix: bytes
    #: Deadline, in seconds on the clock of the event loop.
    deadline: float


class StopReason(enum.Enum):
    """Why a request is stopped before it has been answered."""

    #: The deadline of the request passed.
    DEADLINE_PASSED = "deadline-passed"
    #: The caller closed its connection.
    CALLER_GONE = "caller-gone"


class RequestExecution(typing.Protocol):
    """Serves one request."""

    async def run(self) -> _answers.Refusal | None:
        """Serves the request.

        Returns:
            None if an upstream's answer was forwarded or aborted, else the
            router's own answer.
        """

    def stop(self, reason: StopReason) -> None:
        """Stops serving the request."""


class ParsedRequest(typing.Protocol):
    """The head of a request, with its route resolved."""

    @property
    def method(self) -> str:
        """HTTP method."""

    @property
    def deadline_ms(self) -> int:
        """Time from receiving the headers to the deadline, in milliseconds."""

    @property
    def request_id(self) -> str:
        """Request id that the caller sent, or an empty string."""


class RequestParser(typing.Protocol):
    """Parses the head of a request and resolves its route."""

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
            caller: IP address of the caller.

        Returns:
            A `ParsedRequest`, or the answer to a request that is refused.
        """


class RequestPath(typing.Protocol):
    """Parses and serves the requests of a caller server."""

    @property
    def metrics(self) -> _metrics.Metrics:
        """Metrics of the process."""

    @property
    def parser(self) -> RequestParser:
        """Parser of request heads."""

    def create_execution(
        self,
        request: typing.Any,
        received: ReceivedRequest,
        fields: _headers.RequestFields,
        sink: AnswerSink,
    ) -> RequestExecution:
        """Creates the execution of a request.

        Args:
            request: Request that `parser` returned.
            received: Body and deadline.
            fields: Headers of the caller.
            sink: Sends the answer.
        """
