"""Follows one request through the log lines of all hosts to its cause."""

from collections import abc
import dataclasses

from sycamoreloft_ctl import _log_lines, _request_causes

_CAUSE = _request_causes.Cause
_Line = _log_lines.LogLine

#: Seconds around a request in which lines about its upstreams, its key and
#: its hosts belong to it: a lease of keys and the time to notice a loss.
BEFORE_S = 15.0
AFTER_S = 6.0

#: Seconds around a refusal in which others of its service are compared.
COMPARE_S = 2.0

#: Seconds after the start of a coordinator within which it renews the keys of
#: all upstreams that answer.
TAKEOVER_S = 3.0

#: Share of them for one key that makes the key hot, and the least number.
HOT_SHARE = 0.4
LEAST_HOT = 3

#: Events that tell of a host's or a coordinator's state.
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

#: Events that tell of a range of keys.
_RANGE_EVENTS = frozenset(
    ("grant-failed", "keys-moved", "owner-changed", "release-failed")
)

#: Words in the detail of an attempt that tell of a broken connection; others
#: tell of an answer that was not valid.
_BREAK_WORDS = ("recv", "send", "connect", "reset", "closed", "empty", "timed")


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """What is known of one request."""

    #: Identifier of the request.
    request: str
    #: Lines that name the request, in the order of time.
    own: abc.Sequence[_Line]
    #: Lines around it about its upstreams, its key and its hosts.
    around: abc.Sequence[_Line]
    #: Why it was not served in time.
    cause: _request_causes.Cause
    #: What the cause was inferred from.
    evidence: str


def tell(request: str, lines: abc.Sequence[_Line]) -> Story:
    """Finds what touched a request, and the cause of its failure.

    Args:
        request: Identifier of the request.
        lines: Lines of all hosts in the order of time.
    """
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return Story(request, (), (), _CAUSE.NOT_FOUND, "")
    near = [
        line
        for line in lines
        if own[0].time_s - BEFORE_S < line.time_s < own[-1].time_s + AFTER_S
    ]
    finder = _Finder(own, near)
    cause, evidence = finder.find()
    return Story(request, own, finder.list_around(), cause, evidence)


