"""HTTP client for upstreams: streaming, cancellation and a hard deadline.

HTTP/1.1 does not say which request an answer belongs to: a second answer to
one request looks like the answer to the next request on the connection. A
connection is therefore reused only if the upstream repeats the identifier of
the attempt in its answers; for other upstreams, each request opens a new
connection.

Transfers run on the multi handle of tornado's curl client. The `fetch` method
of that client sets all options for each request and buffers uploads, so
transfers use easy handles of their own, whose fixed options are set once.
"""

import asyncio
import enum
import typing

import pycurl
from tornado import curl_httpclient, ioloop

from sycamoreloft_router import (
    _body_streams,
    _connection_rules,
    _transfer_types,
    _transfers,
)

#: Maximum number of idle easy handles that are kept for each body mode.
MAXIMUM_SPARE_HANDLES = 64

#: Maximum number of upstreams for which the client remembers whether they
#: repeat the identifier of the attempt.
MAXIMUM_KNOWN_ECHOES = 8192

#: Maximum number of connections in the pool of libcurl, to all upstreams.
MAXIMUM_CONNECTIONS = 1024


_KIND = _transfer_types.FailureKind


class _BodyMode(enum.Enum):
    """How a handle sends a request body."""

    NO_BODY = 0
    HEAD = 1
    BUFFERED = 2
    STREAMED = 3


class _Handle:
    """An easy handle of libcurl, reused for transfers with one body mode."""

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
        mode: _BodyMode,
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
        if self.method != request.method and self.mode is not _BodyMode.HEAD:
            self.method = request.method
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        curl.setopt(pycurl.REQUEST_TARGET, request.target)
        curl.setopt(pycurl.HTTPHEADER, request.header_lines)
        if request.needs_new_connection:
            self._force_new_connection()
        self._set_timeout(request.timeout_s)
        if self.mode is _BodyMode.BUFFERED:
            curl.setopt(pycurl.POSTFIELDS, request.body)
        elif self.mode is _BodyMode.STREAMED:
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
        curl.setopt(
            pycurl.CONNECTTIMEOUT_MS, round(self.rules.connect_timeout_s * 1000)
        )
        curl.setopt(pycurl.MAXAGE_CONN, self.rules.idle_connection_s)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._on_socket)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connection)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_body)
        if self.mode is _BodyMode.NO_BODY:
            curl.setopt(pycurl.HTTPGET, 1)
        elif self.mode is _BodyMode.HEAD:
            curl.setopt(pycurl.NOBODY, 1)
        elif self.mode is _BodyMode.BUFFERED:
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


