"""Upstreams that leave or left, remembered to tell other hosts.

A host that the store refuses, or that is behind, would otherwise go on sending
requests to upstreams that other hosts know to have left.
"""

import dataclasses

from sycamoreloft_direct import _model

#: Number of departures that a host remembers; the oldest are forgotten first.
MAXIMUM_DEPARTURES = 512

#: Maximum number of departures told at once, the newest ones. They fit a
#: datagram.
MAXIMUM_TOLD_DEPARTURES = 64

#: Seconds for which a departure that is in no table is told to all hosts.
ANNOUNCEMENT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class TableVersion:
    """A version of the table of upstreams; later ones are greater."""

    #: Era of the store, which increases when the store is restored.
    era: int
    #: Version within the era.
    version: int

    def __lt__(self, other: "TableVersion") -> bool:
        return (self.era, self.version) < (other.era, other.version)


#: Version of a departure that is in no table: an upstream announced it.
ANNOUNCED = TableVersion(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A run of an upstream that leaves or left."""

    #: The run.
    run: _model.UpstreamRun
    #: Whether the run is shutting down for good. Otherwise its entry is
    #: missing, and may return if the upstream is alive.
    is_final: bool
    #: Version of the table in which the departure is visible, or `ANNOUNCED`.
    version: TableVersion


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """A remembered departure."""

    departure: Departure
    #: When it was added, in seconds.
    added_at: float
    #: Whether another host told of it.
    is_heard: bool


class DepartureLog:
    """Remembers recent departures."""

    def __init__(self) -> None:
        self._departures: dict[tuple[_model.UpstreamRun, bool], _Entry] = {}

    def add(
        self, departure: Departure, now: float, *, is_heard: bool = False
    ) -> bool:
        """Adds a departure.

        Args:
            departure: The departure.
            now: Time, in seconds.
            is_heard: Whether another host told of it.

        Returns:
            Whether it was unknown.
        """
        key = (departure.run, departure.is_final)
        known = self._departures.get(key)
        if known is not None and (
            known.departure.version != ANNOUNCED
            or departure.version == ANNOUNCED
        ):
            return False
        self._departures[key] = _Entry(departure, now, is_heard)
        if len(self._departures) > MAXIMUM_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        return known is None

    def remove_missing(self, run: _model.UpstreamRun) -> None:
        """Forgets that the entry of a run is missing, because it returned."""
        self._departures.pop((run, False), None)

    def is_missing_after(
        self, run: _model.UpstreamRun, seen: TableVersion
    ) -> bool:
        """Returns whether the entry of a run is missing in a later version.

        Args:
            run: The run.
            seen: Version of the table in which the run has an entry.
        """
        known = self._departures.get((run, False))
        return known is not None and seen < known.departure.version

    def list_unknown(
        self, seen: TableVersion, now: float, *, includes_heard: bool
    ) -> tuple[Departure, ...]:
        """Returns the departures that another host cannot know.

        Args:
            seen: Version of the table that the other host has read.
            now: Time, in seconds.
            includes_heard: Whether to return those that another host told of.

        Returns:
            At most `MAXIMUM_TOLD_DEPARTURES`, oldest first.
        """
        unknown = [
            entry.departure
            for entry in self._departures.values()
            if (includes_heard or not entry.is_heard)
            and _is_unknown(entry, seen, now)
        ]
        return tuple(unknown[-MAXIMUM_TOLD_DEPARTURES:])


def _is_unknown(entry: _Entry, seen: TableVersion, now: float) -> bool:
    if entry.departure.version == ANNOUNCED:
        return now < entry.added_at + ANNOUNCEMENT_S
    return seen < entry.departure.version
