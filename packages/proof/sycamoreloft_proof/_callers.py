"""Callers of both fleets: real HTTP traffic and what they were told."""

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

#: Longest time that a caller waits, in seconds; longer than any deadline.
_CALLER_TIMEOUT_S = 20.0
_CONNECT_TIMEOUT_S = 3.0
#: Sendings of one operation, the first included.
_MAXIMUM_SENDINGS = 4
_PAUSE_BEFORE_RESEND_S = 0.1
_SHORTEST_UPLOAD_BYTES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One operation that a caller wants done."""

    #: Fleet.
    fleet: str
    #: Service.
    service: str
    #: Operation.
    operation: _fleets.OperationPlan
    #: Key, "" for an unkeyed service.
    key: str
    #: Caller.
    caller: str
    #: Identity of an operation that runs at most once, else "".
    idempotency_key: str
    #: What the upload is made of; sending a call again sends the same body,
    #: and two calls with the same body look like one to the router.
    content: str = ""
    #: Further headers.
    headers: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Router:
    """A router as its callers see it."""

    #: Name.
    name: str
    #: Address for callers, as "ip:port".
    caller_address: str


class Balancer:
    """The platform's load balancer: chooses among routers that are ready."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._ready: list[Router] = []

    def set_ready(self, routers: abc.Iterable[Router]) -> None:
        """Replaces the routers to choose from."""
        self._ready = list(routers)

    def count_ready(self) -> int:
        """Returns the number of routers to choose from."""
        return len(self._ready)

    def choose(self) -> Router | None:
        """Returns a router, None if none is ready."""
        return self._random.choice(self._ready) if self._ready else None


class Sender:
    """Sends single requests and records what their caller saw."""

    def __init__(self, history: list[_history.Event]) -> None:
        self._history = history
        #: Requests sent so far.
        self.sent = 0
        self._sent_operations: set[str] = set()
        # A connection is made for each request, so that a broken one can
        # belong to no other request.
        self._client = tornado.simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=10_000
        )

    async def send(self, call: Call, router: Router) -> _history.AnswerReceived:
        """Sends one request to one router."""
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
    """Tells how a connection ended that brought no whole answer."""
    if isinstance(error, ConnectionRefusedError):
        return _history.Ending.NOT_CONNECTED
    if isinstance(error, tornado.simple_httpclient.HTTPTimeoutError):
        if "during request" in str(error):
            return _history.Ending.TIMED_OUT
        return _history.Ending.NOT_CONNECTED
    return _history.Ending.CUT


def _make_upload(call: Call) -> bytes:
    """Returns the body of a call, empty for a GET."""
    if call.operation.method == "GET":
        return b""
    size = max(call.operation.upload_bytes, _SHORTEST_UPLOAD_BYTES)
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
    """Compares a whole answer with the one that the request must get.

    Args:
        at: Time of the answer.
        call: What was sent.
        request: Name of the sending.
        upload: Body that was sent.
        repeats: Whether the operation was sent before; only then may the
            answer say just what became of the first sending.
        response: The answer.
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
    """Callers of one fleet that send requests until they are stopped."""

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
        #: Share of keyed requests that ask for the hot key.
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
        """Returns the next operation of a caller."""
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
        """Sends operations one after the other until stopped."""
        caller = f"{self._fleet.name}-caller-{number}"
        while not self._stopping:
            await self.finish_call(self.choose_call(caller))
            await asyncio.sleep(pause_s * (0.5 + self._random.random()))

    async def finish_call(self, call: Call) -> None:
        """Sends an operation, again if it did not run or is unknown.

        Sending an unknown operation again is what callers do; one that must
        not be repeated carries its identity, and one of neither kind is
        given up.
        """
        for _ in range(_MAXIMUM_SENDINGS):
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
        """Makes each caller stop after its present operation."""
        self._stopping = True


async def run_traffic(
    traffics: abc.Iterable[Traffic],
    callers: int,
    pause_s: float,
    until: abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    """Runs callers of several fleets while a scenario runs.

    Args:
        traffics: One for each fleet.
        callers: Callers of each fleet.
        pause_s: Mean pause of a caller between two operations.
        until: The scenario; its error ends the callers too.
    """
    running = list(traffics)
    async with asyncio.TaskGroup() as group:
        for traffic in running:
            for number in range(callers):
                group.create_task(traffic.run_caller(number, pause_s))
        await until
        for traffic in running:
            traffic.stop()
