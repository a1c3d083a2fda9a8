"""Measurements of the router's costs at several sizes.

Each measurement calls the router's own code without I/O and returns one slope.
Network traffic is the size of the encoded messages.
"""

from collections import abc
import functools
import random

import sycamoreloft_config
import sycamoreloft_decisions
from sycamoreloft_decisions import membership
from sycamoreloft_proof import _slopes
import sycamoreloft_wire

#: Numbers of hosts in the deployment.
HOST_SIZES = (24, 250, 1_000, 2_000, 4_100)

#: Numbers of upstreams in one group.
UPSTREAM_SIZES = (4, 8, 16, 32)

#: Numbers of partitions in one group.
PARTITION_SIZES = (256, 1_024, 4_096, 16_384)


def make_member_entry(
    number: int, groups: int = 0
) -> sycamoreloft_wire.MemberEntry:
    """Creates the member entry of a host with a number."""
    return sycamoreloft_wire.MemberEntry(
        f"host-{number:04d}",
        f"{number:016x}",
        1,
        f"10.0.{number // 250}.{number % 250}:7001",
        f"10.0.{number // 250}.{number % 250}:7000",
        f"10.0.{number // 250}.{number % 250}:7002",
        {"sledworks": f"domain-{number % 6}"},
        False,
        {f"sledworks/domain-{number % 6}/{number}": 3 for _ in range(groups)},
        1,
    )


def _make_membership(
    hosts: int,
) -> membership.Membership[sycamoreloft_wire.MemberEntry]:
    members = membership.Membership(make_member_entry(0), random.Random(1))
    entries = [make_member_entry(number) for number in range(1, hosts)]
    members.merge([], entries, 0.0)
    members.merge(
        [
            sycamoreloft_wire.Heartbeat(entry.host, entry.incarnation, 1)
            for entry in entries
        ],
        [],
        10.0,
    )
    return members


def measure_gossip_time() -> _slopes.Slope:
    """Measures the processor time of one gossip round, by hosts."""
    values = []
    for hosts in HOST_SIZES:
        members = _make_membership(hosts)
        values.append(
            _slopes.measure_time(
                functools.partial(run_gossip_round, members), 20
            )
        )
    return _slopes.fit_slope(
        "gossip-round-time", "s", "hosts", HOST_SIZES, values
    )


def run_gossip_round(
    members: membership.Membership[sycamoreloft_wire.MemberEntry],
) -> list[bytes]:
    """Chooses the targets of a gossip round and encodes a digest for each."""
    digests = []
    for target in members.choose_targets():
        digest = members.build_digest(11.0, target)
        heartbeats = [
            sycamoreloft_wire.Heartbeat(
                member_heartbeat.host,
                member_heartbeat.incarnation,
                member_heartbeat.counter,
            )
            for member_heartbeat in digest.heartbeats
        ]
        own = sycamoreloft_wire.Heartbeat("host-0000", "0" * 16, 9_999)
        digests.append(
            sycamoreloft_wire.encode_message(
                0,
                sycamoreloft_wire.GossipDigest(
                    [own, *heartbeats], digest.entries
                ),
            )
        )
    return digests


def measure_gossip_bytes() -> _slopes.Slope:
    """Measures the bytes that one gossip round sends, by hosts."""
    values = [
        float(sum(map(len, run_gossip_round(_make_membership(hosts)))))
        for hosts in HOST_SIZES
    ]
    return _slopes.fit_slope(
        "gossip-round-bytes", "B", "hosts", HOST_SIZES, values
    )


def measure_member_memory() -> _slopes.Slope:
    """Measures the memory of the member list, by hosts."""
    values = [
        _slopes.measure_memory(functools.partial(_make_membership, hosts))
        for hosts in HOST_SIZES
    ]
    return _slopes.fit_slope("member-memory", "B", "hosts", HOST_SIZES, values)


def make_fleet(
    upstreams: int, partitions: int = 256, domains: int = 1
) -> sycamoreloft_config.Fleet:
    """Creates a fleet with one keyed service."""
    names = [f"domain-{number}" for number in range(domains)]
    return sycamoreloft_config.Fleet(
        "sledworks",
        sycamoreloft_config.Weights(),
        3_900.0,
        600.0,
        {name: sycamoreloft_config.FailureDomain(name) for name in names},
        {
            "tally-board": sycamoreloft_config.Service(
                "tally-board", True, partitions
            )
        },
        {
            f"u-{number:05d}": sycamoreloft_config.Upstream(
                f"u-{number:05d}",
                "tally-board",
                names[number % domains],
                f"10.1.{number // 250}.{number % 250}:9000",
                6,
            )
            for number in range(upstreams)
        },
    )


def measure_permit_time() -> _slopes.Slope:
    """Measures the processor time of one permit, by upstreams of the group."""
    values = []
    for upstreams in UPSTREAM_SIZES:
        issuer = sycamoreloft_decisions.PermitIssuer(
            random.Random(1), 0.0, fresh=True
        )
        for number in range(upstreams):
            issuer.handle(
                sycamoreloft_decisions.UpstreamAvailable(f"u-{number}", 6), 0.0
            )
        values.append(
            _slopes.measure_time(_make_permit_loop(issuer, upstreams), 2_000)
        )
    return _slopes.fit_slope(
        "permit-time", "s", "upstreams", UPSTREAM_SIZES, values
    )


