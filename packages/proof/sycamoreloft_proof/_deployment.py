"""A whole system on one machine: stand-ins, routers and their operators."""

import asyncio
from collections import abc
import dataclasses
import json
import pathlib
import sys
import time
import typing
import uuid

import tornado.httpclient

import sycamoreloft_decisions
from sycamoreloft_proof import (
    _callers,
    _fleets,
    _history,
    _processes,
    _run_logs,
)
import sycamoreloft_standins

_TOKEN = "operator-token-of-the-drivers"
_GRANT_KEY = ("grant-1", "grant-secret-of-the-drivers")
_PEER_KEY = ("peer-1", "peer-secret-of-the-drivers")
#: Time for all processes to listen; a busy machine starts them slowly.
_START_TIMEOUT_S = 30.0
_POLL_S = 0.1
#: Upstreams of one process, unless they crash.
_UPSTREAMS_PER_PROCESS = 8


class OperatorError(RuntimeError):
    """An operator's call failed; says what the router answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One router of the deployment."""

    #: Router as callers see it.
    router: _callers.Router
    #: Address for operators, as "ip:port".
    admin_address: str
    #: Address for other hosts, as "ip:port".
    peer_address: str
    #: Index of its failure domain in each fleet.
    domain_index: int


async def call(
    method: str,
    url: str,
    body: abc.Mapping[str, typing.Any] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, typing.Any]:
    """Sends one operator's or driver's call; returns status and JSON.

    Status 0 stands for no answer.
    """
    client = tornado.httpclient.AsyncHTTPClient()
    try:
        response = await client.fetch(
            url,
            method=method,
            body=None if body is None else json.dumps(body),
            headers={"Authorization": f"Bearer {_TOKEN}"},
            request_timeout=timeout_s,
            raise_error=False,
        )
    except (OSError, tornado.httpclient.HTTPError) as error:
        return 0, str(error)
    try:
        return response.code, json.loads(response.body)
    except ValueError:
        return response.code, response.body.decode(errors="replace")


