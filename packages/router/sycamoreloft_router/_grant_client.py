"""Sends grants to upstreams."""

import dataclasses
import hashlib
import hmac
import json
import typing

from tornado import curl_httpclient, httpclient

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_router import _traffic

#: Time for one call, in seconds. It is shorter than two renewal periods, so
#: that a frozen upstream is noticed before its grant has ended.
CALL_TIMEOUT_S = 0.35

#: Calls at once from one host.
MAXIMUM_CALLS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReply:
    """Answer of an upstream to a grant."""

    #: Whether the grant is in force.
    accepted: bool
    #: Incarnation of the upstream.
    incarnation: str
    #: Reading of the upstream's monotonic clock, in seconds.
    clock_reading: float
    #: Highest epoch that it has seen for the group.
    highest_epoch: int
    #: Version that it has.
    version: int
    #: Whether it asks for no new work.
    draining: bool


class GrantClient:
    """Calls the grant endpoint of upstreams.

    Args:
        key: Key that signs grants; an upstream that checks the sender must
            have the same.
    """

    def __init__(self, key: sycamoreloft_config.Secret) -> None:
        self._key = key
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAXIMUM_CALLS
        )
        #: Bytes of grants and their answers.
        self.traffic = _traffic.Traffic()

    async def send_grant(
        self,
        address: str,
        group: sycamoreloft_config.GroupName,
        grant: sycamoreloft_decisions.SendGrant,
    ) -> GrantReply | None:
        """Sends a grant; returns None if no usable answer came in time."""
        body = json.dumps(_encode_grant(group, grant)).encode()
        signature = hmac.new(
            self._key.secret.encode(), body, hashlib.sha256
        ).hexdigest()
        request = httpclient.HTTPRequest(
            f"http://{address}/_sycamoreloft/grant",
            method="POST",
            body=body,
            headers={
                "Content-Type": "application/json",
                "Expect": "",
                "Sycamoreloft-Signature": f"{self._key.id}:{signature}",
            },
            connect_timeout=CALL_TIMEOUT_S,
            request_timeout=CALL_TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError):
            # The curl client raises errors of the connection even when it
            # is told not to raise for statuses.
            return None
        self.traffic.count_http(len(body), len(response.body or b""))
        if response.code != 200:
            return None
        return _decode_reply(response.body)

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
        return GrantReply(
            accepted=bool(answer["accepted"]),
            incarnation=str(answer["incarnation"]),
            clock_reading=float(answer["clock_reading"]),
            highest_epoch=int(answer["highest_epoch"]),
            version=int(answer["version"]),
            draining=bool(answer["draining"]),
        )
    except (ValueError, KeyError, TypeError):
        return None
