"""Random sequences of actions on state machines, with fixed seeds."""

from collections import abc
import random
import typing

import hypothesis
from hypothesis import stateful, strategies

#: Hypothesis chooses single actions in a way that few of them build on each
#: other: 107 histories of 60 single actions issued only 31 permits in total.
#: Bursts of weighted actions reach more states.
ACTIONS_PER_BURST = 20


class Machine(stateful.RuleBasedStateMachine):
    """Performs weighted actions, one by one or in bursts."""

    #: Weights of the actions by method name; each method has one parameter, a
    #: random generator.
    actions: typing.ClassVar[abc.Mapping[str, float]] = {}

    @stateful.rule(seed=strategies.integers(0, 2**32))
    def run_burst(self, seed: int) -> None:
        """Performs a burst of actions."""
        generator = random.Random(seed)
        names = list(self.actions)
        weights = list(self.actions.values())
        for name in generator.choices(names, weights, k=ACTIONS_PER_BURST):
            getattr(self, name)(generator)
            self.check()

    @stateful.rule(data=strategies.data())
    def run_single_action(self, data: strategies.DataObject) -> None:
        """Performs one action."""
        name = data.draw(strategies.sampled_from(list(self.actions)))
        getattr(self, name)(data.draw(strategies.randoms()))
        self.check()

    def check(self) -> None:
        """Raises if a guarantee is violated; called after each action."""


def run_histories(
    machine: type[stateful.RuleBasedStateMachine],
    examples: int,
    steps: int,
    *,
    shrink: bool = True,
) -> None:
    """Runs random histories of a state machine.

    Raises the error of the first history that fails.

    Args:
        machine: The state machine to run.
        examples: Number of histories.
        steps: Number of rules, single actions or bursts, in one history.
        shrink: Whether to search for a shorter failing history, which is slow.
    """
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    stateful.run_state_machine_as_test(  # type: ignore[no-untyped-call]
        machine,
        settings=hypothesis.settings(
            derandomize=True,
            deadline=None,
            database=None,
            phases=phases,
            max_examples=examples,
            stateful_step_count=steps,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def choose(
    items: abc.Iterable[typing.Any], generator: random.Random
) -> typing.Any:
    """Returns a random item, None if there are no items."""
    listed = list(items)
    return generator.choice(listed) if listed else None


def take(items: list[typing.Any], generator: random.Random) -> typing.Any:
    """Removes and returns a random item, None if there are no items."""
    return items.pop(generator.randrange(len(items))) if items else None
