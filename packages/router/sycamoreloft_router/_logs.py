"""Structured logs: one JSON object per line, with stable event names.

The lines of each event are rate limited, so that a fault of every request does
not fill the log. The next line of the event reports how many were suppressed.
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

#: Maximum number of lines of one event in a burst: enough for the requests of
#: a host that fail together when an upstream is lost.
BURST_LINES = 100

#: Sustained rate of one event, in lines per second. A line took 0.04 ms of
#: processor time, so an event takes about 0.1 % of a processor.
LINES_PER_SECOND = 30.0

#: Maximum number of events with a limit of their own; further events share one.
MAXIMUM_EVENTS = 256

#: Length to which texts in fields are cut, in characters.
MAXIMUM_TEXT_CHARACTERS = 2_000

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    tokens: float
    refilled_at: float
    suppressed: int = 0


class RateLimiter:
    """Limits the log lines of each event with a token bucket."""

    def __init__(self) -> None:
        self._buckets: dict[str, _TokenBucket] = {}
        #: Lines suppressed since the process started.
        self.suppressed_total = 0

    def admit(self, event: str, now: float) -> int | None:
        """Decides whether a line may be written.

        Args:
            event: Name of the event.
            now: Time on a monotonic clock, in seconds.

        Returns:
            None if the line is suppressed; otherwise, the number of lines of
            the event that were suppressed since its last written line.
        """
        bucket = self._buckets.get(event)
        if bucket is None:
            if len(self._buckets) >= MAXIMUM_EVENTS:
                event = ""
            bucket = self._buckets.setdefault(
                event, _TokenBucket(BURST_LINES, now)
            )
        bucket.tokens = min(
            BURST_LINES,
            bucket.tokens + (now - bucket.refilled_at) * LINES_PER_SECOND,
        )
        bucket.refilled_at = now
        if bucket.tokens < 1:
            bucket.suppressed += 1
            self.suppressed_total += 1
            return None
        bucket.tokens -= 1
        suppressed, bucket.suppressed = bucket.suppressed, 0
        return suppressed


#: Shared by all loggers of the process.
LIMITER = RateLimiter()


class LogTime:
    """Processor time spent on log lines."""

    def __init__(self) -> None:
        #: Processor time of the logging threads, in seconds.
        self.seconds = 0.0


#: Shared by all loggers of the process.
LOG_TIME = LogTime()


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
            line |= {
                "event": "message",
                "message": _truncate(record.getMessage()),
            }
        else:
            line |= {"event": record.msg}
            # Fields of the event must not replace those of the record.
            line = {
                key: _truncate(value) for key, value in fields.items()
            } | line
        if record.exc_info:
            line["exception"] = _truncate(self.formatException(record.exc_info))
        return json.dumps(line, sort_keys=True, default=str)


def log_event(
    logger: logging.Logger, level: int, event: str, /, **fields: typing.Any
) -> None:
    """Logs an event.

    Args:
        logger: Logger of the module.
        level: Level of the logging package.
        event: Stable name, such as "upstream-broke-answer".
        **fields: Values that can be encoded as JSON; `exc_info=True` adds the
            exception that is being handled.
    """
    log_event_lazily(logger, level, event, lambda: fields)


def log_event_lazily(
    logger: logging.Logger,
    level: int,
    event: str,
    build_fields: abc.Callable[[], dict[str, typing.Any]],
) -> None:
    """Logs an event, building its fields only if the line is written.

    Args:
        logger: Logger of the module.
        level: Level of the logging package.
        event: Stable name, such as "upstream-broke-answer".
        build_fields: Returns the fields, as for `log_event`. Not called for a
            line that is suppressed.
    """
    if not logger.isEnabledFor(level):
        return
    suppressed = LIMITER.admit(event, time.monotonic())
    if suppressed is None:
        return
    began = time.thread_time()
    fields = build_fields()
    if suppressed:
        fields["suppressed"] = suppressed
    exc_info = fields.pop("exc_info", None)
    logger.log(level, event, exc_info=exc_info, extra={"event_fields": fields})
    LOG_TIME.seconds += time.thread_time() - began


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor, and drops lines that would block.

    A handler that writes to a stream would block the event loop while nobody
    reads from the other end of a pipe.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
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
            # The pipe is full or closed. The next line reports the number of
            # dropped lines.
            self._dropped += 1


def set_up_logging(level: str, descriptor: int | None = None) -> None:
    """Configures the process to write log lines as JSON.

    Args:
        level: "debug", "info", "warning" or "error".
        descriptor: File descriptor to write to without blocking; None for
            standard error, whose writes may block.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if descriptor is not None:
        handler = NonBlockingHandler(descriptor)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(_LEVELS[level])
    # tornado logs every malformed request of a caller below this level.
    logging.getLogger("tornado.general").setLevel(logging.ERROR)


def _truncate(value: typing.Any) -> typing.Any:
    if isinstance(value, str) and len(value) > MAXIMUM_TEXT_CHARACTERS:
        return value[:MAXIMUM_TEXT_CHARACTERS] + "..."
    return value