class Deployment:
    """Processes of a system, and what drivers do to them."""

    def __init__(
        self,
        folder: pathlib.Path,
        group: _processes.ProcessGroup,
        fleets: abc.Sequence[_fleets.FleetPlan],
        routers: int,
        seed: int,
    ) -> None:
        self._folder = folder
        self._group = group
        self.fleets = fleets
        self._seed = seed
        count = _fleets.count_upstreams(fleets)
        ports = iter(_processes.find_free_ports(count + 3 * routers + 1))
        self._platform_port = next(ports)
        self.upstreams = _fleets.plan_upstreams(fleets, ports)
        self.hosts = [self._plan_host(n, ports) for n in range(routers)]
        self.children: dict[str, _processes.Child] = {}
        self._processes_of_upstreams: dict[str, str] = {}
        self._commands: dict[str, list[str]] = {}
        self.events: list[_history.Event] = []
        self.balancer = _callers.Balancer(seed)
        self._withdrawn: set[str] = set()

    @property
    def platform_url(self) -> str:
        """URL of the stand-in platform."""
        return f"http://127.0.0.1:{self._platform_port}"

    def _plan_host(self, number: int, ports: abc.Iterator[int]) -> Host:
        caller, admin, peer = (f"127.0.0.1:{next(ports)}" for _ in range(3))
        router = _callers.Router(f"entry-{number + 1:02d}", caller)
        domains = min(len(fleet.domains) for fleet in self.fleets)
        return Host(router, admin, peer, number % domains)

    def write_settings(self, host: Host) -> pathlib.Path:
        """Writes the settings file of a router."""
        document = {
            "host": host.router.name,
            "peer_address": host.peer_address,
            "caller_address": host.router.caller_address,
            "admin_address": host.admin_address,
            "failure_domains": {
                fleet.name: fleet.domains[host.domain_index]
                for fleet in self.fleets
            },
            "table_url": self.platform_url,
            "object_store_url": self.platform_url,
            "host_list_url": self.platform_url,
            "peer_keys": [{"id": _PEER_KEY[0], "secret": _PEER_KEY[1]}],
            "grant_key": {"id": _GRANT_KEY[0], "secret": _GRANT_KEY[1]},
            "admin_tokens": [_TOKEN],
            "stop_announce_s": 1.0,
            "stop_bound_s": 15.0,
            "seeds": [item.peer_address for item in self.hosts[:3]],
            "log_level": "info",
        }
        path = self._folder / f"{host.router.name}.toml"
        path.write_text(_fleets.write_document(document))
        return path

    async def start(self) -> None:
        """Starts the stand-ins, then the routers, until all listen."""
        platform = [
            sys.executable,
            "-m",
            "sycamoreloft_standins.platform",
            f"--port={self._platform_port}",
            f"--seed={self._seed}",
        ]
        self._start_child("platform", platform, [self._platform_port])
        self._start_upstreams()
        await self._wait_listening()
        await self.publish_hosts()
        for host in self.hosts:
            self.start_router(host)
        await self._wait_listening()

    def _start_child(
        self, name: str, command: list[str], ports: abc.Sequence[int]
    ) -> None:
        self._commands[name] = command
        self.children[name] = self._group.start(name, command, ports)

    async def _wait_listening(self) -> None:
        await asyncio.gather(
            *(
                child.wait_listening(_START_TIMEOUT_S)
                for child in self.children.values()
            )
        )

    def _start_upstreams(self) -> None:
        shared = [item for item in self.upstreams if not item.service.crashes]
        batches = [
            shared[start : start + _UPSTREAMS_PER_PROCESS]
            for start in range(0, len(shared), _UPSTREAMS_PER_PROCESS)
        ]
        batches += [[item] for item in self.upstreams if item.service.crashes]
        for number, batch in enumerate(batches, 1):
            name = f"upstreams-{number:02d}"
            command = [
                sys.executable,
                "-m",
                "sycamoreloft_standins.upstream",
                f"--grant-key={':'.join(_GRANT_KEY)}",
                f"--log={self._folder / name}.log",
                f"--seed={self._seed}",
            ]
            for plan in batch:
                self._processes_of_upstreams[plan.identity] = name
                spec = sycamoreloft_standins.format_spec(plan.make_spec())
                command.append(f"--spec={spec}")
            self._start_child(name, command, [plan.port for plan in batch])

    def start_router(self, host: Host) -> None:
        """Starts a router, also again after it ended."""
        binary = pathlib.Path(sys.executable).with_name("sycamoreloft-router")
        path = self.write_settings(host)
        ports = [
            int(address.rpartition(":")[2])
            for address in (host.router.caller_address, host.admin_address)
        ]
        command = [str(binary), "--settings", str(path)]
        self._start_child(host.router.name, command, ports)

    async def publish_hosts(self, gone: abc.Set[str] = frozenset()) -> None:
        """Gives the platform's host list its hosts."""
        hosts = [
            {
                "name": host.router.name,
                "peer_address": host.peer_address,
                "leaving": False,
            }
            for host in self.hosts
            if host.router.name not in gone
        ]
        await call("POST", f"{self.platform_url}/hosts", {"hosts": hosts})

    def find_process(self, upstream: str) -> _processes.Child:
        """Returns the process of an upstream ("fleet/name")."""
        return self.children[self._processes_of_upstreams[upstream]]

    def kill_upstream(self, upstream: str) -> None:
        """Kills the process of an upstream."""
        child = self.find_process(upstream)
        ended = child.kill()
        for identity, name in self._processes_of_upstreams.items():
            if name == child.name:
                self.events.append(_history.UpstreamEnded(ended, identity))

    async def restart(self, name: str) -> None:
        """Starts a child that ended again."""
        ports = self.children[name].ports
        self._start_child(name, self._commands[name], ports)
        await self.children[name].wait_listening(_START_TIMEOUT_S)

    async def set_upstream_faults(
        self, upstream: str, **faults: typing.Any
    ) -> None:
        """Changes the misbehaviours of an upstream ("fleet/name")."""
        plan = next(i for i in self.upstreams if i.identity == upstream)
        url = f"http://127.0.0.1:{plan.port}/_standin/faults"
        await call("POST", url, faults)

    async def set_platform_faults(self, **faults: typing.Any) -> None:
        """Changes the faults of the platform."""
        await call("POST", f"{self.platform_url}/faults", faults)

    async def read_ready(self, host: Host) -> bool:
        """Asks a router whether callers may be sent to it."""
        if not self.children[host.router.name].running:
            return False
        status, _ = await call(
            "GET", f"http://{host.admin_address}/ready", timeout_s=0.5
        )
        return status == 200

    async def balance_until(self, stopping: asyncio.Event) -> None:
        """Keeps the balancer informed, as the platform does."""
        while not stopping.is_set():
            ready = await asyncio.gather(*map(self.read_ready, self.hosts))
            self.balancer.set_ready(
                host.router
                for host, is_ready in zip(self.hosts, ready, strict=True)
                if is_ready
            )
            await asyncio.sleep(_POLL_S)

    async def read_generations(
        self, skipped: abc.Set[str] = frozenset()
    ) -> dict[str, int]:
        """Reads the accepted generation of each router that is ready.

        A router that has just started applies none and refuses work, so
        only ready ones count.
        """

        async def read(host: Host) -> tuple[str, int] | None:
            if not await self.read_ready(host):
                return None
            asked_at = time.monotonic()
            status, answer = await call(
                "GET", f"http://{host.admin_address}/v1/generation"
            )
            if status != 200:
                return None
            number = find_number(answer, "accepted")
            name = host.router.name
            self.events.append(
                _history.GenerationRead(
                    asked_at, time.monotonic(), name, number
                )
            )
            return name, number

        asked = [
            host
            for host in self.hosts
            if self.children[host.router.name].running
            and host.router.name not in skipped
        ]
        answers = await asyncio.gather(*map(read, asked))
        return dict(answer for answer in answers if answer)

    async def submit(
        self,
        fleet: _fleets.FleetPlan,
        leaving: abc.Set[str] = frozenset(),
        timeout_s: float = 15.0,
    ) -> int:
        """Submits a fleet file until it is accepted.

        Raises:
            OperatorError: No router accepted it in time.
        """
        text = _fleets.write_fleet_file(fleet, self.upstreams, leaving)
        submitted_at = time.monotonic()
        deadline = submitted_at + timeout_s
        answer: typing.Any = None
        while time.monotonic() < deadline:
            base, answer = await self._read_accepted()
            if base is not None:
                # A new id for each base: the same id means the same call.
                body = {
                    "request": uuid.uuid4().hex,
                    "base": base,
                    "files": {f"{fleet.name}.toml": text},
                    "wait_s": 5.0,
                }
                status, answer = await self._ask_any("POST", "files", body)
                if status in (200, 202):
                    return await self._wait_accepted(
                        find_number(answer, "number"),
                        submitted_at,
                        deadline,
                        leaving,
                    )
                if status in (400, 422):
                    break
            await asyncio.sleep(_POLL_S)
        raise OperatorError(f"{fleet.name}.toml was not accepted: {answer}")

    async def _wait_accepted(
        self,
        number: int,
        submitted_at: float,
        deadline: float,
        leaving: abc.Set[str],
    ) -> int:
        answer: typing.Any = None
        while time.monotonic() < deadline:
            accepted, answer = await self._read_accepted()
            if accepted is not None and accepted >= number:
                self.events.append(
                    _history.FileAccepted(
                        time.monotonic(),
                        submitted_at,
                        accepted,
                        frozenset(leaving),
                    )
                )
                return accepted
            await asyncio.sleep(_POLL_S)
        raise OperatorError(f"generation {number} stays pending: {answer}")

    async def _read_accepted(self) -> tuple[int | None, typing.Any]:
        status, answer = await self._ask_any("GET", "generation")
        if status != 200:
            return None, answer
        return find_number(answer, "accepted"), answer

    async def _ask_any(
        self,
        method: str,
        path: str,
        body: abc.Mapping[str, typing.Any] | None = None,
    ) -> tuple[int, typing.Any]:
        """Sends an operator's call to the first router that answers."""
        answer: tuple[int, typing.Any] = (0, "no router is running")
        for host in self.hosts:
            if not self.children[host.router.name].running:
                continue
            url = f"http://{host.admin_address}/v1/{path}"
            answer = await call(method, url, body, timeout_s=10.0)
            if answer[0]:
                return answer
        return answer

    async def read_assignments(self) -> None:
        """Reads all assignments from the table into the history."""
        asked_at = time.monotonic()
        status, answer = await call(
            "POST", f"{self.platform_url}/table/read", {"prefixes": ["assign/"]}
        )
        if status != 200:
            return
        rows = {key: row["value"] for key, row in answer["rows"].items()}
        owners: dict[tuple[str, int | str], tuple[str, int]] = {}
        for group, table in sycamoreloft_decisions.decode_tables(rows).items():
            for kind in (table.partitions, table.hot_keys):
                for service, held in kind.items():
                    for unit, item in held.items():
                        owners[(f"{group.fleet}/{service}", unit)] = (
                            f"{group.fleet}/{item.upstream}",
                            item.fence,
                        )
        self.events.append(_history.AssignmentsRead(asked_at, owners))

    async def stop_router(self, host: Host, timeout_s: float) -> int:
        """Stops a router as planned and waits for its end."""
        name = host.router.name
        self.events.append(_history.StopBegan(time.monotonic(), name))
        self.children[name].terminate()
        code = await self.children[name].wait_ended(timeout_s)
        self.events.append(_history.StopEnded(time.monotonic(), name, code))
        return code

    def read_run_logs(self) -> list[_history.Event]:
        """Returns what all upstreams logged."""
        return [
            event
            for path in sorted(self._folder.glob("upstreams-*.log"))
            for event in _run_logs.read_run_log(path)
        ]


def find_number(answer: typing.Any, name: str) -> int:
    """Returns a number of an answer.

    Raises:
        OperatorError: The answer has no such field.
    """
    value = answer.get(name) if isinstance(answer, dict) else None
    if not isinstance(value, int):
        raise OperatorError(f"an answer without a number {name!r}: {answer}")
    return value
