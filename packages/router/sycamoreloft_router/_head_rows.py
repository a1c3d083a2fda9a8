"""Encodes and decodes the row `config/head` as a JSON object."""

from collections import abc
import dataclasses
import typing

from sycamoreloft_decisions import acceptance


def encode_head(row: acceptance.HeadRow) -> dict[str, typing.Any]:
    """Returns the JSON object of a head row."""
    return {
        "accepted": dataclasses.asdict(row.accepted),
        "pending": dataclasses.asdict(row.pending) if row.pending else None,
        "history": [dataclasses.asdict(item) for item in row.history],
    }


def decode_head(value: abc.Mapping[str, typing.Any]) -> acceptance.HeadRow:
    """Returns the head row that a JSON object encodes."""
    pending = value["pending"]
    return acceptance.HeadRow(
        accepted=_decode_entry(value["accepted"]),
        pending=_decode_entry(pending) if pending else None,
        history=tuple(
            acceptance.PastSubmission(**item) for item in value["history"]
        ),
    )


def _decode_entry(
    value: abc.Mapping[str, typing.Any],
) -> acceptance.GenerationRecord:
    return acceptance.GenerationRecord(
        number=value["number"],
        request=value["request"],
        files=dict(value["files"]),
        groups=tuple(value["groups"]),
        lost_groups=tuple(value["lost_groups"]),
    )
