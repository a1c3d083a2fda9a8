"""Child processes that end when the driver that started them ends."""

import asyncio
from collections import abc
import ctypes
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import typing

#: prctl option that sets the signal sent to a process when its parent ends.
_PR_SET_PDEATHSIG = 1
#: Candidate ports, below the range of ephemeral ports of the system.
_PORTS = range(12_000, 30_000)
_POLL_S = 0.02

# Loaded before any fork: loading a library between fork and exec is unsafe.
_LIBRARY = ctypes.CDLL(None, use_errno=True)


class ProcessError(RuntimeError):
    """A child process or a port did not reach the state that was required."""


def _end_with_parent(parent: int) -> None:
    """Makes the system kill this process when its parent ends."""
    _LIBRARY.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent:
        # The parent ended before the call took effect.
        os._exit(1)


def start_child(
    arguments: abc.Sequence[str], output: typing.IO[bytes] | int
) -> subprocess.Popen[bytes]:
    """Starts a process that ends when this one ends, even by SIGKILL.

    Must be called on the main thread, because the system treats the end of the
    thread that started the child as the end of the parent.
    """
    parent = os.getpid()
    return subprocess.Popen(
        arguments,
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=subprocess.STDOUT,
        preexec_fn=lambda: _end_with_parent(parent),
    )


def find_free_ports(count: int, seed: int | None = None) -> list[int]:
    """Returns loopback ports that are currently free.

    Args:
        count: Number of ports.
        seed: Seed of the search order; the process id if omitted, so that
            concurrent drivers search in different orders.
    """
    candidates = list(_PORTS)
    random.Random(os.getpid() if seed is None else seed).shuffle(candidates)
    found: list[int] = []
    for port in candidates:
        if len(found) == count:
            return found
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            found.append(port)
    raise ProcessError(f"fewer than {count} free ports in {_PORTS}")


@dataclasses.dataclass(slots=True)
class Child:
    """One child process of a driver."""

    #: Name in error messages and of the output file.
    name: str
    #: Handle of the process, which may have ended.
    process: subprocess.Popen[bytes]
    #: File with its standard output and standard error.
    output: pathlib.Path
    #: Ports on which it listens once it is ready.
    ports: abc.Sequence[int]

    @property
    def pid(self) -> int:
        """Identifier of the process."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def read_output_end(self, lines: int = 15) -> str:
        """Returns the last lines of its output."""
        text = self.output.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def send(self, number: signal.Signals) -> None:
        """Sends a signal unless the process has ended."""
        if self.running:
            self.process.send_signal(number)

    def terminate(self) -> None:
        """Requests a planned stop with SIGTERM."""
        self.send(signal.SIGTERM)

    def kill(self) -> float:
        """Kills the process and returns the monotonic time after its end."""
        self.send(signal.SIGKILL)
        self.process.wait()
        return time.monotonic()

    def freeze(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process with SIGCONT."""
        self.send(signal.SIGCONT)

    async def wait_ended(self, timeout_s: float) -> int:
        """Waits until the process ends and returns its exit code.

        Raises:
            ProcessError: The process still runs after the timeout.
        """
        deadline = time.monotonic() + timeout_s
        while (code := self.process.poll()) is None:
            if time.monotonic() > deadline:
                raise ProcessError(
                    f"{self.name} still runs after {timeout_s} s; its last"
                    f" lines:\n{self.read_output_end()}"
                )
            await asyncio.sleep(_POLL_S)
        return code

    async def wait_listening(self, timeout_s: float) -> None:
        """Waits until all ports accept connections.

        Raises:
            ProcessError: The process ended, or a port is still closed after
                the timeout.
        """
        deadline = time.monotonic() + timeout_s
        for port in self.ports:
            while not await _accepts(port):
                if not self.running or time.monotonic() > deadline:
                    raise ProcessError(
                        f"{self.name} does not listen on port {port} (exit"
                        f" code {self.process.poll()}); its last lines:\n"
                        f"{self.read_output_end()}"
                    )
                await asyncio.sleep(_POLL_S)


async def _accepts(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


class ProcessGroup:
    """Context manager that kills all children of a driver on exit."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._children: list[Child] = []

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *details: object) -> None:
        for child in self._children:
            child.send(signal.SIGKILL)
        for child in self._children:
            child.process.wait()

    def start(
        self,
        name: str,
        arguments: abc.Sequence[str],
        ports: abc.Sequence[int] = (),
    ) -> Child:
        """Starts a child whose output goes to a file in the folder.

        A child that is restarted under the same name appends to its file.
        """
        output = self._folder / f"{name}.out"
        with output.open("ab") as file:
            process = start_child(arguments, file)
        child = Child(name, process, output, ports)
        self._children.append(child)
        return child
