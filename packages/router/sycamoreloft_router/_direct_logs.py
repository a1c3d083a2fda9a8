"""Log lines about the requests of a direct host."""

from collections import abc
import logging
import random
import typing

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import _answers, _logs, _transfer_types, _transfers

if typing.TYPE_CHECKING:
    # For annotations only: that module imports this one.
    from sycamoreloft_router import _direct_requests

_LOGGER = logging.getLogger(__name__)

#: Maximum length of the identifier and the path of a rejected request in logs.
MAXIMUM_LOGGED_CHARACTERS = 200

#: Of the requests that were served in time, one in this many is logged.
SAMPLE_INTERVAL = 256


def log_failed_attempt(
    request: "_direct_requests.DirectRequest",
    upstream: sycamoreloft_direct.Upstream,
    result: sycamoreloft_load.AttemptResult,
    transfer: _transfers.Transfer | None,
    map_version: tuple[int, int],
    elapsed_s: float,
) -> None:
    """Logs an attempt whose answer was not passed on to the caller.

    Args:
        request: The request.
        upstream: The upstream of the attempt.
        result: How the attempt ended.
        transfer: The transfer; None if it was not started.
        map_version: Epoch and revision of the map of keys.
        elapsed_s: Seconds since the request began.
    """
    failure = transfer.failure if transfer is not None else None
    _logs.log_event(
        _LOGGER,
        logging.WARNING,
        "attempt-failed",
        request=request.request_id,
        upstream=upstream.id,
        address=upstream.address,
        result=result.value,
        status=transfer.head.status if transfer is not None else 0,
        detail=failure.text if failure is not None else "",
        key=request.key,
        map=map_version,
        elapsed_s=round(elapsed_s, 4),
    )


def log_cut_answer(
    request: "_direct_requests.DirectRequest",
    upstream: sycamoreloft_direct.Upstream,
    failure: _transfer_types.Failure,
) -> None:
    """Logs an answer that broke after a part of it was passed on.

    Args:
        request: The request.
        upstream: The upstream that answered.
        failure: Why the answer is incomplete.
    """
    _logs.log_event(
        _LOGGER,
        logging.WARNING,
        "answer-cut",
        request=request.request_id,
        upstream=upstream.id,
        address=upstream.address,
        kind=failure.kind.value,
        detail=failure.text,
    )


def log_rejection(
    request_id: str,
    target: str,
    version: int,
    refusal: _answers.Refusal,
) -> None:
    """Logs a request that was refused because of its head.

    Args:
        request_id: Identifier that the caller sent, not validated.
        target: Path and query.
        version: Version of the desired state, 0 before the first.
        refusal: The answer.
    """
    _logs.log_event(
        _LOGGER,
        logging.WARNING,
        "request-rejected",
        request=request_id[:MAXIMUM_LOGGED_CHARACTERS],
        target=target[:MAXIMUM_LOGGED_CHARACTERS],
        version=version,
        status=refusal.status,
        reason=refusal.reason,
        outcome=refusal.outcome,
    )


def log_request(
    request: "_direct_requests.DirectRequest",
    tried: abc.Sequence[str],
    refusal: _answers.Refusal | None,
    obstacle: str,
    elapsed_s: float,
    generator: random.Random,
) -> None:
    """Logs the end of a request.

    Refused, failed and late requests are all logged, within the rate limit of
    an event; of the other requests only a sample is.

    Args:
        request: The request.
        tried: Identifiers of the upstreams of its attempts.
        refusal: The router's own answer; None if an upstream's answer was
            passed on.
        obstacle: What prevented another attempt; empty if nothing did.
        elapsed_s: Seconds since the request began.
        generator: Draws the sample.
    """
    level, event, extra = logging.INFO, "request-served", {}
    if refusal is not None:
        level, event = logging.WARNING, "request-refused"
        extra = {
            "status": refusal.status,
            "reason": refusal.reason,
            "outcome": refusal.outcome,
            "retry_after_ms": refusal.retry_after_ms,
            "obstacle": obstacle,
        }
    elif elapsed_s > request.route.latency_target_s:
        event = "request-late"
    elif generator.randrange(SAMPLE_INTERVAL):
        return
    _logs.log_event(
        _LOGGER,
        level,
        event,
        request=request.request_id,
        route=request.route.name,
        version=request.version,
        service=request.service,
        key=request.key,
        tried=tried,
        elapsed_s=round(elapsed_s, 4),
        **extra,
    )
