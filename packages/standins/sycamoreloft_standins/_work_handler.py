"""HTTP handler that runs requests of an upstream and injects faults."""

import asyncio
import contextlib
import hashlib
import json
import os
import socket
import struct
import time
import typing

import tornado.iostream
import tornado.web

from sycamoreloft_standins import _echo, _upstream_state

_DEFAULT_DEADLINE_MS = 60_000
#: SO_LINGER value with which a close sends a reset at once.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
#: Exit code of a process after a request with X-Standin-Crash.
_CRASH_EXIT_CODE = 86


@tornado.web.stream_request_body
class WorkHandler(tornado.web.RequestHandler):
    """Handles every path that is not a control path.

    A request counts as started when it acquires its slot, before its body is
    read; this is the strictest interpretation of "ran".
    """

    def initialize(self, state: _upstream_state.UpstreamState) -> None:
        """Sets the initial state of one request."""
        self.state = state
        self._arrived_at = time.monotonic()
        self._run = ""
        self._has_slot = False
        self._received = 0
        self._digest = hashlib.sha256()
        self._peer_closed = asyncio.Event()

    def _get_header(self, name: str) -> str:
        return self.request.headers.get(name, "")

    def _get_number(self, name: str, default: float) -> float:
        text = self._get_header(name)
        try:
            return float(text) if text else default
        except ValueError as error:
            raise tornado.web.HTTPError(
                400, reason=f"{name} is not a number"
            ) from error

    @property
    def _stream(self) -> tornado.iostream.IOStream:
        connection = typing.cast(typing.Any, self.request.connection)
        return typing.cast(tornado.iostream.IOStream, connection.stream)

    async def prepare(self) -> None:
        """Refuses the request as the protocol demands, or starts its run."""
        # The connection itself reports a close only after the body was read.
        self._stream.set_close_callback(self._peer_closed.set)
        if self.state.spec.echoes_attempt:
            attempt = self._get_header("Sycamoreloft-Attempt")
            self.set_header("Sycamoreloft-Attempt", attempt)
        await self.state.wait_while_frozen()
        if self.state.should_inject(self.state.faults.reset_before_share):
            self._reset_connection()
            return
        if self.state.faults.draining:
            self._refuse(503, "draining")
            return
        deadline_ms = self._get_number(
            "Sycamoreloft-Deadline-Ms", _DEFAULT_DEADLINE_MS
        )
        if deadline_ms <= 0:
            self._refuse(503, "expired")
            return
        has_acquired = await self.state.slot_pool.acquire(deadline_ms / 1000.0)
        if has_acquired is None:
            self._refuse(503, "expired")
        elif not has_acquired:
            self._refuse(503, "shed")
        else:
            self._has_slot = True
            await self.state.wait_while_frozen()
            self._start()

    def _start(self) -> None:
        """Starts the run if the grant is in force at this moment."""
        if self._peer_closed.is_set():
            # The sender cancelled while the request waited for a slot.
            self._free_slot()
            self._finished = True
            return
        # The same clock reading is checked and logged; with two readings, a
        # pause between them would look like a run without ownership.
        clock = self.state.read_clock()
        if not self._is_owned(clock):
            self._free_slot()
            self._refuse(421, "not-owner")
        else:
            self._run = self.state.make_run_name()
            at = self.state.convert_to_machine_clock(clock)
            self.state.record("start", at=at, **self._describe_run())

    def _is_owned(self, clock: float) -> bool:
        if not self.state.spec.keyed:
            return True
        return self.state.grants.may_run(
            self._get_header("Sycamoreloft-Group"),
            self._get_header("Sycamoreloft-Service"),
            self._get_header("Sycamoreloft-Key"),
            int(self._get_number("Sycamoreloft-Partition", -1)),
            int(self._get_number("Sycamoreloft-Fence", 0)),
            clock,
        )

    def _describe_run(self) -> dict[str, typing.Any]:
        return {
            "run": self._run,
            "arrived": self._arrived_at,
            "method": self.request.method,
            "path": self.request.path,
            "request": self._get_header("X-Standin-Request"),
            "idempotency_key": self._get_header("Idempotency-Key"),
            "group": self._get_header("Sycamoreloft-Group"),
            "service": self._get_header("Sycamoreloft-Service"),
            "key": self._get_header("Sycamoreloft-Key"),
            "partition": int(self._get_number("Sycamoreloft-Partition", -1)),
            "fence": int(self._get_number("Sycamoreloft-Fence", 0)),
            "epoch": int(self._get_number("Sycamoreloft-Epoch", 0)),
            "attempt": self._get_header("Sycamoreloft-Attempt"),
        }

    def _refuse(self, status: int, reason: str) -> None:
        self.state.record(
            "refused",
            reason=reason,
            request=self._get_header("X-Standin-Request"),
        )
        self.set_status(status)
        self.set_header("Sycamoreloft-Refused", reason)
        self.finish({"refused": reason})

    def data_received(self, chunk: bytes) -> None:
        """Adds a part of the request's body to the count and the digest."""
        self._received += len(chunk)
        self._digest.update(chunk)

    async def _process(self) -> None:
        """Runs the request and answers it."""
        requested = self._get_header("X-Standin-Work-Ms")
        requested_ms = (
            self._get_number("X-Standin-Work-Ms", 0.0) if requested else None
        )
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                self._peer_closed.wait(),
                self.state.get_service_time_ms(requested_ms) / 1000.0,
            )
        await self.state.wait_while_frozen()
        if self._get_header("X-Standin-Crash") == "1":
            self.state.record("crashed", run=self._run)
            os._exit(_CRASH_EXIT_CODE)
        if not self._peer_closed.is_set():
            await self._answer()

    async def _answer(self) -> None:
        faults = self.state.faults
        if self.state.should_inject(faults.reset_after_share):
            self._end_run(broken=True)
            self._reset_connection()
            return
        if self.state.should_inject(faults.late_share):
            # The run ends and frees its slot before the answer is sent.
            self._end_run()
            await asyncio.sleep(faults.late_ms / 1000.0)
        size = int(self._get_number("X-Standin-Size", 0))
        if self.state.should_inject(faults.truncate_share):
            self._send_truncated(max(size, 1000))
        elif size:
            await self._stream_answer(size)
        else:
            self._echo()

    def _echo(self) -> None:
        """Sends the echo as answer, or twice if that fault is injected."""
        body = json.dumps(
            {
                **_echo.make_echo(
                    self._get_header("X-Standin-Request"),
                    self._get_header("X-Standin-Caller"),
                    self.state.spec.fleet,
                    self._get_header("Sycamoreloft-Service"),
                    self._get_header("Sycamoreloft-Key"),
                ),
                "upstream": self.state.spec.name,
                "received": self._received,
                "digest": self._digest.hexdigest(),
            }
        ).encode()
        stream = self._stream
        twice = self.state.should_inject(self.state.faults.twice_share)
        self._end_run()
        self.set_header("Content-Type", "application/json")
        self.finish(body)
        if twice and not stream.closed():
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            stream.write(head.encode() + body)

    async def _stream_answer(self, size: int) -> None:
        self.set_header("Content-Length", str(size))
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("X-Standin-Upstream", self.state.spec.name)
        sent = 0
        parts = _echo.make_stream(
            self._get_header("X-Standin-Request"), self.state.spec.name, size
        )
        try:
            for part in parts:
                sent += len(part)
                if sent == size:
                    self._end_run()
                self.write(part)
                await self.flush()
                await self.state.wait_while_frozen()
        except tornado.iostream.StreamClosedError:
            self._finished = True
            return
        self.finish()

    def _send_truncated(self, size: int) -> None:
        """Sends half of the announced bytes and closes the connection."""
        stream = self._stream
        self._end_run(broken=True)
        self._finished = True
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n"
        stream.write(head.encode() + b"x" * (size // 2))
        stream.close()

    def _reset_connection(self) -> None:
        stream = self._stream
        self._finished = True
        if stream.socket is not None:
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        stream.close()

    async def get(self) -> None:
        """Runs the request."""
        await self._process()

    post = put = delete = patch = get

    def on_connection_close(self) -> None:
        """Ends the run when the sender cancels the request."""
        self._peer_closed.set()
        self._end_run()

    def on_finish(self) -> None:
        """Ends the run unless it has ended already."""
        self._end_run()

    def _end_run(self, broken: bool = False) -> None:
        """Logs the end of the run and frees the slot.

        Args:
            broken: Whether the answer is cut off or missing.
        """
        if self._run and self._has_slot:
            self.state.record(
                "end",
                run=self._run,
                cancelled=self._peer_closed.is_set(),
                broken=broken,
                received=self._received,
            )
        self._free_slot()

    def _free_slot(self) -> None:
        if self._has_slot:
            self._has_slot = False
            self.state.slot_pool.release()
