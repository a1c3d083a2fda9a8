"""Tests of the claim registry."""

import pytest

from sycamoreloft_decisions import _claims

BODY = b"f" * 16
OTHER_BODY = b"g" * 16
ID = b"i" * 16


class Driver:
    """Sends events to a registry. The test acts as the store."""

    def __init__(self, loaded=True, **options):
        self.registry = _claims.ClaimRegistry(
            3, _claims.ClaimOptions(**options)
        )
        self.now = 0.0
        if loaded:
            self.send(_claims.RowsLoaded([]))

    def send(self, event):
        return list(self.registry.handle(event, self.now))

    def claim(self, attempt, id_hash=ID, body=BODY):
        return self.send(_claims.ClaimRequested(id_hash, body, attempt))

    def tick(self, seconds=0.02):
        self.now += seconds
        return self.send(_claims.ClaimTick())

    def store(self, sequence=1):
        return self.send(_claims.BatchStored(sequence))

    def end(self, attempt, outcome, status=0):
        return self.send(
            _claims.ClaimResultReported(ID, attempt, outcome, status)
        )


def list_answers(commands):
    return [
        (c.attempt, str(c.verdict), c.outcome)
        for c in commands
        if isinstance(c, _claims.AnswerClaim)
    ]


def list_writes(commands):
    return [c for c in commands if isinstance(c, _claims.WriteBatch)]


@pytest.fixture
def driver():
    return Driver()


@pytest.fixture
def claimed(driver):
    driver.claim("a")
    driver.tick()
    assert list_answers(driver.store()) == [("a", "claimed", "")]
    return driver


def test_claim_is_answered_only_after_it_was_stored(driver):
    """Guards against sending a request whose claim a new holder would miss."""
    assert driver.claim("a") == []
    (write,) = driver.tick()
    assert [entry.attempt for entry in write.entries] == ["a"]
    assert list_answers(driver.store()) == [("a", "claimed", "")]


def test_claims_are_collected_into_one_row(driver):
    """Guards against a write for each claim, and against a long delay."""
    for number in range(5):
        assert driver.claim(f"a{number}", bytes([number]) * 16) == []
    (write,) = list_writes(driver.tick(0.011))
    assert len(write.entries) == 5


def test_full_batch_is_written_at_once():
    """Guards against rows with too many entries."""
    driver = Driver(batch_entries=3)
    commands = []
    for number in range(7):
        commands += driver.claim(f"a{number}", bytes([number]) * 16)
    assert [len(write.entries) for write in list_writes(commands)] == [3, 3]


@pytest.mark.parametrize("outcome", ["completed", "unknown", ""])
def test_same_id_is_answered_with_the_known_outcome(claimed, outcome):
    """Guards against a second run unless the first attempt did not run."""
    if outcome:
        claimed.end("a", outcome, 200)
    (answer,) = claimed.claim("b")
    assert answer.verdict is _claims.Verdict.REPEATED
    assert answer.outcome == (outcome or "unknown")


def test_same_id_with_another_body_is_a_conflict(claimed):
    """Guards against answering an operation with the outcome of another."""
    assert list_answers(claimed.claim("b", body=OTHER_BODY)) == [
        ("b", "conflict", "")
    ]


def test_same_id_at_two_hosts_has_one_winner(driver):
    """Guards against granting two claims from one batch."""
    driver.claim("a")
    assert driver.claim("b") == []
    driver.tick()
    assert list_answers(driver.store()) == [
        ("a", "claimed", ""),
        ("b", "repeated", "unknown"),
    ]


def test_abandoned_request_id_can_be_claimed_again(claimed):
    """Guards against a request id that is blocked though nothing was sent."""
    claimed.end("a", "did-not-run")
    assert claimed.claim("b") == []
    (write,) = claimed.tick()
    assert [(e.attempt, e.outcome) for e in write.entries] == [
        ("a", "did-not-run"),
        ("b", ""),
    ]
    assert list_answers(claimed.store(2)) == [("b", "claimed", "")]


def test_outcome_of_an_unknown_attempt_is_ignored(claimed):
    """Guards against an attempt that frees the claim of another one."""
    claimed.end("z", "did-not-run")
    assert list_answers(claimed.claim("b")) == [("b", "repeated", "unknown")]


def test_completed_outcome_is_not_overwritten(claimed):
    """Guards against a contradictory outcome that allows a second run."""
    claimed.end("a", "completed", 200)
    claimed.end("a", "did-not-run")
    assert list_answers(claimed.claim("b")) == [("b", "repeated", "completed")]


