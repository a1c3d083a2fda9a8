"""Simulated hosts in virtual time, and the execution of their commands."""

from collections import abc
import dataclasses
import heapq
import itertools
import random
import typing

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_proof import _ownership_fakes, _ownership_oracle

#: Interval between two ticks of a host, by the host's own clock.
TICK_S = 0.05
#: Calls without an answer are reported as failed after this time.
CALL_TIMEOUT_S = 0.5
#: Maximum ratio of the rates of two clocks.
MAXIMUM_RATE = 1.02


@dataclasses.dataclass(slots=True)
class Host:
    """A simulated host with its state machine and its clock."""

    #: Name of the host, kept across restarts.
    name: str
    #: State machine of the host; replaced at a restart.
    machine: sycamoreloft_decisions.GroupHolder
    #: Rate of its clock relative to true time.
    rate: float
    #: Reading of its clock at true time 0, in seconds.
    offset: float
    #: Counts the restarts; answers to an earlier process are dropped.
    process: int = 1
    #: Whether its process exists; a paused host is alive.
    is_alive: bool = True
    #: True time at which its pause ends, in seconds.
    paused_until: float = 0.0
    #: Whether a planned stop was requested.
    is_stopping: bool = False
    #: Numbers of the accepted and the pending generation that it applies; 0
    #: for none.
    head: tuple[int, int] = (0, 0)


