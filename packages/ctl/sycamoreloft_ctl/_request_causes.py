"""Causes of failed requests and their remedies."""

import enum


class Cause(enum.Enum):
    """Why a request was not served in time.

    Each value holds the code, the meaning and the remedy.
    """

    NOT_FOUND = (
        "not-found",
        "no line names the request",
        "pass the files of all hosts and of the whole time; a line that was"
        " left out is counted in `suppressed` of a later one",
    )
    SERVED = (
        "served",
        "the request was answered in time",
        "look at the caller and at the network path to it",
    )
    LATE = (
        "slow-upstream",
        "the upstream answered after the latency target of the route",
        "look at the upstream's load and speed",
    )
    BAD_REQUEST = (
        "bad-request",
        "the host refused the head of the request",
        "the body of the answer says what the caller has to change",
    )
    NO_STATE = (
        "no-desired-state",
        "the host had read no desired state yet",
        "look for store-call-failed on that host",
    )
    CALLER_LEFT = (
        "caller-left",
        "the caller closed its connection before the answer",
        "compare `elapsed_s` with the time that callers wait",
    )
    HOT_KEY = (
        "hot-key",
        "one key got more requests than its owner can serve",
        "one key cannot be divided: a faster upstream or fewer requests help",
    )
    OWNER_FULL = (
        "owner-full",
        "the owner of the key had no room",
        "look at the load of the service; keys of a full owner move within"
        " seconds if others have room",
    )
    SERVICE_FULL = (
        "service-full",
        "the upstreams that were tried had no room",
        "add upstreams to the service, or send it fewer requests",
    )
    UPSTREAM_LOST = (
        "upstream-lost",
        "the upstream ended or was cut off while it had the request, or"
        " before it was reached",
        "look at the upstream; its keys move when their lease has ended",
    )
    UPSTREAM_LEFT = (
        "upstream-left",
        "the upstream said in an answer that it was shutting down",
        "look at why it leaves; its keys move as soon as the coordinator knows",
    )
    UPSTREAM_PAUSED = (
        "upstream-paused",
        "the upstreams that could take the request had asked this host to wait,"
        " or began to shut down before it was sent",
        "look for upstream-paused and upstream-leaving, and at the load of the"
        " service",
    )
    UPSTREAM_SILENT = (
        "upstream-silent",
        "the upstream took the request and did not answer in time",
        "look at the upstream; some never answer what they cannot queue",
    )
    UPSTREAM_FAILED = (
        "upstream-failed",
        "the upstream answered with a failure of its own",
        "look at the upstream's own logs",
    )
    CONNECTION_BROKE = (
        "connection-broke",
        "the connection broke, but the upstream is still running",
        "look at the network, and at the upstream's limit of connections",
    )
    ANSWER_SPOILED = (
        "answer-spoiled",
        "the upstream's answer was not a valid answer to this request",
        "look at the upstream; `detail` of the attempt says what was wrong",
    )
    ADDRESS_REUSED = (
        "address-reused",
        "another upstream has taken over the address of the upstream that was"
        " tried",
        "nothing to do: the keys move when the lease of the former upstream has"
        " ended",
    )
    COORDINATOR_CHANGED = (
        "coordinator-changed",
        "the key had no owner while the coordinator changed",
        "look for the end of the former coordinator",
    )
    OWNER_UNREACHABLE = (
        "owner-unreachable",
        "the owner did not accept the coordinator's orders, so its lease ended",
        "look at the network path from the coordinator to the upstream",
    )
    KEY_MOVED = (
        "key-moved",
        "the key was moving to another owner",
        "look at key-map-recorded: moves take some tenths of a second",
    )
    QUARANTINED = (
        "quarantined",
        "the request crashed upstreams before and is not sent any more",
        "look for crash-suspected with the same fingerprint",
    )
    NO_UPSTREAM = (
        "no-upstream",
        "the service had no listed upstream that was not leaving",
        "look for upstream-gone of the service",
    )
    EVACUATED = (
        "evacuated",
        "all failure domains with upstreams of the service were evacuated",
        "remove a row evacuate/ZONE from the operator's table",
    )
    UPSTREAM_COLD = (
        "upstream-cold",
        "the owner of the key, or each upstream, was cold and had no room",
        "look for upstream-listed: upstreams started, or became cold again",
    )
    HOST_STOPPED = (
        "host-stopped",
        "the host ended while it had the request",
        "look for host-stopping, or for the loss of the host",
    )

    def __init__(self, code: str, meaning: str, remedy: str) -> None:
        #: Stable name, printed and written as `cause` in JSON.
        self.code = code
        #: One sentence for the operator.
        self.meaning = meaning
        #: What the operator can do, or where to look next.
        self.remedy = remedy
