"""Tests of claims and outcomes with random histories."""

import dataclasses

import pytest

from sycamoreloft_decisions import _claims, _outcomes
from sycamoreloft_proof import _random_histories, _request_oracle


class Store:
    """Store in which each row is written once, and only in the latest epoch."""

    def __init__(self):
        self.epoch = 1
        self.rows = {}

    def write(self, epoch, command):
        key = (epoch, command.sequence)
        if key in self.rows:
            return self.rows[key].request == command.request
        if epoch != self.epoch:
            return False
        self.rows[key] = command
        return True


class ClaimMachine(_random_histories.Machine):
    """Callers that repeat request ids, hosts, holders and a store.

    Hosts may lose their attempts, and messages may be lost or delayed.
    """

    actions = {
        "call": 5,
        "deliver_ask": 9,
        "deliver_answer": 9,
        "deliver_result": 3,
        "send_request": 8,
        "claim_times_out": 1,
        "host_forgets": 1,
        "work_store": 4,
        "work_smoothly": 2,
        "load_rows": 2,
        "take_over": 2,
        "change_groups": 0.3,
        "advance": 5,
    }
    registry_class = _claims.ClaimRegistry
    attempt_class = _outcomes.Attempt
    loads_rows = True
    sends_again = False

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.count = 0
        self.oracle = _request_oracle.RunOracle()
        self.store = Store()
        self.attempts = {}
        self.claim_requests = []
        self.answers = []
        self.results = []
        self.calls = []
        self.registries = []
        self.create_registry()
        self.send(0, _claims.RowsLoaded([]))

    def create_registry(self):
        self.registries.append(self.registry_class(self.store.epoch))
        if not self.loads_rows:
            self.send(len(self.registries) - 1, _claims.RowsLoaded([]))

    def choose_registry(self, generator):
        """Returns the index of the current or, rarely, the previous holder."""
        return max(0, len(self.registries) - generator.choice([1, 1, 1, 2]))

    def send(self, index, event):
        for command in self.registries[index].handle(event, self.now):
            if isinstance(command, _claims.AnswerClaim):
                self.answers.append(command)
            else:
                self.calls.append((index, command))

    def call(self, generator):
        self.count += 1
        # Each request id is repeated for a while and then no longer used.
        number = self.count // 8 + generator.choice([0, 1])
        id_hash = number.to_bytes(4, "big")
        rules = _outcomes.AttemptRules(at_most_once=True)
        attempt = self.attempt_class(rules, self.now + 5.0)
        permit = _outcomes.PermitReceived(self.now + 5.0)
        attempt.handle(permit, self.now)
        name = f"t{self.count}"
        self.attempts[name] = (id_hash, attempt)
        self.claim_requests.append(_claims.ClaimRequested(id_hash, b"f", name))

    def deliver_ask(self, generator):
        claim_request = _random_histories.take(self.claim_requests, generator)
        if claim_request is not None:
            self.send(self.choose_registry(generator), claim_request)
            if generator.random() < 0.1:
                self.claim_requests.append(claim_request)

    def deliver_answer(self, generator, lost_share=0.1):
        answer = _random_histories.take(self.answers, generator)
        if answer is not None and generator.random() >= lost_share:
            self.observe(
                answer.attempt,
                _outcomes.ClaimAnswered(
                    str(answer.verdict), answer.outcome, answer.status
                ),
            )

    def deliver_result(self, generator):
        result = _random_histories.take(self.results, generator)
        if result is not None:
            self.send(self.choose_registry(generator), result)

    def observe(self, name, *observed):
        if name not in self.attempts:
            return
        id_hash, attempt = self.attempts[name]
        for event in observed:
            decision = attempt.handle(event, self.now)
            if decision is None:
                continue
            if decision.claim_result:
                self.results.append(
                    _claims.ClaimResultReported(
                        id_hash, name, decision.claim_result, decision.status
                    )
                )
            if decision.reason != "repeated":
                self.oracle.report_outcome(name, str(decision.outcome))

    def send_request(self, generator):
        ready = [
            name
            for name, (_, attempt) in self.attempts.items()
            if attempt.may_send(self.now)
            or (self.sends_again and attempt._connected)
        ]
        name = _random_histories.choose(ready, generator)
        if name is None:
            return
        id_hash = self.attempts[name][0]
        self.oracle.send(id_hash)
        fate = generator.choice(["run", "break", "refuse"])
        sent = [_outcomes.ConnectionMade(), _outcomes.BytesSent(True)]
        if fate == "refuse":
            self.oracle.refuse(id_hash)
            refusal = _outcomes.HeadersReceived(421, "not-owner")
            self.observe(name, *sent, refusal, _outcomes.AnswerEnded())
            return
        self.oracle.run(id_hash, name)
        end = [_outcomes.HeadersReceived(200), _outcomes.AnswerEnded()]
        if fate == "break":
            end = [_outcomes.ConnectionBroken()]
        self.observe(name, *sent, *end)

    def claim_times_out(self, generator):
        name = _random_histories.choose(self.attempts, generator)
        if name and not self.attempts[name][1].may_send(self.now):
            self.observe(name, _outcomes.ClaimAnswered("unavailable"))

    def host_forgets(self, generator):
        self.attempts.pop(
            _random_histories.choose(self.attempts, generator), None
        )

    def work_store(self, generator, fate=None):
        call = _random_histories.take(self.calls, generator)
        if call is None:
            return
        index, command = call
        sequence = command.sequence
        fate = fate or generator.choice(
            ["answered"] * 4 + ["answer lost", "lost", "delayed"]
        )
        if fate == "delayed":
            self.calls.append(call)
        if fate in ("lost", "delayed"):
            self.send(index, _claims.BatchOutcomeUnknown(sequence))
        elif isinstance(command, _claims.ReadBatch):
            row = self.store.rows.get((index + 1, sequence))
            request = row.request if row else ""
            self.send(index, _claims.BatchRead(sequence, request))
        else:
            stored = self.store.write(index + 1, command)
            if fate == "answer lost":
                self.send(index, _claims.BatchOutcomeUnknown(sequence))
            elif stored:
                self.send(index, _claims.BatchStored(sequence))
            else:
                self.send(index, _claims.BatchRefused(sequence))

    def work_smoothly(self, generator):
        """Delivers all messages without faults, so histories make progress."""
        self.load_rows(generator)
        while self.claim_requests:
            self.send(len(self.registries) - 1, self.claim_requests.pop())
        self.advance(generator)
        while self.calls:
            self.work_store(generator, "answered")
        while self.answers:
            self.deliver_answer(generator, 0.0)

    def load_rows(self, generator):
        entries = [
            entry for row in self.store.rows.values() for entry in row.entries
        ]
        if self.loads_rows:
            self.send(len(self.registries) - 1, _claims.RowsLoaded(entries))

    def take_over(self, generator):
        self.store.epoch += 1
        self.create_registry()

    def change_groups(self, generator):
        if self.loads_rows:
            self.send(len(self.registries) - 1, _claims.GroupsChanged())

    def advance(self, generator):
        self.now += generator.choice([0.02, 0.02, 0.3, 1.0])
        for index in range(
            max(0, len(self.registries) - 2), len(self.registries)
        ):
            self.send(index, _claims.ClaimTick())


