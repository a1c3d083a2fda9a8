"""Fuzzing, history checks, demo, benchmarks and capacity measurements."""

from sycamoreloft_proof._history import (
    AnswerReceived,
    AssignmentsRead,
    Condition,
    Ending,
    Event,
    FileAccepted,
    GenerationRead,
    GrantAccepted,
    Outcome,
    RequestSent,
    RunEnded,
    RunStarted,
    StopBegan,
    StopEnded,
    UpstreamEnded,
    UpstreamStarted,
    Violation,
)
from sycamoreloft_proof._history_checks import check_history

__all__ = [
    "AnswerReceived",
    "AssignmentsRead",
    "Condition",
    "Ending",
    "Event",
    "FileAccepted",
    "GenerationRead",
    "GrantAccepted",
    "Outcome",
    "RequestSent",
    "RunEnded",
    "RunStarted",
    "StopBegan",
    "StopEnded",
    "UpstreamEnded",
    "UpstreamStarted",
    "Violation",
    "check_history",
]