class OwnershipAdapter:
    """Simulated group with several hosts, upstreams, a store and a network.

    Args:
        generation: The accepted generation.
        group: The group to simulate.
        host_names: Hosts of the group's failure domain.
        seed: Seed of delays and clocks.
        store: Store shared with other groups, None for a store of its own.
    """

    def __init__(
        self,
        generation: sycamoreloft_config.Generation,
        group: sycamoreloft_config.GroupName,
        host_names: abc.Sequence[str],
        seed: int,
        store: _ownership_fakes.FakeStore | None = None,
    ) -> None:
        self.generation = generation
        #: The pending generation, None for none.
        self.pending: sycamoreloft_config.Generation | None = None
        self.group = group
        self.random = random.Random(seed)
        self.now = 0.0
        self.store = store or _ownership_fakes.FakeStore(
            _ownership_oracle.OwnershipOracle()
        )
        self.oracle = self.store.oracle
        #: Maximum one-way delay of the network, in seconds.
        self.maximum_delay_s = 0.002
        #: Share of messages that are lost.
        self.drop_share = 0.0
        #: Pairs of hosts, upstreams or "store" that cannot reach each other.
        self.cuts: set[frozenset[str]] = set()
        #: Maximum delays of single links, by source and target, in seconds.
        self.link_delays: dict[tuple[str, str], float] = {}
        #: Maximum time from a machine's decision to the sending of its
        #: command, in seconds.
        self.send_delay_s = 0.001
        self._queue: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._order = itertools.count()
        # True time of the last contact, by observing and observed host.
        self._last_contacts: dict[tuple[str, str], float] = {}
        # Stored owners that a host learns from the answer to a write, by host,
        # process and call.
        self._expected: dict[
            tuple[str, int, int], _ownership_fakes.Records
        ] = {}
        fleet = generation.fleets[group.fleet]
        self.fleet = fleet
        self.upstreams: dict[str, _ownership_fakes.FakeUpstream] = {}
        for upstream in sycamoreloft_config.list_group_upstreams(fleet, group):
            self.add_upstream(upstream)
        self.hosts: dict[str, Host] = {}
        for name in host_names:
            self._start_host(name)

    def add_upstream(self, upstream: sycamoreloft_config.Upstream) -> None:
        """Adds an upstream unless it exists already."""
        if upstream.name in self.upstreams:
            return
        fake = _ownership_fakes.FakeUpstream(
            upstream.name,
            upstream.checks_fences,
            self.oracle,
            self._draw_rate(),
            self.random.uniform(0, 1000),
        )
        fake.checks_versions = upstream.name not in ("u2", "u3")
        self.upstreams[upstream.name] = fake

    def _draw_rate(self) -> float:
        return self.random.choice([1.0, MAXIMUM_RATE, 1.01])

    def _start_host(self, name: str) -> None:
        rate = self._draw_rate()
        offset = self.random.uniform(0, 1000)
        old = self.hosts.get(name)
        process = old.process + 1 if old else 1
        machine = sycamoreloft_decisions.GroupHolder(
            name,
            f"{name}-{process}",
            self.group,
            self.generation,
            self.now * rate + offset,
        )
        host = Host(name, machine, rate, offset, process)
        self.hosts[name] = host
        self.deliver(host, self._make_head_event())
        self.schedule(self.random.uniform(0, TICK_S), lambda: self._tick(host))

    def schedule(self, delay: float, action: abc.Callable[[], None]) -> None:
        """Runs an action after a delay in seconds of true time."""
        heapq.heappush(
            self._queue, (self.now + delay, next(self._order), action)
        )

    def run(self, duration: float) -> None:
        """Advances true time by `duration` seconds."""
        end = self.now + duration
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def read_clock(self, host: Host) -> float:
        """Returns the reading of a host's clock."""
        return self.now * host.rate + host.offset

    def _tick(self, host: Host) -> None:
        if not host.is_alive:
            return
        self._when_running(host, lambda: self._tick_now(host))

    def _tick_now(self, host: Host) -> None:
        self.deliver(host, self._observe_members(host))
        self.deliver(host, sycamoreloft_decisions.Tick())
        self.schedule(TICK_S / host.rate, lambda: self._tick(host))

    def _when_running(self, host: Host, action: abc.Callable[[], None]) -> None:
        """Runs an action now, or when the host's pause ends."""
        if not host.is_alive:
            return
        if host.paused_until > self.now:
            self.schedule(
                host.paused_until - self.now,
                lambda: self._when_running(host, action),
            )
            return
        action()

    def _observe_members(
        self, host: Host
    ) -> sycamoreloft_decisions.MembersObserved:
        contacts = {}
        claims = {}
        for other in self.hosts.values():
            if other is host or self.is_cut(host.name, other.name):
                continue
            if other.is_alive and other.paused_until <= self.now:
                self._last_contacts[host.name, other.name] = self.now
                claims[other.name] = other.machine.get_epoch()
        for other in self.hosts.values():
            contact = self._last_contacts.get((host.name, other.name))
            if contact is not None and other is not host:
                contacts[other.name] = contact * host.rate + host.offset
        return sycamoreloft_decisions.MembersObserved(
            contacts, {name: epoch for name, epoch in claims.items() if epoch}
        )

    def deliver(self, host: Host, event: sycamoreloft_decisions.Event) -> None:
        """Delivers an event to a host and schedules its commands."""
        if isinstance(event, sycamoreloft_decisions.GenerationChanged):
            pending = event.pending.number if event.pending else 0
            head = (event.generation.number, pending)
            if head < host.head:
                return
            host.head = head
        if isinstance(event, sycamoreloft_decisions.WriteStored):
            key = (host.name, host.process, event.call)
            for unit, (_, fence) in self._expected.pop(key, {}).items():
                self.oracle.record_acknowledgement(unit, fence)
        commands = host.machine.handle(event, self.read_clock(host))
        for command in commands:
            delay = self.random.uniform(0, self.send_delay_s)
            self._schedule_command(host, command, delay)

    def _schedule_command(
        self,
        host: Host,
        command: sycamoreloft_decisions.Command,
        delay: float,
    ) -> None:
        self.schedule(
            delay,
            lambda: self._when_running(
                host, lambda: self._perform(command, host)
            ),
        )

    def is_cut(self, left: str, right: str) -> bool:
        """Returns whether the two cannot reach each other."""
        return frozenset((left, right)) in self.cuts

    def transmit(
        self, source: str, target: str, action: abc.Callable[[], None]
    ) -> None:
        """Delivers a message after a delay, unless it is lost."""
        if self.is_cut(source, target):
            return
        if self.random.random() < self.drop_share:
            return
        delay = self.link_delays.get((source, target), self.maximum_delay_s)
        self.schedule(self.random.uniform(0, delay), action)

    def _answer(
        self, source: str, host: Host, event: sycamoreloft_decisions.Event
    ) -> None:
        """Sends an answer to the host that made the call."""

        def arrive() -> None:
            self._when_running(host, lambda: self.deliver(host, event))

        self.transmit(source, host.name, arrive)

    def _perform(
        self, command: sycamoreloft_decisions.Command, host: Host
    ) -> None:
        match command:
            case sycamoreloft_decisions.SendGrant():
                self._send_grant(command, host)
            case sycamoreloft_decisions.ReadRows():
                self._read_rows(command, host)
            case sycamoreloft_decisions.WriteRows():
                self._write_rows(command, host)
            case sycamoreloft_decisions.RequestPromise():
                self._request_promise(command, host)
            case sycamoreloft_decisions.RequestStepDown():
                self._request_step_down(command, host)
            case sycamoreloft_decisions.PauseUnit(unit):
                self.schedule(0.01, lambda: self._drain(host, unit))
            case _:
                pass

    def _drain(self, host: Host, unit: sycamoreloft_decisions.Unit) -> None:
        event = sycamoreloft_decisions.UnitDrained(unit)
        self._when_running(host, lambda: self.deliver(host, event))

    def _send_grant(
        self, command: sycamoreloft_decisions.SendGrant, host: Host
    ) -> None:
        upstream = self.upstreams[command.upstream]

        def arrive() -> None:
            if not upstream.is_alive:
                return
            if upstream.frozen_until > self.now:
                wait = upstream.frozen_until - self.now
                self.schedule(wait, arrive)
                return
            answer = upstream.receive_grant(command, self.now)
            self._answer(
                command.upstream,
                host,
                sycamoreloft_decisions.GrantAnswered(
                    command.upstream, command.call, *answer
                ),
            )

        self.transmit(host.name, command.upstream, arrive)

    def _read_rows(
        self, command: sycamoreloft_decisions.ReadRows, host: Host
    ) -> None:
        def arrive() -> None:
            if self.store.is_down:
                return
            row, version, rows = self.store.read(
                command.row_key, command.assignment_prefix
            )
            event = sycamoreloft_decisions.RowsRead(
                command.call,
                sycamoreloft_decisions.decode_group_row(row) if row else None,
                version,
                sycamoreloft_decisions.decode_tables(rows),
            )
            self._answer_store(host, self._make_head_event())
            self._answer_store(host, event)

        self._call_store(host, arrive)
        failure = sycamoreloft_decisions.ReadFailed(command.call)
        self._report_later(host, failure)

    def _write_rows(
        self, command: sycamoreloft_decisions.WriteRows, host: Host
    ) -> None:
        head = host.head
        puts: dict[str, typing.Any] = dict(command.puts)
        puts[command.row_key] = sycamoreloft_decisions.encode_group_row(
            command.row
        )

        def arrive() -> None:
            if self.store.is_down:
                return
            version = None
            # The first write of a holder is also conditional on the
            # generations being unchanged.
            if command.row.heartbeat > 1 or head == self.get_head():
                version = self.store.write(
                    command.row_key, command.row_version, puts
                )
            event: sycamoreloft_decisions.Event
            if version is None:
                event = sycamoreloft_decisions.WriteRefused(command.call)
            else:
                self._expected[host.name, host.process, command.call] = (
                    self.store.list_records()
                )
                event = sycamoreloft_decisions.WriteStored(
                    command.call, version
                )
            self._answer_store(host, event)

        self._call_store(host, arrive)
        unanswered = sycamoreloft_decisions.WriteOutcomeUnknown(command.call)
        self._report_later(host, unanswered)

    def get_head(self) -> tuple[int, int]:
        """Returns the numbers of the accepted and the pending generation."""
        pending = self.pending.number if self.pending else 0
        return (self.generation.number, pending)

    def _make_head_event(self) -> sycamoreloft_decisions.GenerationChanged:
        return sycamoreloft_decisions.GenerationChanged(
            self.generation, self.pending
        )

    def _call_store(self, host: Host, action: abc.Callable[[], None]) -> None:
        if self.is_cut(host.name, "store"):
            return
        delay = self.random.uniform(0, self.store.maximum_delay_s)
        self.schedule(delay, action)

    def _answer_store(
        self, host: Host, event: sycamoreloft_decisions.Event
    ) -> None:
        if self.is_cut(host.name, "store"):
            return
        if self.random.random() < self.store.lost_answer_share:
            return
        delay = self.random.uniform(0, self.store.maximum_delay_s)
        self.schedule(
            delay,
            lambda: self._when_running(host, lambda: self.deliver(host, event)),
        )

    def _report_later(
        self, host: Host, event: sycamoreloft_decisions.Event
    ) -> None:
        """Reports a call as unanswered; its answer may still arrive."""
        self.schedule(
            CALL_TIMEOUT_S,
            lambda: self._when_running(host, lambda: self.deliver(host, event)),
        )

    def _request_promise(
        self, command: sycamoreloft_decisions.RequestPromise, host: Host
    ) -> None:
        request = sycamoreloft_decisions.PromiseRequested(
            host.name, command.epoch, command.duration_ms
        )

        def handle(target: Host) -> None:
            for answer in self._handle_request(
                target, request, sycamoreloft_decisions.AnswerPromise
            ):
                event = sycamoreloft_decisions.PromiseAnswered(
                    command.call, target.name, answer.promised, answer.final
                )
                self._answer(target.name, host, event)

        self._send_to_host(host, command.host, handle)

    def _request_step_down(
        self, command: sycamoreloft_decisions.RequestStepDown, host: Host
    ) -> None:
        request = sycamoreloft_decisions.StepDownRequested(command.epoch)

        def handle(target: Host) -> None:
            for answer in self._handle_request(
                target, request, sycamoreloft_decisions.AnswerStepDown
            ):
                event = sycamoreloft_decisions.StepDownAnswered(
                    target.name, command.epoch, answer.stopped
                )
                self._answer(target.name, host, event)

        self._send_to_host(host, command.host, handle)

    def _send_to_host(
        self, host: Host, name: str, handle: abc.Callable[[Host], None]
    ) -> None:
        def arrive() -> None:
            target = self.hosts.get(name)
            if target:
                self._when_running(target, lambda: handle(target))

        self.transmit(host.name, name, arrive)

    def _handle_request(
        self,
        host: Host,
        event: sycamoreloft_decisions.Event,
        answer_type: type[typing.Any],
    ) -> list[typing.Any]:
        """Delivers a request to a host and returns its answers."""
        commands = host.machine.handle(event, self.read_clock(host))
        answers = []
        for command in commands:
            if isinstance(command, answer_type):
                answers.append(command)
            else:
                self._schedule_command(host, command, self.send_delay_s)
        return answers
