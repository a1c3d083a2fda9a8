"""Requests of callers: parsing, resolving names, and fingerprints."""

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

#: Maximum deadline that a caller may set, in milliseconds.
MAXIMUM_DEADLINE_MS = 3_600_000

#: Maximum length of a key and of a request id, in bytes.
MAXIMUM_KEY_BYTES = 1_024

#: Length to which the name of a caller is cut, in characters. It bounds the
#: memory of holders, which keep a queue for each name.
MAXIMUM_CALLER_CHARACTERS = 128

#: Maximum number of resolved names in the cache.
MAXIMUM_CACHED_NAMES = 4_096

#: Prefix of the paths that are reserved for the upstream protocol.
_RESERVED_PATH = "/_sycamoreloft"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A parsed request, with its names resolved."""

    #: HTTP method, in upper case.
    method: str
    #: Path and query, as received.
    target: str
    #: Generation under which the names were resolved.
    generation: sycamoreloft_config.Generation
    #: Identity of the service, after aliases are resolved.
    reference: sycamoreloft_config.ServiceReference
    #: The service, as in `generation`.
    service: sycamoreloft_config.Service
    #: Rule of the service that matches method and path.
    operation: sycamoreloft_config.Operation
    #: Key that selects the owner; empty for an unkeyed service.
    key: str
    #: Partition of the key; -1 for an unkeyed service.
    partition: int
    #: Time from receiving the headers to the deadline, in milliseconds.
    deadline_ms: int
    #: Name or IP address of the caller; holders share slots fairly between
    #: callers.
    caller: str
    #: Request id that the caller sent; empty if there is none.
    request_id: str
    #: Header lines to forward, without line ends.
    header_lines: list[bytes]


class RequestParser:
    """Parses requests against the generation in force.

    Args:
        names: Provides the generation in force.
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
            caller: IP address of the caller, which stands for its name if the
                request has none.

        Returns:
            The request, or the answer to a request that is refused.
        """
        problem = _request_lines.check_start_line(
            method, target, _RESERVED_PATH
        ) or _check_headers(fields)
        headers = fields.values
        if problem is not None:
            return result.Failure(problem)
        resolved = self._resolve_service(headers)
        if isinstance(resolved, _answers.Refusal):
            return result.Failure(resolved)
        reference, service = resolved
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
                (headers.get(_headers.CALLER, "") or caller)[
                    :MAXIMUM_CALLER_CHARACTERS
                ],
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

    def _resolve_service(
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
        cached = self._cache.get((fleet, service))
        if cached is not None:
            return cached
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
    """Hashes the content of a request to 16 bytes.

    Args:
        request: The request.
        length: Length of the body, in bytes; -1 if unknown.
        prefix: First bytes of the body. The rest does not count, because a
            long body is not buffered.
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
    """Builds all header lines of one attempt.

    Args:
        request: The request.
        group: Name of the group that issued the permit.
        epoch: Epoch of the holder of the group.
        fence: Fencing token of the owner; sent for keyed services only.
        remaining_ms: Time until the deadline, in milliseconds.
        attempt: Identifier of the attempt.
    """
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
