"""Followers of hosts that tell each other versions, with random restores.

The store is restored from copies of any age at any moment, loses its history,
refuses calls, or lets single calls hang. Soon after the last fault, each host
must have exactly the entries of the store.
"""

import asyncio
import random

import pytest
import virtual_time

from sycamoreloft_router import _direct_ports, _table_follower

#: Seconds of random changes and faults.
DISTURBED_S = 12.0

#: Seconds after the last fault within which all hosts have all entries: a
#: datagram, the time until a call counts as hanging, and a read.
CATCH_UP_S = 2.0

#: Seconds between two datagrams of a host.
DATAGRAM_S = 0.25

#: Seconds between two renewals of the coordinator's lease.
LEASE_RENEWAL_S = 0.5

#: Seconds after which a call for changes is answered without any.
LONG_POLL_S = 20.0


class Store:
    """A table with all its past contents."""

    def __init__(self, generator):
        self.generator = generator
        self.era = 1
        self.oldest = 0
        #: Values and versions by key, after each transaction.
        self.contents = [{}]
        #: Changed key of each transaction; the first one has none.
        self.changed = [None]
        self.is_down = False

    @property
    def version(self):
        return len(self.contents) - 1

    def write(self):
        key = f"k{self.generator.randrange(12)}"
        content = dict(self.contents[-1])
        if key in content and self.generator.random() < 0.3:
            del content[key]
        else:
            content[key] = (self.generator.random(), self.version + 1)
        self.contents.append(content)
        self.changed.append(key)

    def restore(self):
        # Recent copies are frequent, so that versions are soon assigned again.
        lost = self.generator.choice((1, 2, 3, self.version))
        kept = max(0, self.version - lost)
        del self.contents[kept + 1 :], self.changed[kept + 1 :]
        self.oldest = min(self.oldest, kept)
        self.era += 1

    def list_values(self):
        return {key: value for key, (value, _) in self.contents[-1].items()}


class HostTable:
    """The table as one host reaches it."""

    def __init__(self, store):
        self.store = store
        #: Calls for changes that began before this count are never answered.
        self.hanging_calls = 0
        self.calls = 0

    async def read(self, progress):
        await asyncio.sleep(0.004)
        store = self.store
        if store.is_down:
            return _direct_ports.ReadProblem.UNAVAILABLE
        newest = [version for _, version in store.contents[-1].values()]
        return _direct_ports.TableEntries(
            store.list_values(),
            store.version,
            max(newest, default=0),
            store.era,
        )

    async def follow(self, version, progress):
        store = self.store
        self.calls += 1
        call = self.calls
        deadline = asyncio.get_running_loop().time() + LONG_POLL_S
        while True:
            await asyncio.sleep(0.02)
            if call <= self.hanging_calls:
                continue
            if store.is_down:
                return _direct_ports.ReadProblem.UNAVAILABLE
            if not store.oldest <= version <= store.version:
                return _direct_ports.ReadProblem.HISTORY_LOST
            changed = set(store.changed[version + 1 :])
            is_over = asyncio.get_running_loop().time() > deadline
            if changed or is_over:
                return self._build_changes(changed)

    def _build_changes(self, changed):
        store = self.store
        current = store.contents[-1]
        return _direct_ports.TableEntries(
            {key: current.get(key, (None,))[0] for key in changed},
            store.version,
            max(
                (current.get(key, (None, store.version))[1] for key in changed),
                default=0,
            ),
            store.era,
        )


class Host:
    """A follower, and the entries that it passed on."""

    def __init__(self, store):
        self.entries = {}
        self.table = HostTable(store)
        self.follower = _table_follower.TableFollower(
            "t", self.table, self.replace_all, self.apply_changes
        )

    def replace_all(self, values):
        self.entries = dict(values)

    def apply_changes(self, values):
        for key, value in values.items():
            if value is None:
                self.entries.pop(key, None)
            else:
                self.entries[key] = value


def disturb(store, hosts, generator):
    """Applies a random change or fault."""
    draw = generator.random()
    if draw < 0.5:
        store.write()
    elif draw < 0.7:
        store.restore()
        for _ in range(generator.randrange(6)):
            store.write()
    elif draw < 0.75:
        store.oldest = store.version
    elif draw < 0.85:
        store.is_down = not store.is_down
    else:
        table = generator.choice(hosts).table
        table.hanging_calls = table.calls


async def exchange_versions(hosts, generator):
    """Sends the versions of each host to the others; some get lost."""
    while True:
        for sender in hosts:
            for receiver in hosts:
                if receiver is not sender and generator.random() < 0.9:
                    receiver.follower.observe_peer(
                        sender.follower.newest, sender.follower.era or 0
                    )
        await asyncio.sleep(DATAGRAM_S)


async def renew_lease(store, hosts):
    """Makes the calls of the coordinator, the first host.

    Their answers name the era. Without them, no host notices a restore after
    which the store reaches exactly the version that all of them have. All
    hosts hear from the coordinator when the store is back after an outage.
    """
    was_down = False
    while True:
        if not store.is_down:
            hosts[0].follower.observe_era(store.era)
            for host in hosts if was_down else ():
                host.follower.restart_call()
        was_down = store.is_down
        await asyncio.sleep(LEASE_RENEWAL_S)


async def run_scenario(seed):
    generator = random.Random(seed)
    store = Store(generator)
    hosts = [Host(store) for _ in range(3)]
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(host.follower.run()) for host in hosts]
    tasks.append(loop.create_task(exchange_versions(hosts, generator)))
    tasks.append(loop.create_task(renew_lease(store, hosts)))
    until = loop.time() + DISTURBED_S
    while loop.time() < until:
        await asyncio.sleep(generator.choice((0.01, 0.1, 0.5, 1.5)))
        disturb(store, hosts, generator)
    store.is_down = False
    # The call of one host does not hang, so that it hears of the change.
    hosts[0].table.hanging_calls = 0
    store.write()
    await asyncio.sleep(CATCH_UP_S)
    for task in tasks:
        task.cancel()
    return store, hosts


@pytest.mark.parametrize("seed", range(30))
def test_all_hosts_catch_up_after_restores(seed):
    """Guards against changes that are missed, and against hosts that hang."""
    store, hosts = virtual_time.run(run_scenario(seed))
    for host in hosts:
        assert host.entries == store.list_values()
        assert host.follower.era == store.era
