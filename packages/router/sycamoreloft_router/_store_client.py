"""Client of the platform's table service, object store and host list."""

from collections import abc
import dataclasses
import hashlib
import json
import logging
import typing
import uuid

import pycurl
from returns import result
from tornado import curl_httpclient, httpclient

from sycamoreloft_router import _checked_fetches, _logs, _traffic

_LOGGER = logging.getLogger(__name__)

#: Timeout of a call of the table service or the host list, in seconds.
CALL_TIMEOUT_S = 1.0

#: Timeout of a read or write of an object, in seconds.
OBJECT_TIMEOUT_S = 30.0

#: Time without any data after which a read or write of an object is aborted,
#: in whole seconds. libcurl computes the speed of a transfer once a second, so
#: with 1 s the speed at its start, 0, could abort it although data kept coming.
OBJECT_IDLE_TIMEOUT_S = 2

#: Maximum number of concurrent calls of one host.
MAXIMUM_CONCURRENT_CALLS = 16

#: Raised while a malformed answer is decoded. Deeply nested JSON raises
#: RecursionError.
DECODING_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    RecursionError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the table service."""

    #: Version that a conditional write must name to replace this row.
    version: int
    #: Content of the row, a JSON object.
    value: abc.Mapping[str, typing.Any]
    #: Identifier of the transaction that wrote this version.
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreConflict:
    """A condition of a transaction was not met; nothing was written."""

    #: Present version of each row whose condition was not met, 0 for no row.
    versions: abc.Mapping[str, int]

    def __str__(self) -> str:
        return f"rows changed: {', '.join(self.versions)}; read them again"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not answer; a write may still have taken effect."""

    #: Identifier of the transaction, or name of the object that was written;
    #: empty for a read.
    request: str
    #: Operation that failed, or what was wrong with the answer.
    text: str

    def __str__(self) -> str:
        return f"the store did not answer ({self.text}); try again later"


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectUnusable:
    """The object store has no such object, or not its right content."""

    #: Name of the object.
    name: str
    #: What is wrong.
    text: str

    def __str__(self) -> str:
        return f"object {self.name}: {self.text}; submit its file again"


StoreError = StoreConflict | StoreUnavailable


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """A host in the platform's host list."""

    #: Name of the host, as in its settings.
    name: str
    #: Address for messages of other hosts, as "ip:port".
    peer_address: str
    #: Whether the platform is about to stop it.
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAddresses:
    """Base URLs of the platform's services."""

    #: URL of the table service, such as "http://127.0.0.1:7000".
    table_url: str
    #: URL of the object store, without "/objects".
    object_url: str
    #: URL of the host list, without "/hosts".
    host_list_url: str


