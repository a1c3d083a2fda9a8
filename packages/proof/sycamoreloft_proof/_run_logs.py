"""Reads the logs of stand-in upstreams as typed events."""

from collections import abc
import json
import pathlib
import typing

from sycamoreloft_proof import _history


def _qualify(group: str, service: str) -> str:
    """Returns "fleet/service", with the fleet of the group if it has none."""
    return service if "/" in service else f"{group.partition('/')[0]}/{service}"


def _read_start(line: abc.Mapping[str, typing.Any]) -> _history.RunStarted:
    return _history.RunStarted(
        at=line["at"],
        arrived_at=line["arrived"],
        upstream=line["upstream"],
        run=line["run"],
        request=line["request"],
        idempotency_key=line["idempotency_key"],
        service=_qualify(line["group"], line["service"]),
        key=line["key"],
        partition=line["partition"],
        fence=line["fence"],
    )


def _read_end(line: abc.Mapping[str, typing.Any]) -> _history.RunEnded:
    return _history.RunEnded(
        line["shared"],
        line["upstream"],
        line["run"],
        line["cancelled"],
        line["broken"],
    )


def _read_grant(line: abc.Mapping[str, typing.Any]) -> _history.GrantAccepted:
    group = line["group"]
    partitions, hot_keys = line["partitions"], line["hot_keys"]
    return _history.GrantAccepted(
        at=line["at"],
        upstream=line["upstream"],
        group=group,
        epoch=line["epoch"],
        version=line["version"],
        until=line["until"],
        partitions=None
        if partitions is None
        else {
            _qualify(group, service): {int(n): f for n, f in held.items()}
            for service, held in partitions.items()
        },
        hot_keys=None
        if hot_keys is None
        else {
            _qualify(group, service): held for service, held in hot_keys.items()
        },
    )


def _read_started(
    line: abc.Mapping[str, typing.Any],
) -> _history.UpstreamStarted:
    return _history.UpstreamStarted(
        line["shared"], line["upstream"], line["incarnation"], line["slots"]
    )


def _read_crash(line: abc.Mapping[str, typing.Any]) -> _history.UpstreamEnded:
    return _history.UpstreamEnded(line["shared"], line["upstream"])


_READERS: abc.Mapping[
    str, abc.Callable[[abc.Mapping[str, typing.Any]], _history.Event]
] = {
    "started": _read_started,
    "grant": _read_grant,
    "start": _read_start,
    "end": _read_end,
    "crashed": _read_crash,
}


def read_run_log(path: pathlib.Path) -> list[_history.Event]:
    """Reads the log of one stand-in process, which may run several upstreams.

    An incomplete last line is ignored: the process was killed while it wrote.

    Raises:
        ValueError: A line other than the last is not valid JSON.
    """
    events = []
    lines = path.read_text().split("\n")
    for number, text in enumerate(lines):
        if not text:
            continue
        try:
            line = json.loads(text)
        except ValueError:
            if number == len(lines) - 1:
                break
            raise
        reader = _READERS.get(line["kind"])
        if reader is not None:
            events.append(reader(line))
    return events
