"""Tests and fuzzing of acceptance on several hosts, with an oracle."""

import dataclasses

import hypothesis
from hypothesis import stateful, strategies
import pytest

from sycamoreloft_decisions import _acceptance_rows, acceptance

HOSTS = ("h0", "h1", "h2")
GROUPS = ("a/d0/0", "a/d1/0", "b/d0/0")

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
    # No shrinking: it would take minutes, and the tests with planted faults do
    # not need a minimal example.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)

#: Fates of a write: applied and answered, applied with a lost answer, never
#: applied, or applied some time after it was reported as lost.
FATES = ("answered", "lost-answer", "dropped", "late")


@dataclasses.dataclass
class Host:
    """A host's state machine and the commands that were performed for it."""

    machine: acceptance.Acceptance
    #: Accepted and pending number in the latest `ApplyGenerations`.
    used: tuple = (0, 0)
    answers: list = dataclasses.field(default_factory=list)


class World(stateful.RuleBasedStateMachine):
    """Hosts and a table, with messages reordered, delayed and lost."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        # An installation in which every group has a holder.
        first = acceptance.GenerationRecord(
            1, "id-0", {"fleet/a": "id-0"}, GROUPS
        )
        past = acceptance.PastSubmission(1, "id-0", first.files)
        self.head = (1, acceptance.HeadRow(first, None, (past,)))
        self.rows = {
            group: acceptance.GroupRow(1, name)
            for group, name in zip(GROUPS, HOSTS, strict=True)
        }
        self.queue = []
        self.bases = {}
        #: Requests by number, as the table has recorded them.
        self.recorded = {}
        #: Groups by number, without those declared lost.
        self.groups = {1: set(GROUPS)}
        #: Holders that an operator has declared lost.
        self.declared_lost = set()
        self.accepted = [1]
        self.ids = 0
        self.hosts = {
            name: Host(acceptance.Acceptance(name, self.make_id))
            for name in HOSTS
        }
        for name in HOSTS:
            self.feed(name, acceptance.HeadRead(*self.head))

    def make_id(self):
        self.ids += 1
        return f"id-{self.ids}"

    # Hosts.

    def feed(self, name, event):
        host = self.hosts[name]
        for command in host.machine.handle(event, self.now):
            match command:
                case acceptance.ApplyGenerations():
                    host.used = (command.accepted, command.pending)
                case acceptance.SubmissionResult():
                    host.answers.append(command)
                    self.check_answer(command)
                case _:
                    self.queue.append((name, command))

    def deliver(self, name, snapshot, with_group_rows):
        (version, row), rows = snapshot
        self.feed(name, acceptance.HeadRead(version, row))
        if with_group_rows:
            self.feed(name, acceptance.GroupRowsRead(version, rows))

    def get_head(self):
        return self.head[1] or acceptance.EMPTY_HEAD

    # The table.

    def apply(self, command):
        """Applies a write and returns whether its conditions held."""
        if isinstance(command, acceptance.StageGeneration):
            row = self.rows.get(command.group)
            if row is None or row.version != command.version:
                return False
            self.rows[command.group] = dataclasses.replace(
                row, version=row.version + 1, staged=command.staged
            )
            return True
        if self.head[0] != command.version:
            return False
        if isinstance(command, acceptance.AcceptGeneration):
            for group, version in command.group_versions.items():
                row = self.rows.get(group)
                if (row.version if row else 0) != version:
                    return False
            self.check_acceptance(command)
            self.accepted.append(command.row.accepted.number)
        else:
            self.check_record(command)
        self.head = (self.head[0] + 1, command.row)
        return True

    # The oracle.

    def check_record(self, command):
        number = command.row.pending.number
        before = self.get_head()
        newest = (before.pending or before.accepted).number
        assert command.row.accepted == before.accepted
        assert number not in self.recorded, "a number has two submissions"
        assert self.bases[command.request] == newest, "base was not newest"
        self.recorded[number] = command.request
        pending = command.row.pending
        self.groups[number] = set(pending.groups) - set(pending.lost_groups)

    def check_acceptance(self, command):
        before = self.get_head()
        number = command.row.accepted.number
        assert number == before.pending.number > self.accepted[-1]
        lost = set(before.pending.lost_groups)
        self.declared_lost |= lost
        for group in self.groups[before.accepted.number] - lost:
            row = self.rows.get(group)
            assert row is None or row.staged == number, f"{group} not staged"

    def check_answer(self, answer):
        recorded = answer.request in self.recorded.values()
        number = self.bases[answer.request] + 1
        match answer.verdict:
            case acceptance.Verdict.ACCEPTED:
                assert recorded
                assert number in self.accepted
            case acceptance.Verdict.REPLACED:
                assert recorded
                assert number not in self.accepted
            case acceptance.Verdict.PENDING:
                assert recorded

    @stateful.invariant()
    def holders_never_serve_an_older_generation(self):
        head = self.get_head()
        accepted = head.accepted
        for group, row in self.rows.items():
            if group in self.declared_lost:
                continue
            used = self.hosts[row.holder].used
            # A holder serves nothing of a group that a generation which it
            # uses does not contain, or declares lost.
            if any(group not in self.groups.get(n, GROUPS) for n in used):
                continue
            assert accepted.number in used, f"{group} serves {used}"

    @stateful.invariant()
    def nothing_reported_as_not_recorded_is_recorded(self):
        for host in self.hosts.values():
            for answer in host.answers:
                if answer.verdict in (
                    acceptance.Verdict.CONFLICT,
                    acceptance.Verdict.UNAVAILABLE,
                ):
                    is_recorded = answer.request in self.recorded.values()
                    assert not is_recorded, "recorded all the same"

    # Rules.

    def count_open(self):
        answers = [len(host.answers) for host in self.hosts.values()]
        return len(self.bases) - sum(answers)

    @stateful.precondition(lambda self: self.count_open() < 3)
    @stateful.rule(
        name=strategies.sampled_from(HOSTS),
        behind=strategies.sampled_from((0, 0, 0, 0, 1, -1)),
        groups=strategies.sampled_from((GROUPS, GROUPS, GROUPS[:2], ())),
        lost=strategies.sampled_from(((), (), ("a/d1/0",))),
        wait_s=strategies.sampled_from((0.0, 30.0)),
    )
    def submit(self, name, behind, groups, lost, wait_s):
        head = self.get_head()
        base = (head.pending or head.accepted).number - behind
        request = self.make_id()
        self.bases[request] = max(base, 0)
        self.feed(
            name,
            acceptance.FileSubmitted(
                request,
                max(base, 0),
                {"fleet/a": request},
                groups,
                lost,
                wait_s,
            ),
        )

    @stateful.rule(
        name=strategies.sampled_from(HOSTS),
        seconds=strategies.sampled_from((0.1, 0.3, 1.0, 6.0)),
    )
    def tick(self, name, seconds):
        self.now += seconds
        self.feed(name, acceptance.Tick())

    @stateful.precondition(lambda self: self.queue)
    @stateful.rule(
        position=strategies.integers(0, 20),
        fate=strategies.sampled_from(FATES[:1] * 4 + FATES),
    )
    def serve(self, position, fate):
        name, command = self.queue.pop(position % len(self.queue))
        if isinstance(command, acceptance.ReadRows):
            if fate == "late":
                snapshot = (self.head, dict(self.rows))
                self.queue.append((name, (snapshot, command.with_group_rows)))
            elif fate != "dropped":
                snapshot = (self.head, dict(self.rows))
                self.deliver(name, snapshot, command.with_group_rows)
        elif isinstance(command, tuple):
            self.deliver(name, *command)
        elif name is None:
            self.apply(command)
        else:
            self.write(name, command, fate)

    @stateful.rule(rounds=strategies.integers(1, 3))
    def serve_all(self, rounds):
        """Serves everything in order, to reach deeper states later."""
        for _ in range(rounds):
            self.now += 0.3
            for name in HOSTS:
                self.feed(name, acceptance.Tick())
            for _ in range(len(self.queue)):
                self.serve(0, "answered")

    def write(self, name, command, fate):
        result = acceptance.WriteResult.UNKNOWN
        if fate == "late":
            self.queue.append((None, command))
        elif fate != "dropped":
            applied = self.apply(command)
            if fate == "answered":
                result = (
                    acceptance.WriteResult.APPLIED
                    if applied
                    else acceptance.WriteResult.CONFLICT
                )
        self.feed(name, acceptance.WriteFinished(command.request, result))

    @stateful.rule(
        group=strategies.sampled_from(GROUPS),
        name=strategies.sampled_from(HOSTS),
    )
    def take_group(self, group, name):
        """Lets a host read the head and take over a group atomically."""
        if group not in self.groups[self.get_head().accepted.number]:
            return
        self.declared_lost.discard(group)
        self.feed(name, acceptance.HeadRead(*self.head))
        old = self.rows.get(group)
        self.rows[group] = acceptance.GroupRow(
            old.version + 1 if old else 1, name, old.staged if old else 0
        )
        held = [key for key, row in self.rows.items() if row.holder == name]
        self.feed(name, acceptance.HeldGroupsChanged(held))

    @stateful.precondition(lambda self: self.rows)
    @stateful.rule(position=strategies.integers(0, 2))
    def rewrite_row(self, position):
        """A holder confirms its row, which changes the version."""
        group = sorted(self.rows)[position % len(self.rows)]
        row = self.rows[group]
        self.rows[group] = dataclasses.replace(row, version=row.version + 1)

    def teardown(self):
        """Checks that all submissions are answered once nothing is lost."""
        for _ in range(60):
            self.now += 0.7
            for name in HOSTS:
                self.feed(name, acceptance.Tick())
            while self.queue:
                self.serve(0, "answered")
        requests = [
            answer.request
            for host in self.hosts.values()
            for answer in host.answers
        ]
        assert sorted(requests) == sorted(self.bases), "unanswered submission"
        assert self.get_head().pending is None, "never accepted"


def run_world():
    """Runs the fuzzer over the world."""
    stateful.run_state_machine_as_test(World, settings=SETTINGS)


def test_no_reordering_or_loss_breaks_acceptance():
    """Guards against two submissions on one base, reverts and early accepts."""
    run_world()


def test_the_fuzzer_finds_premature_acceptance(monkeypatch):
    """Guards against an oracle that misses groups that have not staged."""
    monkeypatch.setattr(
        _acceptance_rows, "list_waiting_groups", lambda row, rows: []
    )
    with pytest.raises(AssertionError, match="not staged|serves"):
        run_world()


def test_the_fuzzer_finds_an_ignored_base(monkeypatch):
    """Guards against an oracle that misses two submissions on one base."""
    monkeypatch.setattr(
        _acceptance_rows, "is_based_on_newest", lambda row, base: True
    )
    with pytest.raises(AssertionError, match="base was not newest|two sub"):
        run_world()


def test_the_fuzzer_finds_a_lost_answer_taken_for_a_refusal(monkeypatch):
    """Guards against an oracle that misses a false report of a conflict."""
    compute = acceptance.Acceptance._compute_verdict

    def compute_wrongly(machine, submission):
        if submission.was_sent and submission.written_version is None:
            return acceptance.Verdict.CONFLICT
        return compute(machine, submission)

    monkeypatch.setattr(
        acceptance.Acceptance, "_compute_verdict", compute_wrongly
    )
    with pytest.raises(AssertionError, match="recorded all the same"):
        run_world()


def find(commands, kind):
    """Returns the commands of one type."""
    return [command for command in commands if isinstance(command, kind)]


def test_a_domain_that_runs_again_need_not_stage_what_says_so():
    """Guards against waiting for a group in a lost domain to stage.

    The pending generation declares the domain as running again, but the group
    has no holder before that generation is accepted.
    """
    machine = acceptance.Acceptance("h9", iter("wxyz").__next__)
    lost = acceptance.GenerationRecord(1, "r1", {}, GROUPS, ("a/d1/0",))
    found = acceptance.GenerationRecord(2, "r2", {}, GROUPS)
    row = acceptance.HeadRow(lost, found)
    machine.handle(acceptance.HeadRead(1, row), 0.0)
    rows = {group: acceptance.GroupRow(7, "h0", 2) for group in GROUPS}
    rows["a/d1/0"] = acceptance.GroupRow(5, "h1", 0)
    commands = machine.handle(acceptance.GroupRowsRead(1, rows), 1.1)
    (accept,) = find(commands, acceptance.AcceptGeneration)
    assert accept.row.accepted == found


@pytest.mark.parametrize("lost", [(), ("a/d1/0",)])
def test_an_unreachable_domain_is_named_unless_declared_lost(lost):
    """Guards against a pending result that does not say what it waits for."""
    machine = acceptance.Acceptance("h9", iter("wxyz").__next__)
    first = acceptance.GenerationRecord(1, "r1", {"fleet/a": "old"}, GROUPS)
    machine.handle(acceptance.HeadRead(1, acceptance.HeadRow(first, None)), 0.0)
    machine.handle(
        acceptance.FileSubmitted(
            "r2", 1, {"fleet/a": "new"}, GROUPS, lost, wait_s=4.0
        ),
        1.0,
    )
    rows = {group: acceptance.GroupRow(7, "h0", 2) for group in GROUPS}
    rows["a/d1/0"] = acceptance.GroupRow(5, "h1", 0)
    commands = machine.handle(acceptance.GroupRowsRead(1, rows), 1.1)
    (write,) = find(commands, acceptance.WriteHead)
    machine.handle(acceptance.HeadRead(2, write.row), 1.2)
    commands = machine.handle(acceptance.GroupRowsRead(2, rows), 1.2)
    accepts = find(commands, acceptance.AcceptGeneration)
    if lost:
        assert accepts[0].group_versions == {"a/d0/0": 7, "b/d0/0": 7}
        return
    assert not accepts
    (answer,) = find(
        machine.handle(acceptance.Tick(), 5.1), acceptance.SubmissionResult
    )
    assert answer.verdict is acceptance.Verdict.PENDING
    assert answer.waiting_domains == ["a/d1"]


def test_the_loser_of_a_race_learns_what_changed():
    """Guards against a conflict that does not name the changed files."""
    machine = acceptance.Acceptance("h9", iter("wxyz").__next__)
    past = tuple(
        acceptance.PastSubmission(number, f"r{number}", {"merge": str(number)})
        for number in (1, 2)
    )
    entry = acceptance.GenerationRecord(2, "r2", past[1].files)
    row = acceptance.HeadRow(entry, None, past)
    submitted = acceptance.FileSubmitted("r3", 1, {"merge": "3"}, ())
    machine.handle(submitted, 0.0)
    (answer,) = find(
        machine.handle(acceptance.HeadRead(9, row), 0.1),
        acceptance.SubmissionResult,
    )
    assert answer.verdict is acceptance.Verdict.CONFLICT
    assert (answer.number, answer.newest) == (0, 2)
    assert answer.changed_files == ["merge"]


def test_a_write_that_always_fails_does_not_read_in_a_loop():
    """Guards against a group holder that overloads the store."""
    machine = acceptance.Acceptance("h0", iter(map(str, range(999))).__next__)
    first = acceptance.GenerationRecord(1, "r1", {}, GROUPS)
    pending = acceptance.GenerationRecord(2, "r2", {}, GROUPS)
    row = acceptance.HeadRow(first, pending)
    rows = {"a/d0/0": acceptance.GroupRow(1, "h0")}
    reads = []
    queue = [acceptance.HeadRead(1, row)]
    for step in range(1_000):
        commands = [
            command
            for event in [*queue, acceptance.Tick()]
            for command in machine.handle(event, step / 100)
        ]
        reads += find(commands, acceptance.ReadRows)
        queue = [
            acceptance.GroupRowsRead(1, rows)
            if isinstance(command, acceptance.ReadRows)
            else acceptance.WriteFinished(
                command.request, acceptance.WriteResult.CONFLICT
            )
            for command in commands
            if not isinstance(command, acceptance.ApplyGenerations)
        ]
    assert 10 < len(reads) < 30
