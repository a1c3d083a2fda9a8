"""HTTP handlers of the admin port, which operators call."""

import asyncio
from collections import abc
import dataclasses
import hmac
import json
import re
import ssl
import typing

from returns import result
from tornado import httpserver, web

#: Maximum body of a call; a submission may contain a few files of 1 MiB.
MAXIMUM_BODY_BYTES = 4 * 1024 * 1024

#: Maximum size of the headers of a call.
MAXIMUM_HEADER_BYTES = 16 * 1024

#: Maximum number of files in one submission.
MAXIMUM_FILES = 64

#: Time that a submission waits for acceptance: default and maximum.
DEFAULT_WAIT_S = 5.0
MAXIMUM_WAIT_S = 60.0

#: Timeout of a call, in addition to its wait for acceptance.
CALL_TIMEOUT_S = 15.0

#: Time to receive a body, and time until an idle connection is closed.
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 120.0

_REQUEST_ID = re.compile(r"[!-~]{1,128}")
#: Unpaired surrogates, which JSON can contain, but UTF-8 and the store cannot.
_SURROGATE = re.compile("[\ud800-\udfff]")


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """Files that an operator submits to take effect together."""

    #: Request id; repeated calls with the same id are recorded only once.
    request: str
    #: Number of the generation that the operator's changes are based on.
    base: int
    #: Texts by the operator's file name, in the order of the call.
    texts: abc.Mapping[str, str]
    #: Maximum time to wait for acceptance, in seconds.
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """A submission that was recorded."""

    #: Number of the generation that contains the files.
    number: int
    #: "accepted", "pending" or "replaced".
    status: str
    #: Failure domains as "fleet/domain" that have not staged it yet.
    waiting_domains: abc.Sequence[str] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationView:
    """The accepted and the pending generation."""

    #: Number of the accepted generation, 0 for none.
    accepted: int
    #: Texts of its files by "fleet/<name>" or "merge".
    files: abc.Mapping[str, str]
    #: Number of the pending generation, 0 for none.
    pending: int = 0
    #: Changes from the accepted to the pending generation, as sentences.
    differences: abc.Sequence[str] = ()
    #: Failure domains that have not staged the pending generation yet.
    waiting_domains: abc.Sequence[str] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Owner of a key, and the decisions that led to it."""

    #: Fleet after aliases are resolved.
    fleet: str
    #: Service after aliases are resolved.
    service: str
    #: Key as the operator wrote it.
    key: str
    #: Partition, -1 for an unkeyed service.
    partition: int
    #: Group as "fleet/domain/index", empty if none is known.
    group: str
    #: Host that holds the group, empty if none is known.
    holder: str
    #: Upstream that owns the key, empty if none does or it is not known.
    upstream: str
    #: Sentences on the decisions behind the owner, latest first.
    reasons: abc.Sequence[str] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AdminProblem:
    """Why a call of an operator failed."""

    #: HTTP status of the answer.
    status: int
    #: Stable code, such as "conflict" or "invalid-files".
    code: str
    #: Description of the problem.
    message: str
    #: What the operator can do about it.
    remedy: str
    #: Further sentences, such as one for each problem in a file.
    details: abc.Sequence[str] = ()


_UNAUTHORIZED = AdminProblem(
    401,
    "unauthorized",
    "the call has no valid bearer token",
    "send Authorization: Bearer with one of the host's admin_tokens",
)

_TOO_LONG = AdminProblem(
    413,
    "body-too-long",
    f"the body has more than {MAXIMUM_BODY_BYTES} bytes",
    "submit fewer files at once, or remove what is not needed",
)

_NO_SERVICE = AdminProblem(
    400,
    "no-service",
    "the call names no service",
    "add ?service=NAME, and fleet= and key= as needed",
)

_TIMED_OUT = AdminProblem(
    504,
    "timed-out",
    "the call took too long; it is not known whether it took effect",
    "check the state with sycamoreloftctl show, then repeat the call with the"
    " same request id",
)


class AdminBackend(typing.Protocol):
    """Operations of the router that the admin port offers."""

    async def submit_file(
        self, submission: Submission
    ) -> result.Result[SubmissionAnswer, AdminProblem]:
        """Validates and records files; waits a limited time for acceptance."""

    async def read_generation(
        self,
    ) -> result.Result[GenerationView, AdminProblem]:
        """Returns the accepted and the pending generation of this host."""

    async def explain_key(
        self, fleet: str, service: str, key: str
    ) -> result.Result[Explanation, AdminProblem]:
        """Explains which upstream owns a key and why."""

    async def dump_state(self) -> abc.Mapping[str, typing.Any]:
        """Returns the state of the process, ready for JSON."""

    async def render_metrics(self) -> tuple[bytes, str]:
        """Returns metrics and their content type."""

    async def is_ready(self) -> bool:
        """Returns whether the load balancer may send callers to this host."""


class _Handler(web.RequestHandler):
    """Base class: checks the token, answers with JSON and typed errors."""

    #: Whether a call needs a bearer token.
    needs_token = True

    def initialize(
        self, backend: AdminBackend, tokens: abc.Sequence[str]
    ) -> None:
        """Stores the arguments of the application; called by tornado."""
        self.backend = backend
        self.tokens = tokens

    def set_default_headers(self) -> None:
        """Removes the server version and forbids caching."""
        self.clear_header("Server")
        self.set_header("Cache-Control", "no-store")

    def prepare(self) -> None:
        """Refuses a call without a valid token before its body is read."""
        if self.needs_token and not self._has_token():
            self.set_header("WWW-Authenticate", "Bearer")
            self.finish_problem(_UNAUTHORIZED)

    def _has_token(self) -> bool:
        scheme, _, token = self.request.headers.get(
            "Authorization", ""
        ).partition(" ")
        sent = token.strip().encode(errors="surrogateescape")
        # All tokens are compared in constant time, so that the duration of
        # a call does not reveal any part of a token.
        matches = [
            hmac.compare_digest(sent, valid.encode()) for valid in self.tokens
        ]
        return scheme.lower() == "bearer" and any(matches)

    def finish_json(self, value: typing.Any, status: int = 200) -> None:
        """Answers the call with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value, default=_encode))

    def finish_problem(self, problem: AdminProblem) -> None:
        """Answers the call with a typed error."""
        value = dataclasses.asdict(problem)
        value.pop("status")
        self.finish_json(value, problem.status)

    def finish_result(
        self, outcome: result.Result[typing.Any, AdminProblem]
    ) -> None:
        """Answers the call with the value or error of a backend operation."""
        match outcome:
            case result.Success(value):
                self.finish_json(value)
            case result.Failure(problem):
                self.finish_problem(problem)

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Answers a call that raised, without a stack trace in the answer."""
        self.finish_problem(_describe_status(status_code, kwargs))

    async def await_operation(
        self,
        call: abc.Awaitable[result.Result[typing.Any, AdminProblem]],
        limit_s: float = CALL_TIMEOUT_S,
    ) -> result.Result[typing.Any, AdminProblem]:
        """Awaits a backend operation; fails with `_TIMED_OUT` after a limit."""
        try:
            async with asyncio.timeout(limit_s):
                return await call
        except TimeoutError:
            return result.Failure(_TIMED_OUT)


@web.stream_request_body
class _FilesHandler(_Handler):
    """POST /v1/files: submits files."""

    def prepare(self) -> None:
        """Refuses a call without a token, or with a body that is too long."""
        self._body = bytearray()
        super().prepare()
        length = self.request.headers.get("Content-Length", "0")
        is_long = length.isdecimal() and int(length) > MAXIMUM_BODY_BYTES
        if is_long and not self._finished:
            self.finish_problem(_TOO_LONG)

    def data_received(self, chunk: bytes) -> None:
        """Appends a part of the body; the server limits its length."""
        self._body += chunk

    async def post(self) -> None:
        """Submits files."""
        match parse_submission(bytes(self._body)):
            case result.Failure(problem):
                self.finish_problem(problem)
            case result.Success(submission):
                self.finish_result(
                    await self.await_operation(
                        self.backend.submit_file(submission),
                        submission.wait_s + CALL_TIMEOUT_S,
                    )
                )


class _GenerationHandler(_Handler):
    """GET /v1/generation: the accepted and the pending generation."""

    async def get(self) -> None:
        """Answers with the generation."""
        self.finish_result(
            await self.await_operation(self.backend.read_generation())
        )


class _ExplainHandler(_Handler):
    """GET /v1/explain?fleet=&service=&key=: which upstream owns a key, why."""

    async def get(self) -> None:
        """Answers with the explanation."""
        service = self.get_query_argument("service", "")
        if not service:
            self.finish_problem(_NO_SERVICE)
            return
        self.finish_result(
            await self.await_operation(
                self.backend.explain_key(
                    self.get_query_argument("fleet", ""),
                    service,
                    self.get_query_argument("key", "", strip=False),
                )
            )
        )


class _StateHandler(_Handler):
    """GET /v1/state: the state of the process."""

    async def get(self) -> None:
        """Answers with the state."""
        self.finish_json(await self.backend.dump_state())


class _MetricsHandler(_Handler):
    """GET /metrics: metrics in the content type that the backend names."""

    async def get(self) -> None:
        """Answers with the metrics."""
        content, content_type = await self.backend.render_metrics()
        self.set_header("Content-Type", content_type)
        self.finish(content)


class _ReadyHandler(_Handler):
    """GET /ready: for the load balancer, which has no token."""

    needs_token = False

    async def get(self) -> None:
        """Answers 200 or 503."""
        is_ready = await self.backend.is_ready()
        self.finish_json({"ready": is_ready}, 200 if is_ready else 503)

    async def head(self) -> None:
        """Answers like GET, since some load balancers probe with HEAD."""
        await self.get()


class _UnknownHandler(_Handler):
    """Any other path."""

    def prepare(self) -> None:
        """Answers 404 to callers with a token, else 401."""
        super().prepare()
        if not self._finished:
            raise web.HTTPError(404)


def make_application(
    backend: AdminBackend, tokens: abc.Sequence[str]
) -> web.Application:
    """Returns the admin application.

    Args:
        backend: Implements the operations of the admin port.
        tokens: Valid bearer tokens; several allow a rotation of tokens.
    """
    arguments = {"backend": backend, "tokens": tuple(tokens)}
    routes = {
        "/v1/files": _FilesHandler,
        "/v1/generation": _GenerationHandler,
        "/v1/explain": _ExplainHandler,
        "/v1/state": _StateHandler,
        "/metrics": _MetricsHandler,
        "/ready": _ReadyHandler,
    }
    return web.Application(
        [(path, handler, arguments) for path, handler in routes.items()],
        default_handler_class=_UnknownHandler,
        default_handler_args=arguments,
        # Disables tornado's access log: the router has logs of its own.
        log_function=lambda handler: None,
    )


def make_admin_server(
    backend: AdminBackend,
    tokens: abc.Sequence[str],
    tls: ssl.SSLContext | None = None,
) -> httpserver.HTTPServer:
    """Returns a server for the admin port that is not yet listening."""
    return httpserver.HTTPServer(
        make_application(backend, tokens),
        ssl_options=tls,
        max_header_size=MAXIMUM_HEADER_BYTES,
        max_body_size=MAXIMUM_BODY_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        body_timeout=BODY_TIMEOUT_S,
    )


def parse_submission(
    body: bytes,
) -> result.Result[Submission, AdminProblem]:
    """Parses the body of POST /v1/files.

    Args:
        body: JSON object with `request`, `base`, `files` (texts by file name)
            and, optionally, `wait_s`.

    Returns:
        The submission, or every problem of the body.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        value = None
    if not isinstance(value, dict):
        return result.Failure(_make_body_problem(["body: not a JSON object"]))
    request = value.pop("request", None)
    base = value.pop("base", None)
    files = value.pop("files", None)
    wait_s = value.pop("wait_s", DEFAULT_WAIT_S)
    details = [f"{name}: unknown field" for name in sorted(value)]
    if not (isinstance(request, str) and _REQUEST_ID.fullmatch(request)):
        details.append("request: must be 1 to 128 visible ASCII characters")
    if not _is_number(base, int) or not 0 <= base < 2**53:
        details.append("base: must be the number of a generation")
    if (
        not _is_number(wait_s, (int, float))
        or not 0 <= wait_s <= MAXIMUM_WAIT_S
    ):
        details.append(f"wait_s: must be 0 to {MAXIMUM_WAIT_S:g} seconds")
    details += _check_texts(files)
    if details:
        return result.Failure(_make_body_problem(details))
    return result.Success(Submission(request, base, files, float(wait_s)))


