"""Grants that an upstream has accepted, without I/O.

Section 12.1 of the design page gives the rules.
"""

from collections import abc
import dataclasses
import hashlib
import hmac
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class GrantCall:
    """The fields of one grant message."""

    #: Group that the sender holds, as "fleet/domain/index".
    group: str
    #: Epoch of the sender as holder of the group.
    epoch: int
    #: Version of the fences, increases inside an epoch.
    version: int
    #: Upstream incarnation last known to the sender, "" in its first call.
    incarnation: str
    #: Reading of the upstream's clock in seconds from its answer to an earlier
    #: call, None in the first call.
    clock_reading: float | None
    #: How long the grant is in force after the clock reading.
    lifetime_ms: float
    #: Fences by service and partition; None if unchanged since the accepted
    #: grant of the same version.
    partitions: abc.Mapping[str, abc.Mapping[int, int]] | None
    #: Fences by service and hot key; None if unchanged, as above.
    hot_keys: abc.Mapping[str, abc.Mapping[str, int]] | None


def parse_grant_call(body: abc.Mapping[str, typing.Any]) -> GrantCall:
    """Parses the JSON body of a grant message.

    Raises:
        KeyError, TypeError, ValueError: The body is malformed.
    """
    partitions = body.get("partitions")
    hot_keys = body.get("hot_keys")
    reading = body.get("clock_reading")
    return GrantCall(
        group=str(body["group"]),
        epoch=int(body["epoch"]),
        version=int(body["version"]),
        incarnation=str(body.get("incarnation") or ""),
        clock_reading=None if reading is None else float(reading),
        lifetime_ms=float(body["lifetime_ms"]),
        partitions=None
        if partitions is None
        else {
            service: {
                int(number): int(fence) for number, fence in fences.items()
            }
            for service, fences in partitions.items()
        },
        hot_keys=None
        if hot_keys is None
        else {
            service: {str(key): int(fence) for key, fence in fences.items()}
            for service, fences in hot_keys.items()
        },
    )


def sign_body(key_id: str, secret: str, body: bytes) -> str:
    """Returns the value of the signature header for a grant message."""
    digest = hmac.new(secret.encode(), body, hashlib.sha256).hexdigest()
    return f"{key_id}:{digest}"


def check_signature(
    keys: abc.Mapping[str, str], header: str, body: bytes
) -> bool:
    """Returns whether a signature header was made with one of the keys.

    Args:
        keys: Secrets by key id.
        header: Value of the signature header.
        body: Body of the message.
    """
    key_id = header.partition(":")[0]
    if key_id not in keys:
        return False
    expected = sign_body(key_id, keys[key_id], body)
    return hmac.compare_digest(expected, header)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The grant that the upstream accepted last from a group."""

    #: Epoch of the holder that sent it.
    epoch: int
    #: Version of the fences.
    version: int
    #: Its end on the upstream's own clock, in seconds.
    until: float
    #: Fences by service and partition.
    partitions: abc.Mapping[str, abc.Mapping[int, int]]
    #: Fences by service and hot key.
    hot_keys: abc.Mapping[str, abc.Mapping[str, int]]


def _make_grant(call: GrantCall, current: Grant | None) -> Grant | None:
    """Builds the grant of a call.

    Returns None if the call omits fences and the version is not the current
    one, so that they are unknown.
    """
    until = call.clock_reading or 0.0
    until += call.lifetime_ms / 1000.0
    partitions, hot_keys = call.partitions, call.hot_keys
    if current and (current.epoch, current.version) == (
        call.epoch,
        call.version,
    ):
        # A renewal that arrives after a later one must not shorten the grant.
        until = max(until, current.until)
        partitions = current.partitions if partitions is None else partitions
        hot_keys = current.hot_keys if hot_keys is None else hot_keys
    if partitions is None or hot_keys is None:
        return None
    return Grant(call.epoch, call.version, until, partitions, hot_keys)


class GrantRegistry:
    """Grants that one upstream has accepted, by group.

    Args:
        incarnation: Identifier of the current run of the upstream.
        checks_fences: Whether old epochs, versions and fences are rejected.
    """

    def __init__(self, incarnation: str, checks_fences: bool) -> None:
        self.incarnation = incarnation
        self.checks_fences = checks_fences
        # The grant accepted last from each group.
        self._grants: dict[str, Grant] = {}
        self._highest_epochs: dict[str, int] = {}

    def get_highest_epoch(self, group: str) -> int:
        """Returns the highest epoch received from a group, 0 for none."""
        return self._highest_epochs.get(group, 0)

    def get_version(self, group: str) -> int:
        """Returns the version of the accepted grant, 0 for none."""
        grant = self._grants.get(group)
        return grant.version if grant else 0

    def get_grant(self, group: str) -> Grant | None:
        """Returns the grant accepted last from a group."""
        return self._grants.get(group)

    def accept(self, call: GrantCall, clock: float) -> bool:
        """Accepts or rejects a grant; returns whether it was accepted.

        Args:
            call: The grant message.
            clock: Reading of the upstream's own clock.
        """
        highest = self.get_highest_epoch(call.group)
        self._highest_epochs[call.group] = max(highest, call.epoch)
        if call.incarnation != self.incarnation or call.clock_reading is None:
            return False
        # A reading later than now cannot come from this process's clock.
        if call.clock_reading > clock:
            return False
        current = self._grants.get(call.group)
        if self.checks_fences and not self._is_current(call, highest, current):
            return False
        grant = _make_grant(call, current)
        if grant is not None:
            self._grants[call.group] = grant
        return grant is not None

    def _is_current(
        self, call: GrantCall, highest: int, current: Grant | None
    ) -> bool:
        if call.epoch < highest:
            return False
        # In the same epoch, a delayed grant must not restore a partition whose
        # release was acknowledged with a later version.
        return not (
            current
            and current.epoch == call.epoch
            and call.version < current.version
        )

    def get_fence(
        self, group: str, service: str, key: str, partition: int, clock: float
    ) -> int | None:
        """Returns the fence under which a key is owned, None if not owned."""
        grant = self._grants.get(group)
        if grant is None or clock >= grant.until:
            return None
        hot = grant.hot_keys.get(service, {}).get(key)
        if hot is not None:
            return hot
        return grant.partitions.get(service, {}).get(partition)

    def may_run(
        self,
        group: str,
        service: str,
        key: str,
        partition: int,
        fence: int,
        clock: float,
    ) -> bool:
        """Returns whether a request with this fence may start to run now."""
        owned_fence = self.get_fence(group, service, key, partition, clock)
        if owned_fence is None:
            return False
        return not self.checks_fences or fence == owned_fence
