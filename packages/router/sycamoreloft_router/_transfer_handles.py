"""Easy handles of libcurl, each of which carries out one transfer at a time."""

import enum
import typing

import pycurl

from sycamoreloft_router import (
    _body_streams,
    _connection_rules,
    _transfer_types,
    _transfers,
)


class BodyMode(enum.Enum):
    """How a handle sends a request body."""

    NO_BODY = 0
    HEAD = 1
    BUFFERED = 2
    STREAMED = 3


class Handle:
    """An easy handle of libcurl, reused for transfers with one body mode.

    Args:
        curl: The easy handle.
        mode: How the handle sends request bodies.
        rules: Rules for opening, reusing and closing connections.
        sockets: Sockets of the client's connections.
    """

    __slots__ = (
        "address",
        "curl",
        "descriptor",
        "has_unread_bytes",
        "is_connection_new",
        "method",
        "mode",
        "reuse",
        "rules",
        "sockets",
        "transfer",
        "upload",
    )

    def __init__(
        self,
        curl: pycurl.Curl,
        mode: BodyMode,
        rules: _connection_rules.ConnectionRules,
        sockets: _connection_rules.PooledSockets,
    ) -> None:
        self.curl = curl
        self.rules = rules
        self.sockets = sockets
        self.mode = mode
        self.transfer: _transfers.Transfer | None = None
        self.upload: _body_streams.UploadBuffer | None = None
        #: Address and method to which the options of the handle are set.
        self.address = ""
        self.method = ""
        #: Whether the options let libcurl reuse connections; None after a
        #: request that forced a new connection.
        self.reuse: bool | None = True
        #: Whether libcurl opened a new connection for the transfer.
        self.is_connection_new = False
        #: File descriptor of the latest new connection; -1 if there is none.
        self.descriptor = -1
        #: Whether a pooled connection was refused because of unread bytes; the
        #: transfer is then repeated on a new connection.
        self.has_unread_bytes = False
        curl.info = self
        self._set_fixed_options()

    def prepare(self, transfer: _transfers.Transfer, reuse: bool) -> None:
        """Sets the options of one request.

        Args:
            transfer: Transfer of the request.
            reuse: Whether libcurl may use an idle connection and keep the
                connection afterwards.
        """
        request = transfer.request
        curl = self.curl
        self.transfer = transfer
        self.is_connection_new = False
        self.has_unread_bytes = False
        if self.reuse != reuse:
            self.reuse = reuse
            curl.setopt(pycurl.FRESH_CONNECT, not reuse)
            curl.setopt(pycurl.FORBID_REUSE, not reuse)
        if self.address != request.address:
            self.address = request.address
            curl.setopt(pycurl.URL, f"http://{request.address}/")
        if self.method != request.method and self.mode is not BodyMode.HEAD:
            self.method = request.method
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        curl.setopt(pycurl.REQUEST_TARGET, request.target)
        curl.setopt(pycurl.HTTPHEADER, request.header_lines)
        if request.needs_new_connection:
            self._force_new_connection()
        self._set_timeout(request.timeout_s)
        if self.mode is BodyMode.BUFFERED:
            curl.setopt(pycurl.POSTFIELDS, request.body)
        elif self.mode is BodyMode.STREAMED:
            self.upload = typing.cast(_body_streams.UploadBuffer, request.body)
            curl.setopt(pycurl.INFILESIZE_LARGE, request.length)

    def prepare_again(self, remaining_s: float) -> None:
        """Sets the options to repeat the transfer on a new connection.

        Args:
            remaining_s: Time until the hard deadline, in seconds.
        """
        self.has_unread_bytes = False
        self._force_new_connection()
        self._set_timeout(remaining_s)

    def _force_new_connection(self) -> None:
        # Makes `prepare` set both options again for the next request.
        self.reuse = None
        self.curl.setopt(pycurl.FRESH_CONNECT, 1)

    def _set_timeout(self, seconds: float) -> None:
        # For libcurl, 0 means no timeout.
        self.curl.setopt(pycurl.TIMEOUT_MS, max(1, round(seconds * 1000)))

    def has_sent_body(self) -> bool:
        """Returns whether the whole body of the request has been sent."""
        if self.transfer is None or self.transfer.request.body is None:
            return True
        request = self.transfer.request
        if isinstance(request.body, bytes):
            size = len(request.body)
        elif request.length >= 0:
            size = request.length
        elif self.upload is not None and self.upload.is_exhausted:
            size = self.upload.bytes_read
        else:
            return False
        return bool(self.curl.getinfo(pycurl.SIZE_UPLOAD_T) >= size)

    def release(self) -> None:
        """Drops the references to the ended request."""
        self.transfer = None
        self.upload = None

    def _set_fixed_options(self) -> None:
        curl = self.curl
        # Ignores the proxy variables of the environment.
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        # Transfers decode chunks, more strictly than libcurl, which only finds
        # the end of the last one.
        curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)
        curl.setopt(
            pycurl.CONNECTTIMEOUT_MS, round(self.rules.connect_timeout_s * 1000)
        )
        curl.setopt(pycurl.MAXAGE_CONN, self.rules.idle_connection_s)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._on_socket)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connection)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_body)
        if self.mode is BodyMode.NO_BODY:
            curl.setopt(pycurl.HTTPGET, 1)
        elif self.mode is BodyMode.HEAD:
            curl.setopt(pycurl.NOBODY, 1)
        elif self.mode is BodyMode.BUFFERED:
            curl.setopt(pycurl.POST, 1)
        else:
            curl.setopt(pycurl.UPLOAD, 1)
            curl.setopt(pycurl.UPLOAD_BUFFERSIZE, 2 * 65_536)
            curl.setopt(pycurl.READFUNCTION, self._on_read)

    def _on_socket(self, descriptor: int, _purpose: int) -> int:
        self.is_connection_new = True
        self.descriptor = descriptor
        _connection_rules.set_socket_options(descriptor, self.rules)
        if self.transfer is not None and not self._must_not_resend():
            self.transfer.opened_socket = True
        return int(pycurl.SOCKOPT_OK)

    def _must_not_resend(self) -> bool:
        """Returns whether the request was sent and may not be sent again."""
        transfer = self.transfer
        return (
            transfer is not None
            and transfer.maybe_sent
            and not transfer.request.may_resend
        )

    def _on_connection(self, *endpoints: typing.Any) -> int:
        # libcurl by itself resends a request when a reused connection breaks
        # before the answer. The upstream may have run the request by then, so
        # a second connection is refused unless the request may run twice.
        transfer = self.transfer
        if transfer is None or self._must_not_resend():
            return int(pycurl.PREREQFUNC_ABORT)
        if transfer.check_expired() or transfer.check_withdrawn():
            return int(pycurl.PREREQFUNC_ABORT)
        if self.is_connection_new:
            self.sockets.add(endpoints, self.descriptor)
        elif self.sockets.is_readable(endpoints):
            self.has_unread_bytes = True
            return int(pycurl.PREREQFUNC_ABORT)
        if not transfer.claim_send():
            return int(pycurl.PREREQFUNC_ABORT)
        transfer.maybe_sent = True
        transfer.send_count += 1
        self.sockets.set_user(endpoints, transfer)
        transfer.head.needs_echo = (
            bool(self.rules.answers.echo_header) and not self.is_connection_new
        )
        return int(pycurl.PREREQFUNC_OK)

    def _on_header(self, line: bytes) -> int | None:
        if self.transfer is not None and self.transfer.receive_head_line(line):
            return None
        return -1

    def _on_body(self, chunk: bytes) -> int | None:
        if self.transfer is None:
            return -1
        return self.transfer.receive_body(chunk)

    def _on_read(self, size: int) -> bytes | int:
        if self.upload is None or self.upload.broken:
            return int(pycurl.READFUNC_ABORT)
        chunk = self.upload.read(size)
        return int(pycurl.READFUNC_PAUSE) if chunk is None else chunk


def choose_mode(request: _transfer_types.UpstreamRequest) -> BodyMode:
    """Returns how to send the body of a request."""
    if isinstance(request.body, _body_streams.UploadBuffer):
        return BodyMode.STREAMED
    if request.body is not None:
        return BodyMode.BUFFERED
    return BodyMode.HEAD if request.method == "HEAD" else BodyMode.NO_BODY
