"""Results of attempts, and what they change for the owner of a key."""

import enum

#: Adjustments to the share of requests that an owner of keys gets: each request
#: without an answer multiplies the share, and each answer adds to it. Refused
#: requests don't change it, because a refusal is quick and shows that the
#: request did not run.
SHARE_BACK_OFF = 0.85
SHARE_RECOVERY = 0.02

#: Minimum of this share.
MINIMUM_SHARE = 0.2


class AttemptResult(enum.Enum):
    """Result of sending a request to an upstream."""

    #: The upstream answered the request.
    ANSWERED = "answered"
    #: The upstream answered with an error of its own.
    FAILED = "failed"
    #: The upstream refused the request, which did not run.
    REFUSED = "refused"
    #: Another upstream answered at the address. The request did not run.
    REPLACED = "replaced"
    #: The upstream stopped accepting requests before this one was sent.
    WITHDRAWN = "withdrawn"
    #: No connection could be made.
    UNREACHABLE = "unreachable"
    #: The connection broke, or the answer was malformed.
    BROKEN = "broken"
    #: The upstream reset the connection before any byte of an answer, as
    #: some upstreams do when they are full.
    RESET = "reset"
    #: No answer arrived in time.
    SILENT = "silent"
    #: The attempt ended early, for example because the caller disconnected.
    CANCELLED = "cancelled"


def adjust_share(share: float, result: AttemptResult) -> float:
    """Returns the share of an owner of keys after an attempt."""
    if result is AttemptResult.SILENT:
        return max(MINIMUM_SHARE, share * SHARE_BACK_OFF)
    if result is AttemptResult.ANSWERED:
        return min(1.0, share + SHARE_RECOVERY)
    return share
