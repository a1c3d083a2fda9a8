"""Simulated failure domains with several hosts and upstreams each.

It simulates what `key_world` does not: hosts and upstreams in a domain that is
cut off reach each other, entries in service discovery expire and return, a
stopped process drains while its tasks continue, connections are reused or
opened, and upstreams work on requests. The oracle checks that no two upstreams
hold the same key or work on it.
"""

import asyncio
import random

import domain_hosts
import domain_links
import domain_upstreams
import key_world
import world_store

import sycamoreloft_direct


class World:
    """The simulation, with its faults and its oracle.

    Args:
        seed: Seed of all random choices.
        domains: Number of failure domains.
        hosts: Number of hosts in each domain.
        upstreams: Number of upstreams in each domain.
        exit_resets: Whether the end of a process drops the bytes that it sent
            and that a blocked link delays.
    """

    def __init__(self, seed, domains=3, hosts=3, upstreams=3, exit_resets=True):
        self.loop = asyncio.get_running_loop()
        self.generator = random.Random(seed)
        self.links = domain_links.Links(self.loop, self.generator)
        #: Share of the grants, from 0 to 1, that upstreams apply seconds late.
        self.delayed_share = 0.0
        #: Maximum time from the decision on an order to its send, in s.
        self.dispatch_delay_s = 0.0
        #: Maximum time for which an order on a new connection waits at its
        #: upstream until it is read, in seconds.
        self.slot_wait_s = 0.0
        #: Maximum delay of the store's answers, in seconds.
        self.store_delay_s = 0.0
        #: Whether the end of a process drops the bytes that it sent and that a
        #: blocked link delays.
        self.exit_resets = exit_resets
        #: Minimum time from the crash of an upstream to its restart, in s.
        self.restart_s = 1.0
        self.problems = []
        self.events = []
        self.store = world_store.FakeStore(self)
        self.store.labels = domain_hosts.STORE_LABELS
        self.entries = {}
        self.heartbeat_at = {}
        #: The most recent run at each address.
        self.latest_run_by_address = {}
        self.all_runs = []
        self.state = sycamoreloft_direct.DesiredState(
            1,
            (),
            {
                key_world.SERVICE: sycamoreloft_direct.Service(
                    key_world.SERVICE, True, 100, "/"
                )
            },
            sycamoreloft_direct.CallerLimits(1, 1, 1.0),
        )
        self.domains = [f"z{number}" for number in range(domains)]
        self.hosts = {}
        for domain in self.domains:
            for number in range(upstreams):
                name = f"u{domain[1:]}{number}"
                self.start_upstream(name, domain, f"{name}:1")
        for number in range(hosts):
            for domain in self.domains:
                name = f"h{domain[1:]}{number}"
                self.hosts[name] = domain_hosts.Host(self, name, domain)
        self.loop.create_task(domain_upstreams.drop_expired(self))

    def now(self):
        """Returns the simulated time, also used as the hosts' boot clock."""
        return self.loop.time()

    def log(self, text):
        """Records an event for the diagnosis of a failed run."""
        self.events.append(f"{self.now():.3f} {text}")

    def draw_delay(self, limit_s):
        """Draws a delay in seconds: zero, the maximum, or one in between."""
        if limit_s == 0.0:
            return 0.0
        share = self.generator.choice((0.0, 1.0, self.generator.random()))
        return share * limit_s

    def start_upstream(self, name, domain, address, listing_delay_s=0.0):
        """Starts a run of an upstream, which registers after a delay."""
        upstream = domain_upstreams.Upstream(
            self, name, domain, address, listing_delay_s
        )
        self.latest_run_by_address[address] = upstream
        self.all_runs.append(upstream)
        return upstream

    def get_running_upstream(self, address):
        """Returns the running upstream at an address, or None."""
        upstream = self.latest_run_by_address.get(address)
        return upstream if upstream is not None and upstream.up else None

    def list_running_upstreams(self):
        """Lists the runs that are up."""
        return [
            upstream
            for upstream in self.latest_run_by_address.values()
            if upstream.up
        ]

    def list_coordinators(self):
        """Lists the hosts that consider themselves the coordinator."""
        return [host for host in self.hosts.values() if host.is_coordinator]

    # Faults that several scenarios use.

    def cut_domain(self, domain, ways="both"):
        """Cuts a domain off from the store and all other domains.

        Args:
            domain: Name of the domain.
            ways: Direction in which bytes are blocked: "in", "out" or "both".
        """
        others = [other for other in self.domains if other != domain]
        others.append(domain_links.STORE)
        if ways in ("both", "out"):
            self.links.block([domain], others)
        if ways in ("both", "in"):
            self.links.block(others, [domain])

    def heal_domain(self, domain):
        """Reverts `cut_domain` for a domain."""
        others = [other for other in self.domains if other != domain]
        others.append(domain_links.STORE)
        self.links.unblock([domain], others)
        self.links.unblock(others, [domain])

    def end_faults(self):
        """Ends all faults."""
        self.delayed_share = 0.0
        self.dispatch_delay_s = 0.0
        self.slot_wait_s = 0.0
        self.store_delay_s = 0.0
        self.store.down = False
        self.store.lose_share = 0.0
        self.links.heal()
        for host in self.hosts.values():
            host.end_faults()

    # The oracle.

    def check_hold(self, holder, hold):
        """Checks that no other upstream holds or works on newly held keys."""
        if hold.is_exempt:
            return
        for other in self.all_runs:
            if other is holder:
                continue
            for held in other.list_live_holds():
                if _overlaps(held, hold) and not held.is_exempt:
                    self._record_problem(
                        f"{holder.name} and {other.name} hold"
                        f" {_format_hold(hold)} and {_format_hold(held)}"
                    )
            for first, last, fence in other.granted:
                if (
                    first <= hold.last
                    and hold.first <= last
                    and fence >= hold.fence
                ):
                    self._record_problem(
                        f"{holder.name} takes {_format_hold(hold)},"
                        f" {other.name} had {first}-{last}"
                        f" {_format_fence(fence)}"
                    )
            for work in other.list_running_work():
                if hold.first <= work.key <= hold.last:
                    self._record_problem(
                        f"{holder.name} takes {_format_hold(hold)} while"
                        f" {other.name} works on {work.key}"
                    )

    def check_work(self, worker, key, hold):
        """Checks that no other upstream works on the same key."""
        for other in self.all_runs:
            if other is worker or hold.is_exempt:
                continue
            if any(work.key == key for work in other.list_running_work()):
                self._record_problem(
                    f"{worker.name} works on {key} under {_format_hold(hold)},"
                    f" so does {other.name}"
                )

    def _record_problem(self, text):
        self.log(text)
        self.problems.append(f"{self.now():.3f}: {text}")

    def count_served(self):
        """Counts the keys that upstreams hold."""
        return sum(
            hold.last - hold.first + 1
            for upstream in self.all_runs
            for hold in upstream.list_live_holds()
        )


def _overlaps(left, right):
    return left.first <= right.last and right.first <= left.last


def _format_hold(hold):
    return f"{hold.first}-{hold.last} {_format_fence(hold.fence)}"


def _format_fence(fence):
    # The low 24 bits are a counter within the epoch.
    return f"{fence >> 24}/{fence & 0xFFFFFF}"
