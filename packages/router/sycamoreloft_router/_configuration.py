"""Submits, accepts and applies generations of the configuration."""

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

#: Time between two ticks of the acceptance state machine, in seconds.
TICK_INTERVAL_S = 0.1

#: Delay before a failed fetch of files is retried, in seconds.
FETCH_RETRY_DELAY_S = 0.2

#: Time to wait for the result of a submission beyond the time that the
#: operator waits for its acceptance, in seconds.
SUBMISSION_MARGIN_S = 5.0

#: Generation of a host that does not know any accepted one yet.
EMPTY_GENERATION = sycamoreloft_config.Generation(0, {})


class GenerationObserver(typing.Protocol):
    """Receives each change of the generations that this host applies."""

    def apply_generations(
        self,
        accepted: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        """Applies the accepted and the pending generation.

        Args:
            accepted: Accepted generation.
            pending: Generation that waits for acceptance, None if there is
                none.
        """


class ConfigurationManager:
    """Runs the acceptance state machine and keeps the generations in force.

    Args:
        host: Name of this host.
        store: Client of the table and of the object store.
        observer: Receives each change of the generations.
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
        # Texts of files by digest, also of earlier generations.
        self._texts: dict[str, str] = {}
        self._head: acceptance.HeadRow | None = None
        self._head_version = -1
        self._applied_numbers = (0, 0)
        # Not empty at first, so that the host polls like a holder until it
        # applies a generation.
        self._held_groups: abc.Collection[str] = ("",)
        self._submissions: dict[
            str, asyncio.Future[acceptance.SubmissionResult]
        ] = {}
        #: Accepted generation that this host applies; number 0 until one is
        #: known.
        self.accepted = EMPTY_GENERATION
        #: Generation that waits for acceptance, None if there is none.
        self.pending: sycamoreloft_config.Generation | None = None
        #: Texts of the accepted generation's files by file name.
        self.accepted_texts: abc.Mapping[str, str] = {}

    # Tasks for the supervisor.

    async def run_ticks(self) -> None:
        """Ticks the state machine until it is cancelled."""
        while True:
            self._feed(acceptance.Tick())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def run_commands(self) -> None:
        """Performs the commands of the state machine in order until cancelled.

        The order matters: this host may record a generation as staged only
        after it has stopped serving what the two generations treat
        differently.
        """
        while True:
            await self._perform(await self._commands.get())

    # Methods for the groups of this host.

    def observe_head(self, row: _store_client.StoredRow | None) -> None:
        """Records the row `config/head` as it was read; ignores older versions.

        Args:
            row: The row, None if it does not exist.
        """
        version = row.version if row else 0
        if version <= self._head_version:
            return
        self._head_version = version
        self._head = _head_rows.decode_head(row.value) if row else None
        self._feed(acceptance.HeadRead(version, self._head))

    def get_applied_head_version(self) -> int | None:
        """Returns the version of the row whose generations this host applies.

        Returns:
            The version, 0 if the row does not exist, or None while this host
            does not yet apply the latest known version.
        """
        if self._head is None:
            return 0 if self._head_version == 0 else None
        pending = self._head.pending.number if self._head.pending else 0
        if self._applied_numbers != (self._head.accepted.number, pending):
            return None
        return self._head_version

    # Methods for other hosts and operators.

    def observe_groups(self, groups: abc.Collection[str]) -> None:
        """Records the groups that this host holds.

        Only hosts that hold a group poll the store for new generations.
        """
        if groups != self._held_groups:
            self._held_groups = groups
            self._feed(acceptance.HeldGroupsChanged(groups))

    async def apply_answer(
        self, answer: sycamoreloft_wire.GenerationAnswer
    ) -> None:
        """Applies a newer accepted generation that another host has sent.

        An accepted generation is never revoked, so that comparing the numbers
        is sufficient.
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
        """Submits files of an operator.

        Validates them together with the files of the newest generation,
        records them as the next generation, and waits for its acceptance for
        the time that the submission names.
        """
        checked = await self._check_submission(submission)
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

    async def _check_submission(
        self, submission: _admin.Submission
    ) -> result.Result[
        tuple[abc.Mapping[str, str], sycamoreloft_config.Generation],
        _admin.AdminProblem,
    ]:
        """Builds the submitted generation and stores its files as objects.

        Returns:
            The digests of the files by file name and the generation, or why
            the submission is refused.
        """
        rows = await self._store.read([_group_calls.HEAD_KEY])
        if not pipeline.is_successful(rows):
            return result.Failure(
                _make_store_problem("reading the configuration")
            )
        self.observe_head(rows.unwrap().get(_group_calls.HEAD_KEY))
        base: abc.Mapping[str, str] = {}
        if self._head is not None:
            entry = self._head.pending or self._head.accepted
            base = entry.files
        texts = await self._fetch_texts(base)
        if texts is None:
            return result.Failure(
                _make_store_problem("reading the present files")
            )
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
                    return result.Failure(
                        _make_store_problem("storing the files")
                    )
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
        """Returns texts by file name, None if the store did not answer.

        Args:
            files: Digests of the texts by file name.
        """
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
        """Lists failure domains that have not staged the pending generation."""
        return self._machine.list_waiting_domains()

    # Commands of the acceptance state machine.

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
        rows_by_key = dict(rows.unwrap())
        head = rows_by_key.pop(_group_calls.HEAD_KEY, None)
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
                    for key, row in rows_by_key.items()
                },
            )
        )

    @_perform.register
    async def _(self, command: acceptance.ApplyGenerations) -> None:
        while not await self._apply_head(command):
            await asyncio.sleep(FETCH_RETRY_DELAY_S)

    @_perform.register
    async def _(self, command: acceptance.WriteHead) -> None:
        written = await self._store.transact(
            {_group_calls.HEAD_KEY: command.version},
            {_group_calls.HEAD_KEY: _head_rows.encode_head(command.row)},
            request=command.request,
        )
        self._report_write(command.request, written)

    @_perform.register
    async def _(self, command: acceptance.StageGeneration) -> None:
        # Nothing is written here: only the group's own state machine writes
        # its row. It records `staged` itself once it knows the pending
        # generation, which the preceding ApplyGenerations has passed to it.
        # The next read of the group rows returns the result.
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
        self._report_write(command.request, written)

    @_perform.register
    async def _(self, command: acceptance.SubmissionResult) -> None:
        future = self._submissions.get(command.request)
        if future is not None and not future.done():
            future.set_result(command)

    def _report_write(
        self,
        request: str,
        written: result.Result[abc.Mapping[str, int], _store_client.StoreError],
    ) -> None:
        outcome = acceptance.WriteResult.APPLIED
        if not pipeline.is_successful(written):
            lost = isinstance(written.failure(), _store_client.StoreUnavailable)
            outcome = (
                acceptance.WriteResult.UNKNOWN
                if lost
                else acceptance.WriteResult.CONFLICT
            )
        self._feed(acceptance.WriteFinished(request, outcome))

    async def _apply_head(self, command: acceptance.ApplyGenerations) -> bool:
        """Applies the generations that a command names.

        Returns:
            Whether the command is done; False if the store did not return all
            files.
        """
        if self._head is None:
            return True
        entry = self._head.accepted
        pending_entry = self._head.pending
        pending_number = pending_entry.number if pending_entry else 0
        if (command.accepted, command.pending) != (
            entry.number,
            pending_number,
        ):
            # A newer version of the row was read meanwhile. The command that
            # it caused follows.
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
        self._applied_numbers = (entry.number, pending_number)
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
    "the store did not confirm in time whether the files were recorded",
    "submit again with the same request id; it is recorded only once",
)


def _make_store_problem(action: str) -> _admin.AdminProblem:
    return _admin.AdminProblem(
        503,
        "store-unavailable",
        f"the store did not answer while {action}",
        "submit the files again when the store answers; submissions with the"
        " same request id are recorded only once",
    )
