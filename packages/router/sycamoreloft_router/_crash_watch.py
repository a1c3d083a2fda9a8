"""Watches whether one request crashes the upstreams that begin to run it."""

import logging

import sycamoreloft_direct
from sycamoreloft_router import (
    _direct_requests,
    _direct_services,
    _exchange,
    _logs,
    _transfers,
)

_LOGGER = logging.getLogger(__name__)

_RESULT = sycamoreloft_direct.AttemptResult


class CrashWatch:
    """Tells the guard of the process how the attempts of a request ended.

    Args:
        services: What all requests share.
        request: The request.
        received: Its body.
    """

    __slots__ = ("_received", "_request", "_services")

    def __init__(
        self,
        services: _direct_services.DirectServices,
        request: _direct_requests.DirectRequest,
        received: _exchange.ReceivedRequest,
    ) -> None:
        self._services = services
        self._request = request
        self._received = received

    def is_stopped(self) -> bool:
        """Tells whether the request must not be sent any more."""
        guard = self._services.guard
        return not guard.is_idle and guard.is_stopped(
            self._identify(), self._services.loop.time()
        )

    def take(
        self,
        result: sycamoreloft_direct.AttemptResult,
        transfer: _transfers.Transfer | None,
        now: float,
    ) -> None:
        """Takes how an attempt ended.

        An answer that is cut short or malformed is no crash: the upstream was
        there to send it.

        Args:
            result: How it ended.
            transfer: The transfer, if it began.
            now: Time, in seconds.
        """
        guard = self._services.guard
        if result is _RESULT.BROKEN:
            if transfer is not None and transfer.head.status == 0:
                self._note_crash(now)
        elif result in (_RESULT.ANSWERED, _RESULT.FAILED) and not guard.is_idle:
            guard.record_answer(self._identify())

    def _note_crash(self, now: float) -> None:
        fingerprint = self._identify()
        guard = self._services.guard
        guard.record_crash(fingerprint, now)
        _logs.log_event(
            _LOGGER,
            logging.WARNING,
            "crash-suspected",
            request=self._request.request_id,
            fingerprint=f"{fingerprint:016x}",
            crashes=guard.list_own_crashes(now).get(fingerprint, 0),
            quarantined=guard.is_stopped(fingerprint, now),
        )

    def _identify(self) -> int:
        return sycamoreloft_direct.identify_request(
            self._request.method,
            self._request.target,
            self._request.caller,
            self._received.prefix,
        )
