"""Epochs of coordinators, which also name the era of the store.

A store that is restored from an older copy may have lost the latest epochs. Its
era then increases, so each era has a range of epochs of its own: an epoch, and
with it the fencing tokens of a coordinator, is never assigned twice.
"""

from collections import abc

#: Number of epochs in an era. A few changes of the coordinator a day use them
#: up in decades.
EPOCHS_PER_ERA = 1 << 16

#: Highest era that has epochs of its own. It keeps fencing tokens below 2**53,
#: which every JSON parser reads exactly.
MAXIMUM_ERA = 1 << 13

#: Era of a store that was never restored. Its epochs start at 1.
FIRST_ERA = 1


def find_era(epoch: int) -> int:
    """Returns the era to which an epoch belongs."""
    return FIRST_ERA + epoch // EPOCHS_PER_ERA


def limit_era(era: int) -> int:
    """Returns the era by which epochs are counted in an era of the store."""
    return max(FIRST_ERA, min(era, MAXIMUM_ERA))


def compute_next_epoch(known: abc.Iterable[int], era: int) -> int:
    """Returns an epoch above all known ones and all those of earlier eras.

    Args:
        known: Known epochs.
        era: Era of the store.
    """
    base = (limit_era(era) - FIRST_ERA) * EPOCHS_PER_ERA
    return max(base, *known) + 1


def is_first_of_era(epoch: int) -> bool:
    """Returns whether no coordinator of the same era has a lower epoch."""
    return epoch % EPOCHS_PER_ERA == 1
