"""Calls of the admin port."""

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

#: Time to connect and time of a call beyond its own wait, in seconds. The
#: admin port gives a call up after 15 s itself.
CONNECT_LIMIT_S = 5.0
CALL_LIMIT_S = 20.0

#: Errors of curl before any byte of the request was sent.
_NOT_SENT = (
    pycurl.E_URL_MALFORMAT,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_SSL_CONNECT_ERROR,
    pycurl.E_SSL_CACERT_BADFILE,
    pycurl.E_PEER_FAILED_VERIFICATION,
)

_EXIT_CODES: abc.Mapping[str, _problems.ExitCode] = {
    "unauthorized": _problems.ExitCode.UNAUTHORIZED,
    "conflict": _problems.ExitCode.CONFLICT,
    "invalid-files": _problems.ExitCode.INVALID_FILES,
    "outcome-unknown": _problems.ExitCode.UNKNOWN,
}

#: Codes of answers to a submission that leave its outcome open.
_OPEN_CODES = ("timed-out", "internal-error", "store-unavailable", "")


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The admin port that a command calls."""

    #: URL of the admin port.
    url: str
    #: Bearer token; never printed.
    token: str = dataclasses.field(repr=False)
    #: Path of the authorities that sign its certificate, empty for the
    #: system's.
    ca: str = ""


def get_json(
    target: Target,
    path: str,
    fields: abc.Mapping[str, type],
    arguments: abc.Mapping[str, str] | None = None,
) -> result.Result[typing.Any, _problems.Problem]:
    """Reads a path of the admin port.

    Args:
        target: The admin port.
        path: The path.
        fields: Types of the fields that the answer must have; the values of
            a dict must be texts.
        arguments: Arguments of the query.
    """
    # Arguments that are not UTF-8 are sent as they are; the host refuses them.
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
    for name, kind in fields.items():
        found = value.get(name)
        items = found.values() if isinstance(found, dict) else ()
        if not isinstance(found, kind) or not all(
            isinstance(item, str) for item in items
        ):
            return result.Failure(_describe_answer(200, None))
    return result.Success(value)


def post_submission(
    target: Target, submission: abc.Mapping[str, typing.Any]
) -> result.Result[typing.Any, _problems.Problem]:
    """Submits files; an error says whether they can have been recorded."""
    request = _make_request(
        target,
        "/v1/files",
        method="POST",
        body=json.dumps(submission),
        request_timeout=CALL_LIMIT_S + submission["wait_s"],
    )
    return (
        _check_target(target)
        .bind(lambda _: _call(request))
        .alt(lambda problem: _mark_open(problem, submission["request"]))
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
    """Tells whether a text can be sent in the head of a request."""
    return text.isascii() and text.isprintable() and " " not in text


def _make_request(
    target: Target, path: str, **options: typing.Any
) -> httpclient.HTTPRequest:
    return httpclient.HTTPRequest(
        target.url.rstrip("/") + path,
        headers={"Authorization": f"Bearer {target.token}"},
        connect_timeout=CONNECT_LIMIT_S,
        # A redirect would take the token to another server.
        follow_redirects=False,
        ca_certs=target.ca or None,
        prepare_curl_callback=_disable_proxy,
        **{"request_timeout": CALL_LIMIT_S, **options},
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
        return result.Failure(_describe_curl(error, request.url))
    try:
        value = json.loads(response.body)
    except ValueError:
        value = None
    if response.code == 200 and isinstance(value, dict):
        return result.Success(value)
    return result.Failure(_describe_answer(response.code, value))


def _describe_curl(
    error: curl_httpclient.CurlError, url: str
) -> _problems.Problem:
    if error.errno in _NOT_SENT:
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


def _describe_answer(status: int, value: typing.Any) -> _problems.Problem:
    """Returns the typed error of an answer, whoever gave it."""
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


def _mark_open(problem: _problems.Problem, request: str) -> _problems.Problem:
    """Says so if a failed submission can have been recorded."""
    is_open = problem.code in _OPEN_CODES
    if not is_open and problem.exit_code is not _problems.ExitCode.UNKNOWN:
        return problem
    return _problems.Problem(
        _problems.ExitCode.UNKNOWN,
        "outcome-unknown",
        f"it is not known whether the files were recorded: {problem.message}",
        f"repeat the command with the same --base and --request {request};"
        " it is recorded at most once",
        problem.details,
    )
