"""Grants as an upstream keeps them: section 12.1, without I/O."""

from collections import abc
import dataclasses
import hashlib
import hmac
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class GrantCall:
    """The fields of one grant message."""

    #: Group as "fleet/domain/index".
    group: str
    #: Epoch of the holder.
    epoch: int
    #: Version of the content, grows inside an epoch.
    version: int
    #: Incarnation that the holder believes in, "" in its first call.
    incarnation: str
    #: Reading of this upstream's clock, None in the first call.
    clock_reading: float | None
    #: Lifetime, counted from the reading.
    lifetime_ms: float
    #: Fences by service and partition; None for "as in `version`".
    partitions: abc.Mapping[str, abc.Mapping[int, int]] | None
    #: Fences by service and hot key; None for "as in `version`".
    hot_keys: abc.Mapping[str, abc.Mapping[str, int]] | None


def parse_grant_call(body: abc.Mapping[str, typing.Any]) -> GrantCall:
    """Reads the JSON body of a grant message.

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
            service: {int(number): int(fence) for number, fence in held.items()}
            for service, held in partitions.items()
        },
        hot_keys=None
        if hot_keys is None
        else {
            service: {str(key): int(fence) for key, fence in held.items()}
            for service, held in hot_keys.items()
        },
    )


def sign_body(key_id: str, secret: str, body: bytes) -> str:
    """Returns the value of the signature header for a grant message."""
    digest = hmac.new(secret.encode(), body, hashlib.sha256).hexdigest()
    return f"{key_id}:{digest}"


def check_signature(
    keys: abc.Mapping[str, str], header: str, body: bytes
) -> bool:
    """Tells whether the signature was made with one of the keys."""
    key_id = header.partition(":")[0]
    if key_id not in keys:
        return False
    expected = sign_body(key_id, keys[key_id], body)
    return hmac.compare_digest(expected, header)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A grant of one group that the upstream accepted last."""

    #: Epoch of the holder.
    epoch: int
    #: Version of the content.
    version: int
    #: Time on the upstream's own clock at which it ends.
    until: float
    #: Fences by service and partition.
    partitions: abc.Mapping[str, abc.Mapping[int, int]]
    #: Fences by service and hot key.
    hot_keys: abc.Mapping[str, abc.Mapping[str, int]]


def _make_grant(call: GrantCall, known: Grant | None) -> Grant | None:
    """Builds the grant of a call; None if it refers to unknown content."""
    until = call.clock_reading or 0.0
    until += call.lifetime_ms / 1000.0
    partitions, hot_keys = call.partitions, call.hot_keys
    if known and (known.epoch, known.version) == (call.epoch, call.version):
        # Renewals that overtake each other must not shorten the grant.
        until = max(until, known.until)
        partitions = known.partitions if partitions is None else partitions
        hot_keys = known.hot_keys if hot_keys is None else hot_keys
    if partitions is None or hot_keys is None:
        return None
    return Grant(call.epoch, call.version, until, partitions, hot_keys)


class GrantBook:
    """Grants of one upstream process, by group."""

    def __init__(self, incarnation: str, checks_fences: bool) -> None:
        self.incarnation = incarnation
        self.checks_fences = checks_fences
        self._grants: dict[str, Grant] = {}
        self._highest_epochs: dict[str, int] = {}

    def get_highest_epoch(self, group: str) -> int:
        """Returns the highest epoch seen of a group, 0 for none."""
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
            call: Message.
            clock: Reading of the upstream's own clock.
        """
        highest = self.get_highest_epoch(call.group)
        self._highest_epochs[call.group] = max(highest, call.epoch)
        if call.incarnation != self.incarnation or call.clock_reading is None:
            return False
        # A reading from the future cannot come from this process's clock.
        if call.clock_reading > clock:
            return False
        known = self._grants.get(call.group)
        if self.checks_fences and not self._is_current(call, highest, known):
            return False
        grant = _make_grant(call, known)
        if grant is not None:
            self._grants[call.group] = grant
        return grant is not None

    def _is_current(
        self, call: GrantCall, highest: int, known: Grant | None
    ) -> bool:
        if call.epoch < highest:
            return False
        # Inside an epoch, a delayed grant must not bring back a partition
        # whose release was acknowledged with a later version.
        return not (
            known and known.epoch == call.epoch and call.version < known.version
        )

    def find_fence(
        self, group: str, service: str, key: str, partition: int, clock: float
    ) -> int | None:
        """Returns the fence under which a key is owned, None if it is not."""
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
        """Tells whether a request may start to run now."""
        held = self.find_fence(group, service, key, partition, clock)
        if held is None:
            return False
        return not self.checks_fences or fence == held
