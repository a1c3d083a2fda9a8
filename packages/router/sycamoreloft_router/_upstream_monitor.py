"""Tracks upstreams by their answers to grants, for the permit issuer."""

import dataclasses

import sycamoreloft_config
import sycamoreloft_decisions

#: Time without an answer to a grant after which an upstream counts as lost, in
#: seconds. One renewal, sent every 0.2 s, may fail by chance.
LOST_AFTER_S = 0.5

#: Time for which an upstream must have counted as lost before its requests are
#: abandoned, in seconds. Together with `LOST_AFTER_S`, this is the 1,000 ms
#: plus 2 % after which grants have expired, so that a short pause of an
#: upstream turns no request into an unknown outcome.
ABANDON_AFTER_S = 0.52


@dataclasses.dataclass(slots=True)
class _TrackedUpstream:
    incarnation: str
    answered_at: float
    status: str
    lost_at: float = 0.0


class UpstreamMonitor:
    """Tracks the upstreams of one group that this host holds."""

    def __init__(self) -> None:
        self._tracked: dict[str, _TrackedUpstream] = {}

    def observe_answer(
        self,
        upstream: sycamoreloft_config.Upstream,
        queue: int,
        answer: sycamoreloft_decisions.GrantAnswered,
        now: float,
    ) -> list[sycamoreloft_decisions.PermitEvent]:
        """Records an answer to a grant, and returns events for the issuer.

        Args:
            upstream: The upstream that answered.
            queue: Maximum number of requests queued for the upstream; 0 means
                twice its slots.
            answer: The answer.
            now: Time of the answer, in seconds.
        """
        events: list[sycamoreloft_decisions.PermitEvent] = []
        tracked = self._tracked.get(upstream.name)
        restarted = (
            tracked is not None and tracked.incarnation != answer.incarnation
        )
        if restarted:
            events.append(
                sycamoreloft_decisions.UpstreamLost(upstream.name, ended=True)
            )
        if tracked is None or restarted:
            tracked = _TrackedUpstream(answer.incarnation, now, "")
            self._tracked[upstream.name] = tracked
        tracked.answered_at = now
        status = "available"
        if upstream.leaving or answer.draining:
            status = "leaving"
        if status != tracked.status:
            tracked.status = status
            events.append(
                sycamoreloft_decisions.UpstreamAvailable(
                    upstream.name, upstream.slots, queue, cold=restarted
                )
                if status == "available"
                else sycamoreloft_decisions.UpstreamUnavailable(upstream.name)
            )
        return events

    def list_losses(
        self, now: float
    ) -> list[sycamoreloft_decisions.PermitEvent]:
        """Returns an event for each upstream that newly counts as lost."""
        events: list[sycamoreloft_decisions.PermitEvent] = []
        for name, tracked in self._tracked.items():
            silent = now - tracked.answered_at > LOST_AFTER_S
            if silent and tracked.status != "lost":
                tracked.status = "lost"
                tracked.lost_at = now
                events.append(
                    sycamoreloft_decisions.UpstreamLost(name, ended=False)
                )
        return events

    def is_abandoned(self, name: str, now: float) -> bool:
        """Returns whether requests at an upstream are no longer waited for.

        That is so once the grants of a lost upstream have expired.

        The time counts from when the loss was noticed and not from the last
        answer: after a pause of this process, the last answers of all upstreams
        are old.
        """
        tracked = self._tracked.get(name)
        return (
            tracked is not None
            and tracked.status == "lost"
            and now - tracked.lost_at >= ABANDON_AFTER_S
        )

    def list_states(self, now: float) -> dict[str, dict[str, object]]:
        """Returns the state of each upstream for the state dump."""
        return {
            name: {
                "status": tracked.status,
                "incarnation": tracked.incarnation,
                "silent_s": round(now - tracked.answered_at, 3),
            }
            for name, tracked in self._tracked.items()
        }
