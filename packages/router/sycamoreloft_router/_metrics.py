"""Metrics of the process; docs/metrics.md lists them with their units.

Values are kept in plain dictionaries and copied into a registry for rendering:
a labelled counter of aioprometheus encodes its labels as JSON on each call,
which is too slow for the request path.
"""

import bisect
from collections import abc
import dataclasses
import enum

#: Maximum number of label combinations of all counters and gauges together.
#: Further ones are counted under the label value "other", so that callers
#: cannot exhaust the memory.
MAXIMUM_SERIES = 4096

#: Maximum number of label combinations of all histograms together, each with
#: 14 buckets.
MAXIMUM_HISTOGRAMS = 256

#: Upper bounds of the buckets of a histogram, in seconds.
TIME_BUCKETS = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
    float("inf"),
)


class Kind(enum.Enum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclasses.dataclass(frozen=True, slots=True)
class Definition:
    """Definition of a metric."""

    #: Name, as listed in docs/metrics.md.
    name: str
    #: Type, which decides on the methods of `Metrics` that apply.
    kind: Kind
    #: Description that is rendered with the metric.
    help: str
    #: Names of the labels, in the order in which their values are passed.
    labels: abc.Sequence[str] = ()


#: All metrics of the process.
DEFINITIONS = (
    Definition(
        "sycamoreloft_requests_total",
        Kind.COUNTER,
        "Requests of callers that ended",
        ("outcome", "reason"),
    ),
    Definition(
        "sycamoreloft_requests_in_flight",
        Kind.GAUGE,
        "Requests of callers that have not ended",
    ),
    Definition(
        "sycamoreloft_request_seconds",
        Kind.HISTOGRAM,
        "Time from the headers of a request to the end of its answer",
    ),
    Definition(
        "sycamoreloft_permit_wait_seconds",
        Kind.HISTOGRAM,
        "Time from asking for a permit to the answer",
    ),
    Definition(
        "sycamoreloft_upstream_seconds",
        Kind.HISTOGRAM,
        "Time from sending a request to the end of the upstream's answer",
    ),
    Definition(
        "sycamoreloft_upstream_failures_total",
        Kind.COUNTER,
        "Attempts without a whole answer of the upstream",
        ("kind",),
    ),
    Definition(
        "sycamoreloft_upstream_notices_total",
        Kind.COUNTER,
        "Announcements of upstreams about themselves in their answers",
        ("notice",),
    ),
    Definition(
        "sycamoreloft_load_reports_total",
        Kind.COUNTER,
        "Loads that upstreams reported in their answers to this host",
        ("result",),
    ),
    Definition(
        "sycamoreloft_retries_total", Kind.COUNTER, "Attempts after the first"
    ),
    Definition(
        "sycamoreloft_retries_refused_total",
        Kind.COUNTER,
        "Retries that the retry budget refused",
    ),
    Definition(
        "sycamoreloft_answers_cut_total",
        Kind.COUNTER,
        "Answers that broke after their headers were sent",
    ),
    Definition(
        "sycamoreloft_callers_gone_total",
        Kind.COUNTER,
        "Requests whose caller closed the connection before the answer",
    ),
    Definition(
        "sycamoreloft_caller_limits_total",
        Kind.COUNTER,
        "Connections closed and requests refused at a limit on callers",
        ("limit",),
    ),
    Definition(
        "sycamoreloft_caller_connections",
        Kind.GAUGE,
        "Open connections of callers",
    ),
    Definition(
        "sycamoreloft_caller_held_bytes",
        Kind.GAUGE,
        "Bytes that requests and answers of callers hold at most",
    ),
    Definition(
        "sycamoreloft_request_body_bytes_total",
        Kind.COUNTER,
        "Bytes of request bodies received",
    ),
    Definition(
        "sycamoreloft_answer_body_bytes_total",
        Kind.COUNTER,
        "Bytes of answer bodies sent",
    ),
    Definition(
        "sycamoreloft_load_imbalance_ratio",
        Kind.GAUGE,
        "Load of the busiest upstream of a group over the mean",
        ("group",),
    ),
    Definition(
        "sycamoreloft_moved_partitions_total",
        Kind.COUNTER,
        "Partitions and hot keys that got another owner",
        ("group",),
    ),
    Definition(
        "sycamoreloft_unavailable_partition_seconds_total",
        Kind.COUNTER,
        "Time without an owner, summed over partitions",
        ("group",),
    ),
    Definition(
        "sycamoreloft_grants_total",
        Kind.COUNTER,
        "Grants of keys that this host sent as the coordinator",
        ("result",),
    ),
    Definition(
        "sycamoreloft_keys_withheld_seconds",
        Kind.HISTOGRAM,
        "Time for which a new coordinator withheld keys after a restore",
        ("trust",),
    ),
    Definition(
        "sycamoreloft_owner_changes_total",
        Kind.COUNTER,
        "Ranges of keys that this host as the coordinator gave another owner",
        ("cause",),
    ),
    Definition(
        "sycamoreloft_keys_without_owner",
        Kind.GAUGE,
        "Keys that no upstream is known to hold, on the coordinator",
    ),
    Definition(
        "sycamoreloft_store_calls_total",
        Kind.COUNTER,
        "Calls to the platform's store",
        ("call", "result"),
    ),
    Definition(
        "sycamoreloft_store_bytes_total",
        Kind.COUNTER,
        "Bytes of answers of the platform's store",
        ("call",),
    ),
    Definition(
        "sycamoreloft_is_coordinator",
        Kind.GAUGE,
        "1 if this host assigns the keys",
    ),
    Definition(
        "sycamoreloft_desired_state_version",
        Kind.GAUGE,
        "Version of the desired state in force",
    ),
    Definition(
        "sycamoreloft_route_seconds",
        Kind.HISTOGRAM,
        "Time from the headers of a request to the host's decision on it",
        ("kind", "service", "outcome"),
    ),
    Definition(
        "sycamoreloft_refusals_total",
        Kind.COUNTER,
        "Requests that the host answered itself",
        ("service", "reason"),
    ),
    Definition(
        "sycamoreloft_admission_waiting",
        Kind.GAUGE,
        "Requests that wait at this host until an upstream has room",
    ),
    Definition(
        "sycamoreloft_admission_wait_seconds",
        Kind.HISTOGRAM,
        "Time for which requests waited at this host",
        ("service", "route"),
    ),
    Definition(
        "sycamoreloft_store_call_seconds",
        Kind.HISTOGRAM,
        "Time of a call to the platform's store",
        ("call",),
    ),
    Definition(
        "sycamoreloft_grant_seconds",
        Kind.HISTOGRAM,
        "Time of a grant of keys",
    ),
    Definition(
        "sycamoreloft_retries_left",
        Kind.GAUGE,
        "Retries that the budget of a service allows at present",
        ("service",),
    ),
    Definition(
        "sycamoreloft_store_silence_seconds",
        Kind.GAUGE,
        "Time since the store answered for a table",
        ("table",),
    ),
    Definition(
        "sycamoreloft_store_era",
        Kind.GAUGE,
        "Era of the store in its last answer for a table",
        ("table",),
    ),
    Definition(
        "sycamoreloft_key_map_revision",
        Kind.GAUGE,
        "Revision of the map of keys in force",
    ),
    Definition(
        "sycamoreloft_upstreams_listed",
        Kind.GAUGE,
        "Upstreams that discovery lists, leaving ones among them",
    ),
    Definition(
        "sycamoreloft_table_relayed",
        Kind.GAUGE,
        "Whether the coordinator passes the table of upstreams on to this host",
    ),
    Definition(
        "sycamoreloft_relay_ends_total",
        Kind.COUNTER,
        "Times that this host began to follow the table of upstreams itself",
        ("cause",),
    ),
    Definition(
        "sycamoreloft_relayed_changes_total",
        Kind.COUNTER,
        "Messages with changes of the table of upstreams, by receiver",
        ("direction",),
    ),
    Definition(
        "sycamoreloft_shared_loads_total",
        Kind.COUNTER,
        "Loads of upstreams in messages between hosts",
        ("direction",),
    ),
    Definition(
        "sycamoreloft_upstreams_paced",
        Kind.GAUGE,
        "Upstreams whose share of requests is limited",
        ("service",),
    ),
    Definition(
        "sycamoreloft_evacuations",
        Kind.GAUGE,
        "Evacuations of failure domains that the operator ordered",
    ),
    Definition(
        "sycamoreloft_upstreams_cold",
        Kind.GAUGE,
        "Upstreams whose requests are limited because they are cold",
    ),
    Definition(
        "sycamoreloft_loop_lag_seconds",
        Kind.HISTOGRAM,
        "Time by which a timer of the event loop was late",
    ),
    Definition(
        "sycamoreloft_resident_bytes",
        Kind.GAUGE,
        "Memory of the process",
    ),
    Definition(
        "sycamoreloft_log_seconds_total",
        Kind.COUNTER,
        "Processor time that log lines took",
    ),
    Definition(
        "sycamoreloft_groups_held",
        Kind.GAUGE,
        "Groups whose holder is this host",
    ),
    Definition(
        "sycamoreloft_generation", Kind.GAUGE, "Generation that is in force"
    ),
    Definition(
        "sycamoreloft_log_lines_suppressed_total",
        Kind.COUNTER,
        "Log lines left out by the rate limit",
    ),
)


class TimeHistogram:
    """Histogram of times with the buckets `TIME_BUCKETS`.

    The histogram of aioprometheus is slower: it updates all buckets for each
    observation.
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        #: Number of observations in each bucket, not cumulative.
        self.counts = [0] * len(TIME_BUCKETS)
        #: Sum of the observations, in seconds.
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Adds an observation, in seconds."""
        self.counts[bisect.bisect_left(TIME_BUCKETS, value)] += 1
        self.total += value


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._values: dict[tuple[str, ...], float] = {}
        self._histograms: dict[tuple[str, ...], TimeHistogram] = {}
        for definition in DEFINITIONS:
            if definition.labels:
                continue
            if definition.kind is Kind.HISTOGRAM:
                self._histograms[(definition.name,)] = TimeHistogram()
            else:
                self._values[(definition.name,)] = 0.0

    def count(self, name: str, *labels: str, amount: float = 1.0) -> None:
        """Adds to a counter or gauge.

        Args:
            name: Name of the metric.
            *labels: Values of its labels, in the order of its definition.
            amount: Value to add.
        """
        key = self._choose_key((name, *labels))
        self._values[key] = self._values.get(key, 0.0) + amount

    def set(self, name: str, *labels: str, value: float) -> None:
        """Sets a gauge, or a counter whose value is kept elsewhere."""
        self._values[self._choose_key((name, *labels))] = value

    def observe(self, name: str, value: float, *labels: str) -> None:
        """Adds an observation to a histogram.

        Args:
            name: Name of the metric.
            value: Observed time, in seconds.
            *labels: Values of its labels, in the order of its definition.
        """
        key = (name, *labels)
        values = self._histograms.get(key)
        if values is None:
            if len(self._histograms) >= MAXIMUM_HISTOGRAMS:
                key = (name, *("other" for _ in labels))
            values = self._histograms.setdefault(key, TimeHistogram())
        values.observe(value)

    def read(self, name: str, *labels: str) -> float:
        """Returns the value of a counter or gauge, or 0 if it has none."""
        return self._values.get((name, *labels), 0.0)

    def render(self) -> bytes:
        """Renders all metrics in the Prometheus text format."""
        # The library for the format is slow to import, and the metrics of many
        # processes are never read.
        from sycamoreloft_router import _metric_text

        return _metric_text.render(self._values, self._histograms)

    def _choose_key(self, key: tuple[str, ...]) -> tuple[str, ...]:
        if key in self._values or len(self._values) < MAXIMUM_SERIES:
            return key
        return (key[0], *("other" for _ in key[1:]))
