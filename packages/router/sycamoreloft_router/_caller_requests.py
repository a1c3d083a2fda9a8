"""Requests of callers: parsing, names, fingerprint."""

from collections import abc
import dataclasses
import hashlib
import typing

from returns import result

import sycamoreloft_config
from sycamoreloft_router import (
    _answers,
    _headers,
    _permit_ports,
    _request_lines,
)

#: Longest deadline that a caller may set, in milliseconds.
MAXIMUM_DEADLINE_MS = 3_600_000

#: Longest key and request id, in bytes.
MAXIMUM_KEY_BYTES = 1_024

#: Characters of a caller's name that count; holders keep a queue by name.
MAXIMUM_CALLER = 128

#: Names that are kept resolved.
MAXIMUM_CACHED_NAMES = 4_096

#: Start of the paths that belong to the upstream protocol.
_RESERVED_PATH = "/_sycamoreloft"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request whose names are resolved."""

    #: HTTP method.
    method: str
    #: Path and query, as received.
    target: str
    #: Generation under which the names were resolved.
    generation: sycamoreloft_config.Generation
    #: Identity of the service.
    reference: sycamoreloft_config.ServiceReference
    #: The service.
    service: sycamoreloft_config.Service
    #: Rules of the operation.
    operation: sycamoreloft_config.Operation
    #: Key, empty for an unkeyed service.
    key: str
    #: Partition of the key, -1 for an unkeyed service.
    partition: int
    #: Time from the headers to the deadline, in milliseconds.
    deadline_ms: int
    #: Caller, for fairness.
    caller: str
    #: Request id, empty if there is none.
    request_id: str
    #: Header lines that are sent on.
    header_lines: list[bytes]


class RequestParser:
    """Parses requests against the generation in force.

    Args:
        names: The generation in force.
    """

    def __init__(self, names: _permit_ports.NameSource) -> None:
        self._names = names
        self._generation = names.generation
        self._cache: dict[
            tuple[str, str],
            tuple[
                sycamoreloft_config.ServiceReference,
                sycamoreloft_config.Service,
            ],
        ] = {}

    def parse(
        self,
        method: str,
        target: str,
        fields: _headers.RequestFields,
        caller: str,
    ) -> result.Result[CallerRequest, _answers.Refusal]:
        """Parses the head of a request.

        Args:
            method: HTTP method.
            target: Path and query.
            fields: Headers of the caller.
            caller: Address of the caller, used if it gives no name.
        """
        problem = _request_lines.check_start_line(
            method, target, _RESERVED_PATH
        ) or _check_headers(fields)
        headers = fields.values
        if problem is not None:
            return result.Failure(problem)
        found = self._find_service(headers)
        if isinstance(found, _answers.Refusal):
            return result.Failure(found)
        reference, service = found
        operation = sycamoreloft_config.match_operation(service, method, target)
        key = _read_key(headers, service)
        if isinstance(key, _answers.Refusal):
            return result.Failure(key)
        deadline_ms = _read_deadline(headers, service)
        if isinstance(deadline_ms, _answers.Refusal):
            return result.Failure(deadline_ms)
        request_id = headers.get(_headers.REQUEST_ID, "")
        if operation.at_most_once and not request_id:
            return result.Failure(_refuse_missing_id(method, target))
        partition = -1
        if service.keyed:
            partition = sycamoreloft_config.compute_partition(
                reference.fleet, reference.service, key, service.partitions
            )
        return result.Success(
            CallerRequest(
                method,
                target,
                self._generation,
                reference,
                service,
                operation,
                key,
                partition,
                deadline_ms,
                (headers.get(_headers.CALLER, "") or caller)[:MAXIMUM_CALLER],
                request_id,
                fields.lines,
            )
        )

    def resolve_names_again(
        self, request: CallerRequest, fields: _headers.RequestFields
    ) -> result.Result[CallerRequest, _answers.Refusal]:
        """Resolves the names of a request under a newer generation."""
        return self.parse(
            request.method, request.target, fields, request.caller
        )

    def _find_service(
        self, headers: abc.Mapping[str, str]
    ) -> (
        tuple[sycamoreloft_config.ServiceReference, sycamoreloft_config.Service]
        | _answers.Refusal
    ):
        generation = self._names.generation
        if generation is not self._generation:
            self._generation = generation
            self._cache.clear()
        fleet = headers.get(_headers.FLEET, "")
        service = headers.get(_headers.SERVICE, "")
        known = self._cache.get((fleet, service))
        if known is not None:
            return known
        if not service:
            return _answers.Refusal(
                400,
                "missing-service",
                "the request names no service",
                f"name the service in {_headers.SERVICE}",
            )
        match self._names.resolve_service(fleet, service):
            case result.Success(reference):
                node = generation.fleets[reference.fleet].services[
                    reference.service
                ]
                if len(self._cache) < MAXIMUM_CACHED_NAMES:
                    self._cache[(fleet, service)] = (reference, node)
                return reference, node
            case result.Failure(problem):
                return _answers.Refusal(
                    400, problem.reason, problem.problem, problem.remedy
                )
            case _:
                raise TypeError("resolve_service returned no Result")


def compute_fingerprint(
    request: CallerRequest, length: int, prefix: bytes
) -> bytes:
    """Hashes what tells requests apart, to 16 bytes.

    Args:
        request: The request.
        length: Length of the body, -1 if unknown.
        prefix: Start of the body.
    """
    names = "\0".join(
        (
            request.reference.fleet,
            request.reference.service,
            request.method,
            request.target,
            request.key,
            str(length),
        )
    )
    digest = hashlib.sha256(names.encode("utf-8", "surrogateescape"))
    digest.update(b"\0")
    digest.update(prefix)
    return digest.digest()[:16]


def _check_headers(fields: _headers.RequestFields) -> _answers.Refusal | None:
    repeated = fields.repeated
    if repeated:
        return _answers.Refusal(
            400,
            "repeated-header",
            f"the request has several {repeated} headers",
            f"send {repeated} once",
        )
    if len(fields.values.get(_headers.REQUEST_ID, "")) > MAXIMUM_KEY_BYTES:
        return _refuse_long(_headers.REQUEST_ID)
    return None


def _refuse_long(name: str) -> _answers.Refusal:
    return _answers.Refusal(
        400,
        "long-header",
        f"{name} is longer than {MAXIMUM_KEY_BYTES} bytes",
        f"send a shorter {name}",
    )


def _refuse_missing_id(method: str, target: str) -> _answers.Refusal:
    return _answers.Refusal(
        400,
        "missing-request-id",
        f"{method} {target[:80]} runs at most once and needs a request id",
        f"send a unique {_headers.REQUEST_ID}, and the same one on a retry",
    )


def _read_key(
    headers: abc.Mapping[str, str], service: sycamoreloft_config.Service
) -> str | _answers.Refusal:
    if not service.keyed:
        return ""
    raw = headers.get(_headers.KEY, "").encode("latin1")
    if not raw:
        return _answers.Refusal(
            400,
            "missing-key",
            f"the service {service.name!r} is keyed and needs a key",
            f"send the key in {_headers.KEY}",
        )
    if len(raw) > MAXIMUM_KEY_BYTES:
        return _refuse_long(_headers.KEY)
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError:
        return _answers.Refusal(
            400,
            "bad-key",
            f"{_headers.KEY} is not valid UTF-8",
            "encode the key as UTF-8",
        )


def _read_deadline(
    headers: abc.Mapping[str, str], service: sycamoreloft_config.Service
) -> int | _answers.Refusal:
    text = headers.get(_headers.DEADLINE)
    if text is None:
        return service.deadline_ms
    if text.isascii() and text.isdigit() and len(text) <= 7:
        value = int(text)
        if 1 <= value <= MAXIMUM_DEADLINE_MS:
            return value
    return _answers.Refusal(
        400,
        "bad-deadline",
        f"{_headers.DEADLINE} is not a number of milliseconds from 1 to"
        f" {MAXIMUM_DEADLINE_MS}",
        "send the time that the request may take, in whole milliseconds",
    )


def build_upstream_lines(
    request: CallerRequest,
    group: str,
    epoch: int,
    fence: int,
    remaining_ms: int,
    attempt: str,
) -> typing.Sequence[bytes]:
    """Lists all header lines of one attempt."""
    lines = [
        *request.header_lines,
        f"Sycamoreloft-Group: {group}".encode(),
        b"Sycamoreloft-Epoch: %d" % epoch,
        f"Sycamoreloft-Service: {request.reference.service}".encode(),
        b"Sycamoreloft-Deadline-Ms: %d" % remaining_ms,
        b"Sycamoreloft-Attempt: " + attempt.encode(),
    ]
    if request.service.keyed:
        lines.append(b"Sycamoreloft-Key: " + request.key.encode())
        lines.append(b"Sycamoreloft-Partition: %d" % request.partition)
        lines.append(b"Sycamoreloft-Fence: %d" % fence)
    return lines