def _is_number(value: typing.Any, kind: typing.Any) -> bool:
    return isinstance(value, kind) and not isinstance(value, bool)


def _check_texts(files: typing.Any) -> abc.Sequence[str]:
    if not isinstance(files, dict) or not 1 <= len(files) <= MAXIMUM_FILES:
        return [f"files: must be an object with 1 to {MAXIMUM_FILES} strings"]
    return [
        f"files: {name[:80]!r} is not a valid name, or its value not a text"
        for name, text in files.items()
        if not isinstance(text, str)
        or not 0 < len(name) <= 255
        or not name.isprintable()
        or _SURROGATE.search(text)
    ]


def _make_body_problem(details: abc.Sequence[str]) -> AdminProblem:
    return AdminProblem(
        400,
        "invalid-body",
        "the body is not a valid submission",
        'send {"request": id, "base": number, "files": {name: text}}, or use'
        " sycamoreloftctl submit",
        details,
    )


def _describe_status(
    status: int, details: abc.Mapping[str, typing.Any]
) -> AdminProblem:
    """Returns the typed error for a status that tornado raised."""
    if status >= 500:
        # The exception may contain secrets, so that only the log has it.
        return AdminProblem(
            status,
            "internal-error",
            "the call failed because of an internal error of the router",
            "look for the error in the host's log, or ask another host",
        )
    remedies = {
        404: "see the list of paths in docs/operators.md",
        405: "use GET, or POST for /v1/files",
    }
    error = details.get("exc_info", (None, None, None))[1]
    message = getattr(error, "log_message", None)
    return AdminProblem(
        status,
        {404: "unknown-path", 405: "wrong-method"}.get(status, "bad-request"),
        message or "the call is not valid",
        remedies.get(status, "correct the call and send it again"),
    )


def _encode(value: typing.Any) -> typing.Any:
    """Encodes values of types that `json` does not support."""
    if dataclasses.is_dataclass(value):
        fields = dataclasses.fields(value)
        return {field.name: getattr(value, field.name) for field in fields}
    if isinstance(value, abc.Mapping):
        return dict(value)
    return list(value) if isinstance(value, abc.Iterable) else str(value)
