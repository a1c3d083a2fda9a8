"""HTTP client of a host's admin port."""

import asyncio
from collections import abc
import dataclasses
import json
import typing
from urllib import parse

import pycurl
from returns import result
from tornado import curl_httpclient, httpclient

from sycamoreloft_ctl import _problems

#: Maximum time to connect.
CONNECT_TIMEOUT_S = 5.0
#: Maximum time of a call, without the time that a submission asks the host to
#: wait. The admin port itself aborts a call after 15 s.
CALL_TIMEOUT_S = 20.0

#: curl errors that occur before any byte of the request is sent.
_NOT_SENT_ERRORS = (
    pycurl.E_URL_MALFORMAT,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_SSL_CONNECT_ERROR,
    pycurl.E_SSL_CACERT_BADFILE,
    pycurl.E_PEER_FAILED_VERIFICATION,
)

#: Exit codes for error codes of the admin port; FAILED for all others.
_EXIT_CODES: abc.Mapping[str, _problems.ExitCode] = {
    "unauthorized": _problems.ExitCode.UNAUTHORIZED,
    "conflict": _problems.ExitCode.CONFLICT,
    "invalid-files": _problems.ExitCode.INVALID_FILES,
    "outcome-unknown": _problems.ExitCode.UNKNOWN,
}

