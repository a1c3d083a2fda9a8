"""Simulated store of records, for the simulations of hosts."""

from sycamoreloft_router import _direct_ports

#: Era of a store that was never restored.
FIRST_ERA = 1

WRITE = _direct_ports.WriteResult


class FakeStore:
    """Records with conditional writes, outages, lost answers and restores."""

    def __init__(self, world):
        self.world = world
        self.records = {}
        self.version = 0
        #: Increases each time the store is restored.
        self.era = FIRST_ERA
        self.lose_share = 0.0
        self.down = False
        # Time, records and version after each write, oldest first.
        self._copies = [(-1e9, {}, 0)]

    def apply(self, values, expected):
        for key, version in expected.items():
            known = self.records.get(key)
            if (known.version if known else 0) != version:
                return _direct_ports.WriteOutcome(WRITE.CONFLICT, era=self.era)
        self.version += 1
        for key, value in values.items():
            self.records[key] = _direct_ports.Record(value, self.version)
        now = self.world.now()
        self._copies.append((now, dict(self.records), self.version))
        return _direct_ports.WriteOutcome(
            WRITE.WRITTEN, self.version, now, self.era
        )

    def restore(self, age_s):
        """Restores the records as they were some seconds ago.

        The versions after that moment are assigned a second time.
        """
        until = self.world.now() - age_s
        self._copies = [copy for copy in self._copies if copy[0] <= until]
        _, records, self.version = self._copies[-1]
        self.records = dict(records)
        self.era += 1