class EarlyAnswer(ClaimMachine):
    """Fault: claims are answered before their write has completed."""

    def send(self, index, event):
        before = len(self.calls)
        super().send(index, event)
        for _, command in self.calls[before:]:
            for entry in getattr(command, "entries", ()):
                if not entry.outcome:
                    self.answers.append(
                        _claims.AnswerClaim(
                            entry.attempt, _claims.Verdict.CLAIMED
                        )
                    )


class TakeoverWithoutRows(ClaimMachine):
    """Fault: a new holder does not load the stored rows."""

    loads_rows = False


class SecondSend(ClaimMachine):
    """Fault: an attempt sends its request twice."""

    sends_again = True


class UnknownAsDidNotRun(_outcomes.Attempt):
    """Fault: an unknown outcome is reported as did-not-run."""

    def handle(self, event, now):
        decision = super().handle(event, now)
        if decision and decision.outcome is _outcomes.Outcome.UNKNOWN:
            outcome = _outcomes.Outcome.DID_NOT_RUN
            return dataclasses.replace(decision, outcome=outcome)
        return decision


class WrongOutcome(ClaimMachine):
    """Fault: hosts use `UnknownAsDidNotRun`."""

    attempt_class = UnknownAsDidNotRun


def test_an_id_is_sent_at_most_once_and_reported_outcomes_are_correct():
    """Guards against repeated sends and wrong outcomes.

    The histories contain takeovers, lost answers and store outages.
    """
    _random_histories.run_histories(ClaimMachine, 300, 20)


@pytest.mark.parametrize(
    "machine", [EarlyAnswer, TakeoverWithoutRows, SecondSend, WrongOutcome]
)
def test_fuzzer_finds_injected_faults_of_claims(machine):
    """Guards against a fuzzer that misses second runs or wrong outcomes."""
    with pytest.raises(_request_oracle.OracleError):
        _random_histories.run_histories(machine, 150, 20, shrink=False)
