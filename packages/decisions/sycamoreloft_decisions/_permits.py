"""Permit desk of one group: decides which request may go to which upstream."""

from collections import abc
import functools
import random

from sycamoreloft_decisions import _permit_events


class PermitDesk:
    """Issues at most as many permits for an upstream as it has slots."""

    def __init__(
        self,
        generator: random.Random,
        now: float,
        *,
        fresh: bool = False,
        options: _permit_events.DeskOptions | None = None,
    ) -> None:
        """Starts a desk.

        Args:
            generator: Source of the random choices.
            now: Time of the takeover.
            fresh: Whether no holder can have issued permits before, so that
                nothing has to be learned from reports.
            options: Limits.
        """
        self._generator = generator
        self._options = options or _permit_events.DeskOptions()
        self._recovered_at = now if fresh else now + self._options.recovery_s

    @functools.singledispatchmethod
    def handle(
        self, event: _permit_events.DeskEvent, now: float
    ) -> abc.Sequence[_permit_events.DeskCommand]:
        """Applies an event and returns the commands that follow from it."""
        raise TypeError(f"unknown event {type(event).__name__}")