class StoreClient:
    """Calls the platform's services.

    Args:
        addresses: Base URLs of the services.
        host: Name of this host, which each call carries in a header.
    """

    def __init__(self, addresses: StoreAddresses, host: str) -> None:
        self._addresses = addresses
        self._host = host
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAXIMUM_CONCURRENT_CALLS
        )
        #: Bytes of calls sent and of their answers received.
        self.traffic = _traffic.Traffic()
        #: Number of calls by kind, for the state dump; failed ones are also
        #: counted as reads or writes.
        self.call_counts = {"read": 0, "write": 0, "failed": 0}

    async def _fetch(
        self,
        method: str,
        url: str,
        body: bytes | None,
        is_object: bool = False,
    ) -> _checked_fetches.FetchedAnswer | None:
        """Calls a service of the platform.

        Args:
            method: HTTP method.
            url: URL of the call.
            body: Body, None for a call without one.
            is_object: Whether the call transfers an object. It may then take
                long and is aborted after `OBJECT_IDLE_TIMEOUT_S` without data.

        Returns:
            The answer, None if the service did not answer or answered with a
            server error.
        """
        request = httpclient.HTTPRequest(
            url,
            method=method,
            body=body,
            headers={"Sycamoreloft-Host": self._host, "Expect": ""},
            connect_timeout=CALL_TIMEOUT_S,
            request_timeout=OBJECT_TIMEOUT_S if is_object else CALL_TIMEOUT_S,
            prepare_curl_callback=_set_idle_timeout if is_object else None,
        )
        response: _checked_fetches.FetchedAnswer | None = None
        try:
            response = await _checked_fetches.CheckedFetch(request).run(
                self._client
            )
        except (OSError, httpclient.HTTPError) as error:
            _logs.log_event(
                _LOGGER,
                logging.WARNING,
                "store-call-failed",
                method=method,
                url=url,
                error=str(error),
            )
        if response is not None:
            self.traffic.count_http(len(body or b""), len(response.body))
        if response is None or response.status in (500, 502, 503, 504, 599):
            self.call_counts["failed"] += 1
            return None
        return response

    async def transact(
        self,
        conditions: abc.Mapping[str, int],
        puts: abc.Mapping[str, abc.Mapping[str, typing.Any]],
        deletes: abc.Sequence[str] = (),
        request: str = "",
    ) -> result.Result[abc.Mapping[str, int], StoreError]:
        """Writes rows in one transaction if all conditions are met.

        Args:
            conditions: Expected version by row key; 0 for no row.
            puts: New content by row key.
            deletes: Keys of rows to delete.
            request: Identifier that the written rows store, so that a later
                read shows whether the write took effect although its answer
                was lost. If empty, a new identifier is generated.

        Returns:
            New versions by row key, or why the rows were not written.
        """
        request = request or uuid.uuid4().hex
        self.call_counts["write"] += 1
        body = {
            "request": request,
            "conditions": list(conditions.items()),
            "puts": list(puts.items()),
            "deletes": list(deletes),
        }
        response = await self._fetch(
            "POST",
            f"{self._addresses.table_url}/table/transact",
            json.dumps(body).encode(),
        )
        if response is None:
            return result.Failure(StoreUnavailable(request, "transact"))
        try:
            answer = json.loads(response.body)
            if answer["applied"]:
                return result.Success(dict(answer["versions"]))
            return result.Failure(StoreConflict(dict(answer["conflicts"])))
        except DECODING_ERRORS:
            return result.Failure(
                StoreUnavailable(request, "malformed answer to transact")
            )

    async def read(
        self, keys: abc.Sequence[str] = (), prefixes: abc.Sequence[str] = ()
    ) -> result.Result[abc.Mapping[str, StoredRow], StoreUnavailable]:
        """Reads rows by key and by key prefix from one consistent snapshot.

        Returns:
            Rows by key; keys without a row are left out.
        """
        self.call_counts["read"] += 1
        body = {"keys": list(keys), "prefixes": list(prefixes)}
        response = await self._fetch(
            "POST",
            f"{self._addresses.table_url}/table/read",
            json.dumps(body).encode(),
        )
        if response is None or response.status != 200:
            return result.Failure(StoreUnavailable("", "read"))
        try:
            return result.Success(
                {
                    key: StoredRow(row["version"], row["value"], row["request"])
                    for key, row in json.loads(response.body)["rows"].items()
                }
            )
        except DECODING_ERRORS:
            return result.Failure(
                StoreUnavailable("", "malformed answer to read")
            )

    async def put_object(
        self, text: str
    ) -> result.Result[str, StoreUnavailable]:
        """Stores a text as an immutable object.

        Returns:
            Name of the object, the SHA-256 digest of its content in hex.
        """
        data = text.encode()
        name = hashlib.sha256(data).hexdigest()
        self.call_counts["write"] += 1
        response = await self._fetch(
            "PUT", f"{self._addresses.object_url}/objects/{name}", data, True
        )
        if response is None or response.status >= 300:
            return result.Failure(StoreUnavailable(name, "put object"))
        return result.Success(name)

    async def get_object(
        self, name: str
    ) -> result.Result[str, StoreUnavailable | ObjectUnusable]:
        """Reads the text of an object and checks it against the name.

        Args:
            name: SHA-256 digest of the object's content in hex.
        """
        self.call_counts["read"] += 1
        response = await self._fetch(
            "GET", f"{self._addresses.object_url}/objects/{name}", None, True
        )
        if response is None:
            return result.Failure(StoreUnavailable("", "get object"))
        if response.status != 200:
            return result.Failure(
                ObjectUnusable(
                    name, f"no object, the store answered {response.status}"
                )
            )
        if hashlib.sha256(response.body).hexdigest() != name:
            return result.Failure(
                ObjectUnusable(name, "the content does not match its name")
            )
        return result.Success(response.body.decode())

    async def list_hosts(
        self,
    ) -> result.Result[abc.Sequence[ListedHost], StoreUnavailable]:
        """Returns the platform's host list, which may be out of date."""
        self.call_counts["read"] += 1
        response = await self._fetch(
            "GET", f"{self._addresses.host_list_url}/hosts", None
        )
        if response is None or response.status != 200:
            return result.Failure(StoreUnavailable("", "host list"))
        try:
            return result.Success(
                [
                    ListedHost(
                        item["name"], item["peer_address"], item["leaving"]
                    )
                    for item in json.loads(response.body)["hosts"]
                ]
            )
        except DECODING_ERRORS:
            return result.Failure(StoreUnavailable("", "malformed host list"))

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()


def _set_idle_timeout(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
    curl.setopt(pycurl.LOW_SPEED_TIME, OBJECT_IDLE_TIMEOUT_S)
