"""Runs many seeds of a fault pattern: hunt_keys.py PATTERN FIRST LAST.

FIRST is inclusive, LAST is exclusive. With -v it prints all events. With -x,
bytes in flight survive the process that sent them, as on hosts where the end
of a process does not reset its connections. With -r, upstreams that crash may
start again after 0.05 s, so between two renewals of their leases, and service
discovery lists the new run up to 1 s later.
"""

import sys

import domain_faults
import domain_patterns
import virtual_time


def main():
    """Prints the seeds that violate the oracle, and their number."""
    pattern, first, last = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    restart_s = domain_faults.RESTART_S
    if "-r" in sys.argv:
        restart_s = domain_faults.FAST_RESTART_S
    broken = 0
    for seed in range(first, last):
        world = virtual_time.run(
            domain_patterns.run_pattern(
                seed, pattern, "-x" not in sys.argv, restart_s
            )
        )
        served = world.count_served()
        if world.problems or served != 65_536:
            broken += 1
            print(pattern, seed, served, world.problems[:2], flush=True)
        if "-v" in sys.argv:
            print(*world.events, sep="\n")
    print(pattern, first, last, "broken", broken, flush=True)


if __name__ == "__main__":
    main()
