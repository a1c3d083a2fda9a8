"""Limits of a direct host that follow from its settings."""

import dataclasses

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _answer_heads,
    _caller_server,
    _connection_rules,
    _direct_ports,
)

#: Timeout of a connection to an upstream, in seconds; a connection within a
#: region takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.3

#: Seconds for which an idle connection to an upstream may be reused. Upstreams
#: close idle connections a few seconds later.
IDLE_CONNECTION_TIMEOUT_S = 8

#: Seconds without a TCP acknowledgement after which a connection is closed.
ACK_TIMEOUT_S = 2.0

#: Share of the platform's retry budget that hosts use. The hosts count in
#: whole seconds, so that one second of the window may be missing, and retries
#: by upstreams of their own calls draw on the same budget.
RETRY_BUDGET_SHARE = 0.75

#: Share of the slack of that budget that hosts use. The rest covers the time
#: until a host learns the number of hosts.
RETRY_SLACK_SHARE = 0.4

#: Names of the settings that a running host can change; the others need a
#: restart.
RELOADABLE = frozenset(
    (
        "drain_s",
        "grace_s",
        "reuse_after_s",
        "store_reads_per_s",
        "retry_share",
        "retry_slack",
        "retry_window_s",
        "warm_up_overage",
        "warm_up_slack",
        "evacuate_s",
    )
)


def build_lease_times(
    settings: _direct_ports.HostSettings,
) -> sycamoreloft_direct.LeaseTimes:
    """Returns durations of key leases, limited to what upstreams accept."""
    times = sycamoreloft_direct.LeaseTimes()
    return dataclasses.replace(
        times, hold_s=min(times.hold_s, settings.longest_hold_s)
    )


def compute_quotas(
    settings: _direct_ports.HostSettings,
) -> sycamoreloft_load.CallerQuotas:
    """Returns the limits on what callers hold."""
    return sycamoreloft_load.compute_quotas(
        settings.memory_mb * 1e6, settings.descriptors
    )


def build_caller_limits(
    settings: _direct_ports.HostSettings,
) -> _caller_server.CallerLimits:
    """Returns the limits of the caller server."""
    return _caller_server.CallerLimits(quotas=compute_quotas(settings))


def build_connection_rules(
    settings: _direct_ports.HostSettings, request_id: str
) -> _connection_rules.ConnectionRules:
    """Returns the rules for connections to upstreams.

    Args:
        settings: Settings of the host.
        request_id: Name of the header with the identifier of a request.
    """
    quotas = compute_quotas(settings)
    return _connection_rules.ConnectionRules(
        _answer_heads.AnswerRules(
            request_id.lower().encode("latin1"),
            accepts_close_delimited=True,
            accepts_content_codings=False,
        ),
        CONNECT_TIMEOUT_S,
        IDLE_CONNECTION_TIMEOUT_S,
        True,
        ACK_TIMEOUT_S,
        resets_on_close=True,
        total_connections=quotas.upstream_connections,
        limits_buffers=quotas.limits_memory,
    )


def compute_retry_limits(
    settings: _direct_ports.HostSettings,
) -> tuple[float, int, float]:
    """Returns the share, window and slack of the retry budgets."""
    return (
        settings.retry_share * RETRY_BUDGET_SHARE,
        int(settings.retry_window_s),
        settings.retry_slack * RETRY_SLACK_SHARE,
    )
