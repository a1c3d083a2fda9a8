"""The generations that this host applies, and their acceptance."""

import asyncio
from collections import abc
import functools
import logging
import time
import typing
import uuid

from returns import pipeline, result

import sycamoreloft_config
from sycamoreloft_decisions import acceptance
from sycamoreloft_router import (
    _admin,
    _group_calls,
    _head_rows,
    _logs,
    _store_client,
)
import sycamoreloft_wire

_LOGGER = logging.getLogger(__name__)

#: Time between two ticks of the acceptance machine, in seconds.
TICK_S = 0.1

#: Delay before a failed fetch of files is repeated, in seconds.
FETCH_AGAIN_S = 0.2

#: Time to wait for a file submission beyond the operator's own wait.
SUBMISSION_MARGIN_S = 5.0

EMPTY_GENERATION = sycamoreloft_config.Generation(0, {})


class GenerationObserver(typing.Protocol):
    """Is told when the host applies another generation."""

    def apply_generations(
        self,
        accepted: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        """Applies the accepted and the pending generation."""


class ConfigurationKeeper:
    """Runs the acceptance machine and keeps the files in force.

    Args:
        host: Name of this host.
        store: The store.
        observer: Is told of each change.
    """

    def __init__(
        self,
        host: str,
        store: _store_client.StoreClient,
        observer: GenerationObserver,
    ) -> None:
        self._store = store
        self._observer = observer
        self._machine = acceptance.Acceptance(host, lambda: uuid.uuid4().hex)
        self._commands: asyncio.Queue[acceptance.Command] = asyncio.Queue()
        self._texts: dict[str, str] = {}
        self._head: acceptance.HeadRow | None = None
        self._head_version = -1
        self._applied = (0, 0)
        self._held: abc.Collection[str] = ("",)
        self._submissions: dict[
            str, asyncio.Future[acceptance.SubmissionResult]
        ] = {}
        #: The accepted generation.
        self.accepted = EMPTY_GENERATION
        #: The pending generation, if any.
        self.pending: sycamoreloft_config.Generation | None = None
        #: Texts of the accepted files by name.
        self.accepted_texts: abc.Mapping[str, str] = {}

    # Tasks for the supervisor.

    async def run_ticks(self) -> None:
        """Lets the machine see time pass until it is cancelled."""
        while True:
            self._feed(acceptance.Tick())
            await asyncio.sleep(TICK_S)

    async def run_commands(self) -> None:
        """Performs the machine's commands in order until it is cancelled.

        The order matters: a group is staged only after this host has stopped
        serving what the generations treat differently.
        """
        while True:
            await self._perform(await self._commands.get())

    # What groups need.

    def observe_head(self, row: _store_client.StoredRow | None) -> None:
        """Takes `config/head` as some read has seen it."""
        version = row.version if row else 0
        if version <= self._head_version:
            return
        self._head_version = version
        self._head = _head_rows.decode_head(row.value) if row else None
        self._feed(acceptance.HeadRead(version, self._head))

    def find_head_version(self) -> int | None:
        """Returns the version whose generations this host applies."""
        if self._head is None:
            return 0 if self._head_version == 0 else None
        pending = self._head.pending.number if self._head.pending else 0
        if self._applied != (self._head.accepted.number, pending):
            return None
        return self._head_version

    # What peers and operators need.

    def observe_groups(self, groups: abc.Collection[str]) -> None:
        """Takes the groups that this host holds; only holders poll."""
        if groups != self._held:
            self._held = groups
            self._feed(acceptance.HeldGroupsChanged(groups))

    async def adopt_answer(
        self, answer: sycamoreloft_wire.GenerationAnswer
    ) -> None:
        """Applies a newer accepted generation that a peer has sent.

        An accepted generation never reverts, so a newer number is enough.
        """
        if answer.number <= self.accepted.number:
            return
        generation = sycamoreloft_config.build_generation(
            answer.number, answer.files
        )
        if not pipeline.is_successful(generation):
            _logs.log_event(
                _LOGGER,
                logging.ERROR,
                "generation-invalid",
                number=answer.number,
                problems=[str(item) for item in generation.failure()],
            )
            return
        pending = self.pending
        if pending is not None and pending.number <= answer.number:
            pending = None
        self._apply(generation.unwrap(), answer.files, pending)

    async def submit_file(
        self, submission: _admin.Submission
    ) -> result.Result[acceptance.SubmissionResult, _admin.AdminProblem]:
        """Checks files against those of the base and records them."""
        checked = await self._check(submission)
        if not pipeline.is_successful(checked):
            return result.Failure(checked.failure())
        files, generation = checked.unwrap()
        future: asyncio.Future[acceptance.SubmissionResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._submissions[submission.request] = future
        self._feed(
            acceptance.FileSubmitted(
                submission.request,
                submission.base,
                files,
                [
                    str(group)
                    for fleet in generation.fleets.values()
                    for group in sycamoreloft_config.list_groups(fleet)
                ],
                _list_lost_groups(generation),
                submission.wait_s,
            )
        )
        try:
            async with asyncio.timeout(submission.wait_s + SUBMISSION_MARGIN_S):
                return result.Success(await future)
        except TimeoutError:
            return result.Failure(_UNKNOWN_OUTCOME)
        finally:
            self._submissions.pop(submission.request, None)

    async def _check(
        self, submission: _admin.Submission
    ) -> result.Result[
        tuple[abc.Mapping[str, str], sycamoreloft_config.Generation],
        _admin.AdminProblem,
    ]:
        """Builds the candidate and stores its files as objects."""
        rows = await self._store.read([_group_calls.HEAD_KEY])
        if not pipeline.is_successful(rows):
            return result.Failure(_store_problem("reading the configuration"))
        self.observe_head(rows.unwrap().get(_group_calls.HEAD_KEY))
        base: abc.Mapping[str, str] = {}
        if self._head is not None:
            entry = self._head.pending or self._head.accepted
            base = entry.files
        texts = await self._fetch_texts(base)
        if texts is None:
            return result.Failure(_store_problem("reading the present files"))
        problems: list[str] = []
        for file_name, text in submission.texts.items():
            node = sycamoreloft_config.parse_file(text, file_name)
            if pipeline.is_successful(node):
                texts[sycamoreloft_config.build_file_name(node.unwrap())] = text
            else:
                problems += [str(item) for item in node.failure()]
        if not problems:
            generation = sycamoreloft_config.build_generation(
                submission.base + 1, texts
            )
            if pipeline.is_successful(generation):
                files = await self._put_texts(texts)
                if files is None:
                    return result.Failure(_store_problem("storing the files"))
                return result.Success((files, generation.unwrap()))
            problems = [str(item) for item in generation.failure()]
        return result.Failure(
            _admin.AdminProblem(
                422,
                "invalid-files",
                f"the files have {len(problems)} problems",
                "correct each problem and submit the files again",
                problems,
            )
        )

    async def _put_texts(
        self, texts: abc.Mapping[str, str]
    ) -> dict[str, str] | None:
        files = {}
        for name, text in texts.items():
            stored = await self._store.put_object(text)
            if not pipeline.is_successful(stored):
                return None
            files[name] = stored.unwrap()
            self._texts[stored.unwrap()] = text
        return files

    async def _fetch_texts(
        self, files: abc.Mapping[str, str]
    ) -> dict[str, str] | None:
        """Returns texts by file name, or None if the store did not answer."""
        texts = {}
        for name, digest in files.items():
            if digest not in self._texts:
                fetched = await self._store.get_object(digest)
                if not pipeline.is_successful(fetched):
                    return None
                self._texts[digest] = fetched.unwrap()
            texts[name] = self._texts[digest]
        return texts

    def list_waiting_domains(self) -> abc.Sequence[str]:
        """Lists failure domains that have not staged what is pending."""
        return self._machine.list_waiting_domains()

    # The acceptance machine.

    def _feed(self, event: acceptance.Event) -> None:
        for command in self._machine.handle(event, time.monotonic()):
            self._commands.put_nowait(command)

    @functools.singledispatchmethod
    async def _perform(self, command: acceptance.Command) -> None:
        raise TypeError(f"unknown command {type(command).__name__}")

    @_perform.register
    async def _(self, command: acceptance.ReadRows) -> None:
        prefixes = ["group/"] if command.with_group_rows else []
        rows = await self._store.read([_group_calls.HEAD_KEY], prefixes)
        if not pipeline.is_successful(rows):
            return
        found = dict(rows.unwrap())
        head = found.pop(_group_calls.HEAD_KEY, None)
        version = head.version if head else 0
        self.observe_head(head)
        if not command.with_group_rows:
            return
        self._feed(
            acceptance.GroupRowsRead(
                version,
                {
                    key.removeprefix("group/"): acceptance.GroupRow(
                        row.version, row.value["holder"], row.value["staged"]
                    )
                    for key, row in found.items()
                },
            )
        )

    @_perform.register
    async def _(self, command: acceptance.ApplyGenerations) -> None:
        while not await self._use_head(command):
            await asyncio.sleep(FETCH_AGAIN_S)

    @_perform.register
    async def _(self, command: acceptance.WriteHead) -> None:
        written = await self._store.transact(
            {_group_calls.HEAD_KEY: command.version},
            {_group_calls.HEAD_KEY: _head_rows.encode_head(command.row)},
            request=command.request,
        )
        self._settle(command.request, written)

    @_perform.register
    async def _(self, command: acceptance.StageGeneration) -> None:
        # The group holder machine owns the group row and records `staged`
        # itself once it is told of the pending generation, which the
        # preceding UseHead has done. The next read of the rows shows it.
        self._feed(
            acceptance.WriteFinished(
                command.request, acceptance.WriteResult.CONFLICT
            )
        )

    @_perform.register
    async def _(self, command: acceptance.AcceptGeneration) -> None:
        conditions = {
            f"group/{group}": version
            for group, version in command.group_versions.items()
        }
        conditions[_group_calls.HEAD_KEY] = command.version
        written = await self._store.transact(
            conditions,
            {_group_calls.HEAD_KEY: _head_rows.encode_head(command.row)},
            request=command.request,
        )
        self._settle(command.request, written)

    @_perform.register
    async def _(self, command: acceptance.SubmissionResult) -> None:
        future = self._submissions.get(command.request)
        if future is not None and not future.done():
            future.set_result(command)

    def _settle(
        self,
        request: str,
        written: result.Result[abc.Mapping[str, int], _store_client.StoreError],
    ) -> None:
        settled = acceptance.WriteResult.APPLIED
        if not pipeline.is_successful(written):
            lost = isinstance(written.failure(), _store_client.StoreUnavailable)
            settled = (
                acceptance.WriteResult.UNKNOWN
                if lost
                else acceptance.WriteResult.CONFLICT
            )
        self._feed(acceptance.WriteFinished(request, settled))

    async def _use_head(self, command: acceptance.ApplyGenerations) -> bool:
        """Applies the named generations; False if files are missing yet."""
        if self._head is None:
            return True
        entry = self._head.accepted
        pending_entry = self._head.pending
        pending_number = pending_entry.number if pending_entry else 0
        if (command.accepted, command.pending) != (
            entry.number,
            pending_number,
        ):
            # A newer head was read meanwhile; its own command follows.
            return True
        texts = await self._fetch_texts(entry.files)
        pending_texts = (
            await self._fetch_texts(pending_entry.files)
            if pending_entry
            else {}
        )
        if texts is None or pending_texts is None:
            return False
        accepted = sycamoreloft_config.build_generation(entry.number, texts)
        pending = None
        if pending_entry is not None:
            pending = sycamoreloft_config.build_generation(
                pending_entry.number, pending_texts
            ).value_or(None)
        if entry.number >= self.accepted.number:
            self._apply(accepted.value_or(self.accepted), texts, pending)
        self._applied = (entry.number, pending_number)
        return True

    def _apply(
        self,
        accepted: sycamoreloft_config.Generation,
        texts: abc.Mapping[str, str],
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        if accepted.number > self.accepted.number:
            _logs.log_event(
                _LOGGER,
                logging.INFO,
                "generation-applied",
                number=accepted.number,
            )
        self.accepted, self.pending = accepted, pending
        self.accepted_texts = dict(texts)
        self._observer.apply_generations(accepted, pending)


def _list_lost_groups(
    generation: sycamoreloft_config.Generation,
) -> list[str]:
    return [
        str(group)
        for fleet in generation.fleets.values()
        for group in sycamoreloft_config.list_groups(fleet)
        if fleet.failure_domains[group.failure_domain].lost
    ]


_UNKNOWN_OUTCOME = _admin.AdminProblem(
    503,
    "outcome-unknown",
    "the store did not tell in time whether the files were recorded",
    "submit again with the same request id; it is recorded once",
)


def _store_problem(action: str) -> _admin.AdminProblem:
    return _admin.AdminProblem(
        503,
        "store-unavailable",
        f"the store did not answer while {action}",
        "submit the files again when the store is back; a repeated request id"
        " is one submission",
    )
