"""In-memory transactional table of the stand-in platform."""

from collections import abc
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table."""

    #: Starts at 1 and increases with each write of the key, also after a
    #: delete.
    version: int
    #: A JSON object.
    value: abc.Mapping[str, typing.Any]
    #: Request identifier of the transaction that wrote the row.
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The transaction took effect as a whole."""

    #: New version of each row that was put.
    versions: abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """A condition failed; the transaction had no effect."""

    #: Current version of each row whose condition failed, 0 if absent.
    conflicts: abc.Mapping[str, int]


class Table:
    """Rows with versions; each call is a transaction, in serial order."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        # A version is never reused after a delete, because a condition on
        # the old row would then match the new one.
        self._last_versions: dict[str, int] = {}

    def transact(
        self,
        request: str,
        conditions: abc.Iterable[tuple[str, int]],
        puts: abc.Iterable[tuple[str, abc.Mapping[str, typing.Any]]],
        deletes: abc.Iterable[str],
    ) -> Applied | Conflicted:
        """Applies all puts and deletes if all conditions hold.

        Args:
            request: Identifier that is stored in each row that is put.
            conditions: Keys with the version that they must have; 0 means
                that the row must be absent.
            puts: Keys with their new values.
            deletes: Keys to remove; an absent key is not an error.

        Returns:
            The new versions, or the current versions of the rows whose
            condition failed.
        """
        conflicts = {
            key: self.get_version(key)
            for key, version in conditions
            if self.get_version(key) != version
        }
        if conflicts:
            return Conflicted(conflicts)
        versions = {}
        for key in deletes:
            self._rows.pop(key, None)
        for key, value in puts:
            version = self._last_versions.get(key, 0) + 1
            self._last_versions[key] = version
            self._rows[key] = Row(version, dict(value), request)
            versions[key] = version
        return Applied(versions)

    def get_version(self, key: str) -> int:
        """Returns the version of a row, 0 if it is absent."""
        row = self._rows.get(key)
        return row.version if row else 0

    def read(
        self, keys: abc.Iterable[str], prefixes: abc.Sequence[str]
    ) -> dict[str, Row]:
        """Returns the rows with these keys or key prefixes."""
        found = {key: self._rows[key] for key in keys if key in self._rows}
        if prefixes:
            found.update(
                (key, row)
                for key, row in self._rows.items()
                if key.startswith(tuple(prefixes))
            )
        return found
