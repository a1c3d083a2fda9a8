"""Estimates how busy upstreams are from the loads that they report."""

from collections import abc
import dataclasses

import sycamoreloft_direct

#: Age after which a report counts for nothing, in seconds. Upstreams change
#: their speed several times a second.
MAXIMUM_AGE_S = 2.0

#: Latency that is assumed for an upstream without answers if no upstream of
#: its service has answered yet, in seconds.
DEFAULT_LATENCY_S = 0.15

#: Minimum time that a request is assumed to take, in seconds.
MINIMUM_WORK_S = 0.001

#: Weight of a new observation in a moving average.
_GAIN = 0.15

#: Value of `ReportedLoad.percent` at the usual speed.
USUAL_PERCENT = 100


#: Public here too: callers of this package create loads.
ReportedLoad = sycamoreloft_direct.ReportedLoad


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A reported load with its time."""

    #: The reported load.
    load: ReportedLoad
    #: When the upstream reported it, in seconds on the clock of this host.
    observed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeardLoad:
    """A load that an upstream reported to this host."""

    #: Run of the upstream.
    run: sycamoreloft_direct.UpstreamRun
    #: The reported load.
    load: ReportedLoad
    #: Time since the report, in seconds.
    age_s: float


def compute_weight(report: LoadReport | None, now: float) -> float:
    """Returns the weight of a report by its age, from 0 to 1."""
    if report is None:
        return 0.0
    age_s = now - report.observed_at
    return min(1.0, max(0.0, 1.0 - age_s / MAXIMUM_AGE_S))


def estimate_backlog(
    report: LoadReport,
    in_flight: dict[object, float],
    work_s: float,
    now: float,
) -> float:
    """Estimates how many requests an upstream has that have not ended.

    Args:
        report: The latest report of the upstream.
        in_flight: Start times of the requests of this host that have not
            ended, oldest first.
        work_s: Mean time that a request takes at the usual speed, in seconds.
        now: Time, in seconds.
    """
    load = report.load
    age_s = max(0.0, now - report.observed_at)
    work_s = max(MINIMUM_WORK_S, work_s * load.percent / USUAL_PERCENT)
    ended = load.slots * age_s / work_s
    sent = 0
    for started_at in reversed(in_flight.values()):
        if started_at <= report.observed_at:
            break
        sent += 1
    return max(0.0, load.running + load.waiting - ended) + sent


class ServiceLoads:
    """Mean work time and mean backlog of the upstreams of each service."""

    def __init__(self) -> None:
        self._work_s: dict[str, float] = {}
        self._backlogs: dict[str, float] = {}

    def record_answer(
        self, service: str, latency_s: float, report: LoadReport | None
    ) -> None:
        """Records the latency of a request, which contains its wait in a queue.

        Args:
            service: Name of the service.
            latency_s: Time from the request to its answer, in seconds.
            report: Report of the upstream in that answer, or None.
        """
        work_s = latency_s
        if report is not None:
            # The queue that the request waited in was about as long as the
            # one that it left behind.
            load = report.load
            work_s /= (1.0 + load.waiting / max(1, load.slots)) * (
                max(1, load.percent) / USUAL_PERCENT
            )
        _update_mean(self._work_s, service, work_s)

    def record_load(self, service: str, load: ReportedLoad) -> None:
        """Records a load that an upstream of a service reported."""
        backlog = (load.running + load.waiting) / max(1, load.slots)
        _update_mean(self._backlogs, service, backlog)

    def get_work_s(self, service: str) -> float:
        """Returns the mean time of a request without its wait, in seconds.

        The time is that of an upstream at its usual speed.
        """
        return max(MINIMUM_WORK_S, self._work_s.get(service, DEFAULT_LATENCY_S))

    def get_backlog_per_slot(self, service: str) -> float:
        """Returns the mean reported backlog of a slot; 0 without reports."""
        return self._backlogs.get(service, 0.0)

    def forget_all_but(self, services: abc.Container[str]) -> None:
        """Forgets the services that are not listed any more."""
        for means in (self._work_s, self._backlogs):
            for service in [name for name in means if name not in services]:
                del means[service]


def _update_mean(means: dict[str, float], service: str, value: float) -> None:
    mean = means.setdefault(service, value)
    means[service] = mean + _GAIN * (value - mean)
