"""Tests answers to requests whose retry is refused after a first attempt."""

import fake_sources
import pytest

build_head = fake_sources.build_head


def test_unknown_attempt_is_not_forgotten_by_a_refused_retry(serve):
    """Guards against did-not-run when an earlier attempt may have run."""

    async def script(request, writer, _reader):
        harness_sources[0].refusals = [("overloaded", 0)] * 20
        return False

    harness_sources = []

    async def scenario(harness, upstream):
        harness_sources.append(harness.sources)
        answer = await harness.send(build_head(Sycamoreloft_Deadline_Ms="300"))
        assert answer.outcome == "unknown"
        assert len(upstream.requests) == 1

    serve(scenario, script)


# Guards against a status that tells callers that their request did not run, and
# when to send it again, although an earlier attempt may have run.
@pytest.mark.parametrize(
    ("refusals", "reason"),
    [
        ([("quarantined", 1_500)], "quarantined"),
        ([("stale-generation", 0)] * 9, "stale-generation"),
    ],
)
def test_a_refused_retry_promises_nothing(serve, refusals, reason):
    async def script(_request, _writer, _reader):
        sources[0].refusals = list(refusals)
        return False

    sources = []

    async def scenario(harness, upstream):
        sources.append(harness.sources)
        answer = await harness.send()
        assert (answer.status, answer.outcome) == (502, "unknown")
        assert answer.reason == reason
        assert answer.get_header("Retry-After") is None
        assert len(upstream.requests) == 1

    serve(scenario, script)