def test_claims_are_refused_if_the_store_does_not_answer_for_a_second(driver):
    """Guards against callers that wait for the end of a store outage."""
    driver.claim("a")
    driver.tick()
    assert list_answers(driver.tick(1.0)) == [("a", "unavailable", "")]
    assert list_answers(driver.claim("b", b"j" * 16)) == [
        ("b", "unavailable", "")
    ]


def test_claim_that_is_stored_after_its_refusal_is_free(driver):
    """Guards against "claimed" after "unavailable", and a blocked id.

    The store acknowledges the claim only after the attempt was refused.
    """
    driver.claim("a")
    driver.tick()
    driver.tick(1.0)
    assert driver.claim("b") == []
    assert list_answers(driver.store()) == []
    driver.tick()
    assert list_answers(driver.store(2)) == [("b", "claimed", "")]


def test_lost_answer_is_resolved_by_reading_the_row(driver):
    """Guards against guessing whether a write took effect."""
    driver.claim("a")
    (write,) = driver.tick()
    assert driver.send(_claims.BatchOutcomeUnknown(1)) == [_claims.ReadBatch(1)]
    assert driver.send(_claims.BatchOutcomeUnknown(1)) == []
    assert _claims.ReadBatch(1) in driver.tick(0.2)
    assert driver.send(_claims.BatchRead(1, "")) == [write]
    driver.send(_claims.BatchOutcomeUnknown(1))
    commands = driver.send(_claims.BatchRead(1, write.request))
    assert list_answers(commands) == [("a", "claimed", "")]


@pytest.mark.parametrize(
    "event",
    [_claims.BatchRefused(1), _claims.BatchRead(1, "another request")],
)
def test_end_of_the_epoch_refuses_all_claims(driver, event):
    """Guards against granting claims after another holder took over."""
    driver.claim("a")
    driver.claim("b")
    driver.tick()
    assert sorted(list_answers(driver.send(event))) == [
        ("a", "unavailable", ""),
        ("b", "unavailable", ""),
    ]
    assert list_answers(driver.claim("c")) == [("c", "unavailable", "")]
    assert driver.store() == []


def test_nothing_is_answered_before_the_rows_are_loaded():
    """Guards against a second run after a takeover."""
    driver = Driver(loaded=False)
    assert driver.claim("b") == []
    row = _claims.ClaimEntry(ID, BODY, "a")
    commands = driver.send(_claims.RowsLoaded([row]))
    assert list_answers(commands) == [("b", "repeated", "unknown")]


def test_rows_are_read_in_any_order():
    """Guards against an id that is freed by the outcome of another attempt."""
    rows = [
        _claims.ClaimEntry(ID, BODY, "a", "did-not-run"),
        _claims.ClaimEntry(ID, BODY, "b"),
        _claims.ClaimEntry(ID, BODY, "a"),
    ]
    driver = Driver(loaded=False)
    driver.send(_claims.RowsLoaded(rows))
    assert list_answers(driver.claim("c")) == [("c", "repeated", "unknown")]
    driver = Driver(loaded=False)
    driver.send(_claims.RowsLoaded([rows[0], rows[2]]))
    assert driver.claim("c") == []


def test_change_of_groups_refuses_claims_that_are_being_written(driver):
    """Guards against granting a claim that another group granted before."""
    driver.claim("a")
    driver.tick()
    commands = driver.send(_claims.GroupsChanged())
    assert list_answers(commands) == [("a", "unavailable", "")]
    assert driver.claim("b") == []
    rows = [_claims.ClaimEntry(ID, BODY, attempt) for attempt in "ax"]
    driver.send(_claims.RowsLoaded(rows))
    assert list_answers(driver.store()) == [("b", "repeated", "unknown")]


def test_memory_is_bounded_and_forgets_only_after_the_window():
    """Guards against unbounded memory, and claims dropped too early."""
    driver = Driver(remembered=1, window_s=600.0)
    driver.claim("a")
    driver.tick()
    driver.store()
    assert list_answers(driver.claim("b", b"j" * 16)) == [
        ("b", "unavailable", "")
    ]
    driver.tick(599.0)
    assert list_answers(driver.claim("c")) == [("c", "repeated", "unknown")]
    driver.tick(2.0)
    assert driver.registry.count_claims() == 0


def test_results_are_written_without_further_claims(claimed):
    """Guards against outcomes that are not stored while there is no load."""
    claimed.end("a", "completed", 201)
    (write,) = claimed.tick(1.1)
    entry = write.entries[0]
    assert (entry.outcome, entry.status) == ("completed", 201)
