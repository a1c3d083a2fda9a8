"""Supervision tree of the groups in which this host takes part."""

from collections import abc
import logging

import sycamoreloft_config
from sycamoreloft_router import _group_calls, _group_runtime, _logs, _supervisor
import sycamoreloft_wire

_LOGGER = logging.getLogger(__name__)


class GroupTree:
    """Runs each group of the host's failure domains as a supervised task.

    Args:
        environment: Parts that all groups of the host share.
        failure_domains: Failure domain of this host by fleet name.
        supervisor: Runs the groups' tasks and restarts failed ones.
    """

    def __init__(
        self,
        environment: _group_calls.GroupEnvironment,
        failure_domains: abc.Mapping[str, str],
        supervisor: _supervisor.Supervisor,
    ) -> None:
        self._environment = environment
        self._failure_domains = failure_domains
        self._supervisor = supervisor
        self._stopping = False
        #: Runtimes by group name.
        self.runtimes: dict[str, _group_runtime.GroupRuntime] = {}

    def apply_generations(
        self,
        accepted: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        """Starts new groups and applies the generations to all groups.

        A group that the accepted generation no longer contains keeps running,
        so that its state machine can move away the units it still records.
        """
        if self._stopping:
            return
        for fleet_name, domain in self._failure_domains.items():
            fleet = accepted.fleets.get(fleet_name)
            if fleet is None:
                continue
            for group in sycamoreloft_config.list_groups(fleet):
                if group.failure_domain == domain:
                    self._start_group(group, accepted, pending)
        for runtime in self.runtimes.values():
            runtime.change_generation(accepted, pending)

    def _start_group(
        self,
        group: sycamoreloft_config.GroupName,
        accepted: sycamoreloft_config.Generation,
        pending: sycamoreloft_config.Generation | None,
    ) -> None:
        name = str(group)
        if name in self.runtimes:
            return
        runtime = _group_runtime.GroupRuntime(
            self._environment, group, accepted, pending
        )
        self.runtimes[name] = runtime
        self._supervisor.start(
            _supervisor.ChildSpecification(
                f"group {name}", runtime.run, lambda: self._drop_group(name)
            )
        )

    def _drop_group(self, name: str) -> None:
        """Drops a group whose task keeps failing; another host takes over."""
        self.runtimes.pop(name, None)
        _logs.log_event(
            _LOGGER, logging.ERROR, "group-task-given-up", group=name
        )

    def list_held(self) -> dict[str, int]:
        """Returns the epoch of each group that this host holds, by name."""
        return {
            name: runtime.epoch
            for name, runtime in self.runtimes.items()
            if runtime.epoch
        }

    def observe_suspects(
        self, message: sycamoreloft_wire.SuspectNotice
    ) -> None:
        """Passes suspects to all groups of their fleet on this host."""
        for runtime in self.runtimes.values():
            if runtime.group.fleet == message.fleet:
                runtime.observe_suspects(message)

    def request_stop(self) -> None:
        """Starts to hand all groups over; no group is started any more."""
        self._stopping = True
        for runtime in self.runtimes.values():
            runtime.request_stop()
