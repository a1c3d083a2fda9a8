"""Passes the answer of an upstream on to the caller."""

from sycamoreloft_router import _answers, _exchange, _headers, _transfers


def build_answer(transfer: _transfers.Transfer) -> _answers.UpstreamAnswer:
    """Returns the head to send to the caller.

    Args:
        transfer: The transfer, whose answer has a complete head.
    """
    head = transfer.head
    return _answers.UpstreamAnswer(
        head.status_line,
        head.status,
        _headers.filter_answer_lines(head.lines),
        head.get_header(b"content-length")
        if transfer.request.method == "HEAD"
        else b"",
    )


async def stream(
    transfer: _transfers.Transfer,
    answer: _answers.UpstreamAnswer,
    sink: _exchange.AnswerSink,
) -> None:
    """Passes an answer on while it arrives; aborts it if the transfer fails.

    Args:
        transfer: The transfer.
        answer: Head of the answer.
        sink: Receives the answer.
    """
    await sink.begin(answer)
    while transfer.failure is None:
        chunk = transfer.read_available()
        if chunk:
            await sink.write(chunk)
        elif transfer.ended:
            sink.end()
            return
        else:
            await transfer.wait(1)
    sink.abort()


async def forward(
    transfer: _transfers.Transfer, sink: _exchange.AnswerSink
) -> None:
    """Passes an answer on: as a whole if it has ended, else in parts.

    Args:
        transfer: The transfer, whose answer has a complete head.
        sink: Receives the answer.
    """
    answer = build_answer(transfer)
    if transfer.ended:
        sink.send_complete(answer, transfer.read_available())
    else:
        await stream(transfer, answer, sink)
