"""Sends messages to group holders, on this host or on other hosts."""

import asyncio
from collections import abc
import functools
import typing

from returns import pipeline

from sycamoreloft_router import _group_runtime, _peer_links, _peer_server
import sycamoreloft_wire

#: Error text of a call to a group whose holder is unknown.
NO_HOLDER = "no holder of the group is known"


class HolderDirectory(typing.Protocol):
    """Locations of group holders."""

    def find_holder_address(self, group: str) -> str | None:
        """Returns the peer address of a group's holder, None if unknown."""


class HolderCalls:
    """Calls group holders, directly if this host holds the group.

    Args:
        runtimes: Groups in which this host takes part, by name.
        directory: Locations of group holders.
        links: Connections to other hosts.
    """

    def __init__(
        self,
        runtimes: abc.Mapping[str, _group_runtime.GroupRuntime],
        directory: HolderDirectory,
        links: _peer_links.PeerLinks,
    ) -> None:
        self._runtimes = runtimes
        self._directory = directory
        self._links = links
        self._post_tasks: set[asyncio.Task[bool]] = set()

    def get_local_runtime(
        self, group: str
    ) -> _group_runtime.GroupRuntime | None:
        """Returns the group's runtime, None if this host does not hold it."""
        runtime = self._runtimes.get(group)
        return runtime if runtime is not None and runtime.epoch else None

    async def call(
        self, group: str, message: sycamoreloft_wire.Message, timeout_s: float
    ) -> sycamoreloft_wire.Message | _peer_links.PeerError:
        """Sends a message to a group's holder and waits for the answer.

        Args:
            group: The group as "fleet/domain/index".
            message: Message to send.
            timeout_s: Time to wait for the answer, in seconds.

        Returns:
            The answer, or an error that says whether the message may have
            reached the holder.
        """
        runtime = self.get_local_runtime(group)
        if runtime is not None:
            return await self._call_local(runtime, message, timeout_s)
        address = self._directory.find_holder_address(group)
        if address is None:
            return _peer_links.PeerError(NO_HOLDER, sent=False)
        answer = await self._links.call(address, message, timeout_s)
        if pipeline.is_successful(answer):
            return answer.unwrap()
        return answer.failure()

    async def _call_local(
        self,
        runtime: _group_runtime.GroupRuntime,
        message: sycamoreloft_wire.Message,
        timeout_s: float,
    ) -> sycamoreloft_wire.Message | _peer_links.PeerError:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[sycamoreloft_wire.Message] = loop.create_future()

        def reply(answer: sycamoreloft_wire.Message) -> None:
            if not future.done():
                future.set_result(answer)

        deliver(message, runtime, reply)
        if future.done():
            return future.result()
        timer = loop.call_later(timeout_s, _fail_with_timeout, future)
        try:
            return await future
        except TimeoutError:
            return _peer_links.PeerError("the holder did not answer", sent=True)
        finally:
            timer.cancel()

    def post(self, group: str, message: sycamoreloft_wire.Message) -> None:
        """Sends a message to a group's holder without waiting for an answer.

        The message is dropped if the holder is unknown or unreachable.
        """
        runtime = self.get_local_runtime(group)
        if runtime is not None:
            deliver(message, runtime, _discard_answer)
            return
        address = self._directory.find_holder_address(group)
        if address is None or self._links.try_post(address, message):
            return
        task = asyncio.get_running_loop().create_task(
            self._links.post(address, message)
        )
        self._post_tasks.add(task)
        task.add_done_callback(self._post_tasks.discard)


def _fail_with_timeout(
    future: asyncio.Future[sycamoreloft_wire.Message],
) -> None:
    if not future.done():
        future.set_exception(TimeoutError())


def _discard_answer(answer: sycamoreloft_wire.Message) -> None:
    """Discards the answer to a posted message."""


@functools.singledispatch
def deliver(
    message: sycamoreloft_wire.Message,
    runtime: _group_runtime.GroupRuntime,
    reply: _peer_server.Reply,
) -> None:
    """Passes a message for a group's holder to the group's runtime.

    Raises:
        TypeError: The message is not one that hosts send to holders.
    """
    raise TypeError(f"{type(message).__name__} is no message to a group holder")


@deliver.register
def _(
    message: sycamoreloft_wire.PermitRequest,
    runtime: _group_runtime.GroupRuntime,
    reply: _peer_server.Reply,
) -> None:
    runtime.handle_permit_request(message, reply)


@deliver.register
def _(
    message: sycamoreloft_wire.PermitReturn,
    runtime: _group_runtime.GroupRuntime,
    reply: _peer_server.Reply,
) -> None:
    runtime.return_permit(message)


@deliver.register
def _(
    message: sycamoreloft_wire.PermitReport,
    runtime: _group_runtime.GroupRuntime,
    reply: _peer_server.Reply,
) -> None:
    runtime.report_permits(message, reply)


@deliver.register
def _(
    message: sycamoreloft_wire.ClaimRequest,
    runtime: _group_runtime.GroupRuntime,
    reply: _peer_server.Reply,
) -> None:
    runtime.handle_claim_request(message, reply)


@deliver.register
def _(
    message: sycamoreloft_wire.ClaimResult,
    runtime: _group_runtime.GroupRuntime,
    reply: _peer_server.Reply,
) -> None:
    runtime.handle_claim_result(message)
