"""Tests of the claim book."""

import pytest

from sycamoreloft_decisions import _claims

BODY = b"f" * 16
OTHER_BODY = b"g" * 16
ID = b"i" * 16


class Driver:
    """Drives one book; the store does what the test says."""

    def __init__(self, loaded=True, **options):
        self.registry = _claims.ClaimRegistry(
            3, _claims.ClaimOptions(**options)
        )
        self.now = 0.0
        if loaded:
            self.send(_claims.RowsLoaded([]))

    def send(self, event):
        return list(self.registry.handle(event, self.now))

    def ask(self, attempt, id_hash=ID, body=BODY):
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
    driver.ask("a")
    driver.tick()
    assert list_answers(driver.store()) == [("a", "claimed", "")]
    return driver


def test_claim_is_answered_only_after_it_was_stored(driver):
    """Guards against a send whose claim a takeover would not find."""
    assert driver.ask("a") == []
    (write,) = driver.tick()
    assert [entry.attempt for entry in write.entries] == ["a"]
    assert list_answers(driver.store()) == [("a", "claimed", "")]


def test_claims_are_collected_into_one_row(driver):
    """Guards against one write for each claim, and against a long wait."""
    for number in range(5):
        assert driver.ask(f"a{number}", bytes([number]) * 16) == []
    (write,) = list_writes(driver.tick(0.011))
    assert len(write.entries) == 5


def test_full_batch_is_written_at_once():
    """Guards against rows that are too long."""
    driver = Driver(batch_entries=3)
    commands = []
    for number in range(7):
        commands += driver.ask(f"a{number}", bytes([number]) * 16)
    assert [len(write.entries) for write in list_writes(commands)] == [3, 3]


@pytest.mark.parametrize("outcome", ["completed", "unknown", ""])
def test_same_id_is_answered_with_what_is_known(claimed, outcome):
    """Guards against a second run after any end but did-not-run."""
    if outcome:
        claimed.end("a", outcome, 200)
    (answer,) = claimed.ask("b")
    assert answer.verdict is _claims.Verdict.REPEATED
    assert answer.outcome == (outcome or "unknown")


def test_same_id_with_another_body_is_a_conflict(claimed):
    """Guards against answering one operation with another one's result."""
    assert list_answers(claimed.ask("b", body=OTHER_BODY)) == [
        ("b", "conflict", "")
    ]


def test_same_id_at_two_hosts_has_one_winner(driver):
    """Guards against two claims in one batch."""
    driver.ask("a")
    assert driver.ask("b") == []
    driver.tick()
    assert list_answers(driver.store()) == [
        ("a", "claimed", ""),
        ("b", "repeated", "unknown"),
    ]


def test_abandoned_claim_can_be_taken_again(claimed):
    """Guards against an id that is blocked although nothing was sent."""
    claimed.end("a", "did-not-run")
    assert claimed.ask("b") == []
    (write,) = claimed.tick()
    assert [(e.attempt, e.outcome) for e in write.entries] == [
        ("a", "did-not-run"),
        ("b", ""),
    ]
    assert list_answers(claimed.store(2)) == [("b", "claimed", "")]


def test_late_abandonment_of_an_earlier_attempt_changes_nothing(claimed):
    """Guards against freeing the claim of another attempt."""
    claimed.end("z", "did-not-run")
    assert list_answers(claimed.ask("b")) == [("b", "repeated", "unknown")]


def test_known_end_is_not_revoked(claimed):
    """Guards against a contradicting result that would allow a second run."""
    claimed.end("a", "completed", 200)
    claimed.end("a", "did-not-run")
    assert list_answers(claimed.ask("b")) == [("b", "repeated", "completed")]


def test_store_that_does_not_answer_refuses_after_a_second(driver):
    """Guards against callers that wait for a store outage to end."""
    driver.ask("a")
    driver.tick()
    assert list_answers(driver.tick(1.0)) == [("a", "unavailable", "")]
    assert list_answers(driver.ask("b", b"j" * 16)) == [
        ("b", "unavailable", "")
    ]


def test_claim_that_is_stored_after_its_refusal_is_free(driver):
    """Guards against "claimed" after "unavailable", and a blocked id."""
    driver.ask("a")
    driver.tick()
    driver.tick(1.0)
    assert driver.ask("b") == []
    assert list_answers(driver.store()) == []
    driver.tick()
    assert list_answers(driver.store(2)) == [("b", "claimed", "")]


def test_lost_answer_is_settled_by_reading(driver):
    """Guards against guessing whether a write took effect."""
    driver.ask("a")
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
def test_end_of_the_epoch_refuses_everything(driver, event):
    """Guards against claims of a holder that was replaced."""
    driver.ask("a")
    driver.ask("b")
    driver.tick()
    assert sorted(list_answers(driver.send(event))) == [
        ("a", "unavailable", ""),
        ("b", "unavailable", ""),
    ]
    assert list_answers(driver.ask("c")) == [("c", "unavailable", "")]
    assert driver.store() == []


def test_nothing_is_answered_before_the_rows_are_loaded():
    """Guards against a second run after a takeover."""
    driver = Driver(loaded=False)
    assert driver.ask("b") == []
    row = _claims.ClaimEntry(ID, BODY, "a")
    commands = driver.send(_claims.RowsLoaded([row]))
    assert list_answers(commands) == [("b", "repeated", "unknown")]


def test_rows_are_read_in_any_order():
    """Guards against an id that is freed by the end of another attempt."""
    rows = [
        _claims.ClaimEntry(ID, BODY, "a", "did-not-run"),
        _claims.ClaimEntry(ID, BODY, "b"),
        _claims.ClaimEntry(ID, BODY, "a"),
    ]
    driver = Driver(loaded=False)
    driver.send(_claims.RowsLoaded(rows))
    assert list_answers(driver.ask("c")) == [("c", "repeated", "unknown")]
    driver = Driver(loaded=False)
    driver.send(_claims.RowsLoaded([rows[0], rows[2]]))
    assert driver.ask("c") == []


def test_change_of_groups_refuses_claims_that_are_being_written(driver):
    """Guards against a claim that another group has given before."""
    driver.ask("a")
    driver.tick()
    commands = driver.send(_claims.GroupsChanged())
    assert list_answers(commands) == [("a", "unavailable", "")]
    assert driver.ask("b") == []
    rows = [_claims.ClaimEntry(ID, BODY, attempt) for attempt in "ax"]
    driver.send(_claims.RowsLoaded(rows))
    assert list_answers(driver.store()) == [("b", "repeated", "unknown")]


def test_memory_is_bounded_and_forgets_only_after_the_window():
    """Guards against growth, and against forgetting inside the window."""
    driver = Driver(remembered=1, window_s=600.0)
    driver.ask("a")
    driver.tick()
    driver.store()
    assert list_answers(driver.ask("b", b"j" * 16)) == [
        ("b", "unavailable", "")
    ]
    driver.tick(599.0)
    assert list_answers(driver.ask("c")) == [("c", "repeated", "unknown")]
    driver.tick(2.0)
    assert driver.registry.count_claims() == 0


def test_results_are_written_without_further_claims(claimed):
    """Guards against results that a takeover always loses."""
    claimed.end("a", "completed", 201)
    (write,) = claimed.tick(1.1)
    entry = write.entries[0]
    assert (entry.outcome, entry.status) == ("completed", 201)
