"""Settings and faults of stand-in upstreams."""

import argparse
from collections import abc
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamFaults:
    """Injected faults; `POST /_standin/faults` changes the fields in its body.

    A share is a probability from 0 to 1.
    """

    #: Added to the service time of each request.
    slow_ms: float = 0.0
    #: Share of connections that are reset before the request runs.
    reset_before_share: float = 0.0
    #: Share of connections that are reset after the request ran.
    reset_after_share: float = 0.0
    #: Share of answers that end in the middle of the body.
    truncate_share: float = 0.0
    #: Share of answers that are delayed, with the slot freed before the delay.
    late_share: float = 0.0
    #: Delay of a late answer.
    late_ms: float = 0.0
    #: Share of answers that are sent twice on the connection.
    twice_share: float = 0.0
    #: Minimum age of the load that the load endpoint reports.
    hints_lag_s: float = 0.0
    #: What the health endpoint reports, None for the true state.
    health: bool | None = None
    #: What the load endpoint reports, None for the true load.
    load: float | None = None
    #: Whether new requests are refused with 503 "draining".
    draining: bool = False


def change_faults(
    faults: UpstreamFaults, changes: abc.Mapping[str, typing.Any]
) -> UpstreamFaults:
    """Returns the faults with some fields changed.

    Raises:
        ValueError: A field does not exist; the message lists all.
    """
    known = {field.name for field in dataclasses.fields(UpstreamFaults)}
    unknown = sorted(set(changes) - known)
    if unknown:
        raise ValueError(
            f"unknown faults {unknown}; use some of {sorted(known)}"
        )
    return dataclasses.replace(faults, **changes)


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """Settings of one upstream."""

    #: Name, unique inside its fleet.
    name: str
    #: Port on loopback.
    port: int
    #: Maximum number of requests that it runs at once.
    slots: int
    #: Fleet; "fleet/name" identifies the upstream in the log.
    fleet: str = ""
    #: Whether it runs only requests whose key is covered by a grant.
    keyed: bool = True
    #: Maximum number of requests that wait for a slot; further ones are shed.
    queue: int = 4
    #: Service time of a request without X-Standin-Work-Ms.
    work_ms: float = 2.0
    #: Whether it rejects old epochs, versions and fences.
    checks_fences: bool = True
    #: Whether it verifies the signature of a grant.
    checks_sender: bool = True
    #: Whether answers repeat the Sycamoreloft-Attempt header of the request.
    echoes_attempt: bool = False
    #: Speed of its own clock relative to the machine's.
    clock_rate: float = 1.0
    #: How long it is slower after its start.
    cold_s: float = 0.0
    #: Added to the service time during `cold_s`.
    cold_ms: float = 0.0


def _parse_value(text: str, default: typing.Any) -> typing.Any:
    """Converts the text of an option to the type of its default."""
    if isinstance(default, bool):
        if text not in ("0", "1"):
            raise ValueError(f"{text!r} is neither 0 nor 1")
        return text == "1"
    return type(default)(text)


def parse_spec(text: str) -> UpstreamSpec:
    """Parses "name:port:slots[:option=value[:option=value...]]".

    Raises:
        argparse.ArgumentTypeError: The text is malformed; the message says
            how and lists the options.
    """
    try:
        name, port, slots, *options = text.split(":")
        spec = UpstreamSpec(name, int(port), int(slots))
        changes = {}
        for option in options:
            field, _, value = option.partition("=")
            changes[field] = _parse_value(value, getattr(spec, field))
        return dataclasses.replace(spec, **changes)
    except (AttributeError, TypeError, ValueError) as error:
        fields = [field.name for field in dataclasses.fields(UpstreamSpec)]
        raise argparse.ArgumentTypeError(
            f"{error}; write name:port:slots:option=value with options"
            f" {fields[3:]}"
        ) from error


def format_spec(spec: UpstreamSpec) -> str:
    """Formats settings in the form that `parse_spec` parses."""
    parts = [spec.name, str(spec.port), str(spec.slots)]
    for field in dataclasses.fields(UpstreamSpec)[3:]:
        value = getattr(spec, field.name)
        if value != field.default:
            option_value = int(value) if isinstance(value, bool) else value
            parts.append(f"{field.name}={option_value}")
    return ":".join(parts)
