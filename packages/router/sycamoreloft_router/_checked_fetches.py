"""Fetches of tornado's client, with the checks of upstreams' answers."""

import dataclasses

import pycurl
from tornado import curl_httpclient, httpclient

from sycamoreloft_router import _answer_heads, _chunked_bodies

#: The services repeat no identifier, and may leave out the length.
_RULES = _answer_heads.AnswerRules(b"", accepts_close_delimited=True)


@dataclasses.dataclass(frozen=True, slots=True)
class FetchedAnswer:
    """A complete answer."""

    #: HTTP status.
    status: int
    #: Body, without the framing of chunks.
    body: bytes


class CheckedFetch:
    """One fetch, and the checks of its answer.

    Args:
        request: The request, without a header callback.
    """

    def __init__(self, request: httpclient.HTTPRequest) -> None:
        self._request = request
        self._prepare = request.prepare_curl_callback
        self._head = _answer_heads.AnswerHead(request.method, "", _RULES)
        request.header_callback = self._add_line
        request.prepare_curl_callback = self._prepare_curl

    async def run(
        self, client: curl_httpclient.CurlAsyncHTTPClient
    ) -> FetchedAnswer:
        """Fetches the answer.

        Raises:
            OSError: The answer is broken, or none came.
            HTTPError: No answer came.
        """
        # `raise_error` covers only HTTP statuses: the client raises connection
        # errors in any case.
        response = await client.fetch(self._request, raise_error=False)
        problem = self._head.describe_problem()
        if problem:
            raise OSError(problem)
        return FetchedAnswer(
            response.code, self._decode_body(response.body or b"")
        )

    def _add_line(self, line: str) -> None:
        self._head.add_line(line.encode("latin1"))

    def _prepare_curl(self, curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)
        if self._prepare is not None:
            self._prepare(curl)

    def _decode_body(self, data: bytes) -> bytes:
        if not (self._head.is_chunked and self._head.has_body):
            return data
        decoder = _chunked_bodies.ChunkedBody()
        body = decoder.decode(data)
        if not decoder.is_complete:
            raise OSError(decoder.problem or "the answer has no last chunk")
        return body
