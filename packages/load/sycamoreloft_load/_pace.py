"""Limits what an upstream gets that has just started or recovered.

The pace of an upstream is the share of its slots that this host counts on. It
starts low, rises with good answers, and drops after a setback. It is a factor
of the weight by which upstreams are drawn, so that the limits of hosts that
know nothing of each other add up to the same share of the upstream's load. No
upstream is excluded by it.
"""

import dataclasses
import math

#: Share of an upstream that starts or was ejected, and the lowest share. From
#: here, four good answers or 1.5 s reach the whole of an upstream with 4 slots.
MINIMUM_SHARE = 0.125

#: Factor of the share after a failure, a refusal or an answer that was slower
#: than those of peers.
SETBACK_FACTOR = 0.25

#: Seconds in which the share doubles without answers. A host that sends little
#: would otherwise keep an upstream at the lowest share for minutes.
DOUBLING_S = 0.5

#: An answer raises the share if its latency is at most this multiple of the
#: mean of the service, since the work of single requests varies.
GOOD_LATENCY_FACTOR = 1.5

#: An answer lowers the share if its latency is over this multiple of that mean.
#: Healthy upstreams of one service differ by up to 3 times in speed.
BAD_LATENCY_FACTOR = 3.0

#: Seconds after the start of a pace, or after the end of the cold time, for
#: which slow answers lower the share: twice the rise without answers. An
#: upstream that stays slow gets requests by its learned latency afterwards.
JUDGED_S = 3.0


@dataclasses.dataclass(slots=True)
class Pace:
    """The pace of one upstream. Times are in seconds."""

    #: Share at `rises_from`.
    share: float
    #: Time from which the share doubles without answers.
    rises_from: float
    #: End of the time for which the upstream said that it is cold.
    cold_until: float
    #: Time until which slow answers lower the share.
    judged_until: float


def begin(now: float, cold_s: float = 0.0) -> Pace:
    """Returns the pace of an upstream that starts or returns.

    Args:
        now: Time, in seconds.
        cold_s: Seconds for which the upstream says that it is cold. The share
            rises only with answers meanwhile.
    """
    cold_until = now + cold_s
    return Pace(MINIMUM_SHARE, cold_until, cold_until, cold_until + JUDGED_S)


def compute_share(pace: Pace, now: float) -> float:
    """Returns the share, from `MINIMUM_SHARE` to 1; at 1 the pace is over."""
    if now <= pace.rises_from:
        return pace.share
    # 2 ** 3 reaches 1 from the lowest share; the exponent must not overflow.
    doublings = min(8.0, (now - pace.rises_from) / DOUBLING_S)
    return min(1.0, pace.share * math.pow(2.0, doublings))


def record_answer(
    pace: Pace,
    latency_s: float,
    peer_latency_s: float,
    slots: int,
    now: float,
) -> Pace | None:
    """Returns the pace after an answer, or None if it is over.

    The limit in requests rises by one, or doubles while it is below one, so
    that it doubles when as many answers arrived as it allows.

    Args:
        pace: Pace before the answer.
        latency_s: Latency of the answer.
        peer_latency_s: Mean latency of the service.
        slots: Number of slots of the upstream.
        now: Time, in seconds.
    """
    if latency_s > BAD_LATENCY_FACTOR * peer_latency_s:
        return record_setback(pace, now) if now < pace.judged_until else pace
    if latency_s <= GOOD_LATENCY_FACTOR * peer_latency_s:
        share = compute_share(pace, now)
        share += min(share, 1.0 / max(1, slots))
        if share >= 1.0:
            return None
        pace.share = share
        pace.rises_from = max(now, pace.cold_until)
    return pace


def record_setback(
    pace: Pace | None, now: float, resumes_at: float = 0.0
) -> Pace:
    """Returns the pace after a failure, a refusal or a slow answer.

    Args:
        pace: Pace before it; None if there was none.
        now: Time, in seconds.
        resumes_at: Time before which the upstream gets hardly any requests,
            because it is ejected or paused.
    """
    share = 1.0
    if pace is None:
        pace = begin(now)
    else:
        share = compute_share(pace, now)
    pace.share = max(MINIMUM_SHARE, share * SETBACK_FACTOR)
    pace.rises_from = max(now, pace.cold_until, resumes_at)
    return pace


def compute_floor(paced: int, candidates: int) -> float:
    """Returns the share that each upstream gets at least.

    If few upstreams are warm, the load that the others don't get would
    overload them. With a share of `f` upstreams that have a pace, the floor
    `2f - 1` keeps the load of a warm upstream at most at twice its load without
    paces, as `1 - f + f(2f - 1)` is at least a half. If all have a pace, none
    is held back.

    Args:
        paced: Number of candidates with a pace.
        candidates: Number of all candidates.
    """
    return max(0.0, 2.0 * paced / candidates - 1.0)
