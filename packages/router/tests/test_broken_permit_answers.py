"""Tests what callers of the permit mode get for broken answers of upstreams."""

import fake_sources
import pytest
import raw_peers

from sycamoreloft_router import _logs
from sycamoreloft_standins import broken_answers

#: Head of a request that is not sent again once it may have run.
DELETE = fake_sources.build_head("DELETE")

#: Header line of a refusal.
SHED = b"Sycamoreloft-Refused: shed\r\n"


class BrokenUpstream:
    """Answers requests with prepared bytes, and then closes the connection."""

    def __init__(self):
        self.data = b""
        self.ran = 0

    async def __call__(self, request, writer, _reader):
        """Serves one request; called as the script of a raw upstream."""
        self.ran += 1
        attempt = request.get_header("Sycamoreloft-Attempt").encode()
        echo = b"Sycamoreloft-Attempt: %b\r\n" % attempt
        writer.write(self.data.replace(broken_answers.ECHO, echo))
        await writer.drain()
        return False


@pytest.mark.parametrize("refuses", [False, True], ids=["200", "refusal"])
@pytest.mark.parametrize("group", list(broken_answers.BROKEN))
def test_callers_get_no_broken_answer(
    serve, recorder, monkeypatch, group, refuses
):
    """Guards against a spoilt answer that reaches a caller as a success."""
    monkeypatch.setattr(_logs.LIMITER, "admit", lambda *_: 0)
    upstream = BrokenUpstream()

    async def scenario(harness, _):
        for name, data in broken_answers.BROKEN[group].items():
            upstream.data = data
            if refuses:
                upstream.data = broken_answers.turn_into_refusal(data, SHED)
            ran_before = upstream.ran
            recorder.lines.clear()
            answer = await harness.send(DELETE)
            assert answer.outcome == "unknown", (name, answer.body)
            assert upstream.ran == ran_before + 1, name
            (line,) = recorder.list("attempt-failed")
            assert line["detail"], name

    serve(scenario, upstream)


def test_a_refusal_that_is_rejected_proves_nothing(serve):
    """Guards against "did not run" for a request that has run.

    A refusal without the identifier on a reused connection may be a late copy
    of one to an earlier request.
    """
    echo = raw_peers.echo()

    async def script(request, writer, reader):
        if b"/first" in request.head:
            return await echo(request, writer, reader)
        writer.write(
            raw_peers.answer(
                b"", b"503 Busy", b"Sycamoreloft-Refused: shed\r\n"
            )
        )
        return True

    async def scenario(harness, upstream):
        for _ in range(2):
            first = fake_sources.build_head("DELETE", "/first")
            assert (await harness.send(first)).outcome == "completed"
        answer = await harness.send(DELETE)
        connections = [item.connection for item in upstream.requests]
        assert len(connections) == 3 and connections[1] == connections[2]
        assert answer.outcome == "unknown", answer.body

    serve(scenario, script)
