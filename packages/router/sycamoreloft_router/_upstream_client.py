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

import pycurl
from tornado import curl_httpclient, ioloop

from sycamoreloft_router import (
    _body_streams,
    _connection_rules,
    _transfer_handles,
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

#: The upstream may have reset the connection after it closed its side: sending
#: fails then, and reading still finds the end in order.
_EARLY_END_MESSAGE = (
    "the answer has no length, and its connection was reset, or ended while the"
    " request was being sent"
)


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
        self._spare_handles: dict[
            _transfer_handles.BodyMode, list[_transfer_handles.Handle]
        ] = {mode: [] for mode in _transfer_handles.BodyMode}
        self._active: set[_transfer_handles.Handle] = set()
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
        mode = _transfer_handles.choose_mode(request)
        spare = self._spare_handles[mode]
        handle = (
            spare.pop()
            if spare
            else _transfer_handles.Handle(
                pycurl.Curl(), mode, self.rules, self._sockets
            )
        )
        reuse = self._keeps_idle and self._echoes.get(
            request.address, self.rules.assumes_echo
        )
        handle.prepare(transfer, reuse)
        transfer.attach(handle)
        self._active.add(handle)
        if isinstance(request.body, _body_streams.UploadBuffer):
            request.body.set_on_change(lambda: self._continue_upload(handle))
        self._multi.add_handle(handle.curl)
        self._process_now()
        return transfer

    def _process_now(self) -> None:
        """Starts or continues transfers in this iteration of the event loop.

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

    def resume(self, handle: _transfer_handles.Handle | None) -> None:
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

    def _continue_upload(self, handle: _transfer_handles.Handle) -> None:
        """Lets libcurl send new bytes of a request body.

        libcurl reads as well when it does so, hence the look at the socket.
        """
        transfer = handle.transfer
        if transfer is not None and transfer.descriptor in self._fds:
            self._observe(transfer.descriptor, False)
        self.resume(handle)
        self._process_now()

    def remove(self, handle: _transfer_handles.Handle | None) -> None:
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
        the first bytes of an incomplete status line, nor folded lines.
        """
        self._observe(fd, bool(events & ioloop.IOLoop.READ))
        super()._handle_events(fd, events)

    def _observe(self, descriptor: int, is_readable: bool) -> None:
        """Looks at the input of a socket before libcurl reads it."""
        transfer = self._sockets.users.get(descriptor)
        if transfer is None:
            return
        if transfer.ended:
            del self._sockets.users[descriptor]
        elif transfer.is_observed:
            _connection_rules.observe_input(descriptor, is_readable, transfer)

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

    def _recycle(self, handle: _transfer_handles.Handle) -> None:
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
        if not isinstance(handle, _transfer_handles.Handle):
            super()._finish(curl, curl_error, curl_message)
            return
        transfer = handle.transfer
        self._multi.remove_handle(curl)
        if transfer is not None and handle.has_unread_bytes:
            handle.prepare_again(transfer.compute_remaining_s())
            self._multi.add_handle(curl)
            return
        if transfer is None:
            self._recycle(handle)
            return
        failure = _transfers.classify_failure(
            transfer, curl_error, curl_message or ""
        )
        if (
            failure is None
            and transfer.head.ends_with_connection
            and (transfer.was_reset or not handle.has_sent_body())
        ):
            failure = _transfer_types.Failure(_KIND.BROKEN, _EARLY_END_MESSAGE)
        self._recycle(handle)
        self._record_echo(transfer)
        transfer.end(failure)

    def _record_echo(self, transfer: _transfers.Transfer) -> None:
        if not self.rules.answers.echo_header or not transfer.head.complete:
            return
        address = transfer.request.address
        if address in self._echoes or len(self._echoes) < MAXIMUM_KNOWN_ECHOES:
            self._echoes[address] = transfer.head.echoed
