"""Detects requests that crash the upstreams that run them."""

import logging

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _direct_logs,
    _direct_requests,
    _direct_services,
    _exchange,
    _logs,
    _transfers,
)

_LOGGER = logging.getLogger(__name__)

_RESULT = sycamoreloft_load.AttemptResult


class CrashWatch:
    """Reports the attempts of one request to the process's crash guard.

    Args:
        services: Objects that all requests share.
        request: The request.
        received: Body of the request.
    """

    __slots__ = (
        "_identities",
        "_received",
        "_request",
        "_reset_upstreams",
        "_services",
    )

    def __init__(
        self,
        services: _direct_services.DirectServices,
        request: _direct_requests.DirectRequest,
        received: _exchange.ReceivedRequest,
    ) -> None:
        self._services = services
        self._request = request
        self._received = received
        self._identities: tuple[int, ...] = ()
        # Identifiers of the upstreams that reset the request.
        self._reset_upstreams: set[str] = set()

    def is_stopped(self) -> bool:
        """Returns whether the request must not be sent to an upstream."""
        guard = self._services.guard
        return not guard.is_idle and guard.is_stopped(
            self._identify(), self._services.loop.time()
        )

    def record_result(
        self,
        result: sycamoreloft_load.AttemptResult,
        transfer: _transfers.Transfer | None,
        upstream: str,
        started_at: float,
        now: float,
    ) -> None:
        """Records the result of an attempt.

        A truncated or malformed answer does not count as a crash, since the
        upstream lived to send it. An error answer does not clear a request: the
        upstream may have ended it at its deadline, before the crash. Only the
        same run gets a request again after a reset, so an upstream that resets
        it again is full and did not crash.

        Args:
            result: How the attempt ended.
            transfer: The transfer; None if it was not started.
            upstream: Identifier of the upstream.
            started_at: When the attempt began, in seconds.
            now: Time on the clock of the event loop, in seconds.
        """
        if result is _RESULT.RESET:
            if upstream in self._reset_upstreams:
                return
            self._reset_upstreams.add(upstream)
        guard, request = self._services.guard, self._request
        paths = self._services.answered_paths
        if result is _RESULT.ANSWERED:
            paths.record(request.method, request.target, now)
            if not guard.is_idle:
                guard.record_answer(self._identify(), now)
        elif (
            result in (_RESULT.BROKEN, _RESULT.RESET)
            and transfer is not None
            and transfer.head.status == 0
        ):
            is_path_in_use = paths.contains(request.method, request.target, now)
            identities = self._identify()[: 1 if is_path_in_use else None]
            guard.record_crash(identities, started_at, now)
            self._log_crash(identities, upstream, now)

    def _log_crash(
        self, identities: tuple[int, ...], upstream: str, now: float
    ) -> None:
        guard = self._services.guard
        _logs.log_event(
            _LOGGER,
            logging.WARNING,
            "crash-suspected",
            request=self._request.request_id,
            fingerprints=[f"{item:016x}" for item in identities],
            upstream=upstream,
            method=self._request.method,
            target=self._request.target[
                : _direct_logs.MAXIMUM_LOGGED_CHARACTERS
            ],
            caller=self._request.caller,
            key=self._request.key,
            body_bytes=len(self._received.prefix),
            crashes=[guard.count_crashes(item, now) for item in identities],
            quarantined=guard.is_stopped(identities, now),
        )

    def _identify(self) -> tuple[int, ...]:
        """Returns the identities of the request; computed once, if needed."""
        if not self._identities:
            self._identities = sycamoreloft_direct.identify_request(
                self._request.method,
                self._request.target,
                self._request.caller,
                self._received.prefix,
            )
        return self._identities
