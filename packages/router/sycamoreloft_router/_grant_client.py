"""Sends grants to upstreams."""

import asyncio
import dataclasses
import hashlib
import hmac
import json
import math
import typing

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_router import _call_client, _call_progress, _traffic

#: Timeout of one call, in seconds. It is shorter than two renewal periods, so
#: that a frozen upstream is detected before its grant ends.
CALL_TIMEOUT_S = 0.35

#: Maximum length of the answer to a grant, in bytes.
MAXIMUM_ANSWER_BYTES = 65_536

_LIMITS = _call_client.CallLimits(
    CALL_TIMEOUT_S, CALL_TIMEOUT_S, CALL_TIMEOUT_S, MAXIMUM_ANSWER_BYTES
)


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReply:
    """Answer of an upstream to a grant."""

    #: Whether the upstream has put the grant into force.
    accepted: bool
    #: Incarnation of the upstream, another one after each start.
    incarnation: str
    #: Reading of the upstream's monotonic clock, in seconds.
    clock_reading: float
    #: Highest epoch that the upstream has seen for the group.
    highest_epoch: int
    #: Version of the grant that the upstream has in force.
    version: int
    #: Whether the upstream wants no new requests.
    draining: bool


class GrantClient:
    """Calls the grant endpoint of upstreams.

    Args:
        key: Key that signs grants. An upstream that verifies signatures must
            have the same key.
    """

    def __init__(self, key: sycamoreloft_config.Secret) -> None:
        self._key = key
        self._client = _call_client.CallClient(CALL_TIMEOUT_S)
        #: Bytes of grants and their answers.
        self.traffic = _traffic.Traffic()

    async def send_grant(
        self,
        address: str,
        group: sycamoreloft_config.GroupName,
        grant: sycamoreloft_decisions.SendGrant,
    ) -> GrantReply | None:
        """Sends a grant to an upstream and waits for its answer.

        Args:
            address: Address of the upstream, as "ip:port".
            group: Group whose holder issues the grant.
            grant: Content of the grant.

        Returns:
            The answer, None if no valid one came within `CALL_TIMEOUT_S`.
        """
        body = json.dumps(_encode_grant(group, grant)).encode()
        signature = hmac.new(
            self._key.secret.encode(), body, hashlib.sha256
        ).hexdigest()
        answer = await self._client.send(
            _call_client.Call(
                address,
                "POST",
                "/_sycamoreloft/grant",
                _LIMITS,
                body,
                header_lines=(
                    b"Content-Type: application/json",
                    b"Sycamoreloft-Signature: "
                    + f"{self._key.id}:{signature}".encode(),
                ),
            ),
            _call_progress.CallProgress(asyncio.get_running_loop().time()),
        )
        self.traffic.count_http(len(body), len(answer.body))
        if answer.status != 200:
            return None
        return _decode_reply(answer.body)

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()


def _encode_grant(
    group: sycamoreloft_config.GroupName,
    grant: sycamoreloft_decisions.SendGrant,
) -> dict[str, typing.Any]:
    partitions = None
    if grant.partitions is not None:
        partitions = {
            service: {str(number): fence for number, fence in fences.items()}
            for service, fences in grant.partitions.items()
        }
    return {
        "group": str(group),
        "epoch": grant.epoch,
        "version": grant.version,
        "incarnation": grant.incarnation,
        "clock_reading": grant.clock_reading,
        "lifetime_ms": grant.lifetime_ms,
        "partitions": partitions,
        "hot_keys": {
            service: dict(fences) for service, fences in grant.hot_keys.items()
        },
    }


def _decode_reply(body: bytes) -> GrantReply | None:
    try:
        answer = json.loads(body)
        clock_reading = float(answer["clock_reading"])
        if not math.isfinite(clock_reading):
            # A reading that is not a number would never count as expired.
            return None
        return GrantReply(
            accepted=bool(answer["accepted"]),
            incarnation=str(answer["incarnation"]),
            clock_reading=clock_reading,
            highest_epoch=int(answer["highest_epoch"]),
            version=int(answer["version"]),
            draining=bool(answer["draining"]),
        )
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None
