"""Infers why a request failed from the log lines of all hosts."""

from collections import abc
import dataclasses

from sycamoreloft_ctl import _log_lines, _request_causes

_CAUSE = _request_causes.Cause
_Line = _log_lines.LogLine

#: Lines about a request's upstreams, key and host are related to it from
#: CONTEXT_BEFORE_S before its first line to CONTEXT_AFTER_S after its last
#: one. This covers a lease of keys and the time to detect a lost upstream.
CONTEXT_BEFORE_S = 15.0
CONTEXT_AFTER_S = 6.0

#: Refusals of the same service this long before or after a refusal are
#: compared with it; also the tolerance when the order of events matters.
COMPARISON_WINDOW_S = 2.0

#: A new coordinator renews the keys of all upstreams that answer within this
#: time.
TAKEOVER_S = 3.0

#: A key is hot if at least this share of the compared refusals is for it.
HOT_KEY_SHARE = 0.4
#: Minimum number of refusals for a key to count as hot.
MINIMUM_HOT_KEY_REFUSALS = 3

#: Events about the state of a host or a coordinator.
_STATE_EVENTS = frozenset(
    (
        "coordinator-began",
        "coordinator-ended",
        "coordinator-resigned",
        "desired-state-applied",
        "epoch-followed",
        "history-lost",
        "host-started",
        "host-stopping",
        "host-stopped",
        "store-lost",
        "store-regained",
        "table-behind",
    )
)

#: Events about a range of keys.
_RANGE_EVENTS = frozenset(
    ("grant-failed", "keys-moved", "owner-changed", "release-failed")
)

