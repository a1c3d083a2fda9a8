"""Structured logs: one JSON object a line, with stable event names."""

import logging
import typing


def log_event(
    logger: logging.Logger, level: int, event: str, **fields: typing.Any
) -> None:
    """Logs an event.

    Args:
        logger: Logger of the module.
        level: Level of the logging package.
        event: Stable name, such as "upstream-broke-answer".
        **fields: Values that JSON can represent.
    """
    raise NotImplementedError


def set_up_logging(level: str) -> None:
    """Sends log lines as JSON to standard error.

    Args:
        level: "debug", "info", "warning" or "error".
    """
    raise NotImplementedError
