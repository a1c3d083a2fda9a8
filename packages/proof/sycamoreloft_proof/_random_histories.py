"""Random histories for state machines, with fixed seeds."""

from collections import abc
import random
import typing

import hypothesis
from hypothesis import stateful, strategies

#: Actions in one burst. The library chooses single actions so that few of
#: them work together: 107 histories of 60 actions issued 31 permits in all.
BURST = 20


class Machine(stateful.RuleBasedStateMachine):
    """Takes weighted actions, one by one or in bursts."""

    #: Names of methods that take a generator, with their weights.
    actions: typing.ClassVar[abc.Mapping[str, float]] = {}

    @stateful.rule(seed=strategies.integers(0, 2**32))
    def act_often(self, seed: int) -> None:
        """Takes a burst of actions."""
        generator = random.Random(seed)
        names = list(self.actions)
        weights = list(self.actions.values())
        for name in generator.choices(names, weights, k=BURST):
            getattr(self, name)(generator)
            self.check()

    @stateful.rule(data=strategies.data())
    def act_once(self, data: strategies.DataObject) -> None:
        """Takes one action."""
        name = data.draw(strategies.sampled_from(list(self.actions)))
        getattr(self, name)(data.draw(strategies.randoms()))
        self.check()

    def check(self) -> None:
        """Raises if a promise is broken; called after each action."""


def run_histories(
    machine: type[stateful.RuleBasedStateMachine],
    examples: int,
    steps: int,
    *,
    shrink: bool = True,
) -> None:
    """Runs a machine; raises the error of the first bad history.

    Args:
        machine: The machine.
        examples: Number of histories.
        steps: Single actions or bursts in one history.
        shrink: Whether to look for a shorter bad history, which takes long.
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
    """Returns a random item, None if there is none."""
    listed = list(items)
    return generator.choice(listed) if listed else None


def take(items: list[typing.Any], generator: random.Random) -> typing.Any:
    """Removes and returns a random item, None if there is none."""
    return items.pop(generator.randrange(len(items))) if items else None
