"""Fields of the datagrams that pass on changes of the table of upstreams."""

import typing

import sycamoreloft_direct
from sycamoreloft_router import _datagram_checks, _datagrams

#: Maximum number of changed entries in a datagram.
_MAXIMUM_ENTRIES = 1_024

#: Largest number of a request.
_MAXIMUM_NUMBER = (1 << 63) - 1


def list_request_fields(
    message: _datagrams.RelayRequest,
) -> tuple[typing.Any, ...]:
    """Returns the kind of a request and its fields, in encoded order."""
    return (
        "relay-request",
        _datagram_checks.encode_seen(message.seen),
        message.number,
        message.failure_domain,
    )


def decode_request(
    seen: typing.Any, number: typing.Any, failure_domain: typing.Any
) -> _datagrams.RelayRequest:
    """Checks the fields of a request."""
    return _datagrams.RelayRequest(
        _datagram_checks.decode_seen(seen),
        _datagram_checks.check_integer(number, 0, _MAXIMUM_NUMBER),
        _check_text(failure_domain, "failure_domain"),
    )


def list_offer_fields(
    message: _datagrams.RelayOffer,
) -> tuple[typing.Any, ...]:
    """Returns the kind of an offer and its fields, in encoded order."""
    offer = message.offer
    return (
        "relay-offer",
        _datagram_checks.encode_seen(message.seen),
        offer.epoch,
        offer.number,
        offer.is_witness,
        offer.base.era,
        offer.base.version,
        offer.head,
        offer.version,
    )


def decode_offer(
    seen: typing.Any,
    epoch: typing.Any,
    number: typing.Any,
    is_witness: typing.Any,
    era: typing.Any,
    base: typing.Any,
    head: typing.Any,
    version: typing.Any,
) -> _datagrams.RelayOffer:
    """Checks the fields of an offer."""
    first, last, complete = map(
        _datagram_checks.check_version, (base, head, version)
    )
    if not first <= last <= complete:
        raise ValueError(f"{first}, {last} and {complete} are out of order")
    return _datagrams.RelayOffer(
        _datagram_checks.decode_seen(seen),
        sycamoreloft_direct.Offer(
            _datagram_checks.check_version_part(epoch),
            _datagram_checks.check_integer(number, 0, _MAXIMUM_NUMBER),
            _datagram_checks.check_boolean(is_witness, "is_witness"),
            sycamoreloft_direct.TableVersion(
                _datagram_checks.check_version(era), first
            ),
            last,
            complete,
        ),
    )


def list_changes_fields(
    message: _datagrams.RelayedChanges,
) -> tuple[typing.Any, ...]:
    """Returns the kind of a message and its fields, in encoded order."""
    changes = message.changes
    return (
        "table-changes",
        _datagram_checks.encode_seen(message.seen),
        changes.era,
        changes.before,
        changes.after,
        [
            [key]
            if upstream is None
            else [
                key,
                upstream.started_ms,
                upstream.address,
                upstream.service,
                upstream.failure_domain,
                upstream.slots,
                upstream.is_draining,
                upstream.warm_up_s,
            ]
            for key, upstream in changes.values.items()
        ],
    )


def decode_changes(
    seen: typing.Any,
    era: typing.Any,
    before: typing.Any,
    after: typing.Any,
    entries: typing.Any,
) -> _datagrams.RelayedChanges:
    """Checks the fields of a message with changes."""
    items = _datagram_checks.check_list(entries)
    if len(items) > _MAXIMUM_ENTRIES:
        raise ValueError(f"{len(items)} changed entries are too many")
    first, last = map(_datagram_checks.check_version, (before, after))
    if first > last or (items and first == last):
        raise ValueError(f"no changes lead from {first} to {last}")
    values = {}
    for item in items:
        key, *fields = _datagram_checks.check_list(item)
        identifier = _check_identifier(key)
        values[identifier] = (
            _decode_upstream(identifier, *fields) if fields else None
        )
    return _datagrams.RelayedChanges(
        _datagram_checks.decode_seen(seen),
        sycamoreloft_direct.TableChanges(
            _datagram_checks.check_integer(
                era, 0, _datagram_checks.MAXIMUM_ROW_VERSION
            ),
            first,
            last,
            values,
        ),
    )


def _decode_upstream(
    identifier: str,
    started_ms: typing.Any,
    address: typing.Any,
    service: typing.Any,
    failure_domain: typing.Any,
    slots: typing.Any,
    is_draining: typing.Any,
    warm_up_s: typing.Any,
) -> sycamoreloft_direct.Upstream:
    return sycamoreloft_direct.Upstream(
        identifier,
        _datagram_checks.check_version(started_ms),
        _check_address(address),
        _check_text(service, "service"),
        _check_text(failure_domain, "failure_domain"),
        _datagram_checks.check_integer(
            slots, 0, sycamoreloft_direct.MAXIMUM_SLOTS
        ),
        _datagram_checks.check_boolean(is_draining, "is_draining"),
        _datagram_checks.check_duration(warm_up_s),
    )


def _check_identifier(value: typing.Any) -> str:
    text = _datagram_checks.check_string(value)
    if not sycamoreloft_direct.is_identifier(text):
        raise ValueError(f"{text!r:.40} is not an identifier")
    return text


def _check_text(value: typing.Any, name: str) -> str:
    return sycamoreloft_direct.check_text(
        _datagram_checks.check_string(value), name
    )


def _check_address(value: typing.Any) -> str:
    return sycamoreloft_direct.check_address(
        _datagram_checks.check_string(value)
    )
