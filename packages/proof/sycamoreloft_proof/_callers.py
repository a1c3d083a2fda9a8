"""Callers that send HTTP traffic to routers and record the answers."""

import asyncio
from collections import abc
import dataclasses
import hashlib
import itertools
import random
import time
import typing

import tornado.httpclient
import tornado.simple_httpclient

from sycamoreloft_proof import _fleets, _history
import sycamoreloft_standins

#: Maximum time that a caller waits; longer than any request deadline.
_CALLER_TIMEOUT_S = 20.0
_CONNECT_TIMEOUT_S = 3.0
#: Maximum number of attempts of one operation, the first included.
_MAXIMUM_ATTEMPTS = 4
_PAUSE_BEFORE_RESEND_S = 0.1
_MINIMUM_UPLOAD_BYTES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One operation on a key that a caller sends, possibly several times."""

    #: Fleet of the service.
    fleet: str
    #: Name of the service inside its fleet.
    service: str
    #: Method, path and sizes of the request.
    operation: _fleets.OperationPlan
    #: Key, "" for an unkeyed service.
    key: str
    #: Name that the caller sends in its headers.
    caller: str
    #: Idempotency-Key of an at-most-once operation, else "".
    idempotency_key: str
    #: Seed of the upload body. A retry sends the same body; the router treats
    #: calls with equal bodies as the same request.
    content: str = ""
    #: Additional request headers.
    headers: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Router:
    """Name and address of a router, as callers use them."""

    #: Name of its host.
    name: str
    #: Address for callers, as "ip:port".
    caller_address: str


class Balancer:
    """Load balancer of the platform: picks a random router that is ready."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._ready: list[Router] = []

    def set_ready(self, routers: abc.Iterable[Router]) -> None:
        """Replaces the routers that are ready."""
        self._ready = list(routers)

    def count_ready(self) -> int:
        """Returns the number of routers that are ready."""
        return len(self._ready)

    def choose(self) -> Router | None:
        """Returns a random ready router, None if none is ready."""
        return self._random.choice(self._ready) if self._ready else None


class Sender:
    """Sends single requests and records them with their answers."""

    def __init__(self, history: list[_history.Event]) -> None:
        self._history = history
        #: Requests sent so far.
        self.sent = 0
        self._sent_operations: set[str] = set()
        # Opens a connection for each request, so that a broken connection
        # affects only its own request.
        self._client = tornado.simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=10_000
        )

    async def send(self, call: Call, router: Router) -> _history.AnswerReceived:
        """Sends one request to one router and returns its recorded answer."""
        self.sent += 1
        request = f"{call.caller}-{self.sent}"
        upload = _make_upload(call)
        repeats = call.idempotency_key in self._sent_operations
        if call.idempotency_key:
            self._sent_operations.add(call.idempotency_key)
        self._history.append(
            _history.RequestSent(
                time.monotonic(),
                request,
                call.idempotency_key,
                call.operation.at_most_once,
                router.name,
                call.fleet,
                call.service,
                call.key,
                call.caller,
            )
        )
        answer = await self._fetch(call, router, request, upload, repeats)
        self._history.append(answer)
        return answer

    async def _fetch(
        self,
        call: Call,
        router: Router,
        request: str,
        upload: bytes,
        repeats: bool,
    ) -> _history.AnswerReceived:
        response: tornado.httpclient.HTTPResponse | None = None
        ending = _history.Ending.WHOLE
        reason = ""
        try:
            response = await self._client.fetch(
                f"http://{router.caller_address}{call.operation.path}",
                method=call.operation.method,
                headers=_make_headers(call, request),
                body=upload or None,
                connect_timeout=_CONNECT_TIMEOUT_S,
                request_timeout=_CALLER_TIMEOUT_S,
                raise_error=False,
                decompress_response=False,
                follow_redirects=False,
            )
        except (OSError, tornado.httpclient.HTTPError) as error:
            ending = classify_ending(error)
            reason = str(error)
        at = time.monotonic()
        if response is None:
            outcome = (
                _history.Outcome.DID_NOT_RUN
                if ending == _history.Ending.NOT_CONNECTED
                else _history.Outcome.UNKNOWN
            )
            return _history.AnswerReceived(
                at, request, ending, outcome, 0, reason, False, False
            )
        return _judge_response(at, call, request, upload, repeats, response)


def classify_ending(error: Exception) -> _history.Ending:
    """Returns how a connection without a complete answer ended."""
    if isinstance(error, ConnectionRefusedError):
        return _history.Ending.NOT_CONNECTED
    if isinstance(error, tornado.simple_httpclient.HTTPTimeoutError):
        if "during request" in str(error):
            return _history.Ending.TIMED_OUT
        return _history.Ending.NOT_CONNECTED
    return _history.Ending.CUT


