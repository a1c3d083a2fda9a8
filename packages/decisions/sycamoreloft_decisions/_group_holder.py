"""The part of one host in the life of one group."""

from collections import abc

import sycamoreloft_config
from sycamoreloft_decisions import _ownership


class GroupHolder:
    """Watches a group, serves as its standby, or holds it.

    Every host of the group's failure domain runs one machine for the group.

    Args:
        host: Name of this host.
        incarnation: Random identifier of this process.
        group: The group.
        generation: The accepted generation.
        now: Clock reading in seconds.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        group: sycamoreloft_config.GroupName,
        generation: sycamoreloft_config.Generation,
        now: float,
    ) -> None:
        raise NotImplementedError

    def handle(
        self, event: _ownership.Event, now: float
    ) -> abc.Sequence[_ownership.Command]:
        """Handles an event and returns what to do, in order."""
        raise NotImplementedError

    def may_act(self, now: float) -> bool:
        """Tells whether this host may send grants and issue permits now."""
        raise NotImplementedError

    def find_owner(
        self, service: str, key: str, partition: int, now: float
    ) -> _ownership.Owner | _ownership.NoOwner:
        """Returns the owner of a key, or why it has none now."""
        raise NotImplementedError

    def get_epoch(self) -> int:
        """Returns the epoch in which this host holds the group, 0 if not."""
        raise NotImplementedError

    def list_explanations(self) -> abc.Sequence[str]:
        """Lists the sentences of the latest decisions, oldest first."""
        raise NotImplementedError
