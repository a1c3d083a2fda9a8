"""Applies what upstreams announce about themselves in their answers."""

from collections import abc
import logging
import time

import sycamoreloft_direct
import sycamoreloft_load
from sycamoreloft_router import (
    _answer_heads,
    _direct_ports,
    _direct_views,
    _logs,
    _metrics,
)

_LOGGER = logging.getLogger(__name__)


class UpstreamNotices:
    """Applies the notices of all answers that this host receives.

    Args:
        read_notice: Reads the notice of an answer.
        upstreams: Upstreams that this host may use.
        pool: Observations that the host chooses upstreams by.
        metrics: Metrics of the process.
        read_clock: Returns the time of the event loop, in seconds.
        on_pause: Called when an upstream begins to pause, to withdraw the
            requests that wait for a connection to it.
        read_wall_clock: Returns the time since 1970, in seconds.
    """

    def __init__(
        self,
        read_notice: _direct_ports.NoticeReader,
        upstreams: _direct_views.UpstreamView,
        pool: sycamoreloft_load.UpstreamPool,
        metrics: _metrics.Metrics,
        read_clock: abc.Callable[[], float],
        on_pause: abc.Callable[[], object],
        read_wall_clock: abc.Callable[[], float] = time.time,
    ) -> None:
        self._read_notice = read_notice
        self._upstreams = upstreams
        self._pool = pool
        self._metrics = metrics
        self._read_clock = read_clock
        self._on_pause = on_pause
        self._read_wall_clock = read_wall_clock

    def observe_head(
        self,
        record: sycamoreloft_load.UpstreamRecord,
        request_id: str,
        head: _answer_heads.AnswerHead,
    ) -> None:
        """Applies the notice of an answer to a request.

        Args:
            record: Upstream that the request was sent to.
            request_id: Identifier of the request, for the log.
            head: Complete head of the answer to the request.
        """
        notice = self._read_notice(head.status, head.lines)
        self.apply(record.entry.run, notice, request_id)

    def apply(
        self,
        run: sycamoreloft_direct.UpstreamRun,
        notice: sycamoreloft_direct.UpstreamNotice,
        source: str,
    ) -> None:
        """Applies and logs a notice.

        Args:
            run: Run of the upstream that sent the notice.
            notice: The notice.
            source: What the upstream answered, for the log.
        """
        now = self._read_clock()
        if notice.load is not None:
            is_recorded = self._pool.record_load(
                run, notice.load, now, is_heard=True
            )
            self._metrics.count(
                "sycamoreloft_load_reports_total",
                "recorded" if is_recorded else "unlisted",
            )
        if notice.is_leaving and self._upstreams.record_leaving(run, now):
            self._metrics.count(
                "sycamoreloft_upstream_notices_total", "leaving"
            )
            _logs.log_event(
                _LOGGER,
                logging.INFO,
                "upstream-leaving",
                upstream=run.id,
                started_ms=run.started_ms,
                source=source,
            )
        if notice.pause_s > 0.0:
            answered_ms = round(self._read_wall_clock() * 1000)
            if self._pool.record_pause(run, notice.pause_s, now, answered_ms):
                self._on_pause()
            self._metrics.count("sycamoreloft_upstream_notices_total", "pause")
            _logs.log_event(
                _LOGGER,
                logging.INFO,
                "upstream-paused",
                upstream=run.id,
                pause_s=round(notice.pause_s, 3),
                source=source,
            )


class ObservedOrders:
    """Sends orders, and applies what their answers tell of upstreams.

    Implements `_direct_ports.KeyOrderClient`.

    Args:
        orders: Client that sends the orders.
        notices: Receives the notices.
        on_replaced: Called with a run at whose address another upstream
            answered.
    """

    def __init__(
        self,
        orders: _direct_ports.KeyOrderClient,
        notices: UpstreamNotices,
        on_replaced: abc.Callable[[sycamoreloft_direct.UpstreamRun], None],
    ) -> None:
        self._orders = orders
        self._notices = notices
        self._on_replaced = on_replaced

    async def grant(
        self,
        address: str,
        order: sycamoreloft_direct.SendGrant,
        trace: _direct_ports.OrderTrace,
    ) -> sycamoreloft_direct.GrantResult:
        """See `_direct_ports.KeyOrderClient`."""
        result = await self._orders.grant(address, order, trace)
        self._observe(order.run, trace, f"grant {order.fence}")
        return result

    async def release(
        self,
        address: str,
        order: sycamoreloft_direct.SendRelease,
        trace: _direct_ports.OrderTrace,
    ) -> str | None:
        """See `_direct_ports.KeyOrderClient`."""
        handover = await self._orders.release(address, order, trace)
        self._observe(order.run, trace, f"release {order.fence}")
        return handover

    def _observe(
        self,
        run: sycamoreloft_direct.UpstreamRun,
        trace: _direct_ports.OrderTrace,
        source: str,
    ) -> None:
        if trace.is_replaced:
            # The notice is that of the other upstream.
            self._on_replaced(run)
        else:
            self._notices.apply(run, trace.notice, source)
