"""Takes changed settings while the process runs."""

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

#: Seconds between two looks at the file. Whoever changes it may send SIGHUP,
#: and need not.
LOOK_S = 2.0

Settings = typing.TypeVar("Settings")


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsSource(typing.Generic[Settings]):
    """Where settings come from, and where they go."""

    #: The file.
    path: pathlib.Path
    #: Reads and checks the file; a failure holds everything that is wrong.
    load: abc.Callable[[], result.Result[Settings, abc.Sequence[object]]]
    #: Returns the values of settings by name.
    describe: abc.Callable[[Settings], abc.Mapping[str, object]]
    #: Names of the values that `apply` takes; the others need a restart.
    reloadable: abc.Set[str]
    #: Puts settings into force.
    apply: abc.Callable[[Settings], None]


class SettingsWatcher(typing.Generic[Settings]):
    """Loads the settings again when asked to, or when the file changes.

    Args:
        source: Where settings come from.
        settings: The settings in force.
    """

    def __init__(
        self, source: SettingsSource[Settings], settings: Settings
    ) -> None:
        self._source = source
        self._values = dict(source.describe(settings))
        self._asked = asyncio.Event()
        self._signature = (0, 0, 0)
        self._signature = self._read_signature()

    def request_reload(self) -> None:
        """Asks for a reload, as SIGHUP does."""
        self._asked.set()

    async def run(self) -> None:
        """Watches until it is cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_S):
                    await self._asked.wait()
            self.look()

    def look(self) -> None:
        """Reloads if that was asked for or the file is another one."""
        signature = self._read_signature()
        if not self._asked.is_set() and signature == self._signature:
            return
        self._asked.clear()
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
            # A missing file is no other file: the settings stay in force.
            return self._signature
        return (status.st_mtime_ns, status.st_size, status.st_ino)
