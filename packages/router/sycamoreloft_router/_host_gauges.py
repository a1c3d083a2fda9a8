"""Gauges of a direct host that are set when the metrics are rendered."""

from sycamoreloft_router import (
    _coordinator_role,
    _direct_views,
    _key_directory,
    _metrics,
    _process_measures,
    _table_follower,
)


def update(
    metrics: _metrics.Metrics,
    now: float,
    role: _coordinator_role.CoordinatorRole,
    directory: _key_directory.KeyDirectory,
    upstreams: _direct_views.UpstreamView,
    state_follower: _table_follower.TableFollower,
    upstream_follower: _table_follower.TableFollower,
) -> None:
    """Sets the gauges.

    Args:
        metrics: Metrics of the process.
        now: Time on the clock of the event loop, in seconds.
        role: The coordinator role of the host.
        directory: Map of keys.
        upstreams: Upstreams that the host may use.
        state_follower: Follower of the table of desired states.
        upstream_follower: Follower of the table of upstreams.
    """
    _process_measures.update(metrics)
    metrics.set("sycamoreloft_is_coordinator", value=float(role.is_coordinator))
    metrics.set(
        "sycamoreloft_keys_without_owner",
        value=float(role.count_unheld_keys()),
    )
    metrics.set(
        "sycamoreloft_key_map_revision",
        value=float(directory.key_map.revision),
    )
    metrics.set(
        "sycamoreloft_upstreams_listed",
        value=float(len(upstreams.list_all())),
    )
    for table, follower in (
        ("states", state_follower),
        ("upstreams", upstream_follower),
    ):
        metrics.set(
            "sycamoreloft_store_silence_seconds",
            table,
            value=now - follower.answered_at,
        )
        metrics.set(
            "sycamoreloft_store_era", table, value=float(follower.era or 0)
        )
