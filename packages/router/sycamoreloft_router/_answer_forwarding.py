"""Passes the answer of an upstream on to the caller."""

from sycamoreloft_router import _answers, _exchange, _headers, _transfers


async def forward(
    transfer: _transfers.Transfer, sink: _exchange.AnswerSink
) -> None:
    """Passes an answer on: as a whole if it has ended, else in parts.

    Args:
        transfer: The transfer, whose answer has a complete head.
        sink: Receives the answer.
    """
    head = transfer.head
    answer = _answers.UpstreamAnswer(
        head.status_line,
        head.status,
        _headers.filter_answer_lines(head.lines),
        head.get_header(b"content-length")
        if transfer.request.method == "HEAD"
        else b"",
    )
    if transfer.ended:
        sink.send_complete(answer, transfer.read_available())
        return
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
