"""A world of failure domains with several hosts and upstreams each.

Unlike the world of `key_world`, a cut lets the hosts inside reach the
upstreams inside, entries lapse and come back, processes drain after a stop
while their tasks run on, connections are kept or made anew, and upstreams
work on requests. The oracle looks at what upstreams hold and work on.
"""

import asyncio
import random

import domain_hosts
import domain_links
import domain_upstreams
import key_world

import sycamoreloft_direct


class World:
    """Everything, and the oracle."""

    def __init__(self, seed, domains=3, hosts=3, upstreams=3, exit_resets=True):
        self.loop = asyncio.get_running_loop()
        self.generator = random.Random(seed)
        self.links = domain_links.Links(self.loop, self.generator)
        self.late_share = 0.0
        self.dispatch_delay_s = 0.0
        self.store_delay_s = 0.0
        #: Whether the end of a process drops the bytes that it sent and that
        #: a cut holds up.
        self.exit_resets = exit_resets
        self.problems = []
        self.events = []
        self.store = key_world.FakeStore(self)
        self.store.labels = domain_hosts.STORE_LABELS
        self.entries = {}
        self.heard_at = {}
        #: The last run at each address.
        self.at_address = {}
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
        self.loop.create_task(domain_upstreams.drop_lapsed(self))

    def now(self):
        """Returns the time, which is also the hosts' boot clock."""
        return self.loop.time()

    def log(self, text):
        """Notes an event for the report of a failure."""
        self.events.append(f"{self.now():.3f} {text}")

    def draw_delay(self, limit_s):
        """Draws a delay: often none, often the longest."""
        if limit_s == 0.0:
            return 0.0
        share = self.generator.choice((0.0, 1.0, self.generator.random()))
        return share * limit_s

    def start_upstream(self, name, domain, address):
        """Starts a run of an upstream."""
        upstream = domain_upstreams.Upstream(self, name, domain, address)
        self.at_address[address] = upstream
        self.all_runs.append(upstream)
        return upstream

    def find_at(self, address):
        """Returns the run that answers at an address, or None."""
        upstream = self.at_address.get(address)
        return upstream if upstream is not None and upstream.up else None

    def list_up(self):
        """Lists the runs that are up."""
        return [item for item in self.at_address.values() if item.up]

    def find_coordinators(self):
        """Lists the hosts that act as the coordinator."""
        return [host for host in self.hosts.values() if host.is_coordinator]

    # Faults that several scenarios use.

    def cut_domain(self, domain, ways="both"):
        """Cuts a domain from the store and from all other domains."""
        others = [item for item in self.domains if item != domain]
        others.append(domain_links.STORE)
        if ways in ("both", "out"):
            self.links.block([domain], others)
        if ways in ("both", "in"):
            self.links.block(others, [domain])

    def heal_domain(self, domain):
        """Ends a cut of a domain."""
        others = [item for item in self.domains if item != domain]
        others.append(domain_links.STORE)
        self.links.unblock([domain], others)
        self.links.unblock(others, [domain])

    def calm(self):
        """Ends all faults."""
        self.late_share = 0.0
        self.dispatch_delay_s = 0.0
        self.store_delay_s = 0.0
        self.store.down = False
        self.store.lose_share = 0.0
        self.links.heal()
        for host in self.hosts.values():
            host.calm()

    # The oracle.

    def check(self, taker, hold):
        """Runs whenever an upstream takes keys."""
        if hold.excused:
            return
        for other in self.all_runs:
            if other is taker:
                continue
            for held in other.list_live():
                if _overlaps(held, hold) and not held.excused:
                    self._note_problem(
                        f"{taker.name} and {other.name} hold {_show(hold)}"
                        f" and {_show(held)}"
                    )
            for first, last, fence in other.seen:
                if (
                    first <= hold.last
                    and hold.first <= last
                    and fence >= hold.fence
                ):
                    self._note_problem(
                        f"{taker.name} takes {_show(hold)}, {other.name} had"
                        f" {first}-{last} {_show_fence(fence)}"
                    )
            for work in other.list_works():
                if hold.first <= work.key <= hold.last:
                    self._note_problem(
                        f"{taker.name} takes {_show(hold)} while {other.name}"
                        f" works on {work.key}"
                    )

    def check_work(self, worker, key, hold):
        """Runs whenever an upstream begins to work on a request."""
        for other in self.all_runs:
            if other is worker or hold.excused:
                continue
            if any(work.key == key for work in other.list_works()):
                self._note_problem(
                    f"{worker.name} works on {key} under {_show(hold)}, so"
                    f" does {other.name}"
                )

    def _note_problem(self, text):
        self.log(text)
        self.problems.append(f"{self.now():.3f}: {text}")

    def count_served(self):
        """Returns the keys that some upstream holds."""
        return sum(
            hold.last - hold.first + 1
            for upstream in self.all_runs
            for hold in upstream.list_live()
        )


def _overlaps(left, right):
    return left.first <= right.last and right.first <= left.last


def _show(hold):
    return f"{hold.first}-{hold.last} {_show_fence(hold.fence)}"


def _show_fence(fence):
    return f"{fence >> 24}/{fence & 0xFFFFFF}"
