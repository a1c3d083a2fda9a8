"""Moves of keys whose owner does not answer."""

import itertools

import pytest

import sycamoreloft_direct

SERVICE = "boards"
TICK_S = 0.05
RESULTS = sycamoreloft_direct.GrantResult
TIMES = sycamoreloft_direct.LeaseTimes()

#: When the owner starts to drain and answers no more grants, in seconds.
SILENT_AFTER_S = 1.0


def build(number, is_draining=False):
    return sycamoreloft_direct.Upstream(
        f"u{number}", 1, f"10.0.0.{number}:1", SERVICE, "z", 6, is_draining
    )


class Move:
    """A coordinator that moves all keys off an owner that drains."""

    def __init__(self):
        self.now = 0.0
        self.owner = build(0).run
        key_range = sycamoreloft_direct.KeyRange(
            0, sycamoreloft_direct.KEY_COUNT - 1, self.owner
        )
        keys = sycamoreloft_direct.ServiceKeys(SERVICE, (key_range,))
        self.coordinator = sycamoreloft_direct.KeyCoordinator(
            sycamoreloft_direct.KeyMap(1, 1, {SERVICE: keys}), 0.0, 0.0, TIMES
        )
        #: Orders to the owner with the time of their decision.
        self.orders = []
        #: Whether the owner answers the grants that begin a move.
        self.accepts_grants = False

    def run(self, seconds, answers_release):
        """Runs ticks; the owner answers grants of a move if it accepts them."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            self.coordinator.update_upstreams(
                [build(0, is_draining=True), build(1)]
                if self.now > SILENT_AFTER_S
                else [build(0)],
                {SERVICE},
                self.now,
            )
            for command in self.coordinator.tick(self.now, True, True):
                self._answer(command, answers_release)

    def _answer(self, command, answers_release):
        if isinstance(command, sycamoreloft_direct.WriteMap):
            self.coordinator.finish_write(True)
            return
        is_owner = command.run == self.owner
        if is_owner:
            self.orders.append((self.now, command))
        if isinstance(command, sycamoreloft_direct.SendRelease):
            handover = "h" if answers_release else None
            self.coordinator.finish_release(command.order, handover, self.now)
            return
        is_silent = (
            is_owner and self.now > SILENT_AFTER_S and not self.accepts_grants
        )
        self.coordinator.finish_grant(
            command.order,
            RESULTS.UNREAD if is_silent else RESULTS.ACCEPTED,
            self.now,
        )

    def find_owner(self):
        return self.coordinator.key_map.find_owner(SERVICE, 0)


@pytest.fixture
def move():
    return Move()


# Guards against two owners of a key: grants that begin a move may wait at a
# full upstream and be taken after their calls.
def test_keys_of_a_silent_owner_wait_for_unread_grants(move):
    while move.find_owner() == move.owner:
        move.run(TICK_S, answers_release=False)
    grants = [
        (decided_at, order.hold_s)
        for decided_at, order in move.orders
        if isinstance(order, sycamoreloft_direct.SendGrant)
        and decided_at > SILENT_AFTER_S
    ]
    assert len(grants) > 2
    latest_end = max(
        decided_at
        + TIMES.margin_s
        + TIMES.slot_wait_s
        + hold_s * (1 + TIMES.drift)
        for decided_at, hold_s in grants
    )
    assert move.now >= latest_end


# Guards against keys that nobody holds for seconds although their owner answers
# the release: it refuses the earlier grants from then on.
def test_a_release_follows_grants_without_an_answer(move):
    move.run(3.0, answers_release=True)
    assert move.find_owner() == build(1).run


# Guards against a release each tick to an owner that refuses connections.
def test_releases_without_an_answer_are_spaced(move):
    move.run(5.0, answers_release=False)
    decided = [
        decided_at
        for decided_at, order in move.orders
        if isinstance(order, sycamoreloft_direct.SendRelease)
        and not order.is_revocation
        and order.first == 0
    ]
    assert len(decided) > 2
    gaps = [later - earlier for earlier, later in itertools.pairwise(decided)]
    assert min(gaps) >= TIMES.retry_s - TICK_S


# Guards against keys that are given on while their owner works on a request: it
# answers a release when the work has ended, and the work keeps the lease under
# which it began, also if the grant that begins the move asks for a shorter one.
def test_keys_wait_for_work_that_began_before_the_move(move):
    move.accepts_grants = True
    while move.find_owner() == move.owner:
        move.run(TICK_S, answers_release=False)
    renewed_at = max(
        decided_at
        for decided_at, order in move.orders
        if isinstance(order, sycamoreloft_direct.SendGrant)
        and order.hold_s == TIMES.hold_s
    )
    lease_s = TIMES.hold_s * (1 + TIMES.drift)
    assert move.now >= renewed_at + lease_s
    assert move.now < renewed_at + lease_s + TIMES.margin_s + 4 * TICK_S


# Guards against that wait where the owner has answered the release: its work
# has ended.
def test_keys_of_an_answered_release_move_at_once(move):
    move.accepts_grants = True
    move.run(SILENT_AFTER_S + 0.5, answers_release=True)
    assert move.find_owner() == build(1).run
