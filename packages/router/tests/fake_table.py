"""A table whose calls may hang or fail, and a follower of it."""

import asyncio

import virtual_time

from sycamoreloft_router import _direct_ports, _table_follower


class FakeTable:
    """A table whose calls for changes may hang or fail."""

    def __init__(self):
        self.values = {}
        #: Version of the last change of each entry.
        self.written = {}
        self.version = 1
        self.newest = 1
        self.era = 1
        self.hangs = False
        self.problem = None
        self.reads = 0
        self.load_s = 0.004
        #: Versions after which the follower has asked for changes.
        self.followed = []

    async def read(self, progress):
        self.reads += 1
        return await self._load(progress, -1)

    async def follow(self, version, progress):
        self.followed.append(version)
        while self.hangs or (version >= self.version and not self.problem):
            await asyncio.sleep(0.05)
        return await self._load(progress, version)

    async def _load(self, progress, after):
        """Answers with the entries changed after a version.

        The answer arrives in 100 parts over `load_s`.
        """
        problem = self.problem
        answer = _direct_ports.TableEntries(
            {
                key: value
                for key, value in self.values.items()
                if self.written[key] > after
            },
            self.version,
            self.newest,
            self.era,
        )
        for _ in range(100):
            await asyncio.sleep(self.load_s / 100)
            progress.record_bytes(1, asyncio.get_running_loop().time())
        return problem or answer

    def put(self, key, value):
        self.version += 1
        self.newest = self.version
        self.values[key] = value
        self.written[key] = self.version

    def restore(self, version, values, newest=None):
        """Goes back to older entries; a pending call for changes waits on."""
        self.era += 1
        self.version = version
        self.newest = version if newest is None else newest
        self.values = dict(values)
        self.written = dict.fromkeys(values, version)


def follow(scenario, choose_spread_s=0.0, era=1):
    async def main():
        table = FakeTable()
        table.era = era
        entries = {}
        follower = _table_follower.TableFollower(
            "t", table, entries.update, entries.update, lambda: choose_spread_s
        )
        task = asyncio.get_running_loop().create_task(follower.run())
        await asyncio.sleep(0.1)
        try:
            await scenario(table, follower, entries)
        finally:
            task.cancel()

    virtual_time.run(main())


def list_lines(caplog, name):
    return [
        record.event_fields
        for record in caplog.records
        if record.getMessage() == name
    ]