class UpstreamClient(curl_httpclient.CurlAsyncHTTPClient):
    """Runs transfers to upstreams.

    Create it with `force_instance=True`; the base class otherwise returns
    one instance for each event loop.
    """

    #: Timer of libcurl; tornado declares it as an object.
    _timeout: asyncio.Handle | None

    def initialize(  # type: ignore[override]
        self,
        connections_per_upstream: int = 12,
        rules: _connection_rules.ConnectionRules | None = None,
    ) -> None:
        """Creates the multi handle; called by the constructor.

        Args:
            connections_per_upstream: Maximum number of connections to one
                address, idle ones included. Further transfers wait inside
                libcurl until their deadline. 0 means no limit.
            rules: Rules for opening, reusing and closing connections.
        """
        #: Rules for opening, reusing and closing connections.
        self.rules = rules or _connection_rules.ConnectionRules()
        # Each call of get_running_loop costs a system call on Python 3.11.
        self._loop = asyncio.get_running_loop()
        super().initialize(max_clients=1)
        self._multi.setopt(
            pycurl.M_MAX_HOST_CONNECTIONS, connections_per_upstream
        )
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAXIMUM_CONNECTIONS)
        # Idle connections are closed for new ones when it is reached.
        self._multi.setopt(
            pycurl.M_MAX_TOTAL_CONNECTIONS, self.rules.total_connections
        )
        # Disables pipelining and multiplexing: each connection carries one
        # request at a time.
        self._multi.setopt(pycurl.M_PIPELINING, 0)
        self._spare_handles: dict[_BodyMode, list[_Handle]] = {
            mode: [] for mode in _BodyMode
        }
        self._active: set[_Handle] = set()
        #: Whether the latest answer from an address repeated the identifier of
        #: the attempt.
        self._echoes: dict[str, bool] = {}
        self._keeps_idle = True
        self._sockets = _connection_rules.PooledSockets()

    def limit_connections(self, connections: int, keeps_idle: bool) -> None:
        """Changes the limit of connections to one address.

        Args:
            connections: Maximum number of connections, idle ones included.
            keeps_idle: Whether a connection may stay open for the next request.
        """
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, connections)
        self._keeps_idle = keeps_idle

    def create_future(self) -> asyncio.Future[None]:
        """Creates a future on the client's event loop."""
        return self._loop.create_future()

    def read_clock(self) -> float:
        """Returns the time of the client's event loop, in seconds."""
        return self._loop.time()

    def start(
        self, request: _transfer_types.UpstreamRequest
    ) -> _transfers.Transfer:
        """Starts a transfer; it runs until it ends or is cancelled."""
        transfer = _transfers.Transfer(self, request)
        mode = _choose_mode(request)
        spare = self._spare_handles[mode]
        handle = (
            spare.pop()
            if spare
            else _Handle(pycurl.Curl(), mode, self.rules, self._sockets)
        )
        reuse = self._keeps_idle and self._echoes.get(
            request.address, self.rules.assumes_echo
        )
        handle.prepare(transfer, reuse)
        transfer.attach(handle)
        self._active.add(handle)
        if isinstance(request.body, _body_streams.UploadBuffer):
            request.body.set_on_change(lambda: self.resume(handle))
        self._multi.add_handle(handle.curl)
        self._process_now()
        return transfer

    def _process_now(self) -> None:
        """Starts new transfers in the current iteration of the event loop.

        libcurl requests that with a timeout of 0, which would otherwise be
        handled in the next iteration.
        """
        if self._timeout is not None:
            self._timeout.cancel()
        self._handle_timeout()

    def withdraw_unsent(self) -> None:
        """Ends the transfers that wait although they may not be sent any more.

        They would otherwise wait until a connection to their upstream is free.
        """
        for handle in list(self._active):
            transfer = handle.transfer
            if (
                transfer is not None
                and not transfer.maybe_sent
                and transfer.check_withdrawn()
            ):
                transfer.cancel(_KIND.WITHDRAWN)

    def resume(self, handle: _Handle | None) -> None:
        """Lets a paused transfer continue."""
        if handle is None or handle.transfer is None:
            return
        if handle.upload is not None and handle.upload.broken:
            handle.transfer.cancel(_KIND.UPLOAD)
            return
        try:
            handle.curl.pause(pycurl.PAUSE_CONT)
        except pycurl.error as error:
            # libcurl raises errors of the paused time here, and reports them
            # again when the transfer ends.
            curl_httpclient.curl_log.debug(
                "cannot resume a paused transfer: %s", error
            )

    def remove(self, handle: _Handle | None) -> None:
        """Removes a running handle from the multi handle.

        libcurl closes the connection if the transfer is incomplete.
        """
        if handle is not None and handle in self._active:
            self._multi.remove_handle(handle.curl)
            self._recycle(handle)

    def close(self) -> None:
        """Ends all transfers and closes all connections."""
        if self._multi is None:
            return
        for handle in list(self._active):
            if handle.transfer is not None:
                handle.transfer.cancel()
        for spare in self._spare_handles.values():
            for handle in spare:
                handle.curl.close()
            spare.clear()
        super().close()

    def _handle_events(self, fd: int, events: int) -> None:
        """Lets libcurl handle the events of a socket.

        Overrides the method of tornado to look at the socket first: libcurl
        reports neither whether a reused connection was reset or closed, nor
        the first bytes of an incomplete status line.
        """
        transfer = self._sockets.users.get(fd)
        if transfer is not None:
            if transfer.ended:
                del self._sockets.users[fd]
            elif not (transfer.has_input or transfer.was_reset):
                _connection_rules.observe_input(
                    fd, bool(events & ioloop.IOLoop.READ), transfer
                )
        super()._handle_events(fd, events)

    def _set_timeout(self, msecs: int) -> None:
        """Schedules libcurl's next timeout.

        Overrides the method of tornado, which also schedules -1 (no timeout)
        and uses a timer for 0, which libcurl requests for every transfer.

        Args:
            msecs: Time until the timeout, in milliseconds; -1 for none.
        """
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        if msecs == 0:
            self._timeout = self._loop.call_soon(self._handle_timeout)
        elif msecs > 0:
            self._timeout = self._loop.call_later(
                msecs / 1000, self._handle_timeout
            )

    def _recycle(self, handle: _Handle) -> None:
        self._active.discard(handle)
        handle.release()
        spare = self._spare_handles[handle.mode]
        if len(spare) < MAXIMUM_SPARE_HANDLES:
            spare.append(handle)
        else:
            handle.curl.close()

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        handle = curl.info
        if not isinstance(handle, _Handle):
            super()._finish(curl, curl_error, curl_message)
            return
        transfer = handle.transfer
        self._multi.remove_handle(curl)
        if transfer is not None and handle.has_unread_bytes:
            handle.prepare_again(transfer.compute_remaining_s())
            self._multi.add_handle(curl)
            return
        self._recycle(handle)
        if transfer is not None:
            self._record_echo(transfer)
            transfer.end(
                _transfers.classify_failure(
                    transfer, curl_error, curl_message or ""
                )
            )

    def _record_echo(self, transfer: _transfers.Transfer) -> None:
        if not self.rules.answers.echo_header or not transfer.head.complete:
            return
        address = transfer.request.address
        if address in self._echoes or len(self._echoes) < MAXIMUM_KNOWN_ECHOES:
            self._echoes[address] = transfer.head.echoed


def _choose_mode(request: _transfer_types.UpstreamRequest) -> _BodyMode:
    if isinstance(request.body, _body_streams.UploadBuffer):
        return _BodyMode.STREAMED
    if request.body is not None:
        return _BodyMode.BUFFERED
    return _BodyMode.HEAD if request.method == "HEAD" else _BodyMode.NO_BODY
