"""Turns grant answers into what the permit desk knows of upstreams."""

import dataclasses

import sycamoreloft_config
import sycamoreloft_decisions

#: Time without a grant answer after which an upstream counts as lost, in
#: seconds. It leaves one renewal of 0.2 s to fail by chance.
LOST_AFTER_S = 0.5

#: Time for which an upstream must have counted as lost before its requests
#: are given up, in seconds. With `LOST_AFTER_S` these are the 1,000 ms and
#: 2 % after which its grants have expired, so that a short pause of an
#: upstream turns no request into an unknown outcome.
GIVE_UP_AFTER_S = 0.52


@dataclasses.dataclass(slots=True)
class _Watched:
    incarnation: str
    heard_at: float
    status: str
    lost_at: float = 0.0


class UpstreamMonitor:
    """Follows the upstreams of one held group."""

    def __init__(self) -> None:
        self._watched: dict[str, _Watched] = {}

    def observe_answer(
        self,
        upstream: sycamoreloft_config.Upstream,
        queue: int,
        answer: sycamoreloft_decisions.GrantAnswered,
        now: float,
    ) -> list[sycamoreloft_decisions.PermitEvent]:
        """Takes a grant answer and returns events for the permit desk."""
        events: list[sycamoreloft_decisions.PermitEvent] = []
        watched = self._watched.get(upstream.name)
        restarted = (
            watched is not None and watched.incarnation != answer.incarnation
        )
        if restarted:
            events.append(
                sycamoreloft_decisions.UpstreamLost(upstream.name, ended=True)
            )
        if watched is None or restarted:
            watched = _Watched(answer.incarnation, now, "")
            self._watched[upstream.name] = watched
        watched.heard_at = now
        status = "available"
        if upstream.leaving or answer.draining:
            status = "leaving"
        if status != watched.status:
            watched.status = status
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
        """Returns a loss for each upstream that has gone silent."""
        events: list[sycamoreloft_decisions.PermitEvent] = []
        for name, watched in self._watched.items():
            silent = now - watched.heard_at > LOST_AFTER_S
            if silent and watched.status != "lost":
                watched.status = "lost"
                watched.lost_at = now
                events.append(
                    sycamoreloft_decisions.UpstreamLost(name, ended=False)
                )
        return events

    def is_abandoned(self, name: str, now: float) -> bool:
        """Tells whether requests on an upstream no longer get an answer.

        The time counts from when the loss was noticed and not from the last
        answer: after a pause of this process, the answers of all upstreams
        are old.
        """
        watched = self._watched.get(name)
        return (
            watched is not None
            and watched.status == "lost"
            and now - watched.lost_at >= GIVE_UP_AFTER_S
        )

    def list_states(self, now: float) -> dict[str, dict[str, object]]:
        """Returns the state of each upstream for the state dump."""
        return {
            name: {
                "status": watched.status,
                "incarnation": watched.incarnation,
                "silent_s": round(now - watched.heard_at, 3),
            }
            for name, watched in self._watched.items()
        }