#: Error codes after which a submission may or may not have been recorded; the
#: empty code stands for a broken connection or an answer of another server.
_UNKNOWN_OUTCOME_CODES = (
    "timed-out",
    "internal-error",
    "store-unavailable",
    "",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The admin port that a command calls."""

    #: Base URL, such as "http://IP:PORT".
    url: str
    #: Bearer token; never printed.
    token: str = dataclasses.field(repr=False)
    #: File of certificate authorities that the host's certificate is verified
    #: against; empty for those of the system.
    ca: str = ""


def get_json(
    target: Target,
    path: str,
    fields: abc.Mapping[str, type],
    arguments: abc.Mapping[str, str] | None = None,
) -> result.Result[typing.Any, _problems.Problem]:
    """Sends a GET request to the admin port and checks the answer.

    Args:
        target: The admin port.
        path: Path of the request.
        fields: Required fields of the answer and their types; the values of
            a dict must be strings.
        arguments: Query arguments.

    Returns:
        The JSON object of the answer.
    """
    # Arguments that are not UTF-8 are sent unchanged; the host rejects them.
    query = parse.urlencode(arguments or {}, errors="surrogateescape")
    request = _make_request(target, f"{path}?{query}" if query else path)
    return (
        _check_target(target)
        .bind(lambda _: _call(request))
        .bind(lambda value: _check_fields(value, fields))
    )


def _check_fields(
    value: abc.Mapping[str, typing.Any], fields: abc.Mapping[str, type]
) -> result.Result[typing.Any, _problems.Problem]:
    for name, expected_type in fields.items():
        field_value = value.get(name)
        items = field_value.values() if isinstance(field_value, dict) else ()
        if not isinstance(field_value, expected_type) or not all(
            isinstance(item, str) for item in items
        ):
            return result.Failure(_build_answer_problem(200, None))
    return result.Success(value)


def post_submission(
    target: Target, submission: abc.Mapping[str, typing.Any]
) -> result.Result[typing.Any, _problems.Problem]:
    """Submits files.

    Args:
        target: The admin port.
        submission: JSON body of the request.

    Returns:
        The JSON object of the answer. A problem has the exit code
        UNKNOWN if the files may have been recorded.
    """
    request = _make_request(
        target,
        "/v1/files",
        method="POST",
        body=json.dumps(submission),
        request_timeout=CALL_TIMEOUT_S + submission["wait_s"],
    )
    return (
        _check_target(target)
        .bind(lambda _: _call(request))
        .alt(
            lambda problem: _mark_outcome_unknown(
                problem, submission["request"]
            )
        )
    )


def _check_target(target: Target) -> result.Result[Target, _problems.Problem]:
    if not _is_header_text(target.token):
        return result.Failure(
            _problems.Problem(
                _problems.ExitCode.USAGE,
                "bad-token",
                "the token contains spaces or characters outside ASCII",
                "give one of the host's admin_tokens, without a line break",
            )
        )
    try:
        parts = parse.urlsplit(target.url)
    except ValueError:
        parts = parse.urlsplit("")
    is_http = parts.scheme in ("http", "https") and bool(parts.netloc)
    if is_http and _is_header_text(target.url):
        return result.Success(target)
    return result.Failure(
        _problems.Problem(
            _problems.ExitCode.USAGE,
            "no-admin-url",
            f"{target.url!r} is not the URL of an admin port",
            "give --admin http://IP:PORT, or set SYCAMORELOFTCTL_ADMIN",
        )
    )


def _is_header_text(text: str) -> bool:
    """Returns whether a text can be sent in the head of a request."""
    return text.isascii() and text.isprintable() and " " not in text


def _make_request(
    target: Target, path: str, **options: typing.Any
) -> httpclient.HTTPRequest:
    return httpclient.HTTPRequest(
        target.url.rstrip("/") + path,
        headers={"Authorization": f"Bearer {target.token}"},
        connect_timeout=CONNECT_TIMEOUT_S,
        # Following a redirect would send the token to another server.
        follow_redirects=False,
        ca_certs=target.ca or None,
        prepare_curl_callback=_disable_proxy,
        **{"request_timeout": CALL_TIMEOUT_S, **options},
    )


def _disable_proxy(curl: pycurl.Curl) -> None:
    """Ignores http_proxy, because a proxy would see the token."""
    curl.setopt(pycurl.NOPROXY, "*")


def _call(
    request: httpclient.HTTPRequest,
) -> result.Result[typing.Any, _problems.Problem]:
    async def fetch() -> httpclient.HTTPResponse:
        client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
        try:
            return await client.fetch(request, raise_error=False)
        finally:
            client.close()

    try:
        response = asyncio.run(fetch())
    except curl_httpclient.CurlError as error:
        return result.Failure(_build_curl_problem(error, request.url))
    try:
        value = json.loads(response.body)
    except ValueError:
        value = None
    if response.code == 200 and isinstance(value, dict):
        return result.Success(value)
    return result.Failure(_build_answer_problem(response.code, value))


def _build_curl_problem(
    error: curl_httpclient.CurlError, url: str
) -> _problems.Problem:
    if error.errno in _NOT_SENT_ERRORS:
        return _problems.Problem(
            _problems.ExitCode.FAILED,
            "unreachable",
            f"no connection to {url}: {error.message}",
            "check --admin and --ca, or use another host of the fleet",
        )
    return _problems.Problem(
        _problems.ExitCode.FAILED,
        "",
        f"the connection to {url} failed: {error.message}",
        "repeat the call, if need be at another host",
    )


def _build_answer_problem(status: int, value: typing.Any) -> _problems.Problem:
    """Returns the problem that an error answer reports.

    An answer without an error code comes from another kind of server.
    """
    if not isinstance(value, dict) or not isinstance(value.get("code"), str):
        return _problems.Problem(
            _problems.ExitCode.FAILED,
            "",
            f"the answer with status {status} is not that of an admin port",
            "check that --admin names the admin port and not another one",
        )
    details = value.get("details")
    return _problems.Problem(
        _EXIT_CODES.get(value["code"], _problems.ExitCode.FAILED),
        value["code"],
        str(value.get("message", "")),
        str(value.get("remedy", "")),
        [str(item) for item in details] if isinstance(details, list) else [],
    )


def _mark_outcome_unknown(
    problem: _problems.Problem, request: str
) -> _problems.Problem:
    """Adds to a failed submission's problem that it may have been recorded."""
    is_outcome_unknown = problem.code in _UNKNOWN_OUTCOME_CODES
    if (
        not is_outcome_unknown
        and problem.exit_code is not _problems.ExitCode.UNKNOWN
    ):
        return problem
    return _problems.Problem(
        _problems.ExitCode.UNKNOWN,
        "outcome-unknown",
        f"it is not known whether the files were recorded: {problem.message}",
        f"repeat the command with the same --base and --request {request};"
        " it is recorded at most once",
        problem.details,
    )
