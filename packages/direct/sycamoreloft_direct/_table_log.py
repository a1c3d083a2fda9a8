"""Recent changes of the table of upstreams, kept to pass them on."""

import collections
from collections import abc
import dataclasses

from sycamoreloft_direct import _departures, _model

#: Era of a table that has not been read.
UNREAD_ERA = -1

#: Version of such a table.
UNREAD_VERSION = _departures.TableVersion(UNREAD_ERA, 0)

#: Maximum number of changed entries that are kept; a host that lacks older
#: ones reads the table itself.
MAXIMUM_KEPT_ENTRIES = 1_024

#: Maximum estimated length of the changes in one datagram, in bytes. With the
#: other fields it fits a datagram.
MAXIMUM_CHANGES_BYTES = 16_384

#: Highest version that a datagram can carry.
MAXIMUM_VERSION = (1 << 63) - 1

#: Estimated length of an encoded entry without its texts, in bytes.
_ENTRY_BYTES = 40


@dataclasses.dataclass(frozen=True, slots=True)
class TableChanges:
    """Changes of the table of upstreams between two versions of one era."""

    #: Era of the store.
    era: int
    #: Version after which these are all changes.
    before: int
    #: Version up to which these are all changes: that of the newest one, or
    #: `before` if there are none.
    after: int
    #: Changed entries by identifier; None for a removed one.
    values: abc.Mapping[str, _model.Upstream | None]


class TableLog:
    """Keeps recent changes of the table, without a gap between them."""

    def __init__(self) -> None:
        #: Era of the store; `UNREAD_ERA` if nothing can be passed on. A store
        #: that names no era has the era 0 until it is restored.
        self.era = UNREAD_ERA
        #: Version after which changes are known. A host whose copy is older
        #: has to read the table itself.
        self.base = 0
        #: Version of the newest change; `base` if there are none.
        self.head = 0
        self._changes: collections.deque[TableChanges] = collections.deque()
        self._count = 0

    def restart(self, version: _departures.TableVersion) -> None:
        """Forgets all changes, after a read of the whole table.

        The read does not show which entries were removed since the last
        change, so that the changes before it and after it have a gap.

        Args:
            version: Version up to which the read is complete.
        """
        is_encodable = max(version.era, version.version) <= MAXIMUM_VERSION
        self.era = version.era if is_encodable else UNREAD_ERA
        self.base = self.head = version.version
        self._changes.clear()
        self._count = 0

    def add(
        self,
        newest: int,
        version: int,
        values: abc.Mapping[str, _model.Upstream | None],
    ) -> None:
        """Adds the changes that follow the newest known one.

        Args:
            newest: Version of the newest of the changes.
            version: Version up to which the changes are complete.
            values: Changed entries by identifier; None for a removed one.
        """
        size = sum(map(_estimate_bytes, values.keys(), values.values()))
        if (
            newest <= self.head
            or version > MAXIMUM_VERSION
            or size > MAXIMUM_CHANGES_BYTES
        ):
            # Without the version of the newest change, or with changes that do
            # not fit a datagram, hosts have to read the table themselves.
            self.restart(_departures.TableVersion(self.era, version))
            return
        self._changes.append(
            TableChanges(self.era, self.head, newest, dict(values))
        )
        self._count += len(values)
        self.head = newest
        while self._count > MAXIMUM_KEPT_ENTRIES:
            oldest = self._changes.popleft()
            self._count -= len(oldest.values)
            self.base = oldest.after

    def list_since(self, newest: int) -> tuple[TableChanges, ...]:
        """Returns the changes that a host lacks, in order.

        Args:
            newest: Version of the newest change that the host knows.

        Returns:
            Changes that fit one datagram each; none if the host is current.
        """
        parts: list[TableChanges] = []
        size = 0
        for changes in self._changes:
            if changes.after <= newest:
                continue
            added = sum(
                map(
                    _estimate_bytes,
                    changes.values.keys(),
                    changes.values.values(),
                )
            )
            if parts and size + added <= MAXIMUM_CHANGES_BYTES:
                parts[-1] = TableChanges(
                    self.era,
                    parts[-1].before,
                    changes.after,
                    {**parts[-1].values, **changes.values},
                )
                size += added
            else:
                parts.append(changes)
                size = added
        return tuple(parts)


def _estimate_bytes(key: str, upstream: _model.Upstream | None) -> int:
    if upstream is None:
        return _ENTRY_BYTES + len(key)
    return (
        _ENTRY_BYTES
        + len(key)
        + len(upstream.address)
        + len(upstream.service.encode())
        + len(upstream.failure_domain.encode())
    )
