"""HTTP handlers of an upstream for grants, hints and test controls."""

import dataclasses
import json
import time
import typing

import tornado.web

from sycamoreloft_standins import _grants, _specs, _upstream_state


class _Handler(tornado.web.RequestHandler):
    """Base of the handlers; a frozen upstream does not answer any of them."""

    def initialize(self, state: _upstream_state.UpstreamState) -> None:
        self.state = state

    async def prepare(self) -> None:
        await self.state.wait_while_frozen()

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        self.finish({"error": self._reason, "status": status_code})


class GrantHandler(_Handler):
    """`POST /_sycamoreloft/grant`."""

    def post(self) -> None:
        """Accepts or rejects one grant."""
        signature = self.request.headers.get("Sycamoreloft-Signature", "")
        if self.state.spec.checks_sender and not _grants.check_signature(
            self.state.keys, signature, self.request.body
        ):
            raise tornado.web.HTTPError(403, reason="wrong signature")
        try:
            call = _grants.parse_grant_call(json.loads(self.request.body))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise tornado.web.HTTPError(
                400, reason="malformed grant"
            ) from error
        clock = self.state.read_clock()
        accepted = self.state.grants.accept(call, clock)
        if accepted:
            self.state.record_grant(call.group, clock)
        self.finish(
            {
                "accepted": accepted,
                "incarnation": self.state.incarnation,
                "clock_reading": self.state.read_clock(),
                "highest_epoch": self.state.grants.get_highest_epoch(
                    call.group
                ),
                "version": self.state.grants.get_version(call.group),
                "slots": self.state.spec.slots,
                "draining": self.state.faults.draining,
            }
        )


class HealthHandler(_Handler):
    """`GET /_sycamoreloft/health`: a hint that may be old or wrong."""

    def get(self) -> None:
        """Answers whether the upstream is healthy, or what the fault claims."""
        self.state.observe_load()
        claimed = self.state.faults.health
        self.finish({"healthy": True if claimed is None else claimed})


class LoadHandler(_Handler):
    """`GET /_sycamoreloft/load`: a hint that may be old or wrong."""

    def get(self) -> None:
        """Answers the share of slots in use, or what the fault claims."""
        hint = self.state.observe_load()
        claimed = self.state.faults.load
        load = hint.running / self.state.spec.slots
        self.finish(
            {
                "load": load if claimed is None else claimed,
                "running": hint.running,
                "waiting": hint.waiting,
            }
        )


class FaultsHandler(_Handler):
    """`POST /_standin/faults`: changes the injected faults."""

    async def prepare(self) -> None:
        """Does not wait: a test driver may change a frozen upstream."""

    def post(self) -> None:
        """Changes the fields that the JSON body names."""
        try:
            self.state.faults = _specs.change_faults(
                self.state.faults, json.loads(self.request.body)
            )
        except (TypeError, ValueError) as error:
            self.set_status(400)
            self.finish({"error": str(error)})
            return
        self.finish(dataclasses.asdict(self.state.faults))


class FreezeHandler(FaultsHandler):
    """`POST /_standin/freeze`: delays all answers."""

    def post(self) -> None:
        """Freezes the upstream for `seconds` of the JSON body.

        With `"process": true` the whole process sleeps, which also freezes
        the other upstreams that it serves.
        """
        body = json.loads(self.request.body)
        seconds = float(body["seconds"])
        self.finish({})
        if body.get("process"):
            time.sleep(seconds)
        else:
            self.state.freeze(seconds)


class StateHandler(FaultsHandler):
    """`GET /_standin/state`: shows the state to a test driver."""

    def get(self) -> None:
        """Answers with counters, faults and the incarnation."""
        self.finish(
            {
                "upstream": self.state.identity,
                "incarnation": self.state.incarnation,
                "running": self.state.slot_pool.running,
                "waiting": self.state.slot_pool.waiting,
                "faults": dataclasses.asdict(self.state.faults),
            }
        )
