"""Tests of the rows that record a group."""

import json

import sycamoreloft_config
import sycamoreloft_decisions

GROUP = sycamoreloft_config.GroupName("f", "d", 0)


def test_group_row_survives_json():
    """Guards against a field that is missing in the encoded row."""
    row = sycamoreloft_decisions.GroupRow(
        GROUP,
        7,
        "h1",
        "p1",
        "h2",
        3,
        11,
        60.0,
        (sycamoreloft_decisions.EarlierHolder(5, "h0", 90.0),),
    )
    text = json.dumps(sycamoreloft_decisions.encode_group_row(row))
    assert sycamoreloft_decisions.decode_group_row(json.loads(text)) == row


def test_table_survives_json_in_bounded_rows():
    """Guards against missing owners and against rows of unbounded size."""
    owners = {
        number: sycamoreloft_decisions.Assignment(f"u{number % 3}", number)
        for number in range(3_000)
    }
    hot = {"heat-7": sycamoreloft_decisions.Assignment("u1", 9_000)}
    table = sycamoreloft_decisions.AssignmentTable(
        {"board": owners}, {"board": hot}
    )
    rows = json.loads(
        json.dumps(sycamoreloft_decisions.encode_table(GROUP, table))
    )
    assert len(rows) == 4
    assert max(len(json.dumps(row)) for row in rows.values()) < 16_384
    assert sycamoreloft_decisions.decode_tables(rows) == {GROUP: table}
