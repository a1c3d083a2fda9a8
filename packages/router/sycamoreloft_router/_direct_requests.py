"""Parses requests of callers on a direct host."""

from collections import abc
import dataclasses
import re

from returns import result

import sycamoreloft_direct
from sycamoreloft_router import (
    _answers,
    _direct_logs,
    _direct_ports,
    _direct_views,
    _headers,
    _request_lines,
)

#: Longest deadline that a caller may send, in milliseconds.
MAXIMUM_DEADLINE_MS = 3_600_000

#: Deadline of a request without a deadline header, in milliseconds.
DEFAULT_DEADLINE_MS = 10_000

#: Milliseconds after which a caller may retry while the host has no desired
#: state, or an older one than other hosts.
STATE_RETRY_AFTER_MS = 400

_IDENTIFIER = re.compile(r"[!-~]{1,200}", re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class DirectRequest:
    """A request with its route."""

    #: HTTP method, as received.
    method: str
    #: Path and query, as received.
    target: str
    #: Route that the host and the path match.
    route: sycamoreloft_direct.Route
    #: Version of the desired state that the route is from.
    version: int
    #: Target service, drawn from the targets of the route.
    service: str
    #: Key of the request, -1 if the service is not sharded.
    key: int
    #: Identifier that the caller sent.
    request_id: str
    #: Milliseconds from the arrival of the headers to the deadline.
    deadline_ms: int
    #: Address of the caller.
    caller: str
    #: Header lines that are forwarded, without those that the router sets.
    header_lines: list[bytes]


class DirectParser:
    """Parses requests, and routes them by the current desired state.

    Args:
        states: The desired state.
        names: Names of headers and paths.
    """

    def __init__(
        self,
        states: _direct_views.StateView,
        names: _direct_ports.HeaderNames,
    ) -> None:
        self._states = states
        self._names = names
        self._replaced_prefixes = tuple(
            f"{name}:".lower().encode("latin1")
            for name in (
                names.deadline_ms,
                names.expected_upstream,
                names.not_executed,
            )
        )
        self._single_prefixes = tuple(
            f"{name}:".lower().encode("latin1")
            for name in (names.request_id, names.key)
        )

    def parse(
        self,
        method: str,
        target: str,
        fields: _headers.RequestFields,
        caller: str,
    ) -> result.Result[DirectRequest, _answers.Refusal]:
        """Parses the head of a request; see `_exchange.RequestParser`."""
        parsed = self._parse_head(method, target, fields, caller)
        if isinstance(parsed, _answers.Refusal):
            state = self._states.state
            _direct_logs.log_rejection(
                fields.values.get(self._names.request_id, ""),
                target,
                state.version if state is not None else 0,
                parsed,
            )
            return result.Failure(parsed)
        return result.Success(parsed)

    def _parse_head(
        self,
        method: str,
        target: str,
        fields: _headers.RequestFields,
        caller: str,
    ) -> DirectRequest | _answers.Refusal:
        state = self._states.state
        if state is None:
            return _answers.Refusal(
                503,
                "no-desired-state",
                "this host has not read the desired state yet",
                "send the request again after the given time",
                retry_after_ms=STATE_RETRY_AFTER_MS,
                allows_fractions=True,
            )
        problem = self._check_head(method, target, fields)
        if problem is not None:
            return problem
        values = fields.values
        route = self._states.routes.find(values.get("Host", ""), target)
        if route is None and self._states.is_behind:
            return _answers.Refusal(
                503,
                "state-behind",
                f"version {state.version} has no route for the host and path,"
                f" and other hosts have version {self._states.peer_version}",
                "send the request again after the given time",
                retry_after_ms=STATE_RETRY_AFTER_MS,
                allows_fractions=True,
            )
        if route is None:
            return _answers.Refusal(
                404,
                "no-route",
                f"version {state.version} has no route for the host and path",
                "check the host and path, or ask the operator for a route",
            )
        service = self._states.routes.choose_target(route)
        key = -1
        if service in state.services and state.services[service].is_sharded:
            key = _parse_number(values.get(self._names.key, ""), -1)
            if not 0 <= key < sycamoreloft_direct.KEY_COUNT:
                return _refuse_header(
                    self._names.key,
                    f"a number from 0 to {sycamoreloft_direct.KEY_COUNT - 1}",
                )
        deadline_ms = _parse_number(
            values.get(self._names.deadline_ms, str(DEFAULT_DEADLINE_MS)), -1
        )
        if not 0 <= deadline_ms <= MAXIMUM_DEADLINE_MS:
            return _refuse_header(
                self._names.deadline_ms, "a number of milliseconds"
            )
        return DirectRequest(
            method,
            target,
            route,
            state.version,
            service,
            key,
            values[self._names.request_id],
            min(deadline_ms, round(route.timeout_s * 1000)),
            caller,
            self._select_lines(fields),
        )

    def _check_head(
        self,
        method: str,
        target: str,
        fields: _headers.RequestFields,
    ) -> _answers.Refusal | None:
        problem = _request_lines.check_start_line(
            method, target, self._names.orders_path
        )
        if problem is not None:
            return problem
        identifier = fields.values.get(self._names.request_id, "")
        if not _IDENTIFIER.fullmatch(identifier):
            return _refuse_header(
                self._names.request_id, "1 to 200 visible characters"
            )
        if fields.repeated or self._has_repeated_line(fields.lines):
            return _answers.Refusal(
                400,
                "repeated-header",
                "a header that the router acts on is there twice",
                "send each of these headers once",
            )
        return None

    def _has_repeated_line(self, lines: abc.Iterable[bytes]) -> bool:
        seen = [
            name
            for line in lines
            for name in self._single_prefixes
            if line[: len(name)].lower() == name
        ]
        return len(seen) != len(set(seen))

    def _select_lines(self, fields: _headers.RequestFields) -> list[bytes]:
        lines = [
            line
            for line in fields.lines
            if not line.lower().startswith(self._replaced_prefixes)
        ]
        host = fields.values.get("Host", "")
        lines.append(f"Host: {host}".encode("latin1"))
        return lines

    def build_lines(
        self, request: DirectRequest, upstream: str, remaining_ms: int
    ) -> list[bytes]:
        """Builds the header lines of one attempt.

        Args:
            request: The request.
            upstream: Identifier of the upstream of the attempt.
            remaining_ms: Milliseconds until the deadline.
        """
        return [
            *request.header_lines,
            f"{self._names.deadline_ms}: {remaining_ms}".encode("latin1"),
            f"{self._names.expected_upstream}: {upstream}".encode("latin1"),
        ]


def _parse_number(text: str, default: int) -> int:
    if text.isascii() and text.isdigit() and len(text) <= 15:
        return int(text)
    return default


def _refuse_header(name: str, expected: str) -> _answers.Refusal:
    return _answers.Refusal(
        400,
        "bad-header",
        f"{name} is missing or malformed",
        f"send {name} with {expected}",
    )