class _Finder:
    """Finds the cause of one request.

    Args:
        own: Its lines, at least one.
        near: Lines of all hosts around it.
    """

    def __init__(
        self, own: abc.Sequence[_Line], near: abc.Sequence[_Line]
    ) -> None:
        self._own = own
        self._near = near
        self._attempts = [x for x in own if x.event == "attempt-failed"]
        self._end = next(
            (x for x in reversed(own) if x.event.startswith("request-")), None
        )
        last = self._end or own[-1]
        self._time_s = last.time_s
        self._host = last.host
        self._service = last.get_text("service")
        self._key = int(last.get_number("key", -1))
        self._upstreams = {
            x.get_text("upstream") for x in own if x.get_text("upstream")
        }
        if self._end is not None:
            tried = self._end.fields.get("tried")
            self._upstreams |= set(tried if isinstance(tried, list) else ())

    def find(self) -> tuple[_request_causes.Cause, str]:
        """Returns the cause, and what it was inferred from."""
        end = self._end
        if end is None:
            return self._judge_without_end()
        if end.event == "request-rejected":
            is_early = end.get_text("reason") == "no-desired-state"
            cause = _CAUSE.NO_STATE if is_early else _CAUSE.BAD_REQUEST
            return cause, f"reason {end.get_text('reason')}"
        if end.event in ("request-late", "request-served"):
            if self._attempts:
                return self._judge_attempt(self._attempts[-1])
            is_late = end.event == "request-late"
            return (
                _CAUSE.LATE if is_late else _CAUSE.SERVED,
                f"{end.event} after {end.get_text('elapsed_s')} s",
            )
        return self._judge_refusal(end.get_text("reason"))

    def list_around(self) -> list[_Line]:
        """Returns the lines around the request that belong to it."""
        return [
            line
            for line in self._near
            if line not in self._own and self._belongs(line)
        ]

    def _belongs(self, line: _Line) -> bool:
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

    # Judging.

    def _judge_without_end(self) -> tuple[_request_causes.Cause, str]:
        """Judges a request whose answer was an upstream's, or lost."""
        stop = self._find_near("host-stopped", "host-started")
        last = self._own[-1]
        if last.event == "attempt-failed" and last.get_text("result") in (
            "failed",
            "silent",
        ):
            return self._judge_attempt(last)
        if stop is not None and stop.host == self._host:
            return _CAUSE.HOST_STOPPED, f"{stop.event} of {stop.host}"
        return self._judge_attempt(last)

    def _judge_refusal(self, reason: str) -> tuple[_request_causes.Cause, str]:
        fixed = {
            "caller-gone": _CAUSE.CALLER_LEFT,
            "no-desired-state": _CAUSE.NO_STATE,
            "no-upstream": _CAUSE.NO_UPSTREAM,
            "owner-replaced": _CAUSE.ADDRESS_REUSED,
            "quarantined": _CAUSE.QUARANTINED,
        }
        if reason in fixed:
            return fixed[reason], f"reason {reason}"
        if reason in ("no-owner", "upstream-refused-421"):
            return self._judge_missing_owner(reason)
        if reason in ("owner-full", "owner-silent", "deadline"):
            return self._judge_silence(reason)
        if reason.startswith("upstream-refused-"):
            return self._judge_full(reason)
        if self._attempts:
            return self._judge_attempt(self._attempts[-1])
        return self._judge_silence(reason)

    def _judge_attempt(
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
                return self._judge_missing_owner(evidence)
            return self._judge_full(evidence)
        if result == "silent":
            return self._judge_silence(evidence)
        if self._is_gone(upstream):
            return _CAUSE.UPSTREAM_LOST, f"{evidence}; upstream-gone"
        if result == "unreachable":
            return _CAUSE.UPSTREAM_LOST, evidence
        is_break = any(word in detail.lower() for word in _BREAK_WORDS)
        status = int(attempt.get_number("status"))
        if is_break and status == 0:
            return _CAUSE.CONNECTION_BROKE, evidence
        return _CAUSE.ANSWER_SPOILED, evidence

    def _judge_full(self, reason: str) -> tuple[_request_causes.Cause, str]:
        if self._key < 0:
            return _CAUSE.SERVICE_FULL, reason
        hot, evidence = self._weigh_key()
        if hot:
            return _CAUSE.HOT_KEY, f"{reason}; {evidence}"
        return _CAUSE.OWNER_FULL, f"{reason}; {evidence}"

    def _judge_silence(self, reason: str) -> tuple[_request_causes.Cause, str]:
        lost = [name for name in self._upstreams if self._is_gone(name)]
        if lost:
            return _CAUSE.UPSTREAM_LOST, f"{reason}; upstream-gone {lost[0]}"
        if self._key >= 0:
            hot, evidence = self._weigh_key()
            if hot:
                return _CAUSE.HOT_KEY, f"{reason}; {evidence}"
            refused = self._find_failed_grant()
            if refused is not None:
                return (
                    _CAUSE.OWNER_UNREACHABLE,
                    f"{reason}; grant-failed {refused.get_text('upstream')}",
                )
            if reason == "owner-full":
                return _CAUSE.OWNER_FULL, f"{reason}; {evidence}"
        return _CAUSE.UPSTREAM_SILENT, reason

    def _judge_missing_owner(
        self, reason: str
    ) -> tuple[_request_causes.Cause, str]:
        refused = self._find_failed_grant()
        if refused is not None:
            upstream = refused.get_text("upstream")
            if self._is_gone(upstream):
                return _CAUSE.UPSTREAM_LOST, f"{reason}; {upstream} is gone"
            return (
                _CAUSE.OWNER_UNREACHABLE,
                f"{reason}; grant-failed {upstream}",
            )
        lost = [name for name in self._upstreams if self._is_gone(name)]
        if lost:
            return _CAUSE.UPSTREAM_LOST, f"{reason}; upstream-gone {lost[0]}"
        began = self._find_near("coordinator-began")
        if began is not None and began.time_s > self._time_s - TAKEOVER_S:
            return (
                _CAUSE.COORDINATOR_CHANGED,
                f"{reason}; coordinator-began on {began.host}",
            )
        return _CAUSE.KEY_MOVED, reason

    # Evidence.

    def _find_near(self, *events: str) -> _Line | None:
        return next(
            (
                line
                for line in reversed(self._near)
                if line.event in events
                and line.time_s < self._time_s + COMPARE_S
            ),
            None,
        )

    def _find_failed_grant(self) -> _Line | None:
        return next(
            (
                line
                for line in reversed(self._near)
                if line.event == "grant-failed"
                and self._covers_key(line)
                and line.time_s < self._time_s + COMPARE_S
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

    def _is_gone(self, upstream: str) -> bool:
        return any(
            line.event == "upstream-gone"
            and line.get_text("upstream") == upstream
            and line.time_s > self._own[0].time_s - COMPARE_S
            for line in self._near
        )

    def _weigh_key(self) -> tuple[bool, str]:
        """Tells whether the key is hot among the failures around."""
        keys = [
            int(line.get_number("key", -1))
            for line in self._near
            if line.event == "request-refused"
            and line.get_text("service") == self._service
            and abs(line.time_s - self._time_s) < COMPARE_S
        ]
        count = keys.count(self._key)
        is_hot = count >= LEAST_HOT and count >= HOT_SHARE * len(keys)
        return (
            is_hot,
            f"{count} of {len(keys)} refusals around are for key {self._key}",
        )
