"""Plays many seeds of a pattern by hand: hunt_keys.py PATTERN FIRST LAST.

With -v it prints what happened; with -x bytes outlive the process that sent
them, as where the end of a process does not reset its connections.
"""

import sys

import domain_faults
import virtual_time


def main():
    """Prints what breaks, and how many seeds were played."""
    pattern, first, last = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    broken = 0
    for seed in range(first, last):
        world = virtual_time.run(
            domain_faults.play(seed, pattern, "-x" not in sys.argv)
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