def _make_permit_loop(
    issuer: sycamoreloft_decisions.PermitIssuer, upstreams: int
) -> abc.Callable[[], object]:
    numbers = iter(range(10**9))

    def issue_and_return_permit() -> None:
        number = next(numbers)
        permit = f"p{number}"
        now = number * 1e-4
        issuer.handle(
            sycamoreloft_decisions.PermitRequested(
                permit,
                "host-1",
                "sledworks",
                "tally-board",
                "heat-7",
                3,
                permit.encode(),
                "caller",
                sycamoreloft_config.Priority.NORMAL,
                now + 10.0,
                (f"u-{number % upstreams}",),
            ),
            now,
        )
        issuer.handle(
            sycamoreloft_decisions.PermitReturned(permit, "completed", 0.002),
            now + 0.002,
        )

    return issue_and_return_permit


def measure_permit_bytes() -> _slopes.Slope:
    """Measures the bytes of the permit messages, by requests."""
    request = sycamoreloft_wire.PermitRequest(
        "sledworks/baleyard-north/0",
        "host-0001-0123456789abcdef-123456",
        "host-0001",
        12,
        "sledworks",
        "tally-board",
        "heat-123456",
        77,
        b"f" * 16,
        "caller-123",
        1,
        10_000,
    )
    grant = sycamoreloft_wire.PermitGrant(
        request.permit, "tally-board-07", "10.1.0.7:9000", 12, 345, 1_000
    )
    returned = sycamoreloft_wire.PermitReturn(
        request.group, request.permit, "completed", 2.345, False, False
    )
    request_bytes = sum(
        len(
            sycamoreloft_wire.encode_frame(
                sycamoreloft_wire.encode_message(123_456, message)
            )
        )
        for message in (request, grant, returned)
    )
    sizes = (1, 10, 100, 1_000)
    return _slopes.fit_slope(
        "permit-bytes",
        "B",
        "requests",
        sizes,
        [request_bytes * size for size in sizes],
    )


def measure_directory_time() -> _slopes.Slope:
    """Measures the processor time to look up a partition's group, by groups."""
    sizes = (6, 24, 96, 384)
    values = []
    for domains in sizes:
        fleet = make_fleet(domains * 2, 65_536, domains)
        generation = sycamoreloft_config.Generation(1, {fleet.name: fleet})
        directory = sycamoreloft_decisions.PartitionDirectory(generation)
        partitions = iter(range(65_536))
        values.append(
            _slopes.measure_time(
                functools.partial(_get_next_group, directory, partitions),
                500,
            )
        )
    return _slopes.fit_slope("find-group-time", "s", "groups", sizes, values)


def _get_next_group(
    directory: sycamoreloft_decisions.PartitionDirectory,
    partitions: abc.Iterator[int],
) -> object:
    return directory.get_group("sledworks", "tally-board", next(partitions))


def measure_directory_memory() -> _slopes.Slope:
    """Measures the memory of a full partition directory, by partitions."""
    values = [
        _slopes.measure_memory(functools.partial(_fill_directory, count))
        for count in PARTITION_SIZES
    ]
    return _slopes.fit_slope(
        "partition-memory", "B", "partitions", PARTITION_SIZES, values
    )


def _fill_directory(
    partitions: int,
) -> sycamoreloft_decisions.PartitionDirectory:
    fleet = make_fleet(24, partitions, 6)
    generation = sycamoreloft_config.Generation(1, {fleet.name: fleet})
    directory = sycamoreloft_decisions.PartitionDirectory(generation)
    for number in range(partitions):
        directory.get_group("sledworks", "tally-board", number)
    return directory


def measure_assignment_bytes() -> _slopes.Slope:
    """Measures the size of the assignment rows, by partitions of a group."""
    group = sycamoreloft_config.GroupName("sledworks", "domain-0", 0)
    values = []
    for count in PARTITION_SIZES:
        owners = {
            number: sycamoreloft_decisions.Assignment(f"u-{number % 6}", 1_000)
            for number in range(count)
        }
        table = sycamoreloft_decisions.AssignmentTable(
            {"tally-board": owners}, {}
        )
        rows = sycamoreloft_decisions.encode_table(group, table)
        values.append(float(len(repr(rows))))
    return _slopes.fit_slope(
        "assignment-bytes", "B", "partitions", PARTITION_SIZES, values
    )


#: Measurements of this module, which `make capacity` runs in this order.
MEASUREMENTS: abc.Sequence[abc.Callable[[], _slopes.Slope]] = (
    measure_gossip_time,
    measure_gossip_bytes,
    measure_member_memory,
    measure_permit_time,
    measure_permit_bytes,
    measure_directory_time,
    measure_directory_memory,
    measure_assignment_bytes,
)
