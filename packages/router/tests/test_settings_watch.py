"""Settings that change while the process runs."""

import dataclasses
import logging
import os

import pytest
from returns import result

from sycamoreloft_router import _settings_watch


@dataclasses.dataclass(frozen=True)
class Settings:
    """A reloadable setting, and one that needs a restart."""

    grace_s: float
    address: str


class File:
    """A settings file with a watcher, and the settings that it applied."""

    def __init__(self, path):
        self.path = path
        self.applied = []
        self.stamp = 0
        self.write("6 a:1")
        self.watcher = _settings_watch.SettingsWatcher(
            _settings_watch.SettingsSource(
                path,
                self.load,
                dataclasses.asdict,
                frozenset(("grace_s",)),
                self.applied.append,
            ),
            self.load().unwrap(),
        )

    def write(self, text):
        self.path.write_text(text)
        self.stamp += 1_000_000_000
        os.utime(self.path, ns=(self.stamp, self.stamp))

    def load(self):
        try:
            grace, address = self.path.read_text().split()
            return result.Success(Settings(float(grace), address))
        except (OSError, ValueError) as error:
            return result.Failure([error])


@pytest.fixture
def file(tmp_path):
    """A settings file with valid content."""
    return File(tmp_path / "settings")


def list_events(caplog):
    return [
        (record.message, record.event_fields)
        for record in caplog.records
        if hasattr(record, "event_fields")
    ]


def test_a_changed_file_is_applied_without_a_signal(file, caplog):
    caplog.set_level(logging.INFO)
    file.watcher.check_file()
    assert not file.applied
    file.write("9 b:2")
    file.watcher.check_file()
    file.watcher.check_file()
    assert file.applied == [Settings(9.0, "b:2")]
    assert list_events(caplog) == [
        (
            "settings-reloaded",
            {"applied": {"grace_s": 9.0}, "needs_restart": ["address"]},
        )
    ]


def test_a_signal_reloads_an_unchanged_file(file, caplog):
    caplog.set_level(logging.INFO)
    file.watcher.request_reload()
    file.watcher.check_file()
    assert file.applied == [Settings(6.0, "a:1")]
    assert list_events(caplog) == [
        ("settings-reloaded", {"applied": {}, "needs_restart": []})
    ]


def test_bad_settings_leave_the_old_ones_in_force(file, caplog):
    file.write("nonsense")
    file.watcher.check_file()
    assert not file.applied
    ((event, fields),) = list_events(caplog)
    assert event == "settings-rejected" and len(fields["problems"]) == 1
    file.write("7 a:1")
    file.watcher.check_file()
    assert file.applied == [Settings(7.0, "a:1")]


def test_a_missing_file_changes_nothing(file, caplog):
    file.path.unlink()
    file.watcher.check_file()
    assert not file.applied and not list_events(caplog)
