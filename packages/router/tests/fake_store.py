"""In-memory table service for tests of the permit mode."""

from returns import result

from sycamoreloft_router import _store_client


class FakeStore:
    """Table with conditional writes that can lose answers or be down."""

    def __init__(self):
        #: Stored rows by key.
        self.rows = {}
        #: Whether all calls fail.
        self.down = False
        #: Whether the next write takes effect but fails for its caller.
        self.lose_next_answer = False
        #: Called once before the next write; None for nothing.
        self.before_write = None

    async def read(self, keys=(), prefixes=()):
        if self.down:
            return result.Failure(_store_client.StoreUnavailable("", "down"))
        return result.Success(
            {
                key: row
                for key, row in self.rows.items()
                if key in keys or key.startswith(tuple(prefixes) or ("\0",))
            }
        )

    async def transact(self, conditions, puts, deletes=(), request=""):
        if self.before_write is not None:
            action, self.before_write = self.before_write, None
            action()
        if self.down:
            return result.Failure(
                _store_client.StoreUnavailable(request, "down")
            )
        conflicts = {
            key: self.get_version(key)
            for key, version in conditions.items()
            if self.get_version(key) != version
        }
        if conflicts:
            return result.Failure(_store_client.StoreConflict(conflicts))
        for key, value in puts.items():
            self.put(key, value, request)
        for key in deletes:
            self.rows.pop(key, None)
        if self.lose_next_answer:
            self.lose_next_answer = False
            return result.Failure(
                _store_client.StoreUnavailable(request, "lost")
            )
        return result.Success({key: self.get_version(key) for key in puts})

    def get_version(self, key):
        row = self.rows.get(key)
        return row.version if row else 0

    def put(self, key, value, request=""):
        version = self.get_version(key) + 1
        self.rows[key] = _store_client.StoredRow(version, value, request)
