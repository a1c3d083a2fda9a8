"""Implements the operations of the admin port."""

from collections import abc
import typing

from returns import pipeline, result

import sycamoreloft_config
from sycamoreloft_decisions import acceptance
from sycamoreloft_router import (
    _admin,
    _configuration,
    _directory,
    _group_tree,
    _metrics,
    _names,
    _process_measures,
)


class RouterBackend:
    """Implements `_admin.AdminBackend` with the parts of the process.

    Args:
        configuration: Generations that this host applies.
        names: Resolves services and finds their groups.
        groups: Groups in which this host takes part.
        directory: Locations of group holders.
        metrics: Metrics of the process.
        dump: Returns the state of the process, ready for JSON.
        is_ready: Returns whether the host accepts callers.
    """

    def __init__(
        self,
        configuration: _configuration.ConfigurationManager,
        names: _names.NameResolver,
        groups: _group_tree.GroupTree,
        directory: _directory.Directory,
        metrics: _metrics.Metrics,
        dump_state: abc.Callable[[], abc.Mapping[str, typing.Any]],
        is_ready: abc.Callable[[], bool],
    ) -> None:
        self._configuration = configuration
        self._names = names
        self._groups = groups
        self._directory = directory
        self._metrics = metrics
        self._dump_state = dump_state
        self._is_ready = is_ready

    async def submit_file(
        self, submission: _admin.Submission
    ) -> result.Result[_admin.SubmissionAnswer, _admin.AdminProblem]:
        """Validates and records files; waits a limited time for acceptance."""
        outcome = await self._configuration.submit_file(submission)
        if not pipeline.is_successful(outcome):
            return result.Failure(outcome.failure())
        return _make_submission_answer(outcome.unwrap())

    async def read_generation(
        self,
    ) -> result.Result[_admin.GenerationView, _admin.AdminProblem]:
        """Returns the accepted and the pending generation of this host."""
        accepted = self._configuration.accepted
        pending = self._configuration.pending
        differences: abc.Sequence[str] = ()
        waiting: abc.Sequence[str] = ()
        if pending is not None:
            differences = sycamoreloft_config.list_differences(
                accepted, pending
            )
            waiting = self._configuration.list_waiting_domains()
        return result.Success(
            _admin.GenerationView(
                accepted.number,
                self._configuration.accepted_texts,
                pending.number if pending else 0,
                differences,
                waiting,
            )
        )

    async def explain_key(
        self, fleet: str, service: str, key: str
    ) -> result.Result[_admin.Explanation, _admin.AdminProblem]:
        """Explains which upstream owns a key.

        Only the holder of the key's group knows the owner; other hosts name
        the holder.
        """
        resolved = self._names.resolve_service(fleet, service)
        if not pipeline.is_successful(resolved):
            problem = resolved.failure()
            return result.Failure(
                _admin.AdminProblem(
                    404, problem.reason, problem.problem, problem.remedy
                )
            )
        reference = resolved.unwrap()
        definition = self._names.generation.fleets[reference.fleet].services[
            reference.service
        ]
        if not definition.keyed:
            return result.Success(
                _admin.Explanation(
                    reference.fleet,
                    reference.service,
                    key,
                    -1,
                    "",
                    "",
                    "",
                    ["the service has no keys; any of its upstreams serves it"],
                )
            )
        partition = sycamoreloft_config.compute_partition(
            reference.fleet, reference.service, key, definition.partitions
        )
        group = self._names.compute_partition_group(
            reference.fleet, reference.service, partition
        )
        return result.Success(
            self._explain_partition(reference, key, partition, group or "")
        )

    def _explain_partition(
        self,
        reference: sycamoreloft_config.ServiceReference,
        key: str,
        partition: int,
        group: str,
    ) -> _admin.Explanation:
        holder = self._directory.find_holder(group) or ""
        upstream, reasons = "", [f"partition {partition} of group {group}"]
        runtime = self._groups.runtimes.get(group)
        if runtime is not None and runtime.epoch:
            upstream, decisions = runtime.explain_key(
                reference.service, key, partition
            )
            reasons += decisions
        elif holder:
            reasons.append(f"ask host {holder}, which holds the group")
        else:
            reasons.append("no holder of the group is known at the moment")
        return _admin.Explanation(
            reference.fleet,
            reference.service,
            key,
            partition,
            group,
            holder,
            upstream,
            reasons,
        )

    async def dump_state(self) -> abc.Mapping[str, typing.Any]:
        """Returns the state of the process, ready for JSON."""
        return self._dump_state()

    async def render_metrics(self) -> tuple[bytes, str]:
        """Returns metrics and their content type."""
        self._update_metrics()
        _process_measures.update(self._metrics)
        return self._metrics.render(), "text/plain; version=0.0.4"

    def _update_metrics(self) -> None:
        """Copies the counters of other parts into the metrics."""
        metrics = self._metrics
        metrics.set(
            "sycamoreloft_generation",
            value=float(self._configuration.accepted.number),
        )
        metrics.set(
            "sycamoreloft_groups_held",
            value=float(len(self._groups.list_held())),
        )
        for name, runtime in self._groups.runtimes.items():
            permits = runtime.permits
            if permits is None:
                continue
            for metric, value in (
                ("load_imbalance_ratio", permits.compute_imbalance()),
                ("moved_partitions_total", float(permits.measures.moves)),
                (
                    "unavailable_partition_seconds_total",
                    permits.measures.unavailable_s,
                ),
            ):
                metrics.set(f"sycamoreloft_{metric}", name, value=value)

    async def is_ready(self) -> bool:
        """Returns whether the load balancer may send callers to this host."""
        return self._is_ready()


def _make_submission_answer(
    answer: acceptance.SubmissionResult,
) -> result.Result[_admin.SubmissionAnswer, _admin.AdminProblem]:
    if answer.verdict is acceptance.Verdict.CONFLICT:
        return result.Failure(
            _admin.AdminProblem(
                409,
                "conflict",
                f"the newest generation is {answer.newest}; another file was"
                " submitted first",
                f"look at what changed, then submit again with --base"
                f" {answer.newest}",
                [f"changed: {name}" for name in answer.changed_files],
            )
        )
    if answer.verdict is acceptance.Verdict.UNKNOWN:
        return result.Failure(
            _admin.AdminProblem(
                503,
                "outcome-unknown",
                "the store did not confirm whether the files were recorded",
                "submit again with the same request id; it is recorded only"
                " once",
            )
        )
    if answer.verdict is acceptance.Verdict.UNAVAILABLE:
        return result.Failure(
            _admin.AdminProblem(
                503,
                "store-unavailable",
                "the store did not answer, and nothing was recorded",
                "submit again when the store answers",
            )
        )
    return result.Success(
        _admin.SubmissionAnswer(
            answer.number, str(answer.verdict.value), answer.waiting_domains
        )
    )