#: Words in the detail of an attempt that indicate a broken connection. A
#: detail without them is about an invalid answer.
_CONNECTION_ERROR_WORDS = (
    "recv",
    "send",
    "connect",
    "reset",
    "closed",
    "empty",
    "timed",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Diagnosis:
    """Cause of a request's failure and the log lines about it."""

    #: Identifier of the request.
    request: str
    #: Lines that name the request, in order of time.
    request_lines: abc.Sequence[_Line]
    #: Other lines near it in time about its upstreams, its key and its host.
    related_lines: abc.Sequence[_Line]
    #: NOT_FOUND if no line names the request.
    cause: _request_causes.Cause
    #: What the cause was inferred from, empty if not found.
    evidence: str


def diagnose(request: str, lines: abc.Sequence[_Line]) -> Diagnosis:
    """Diagnoses a request.

    Args:
        request: Identifier of the request.
        lines: Lines of all hosts in order of time.
    """
    request_lines = [
        line for line in lines if line.fields.get("request") == request
    ]
    if not request_lines:
        return Diagnosis(request, (), (), _CAUSE.NOT_FOUND, "")
    nearby_lines = [
        line
        for line in lines
        if request_lines[0].time_s - CONTEXT_BEFORE_S
        < line.time_s
        < request_lines[-1].time_s + CONTEXT_AFTER_S
    ]
    finder = _CauseFinder(request_lines, nearby_lines)
    cause, evidence = finder.find_cause()
    return Diagnosis(
        request, request_lines, finder.list_related_lines(), cause, evidence
    )


class _CauseFinder:
    """Infers the cause of one request's failure.

    Args:
        request_lines: Lines that name the request, at least one.
        nearby_lines: Lines of all hosts near the request in time.
    """

    def __init__(
        self,
        request_lines: abc.Sequence[_Line],
        nearby_lines: abc.Sequence[_Line],
    ) -> None:
        self._request_lines = request_lines
        self._nearby_lines = nearby_lines
        self._attempts = [
            line for line in request_lines if line.event == "attempt-failed"
        ]
        self._final_line = next(
            (
                line
                for line in reversed(request_lines)
                if line.event.startswith("request-")
            ),
            None,
        )
        last = self._final_line or request_lines[-1]
        self._time_s = last.time_s
        self._host = last.host
        self._service = last.get_text("service")
        self._key = int(last.get_number("key", -1))
        self._upstreams = {
            line.get_text("upstream")
            for line in request_lines
            if line.get_text("upstream")
        }
        if self._final_line is not None:
            tried = self._final_line.fields.get("tried")
            self._upstreams |= set(tried if isinstance(tried, list) else ())

    def find_cause(self) -> tuple[_request_causes.Cause, str]:
        """Returns the cause and the evidence for it."""
        final_line = self._final_line
        if final_line is None:
            return self._classify_unfinished()
        if final_line.event == "request-rejected":
            lacks_state = final_line.get_text("reason") == "no-desired-state"
            cause = _CAUSE.NO_STATE if lacks_state else _CAUSE.BAD_REQUEST
            return cause, f"reason {final_line.get_text('reason')}"
        if final_line.event in ("request-late", "request-served"):
            if self._attempts:
                return self._classify_attempt(self._attempts[-1])
            is_late = final_line.event == "request-late"
            return (
                _CAUSE.LATE if is_late else _CAUSE.SERVED,
                f"{final_line.event} after"
                f" {final_line.get_text('elapsed_s')} s",
            )
        return self._classify_refusal(final_line.get_text("reason"))

    def list_related_lines(self) -> list[_Line]:
        """Returns other lines near the request that are related to it."""
        return [
            line
            for line in self._nearby_lines
            if line not in self._request_lines and self._is_related(line)
        ]

    def _is_related(self, line: _Line) -> bool:
        if line.event in ("upstream-gone", "upstream-listed"):
            return (
                line.host == self._host
                and line.get_text("upstream") in self._upstreams
            )
        if line.event in _RANGE_EVENTS:
            return self._covers_key(line)
        if line.event.startswith("coordinator-"):
            return True
        return line.event in _STATE_EVENTS and line.host == self._host

    # Classification by the last line, the refusal or the attempt.

    def _classify_unfinished(self) -> tuple[_request_causes.Cause, str]:
        """Classifies a request without a line of the host about its end.

        Either the answer of an upstream was passed on, or the host stopped.
        """
        stop = self._find_latest("host-stopped", "host-started")
        last = self._request_lines[-1]
        if last.event == "attempt-failed" and last.get_text("result") in (
            "failed",
            "silent",
        ):
            return self._classify_attempt(last)
        if stop is not None and stop.host == self._host:
            return _CAUSE.HOST_STOPPED, f"{stop.event} of {stop.host}"
        return self._classify_attempt(last)

    def _classify_refusal(
        self, reason: str
    ) -> tuple[_request_causes.Cause, str]:
        causes_by_reason = {
            "caller-gone": _CAUSE.CALLER_LEFT,
            "no-desired-state": _CAUSE.NO_STATE,
            "no-upstream": _CAUSE.NO_UPSTREAM,
            "evacuated": _CAUSE.EVACUATED,
            "owner-cold": _CAUSE.UPSTREAM_COLD,
            "owner-paused": _CAUSE.UPSTREAM_PAUSED,
            "owner-replaced": _CAUSE.ADDRESS_REUSED,
            "quarantined": _CAUSE.QUARANTINED,
            "upstreams-cold": _CAUSE.UPSTREAM_COLD,
            "upstreams-paused": _CAUSE.UPSTREAM_PAUSED,
            "withdrawn": _CAUSE.UPSTREAM_PAUSED,
        }
        if reason in causes_by_reason:
            return causes_by_reason[reason], f"reason {reason}"
        if reason in ("no-owner", "upstream-refused-421"):
            return self._classify_missing_owner(reason)
        if reason in ("owner-full", "owner-silent", "deadline"):
            return self._classify_silence(reason)
        if reason.startswith("upstream-refused-"):
            return self._classify_overload(reason)
        if self._attempts:
            return self._classify_attempt(self._attempts[-1])
        return self._classify_silence(reason)

    def _classify_attempt(
        self, attempt: _Line
    ) -> tuple[_request_causes.Cause, str]:
        result = attempt.get_text("result")
        upstream = attempt.get_text("upstream")
        detail = attempt.get_text("detail")
        evidence = f"attempt at {upstream}: {result} {detail}".strip()
        if result == "failed":
            return (
                _CAUSE.UPSTREAM_FAILED,
                f"{evidence}, status {attempt.get_text('status')}",
            )
        if result == "replaced":
            return _CAUSE.ADDRESS_REUSED, evidence
        if result == "refused":
            if int(attempt.get_number("status")) == 421:
                return self._classify_missing_owner(evidence)
            return self._classify_overload(evidence)
        if result == "silent":
            return self._classify_silence(evidence)
        if self._is_upstream_gone(upstream):
            return _CAUSE.UPSTREAM_LOST, f"{evidence}; upstream-gone"
        if result == "unreachable":
            return _CAUSE.UPSTREAM_LOST, evidence
        is_connection_error = any(
            word in detail.lower() for word in _CONNECTION_ERROR_WORDS
        )
        status = int(attempt.get_number("status"))
        if is_connection_error and status == 0:
            return _CAUSE.CONNECTION_BROKE, evidence
        return _CAUSE.ANSWER_SPOILED, evidence

    def _classify_overload(
        self, reason: str
    ) -> tuple[_request_causes.Cause, str]:
        if self._key < 0:
            return _CAUSE.SERVICE_FULL, reason
        is_hot, evidence = self._check_hot_key()
        if is_hot:
            return _CAUSE.HOT_KEY, f"{reason}; {evidence}"
        return _CAUSE.OWNER_FULL, f"{reason}; {evidence}"

    def _classify_silence(
        self, reason: str
    ) -> tuple[_request_causes.Cause, str]:
        lost_upstreams = [
            name for name in self._upstreams if self._is_upstream_gone(name)
        ]
        if lost_upstreams:
            return (
                _CAUSE.UPSTREAM_LOST,
                f"{reason}; upstream-gone {lost_upstreams[0]}",
            )
        if self._key >= 0:
            is_hot, evidence = self._check_hot_key()
            if is_hot:
                return _CAUSE.HOT_KEY, f"{reason}; {evidence}"
            failed_grant = self._find_failed_grant()
            if failed_grant is not None:
                return (
                    _CAUSE.OWNER_UNREACHABLE,
                    f"{reason}; grant-failed"
                    f" {failed_grant.get_text('upstream')}",
                )
            if reason == "owner-full":
                return _CAUSE.OWNER_FULL, f"{reason}; {evidence}"
        return _CAUSE.UPSTREAM_SILENT, reason

    def _classify_missing_owner(
        self, reason: str
    ) -> tuple[_request_causes.Cause, str]:
        failed_grant = self._find_failed_grant()
        if failed_grant is not None:
            upstream = failed_grant.get_text("upstream")
            if self._is_upstream_gone(upstream):
                return _CAUSE.UPSTREAM_LOST, f"{reason}; {upstream} is gone"
            return (
                _CAUSE.OWNER_UNREACHABLE,
                f"{reason}; grant-failed {upstream}",
            )
        lost_upstreams = [
            name for name in self._upstreams if self._is_upstream_gone(name)
        ]
        if lost_upstreams:
            return (
                _CAUSE.UPSTREAM_LOST,
                f"{reason}; upstream-gone {lost_upstreams[0]}",
            )
        leaving = self._find_latest("upstream-leaving")
        if leaving is not None and leaving.get_text("upstream") in (
            self._upstreams
        ):
            return (
                _CAUSE.UPSTREAM_LEFT,
                f"{reason}; upstream-leaving {leaving.get_text('upstream')}",
            )
        takeover = self._find_latest("coordinator-began")
        if takeover is not None and takeover.time_s > self._time_s - TAKEOVER_S:
            return (
                _CAUSE.COORDINATOR_CHANGED,
                f"{reason}; coordinator-began on {takeover.host}",
            )
        return _CAUSE.KEY_MOVED, reason

    # Evidence in the lines near the request.

    def _find_latest(self, *events: str) -> _Line | None:
        return next(
            (
                line
                for line in reversed(self._nearby_lines)
                if line.event in events
                and line.time_s < self._time_s + COMPARISON_WINDOW_S
            ),
            None,
        )

    def _find_failed_grant(self) -> _Line | None:
        return next(
            (
                line
                for line in reversed(self._nearby_lines)
                if line.event == "grant-failed"
                and self._covers_key(line)
                and line.time_s < self._time_s + COMPARISON_WINDOW_S
            ),
            None,
        )

    def _covers_key(self, line: _Line) -> bool:
        return (
            self._key >= 0
            and line.get_text("service") == self._service
            and line.get_number("first")
            <= self._key
            <= line.get_number("last", -1)
        )

    def _is_upstream_gone(self, upstream: str) -> bool:
        return any(
            line.event == "upstream-gone"
            and line.get_text("upstream") == upstream
            and line.time_s
            > self._request_lines[0].time_s - COMPARISON_WINDOW_S
            for line in self._nearby_lines
        )

    def _check_hot_key(self) -> tuple[bool, str]:
        """Returns whether the key is hot, with the counts of refusals."""
        keys = [
            int(line.get_number("key", -1))
            for line in self._nearby_lines
            if line.event == "request-refused"
            and line.get_text("service") == self._service
            and abs(line.time_s - self._time_s) < COMPARISON_WINDOW_S
        ]
        count = keys.count(self._key)
        is_hot = (
            count >= MINIMUM_HOT_KEY_REFUSALS
            and count >= HOT_KEY_SHARE * len(keys)
        )
        return (
            is_hot,
            f"{count} of {len(keys)} refusals around are for key {self._key}",
        )
