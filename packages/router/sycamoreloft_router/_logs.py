"""Structured logs: one JSON object a line, with stable event names.

Lines of the same event are rate limited, so that a fault which hits every
request does not fill the log; the next line of the event says how many were
left out.
"""

from collections import abc
import dataclasses
import datetime
import json
import logging
import os
import sys
import time
import typing

#: Lines of one event that may follow each other at once: the requests of a
#: host that fail together when an upstream is lost.
BURST = 100

#: Lines of one event in a second, over a longer time. A line took 0.04 ms
#: of a processor, so that an event takes about 0.1 % of one.
LINES_PER_SECOND = 30.0

#: Events that are limited each by itself; further ones share one limit.
MAXIMUM_EVENTS = 256

#: Longest text of a field, in characters.
MAXIMUM_TEXT = 2_000

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


@dataclasses.dataclass(slots=True)
class _Allowance:
    tokens: float
    refilled_at: float
    suppressed: int = 0


class RateLimiter:
    """Limits the log lines of each event with a token bucket."""

    def __init__(self) -> None:
        self._allowances: dict[str, _Allowance] = {}
        #: Lines left out since the start of the process.
        self.suppressed_total = 0

    def admit(self, event: str, now: float) -> int | None:
        """Decides whether a line may be written.

        Args:
            event: Name of the event.
            now: Time in seconds, from a monotonic clock.

        Returns:
            None if not, or the number of lines of the event that were left
            out since the last one written.
        """
        allowance = self._allowances.get(event)
        if allowance is None:
            if len(self._allowances) >= MAXIMUM_EVENTS:
                event = ""
            allowance = self._allowances.setdefault(
                event, _Allowance(BURST, now)
            )
        allowance.tokens = min(
            BURST,
            allowance.tokens + (now - allowance.refilled_at) * LINES_PER_SECOND,
        )
        allowance.refilled_at = now
        if allowance.tokens < 1:
            allowance.suppressed += 1
            self.suppressed_total += 1
            return None
        allowance.tokens -= 1
        suppressed, allowance.suppressed = allowance.suppressed, 0
        return suppressed


#: Shared by all loggers of the process.
LIMITER = RateLimiter()


class LogCost:
    """Processor time that log lines took."""

    def __init__(self) -> None:
        #: Processor time of the thread, in seconds.
        self.seconds = 0.0


#: Shared by all loggers of the process.
COST = LogCost()


class JsonFormatter(logging.Formatter):
    """Formats records as JSON objects with sorted fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Formats one record."""
        moment = datetime.datetime.fromtimestamp(
            record.created, datetime.UTC
        ).isoformat(timespec="milliseconds")
        line: dict[str, typing.Any] = {
            "time": moment,
            "level": record.levelname.lower(),
            "logger": record.name,
        }
        fields = getattr(record, "event_fields", None)
        if fields is None:
            line |= {"event": "message", "message": _clip(record.getMessage())}
        else:
            line |= {"event": record.msg}
            # Fields cannot replace the ones above.
            line = {key: _clip(value) for key, value in fields.items()} | line
        if record.exc_info:
            line["exception"] = _clip(self.formatException(record.exc_info))
        return json.dumps(line, sort_keys=True, default=str)


def log_event(
    logger: logging.Logger, level: int, event: str, /, **fields: typing.Any
) -> None:
    """Logs an event.

    Args:
        logger: Logger of the module.
        level: Level of the logging package.
        event: Stable name, such as "upstream-broke-answer".
        **fields: Values that JSON can represent; `exc_info=True` adds the
            exception that is being handled.
    """
    log_event_lazily(logger, level, event, lambda: fields)


def log_event_lazily(
    logger: logging.Logger,
    level: int,
    event: str,
    build: abc.Callable[[], dict[str, typing.Any]],
) -> None:
    """Logs an event whose fields are worth building only for a written line.

    Args:
        logger: Logger of the module.
        level: Level of the logging package.
        event: Stable name, such as "upstream-broke-answer".
        build: Returns the fields, as for `log_event`; it is not called for a
            line that is left out.
    """
    if not logger.isEnabledFor(level):
        return
    suppressed = LIMITER.admit(event, time.monotonic())
    if suppressed is None:
        return
    began = time.thread_time()
    fields = build()
    if suppressed:
        fields["suppressed"] = suppressed
    exc_info = fields.pop("exc_info", None)
    logger.log(level, event, exc_info=exc_info, extra={"event_fields": fields})
    COST.seconds += time.thread_time() - began


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor and drops those that do not fit.

    A handler on a stream would stop the event loop while nobody reads the
    other end of a pipe.

    Args:
        descriptor: Where lines go; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
        fields = getattr(record, "event_fields", None)
        if self._dropped and fields is not None:
            fields["dropped"] = self._dropped
        line = self.format(record) + "\n"
        try:
            os.write(self._descriptor, line.encode("utf-8", "replace"))
            self._dropped = 0
        except OSError:
            # Nobody reads, or the pipe is closed; the next line counts it.
            self._dropped += 1


def set_up_logging(level: str, descriptor: int | None = None) -> None:
    """Sends log lines as JSON to standard error, or to a descriptor.

    Args:
        level: "debug", "info", "warning" or "error".
        descriptor: Where lines go without ever waiting; None for standard
            error.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if descriptor is not None:
        handler = NonBlockingHandler(descriptor)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(_LEVELS[level])
    # tornado logs every malformed request of a caller at this level.
    logging.getLogger("tornado.general").setLevel(logging.ERROR)


def _clip(value: typing.Any) -> typing.Any:
    if isinstance(value, str) and len(value) > MAXIMUM_TEXT:
        return value[:MAXIMUM_TEXT] + "..."
    return value