def _make_upload(call: Call) -> bytes:
    """Returns the upload body of a call, empty for a GET."""
    if call.operation.method == "GET":
        return b""
    size = max(call.operation.upload_bytes, _MINIMUM_UPLOAD_BYTES)
    block = hashlib.sha256(call.content.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


def _make_headers(call: Call, request: str) -> dict[str, str]:
    headers = {
        "Sycamoreloft-Fleet": call.fleet,
        "Sycamoreloft-Service": call.service,
        "Sycamoreloft-Caller": call.caller,
        "X-Standin-Request": request,
        "X-Standin-Caller": call.caller,
        **call.headers,
    }
    if call.key:
        headers["Sycamoreloft-Key"] = call.key
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    if call.operation.answer_bytes:
        headers["X-Standin-Size"] = str(call.operation.answer_bytes)
    return headers


def _judge_response(
    at: float,
    call: Call,
    request: str,
    upload: bytes,
    repeats: bool,
    response: tornado.httpclient.HTTPResponse,
) -> _history.AnswerReceived:
    """Compares a complete answer with the expected one.

    Args:
        at: Monotonic time of the answer, in seconds.
        call: Call that was sent.
        request: Identifier of this attempt.
        upload: Body that was sent.
        repeats: Whether the operation was sent before; only then may the
            answer state the outcome of the first attempt without an echo.
        response: Complete HTTP answer.
    """
    reason = response.headers.get("Sycamoreloft-Reason", "")
    try:
        outcome = _history.Outcome(
            response.headers.get("Sycamoreloft-Outcome", "")
        )
    except ValueError:
        outcome = _history.Outcome.UNKNOWN
        reason = reason or "the answer states no outcome"
    expected = outcome == _history.Outcome.COMPLETED and not (
        repeats and reason
    )
    return _history.AnswerReceived(
        at,
        request,
        _history.Ending.WHOLE,
        outcome,
        response.code,
        reason,
        expected,
        expected and _matches(call, request, upload, response),
    )


def _matches(
    call: Call,
    request: str,
    upload: bytes,
    response: tornado.httpclient.HTTPResponse,
) -> bool:
    size = call.operation.answer_bytes
    if size:
        return len(
            response.body
        ) == size and sycamoreloft_standins.check_stream(
            request,
            response.headers.get("X-Standin-Upstream", ""),
            size,
            sycamoreloft_standins.hash_bytes(response.body),
        )
    echo = sycamoreloft_standins.make_echo(
        request, call.caller, call.fleet, call.service, call.key
    )
    return sycamoreloft_standins.check_echo(response.body, echo, upload)


class Traffic:
    """Traffic of one fleet: operations that its callers send until stopped."""

    def __init__(
        self,
        fleet: _fleets.FleetPlan,
        sender: Sender,
        balancer: Balancer,
        seed: int,
        keys: int = 200,
        hot_share: float = 0.0,
    ) -> None:
        self._fleet = fleet
        self._sender = sender
        self._balancer = balancer
        self._random = random.Random(f"{seed}/{fleet.name}")
        self._keys = keys
        #: Share of keyed requests, 0 to 1, that use the hot key.
        self.hot_share = hot_share
        self._operations = [
            (service, operation)
            for service in fleet.services
            for operation in service.operations
        ]
        self._weights = [item.weight for _, item in self._operations]
        self._numbers = itertools.count(1)
        self._stopping = False

    def choose_call(self, caller: str) -> Call:
        """Returns a random call of a caller, by the weights of operations."""
        service, operation = self._random.choices(
            self._operations, self._weights
        )[0]
        content = f"{caller}-op-{next(self._numbers)}"
        return Call(
            self._fleet.name,
            service.name,
            operation,
            self._choose_key(service),
            caller,
            content if operation.at_most_once else "",
            content,
        )

    def _choose_key(self, service: _fleets.ServicePlan) -> str:
        if not service.keyed:
            return ""
        hot = self._random.random() < self.hot_share
        if hot and service.name != _fleets.SHARED_SERVICE:
            return _fleets.HOT_KEYS[self._fleet.name]
        return f"{service.key_prefix}{self._random.randrange(self._keys)}"

    async def run_caller(self, number: int, pause_s: float) -> None:
        """Sends operations sequentially until stopped."""
        caller = f"{self._fleet.name}-caller-{number}"
        while not self._stopping:
            await self.finish_call(self.choose_call(caller))
            await asyncio.sleep(pause_s * (0.5 + self._random.random()))

    async def finish_call(self, call: Call) -> None:
        """Sends an operation and retries it if it was not completed.

        After an unknown outcome, it is retried only if it is repeatable or
        carries an idempotency key (at most once).
        """
        for _ in range(_MAXIMUM_ATTEMPTS):
            router = self._balancer.choose()
            if router is None:
                await asyncio.sleep(_PAUSE_BEFORE_RESEND_S)
                continue
            answer = await self._sender.send(call, router)
            if answer.outcome == _history.Outcome.COMPLETED:
                return
            operation = call.operation
            again = operation.repeatable or operation.at_most_once
            if answer.outcome == _history.Outcome.UNKNOWN and not again:
                return
            await asyncio.sleep(_PAUSE_BEFORE_RESEND_S)

    def stop(self) -> None:
        """Makes each caller stop after its current operation."""
        self._stopping = True


async def run_traffic(
    traffics: abc.Iterable[Traffic],
    callers: int,
    pause_s: float,
    until: abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    """Runs the callers of several fleets until a scenario ends.

    Args:
        traffics: One traffic for each fleet.
        callers: Number of callers of each fleet.
        pause_s: Mean pause of a caller between two operations, in seconds.
        until: The scenario; if it raises, the callers are cancelled.
    """
    running = list(traffics)
    async with asyncio.TaskGroup() as group:
        for traffic in running:
            for number in range(callers):
                group.create_task(traffic.run_caller(number, pause_s))
        await until
        for traffic in running:
            traffic.stop()
