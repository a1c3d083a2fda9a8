"""Reloads changed settings while the process runs."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import logging
import pathlib
import typing

from returns import result

from sycamoreloft_router import _logs

_LOGGER = logging.getLogger(__name__)

#: Seconds between two checks of the settings file. SIGHUP causes an earlier
#: reload, but is not required.
CHECK_INTERVAL_S = 2.0

Settings = typing.TypeVar("Settings")


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsSource(typing.Generic[Settings]):
    """The settings file, and how to load and apply it."""

    #: Settings file; a change of its time, size or inode causes a reload.
    path: pathlib.Path
    #: Reads and validates the file; a failure holds all problems.
    load: abc.Callable[[], result.Result[Settings, abc.Sequence[object]]]
    #: Returns the values of settings by name.
    describe: abc.Callable[[Settings], abc.Mapping[str, object]]
    #: Names of the values that `apply` changes; the others need a restart.
    reloadable: abc.Set[str]
    #: Applies the reloadable values of settings.
    apply: abc.Callable[[Settings], None]


class SettingsWatcher(typing.Generic[Settings]):
    """Reloads the settings on request, or when the file changes.

    Args:
        source: The settings file, and how to load and apply it.
        settings: The settings that the process started with.
    """

    def __init__(
        self, source: SettingsSource[Settings], settings: Settings
    ) -> None:
        self._source = source
        self._values = dict(source.describe(settings))
        self._reload_requested = asyncio.Event()
        self._signature = (0, 0, 0)
        self._signature = self._read_signature()

    def request_reload(self) -> None:
        """Requests a reload, also of an unchanged file; used for SIGHUP."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Watches the file until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._reload_requested.wait()
            self.check_file()

    def check_file(self) -> None:
        """Reloads the settings if that was requested or the file changed."""
        signature = self._read_signature()
        if not self._reload_requested.is_set() and signature == self._signature:
            return
        self._reload_requested.clear()
        self._signature = signature
        self._reload()

    def _reload(self) -> None:
        loaded = self._source.load()
        if isinstance(loaded, result.Failure):
            _logs.log_event(
                _LOGGER,
                logging.ERROR,
                "settings-rejected",
                problems=[str(problem) for problem in loaded.failure()],
            )
            return
        settings = loaded.unwrap()
        changed = {
            name: value
            for name, value in self._source.describe(settings).items()
            if value != self._values.get(name)
        }
        applied = {
            name: value
            for name, value in changed.items()
            if name in self._source.reloadable
        }
        self._source.apply(settings)
        self._values |= applied
        _logs.log_event(
            _LOGGER,
            logging.INFO,
            "settings-reloaded",
            applied=applied,
            needs_restart=sorted(changed.keys() - applied.keys()),
        )

    def _read_signature(self) -> tuple[int, int, int]:
        try:
            status = self._source.path.stat()
        except OSError:
            # A missing file does not count as a change: the settings stay.
            return self._signature
        return (status.st_mtime_ns, status.st_size, status.st_ino)
